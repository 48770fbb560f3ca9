"""One gateway as a whole: events in, actions out."""

from __future__ import annotations

from tests.gateway_driver import FREE, MS, GatewayDriver, make_endpoint_id
from yardlane.decisions.actions import Action
from yardlane.decisions.events import Outcome


def run_mixed_requests() -> list[tuple[int, Action]]:
    driver = GatewayDriver(seed=11)
    for number in range(200):
        driver.ask(tenant=number % 7, quota_plan=number % 4, request_class=number % 3)
        driver.run(13 * MS)
    return driver.log


def test_same_events_and_seed_give_same_actions() -> None:
    assert run_mixed_requests() == run_mixed_requests()


def test_duplicate_attempt_ended_is_ignored() -> None:
    driver = GatewayDriver(endpoints=1)
    number, _ = driver.ask(quota_plan=FREE)
    driver.ask(quota_plan=FREE)
    for _ in range(3):
        driver.end(number, make_endpoint_id(0), Outcome.OK)
    endpoint = driver.gateway.endpoints.by_id[make_endpoint_id(0)]
    assert driver.gateway.concurrency.in_flight == 1 == endpoint.in_flight

"""Tests of a whole gateway through its events and actions."""

from __future__ import annotations

from tests.gateway_driver import MS, UNLIMITED, GatewayDriver, make_endpoint_id
from yardlane.decisions.actions import Action
from yardlane.decisions.events import Outcome


def run_mixed_requests() -> list[tuple[int, Action]]:
    """Send requests of several tenants and of all classes and plans; return the log of the actions."""
    driver = GatewayDriver(seed=11)
    for number in range(200):
        driver.send_request(tenant=number % 7, quota_plan=number % 4, request_class=number % 3)
        driver.advance(13 * MS)
    return driver.action_log


def test_same_events_and_seed_give_same_actions() -> None:
    assert run_mixed_requests() == run_mixed_requests()


def test_duplicate_attempt_ended_is_ignored() -> None:
    driver = GatewayDriver(endpoints=1)
    request_id, _ = driver.send_request(quota_plan=UNLIMITED)
    driver.send_request(quota_plan=UNLIMITED)
    for _ in range(3):
        driver.end_attempt(request_id, make_endpoint_id(0), Outcome.OK)
    endpoint = driver.gateway.endpoints.by_id[make_endpoint_id(0)]
    assert driver.gateway.concurrency.in_flight == 1 == endpoint.in_flight

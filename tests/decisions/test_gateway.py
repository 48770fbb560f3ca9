"""One gateway as a whole: events in, actions out."""

from tests.gateway_driver import (
    FREE,
    MS,
    GatewayDriver,
    make_endpoint_id,
)
from yardlane.decisions.events import Outcome


def test_the_same_events_and_seed_give_the_same_actions() -> None:
    def log() -> list[object]:
        desk = GatewayDriver(seed=11)
        for n in range(200):
            desk.ask(tenant=n % 7, quota_plan=n % 4, request_class=n % 3)
            desk.run(13 * MS)
        return list(desk.log)

    assert log() == log()


def test_a_doubled_outcome_changes_nothing() -> None:
    desk = GatewayDriver(servers=1)
    number, _ = desk.ask(quota_plan=FREE)
    desk.ask(quota_plan=FREE)
    for _ in range(3):
        desk.end(number, make_endpoint_id(0), Outcome.OK)
    assert (
        desk.gateway.concurrency.in_flight == 1 == desk.gateway.endpoints.by_id[make_endpoint_id(0)].in_flight
    )

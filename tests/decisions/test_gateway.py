"""One gateway as a whole: events in, actions out."""

from tests.gateway_driver import FREE, MS, GatewayDriver, make_endpoint_id
from yardlane.decisions.events import Outcome


def test_the_same_events_and_seed_give_the_same_actions() -> None:
    def log() -> list[object]:
        driver = GatewayDriver(seed=11)
        for number in range(200):
            driver.ask(tenant=number % 7, quota_plan=number % 4, request_class=number % 3)
            driver.run(13 * MS)
        return list(driver.log)

    assert log() == log()


def test_an_attempt_that_ends_twice_changes_nothing() -> None:
    driver = GatewayDriver(servers=1)
    number, _ = driver.ask(quota_plan=FREE)
    driver.ask(quota_plan=FREE)
    for _ in range(3):
        driver.end(number, make_endpoint_id(0), Outcome.OK)
    endpoint = driver.gateway.endpoints.by_id[make_endpoint_id(0)]
    assert driver.gateway.concurrency.in_flight == 1 == endpoint.in_flight

"""Tests of the load balancer: which endpoint an attempt is sent to."""

from __future__ import annotations

from collections import Counter

from tests.gateway_driver import (
    MS,
    SECOND,
    UNLIMITED,
    GatewayDriver,
    make_endpoint,
    make_endpoint_id,
    of_type,
)
from yardlane.decisions.actions import StartAttempt
from yardlane.decisions.endpoint_record import EndpointRecord
from yardlane.decisions.events import EndpointListUpdate, LoadReport, UpdateKind

INITIAL_SERVICE_TIME_US = 150 * MS  # the mean service time that a gateway assumes before any response


def serve_and_count_by_endpoint(driver: GatewayDriver, requests: int) -> Counter[bytes]:
    """Serve this many requests, each in the initial mean service time, and count them by endpoint."""
    counts: Counter[bytes] = Counter()
    for _ in range(requests):
        request_id, actions = driver.send_request(quota_plan=UNLIMITED)
        for attempt in of_type(StartAttempt, actions):
            counts[attempt.endpoint_id] += 1
            driver.end_attempt(request_id, attempt.endpoint_id, elapsed_us=INITIAL_SERVICE_TIME_US)
        driver.advance(50 * MS)
    return counts


def test_number_of_examined_endpoints_does_not_grow_with_endpoint_list() -> None:
    examined_counts = []
    for endpoint_count in (40, 200):
        driver = GatewayDriver(endpoints=endpoint_count)
        driver.serve_request(quota_plan=UNLIMITED)
        calls = 0

        def count(endpoint: EndpointRecord, now_us: int) -> float:
            nonlocal calls
            calls += 1
            return 1.0

        driver.gateway.slow_start.warm_up_factor = count  # type: ignore[method-assign]
        driver.serve_request(quota_plan=UNLIMITED)
        examined_counts.append(calls)
    assert 0 < examined_counts[0] == examined_counts[1] <= 20


def test_idle_endpoint_is_preferred_to_one_with_attempts_in_flight() -> None:
    driver = GatewayDriver(endpoints=4)
    started = [of_type(StartAttempt, driver.send_request(quota_plan=UNLIMITED)[1])[0] for _ in range(4)]
    assert len({attempt.endpoint_id for attempt in started}) == 4


def test_load_report_expires_after_a_second() -> None:
    driver = GatewayDriver(endpoints=2)
    request_id, actions = driver.send_request(quota_plan=UNLIMITED)
    [attempt] = of_type(StartAttempt, actions)
    driver.end_attempt(
        request_id, attempt.endpoint_id, elapsed_us=INITIAL_SERVICE_TIME_US, load=LoadReport(in_flight=30.0)
    )
    [other] = {make_endpoint_id(0), make_endpoint_id(1)} - {attempt.endpoint_id}
    driver.now_us += 100 * MS
    request_id, actions = driver.send_request(quota_plan=UNLIMITED)
    assert [action.endpoint_id for action in of_type(StartAttempt, actions)] == [other]
    driver.end_attempt(request_id, other, elapsed_us=INITIAL_SERVICE_TIME_US)
    driver.advance(2 * SECOND)
    assert set(serve_and_count_by_endpoint(driver, 40)) == {attempt.endpoint_id, other}


def test_own_zone_is_preferred_where_crossing_zones_has_a_cost() -> None:
    entries = (make_endpoint(0, zone=0), make_endpoint(1, zone=1))
    counts = []
    for cross_zone_cost in (0.0, 1.0):
        driver = GatewayDriver(endpoints=0, zone=0, cross_zone_cost=cross_zone_cost)
        driver.deliver(EndpointListUpdate(UpdateKind.SNAPSHOT, 2, entries))
        counts.append(serve_and_count_by_endpoint(driver, 40))
    assert counts[0][make_endpoint_id(1)] > 5
    assert counts[1] == {make_endpoint_id(0): 40}

"""Tests of the adaptive limit on all attempts that one gateway has in flight."""

from tests.gateway_driver import MS, SECOND, UNLIMITED, GatewayDriver, make_settings, of_type
from yardlane.decisions.actions import StartAttempt
from yardlane.decisions.concurrency import MAX_CLASS_LIMIT_RATIO, AttemptLimit


def test_slow_responses_lower_the_limit_until_attempts_are_paced() -> None:
    """The limit can fall below one attempt, and attempts are then paced.

    When the limit of each of 168 gateways was at least one attempt, all limits together were too high: the
    endpoints were overloaded, and responses took four seconds.
    """
    driver = GatewayDriver(endpoints=2, gateway_count=100)
    for _ in range(60):
        number, actions = driver.send_request(quota_plan=UNLIMITED)
        actions += driver.advance(2 * SECOND)
        for attempt in of_type(StartAttempt, actions):
            driver.end_attempt(number, attempt.endpoint_id, elapsed_us=700 * MS)
    assert driver.gateway.concurrency.limit < 1.0
    driver.now_us = driver.gateway.concurrency.last_sent_at_us + MS
    assert not of_type(StartAttempt, driver.send_request(quota_plan=UNLIMITED)[1])


def test_fast_responses_raise_the_limit() -> None:
    driver = GatewayDriver(endpoints=2, gateway_count=100)
    driver.gateway.concurrency.limit = 0.1
    for _ in range(200):
        driver.serve_request(quota_plan=UNLIMITED)
        driver.advance(2 * SECOND)
    assert driver.gateway.concurrency.limit >= driver.gateway.concurrency.base_limit


def test_limit_scales_with_the_number_of_endpoints() -> None:
    concurrency = AttemptLimit(make_settings(gateway_count=3))
    concurrency.set_endpoint_count(6)
    assert concurrency.base_limit == 4.0
    before = concurrency.limit
    concurrency.set_endpoint_count(12)
    assert concurrency.base_limit == 8.0 and concurrency.limit == 2 * before


def test_class_with_more_weight_per_time_gets_a_higher_limit_up_to_a_maximum() -> None:
    concurrency = AttemptLimit(make_settings())
    concurrency.limit = 4.0
    for _ in range(5):
        concurrency.record_sent(0)
    assert not concurrency.admits(1.0, 100 * MS, 0)
    assert concurrency.admits(1.5, 100 * MS, 0)
    for _ in range(int(4.0 * MAX_CLASS_LIMIT_RATIO) - 5):
        concurrency.record_sent(0)
    assert not concurrency.admits(100.0, 100 * MS, 0)


def test_attempts_are_paced_when_the_limit_is_below_one() -> None:
    concurrency = AttemptLimit(make_settings())
    concurrency.limit = 0.5
    concurrency.record_sent(10 * SECOND)
    concurrency.record_ended()
    assert not concurrency.admits(1.0, 100 * MS, 10 * SECOND + 199 * MS)
    assert concurrency.admits(1.0, 100 * MS, 10 * SECOND + 200 * MS)

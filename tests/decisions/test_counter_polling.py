"""Tests of when the shared counter is polled, what is reported to it, and the backoff."""

import math
from collections.abc import Callable

import pytest

from tests.decisions.quota_scenarios import exceed_rate, tenant_after_request
from tests.gateway_driver import MS, RATE_LIMITED, SECOND, GatewayDriver, make_settings, of_type
from yardlane.decisions.actions import AddToCounter
from yardlane.decisions.counter_polling import CountingPeriods
from yardlane.decisions.events import Outcome


def count_polls(driver: GatewayDriver, log_start: int = 0) -> int:
    """Return the number of polls in the driver's log, from the entry with index `log_start` on."""
    return len(of_type(AddToCounter, [action for _, action in driver.action_log[log_start:]]))


def test_periods_are_consecutive_and_have_different_keys() -> None:
    periods = CountingPeriods(tenant=9, tenant_key=37, decay_time_us=2.0 * SECOND)
    assert periods.period_us == 16 * SECOND
    index = periods.index_at(77 * SECOND)
    assert periods.start_us(index) <= 77 * SECOND < periods.start_us(index + 1)
    assert periods.start_us(index + 1) - periods.start_us(index) == periods.period_us
    assert periods.index_at(periods.start_us(index)) == index
    assert periods.counter_key(index) != periods.counter_key(index + 1)


def test_periods_of_different_tenants_start_at_different_times() -> None:
    starts = {CountingPeriods(tenant, tenant, 2.0 * SECOND).start_us(0) for tenant in range(100)}
    assert len(starts) == 100


def test_tenant_with_a_recent_total_is_polled_rarely() -> None:
    driver = GatewayDriver()
    exceed_rate(driver, 10)
    log_start = len(driver.action_log)
    exceed_rate(driver, 10)
    assert count_polls(driver, log_start) <= 50  # of 400 requests


@pytest.mark.parametrize("failure", [Outcome.REJECTED, Outcome.TIMED_OUT])
def test_failing_counter_is_polled_less_often(failure: Outcome) -> None:
    """An overloaded counter gets fewer polls, so that it can recover.

    When 174 gateways polled for each request, they sent four times as many polls as the counter could serve.
    It stayed late, and no gateway received a total again.
    """
    driver = GatewayDriver(gateway_count=250)
    driver.counter_responds = False
    driver.counter_failure = failure
    for number in range(400):
        driver.serve_request(tenant=number, quota_plan=RATE_LIMITED, gateway_count=250)
        driver.advance(50 * MS)
    assert count_polls(driver) <= 100


def test_poll_under_backoff_is_scaled_up_for_skipped_polls() -> None:
    driver = GatewayDriver(gateway_count=250)
    driver.gateway.polling.backoff_factor = 4.0
    for number in range(1000):  # about one request in four triggers a poll, which reports four units
        driver.serve_request(tenant=number, quota_plan=RATE_LIMITED, gateway_count=250)
        driver.gateway.polling.backoff_factor = 4.0
    reported = sum(driver.counter_totals.values())
    tenants = driver.gateway.tenants.values()
    starts = [t.periods.start_us(t.periods.index_at(driver.now_us)) for t in tenants]
    ages = [
        (driver.now_us - start) / t.demand.decay_time_us for start, t in zip(starts, tenants, strict=True)
    ]
    mean_weight = sum(math.exp(age) for age in ages) / len(ages)
    assert 0.7 * 1000 < reported / mean_weight < 1.4 * 1000


def test_demand_is_reported_again_after_a_rejected_poll_but_not_after_a_timeout() -> None:
    """After a timeout, the counter may have added the demand; if reported again, it could count twice."""
    driver = GatewayDriver()
    driver.counter_responds = False
    driver.counter_failure = Outcome.REJECTED
    assert tenant_after_request(driver, 5, RATE_LIMITED).demand.unreported_demand == 1.0
    driver.counter_failure = Outcome.TIMED_OUT
    assert tenant_after_request(driver, 6, RATE_LIMITED).demand.unreported_demand == 0.0


def test_backoff_stays_low_with_some_failed_polls_and_grows_when_all_fail() -> None:
    def backoff_factor(gets_reply: Callable[[int], bool]) -> float:
        driver = GatewayDriver(gateway_count=2)
        for number in range(200):
            driver.counter_responds = gets_reply(number)
            driver.serve_request(tenant=number, quota_plan=RATE_LIMITED, gateway_count=2)
            driver.advance(20 * MS)
        return driver.gateway.polling.backoff_factor

    # Two in five polls are lost. With a higher factor, totals would become outdated.
    assert backoff_factor(lambda number: number % 5 not in (1, 3)) < 2.0
    assert backoff_factor(lambda number: False) > 10.0


def test_late_counter_is_polled_less_often_until_it_recovers() -> None:
    """A counter that replies late, but before the timeout, causes backoff.

    Without this, 40 gateways polled a counter slightly more often than it could serve, and over half of all
    polls timed out.
    """
    driver = GatewayDriver(gateway_count=2)

    def count_polls_with_latency(latency_us: int) -> int:
        driver.counter_latency_us = latency_us
        log_start = len(driver.action_log)
        for number in range(200):
            driver.serve_request(tenant=number % 5, quota_plan=RATE_LIMITED, gateway_count=40)
            driver.advance(100 * MS)
        return count_polls(driver, log_start)

    prompt_polls = count_polls_with_latency(MS)
    assert count_polls_with_latency(make_settings().counter_timeout_us * 3 // 4) < prompt_polls / 2
    count_polls_with_latency(MS)
    assert count_polls_with_latency(MS) >= prompt_polls * 0.8
    assert driver.gateway.polling.backoff_factor < 1.01


def test_failed_polls_do_not_multiply_unreported_demand() -> None:
    driver = GatewayDriver(gateway_count=2)
    driver.counter_responds = False
    driver.counter_failure = Outcome.NOT_CONNECTED
    for _ in range(400):
        driver.serve_request(tenant=9, quota_plan=RATE_LIMITED, gateway_count=2)
        driver.advance(10 * MS)
    driver.gateway.polling.backoff_factor = 1.0
    driver.counter_responds = True
    driver.send_request(tenant=9, quota_plan=RATE_LIMITED, gateway_count=2)
    # The poll reports 401 units, which are multiplied by at most e^8 at the end of a period. They must not
    # also be multiplied by the backoff factor for each failed poll.
    last_poll = of_type(AddToCounter, [action for _, action in driver.action_log])[-1]
    assert last_poll.amount < 401 * math.exp(8) * 1.01
    assert driver.gateway.tenants[9, RATE_LIMITED].demand.unreported_demand == 0.0

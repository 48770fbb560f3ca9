"""Tests of the outlier detection: which attempts count as failures or as slow, and what follows from it."""

from __future__ import annotations

import pytest

from tests.gateway_driver import (
    CONCURRENCY_LIMITED,
    MS,
    SECOND,
    UNLIMITED,
    GatewayDriver,
    make_endpoint_id,
    of_type,
)
from yardlane.decisions.actions import StartAttempt
from yardlane.decisions.endpoint_record import EndpointRecord
from yardlane.decisions.events import Outcome
from yardlane.decisions.outliers import OVERDUE_MULTIPLE, decay_factor
from yardlane.decisions.settings import QuotaPlan


def record_of(driver: GatewayDriver, number: int) -> EndpointRecord:
    return driver.gateway.endpoints.by_id[make_endpoint_id(number)]


def count_attempts(driver: GatewayDriver, endpoint_id: bytes) -> int:
    """Return the number of attempts in the action log that were sent to this endpoint."""
    return sum(
        isinstance(action, StartAttempt) and action.endpoint_id == endpoint_id
        for _, action in driver.action_log
    )


def test_unresponsive_endpoint_is_avoided_before_any_timeout() -> None:
    """One of four endpoints accepts requests and never responds.

    If only timeouts counted, it would get a quarter of all requests until the first attempt there times out.
    So an attempt counts as a failure as soon as it is overdue, long before it times out.
    """
    driver = GatewayDriver(endpoints=4)
    unresponsive_id = make_endpoint_id(1)
    for _ in range(2):
        driver.action_log.clear()
        for _ in range(200):
            request_id, actions = driver.send_request(quota_plan=UNLIMITED)
            for attempt in of_type(StartAttempt, actions):
                if attempt.endpoint_id != unresponsive_id:
                    driver.end_attempt(request_id, attempt.endpoint_id, elapsed_us=60 * MS)
            driver.advance(20 * MS)
    assert count_attempts(driver, unresponsive_id) <= 0.1 * 200


def test_endpoint_that_fails_fast_gets_few_attempts() -> None:
    """An endpoint that refuses all connections never has any attempt in flight.

    While the other endpoints are busy, the expected time is lowest there, and it would get most of the
    requests. So its failure rates add a part of the latency objective to its cost.
    """
    driver = GatewayDriver(endpoints=4)
    failing_id = make_endpoint_id(2)
    for _ in range(600):
        _, actions = driver.send_request(quota_plan=UNLIMITED)
        started = of_type(StartAttempt, actions)
        while started:
            attempt = started.pop()
            if attempt.endpoint_id == failing_id:
                actions = driver.end_attempt(
                    attempt.request_id, failing_id, Outcome.NOT_CONNECTED, elapsed_us=MS
                )
                started += of_type(StartAttempt, actions)
        driver.advance(5 * MS)
    assert count_attempts(driver, failing_id) <= 20


def test_timeout_at_short_client_deadline_is_not_counted_as_failure() -> None:
    driver = GatewayDriver(endpoints=1)
    for _ in range(6):
        request_id, actions = driver.send_request(quota_plan=UNLIMITED, time_left_us=60 * MS)
        [attempt] = of_type(StartAttempt, actions)
        driver.end_attempt(request_id, attempt.endpoint_id, Outcome.TIMED_OUT, elapsed_us=60 * MS)
    assert not any(record_of(driver, 0).failure_rates.values())


@pytest.mark.parametrize("outcome", (Outcome.CANCELLED, Outcome.NOT_SENT))
def test_cancelled_or_unsent_attempt_is_not_counted_as_a_failure(outcome: Outcome) -> None:
    driver = GatewayDriver(endpoints=1)
    request_id, actions = driver.send_request(quota_plan=UNLIMITED)
    [attempt] = of_type(StartAttempt, actions)
    driver.end_attempt(request_id, attempt.endpoint_id, outcome)
    assert not any(record_of(driver, 0).failure_rates.values())


def test_overdue_attempt_is_a_failure_unless_endpoint_responds_to_a_later_attempt() -> None:
    silent, slow = GatewayDriver(endpoints=1), GatewayDriver(endpoints=1)
    for driver in (silent, slow):
        driver.send_request(quota_plan=UNLIMITED)
        driver.advance(100 * MS)
    slow.serve_request(quota_plan=UNLIMITED)
    for driver in (silent, slow):
        driver.advance(SECOND)
    assert record_of(silent, 0).failure_rates[None] > 0.2
    assert record_of(slow, 0).failure_rates[None] == 0.0
    assert 1.0 < record_of(slow, 0).latency_ratio < OVERDUE_MULTIPLE


def test_attempts_in_flight_during_a_gateway_stall_are_not_counted() -> None:
    """If the process of a gateway is stopped for two seconds, its attempts seem to have timed out afterwards.

    Responses that arrived in the meantime seem to be late as well. If these attempts were counted, the
    gateway would avoid healthy endpoints.
    """
    driver = GatewayDriver(endpoints=3, gateway_count=100)
    started = [
        action
        for _ in range(2)
        for action in of_type(StartAttempt, driver.send_request(quota_plan=UNLIMITED)[1])
    ]

    def endpoint_averages() -> dict[bytes, tuple[float, dict[QuotaPlan | None, float]]]:
        by_id = driver.gateway.endpoints.by_id
        return {key: (record.latency_ratio, record.failure_rates.copy()) for key, record in by_id.items()}

    before = endpoint_averages()
    driver.now_us += 2 * SECOND  # without a turn in between: the gateway stalls
    for attempt in started:
        driver.end_attempt(attempt.request_id, attempt.endpoint_id, Outcome.TIMED_OUT, elapsed_us=2 * SECOND)
    assert len(started) > 0
    assert before == endpoint_averages()


def test_rejections_count_only_for_the_rejected_plan() -> None:
    """An endpoint that is full for one plan rejects the requests of that plan and serves the others.

    If the rejections counted for all plans, the requests of all plans would be sent to other endpoints, which
    would be overloaded.
    """
    driver = GatewayDriver(endpoints=1)
    for _ in range(5):
        for plan, outcome in ((UNLIMITED, Outcome.REJECTED), (CONCURRENCY_LIMITED, Outcome.OK)):
            for attempt in of_type(StartAttempt, driver.send_request(tenant=plan, quota_plan=plan)[1]):
                driver.end_attempt(attempt.request_id, attempt.endpoint_id, outcome)
    rates = record_of(driver, 0).failure_rates
    plans = driver.settings.quota_plans
    assert rates[plans[UNLIMITED]] > 0.2
    assert rates[None] == rates[plans[CONCURRENCY_LIMITED]] == 0.0


def test_decay_factor_falls_while_an_endpoint_is_unused() -> None:
    assert decay_factor(0) == 1.0
    assert decay_factor(SECOND) == pytest.approx(0.9)
    assert decay_factor(30 * SECOND) < 0.05

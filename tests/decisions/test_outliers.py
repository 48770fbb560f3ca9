"""When an endpoint counts as failing or slow, and what is no sign of it."""

from tests.gateway_driver import CAPPED, FREE, MS, SECOND, GatewayDriver, make_endpoint_id, of_type
from yardlane.decisions.actions import StartAttempt
from yardlane.decisions.events import Outcome


def count_attempts(driver: GatewayDriver, endpoint_id: bytes) -> int:
    """The attempts in the driver's log that went to this endpoint."""
    attempts = of_type(StartAttempt, [action for _, action in driver.log])
    return sum(attempt.endpoint_id == endpoint_id for attempt in attempts)


def test_an_endpoint_that_hangs_is_left_before_its_attempts_time_out() -> None:
    driver = GatewayDriver(servers=4)
    hung = make_endpoint_id(1)
    for step in range(400):
        number, actions = driver.ask(quota_plan=FREE)
        for attempt in of_type(StartAttempt, actions):
            if attempt.endpoint_id != hung:
                driver.end(number, attempt.endpoint_id, elapsed_us=60 * MS)
        driver.run(20 * MS)
        if step == 200:
            driver.log.clear()
    assert count_attempts(driver, hung) <= 0.1 * 200


def test_an_endpoint_that_fails_fast_gets_few_attempts() -> None:
    """While the others were busy, one that failed at once was always free and drew most of the traffic."""
    driver = GatewayDriver(servers=4)
    failing = make_endpoint_id(2)
    for _ in range(600):
        _, actions = driver.ask(quota_plan=FREE)
        attempts = of_type(StartAttempt, actions)
        while attempts:
            attempt = attempts.pop()
            if attempt.endpoint_id == failing:
                ended = driver.end(attempt.request_id, failing, Outcome.NOT_CONNECTED, elapsed_us=MS)
                attempts += of_type(StartAttempt, ended)
        driver.run(5 * MS)
    assert count_attempts(driver, failing) <= 20


def test_a_client_with_little_time_is_no_mark_against_an_endpoint() -> None:
    driver = GatewayDriver(servers=1)
    for _ in range(6):
        number, actions = driver.ask(quota_plan=FREE, time_left_us=60 * MS)
        [attempt] = of_type(StartAttempt, actions)
        driver.end(number, attempt.endpoint_id, Outcome.TIMED_OUT, elapsed_us=60 * MS)
    assert not any(driver.gateway.endpoints.by_id[make_endpoint_id(0)].failure_rates.values())


def test_a_gateway_that_stalled_marks_no_endpoint_for_it() -> None:
    """After a stall of its own every answer looked two seconds late, and each endpoint slow."""
    driver = GatewayDriver(servers=3, gateway_count=100)
    endpoints = driver.gateway.endpoints.by_id.values()
    attempts = [a for _ in range(2) for a in of_type(StartAttempt, driver.ask(quota_plan=FREE)[1])]
    before = [(endpoint.latency_ratio, endpoint.failure_rates.copy()) for endpoint in endpoints]
    driver.now += 2 * SECOND  # no timer fires meanwhile
    for attempt in attempts:
        driver.end(attempt.request_id, attempt.endpoint_id, Outcome.TIMED_OUT, elapsed_us=2 * SECOND)
    assert len(attempts) > 0
    assert before == [(endpoint.latency_ratio, endpoint.failure_rates) for endpoint in endpoints]


def test_an_endpoint_that_rejects_one_plan_is_left_by_that_plan_only() -> None:
    """Endpoints that rejected one plan as full were left by all plans, and the others were overloaded."""
    driver = GatewayDriver(servers=1)
    for _ in range(5):
        for plan in (FREE, CAPPED):
            outcome = Outcome.REJECTED if plan == FREE else Outcome.OK
            for attempt in of_type(StartAttempt, driver.ask(tenant=plan, quota_plan=plan)[1]):
                driver.end(attempt.request_id, attempt.endpoint_id, outcome)
    failure_rates = driver.gateway.endpoints.by_id[make_endpoint_id(0)].failure_rates
    plans = driver.settings.quota_plans
    assert failure_rates[plans[FREE]] > 0.2
    assert failure_rates[None] == failure_rates[plans[CAPPED]] == 0.0

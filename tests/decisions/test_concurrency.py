"""The adaptive limit on all attempts in flight of one gateway."""

from tests.gateway_driver import FREE, MS, SECOND, GatewayDriver, of_type
from yardlane.decisions.actions import StartAttempt


def test_late_answers_lower_the_limit_below_one_attempt() -> None:
    """With 168 gateways a slow backend was driven to answers of four seconds, as no gateway held back."""
    driver = GatewayDriver(servers=2, gateway_count=100)
    for _ in range(60):
        number, actions = driver.ask(quota_plan=FREE)
        actions += driver.run(2 * SECOND)
        for attempt in of_type(StartAttempt, actions):
            driver.end(number, attempt.endpoint_id, elapsed_us=700 * MS)
    assert driver.gateway.concurrency.limit < 1.0
    driver.now = driver.gateway.concurrency.last_sent_at_us + MS
    assert not of_type(StartAttempt, driver.ask(quota_plan=FREE)[1])


def test_good_answers_raise_the_limit() -> None:
    driver = GatewayDriver(servers=2, gateway_count=100)
    driver.gateway.concurrency.limit = 0.1
    for _ in range(200):
        driver.serve(quota_plan=FREE)
        driver.run(2 * SECOND)
    assert driver.gateway.concurrency.limit >= driver.gateway.concurrency.base_limit

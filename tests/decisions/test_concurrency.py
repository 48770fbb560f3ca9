"""The adaptive limit on all attempts in flight of one gateway."""

from tests.gateway_driver import (
    FREE,
    MS,
    SECOND,
    GatewayDriver,
    of_type,
)
from yardlane.decisions.actions import StartAttempt


def test_the_window_narrows_on_late_answers_down_to_a_rest() -> None:
    """Lost: with 168 gateways a slow back end was driven to answers of four seconds: none held back."""
    desk = GatewayDriver(servers=2, gateway_count=100)
    for _ in range(60):
        number, actions = desk.ask(quota_plan=FREE)
        actions += desk.run(2 * SECOND)
        for send in of_type(StartAttempt, actions):
            desk.end(number, send.endpoint_id, elapsed_us=700 * MS)
    assert desk.gateway.concurrency.limit < 1.0
    desk.now = desk.gateway.concurrency.last_sent_at_us + MS
    assert not of_type(StartAttempt, desk.ask(quota_plan=FREE)[1])


def test_the_window_opens_again_on_good_answers() -> None:
    desk = GatewayDriver(servers=2, gateway_count=100)
    desk.gateway.concurrency.limit = 0.1
    for _ in range(200):
        desk.serve(quota_plan=FREE)
        desk.run(2 * SECOND)
    assert desk.gateway.concurrency.limit >= desk.gateway.concurrency.base_limit

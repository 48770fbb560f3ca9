"""What a rejected client learns about when to come back."""

from tests.gateway_driver import (
    GatewayDriver,
    make_quota_plan,
    of_type,
)
from yardlane.decisions.actions import Reject


def test_a_refusal_goes_out_at_once_and_tells_when_to_return() -> None:
    """Lost: no refusal said when to come back, so clients came again at once, to be refused again."""
    desk = GatewayDriver(quota_plans=(make_quota_plan(rate_per_s=1.0, burst=2.0),))
    for _ in range(40):
        _, actions = desk.ask(quota_plan=0)
        if refusals := of_type(Reject, actions):
            break
    assert refusals  # in the same turn as the arrival
    assert 0 < refusals[0].retry_after_us <= desk.settings.max_retry_after_us
    assert (
        refusals[0].retry_after_us < desk.gateway.service_times.mean_us[0]
    )  # later, the next try could not be in time


def test_no_advice_where_the_settings_allow_none() -> None:
    desk = GatewayDriver(
        quota_plans=(make_quota_plan(rate_per_s=1.0, burst=2.0),), may_send_retry_after=False
    )
    refusals = [r for _ in range(40) for r in of_type(Reject, desk.ask(quota_plan=0)[1])]
    assert refusals and all(r.retry_after_us == 0 for r in refusals)

"""Tests of the `Retry-After` that a rejected client gets."""

from tests.gateway_driver import GatewayDriver, make_quota_plan, of_type
from yardlane.decisions.actions import Reject

SMALL_PLAN = make_quota_plan(rate_per_s=1.0, burst=2.0)


def test_rejection_is_immediate_and_carries_retry_after() -> None:
    """A rejection is sent without delay and tells the client when to retry.

    When rejections did not say this, clients retried immediately and were rejected again.
    """
    driver = GatewayDriver(quota_plans=(SMALL_PLAN,))
    for _ in range(40):
        _, actions = driver.send_request(quota_plan=0)
        if rejections := of_type(Reject, actions):
            break
    assert rejections  # in the same turn as the request's arrival
    retry_after_us = rejections[0].retry_after_us
    assert 0 < retry_after_us <= driver.settings.max_retry_after_us
    # The longer a client waits, the less likely its retry is to be served within the latency objective.
    assert retry_after_us < driver.gateway.service_times.mean_us[0]


def test_no_retry_after_when_the_settings_disable_it() -> None:
    driver = GatewayDriver(quota_plans=(SMALL_PLAN,), may_send_retry_after=False)
    rejections = [r for _ in range(40) for r in of_type(Reject, driver.send_request(quota_plan=0)[1])]
    assert rejections and all(rejection.retry_after_us == 0 for rejection in rejections)

"""Helpers that the tests of tenants' quotas share."""

from tests.gateway_driver import RATE_LIMITED, SECOND, GatewayDriver
from yardlane.decisions.tenant import Tenant


def tenant_after_request(driver: GatewayDriver, number: int, plan: int) -> Tenant:
    """Send a request of a tenant and return the tenant."""
    driver.send_request(tenant=number, quota_plan=plan)
    return driver.gateway.tenants[number, plan]


def exceed_rate(driver: GatewayDriver, seconds: int, requests_per_s: int = 40) -> int:
    """Send a tenant's requests for some seconds, by default at four times its rate of 10 per second.

    Return how many requests were forwarded in the last second.
    """
    forwarded = 0
    for _ in range(seconds):
        forwarded = 0
        for _ in range(requests_per_s):
            forwarded += driver.serve_request(tenant=5, quota_plan=RATE_LIMITED)
            driver.advance(SECOND // requests_per_s)
    return forwarded

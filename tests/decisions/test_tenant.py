"""Tests of which tenants a gateway keeps, and of tenants with several plans."""

import pytest

from tests.gateway_driver import HARD_RATE_LIMITED, MS, RATE_LIMITED, SECOND, GatewayDriver
from yardlane.decisions import tenant


def test_idle_tenant_is_evicted_only_once_its_hard_rate_bucket_is_full() -> None:
    driver = GatewayDriver()
    driver.advance(5 * SECOND)
    assert driver.serve_request(tenant=6, quota_plan=HARD_RATE_LIMITED)
    driver.serve_request(tenant=5, quota_plan=RATE_LIMITED)
    driver.advance(21 * SECOND)
    bucket = driver.gateway.tenants[6, HARD_RATE_LIMITED].hard_rate
    bucket.refill(driver.now_us)
    bucket.units = -3.0  # it takes some seconds more to fill
    driver.serve_request(tenant=7, quota_plan=RATE_LIMITED)
    assert set(driver.gateway.tenants) == {(6, HARD_RATE_LIMITED), (5, RATE_LIMITED), (7, RATE_LIMITED)}
    driver.advance(19 * SECOND)
    driver.serve_request(tenant=7, quota_plan=RATE_LIMITED)
    assert set(driver.gateway.tenants) == {(7, RATE_LIMITED)}


def test_tenants_with_a_single_request_do_not_accumulate() -> None:
    """A tenant with frequent requests does not prevent the eviction of idle tenants that came after it."""
    driver = GatewayDriver(gateway_count=2)
    driver.serve_request(tenant=1, quota_plan=RATE_LIMITED, gateway_count=2)
    for number in range(2, 1500):
        driver.serve_request(
            tenant=number, quota_plan=(RATE_LIMITED, HARD_RATE_LIMITED)[number % 2], gateway_count=2
        )
        driver.serve_request(tenant=1, quota_plan=RATE_LIMITED, gateway_count=2)
        driver.advance(100 * MS)
    assert len(driver.gateway.tenants) <= 210  # those of the last 20 s and the frequent one
    driver.advance(10 * SECOND)
    assert not driver.gateway.requests and not len(driver.gateway.polling) and len(driver.gateway.timers) < 10


def test_tenant_under_another_plan_is_kept_as_a_separate_tenant() -> None:
    driver = GatewayDriver()
    driver.serve_request(tenant=9, quota_plan=HARD_RATE_LIMITED, units=1.0)
    driver.serve_request(tenant=9, quota_plan=RATE_LIMITED)
    assert [tenant.plan for tenant in driver.gateway.tenants.values()] == [
        driver.settings.quota_plans[HARD_RATE_LIMITED],
        driver.settings.quota_plans[RATE_LIMITED],
    ]


def test_requests_under_ever_new_names_do_not_fill_the_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client sends each request under another account at full speed. All of them are recent, and the number
    of tenants had no limit."""
    monkeypatch.setattr(tenant, "MAX_TENANTS", 50)
    driver = GatewayDriver()
    for number in range(500):
        driver.serve_request(tenant=number, quota_plan=RATE_LIMITED)
        driver.advance(1 * MS)
    assert len(driver.gateway.tenants) <= 51
    assert (499, RATE_LIMITED) in driver.gateway.tenants


def test_tenant_whose_hard_rate_bucket_is_not_full_stays_among_ever_new_names(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A tenant could get a full bucket by sending under other names meanwhile, and exceed its hard rate."""
    monkeypatch.setattr(tenant, "MAX_TENANTS", 50)
    driver = GatewayDriver()
    driver.advance(5 * SECOND)
    assert driver.serve_request(tenant=600, quota_plan=HARD_RATE_LIMITED)
    bucket = driver.gateway.tenants[600, HARD_RATE_LIMITED].hard_rate
    bucket.units = -1000.0
    for number in range(500):
        driver.serve_request(tenant=number, quota_plan=RATE_LIMITED)
        driver.advance(1 * MS)
    assert driver.gateway.tenants[600, HARD_RATE_LIMITED].hard_rate is bucket
    assert len(driver.gateway.tenants) <= 52

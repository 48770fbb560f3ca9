"""Tests of which tenants a gateway keeps, and of tenants with several plans."""

from tests.gateway_driver import HARD_RATED, MS, RATED, SECOND, GatewayDriver


def test_idle_tenant_is_evicted_only_once_its_hard_rate_bucket_is_full() -> None:
    driver = GatewayDriver()
    driver.run(5 * SECOND)
    assert driver.serve(tenant=6, quota_plan=HARD_RATED)
    driver.serve(tenant=5, quota_plan=RATED)
    driver.run(21 * SECOND)
    bucket = driver.gateway.tenants[6, HARD_RATED].hard_rate
    bucket.refill(driver.now)
    bucket.units = -3.0  # it takes some seconds more to fill
    driver.serve(tenant=7, quota_plan=RATED)
    assert set(driver.gateway.tenants) == {(6, HARD_RATED), (5, RATED), (7, RATED)}
    driver.run(19 * SECOND)
    driver.serve(tenant=7, quota_plan=RATED)
    assert set(driver.gateway.tenants) == {(7, RATED)}


def test_tenants_with_a_single_request_do_not_accumulate() -> None:
    """A tenant with frequent requests does not prevent the eviction of idle tenants that came after it."""
    driver = GatewayDriver(gateway_count=2)
    driver.serve(tenant=1, quota_plan=RATED, gateway_count=2)
    for number in range(2, 1500):
        driver.serve(tenant=number, quota_plan=(RATED, HARD_RATED)[number % 2], gateway_count=2)
        driver.serve(tenant=1, quota_plan=RATED, gateway_count=2)
        driver.run(100 * MS)
    assert len(driver.gateway.tenants) <= 210  # those of the last 20 s and the frequent one
    driver.run(10 * SECOND)
    assert not driver.gateway.requests and not len(driver.gateway.polling) and len(driver.gateway.timers) < 10


def test_tenant_under_another_plan_is_kept_as_a_separate_tenant() -> None:
    driver = GatewayDriver()
    driver.serve(tenant=9, quota_plan=HARD_RATED, units=1.0)
    driver.serve(tenant=9, quota_plan=RATED)
    assert [tenant.plan for tenant in driver.gateway.tenants.values()] == [
        driver.settings.quota_plans[HARD_RATED],
        driver.settings.quota_plans[RATED],
    ]

"""Tests of local and fleet demand, of the concurrency bound, and of quotas while the counter fails."""

import math

import pytest

from tests.decisions.quota_scenarios import exceed_rate, tenant_after_request
from tests.gateway_driver import (
    CONCURRENCY_LIMITED,
    MS,
    RATE_LIMITED,
    SECOND,
    GatewayDriver,
    make_quota_plan,
    of_type,
)
from yardlane.decisions.actions import AddToCounter, StartAttempt
from yardlane.decisions.quota import TenantDemand, split_concurrency_limit


def bound_with_remote_demand(remote_demand: float) -> int:
    """Return the concurrency bound after 20 requests; each count already holds this demand of others."""
    driver = GatewayDriver()
    driver.remote_demand = remote_demand
    for _ in range(20):
        driver.serve_request(tenant=4, quota_plan=CONCURRENCY_LIMITED)
        driver.advance(200 * MS)
    return driver.gateway.tenants[4, CONCURRENCY_LIMITED].concurrency_bound


def test_concurrency_bound_starts_at_an_even_share_of_the_limit() -> None:
    driver = GatewayDriver()
    driver.counter_responds = False
    forwarded = [
        of_type(StartAttempt, driver.send_request(tenant=4, quota_plan=CONCURRENCY_LIMITED)[1])
        for _ in range(5)
    ]
    bound = driver.gateway.tenants[4, CONCURRENCY_LIMITED].concurrency_bound
    assert sum(bool(attempts) for attempts in forwarded) == 2 == bound


@pytest.mark.parametrize(
    ("local_demand", "fleet_demand", "bound"),
    [
        (0.0, 0.0, 2),
        (1.0, 3.0, 2),
        (3.0, 4.5, 3),
        (3.0, 6.0, 3),
        (6.0, 12.0, 3),
        (0.2, 12.0, 1),
    ],
)
def test_concurrency_limit_is_split_by_demand(local_demand: float, fleet_demand: float, bound: int) -> None:
    assert split_concurrency_limit(6, 3, local_demand, fleet_demand) == bound


def test_concurrency_bound_shrinks_when_remote_demand_grows() -> None:
    assert bound_with_remote_demand(0.0) > bound_with_remote_demand(1e4) == 1


def test_local_demand_decays_and_is_unreported_until_a_poll() -> None:
    plan = make_quota_plan(rate_per_s=10.0, burst=20.0)
    demand = TenantDemand(plan, gateway_count=1, counter_timeout_us=40 * MS, now_us=0)
    demand.add(2.0, 0)
    demand.add(3.0, 2 * SECOND)
    assert demand.decay_time_us == demand.local_decay_time_us == 2 * SECOND
    assert demand.local_demand == pytest.approx(3.0 + 2.0 * math.exp(-1.0))
    assert demand.unreported_demand == 5.0


def test_fleet_estimate_scales_with_local_demand_between_totals() -> None:
    plan = make_quota_plan(rate_per_s=10.0, burst=20.0)
    demand = TenantDemand(plan, gateway_count=3, counter_timeout_us=40 * MS, now_us=0)
    demand.add(10.0, 0)
    assert demand.estimate_fleet_demand(1.0) == pytest.approx(10.0 * 3 / 1.4)
    demand.apply_total(12.0, 0, 0, 20.0, 0)
    assert demand.estimate_fleet_demand(1.0) == pytest.approx(12.0 + 0.5 * 20.0)
    demand.add(13.0, 0)
    assert demand.estimate_fleet_demand(1.0) == pytest.approx(2 * (12.0 + 0.5 * 20.0))


def test_fleet_demand_carries_over_into_a_new_period_and_decays() -> None:
    driver = GatewayDriver()
    tenant = tenant_after_request(driver, 5, RATE_LIMITED)
    index = tenant.periods.index_at(driver.now_us)
    start_us = tenant.periods.start_us(index)
    demand = tenant.demand
    demand.total_received_at_us = start_us
    demand.fleet_demand = 12.0
    tenant.apply_total(1.0, index, 20.0, start_us)
    assert demand.fleet_demand == pytest.approx(13.0)
    tenant.apply_total(math.exp(4.0), index, 20.0, start_us + 4 * int(demand.decay_time_us))
    assert demand.fleet_demand == pytest.approx(1.0 + 12.0 * math.exp(-4.0))


def test_quota_holds_when_the_counter_stops_replying() -> None:
    """A quota is still enforced many seconds after the last total.

    When the rejection probability was used for only a few seconds after the last total, a later burst was
    forwarded completely.
    """
    driver = GatewayDriver()
    exceed_rate(driver, 6)
    driver.counter_responds = False
    assert exceed_rate(driver, 15) <= 12


def test_quota_holds_without_a_counter() -> None:
    driver = GatewayDriver(has_shared_counter=False)
    # The other gateways are assumed to get about as many requests. So this gateway forwards about 1.4 even
    # shares of the rate, which are 4.7 requests per second.
    assert exceed_rate(driver, 10) <= 6
    assert not any(isinstance(action, AddToCounter) for _, action in driver.action_log)


def test_quota_holds_when_the_counter_loses_its_counts() -> None:
    driver = GatewayDriver()
    exceed_rate(driver, 6)
    for _ in range(3):
        driver.counter_totals = dict.fromkeys(driver.counter_totals, 0.0)
        assert exceed_rate(driver, 1) <= 14


def test_quota_holds_in_a_large_fleet_before_the_first_total() -> None:
    """Before the first total, the quota is enforced with an estimate of the fleet's demand.

    Without this, each of 200 gateways admitted requests of a tenant with high demand again and again while
    the counter was overloaded.
    """
    driver = GatewayDriver(endpoints=100, gateway_count=200)
    driver.counter_responds = False
    forwarded = 0
    for _ in range(40):
        forwarded += driver.serve_request(tenant=5, quota_plan=RATE_LIMITED, gateway_count=200)
        driver.advance(SECOND)
    assert 2 <= forwarded <= 8  # an even share of the rate over 40 s is two requests

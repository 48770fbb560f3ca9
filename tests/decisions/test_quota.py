"""A tenant's demand here and over all gateways, the concurrency bound, and what holds without a counter."""

import math

import pytest

from tests.decisions.quota_scenarios import find_tenant, flood
from tests.gateway_driver import (
    CAPPED,
    FREE,
    MS,
    RATED,
    SECOND,
    GatewayDriver,
    make_endpoint_id,
    make_quota_plan,
    of_type,
)
from yardlane.decisions.actions import AddToCounter, Reject, StartAttempt
from yardlane.decisions.endpoint_record import EndpointRecord
from yardlane.decisions.events import Outcome
from yardlane.decisions.quota import TenantDemand, concurrency_bound


def bound_after(demand_of_others: float) -> int:
    """The bound after requests here, while the other gateways have added so much to the same count."""
    driver = GatewayDriver()
    driver.others = demand_of_others
    for _ in range(20):
        driver.serve(tenant=4, quota_plan=CAPPED)
        driver.run(200 * MS)
    return driver.gateway.tenants[4, CAPPED].concurrency_bound


def test_the_bound_starts_at_an_even_share_of_the_limit() -> None:
    driver = GatewayDriver()
    driver.counter_answers = False
    forwarded = [of_type(StartAttempt, driver.ask(tenant=4, quota_plan=CAPPED)[1]) for _ in range(5)]
    bound = driver.gateway.tenants[4, CAPPED].concurrency_bound
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
def test_a_limit_of_six_is_split_over_three_gateways_by_demand(
    local_demand: float, fleet_demand: float, bound: int
) -> None:
    assert concurrency_bound(6, 3, local_demand, fleet_demand) == bound


def test_the_bound_follows_the_fleets_total() -> None:
    assert bound_after(0.0) > bound_after(1e4) == 1


def test_local_demand_decays_and_is_unreported_until_a_poll() -> None:
    plan = make_quota_plan(rate_per_s=10.0, burst=20.0)
    demand = TenantDemand(plan, gateway_count=1, counter_timeout_us=40 * MS, now_us=0)
    demand.add(2.0, 0)
    demand.add(3.0, 2 * SECOND)
    assert demand.decay_us == demand.local_decay_us == 2 * SECOND
    assert demand.local_demand == pytest.approx(3.0 + 2.0 * math.exp(-1.0))
    assert demand.unreported_demand == 5.0


def test_the_estimate_follows_the_local_demand_between_two_totals() -> None:
    plan = make_quota_plan(rate_per_s=10.0, burst=20.0)
    demand = TenantDemand(plan, gateway_count=3, counter_timeout_us=40 * MS, now_us=0)
    demand.add(10.0, 0)
    assert demand.estimate_fleet_demand(1.0) == pytest.approx(10.0 * 3 / 1.4)
    demand.apply_total(12.0, 0, 0, 20.0, 0)
    assert demand.estimate_fleet_demand(1.0) == pytest.approx(12.0 + 0.5 * 20.0)
    demand.add(13.0, 0)
    assert demand.estimate_fleet_demand(1.0) == pytest.approx(2 * (12.0 + 0.5 * 20.0))


def test_a_total_decays_and_a_new_period_starts_from_the_last_one() -> None:
    driver = GatewayDriver()
    tenant = find_tenant(driver, 5, RATED)
    index = tenant.periods.index_at(driver.now)
    start_us = tenant.periods.start_us(index)
    demand = tenant.demand
    demand.total_received_at_us = start_us
    demand.fleet_demand = 12.0
    tenant.apply_total(1.0, index, 20.0, start_us)
    assert demand.fleet_demand == pytest.approx(13.0)
    tenant.apply_total(math.exp(4.0), index, 20.0, start_us + 4 * int(demand.decay_us))
    assert demand.fleet_demand == pytest.approx(1.0 + 12.0 * math.exp(-4.0))


def test_a_silent_counter_does_not_open_the_quota() -> None:
    """The chance of rejection was kept for seconds only after the last total; then a flood passed whole."""
    driver = GatewayDriver()
    flood(driver, 6)
    driver.counter_answers = False
    assert flood(driver, 15) <= 12


def test_without_any_counter_a_quota_still_holds() -> None:
    driver = GatewayDriver(has_shared_counter=False)
    assert flood(driver, 10) <= 6  # its even share: the others are taken to be asked as much
    assert not any(isinstance(action, AddToCounter) for _, action in driver.log)


def test_a_counter_that_loses_its_counts_does_not_open_the_quota() -> None:
    driver = GatewayDriver()
    flood(driver, 6)
    for _ in range(3):
        driver.counts = dict.fromkeys(driver.counts, 0.0)
        assert flood(driver, 1) <= 14


def test_before_the_first_total_demand_is_estimated_from_what_came_here() -> None:
    """With the counter overloaded, each of 200 gateways admitted a heavy tenant, again and again."""
    driver = GatewayDriver(servers=100, gateway_count=200)
    driver.counter_answers = False
    forwarded = 0
    for _ in range(40):
        forwarded += driver.serve(tenant=5, quota_plan=RATED, gateway_count=200)
        driver.run(SECOND)
    assert 2 <= forwarded <= 8  # an even share of the rate is two


def test_the_same_events_and_seed_give_the_same_actions() -> None:
    def log() -> list[object]:
        desk = GatewayDriver(seed=11)
        for n in range(200):
            desk.ask(tenant=n % 7, quota_plan=n % 4, request_class=n % 3)
            desk.run(13 * MS)
        return list(desk.log)

    assert log() == log()


def test_a_hung_server_is_left_before_its_time_out() -> None:
    desk = GatewayDriver(servers=4)
    hung = make_endpoint_id(1)
    for n in range(400):
        number, actions = desk.ask(quota_plan=FREE)
        for send in of_type(StartAttempt, actions):
            if send.endpoint_id != hung:
                desk.end(number, send.endpoint_id, elapsed_us=60 * MS)
        desk.run(20 * MS)
        if n == 200:
            desk.log.clear()
    late = [a for _, a in desk.log if isinstance(a, StartAttempt) and a.endpoint_id == hung]
    assert len(late) <= 0.1 * 200


def test_a_server_that_fails_fast_gets_trials_only() -> None:
    """Lost: with the others full it had room at once and drew most of the traffic."""
    desk = GatewayDriver(servers=4)
    bad = make_endpoint_id(2)
    for _ in range(600):
        _, actions = desk.ask(quota_plan=FREE)
        todo = of_type(StartAttempt, actions)
        while todo:
            send = todo.pop()
            if send.endpoint_id == bad:
                todo += of_type(
                    StartAttempt, desk.end(send.request_id, bad, Outcome.NOT_CONNECTED, elapsed_us=MS)
                )
        desk.run(5 * MS)
    tries = [a for _, a in desk.log if isinstance(a, StartAttempt) and a.endpoint_id == bad]
    assert len(tries) <= 20


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


def test_a_client_with_little_time_is_no_mark_against_a_server() -> None:
    desk = GatewayDriver(servers=1)
    for _ in range(6):
        number, actions = desk.ask(quota_plan=FREE, time_left_us=60 * MS)
        desk.end(number, of_type(StartAttempt, actions)[0].endpoint_id, Outcome.TIMED_OUT, elapsed_us=60 * MS)
    assert not any(desk.gateway.endpoints.by_id[make_endpoint_id(0)].failure_rates.values())


def test_a_doubled_outcome_changes_nothing() -> None:
    desk = GatewayDriver(servers=1)
    number, _ = desk.ask(quota_plan=FREE)
    desk.ask(quota_plan=FREE)
    for _ in range(3):
        desk.end(number, make_endpoint_id(0), Outcome.OK)
    assert (
        desk.gateway.concurrency.in_flight == 1 == desk.gateway.endpoints.by_id[make_endpoint_id(0)].in_flight
    )


def test_a_pick_looks_at_few_servers_however_many_there_are() -> None:
    looked = []
    for servers in (40, 200):
        desk = GatewayDriver(servers=servers)
        desk.serve(quota_plan=FREE)
        calls = 0

        def count(endpoint: EndpointRecord, now_us: int) -> float:
            nonlocal calls
            calls += 1
            return 1.0

        desk.gateway.slow_start.warm_up_factor = count  # type: ignore[method-assign]
        desk.serve(quota_plan=FREE)
        looked.append(calls)
    assert 0 < looked[0] == looked[1] <= 20


def test_a_gateway_that_stood_still_shuns_no_server_for_it() -> None:
    """Lost: after a pause of its own every answer looked two seconds late and marked its server."""
    desk = GatewayDriver(servers=3, gateway_count=100)
    sent = [of_type(StartAttempt, desk.ask(quota_plan=FREE)[1]) for _ in range(2)]
    before = {n: (s.latency_ratio, s.failure_rates.copy()) for n, s in desk.gateway.endpoints.by_id.items()}
    desk.now += 2 * SECOND  # nobody woke it
    for send in (a for actions in sent for a in actions):
        desk.end(send.request_id, send.endpoint_id, Outcome.TIMED_OUT, elapsed_us=2 * SECOND)
    assert sum(len(actions) for actions in sent) > 0
    assert before == {
        n: (s.latency_ratio, s.failure_rates.copy()) for n, s in desk.gateway.endpoints.by_id.items()
    }


def test_a_server_full_for_one_plan_is_left_by_that_plan_only() -> None:
    """Lost: servers that turned one plan away as full were left by all plans, and the rest ran over."""
    desk = GatewayDriver(servers=1)
    for _ in range(5):
        for plan_ in (FREE, CAPPED):
            for send in of_type(StartAttempt, desk.ask(tenant=plan_, quota_plan=plan_)[1]):
                desk.end(send.request_id, send.endpoint_id, Outcome.REJECTED if plan_ == FREE else Outcome.OK)
    bad = desk.gateway.endpoints.by_id[make_endpoint_id(0)].failure_rates
    assert (
        bad[desk.settings.quota_plans[FREE]] > 0.2
        and bad[None] == bad[desk.settings.quota_plans[CAPPED]] == 0.0
    )


def test_a_refusal_goes_out_at_once_and_tells_when_to_return() -> None:
    """Lost: no refusal said when to come back, so clients came again at once, to be refused again."""
    desk = GatewayDriver(quota_plans=(make_quota_plan(rate_per_s=1.0, burst=2.0),))
    for _ in range(40):
        _, actions = desk.ask(quota_plan=0)
        if refusals := of_type(Reject, actions):
            break
    assert refusals  # in the same turn as the arrival
    assert 0 < refusals[0].retry_after_us <= desk.settings.max_retry_after_us
    # Later, the next attempt could not be in time.
    assert refusals[0].retry_after_us < desk.gateway.service_times.mean_us[0]


def test_no_advice_where_the_settings_allow_none() -> None:
    desk = GatewayDriver(
        quota_plans=(make_quota_plan(rate_per_s=1.0, burst=2.0),), may_send_retry_after=False
    )
    refusals = [r for _ in range(40) for r in of_type(Reject, desk.ask(quota_plan=0)[1])]
    assert refusals and all(r.retry_after_us == 0 for r in refusals)

"""Tests of admission: rates, bursts, queueing, and concurrency limits below the number of gateways."""

from collections import deque
from dataclasses import dataclass

import pytest

from tests.decisions.quota_scenarios import exceed_rate, tenant_after_request
from tests.gateway_driver import (
    CLASSES,
    CONCURRENCY_LIMITED,
    MS,
    RATE_LIMITED,
    SECOND,
    GatewayDriver,
    make_quota_plan,
    of_type,
)
from yardlane.decisions import admission
from yardlane.decisions.actions import AddToCounter, Reject, StartAttempt

START_US = 77 * SECOND


@dataclass
class AttemptInFlight:
    """An attempt that a gateway of the fleet has sent, and the time at which its response arrives."""

    ends_at_us: int
    driver: GatewayDriver
    attempt: StartAttempt


class ConcurrencyLimitedFleet:
    """Gateways that share a counter and enforce one concurrency limit; all responses take the same time."""

    def __init__(self, gateway_count: int, concurrency_limit: int, service_us: int) -> None:
        plans = (make_quota_plan(concurrency_limit=concurrency_limit),)
        self.drivers = [
            GatewayDriver(gateway_count=gateway_count, rank=rank, seed=rank, quota_plans=plans)
            for rank in range(gateway_count)
        ]
        for driver in self.drivers:
            driver.counter_totals = self.drivers[0].counter_totals
        self.service_us = service_us
        self.in_flight: deque[AttemptInFlight] = deque()
        self.forwarded = 0

    def send_request(self, now_us: int, rank: int, tenant: int) -> None:
        """Deliver the responses that are due by `now_us`, then send a request to one gateway."""
        while self.in_flight and self.in_flight[0].ends_at_us <= now_us:
            ended = self.in_flight.popleft()
            ended.driver.now_us = ended.ends_at_us
            ended.driver.end_attempt(
                ended.attempt.request_id, ended.attempt.endpoint_id, elapsed_us=self.service_us
            )
        driver = self.drivers[rank]
        driver.now_us = now_us
        _, actions = driver.send_request(tenant=tenant, quota_plan=0, gateway_count=len(self.drivers))
        for attempt in of_type(StartAttempt, actions):
            self.in_flight.append(AttemptInFlight(now_us + self.service_us, driver, attempt))
            self.forwarded += 1


def test_requests_over_the_concurrency_bound_queue_until_a_slot_is_free() -> None:
    driver = GatewayDriver()
    first, actions = driver.send_request(tenant=4, quota_plan=CONCURRENCY_LIMITED)
    endpoint_id = of_type(StartAttempt, actions)[0].endpoint_id
    driver.send_request(tenant=4, quota_plan=CONCURRENCY_LIMITED)
    queued, actions = driver.send_request(tenant=4, quota_plan=CONCURRENCY_LIMITED)
    assert not actions or not of_type(StartAttempt, actions) + of_type(Reject, actions)
    assert [a.request_id for a in of_type(StartAttempt, driver.end_attempt(first, endpoint_id))] == [queued]


def test_queued_request_is_rejected_before_its_latency_objective() -> None:
    driver = GatewayDriver()
    for _ in range(2):
        driver.send_request(tenant=4, quota_plan=CONCURRENCY_LIMITED)
    start_us = driver.now_us
    queued, _ = driver.send_request(tenant=4, quota_plan=CONCURRENCY_LIMITED)
    driver.advance(900 * MS)
    rejected_at = [at for at, a in driver.action_log if isinstance(a, Reject) and a.request_id == queued]
    assert len(rejected_at) == 1 and rejected_at[0] < start_us + 900 * MS


@pytest.mark.parametrize(
    ("service_us", "time_left_us", "max_time_us"),
    [
        (100 * MS, 3 * SECOND, 480 * MS),  # 0.6 * (objective of 900 ms - service time)
        (100 * MS, SECOND, 400 * MS),  # 0.4 * (time until the client's deadline)
        (950 * MS, 3 * SECOND, 0),  # the service time alone exceeds the objective
    ],
)
def test_max_queueing_time_is_limited_by_objective_and_deadline(
    service_us: int, time_left_us: int, max_time_us: int
) -> None:
    assert admission.max_queueing_time_us(CLASSES[0], service_us, time_left_us) == max_time_us


def test_demand_over_the_capacity_is_rejected_evenly() -> None:
    """With a demand of 39.9 units and an available capacity of about 27, two of four requests are admitted.

    With a rate of 10 and a burst of 20, the decay time is 2 s, in which the rate supplies 20 units. Nine
    tenths of these and half of the remaining burst, which is about 19 units, are the available capacity.
    """
    driver = GatewayDriver()
    tenant = tenant_after_request(driver, 5, RATE_LIMITED)
    assert tenant.demand.decay_time_us == 2 * SECOND
    tenant.demand.fleet_demand = 39.9
    tenant.demand.total_received_at_us = driver.now_us
    tenant.demand.local_demand = 1e9
    tenant.demand.local_demand_at_total = 1e9
    tenant.admission_credit = 0.0
    forwarded = [
        of_type(StartAttempt, driver.send_request(tenant=5, quota_plan=RATE_LIMITED)[1]) for _ in range(4)
    ]
    assert sum(bool(attempts) for attempts in forwarded) == 2


def test_sustained_overload_is_limited_to_the_rate() -> None:
    driver = GatewayDriver()
    assert exceed_rate(driver, 8) <= 12
    assert any(isinstance(action, AddToCounter) for _, action in driver.action_log)


def test_burst_is_forwarded_after_a_pause_but_not_under_sustained_overload() -> None:
    plans = (make_quota_plan(rate_per_s=10.0, burst=40.0),)
    driver = GatewayDriver(gateway_count=1, quota_plans=plans)
    forwarded = sum(driver.serve_request(tenant=3, quota_plan=0, gateway_count=1) for _ in range(20))
    assert forwarded >= 15  # of 20 requests at once, which fit into the burst
    for _ in range(200):
        driver.advance(20 * MS)
        driver.serve_request(tenant=3, quota_plan=0, gateway_count=1)
    forwarded = 0
    for _ in range(500):
        driver.advance(20 * MS)
        forwarded += driver.serve_request(tenant=3, quota_plan=0, gateway_count=1)
    assert 80 <= forwarded <= 120  # of 500 requests in 10 s: the rate alone allows 100


def test_250_gateways_keep_a_concurrency_limit_of_three() -> None:
    """A concurrency limit below the number of gateways is enforced, although the bounds alone do not do it.

    Each gateway's bound is at least one slot, so the bounds add up to more than such a limit.
    """
    fleet = ConcurrencyLimitedFleet(gateway_count=250, concurrency_limit=3, service_us=100 * MS)
    in_flight: list[int] = []
    for number in range(3000):  # 50 requests per second of 100 ms each: without a limit, five in flight
        fleet.send_request(START_US + number * 20 * MS, rank=number * 97 % 250, tenant=4)
        in_flight.append(len(fleet.in_flight))
    steady = in_flight[1000:]
    assert 0.8 <= sum(steady) / len(steady) <= 3.0


def test_small_concurrency_limit_follows_current_load() -> None:
    """Admission under a small concurrency limit follows what is in flight now.

    When it followed a mean over 1.5 s, 40 gateways exceeded a limit of two or left the limit unused.
    """

    def count_forwarded(interval_us: int) -> int:
        fleet = ConcurrencyLimitedFleet(gateway_count=40, concurrency_limit=2, service_us=150 * MS)
        for number in range(120):
            fleet.send_request(START_US + number * interval_us, rank=number * 7 % 40, tenant=3)
        return fleet.forwarded

    assert count_forwarded(SECOND) >= 118  # of 120 requests, each of which ends before the next one arrives
    # Without a limit, 50 requests per second that take 0.15 s each would keep seven in flight.
    assert count_forwarded(20 * MS) <= 30

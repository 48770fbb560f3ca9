"""Tests of a rate that many gateways enforce together while each sees few of the tenant's requests."""

import heapq
from itertools import count
from random import Random

import pytest

from tests.gateway_driver import MS, SECOND, make_endpoint, make_quota_plan, make_settings
from yardlane.decisions.actions import Action, AddToCounter, SetTimer, StartAttempt
from yardlane.decisions.events import (
    AttemptEnded,
    CounterResult,
    EndpointListUpdate,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
    UpdateKind,
)
from yardlane.decisions.gateway import Gateway

GATEWAYS = 100
DURATION_S = 30
START_US = 77 * SECOND
COUNTER_LATENCY_US = MS
SERVICE_US = 50 * MS


class SharedRateSimulation:
    """One tenant's requests to all gateways, and the real token bucket of its rate.

    No gateway can see this bucket. A unit is taken from it for each request that the gateways forward. If
    less than one unit is left, nothing is taken, and the request counts as beyond the quota.
    """

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.units_left = burst
        self.refilled_at_us = 0
        plans = (make_quota_plan(rate_per_s=rate_per_s, burst=burst),)
        self.gateways = [
            Gateway(
                make_settings(
                    gateway_count=GATEWAYS, rank=rank, quota_plans=plans, counter_timeout_us=80 * MS
                ),
                rank,
            )
            for rank in range(GATEWAYS)
        ]
        self.counts: dict[int, float] = {}
        self.order = count()
        self.events: list[tuple[int, int, int, Event]] = []  # time, order at equal times, rank, event
        self.within_quota = 0
        self.beyond_quota = 0
        endpoints = tuple(make_endpoint(number) for number in range(10))
        for rank in range(GATEWAYS):
            self.schedule(0, rank, EndpointListUpdate(UpdateKind.CACHED, 1, endpoints))

    def schedule(self, at_us: int, rank: int, event: Event) -> None:
        """Schedule an event for a gateway."""
        heapq.heappush(self.events, (at_us, next(self.order), rank, event))

    def run(self) -> None:
        """Handle all scheduled events and those that result from them."""
        while self.events:
            now_us, _, rank, event = heapq.heappop(self.events)
            for action in self.gateways[rank].handle(now_us + START_US, [event]):
                self.carry_out(now_us, rank, action)

    def carry_out(self, now_us: int, rank: int, action: Action) -> None:
        """Carry out an action: schedule the event that follows, and count a forwarded request."""
        if isinstance(action, AddToCounter):
            key = action.counter_key
            total = self.counts.get(key, 0.0) + action.amount
            self.counts[key] = total
            result = CounterResult(key, Outcome.OK, total, COUNTER_LATENCY_US)
            self.schedule(now_us + COUNTER_LATENCY_US, rank, result)
        elif isinstance(action, SetTimer):
            self.schedule(now_us + max(1, action.delay_us), rank, TimerFired(action.token))
        elif isinstance(action, StartAttempt):
            self.record_forwarded(now_us)
            ended = AttemptEnded(action.request_id, 0, action.endpoint_id, Outcome.OK, SERVICE_US, True)
            self.schedule(now_us + SERVICE_US, rank, ended)

    def record_forwarded(self, now_us: int) -> None:
        """Count a forwarded request as within or beyond the quota."""
        inflow = self.rate_per_s * (now_us - self.refilled_at_us) / SECOND
        self.refilled_at_us = now_us
        self.units_left = min(self.burst, self.units_left + inflow)
        if self.units_left >= 1.0:
            self.units_left -= 1.0
            self.within_quota += 1
        else:
            self.beyond_quota += 1


@pytest.mark.parametrize(
    ("rate_per_s", "burst", "normal_load", "spike_load", "max_excess_share"),
    [  # loads are multiples of the rate; the excess is a share of what is within the quota
        (22.0, 44.0, 3.0, 3.0, 0.25),  # three times the rate all the time
        (22.0, 44.0, 0.5, 5.0, 0.15),  # five times the rate for 2.5 s in every 20 s
        (1.3, 5.2, 3.0, 3.0, 0.35),  # so few requests that a gateway evicts the tenant between two of them
    ],
)
def test_large_fleet_forwards_little_beyond_the_rate(
    rate_per_s: float, burst: float, normal_load: float, spike_load: float, max_excess_share: float
) -> None:
    """The gateways of a large fleet do not forward the same burst again and again.

    When each gateway's estimate of the burst filled up again between two of its requests, all gateways
    together exceeded the quota by 44 to 57 percent.
    """
    within_quota = 0
    beyond_quota = 0
    for seed in range(3):
        random = Random(seed)
        simulation = SharedRateSimulation(rate_per_s, burst)
        at_s = 0.0
        for number in count(1):
            load = spike_load if at_s % 20 < 2.5 else normal_load
            at_s += random.expovariate(rate_per_s * load)
            if at_s > DURATION_S:
                break
            arrived = RequestArrived(number, 9, 0, 0, SECOND, 1.0, 0, GATEWAYS)
            simulation.schedule(int(at_s * SECOND), random.randrange(GATEWAYS), arrived)
        simulation.run()
        within_quota += simulation.within_quota
        beyond_quota += simulation.beyond_quota
    assert beyond_quota <= max_excess_share * within_quota, (within_quota, beyond_quota)
    quota = 3 * (burst + rate_per_s * min(1.0, normal_load) * DURATION_S)  # of all three runs, approximately
    assert within_quota >= 0.85 * quota, (within_quota, quota)

"""A rate that many gateways keep together, each of which sees few of the tenant's requests."""

import heapq
import random
from itertools import count

import pytest

from yardlane.decisions.gateway import Gateway
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
from tests.gateway_driver import MS, SECOND, make_endpoint, make_quota_plan, make_settings

GATEWAYS, SECONDS = 100, 30
COUNTER_TAKES, SERVICE_TAKES = MS, 50 * MS


class Day:
    """One tenant's day over all gateways; `store` is its burst as one that saw all would know it."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.store, self.store_at = rate, burst, burst, 0
        rated = (make_quota_plan(rate_per_s=rate, burst=burst),)
        self.gateways = [
            Gateway(
                make_settings(
                    gateway_count=GATEWAYS, rank=rank, quota_plans=rated, counter_timeout_us=80 * MS
                ),
                rank,
            )
            for rank in range(GATEWAYS)
        ]
        self.order, self.counts = count(), dict[int, float]()
        self.agenda: list[tuple[int, int, int, Event]] = []
        self.within = self.beyond = 0
        for rank in range(GATEWAYS):
            self.schedule(
                0, rank, EndpointListUpdate(UpdateKind.CACHED, 1, tuple(make_endpoint(n) for n in range(10)))
            )

    def schedule(self, at: int, rank: int, event: Event) -> None:
        heapq.heappush(self.agenda, (at, next(self.order), rank, event))

    def play(self) -> None:
        while self.agenda:
            now, _, rank, event = heapq.heappop(self.agenda)
            for action in self.gateways[rank].handle(now + 77 * SECOND, [event]):
                self.do(now, rank, action)

    def do(self, now: int, rank: int, action: Action) -> None:
        if isinstance(action, AddToCounter):
            total = self.counts[action.counter_key] = self.counts.get(action.counter_key, 0.0) + action.amount
            self.schedule(
                now + COUNTER_TAKES, rank, CounterResult(action.counter_key, Outcome.OK, total, COUNTER_TAKES)
            )
        elif isinstance(action, SetTimer):
            self.schedule(now + max(1, action.delay_us), rank, TimerFired(action.token))
        elif isinstance(action, StartAttempt):
            flown, self.store_at = now - self.store_at, now
            self.store = min(self.burst, self.store + self.rate * flown / SECOND)
            is_within = self.store >= 1.0
            self.store -= is_within
            self.within += is_within
            self.beyond += not is_within
            self.schedule(
                now + SERVICE_TAKES,
                rank,
                AttemptEnded(action.request_id, 0, action.endpoint_id, Outcome.OK, SERVICE_TAKES, True),
            )


@pytest.mark.parametrize(
    ("rate", "burst", "usual", "spike", "most"),
    [  # beyond, as a part of within
        (22.0, 44.0, 3.0, 3.0, 0.25),  # several times the rate, all day; 0.44 before
        (22.0, 44.0, 0.5, 5.0, 0.15),  # and for 2.5 s in 20 s; 0.54
        (1.3, 5.2, 3.0, 3.0, 0.35),  # so seldom that a gateway has forgotten it by the next request; 0.57
    ],
)
def test_a_large_set_passes_little_beyond_a_rate(
    rate: float, burst: float, usual: float, spike: float, most: float
) -> None:
    """Lost: each gateway's own record of the burst filled up again between two of its requests."""
    within = beyond = 0
    for seed in range(3):
        draw, day, at = random.Random(seed), Day(rate, burst), 0.0
        for number in count(1):
            at += draw.expovariate(rate * (spike if at % 20 < 2.5 else usual))
            if at > SECONDS:
                break
            day.schedule(
                int(at * SECOND),
                draw.randrange(GATEWAYS),
                RequestArrived(number, 9, 0, 0, SECOND, 1.0, 0, GATEWAYS),
            )
        day.play()
        within += day.within
        beyond += day.beyond
    assert beyond <= most * within, (within, beyond)
    asked = 3 * (burst + rate * min(1.0, usual) * SECONDS)  # what a quota of so much could pass, about
    assert within >= 0.85 * asked, (within, asked)

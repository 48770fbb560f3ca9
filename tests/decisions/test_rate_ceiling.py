"""A tenant's hard rate, kept by several gateways that share a slow counter, stop and come back."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any

import pytest

from tests.gateway_driver import MS, SECOND, GatewayDriver, make_quota_plan, of_type
from yardlane.decisions.actions import Action, AddToCounter, StartAttempt
from yardlane.decisions.events import CounterResult, Outcome

PLAN = make_quota_plan(
    rate_per_s=6.5, burst=13.0, hard_rate_per_s=13.0, hard_rate_depth=19.0, hard_rate_slack=2.0
)
STEP_US = 10 * MS
START_US = 77 * SECOND
COUNTER_TIMEOUT_US = 80 * MS


@dataclass
class CounterStep:
    """A poll under way: at `due_us` the counter adds it or, if `elapsed_us` is set, its answer arrives."""

    due_us: int
    elapsed_us: int
    poll: AddToCounter


@dataclass
class Answer:
    """An answer of an endpoint under way to a gateway."""

    due_us: int
    driver: SlowCounterDriver
    attempt: StartAttempt


class SlowCounterDriver(GatewayDriver):
    """A gateway whose counter is shared and far away; some answers are lost."""

    def __init__(self, counts: dict[int, float], random: Random, **changes: Any) -> None:
        self.random = random
        self.counter_steps: list[CounterStep] = []
        super().__init__(servers=10, counter_timeout_us=COUNTER_TIMEOUT_US, **changes)
        self.counts = counts

    def _count(self, call: AddToCounter) -> list[Action]:
        elapsed_us = self.random.choice((1, 2, 3, 3, 20, 60)) * MS
        added_at_us = self.now + elapsed_us // 2
        if self.random.random() < 0.02:
            elapsed_us = COUNTER_TIMEOUT_US
        self.counter_steps.append(CounterStep(added_at_us, 0, call))
        self.counter_steps.append(CounterStep(self.now + elapsed_us, elapsed_us, call))
        return []

    def run_counter(self) -> None:
        """Half way the counter adds, then its answer arrives."""
        due = [step for step in self.counter_steps if step.due_us <= self.now]
        for step in sorted(due, key=lambda step: (step.due_us, step.elapsed_us)):
            self.counter_steps.remove(step)
            key = step.poll.counter_key
            if not step.elapsed_us:
                self.counts[key] = self.counts.get(key, 0.0) + step.poll.amount
                continue
            is_lost = step.elapsed_us == COUNTER_TIMEOUT_US
            outcome = Outcome.TIMED_OUT if is_lost else Outcome.OK
            self.give(CounterResult(key, outcome, self.counts[key], step.elapsed_us))


class HardRateDay:
    """One tenant's requests to all gateways, and beside them the bucket as one who saw all would know it."""

    def __init__(self, seed: int, gateway_count: int) -> None:
        self.random = Random(seed)
        self.gateway_count = gateway_count
        self.now = START_US
        self.counts: dict[int, float] = {}
        self.drivers = [self.start_gateway(rank) for rank in range(gateway_count)]
        self.restarts_at_us: dict[int, int] = {}
        self.units_asked: dict[tuple[SlowCounterDriver, int], float] = {}
        self.answers: list[Answer] = []
        self.units_left = PLAN.hard_rate_depth
        self.least_units_left = PLAN.hard_rate_depth
        self.units_forwarded = 0.0

    def start_gateway(self, rank: int) -> SlowCounterDriver:
        """A gateway with no memory of an earlier process."""
        return SlowCounterDriver(
            self.counts,
            self.random,
            rank=rank,
            seed=self.random.randrange(2**32),
            start=self.now,
            gateway_count=self.gateway_count,
            quota_plans=(PLAN,),
        )

    def stop_gateway(self, rank: int, away_us: int = 150 * MS) -> None:
        """End a gateway's process, to be restarted after this time."""
        self.answers = [answer for answer in self.answers if answer.driver is not self.drivers[rank]]
        self.restarts_at_us[rank] = self.now + away_us

    def step(self, units_per_s: float) -> None:
        """Let one step of time pass, with about so many units asked."""
        self.now += STEP_US
        filled = self.units_left + PLAN.hard_rate_per_s * STEP_US / SECOND
        self.units_left = min(PLAN.hard_rate_depth, filled)
        for rank in [rank for rank, at_us in self.restarts_at_us.items() if at_us <= self.now]:
            del self.restarts_at_us[rank]
            self.drivers[rank] = self.start_gateway(rank)
        running = [d for rank, d in enumerate(self.drivers) if rank not in self.restarts_at_us]
        for driver in running:
            driver.run(self.now - driver.now)
        while self.random.random() < units_per_s * STEP_US / SECOND / 1.5:
            self.ask(self.random.choices(running)[0], self.random.choice((1.0, 2.0)))
        for driver in running:
            driver.run_counter()
            for answer in [a for a in self.answers if a.driver is driver and a.due_us <= self.now]:
                self.answers.remove(answer)
                driver.end(answer.attempt.request_id, answer.attempt.endpoint_id, attempt_index=0)
            self.record_forwarded(driver)

    def ask(self, driver: SlowCounterDriver, units: float) -> None:
        """A request at this gateway."""
        self.units_asked[driver, driver.next_request] = units
        driver.ask(tenant=4, quota_plan=0, units=units, gateway_count=self.gateway_count, time_left_us=SECOND)

    def record_forwarded(self, driver: SlowCounterDriver) -> None:
        """Take what a gateway forwarded off the true bucket; only a first attempt takes units."""
        for attempt in of_type(StartAttempt, [action for _, action in driver.log]):
            units = self.units_asked.pop((driver, attempt.request_id), 0.0)
            self.units_left -= units
            self.units_forwarded += units
            self.least_units_left = min(self.least_units_left, self.units_left)
            answered_at_us = self.now + self.random.choice((40, 80, 150)) * MS
            self.answers.append(Answer(answered_at_us, driver, attempt))
        driver.log.clear()


def play_bursts(day: HardRateDay, stop_every_us: int) -> float:
    """Three seconds of rest and three of a burst, in turn; the share used of what the hard rate allows.

    During bursts one gateway after another stops and is back soon, one in `stop_every_us` (0: none).
    """
    while (age_us := day.now - START_US) < 20 * SECOND:
        is_burst = age_us // (3 * SECOND) % 2 == 1
        if is_burst and stop_every_us and age_us % stop_every_us == 0:
            day.stop_gateway(age_us // stop_every_us % day.gateway_count)
        day.step(32.0 if is_burst else 5.0)
    return day.units_forwarded / (PLAN.hard_rate_depth + 20 * PLAN.hard_rate_per_s)


@pytest.mark.parametrize(
    ("gateway_count", "stop_every_us", "first_seed", "least_used"),
    [
        (3, 0, 10, 0.48),
        (4, 0, 5, 0.48),
        (6, 0, 0, 0.46),
        (4, 1500 * MS, 5, 0.43),
        (6, 1500 * MS, 20, 0.43),
    ],
)
def test_a_hard_rate_holds_while_bursts_begin_and_gateways_restart(
    gateway_count: int, stop_every_us: int, first_seed: int, least_used: float
) -> None:
    """Gateways set their shares by totals of different times, and each moved depth as well as rate. All
    shares together were more than one, and the bucket was overdrawn.
    """
    days = [HardRateDay(seed, gateway_count) for seed in range(first_seed, first_seed + 5)]
    used = sum(play_bursts(day, stop_every_us) for day in days) / len(days)
    assert min(day.least_units_left for day in days) >= -PLAN.hard_rate_slack
    assert used >= least_used  # not kept by rejecting all

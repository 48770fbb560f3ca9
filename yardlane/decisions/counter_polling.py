"""When this gateway polls the shared counter for a tenant, under which key, and how it backs off.

A poll adds the tenant's unreported demand to a count that all gateways share, and reads the total in the
same call. The request that causes it waits for the reply, and is admitted by the new total
(`admission.py`).

**When.** With a valid total, a tenant's count is polled once the total is older than one decay time. In a
fleet of n gateways, fewer than `LARGE_FLEET_THRESHOLD`, that time is multiplied by n /
`LARGE_FLEET_THRESHOLD`. Where the estimate comes near the capacity it is divided by `NEAR_CAPACITY_SPEEDUP`,
as a late total would then reject too few. Without a valid total each request polls with the probability 1 /
backoff factor. Polls are made only for a plan that has a quota, and if there is a counter.

**Backoff.** A counter serves its calls in turn, also those that nobody waits for any longer. Gateways that
poll a little more often than it can serve would therefore keep it late for good, and all its replies would
time out. So each late, rejected or lost poll raises the backoff factor, by which the time between polls is
multiplied, and each prompt one lowers it. Without a valid total, the amount of a poll is multiplied by it
instead, to stand for the polls that were not made. The factors balance with 3 in 10 polls late, or 2 in 5
lost. The factor also decays with time: with so few polls made, few replies could show that the counter has
recovered.

**Counts.** A tenant's count has a new key for each period of several decay times, so that the counter can
let old ones expire. A count does not decay at the counter; instead an amount is added multiplied by e^(time
since the period's start / decay time), and the total is divided by as much when it is read. Periods of
different tenants start at different times, or all would poll together.

**Clocks.** Times are microseconds of the gateway's own clock, which has to agree with Unix time. Of a gateway
whose clock is ahead by d, the others read the demand multiplied by e^(d / decay time), and it reads theirs
multiplied by e^(-d / decay time). While its clock is in another period than theirs it uses another key: its
demand is then not in the total of the others, nor theirs in its own.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from random import Random

from yardlane.decisions.actions import AddToCounter
from yardlane.decisions.events import CounterResult, Outcome
from yardlane.decisions.quota import LARGE_FLEET_THRESHOLD, TenantDemand
from yardlane.decisions.request import Request
from yardlane.decisions.units import SECOND_US

NEAR_CAPACITY_SHARE = 0.5
NEAR_CAPACITY_SPEEDUP = 4

MAX_BACKOFF_FACTOR = 20.0
LATE_BACKOFF_MULTIPLIER = 1.3
LOST_BACKOFF_MULTIPLIER = 1.15  # less than for a late one: a lost poll need not show load
PROMPT_BACKOFF_MULTIPLIER = 0.9
BACKOFF_DECAY_US = 10 * SECOND_US
LATE_REPLY_SHARE = 0.5  # of the counter's time-out: a reply that takes longer is late

PERIOD_DECAY_TIMES = 8
LONGEST_PERIOD_US = 50 * SECOND_US
COUNT_LIFETIME_MARGIN_US = 5 * SECOND_US
PERIOD_INDEX_BITS = 24
PERIOD_INDEX_RANGE = 1 << PERIOD_INDEX_BITS
PHASE_HASH_MULTIPLIER = 2654435761  # Knuth's multiplicative hash, of 32 bits
PHASE_HASH_RANGE = 2**32


class CountingPeriods:
    """The periods of one tenant's count. `tenant_key` is unique to the tenant and its plan."""

    __slots__ = ("_phase_us", "_tenant_key", "period_us")

    def __init__(self, tenant: int, tenant_key: int, decay_us: float) -> None:
        self.period_us = int(min(LONGEST_PERIOD_US, PERIOD_DECAY_TIMES * decay_us))
        self._phase_us = (
            tenant * PHASE_HASH_MULTIPLIER % PHASE_HASH_RANGE * self.period_us // PHASE_HASH_RANGE
        )
        self._tenant_key = tenant_key

    def index_at(self, now_us: int) -> int:
        """The number of the period that holds this time."""
        return (now_us - self._phase_us) // self.period_us

    def start_us(self, index: int) -> int:
        """When a period starts."""
        return index * self.period_us + self._phase_us

    def counter_key(self, index: int) -> int:
        """The key of a period's count.

        The index wraps, so a key is used again after `PERIOD_INDEX_RANGE` periods. Its old count has expired
        long before: a count lives for one period and `COUNT_LIFETIME_MARGIN_US`.
        """
        return (self._tenant_key << PERIOD_INDEX_BITS) | (index % PERIOD_INDEX_RANGE)


@dataclass(slots=True)
class PendingPoll:
    """A poll without a reply yet, the request that waits for it, and the demand that it reports."""

    request: Request
    reported_demand: float
    period_index: int


class CounterPolling:
    """All polls of one gateway: those that are pending, and the backoff."""

    __slots__ = ("_has_counter", "_late_after_us", "_pending", "_random", "backoff_factor")

    def __init__(self, has_counter: bool, counter_timeout_us: int, random: Random) -> None:
        self._has_counter = has_counter
        self._late_after_us = LATE_REPLY_SHARE * counter_timeout_us
        self._random = random
        self._pending: dict[int, deque[PendingPoll]] = {}  # by counter key, in the order of the calls
        self.backoff_factor = 1.0

    def __len__(self) -> int:
        """The number of counts with pending calls."""
        return len(self._pending)

    def decay_backoff(self, elapsed_us: int) -> None:
        """Let the backoff decay by this time; to be called in each turn."""
        if self.backoff_factor > 1.0:
            decayed = (self.backoff_factor - 1.0) * math.exp(-elapsed_us / BACKOFF_DECAY_US)
            self.backoff_factor = 1.0 + decayed

    def is_due(self, demand: TenantDemand, request_demand: float, capacity: float, now_us: int) -> bool:
        """Whether a request that adds this amount to the demand polls first.

        `capacity` is what may be admitted in one decay time; 0 for a plan without quota. The random number is
        drawn for such a plan, too: the load balancer draws from the same generator, so a draw left out here
        would change what it chooses later.
        """
        if demand.has_valid_total(now_us):
            age_us = now_us - demand.total_received_at_us
            is_due = age_us > self._interval_us(demand, request_demand, capacity)
        else:
            is_due = self._random.random() * self.backoff_factor < 1.0
        return is_due and self._has_counter and capacity > 0.0

    def _interval_us(self, demand: TenantDemand, request_demand: float, capacity: float) -> float:
        interval_us = (
            demand.decay_us * min(1.0, demand.gateway_count / LARGE_FLEET_THRESHOLD) * self.backoff_factor
        )
        fleet_demand = demand.estimate_fleet_demand(request_demand)
        # With backoff the next poll comes later, and demand may grow more until then: so it counts as near
        # the capacity from a smaller share on.
        if NEAR_CAPACITY_SHARE * capacity < fleet_demand * self.backoff_factor and fleet_demand < capacity:
            return interval_us / NEAR_CAPACITY_SPEEDUP
        return interval_us

    def start(self, request: Request, now_us: int) -> AddToCounter:
        """Report all unreported demand of the request's tenant, and let the request wait for the total."""
        demand = request.tenant.demand
        periods = request.tenant.periods
        index = periods.index_at(now_us)
        key = periods.counter_key(index)
        amount = demand.unreported_demand * math.exp((now_us - periods.start_us(index)) / demand.decay_us)
        if not demand.has_valid_total(now_us):
            amount *= self.backoff_factor
        self._pending.setdefault(key, deque()).append(PendingPoll(request, demand.unreported_demand, index))
        demand.unreported_demand = 0.0
        return AddToCounter(key, amount, periods.period_us + COUNT_LIFETIME_MARGIN_US)

    def finish(self, result: CounterResult) -> PendingPoll | None:
        """Remove and return the oldest pending call of this key; None where there is none.

        What was surely not added is reported by a later poll. A poll that timed out may have been added: it
        is not reported again, as demand that counts twice would reject requests within the quota.
        """
        polls = self._pending.get(result.counter_key)
        if polls is None:
            return None
        poll = polls.popleft()
        if not polls:
            del self._pending[result.counter_key]
        self._update_backoff(result)
        if result.outcome is not Outcome.OK and result.outcome is not Outcome.TIMED_OUT:
            poll.request.tenant.demand.unreported_demand += poll.reported_demand
        return poll

    def _update_backoff(self, result: CounterResult) -> None:
        if result.outcome is Outcome.OK:
            multiplier = (
                PROMPT_BACKOFF_MULTIPLIER
                if result.elapsed_us <= self._late_after_us
                else LATE_BACKOFF_MULTIPLIER
            )
        elif result.outcome is Outcome.REJECTED:
            multiplier = LATE_BACKOFF_MULTIPLIER
        else:
            multiplier = LOST_BACKOFF_MULTIPLIER
        self.backoff_factor = min(MAX_BACKOFF_FACTOR, max(1.0, self.backoff_factor * multiplier))

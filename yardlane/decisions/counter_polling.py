"""When this gateway polls the shared counter for a tenant, which key it uses, and how it backs off.

A poll adds the tenant's unreported demand to a count that all gateways share, and reads the new total of this
count. The request that triggers the poll waits for the reply, so that its admission is decided with the new
total (`admission.py`).

**Polling.** Polls are made only if there is a counter, and only for a plan with a rate or a concurrency
limit. If the tenant has a recent total (`TenantDemand.has_recent_total`), its count is polled once the total
is older than one decay time, with these exceptions:

- In a fleet of n gateways, fewer than `LARGE_FLEET_GATEWAY_COUNT`, this time is multiplied by
  n / `LARGE_FLEET_GATEWAY_COUNT`.
- If the estimated demand is between `NEAR_CAPACITY_SHARE` of the capacity (under backoff, a smaller share)
  and the whole capacity, this time is divided by `NEAR_CAPACITY_SPEEDUP`, because with a late total too few
  requests would be rejected.

Without a recent total, each request triggers a poll with the probability 1 / backoff factor.

**Backoff.** A counter serves polls in order, including those whose gateways have stopped waiting. If gateways
polled only slightly more often than it can serve, it would therefore stay late permanently, and every poll
would time out. So the backoff factor is adapted to the result of each poll:

- prompt (the reply takes at most `LATE_REPLY_SHARE` of the counter's timeout): the factor falls,
- late (the reply takes longer) or rejected by the counter: the factor rises,
- lost (any other result, for example a timeout): the factor rises, but less.

The factor lies between 1 and `MAX_BACKOFF_FACTOR`. If the other polls are prompt, it stays constant when
about 29 % of the polls are late or rejected, or when about 43 % are lost. It also decays towards 1 with time,
because few polls are made under backoff and so few replies could show that the counter has recovered.

With a recent total, the time between polls is multiplied by the factor. Without one, the probability of a
poll is divided by it. A poll then also has to stand for the polls that are skipped, so the demand that it
reports is multiplied by the factor.

**Counts.** A tenant's count has a new key in each period, so that the counter can let old counts expire. A
period is `PERIOD_DECAY_TIMES` decay times long, but at most `LONGEST_PERIOD_US`. The counter does not decay a
count. Instead, each amount is multiplied by e^(t / decay time) before it is added, where t is the time since
the start of the period. When the total is read, it is divided by this factor for the time of the reading. The
periods of different tenants start at different times, because otherwise all tenants would be polled together.

**Clocks.** Times are microseconds of the gateway's own clock, which has to agree with Unix time. If a
gateway's clock is ahead by d, the other gateways read its demand multiplied by e^(d / decay time), and it
reads theirs multiplied by e^(-d / decay time). While its clock is in a different period, it uses a different
key. The others' totals then do not include its demand, and its totals do not include theirs.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from random import Random

from yardlane.decisions.actions import AddToCounter
from yardlane.decisions.events import CounterResult, Outcome
from yardlane.decisions.quota import LARGE_FLEET_GATEWAY_COUNT, TenantDemand
from yardlane.decisions.request import Request
from yardlane.decisions.units import SECOND_US

NEAR_CAPACITY_SHARE = 0.5  # share of the capacity above which a count is polled more often
NEAR_CAPACITY_SPEEDUP = 4

MAX_BACKOFF_FACTOR = 20.0
LATE_BACKOFF_MULTIPLIER = 1.3
LOST_BACKOFF_MULTIPLIER = 1.15  # less than for a late poll, as a lost one is no sure sign of load
PROMPT_BACKOFF_MULTIPLIER = 0.9
BACKOFF_DECAY_TIME_US = 10 * SECOND_US  # time in which the factor's excess over 1 falls to 1/e
LATE_REPLY_SHARE = 0.5  # share of the counter's timeout above which a reply is late

PERIOD_DECAY_TIMES = 8  # length of a period in decay times, unless this exceeds LONGEST_PERIOD_US
LONGEST_PERIOD_US = 50 * SECOND_US
COUNT_LIFETIME_MARGIN_US = 5 * SECOND_US  # a count's lifetime at the counter is one period plus this
PERIOD_INDEX_BITS = 24
PERIOD_INDEX_RANGE = 1 << PERIOD_INDEX_BITS
PHASE_HASH_MULTIPLIER = 2654435761  # Knuth's 32-bit multiplicative hash
PHASE_HASH_RANGE = 2**32


class CountingPeriods:
    """The periods of one tenant's count; `tenant_key` is unique to a tenant and its plan."""

    __slots__ = ("_phase_us", "_tenant_key", "period_us")

    def __init__(self, tenant: int, tenant_key: int, decay_time_us: float) -> None:
        self.period_us = int(min(LONGEST_PERIOD_US, PERIOD_DECAY_TIMES * decay_time_us))
        self._phase_us = (
            tenant * PHASE_HASH_MULTIPLIER % PHASE_HASH_RANGE * self.period_us // PHASE_HASH_RANGE
        )
        self._tenant_key = tenant_key

    def index_at(self, now_us: int) -> int:
        """Return the index of the period that contains this time."""
        return (now_us - self._phase_us) // self.period_us

    def start_us(self, index: int) -> int:
        """Return the time at which a period starts."""
        return index * self.period_us + self._phase_us

    def counter_key(self, index: int) -> int:
        """Return the key of a period's count.

        The index wraps around, so a key is reused after `PERIOD_INDEX_RANGE` periods. Its old count has
        expired long before that: a count expires one period plus `COUNT_LIFETIME_MARGIN_US` after the poll
        that created it.
        """
        return (self._tenant_key << PERIOD_INDEX_BITS) | (index % PERIOD_INDEX_RANGE)


@dataclass(slots=True)
class PendingPoll:
    """A poll that has no result yet, the request that waits for it, and the demand that it reports.

    `reported_demand` is the unreported demand at the time of the poll, before it is scaled.
    """

    request: Request
    reported_demand: float
    period_index: int


class CounterPolling:
    """The pending polls of one gateway for all its tenants, and the backoff."""

    __slots__ = ("_has_counter", "_late_after_us", "_pending", "_random", "backoff_factor")

    def __init__(self, has_counter: bool, counter_timeout_us: int, random: Random) -> None:
        self._has_counter = has_counter
        self._late_after_us = LATE_REPLY_SHARE * counter_timeout_us
        self._random = random
        self._pending: dict[int, deque[PendingPoll]] = {}  # by counter key, in the order of the polls
        self.backoff_factor = 1.0

    def __len__(self) -> int:
        """Return the number of counter keys with pending polls."""
        return len(self._pending)

    def decay_backoff(self, elapsed_us: int) -> None:
        """Decay the backoff by the time since the last call. Each call of `Gateway.handle` must do this."""
        if self.backoff_factor > 1.0:
            decayed = (self.backoff_factor - 1.0) * math.exp(-elapsed_us / BACKOFF_DECAY_TIME_US)
            self.backoff_factor = 1.0 + decayed

    def is_due(self, demand: TenantDemand, request_demand: float, capacity: float, now_us: int) -> bool:
        """Return whether the counter is to be polled before the admission of a request with this demand.

        `capacity` is the demand that may be admitted in one decay time; 0 for a plan without a quota. The
        counter is never polled for such a plan, but the random number is drawn all the same. The load
        balancer draws from the same generator, so skipping the draw here would change its later choices.
        """
        if demand.has_recent_total(now_us):
            age_us = now_us - demand.total_received_at_us
            is_due = age_us > self._interval_us(demand, request_demand, capacity)
        else:
            is_due = self._random.random() * self.backoff_factor < 1.0
        return is_due and self._has_counter and capacity > 0.0

    def _interval_us(self, demand: TenantDemand, request_demand: float, capacity: float) -> float:
        """Return the age of a recent total above which a request triggers a poll."""
        interval_us = (
            demand.decay_time_us
            * min(1.0, demand.gateway_count / LARGE_FLEET_GATEWAY_COUNT)
            * self.backoff_factor
        )
        fleet_demand = demand.estimate_fleet_demand(request_demand)
        # With backoff, the next poll comes later, and demand may grow more until then. So the interval is
        # shortened from a smaller share of the capacity on.
        if NEAR_CAPACITY_SHARE * capacity < fleet_demand * self.backoff_factor and fleet_demand < capacity:
            return interval_us / NEAR_CAPACITY_SPEEDUP
        return interval_us

    def start(self, request: Request, now_us: int) -> AddToCounter:
        """Start a poll for a request, which then waits for the result.

        Return the action that reports all unreported demand of the request's tenant.
        """
        demand = request.tenant.demand
        periods = request.tenant.periods
        index = periods.index_at(now_us)
        key = periods.counter_key(index)
        amount = demand.unreported_demand * math.exp(
            (now_us - periods.start_us(index)) / demand.decay_time_us
        )
        if not demand.has_recent_total(now_us):
            amount *= self.backoff_factor
        self._pending.setdefault(key, deque()).append(PendingPoll(request, demand.unreported_demand, index))
        demand.unreported_demand = 0.0
        return AddToCounter(key, amount, periods.period_us + COUNT_LIFETIME_MARGIN_US)

    def finish(self, result: CounterResult) -> PendingPoll | None:
        """Remove and return the oldest pending poll of the result's key; None if there is none.

        Also update the backoff, and if the result proves that the counter did not add the demand, make the
        poll's demand unreported again. After a timeout, the counter may have added the demand, so it is not
        reported again: demand that is counted twice would cause rejections within the quota.
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
        """Lower the backoff factor after a prompt reply, raise it otherwise."""
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

"""A tenant's demand, here and over all gateways, and this gateway's part of a concurrency limit.

**Demand.** A request of t microseconds ago counts by e^(-t / decay): no interval ends at which all
gateways would begin again together. The amounts are units where the plan has a rate; else they are
slot-seconds, a concurrency slot for the mean service time (`admission.request_demand`). Each gateway knows

- its local demand, which it adds up itself,
- its unreported demand, the part of it that was not reported to the shared counter yet, and
- the fleet's demand, the sum over all gateways, by the last reply of the counter (`counter_polling.py`).

**Estimate.** Between two totals the fleet's demand is the last total, scaled as the local demand has
changed since. So a gateway that loses its counter goes on with what it knew, and a burst that starts here
counts at once. Before the first total, all gateways are taken to get about as much demand as this one;
otherwise a tenant could pass its whole quota through each gateway of a fleet whose counter is silent.

**Concurrency bound.** The demand split of Padala et al. (port allocator; see docs/design.md): while the
fleet's demand is below the limit, each gateway gets its own demand and an even share of what is left; above
it, the limit is divided in proportion to demand. It is never below one request, or a tenant could starve
here.

Times are microseconds of the gateway's own clock.
"""

from __future__ import annotations

import math

from yardlane.decisions.settings import QuotaPlan
from yardlane.decisions.units import NEVER_US, SECOND_US

MAX_TOTAL_AGE_US = 20 * SECOND_US
"""A total of this age says little of the fleet's demand by now."""

LARGE_FLEET_THRESHOLD = 25
"""Up to so many gateways report to the counter in one decay time; in a larger fleet each sees little."""

NO_PERIOD = -1
BURST_REFILL_TIME_SHARE = 0.4  # of the time in which the rate refills the burst
MIN_DECAY_TIMEOUTS = 50  # the least decay time, in time-outs of the counter
MIN_SHORT_DECAY_TIMEOUTS = 10  # where a long one would mislead, see `decay_time_us`
# What a gateway admits of a quota before the first total, in even shares: more than one, as a gateway that
# gets somewhat more requests than the others would otherwise reject some within the quota.
EVEN_SHARES_BEFORE_TOTAL = 1.4
SMOOTHING_REQUESTS = 3.0  # a change of local demand by less than these is chance, and scales the total little
# The share of its capacity that a tenant is taken to have used when the period of its first total began, as
# that total covers nothing before. With 0, a burst that began before would count too little and pass; with 1,
# requests within the quota would be rejected.
ASSUMED_PRIOR_DEMAND_SHARE = 0.5
# a count never falls: below this share of its last total, the counter has lost it
COUNT_LOSS_THRESHOLD = 0.999
BOUND_TOLERANCE = 1e-4  # slots that rounding may cost before the bound is rounded down


def is_large_fleet(gateway_count: int) -> bool:
    """Whether each gateway sees so few of a tenant's requests that its own demand says little."""
    return gateway_count > LARGE_FLEET_THRESHOLD


def is_limit_below_gateway_count(plan: QuotaPlan, gateway_count: int) -> bool:
    """Whether even one request at each gateway could exceed the concurrency limit, if the plan has one."""
    return 0 < plan.concurrency_limit < gateway_count


def decay_time_us(plan: QuotaPlan, gateway_count: int, counter_timeout_us: int) -> float:
    """The time constant of the decay: without requests, demand falls to 1/e in it.

    It is short for a rate over a large fleet, where each gateway has few requests in the time: a long one
    saves few polls there, and shows a burst late. For a plan without a rate it is short for a limit below
    the number of gateways, too, so that the total says what is in flight now.
    """
    burst_us = 0.0
    is_short = is_limit_below_gateway_count(plan, gateway_count)
    if plan.rate_per_s:
        burst_us = BURST_REFILL_TIME_SHARE * plan.burst / plan.rate_per_s * SECOND_US
        is_short = is_large_fleet(gateway_count)
    timeouts = MIN_SHORT_DECAY_TIMEOUTS if is_short else MIN_DECAY_TIMEOUTS
    return max(burst_us, timeouts * max(1, counter_timeout_us))


def even_concurrency_bound(limit: int, gateway_count: int) -> int:
    """The bound before the first total: an even share. 0 where the plan has no limit."""
    if not limit:
        return 0
    return max(1, limit // gateway_count)


def split_concurrency_limit(limit: int, gateway_count: int, local_demand: float, fleet_demand: float) -> int:
    """This gateway's part of a limit on requests in flight; both demands are mean requests in flight."""
    if fleet_demand < limit:
        bound = local_demand + (limit - fleet_demand) / gateway_count
    else:
        bound = limit * local_demand / fleet_demand
    return max(1, int(bound + BOUND_TOLERANCE))


class TenantDemand:
    """The demand of one tenant: here, not yet reported, and over all gateways.

    Where each gateway of a large fleet gets few requests, the local demand decays over `local_decay_us`, a
    longer time than the total's `decay_us`: otherwise it would jump with each request.
    """

    __slots__ = (
        "_carried_over_at_us",
        "_carried_over_demand",
        "_last_count",
        "_last_period_index",
        "decay_us",
        "fleet_demand",
        "gateway_count",
        "is_in_large_fleet",
        "last_request_at_us",
        "local_decay_us",
        "local_demand",
        "local_demand_at_total",
        "total_received_at_us",
        "unreported_demand",
    )

    def __init__(self, plan: QuotaPlan, gateway_count: int, counter_timeout_us: int, now_us: int) -> None:
        capacity = max(1.0, plan.burst or plan.concurrency_limit)
        self.gateway_count = gateway_count
        self.is_in_large_fleet = is_large_fleet(gateway_count)
        self.decay_us = decay_time_us(plan, gateway_count, counter_timeout_us)
        self.local_decay_us = self.decay_us * max(1.0, gateway_count / capacity)
        self.local_demand = 0.0
        self.last_request_at_us = now_us
        self.unreported_demand = 0.0
        self.fleet_demand = 0.0
        self.local_demand_at_total = 0.0
        self.total_received_at_us = NEVER_US
        self._last_count = 0.0
        self._last_period_index = NO_PERIOD
        self._carried_over_demand = 0.0
        self._carried_over_at_us = 0

    def has_total(self) -> bool:
        """Whether there ever was a total of the counter."""
        return self.total_received_at_us >= 0

    def has_valid_total(self, now_us: int) -> bool:
        """Whether the last total is fresh enough to say something of the demand by now."""
        return 0 <= self.total_received_at_us > now_us - MAX_TOTAL_AGE_US

    def add(self, amount: float, now_us: int) -> None:
        """Count a request of this amount."""
        self.local_demand = self.local_demand_at(now_us) + amount
        self.unreported_demand += amount
        self.last_request_at_us = now_us

    def local_demand_at(self, now_us: int) -> float:
        """The local demand, decayed until now."""
        return self.local_demand * math.exp((self.last_request_at_us - now_us) / self.local_decay_us)

    def estimate_fleet_demand(self, request_demand: float) -> float:
        """The last total, scaled as the local demand has changed since; before a total, by even shares.

        Neither is decayed until now: the local demand is as of the last arrival, the total as of its receipt.
        `request_demand` is the demand of the present request.
        """
        if self.total_received_at_us < 0:
            even_demand = self.local_demand * self.gateway_count * self.decay_us / self.local_decay_us
            return even_demand / EVEN_SHARES_BEFORE_TOTAL
        smoothing = SMOOTHING_REQUESTS * request_demand
        return self.fleet_demand * (self.local_demand + smoothing) / (self.local_demand_at_total + smoothing)

    def apply_total(
        self, total: float, period_index: int, period_start_us: int, capacity: float, now_us: int
    ) -> None:
        """Take in a total of the count of this period; `capacity` is that of one decay time.

        A new period's count starts at zero, and a counter that restarts loses its counts. Either would look
        as if there had been no demand, and admit far more than the quota. So what was known before is
        carried along, decaying, and the count is added to it.
        """
        if period_index != self._last_period_index or total < self._last_count * COUNT_LOSS_THRESHOLD:
            if self.has_total():
                self._carried_over_demand = self.fleet_demand
                self._carried_over_at_us = self.total_received_at_us
            else:
                self._carried_over_demand = ASSUMED_PRIOR_DEMAND_SHARE * capacity
                self._carried_over_at_us = period_start_us
        self.fleet_demand = total * math.exp((period_start_us - now_us) / self.decay_us)
        self.fleet_demand += self._carried_over_demand * math.exp(
            (self._carried_over_at_us - now_us) / self.decay_us
        )
        self.local_demand_at_total = self.local_demand
        self.total_received_at_us = now_us
        self._last_count = total
        self._last_period_index = period_index

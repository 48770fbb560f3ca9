"""A tenant's demand, at this gateway and over all gateways, and this gateway's part of a concurrency limit.

**Demand.** Demand is a sum over requests that decays exponentially: a request that arrived t microseconds ago
has the weight e^(-t / decay time). With fixed intervals instead, all gateways would start again from zero at
the same time. Demand is measured in units if the plan has a rate, otherwise in slot-seconds: a concurrency
slot held for the mean service time (`admission.request_demand`). Each gateway knows

- its local demand, which it sums up itself,
- its unreported demand, the part that it has not yet reported to the shared counter, and
- the fleet's demand, the sum over all gateways as of the counter's last reply (`counter_polling.py`).

**Estimate.** Between two totals, the fleet's demand is estimated as the last total, scaled by the change of
the local demand since then. So a gateway that loses its counter continues from the last known total, and a
burst that starts at this gateway counts immediately. Before the first total, all gateways are assumed to get
about as much demand as this one. Otherwise, in a fleet whose counter does not answer, a tenant could use its
whole quota at each gateway.

**Concurrency bound.** The limit is split by demand as in the port allocator of Padala et al. (see
docs/design.md). While the fleet's demand is below the limit, each gateway gets its own demand and an even
share of the remainder. Above it, the limit is divided in proportion to demand. A bound is at least one
request, because with 0 a tenant could starve at this gateway.

Times are microseconds of the gateway's own clock.
"""

from __future__ import annotations

import math

from yardlane.decisions.settings import QuotaPlan
from yardlane.decisions.units import NEVER_US, SECOND_US

MAX_TOTAL_AGE_US = 20 * SECOND_US
"""A total of this age or older no longer says much about the fleet's current demand."""

LARGE_FLEET_GATEWAY_COUNT = 25
"""A fleet with more gateways than this is large: each gateway sees few of a tenant's requests.

Up to this size, all gateways together poll a tenant's count at most about this many times in one decay time
(`counter_polling.py`), unless the demand is near the capacity.
"""

NO_PERIOD = -1
BURST_REFILL_TIME_SHARE = 0.4  # decay time, as a share of the time in which the rate refills the whole burst
MIN_DECAY_TIMEOUTS = 50  # minimum decay time, in time-outs of the counter
MIN_SHORT_DECAY_TIMEOUTS = 10  # the same where a long decay time would mislead, see `compute_decay_time_us`
# How many even shares of a quota a gateway admits before the first total. With a single share, a gateway that
# gets somewhat more requests than the others would reject requests within the quota.
EVEN_SHARES_BEFORE_TOTAL = 1.4
# Smooths the scaling of the total: a change of the local demand by fewer requests than this is likely to be
# random, so it changes the estimate little.
SMOOTHING_REQUESTS = 3.0
# The demand that a tenant is assumed to have had when the period of its first total began, as a share of its
# capacity. The total covers only that period. With 0, a burst that began before the period would count too
# little and exceed the quota; with 1, requests within the quota would be rejected.
ASSUMED_PRIOR_DEMAND_SHARE = 0.5
# A count never decreases. If a total is below this share of the last one, the counter has lost its count.
COUNT_LOSS_SHARE = 0.999
# In slots. A bound that is below a whole number by less than this is not rounded down, as the difference is
# likely to be a rounding error.
BOUND_TOLERANCE_SLOTS = 1e-4


def is_large_fleet(gateway_count: int) -> bool:
    """Return whether each gateway sees too few of a tenant's requests for its local demand to say much."""
    return gateway_count > LARGE_FLEET_GATEWAY_COUNT


def is_limit_below_gateway_count(plan: QuotaPlan, gateway_count: int) -> bool:
    """Return whether the plan has a concurrency limit that one request at each gateway would exceed."""
    return 0 < plan.concurrency_limit < gateway_count


def compute_decay_time_us(plan: QuotaPlan, gateway_count: int, counter_timeout_us: int) -> float:
    """Return the time constant of the decay: without requests, demand falls to 1/e in this time.

    For a plan with a rate, the decay time is short in a large fleet. Each gateway gets few requests in one
    decay time there, so a long one would save few polls and would show a burst late. For a plan without a
    rate, it is short if the concurrency limit is below the number of gateways, so that the total reflects
    what is in flight now.
    """
    burst_us = 0.0
    is_short = is_limit_below_gateway_count(plan, gateway_count)
    if plan.rate_per_s:
        burst_us = BURST_REFILL_TIME_SHARE * plan.burst / plan.rate_per_s * SECOND_US
        is_short = is_large_fleet(gateway_count)
    timeouts = MIN_SHORT_DECAY_TIMEOUTS if is_short else MIN_DECAY_TIMEOUTS
    return max(burst_us, timeouts * max(1, counter_timeout_us))


def even_concurrency_bound(limit: int, gateway_count: int) -> int:
    """Return the bound before the first total, an even share of the limit; 0 if the plan has no limit."""
    if not limit:
        return 0
    return max(1, limit // gateway_count)


def split_concurrency_limit(limit: int, gateway_count: int, local_demand: float, fleet_demand: float) -> int:
    """Return this gateway's part of a limit on requests in flight; demands are mean requests in flight."""
    if fleet_demand < limit:
        bound = local_demand + (limit - fleet_demand) / gateway_count
    else:
        bound = limit * local_demand / fleet_demand
    return max(1, int(bound + BOUND_TOLERANCE_SLOTS))


class TenantDemand:
    """The demand of one tenant: local, not yet reported, and over all gateways.

    The local demand decays with `local_decay_time_us` and the total with `decay_time_us`. If there are more
    gateways than the burst has units, or than the concurrency limit, each gateway gets few requests.
    `local_decay_time_us` is then longer than `decay_time_us`, because the local demand would otherwise jump
    with each request.
    """

    __slots__ = (
        "_carried_over_at_us",
        "_carried_over_demand",
        "_last_count",
        "_last_period_index",
        "decay_time_us",
        "fleet_demand",
        "gateway_count",
        "is_in_large_fleet",
        "last_request_at_us",
        "local_decay_time_us",
        "local_demand",
        "local_demand_at_total",
        "total_received_at_us",
        "unreported_demand",
    )

    def __init__(self, plan: QuotaPlan, gateway_count: int, counter_timeout_us: int, now_us: int) -> None:
        burst_or_limit = max(1.0, plan.burst or plan.concurrency_limit)
        self.gateway_count = gateway_count
        self.is_in_large_fleet = is_large_fleet(gateway_count)
        self.decay_time_us = compute_decay_time_us(plan, gateway_count, counter_timeout_us)
        self.local_decay_time_us = self.decay_time_us * max(1.0, gateway_count / burst_or_limit)
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
        """Return whether the counter has ever returned a total."""
        return self.total_received_at_us >= 0

    def has_recent_total(self, now_us: int) -> bool:
        """Return whether the last total is recent enough to estimate the current demand from."""
        return 0 <= self.total_received_at_us > now_us - MAX_TOTAL_AGE_US

    def add(self, amount: float, now_us: int) -> None:
        """Add a request's demand to the local and the unreported demand."""
        self.local_demand = self.local_demand_at(now_us) + amount
        self.unreported_demand += amount
        self.last_request_at_us = now_us

    def local_demand_at(self, now_us: int) -> float:
        """Return the local demand, decayed to `now_us`."""
        return self.local_demand * math.exp((self.last_request_at_us - now_us) / self.local_decay_time_us)

    def estimate_fleet_demand(self, request_demand: float) -> float:
        """Return the estimated demand over all gateways.

        This is the last total, scaled by the change of the local demand since then. Before the first total,
        the local demand is extrapolated to all gateways. No value is decayed to the current time: the local
        demand is as of the last arrival, the total as of its receipt. `request_demand` is the demand of the
        current request.
        """
        if self.total_received_at_us < 0:
            extrapolated_demand = (
                self.local_demand * self.gateway_count * self.decay_time_us / self.local_decay_time_us
            )
            return extrapolated_demand / EVEN_SHARES_BEFORE_TOTAL
        smoothing = SMOOTHING_REQUESTS * request_demand
        return self.fleet_demand * (self.local_demand + smoothing) / (self.local_demand_at_total + smoothing)

    def apply_total(
        self, total: float, period_index: int, period_start_us: int, capacity: float, now_us: int
    ) -> None:
        """Update the fleet's demand from a total of this period's count; `capacity` is per decay time.

        The count of a new period starts at zero, and a counter that restarts loses its counts. Both would
        look as if there had been no demand, and far more than the quota would be admitted. So the demand
        known before is carried over: it decays further, and the new count is added to it.
        """
        if period_index != self._last_period_index or total < self._last_count * COUNT_LOSS_SHARE:
            if self.has_total():
                self._carried_over_demand = self.fleet_demand
                self._carried_over_at_us = self.total_received_at_us
            else:
                self._carried_over_demand = ASSUMED_PRIOR_DEMAND_SHARE * capacity
                self._carried_over_at_us = period_start_us
        self.fleet_demand = total * math.exp((period_start_us - now_us) / self.decay_time_us)
        self.fleet_demand += self._carried_over_demand * math.exp(
            (self._carried_over_at_us - now_us) / self.decay_time_us
        )
        self.local_demand_at_total = self.local_demand
        self.total_received_at_us = now_us
        self._last_count = total
        self._last_period_index = period_index

"""A tenant's demand, at this gateway and over all gateways, and this gateway's part of a concurrency limit.

**Demand.** Demand is a sum over requests that decays exponentially: a request that arrived t microseconds ago
has the weight e^(-t / decay time). With fixed intervals instead, all gateways would start again from zero at
the same time. Demand is measured in units if the plan has a rate, otherwise in slot-seconds: a request adds
the mean service time, for which it occupies one concurrency slot (`admission.request_demand`). Each gateway
knows

- its local demand, a sum over the requests that it has received itself,
- its unreported demand, a sum over the same requests since its last report to the shared counter, and
- the fleet's demand, a sum over the requests of all gateways, as of the counter's last reply. The count that
  this reply returns is called the total (`counter_polling.py`).

The unreported demand does not decay. Its requests count as if they had arrived when they are reported.

**Estimate.** Between two totals, the fleet's demand is estimated: the fleet's demand as of the last total is
scaled by the change of the local demand since then. So a gateway whose counter stops replying continues from
the last total, and a burst that starts at this gateway counts immediately. Before the first total, all
gateways are assumed to get as much demand as this one. Otherwise, in a fleet whose counter does not reply, a
tenant could use its whole quota at each gateway. The result is divided by `EVEN_SHARES_BEFORE_TOTAL`, so that
the gateway may admit somewhat more than an even share.

**Concurrency bound.** A plan's concurrency limit applies to the tenant's attempts at all gateways together.
The concurrency bound is this gateway's part of it: how many of the tenant's attempts the gateway may have in
flight. (`concurrency.py` limits something else, the attempts of all tenants at one gateway.) The limit is
split by the same rule as in the port allocator of Padala et al. (see docs/design.md), with demand converted
to the mean number of requests in flight. While the fleet's demand is below the limit, each gateway gets its
own demand and an even share of the remainder. Above it, the limit is divided in proportion to demand. A bound
is at least 1, because otherwise a tenant could starve at this gateway.

Times are microseconds of the gateway's own clock.
"""

from __future__ import annotations

import math

from yardlane.decisions.settings import QuotaPlan
from yardlane.decisions.units import NEVER_US, SECOND_US

MAX_TOTAL_AGE_US = 20 * SECOND_US
"""From this age on, a total says little about the fleet's current demand, and polling does not rely on it.

The estimate of the fleet's demand uses older totals, too.
"""

LARGE_FLEET_GATEWAY_COUNT = 25
"""A fleet with more gateways than this is large: each gateway gets few of a tenant's requests.

This is also a number of polls. In a fleet that is not large, all gateways together poll a tenant's count at
most about this many times in one decay time (`counter_polling.py`), unless the demand is close to the
capacity.
"""

NO_PERIOD = -1
BURST_REFILL_TIME_SHARE = 0.4  # decay time, as a share of the time in which the rate refills the whole burst
MIN_DECAY_TIMEOUTS = 50  # minimum decay time, in timeouts of the counter
MIN_SHORT_DECAY_TIMEOUTS = 10  # the same in the cases that `compute_decay_time_us` lists
# How many even shares of a quota a gateway admits before the first total. With a single share, a gateway that
# gets somewhat more requests than the others would reject requests within the quota.
EVEN_SHARES_BEFORE_TOTAL = 1.4
# Smooths the estimate of the fleet's demand: a change of the local demand by fewer requests than this is
# likely to be random, so it changes the estimate little.
SMOOTHING_REQUESTS = 3.0
# The demand that a tenant is assumed to have had when the period of its first total began, as a share of its
# capacity. The total covers only requests of that period. With 0, a burst that began before the period would
# count too little and exceed the quota; with 1, requests within the quota would be rejected.
ASSUMED_PRIOR_DEMAND_SHARE = 0.5
# Within a period, a count never decreases. If a total is below this share of the previous one, the counter
# must have lost the count.
COUNT_LOSS_SHARE = 0.999
# Bounds are rounded down to whole slots. One that is below a whole number by less than this is rounded up,
# because the difference is likely to be a rounding error.
BOUND_TOLERANCE_SLOTS = 1e-4


def is_large_fleet(gateway_count: int) -> bool:
    """Return whether so many gateways serve a tenant that each of them gets few of its requests.

    The local demand at one gateway then says little about the tenant's demand.
    """
    return gateway_count > LARGE_FLEET_GATEWAY_COUNT


def is_limit_below_gateway_count(plan: QuotaPlan, gateway_count: int) -> bool:
    """Return whether the plan has a concurrency limit that one request at each gateway would exceed."""
    return 0 < plan.concurrency_limit < gateway_count


def compute_decay_time_us(plan: QuotaPlan, gateway_count: int, counter_timeout_us: int) -> float:
    """Return the time constant of the decay: without requests, demand falls to 1/e in this time.

    For a plan with a rate, this is `BURST_REFILL_TIME_SHARE` of the time in which the rate refills the burst,
    but not less than a minimum. For other plans, it is the minimum. The minimum is `MIN_DECAY_TIMEOUTS`
    timeouts of the counter. It is only `MIN_SHORT_DECAY_TIMEOUTS` timeouts in two cases:

    - The plan has a rate and the fleet is large. Each gateway then gets few requests in one decay time, so a
      longer decay time would save few polls, and the total would show a burst late.
    - The plan has no rate, and its concurrency limit is below the number of gateways. The total then has to
      reflect what is in flight now.
    """
    burst_us = 0.0
    is_short = is_limit_below_gateway_count(plan, gateway_count)
    if plan.rate_per_s:
        burst_us = BURST_REFILL_TIME_SHARE * plan.burst / plan.rate_per_s * SECOND_US
        is_short = is_large_fleet(gateway_count)
    timeouts = MIN_SHORT_DECAY_TIMEOUTS if is_short else MIN_DECAY_TIMEOUTS
    return max(burst_us, timeouts * max(1, counter_timeout_us))


def even_concurrency_bound(limit: int, gateway_count: int) -> int:
    """Return the concurrency bound before the first total: an even share of the limit, but at least 1.

    A plan without a concurrency limit (`limit` is 0) has no bound either, which is returned as 0.
    """
    if not limit:
        return 0
    return max(1, limit // gateway_count)


def split_concurrency_limit(limit: int, gateway_count: int, local_demand: float, fleet_demand: float) -> int:
    """Return the concurrency bound: this gateway's part of a concurrency limit, at least 1.

    The caller converts both demands to the mean number of requests in flight that they cause.
    """
    if fleet_demand < limit:
        bound = local_demand + (limit - fleet_demand) / gateway_count
    else:
        bound = limit * local_demand / fleet_demand
    return max(1, int(bound + BOUND_TOLERANCE_SLOTS))


class TenantDemand:
    """The demand of one tenant: local, unreported, and over all gateways.

    The local demand decays with `local_decay_time_us`, and the fleet's demand with `decay_time_us`. If there
    are more gateways than the burst has units, each gateway gets few requests. `local_decay_time_us` is then
    longer than `decay_time_us`, because the local demand would otherwise jump with each request. For a plan
    without a burst, the number of gateways is compared with the concurrency limit instead.
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
        """Return whether there is a total that is younger than `MAX_TOTAL_AGE_US`.

        Only `counter_polling.py` distinguishes recent totals from older ones; estimates use both.
        """
        return 0 <= self.total_received_at_us > now_us - MAX_TOTAL_AGE_US  # NEVER_US is negative

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

        This is the fleet's demand as of the last total, scaled by the change of the local demand since then.
        Before the first total, the local demand is extrapolated to all gateways. No value is decayed to the
        current time: the local demand is as of the last arrival, and the fleet's demand is as of the receipt
        of the last total. `request_demand` is the demand of the current request.
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
        """Update the fleet's demand from a total, which is the count of the period with this index.

        The count of a new period starts at zero, and a counter that restarts loses its counts. Both would
        look as if there had been no demand, and far more than the quota would be admitted. So the fleet's
        demand as of the previous total is carried over: it decays further, and the new count is added to it.
        At the first total, `ASSUMED_PRIOR_DEMAND_SHARE` of `capacity`, the demand that may be admitted in
        one decay time, is carried over from the start of the period instead.
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

"""An estimate of how much of a tenant's burst is left.

The quota of a plan with a rate is one token bucket for each tenant, over all gateways together. It holds
`burst` units and refills with `rate_per_s` units per second. No gateway can see this bucket, so each gateway
estimates it with a local bucket of the same size. For each request that a gateway forwards, it takes as many
units from its local bucket as all gateways together are assumed to forward meanwhile: the request's units
times the ratio of the fleet's demand to the local demand. `admission.py` adds a share of the remaining units
to the capacity.

In a large fleet (`quota.is_large_fleet`) each gateway forwards so few requests that its local bucket fills up
again between two of them. All gateways together would then forward half a burst again and again. In such a
fleet, the remaining burst is therefore estimated as at most (burst - excess), where the excess is the demand
beyond what the rate supplies in one decay time.
"""

from __future__ import annotations

from yardlane.decisions.quota import TenantDemand
from yardlane.decisions.settings import QuotaPlan
from yardlane.decisions.units import SECOND_US

# Maximum ratio of the fleet's demand to the local demand, divided by the number of gateways.
MAX_DEMAND_RATIO_PER_GATEWAY = 2.0
MAX_OVERDRAFT_SHARE = 0.5  # maximum overdraft, as a share of the burst; limits the recovery time
MIN_DEMAND = 1e-9  # avoids a division by zero when the local demand has decayed to zero


class BurstEstimate:
    """The local bucket that estimates one tenant's remaining burst, in units; for plans with a rate only."""

    __slots__ = ("_demand", "_plan", "_refilled_at_us", "_units")

    def __init__(self, plan: QuotaPlan, demand: TenantDemand, now_us: int) -> None:
        self._plan = plan
        self._demand = demand
        self._units = plan.burst
        self._refilled_at_us = now_us

    def refill(self, now_us: int) -> None:
        """Add the units that the rate has supplied since the last call, up to the burst."""
        elapsed_us = now_us - self._refilled_at_us
        self._refilled_at_us = now_us
        self._units = min(self._plan.burst, self._units + self._plan.rate_per_s * elapsed_us / SECOND_US)

    def units_left(self, fleet_demand: float) -> float:
        """Return the estimate of how many units of the burst are left; negative if it is overdrawn.

        `fleet_demand` is the estimated demand over all gateways.
        """
        if not self._demand.is_in_large_fleet:
            return self._units
        demand_over_rate = max(
            0.0, fleet_demand - self._plan.rate_per_s * self._demand.decay_time_us / SECOND_US
        )
        return min(self._units, max(0.0, self._plan.burst - demand_over_rate))

    def take(self, units: float, request_demand: float) -> None:
        """Take a request's units, and those that the other gateways are assumed to forward meanwhile."""
        demand = self._demand
        demand_ratio = demand.estimate_fleet_demand(request_demand) * demand.local_decay_time_us
        demand_ratio /= max(MIN_DEMAND, demand.local_demand * demand.decay_time_us)
        fleet_units = units * min(MAX_DEMAND_RATIO_PER_GATEWAY * demand.gateway_count, max(1.0, demand_ratio))
        self._units = max(-MAX_OVERDRAFT_SHARE * self._plan.burst, self._units - fleet_units)

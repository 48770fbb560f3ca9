"""What is left of a rate's burst, as this gateway estimates it.

The quota of a plan with a rate is one token bucket for all gateways: it holds `burst` units and fills by
`rate_per_s` units a second. No gateway sees it. Each keeps a bucket of the same size and takes from it, for
what it forwards, as much as all gateways together are taken to forward meanwhile: its own units times the
fleet's demand over the local demand. `admission.py` adds a part of what is left to the capacity.

In a large fleet (`quota.is_large_fleet`) each gateway forwards so little that its own bucket fills up again
between two of its requests, and all gateways together would pass half a burst over and over. There the bucket
counts for no more than the burst less the fleet's demand beyond the rate in one decay time.
"""

from __future__ import annotations

from yardlane.decisions.quota import TenantDemand
from yardlane.decisions.settings import QuotaPlan
from yardlane.decisions.units import SECOND_US

MAX_FLEET_RATIO = 2.0  # gateway counts by which what is forwarded here is multiplied, at most
MAX_OVERDRAFT_SHARE = 0.5  # of the burst by which the bucket may be overdrawn: bounds how long it recovers
MIN_DEMAND = 1e-9  # keeps a ratio finite where the local demand has decayed to nothing


class BurstEstimate:
    """The bucket of one tenant, in units. Only for a plan with a rate."""

    __slots__ = ("_demand", "_plan", "_refilled_at_us", "_units")

    def __init__(self, plan: QuotaPlan, demand: TenantDemand, now_us: int) -> None:
        self._plan = plan
        self._demand = demand
        self._units = plan.burst
        self._refilled_at_us = now_us

    def refill(self, now_us: int) -> None:
        """Add what the rate has let flow in since the last call."""
        elapsed_us = now_us - self._refilled_at_us
        self._refilled_at_us = now_us
        self._units = min(self._plan.burst, self._units + self._plan.rate_per_s * elapsed_us / SECOND_US)

    def units_left(self, fleet_demand: float) -> float:
        """Units of the burst that are left while the fleet has this demand."""
        if not self._demand.is_in_large_fleet:
            return self._units
        demand_over_rate = max(0.0, fleet_demand - self._plan.rate_per_s * self._demand.decay_us / SECOND_US)
        return min(self._units, max(0.0, self._plan.burst - demand_over_rate))

    def take(self, units: float, request_demand: float) -> None:
        """Take a request's units, and with them what the other gateways forward meanwhile."""
        demand = self._demand
        fleet_ratio = demand.estimate_fleet_demand(request_demand) * demand.local_decay_us
        fleet_ratio /= max(MIN_DEMAND, demand.local_demand * demand.decay_us)
        fleet_units = units * min(MAX_FLEET_RATIO * demand.gateway_count, max(1.0, fleet_ratio))
        self._units = max(-MAX_OVERDRAFT_SHARE * self._plan.burst, self._units - fleet_units)

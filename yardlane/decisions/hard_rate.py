"""This gateway's share of a plan's hard rate, which all gateways together must never exceed.

The hard rate is one token bucket for all gateways. It holds `hard_rate_depth` units, refills with
`hard_rate_per_s` units per second, and may be overdrawn by at most `hard_rate_slack` units. Each gateway has
a local bucket that holds its share of the depth and fills with its share of the rate. It forwards a request
only if this bucket has the units. As long as all shares add up to at most 1, the hard rate is kept without
messages from other gateways or from the counter.

**Depth.** The depth is always split evenly. A gateway may spend its whole share of the depth as soon as the
tenant's requests reach it. If this share had been given to another gateway for some time, both would have
spent it.

**Rate.** While the last total is recent, up to `MAX_DEMAND_BASED_SHARE` of the rate is split in proportion to
demand. Otherwise a gateway that gets most of a tenant's requests would forward far less than the quota. The
shares must not add up to more than 1, although the gateways receive their totals at different times. The
following rules account for that:

- A share is computed from the demand as of the last total and ignores later increases. At the start of a
  burst, each gateway sees its own increase first.
- As the total ages, the share returns to the even share.
- While the fleet's demand is below the quota, a smaller part of the rate is split by demand, because demand
  that other gateways have not reported yet has more weight then.

**Start.** A gateway that starts may be a restarted one, and the previous process may have emptied its bucket.
So the bucket starts with the gateway's share of half of the slack and of what the rate has supplied since the
process started. The first total shows how much demand there is. If it is below half of the hard rate, a part
of the bucket is filled immediately.
"""

from __future__ import annotations

import math

from yardlane.decisions.quota import TenantDemand
from yardlane.decisions.settings import QuotaPlan
from yardlane.decisions.units import SECOND_US

MAX_DEMAND_BASED_SHARE = 0.7  # maximum part of the rate that is split by demand while the total is recent
# A hard rate is assumed to be at least twice the quota's rate. With up to two gateways, an even share of the
# hard rate is then enough for the whole quota, so no part of it needs to be split by demand.
ASSUMED_HARD_RATE_TO_QUOTA_RATIO = 2.0
INITIAL_SLACK_SHARE = 0.5  # share of the slack that is in the bucket when the process starts
# The first total fills the bucket to this share of its depth, minus the ratio of the fleet's demand to the
# hard rate.
FIRST_TOTAL_FILL_SHARE = 0.5
MAX_WAIT_US = 1e9
MIN_UNITS_PER_US = 1e-9  # keeps the wait finite


def compute_even_share(rank: int, first_rank: int, gateway_count: int, total_gateway_count: int) -> float:
    """Return the even share of the gateway with this rank among those that serve a tenant.

    The tenant is served by `gateway_count` gateways from the rank `first_rank` on, continuing at rank 0
    after the last one. The share is 0 for any other gateway: a request that reaches it by mistake must not
    exceed the hard rate.
    """
    serves_tenant = (rank - first_rank) % total_gateway_count < gateway_count
    return 1.0 / gateway_count if serves_tenant else 0.0


class HardRateBucket:
    """The bucket of one tenant at this gateway, in units.

    `uptime_us` is the time since the gateway's process started.
    """

    __slots__ = (
        "_demand",
        "_demand_based_share_at_total",
        "_even_share",
        "_plan",
        "_refilled_at_us",
        "units",
    )

    def __init__(
        self, plan: QuotaPlan, demand: TenantDemand, even_share: float, uptime_us: int, now_us: int
    ) -> None:
        self._plan = plan
        self._demand = demand
        self._even_share = even_share
        self._demand_based_share_at_total = MAX_DEMAND_BASED_SHARE * max(
            0.0, 1.0 - ASSUMED_HARD_RATE_TO_QUOTA_RATIO / demand.gateway_count
        )
        inflow = plan.hard_rate_per_s * uptime_us / SECOND_US
        initial_units = INITIAL_SLACK_SHARE * plan.hard_rate_slack + inflow
        self.units = even_share * min(plan.hard_rate_depth, initial_units)
        self._refilled_at_us = now_us

    def rate_share(self, now_us: int) -> float:
        """Return this gateway's share of the hard rate.

        This is the even share. With a recent total, it is moved towards this gateway's share of the demand.
        """
        demand = self._demand
        if demand.total_received_at_us < 0 or demand.fleet_demand <= 0.0 or not self._even_share:
            return self._even_share
        fleet_per_us = demand.fleet_demand / demand.decay_time_us
        local_demand = min(demand.local_demand_at(now_us), demand.local_demand_at_total)
        demand_based_share = self._demand_based_share_at_total
        demand_based_share *= math.exp((demand.total_received_at_us - now_us) / demand.decay_time_us)
        if self._plan.rate_per_s:
            demand_based_share *= min(1.0, fleet_per_us * SECOND_US / self._plan.rate_per_s)
        local_share_of_demand = min(1.0, local_demand / demand.local_decay_time_us / fleet_per_us)
        return self._even_share + demand_based_share * (local_share_of_demand - self._even_share)

    def refill(self, now_us: int) -> None:
        """Add the units that this gateway's share of the rate has supplied since the last call."""
        elapsed_us = now_us - self._refilled_at_us
        if elapsed_us == 0:  # another request in the same turn
            return
        self._refilled_at_us = now_us
        filled = self.units + self._plan.hard_rate_per_s * self.rate_share(now_us) * elapsed_us / SECOND_US
        self.units = min(self._plan.hard_rate_depth * self._even_share, filled)

    def is_full(self) -> bool:
        """Return whether the bucket holds its whole share of the depth, as of the last refill."""
        return self.units >= self._plan.hard_rate_depth * self._even_share

    def take(self, units: float) -> None:
        """Take a request's units.

        Call this for the first attempt only: the hard rate counts requests, not attempts.
        """
        self.units -= units

    def time_to_fill_us(self, units: float, now_us: int) -> int:
        """Return the time until the bucket has filled by this many units, at most `MAX_WAIT_US`."""
        units_per_us = self._plan.hard_rate_per_s * self.rate_share(now_us) / SECOND_US
        return int(min(MAX_WAIT_US, max(0.0, units) / max(MIN_UNITS_PER_US, units_per_us)))

    def fill_on_first_total(self) -> None:
        """Fill the bucket to half of its depth, less the share of the hard rate that the fleet's demand uses.

        A gateway that has just started does not know whether the previous process emptied the bucket. With
        high demand it probably did, so a full bucket would exceed the hard rate. With low demand, half of the
        bucket should still be available.
        """
        demand_to_hard_rate = (
            self._demand.fleet_demand * SECOND_US / self._demand.decay_time_us / self._plan.hard_rate_per_s
        )
        depth = self._plan.hard_rate_depth * self._even_share
        self.units = max(self.units, depth * (FIRST_TOTAL_FILL_SHARE - demand_to_hard_rate))

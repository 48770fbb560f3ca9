"""This gateway's share of a plan's hard rate, which all gateways together must never exceed.

The hard rate is one token bucket for all gateways: `hard_rate_depth` units, filled by `hard_rate_per_s`
units a second, and overdrawn by `hard_rate_slack` units at most. Each gateway has a bucket that holds its
share of the depth and fills with its share of the rate, and forwards a request only from that. So the hard
rate holds with no word from another gateway or the counter, as long as all shares add up to one at most.

**Depth.** The share of the depth is always even. A gateway may spend its share as soon as the tenant's
requests reach it, so a share that another gateway used meanwhile would be spent twice.

**Rate.** While the last total is fresh, up to `DEMAND_BASED_SHARE` of the rate follows the demand; otherwise
a gateway that gets most of a tenant's requests would pass far less than the quota. All shares together must
not become more than one, while each gateway gets its total at another time. So a share is taken as of the
last total, never from demand that came since: at the start of a burst each gateway sees its own demand first.
It returns to the even share as the total ages. And while the fleet's demand is below the quota, less of the
rate follows it, as demand that the others have not reported yet then weighs more.

**Start.** A gateway that starts may be one that restarts, and its predecessor may have emptied the bucket.
So it starts with half of the slack and what has flowed in since the process started. The first total shows
how much demand there is; while that is below half of the hard rate, part of the bucket is granted at once.
"""

from __future__ import annotations

import math

from yardlane.decisions.quota import TenantDemand
from yardlane.decisions.settings import QuotaPlan
from yardlane.decisions.units import SECOND_US

DEMAND_BASED_SHARE = 0.7  # of the rate that follows the demand while the total is fresh
# A hard rate is taken to be at least twice the quota: in a fleet of so few gateways an even share of it lets
# a whole quota pass, so that none has to follow the demand.
ASSUMED_HARD_RATE_TO_QUOTA_RATIO = 2.0
INITIAL_SLACK_SHARE = 0.5
# A first total fills the bucket to this, less the fleet's demand / the hard rate, of its depth.
FIRST_TOTAL_FILL_SHARE = 0.5
MAX_WAIT_US = 1e9
MIN_UNITS_PER_US = 1e-9  # keeps a wait finite


def compute_even_share(rank: int, first_gateway: int, gateway_count: int, total_gateway_count: int) -> float:
    """The share of one of the `gateway_count` gateways that serve a tenant, from `first_gateway` on.

    0 for a gateway that is none of these: a request that came to it in error must not exceed the hard rate.
    """
    serves_tenant = (rank - first_gateway) % total_gateway_count < gateway_count
    return 1.0 / gateway_count if serves_tenant else 0.0


class HardRateBucket:
    """The bucket of one tenant at this gateway, in units; `uptime_us` is since the process started."""

    __slots__ = (
        "_demand",
        "_demand_based_share",
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
        self._demand_based_share = DEMAND_BASED_SHARE * max(
            0.0, 1.0 - ASSUMED_HARD_RATE_TO_QUOTA_RATIO / demand.gateway_count
        )
        inflow = plan.hard_rate_per_s * uptime_us / SECOND_US
        initial_units = INITIAL_SLACK_SHARE * plan.hard_rate_slack + inflow
        self.units = even_share * min(plan.hard_rate_depth, initial_units)
        self._refilled_at_us = now_us

    def rate_share(self, now_us: int) -> float:
        """This gateway's share of the hard rate: even, or by a fresh total nearer its share of the demand."""
        demand = self._demand
        if demand.total_received_at_us < 0 or demand.fleet_demand <= 0.0 or not self._even_share:
            return self._even_share
        fleet_per_us = demand.fleet_demand / demand.decay_us
        local_demand = min(demand.local_demand_at(now_us), demand.local_demand_at_total)
        demand_based_share = self._demand_based_share
        demand_based_share *= math.exp((demand.total_received_at_us - now_us) / demand.decay_us)
        if self._plan.rate_per_s:
            demand_based_share *= min(1.0, fleet_per_us * SECOND_US / self._plan.rate_per_s)
        demand_share = min(1.0, local_demand / demand.local_decay_us / fleet_per_us)
        return self._even_share + demand_based_share * (demand_share - self._even_share)

    def refill(self, now_us: int) -> None:
        """Add what this gateway's share of the rate has let flow in since the last call."""
        elapsed_us = now_us - self._refilled_at_us
        if elapsed_us == 0:  # several requests in one turn
            return
        self._refilled_at_us = now_us
        filled = self.units + self._plan.hard_rate_per_s * self.rate_share(now_us) * elapsed_us / SECOND_US
        self.units = min(self._plan.hard_rate_depth * self._even_share, filled)

    def is_full(self) -> bool:
        """Whether the bucket held its whole share of the depth when it was last refilled."""
        return self.units >= self._plan.hard_rate_depth * self._even_share

    def take(self, units: float) -> None:
        """Take a request's units. Only the first attempt takes them: the hard rate counts requests."""
        self.units -= units

    def time_to_fill_us(self, units: float, now_us: int) -> int:
        """The time until the bucket has filled by so many units."""
        units_per_us = self._plan.hard_rate_per_s * self.rate_share(now_us) / SECOND_US
        return int(min(MAX_WAIT_US, max(0.0, units) / max(MIN_UNITS_PER_US, units_per_us)))

    def grant_on_first_total(self) -> None:
        """Fill up to half of the bucket, less the share of the hard rate that the fleet's demand takes.

        A gateway that starts anew does not know whether its predecessor emptied the bucket. With much demand
        it probably did, and a full bucket would exceed the hard rate; with little, half of it must be there.
        """
        demand_share = (
            self._demand.fleet_demand * SECOND_US / self._demand.decay_us / self._plan.hard_rate_per_s
        )
        depth = self._plan.hard_rate_depth * self._even_share
        self.units = max(self.units, depth * (FIRST_TOTAL_FILL_SHARE - demand_share))

"""This gateway's share of a tenant's hard rate, which all gateways together must never exceed.

Each tenant of a plan with a hard rate has one token bucket over all gateways that serve the tenant. The
bucket holds `hard_rate_depth` units, refills with `hard_rate_per_s` units per second, and may be overdrawn by
at most `hard_rate_slack` units. A request takes as many units from it as the request costs.

No gateway can see this bucket. Instead, each gateway has a local bucket that holds its share of the depth and
fills with its share of the rate. It forwards a request only if the local bucket has the units. As long as the
shares of all gateways add up to at most 1, the hard rate is not exceeded, even without a counter or messages
between the gateways. A request that costs more than the gateway's share of the depth is never forwarded: it
queues until it is rejected.

**Depth.** The depth is always split evenly. A gateway may spend its whole share of the depth as soon as the
tenant's requests reach it. If shares of the depth moved between gateways, a gateway could spend its share
before it gives the share away, and the other gateway would spend it again.

**Rate.** With even shares only, a gateway that gets most of a tenant's requests would forward far less than
the quota. So up to `MAX_DEMAND_BASED_SHARE` of the rate is split in proportion to the gateways' demand, and
the rest evenly. The demand is known from the totals of the shared counter (`counter_polling.py`); before the
first total, and for a plan without a quota, the whole rate is split evenly. The shares must not add up to
more than 1, although the gateways receive their totals at different times. The following rules account for
that:

- A share is computed from the demand as of the last total and ignores later increases. At the start of a
  burst, each gateway sees its own increase first, so otherwise all gateways would raise their shares at once.
- As the total ages, the share returns to the even share.
- While the fleet's demand is below the quota's rate, a smaller part of the hard rate is split by demand,
  because demand that other gateways have not reported yet has more weight then.
- The fewer gateways serve the tenant, the smaller is the part that is split by demand. With one or two
  gateways, the whole rate is split evenly (see `ASSUMED_HARD_RATE_TO_QUOTA_RATIO`).

**Start.** A gateway that starts may be a restarted one, and the previous process may have emptied its bucket.
So the initial level of the bucket is computed from half of the slack plus the units that the rate has
supplied since the process started. The bucket starts with the gateway's share of this sum, or of the depth if
the sum is larger. The first total shows how much demand there is. If the demand is below half of the hard
rate, the bucket is filled to a part of its depth immediately (`HardRateBucket.fill_on_first_total`).
"""

from __future__ import annotations

import math

from yardlane.decisions.quota import TenantDemand
from yardlane.decisions.settings import QuotaPlan
from yardlane.decisions.units import SECOND_US

MAX_DEMAND_BASED_SHARE = 0.7  # maximum share of the hard rate that is split in proportion to demand
# A hard rate is assumed to be at least twice the quota's rate. With up to two gateways, an even share of the
# hard rate is then enough for the whole quota, so no part of the hard rate needs to be split by demand.
ASSUMED_HARD_RATE_TO_QUOTA_RATIO = 2.0
INITIAL_SLACK_SHARE = 0.5  # share of the slack that is in the bucket when the process starts
# If there is no demand, the first total fills the bucket to this share of its depth; with demand, it fills it
# to less (see `HardRateBucket.fill_on_first_total`).
FIRST_TOTAL_FILL_SHARE = 0.5
MAX_WAIT_US = 1e9
MIN_UNITS_PER_US = 1e-9  # avoids a division by zero in a gateway whose share is 0


def compute_even_share(rank: int, first_rank: int, gateway_count: int, total_gateway_count: int) -> float:
    """Return the even share of the gateway with this rank among those that serve a tenant.

    The tenant is served by `gateway_count` gateways with consecutive ranks. The first of them has the rank
    `first_rank`, and rank 0 follows the last of the `total_gateway_count` ranks. Any other gateway has the
    share 0, because a request that reaches it by mistake must not exceed the hard rate.
    """
    serves_tenant = (rank - first_rank) % total_gateway_count < gateway_count
    return 1.0 / gateway_count if serves_tenant else 0.0


class HardRateBucket:
    """The local bucket of one tenant at this gateway; `units` is its current level.

    The constructor's `uptime_us` is the time since the gateway's process started.
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
        # The share of the hard rate that is split by demand when a total is received, provided that the
        # fleet's demand has reached the quota's rate.
        self._demand_based_share_at_total = MAX_DEMAND_BASED_SHARE * max(
            0.0, 1.0 - ASSUMED_HARD_RATE_TO_QUOTA_RATIO / demand.gateway_count
        )
        inflow = plan.hard_rate_per_s * uptime_us / SECOND_US
        initial_units = INITIAL_SLACK_SHARE * plan.hard_rate_slack + inflow
        self.units = even_share * min(plan.hard_rate_depth, initial_units)
        self._refilled_at_us = now_us

    def rate_share(self, now_us: int) -> float:
        """Return this gateway's share of the hard rate.

        Before the first total, and if the even share is 0, this is the even share. Otherwise it lies between
        the even share and this gateway's share of the demand. The older the total, the closer it is to the
        even share.
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
        if elapsed_us == 0:  # already refilled in this call of `Gateway.handle`
            return
        self._refilled_at_us = now_us
        filled = self.units + self._plan.hard_rate_per_s * self.rate_share(now_us) * elapsed_us / SECOND_US
        self.units = min(self._plan.hard_rate_depth * self._even_share, filled)

    def is_full(self) -> bool:
        """Return whether the bucket holds its whole share of the depth, as of the last refill."""
        return self.units >= self._plan.hard_rate_depth * self._even_share

    def take(self, units: float) -> None:
        """Take a request's units from the bucket.

        Call this only for the first attempt, because the hard rate limits requests, not attempts.
        """
        self.units -= units

    def time_to_fill_us(self, units: float, now_us: int) -> int:
        """Return the time in which `units` flow into the bucket, at most `MAX_WAIT_US`; 0 if `units` <= 0."""
        units_per_us = self._plan.hard_rate_per_s * self.rate_share(now_us) / SECOND_US
        return int(min(MAX_WAIT_US, max(0.0, units) / max(MIN_UNITS_PER_US, units_per_us)))

    def fill_on_first_total(self) -> None:
        """Fill a part of the bucket when the first total has been received.

        Fill it to (`FIRST_TOTAL_FILL_SHARE` - fleet's demand / hard rate) of this gateway's share of the
        depth, unless it already holds more.

        A gateway that has just started does not know whether the previous process emptied the bucket. With
        high demand it probably did, so a full bucket would exceed the hard rate. The lower the demand, the
        more of the bucket is made available, up to half of it. Otherwise, when many gateways start with
        nearly empty buckets, most requests of the first seconds would be rejected.
        """
        demand_to_hard_rate = (
            self._demand.fleet_demand * SECOND_US / self._demand.decay_time_us / self._plan.hard_rate_per_s
        )
        depth = self._plan.hard_rate_depth * self._even_share
        self.units = max(self.units, depth * (FIRST_TOTAL_FILL_SHARE - demand_to_hard_rate))

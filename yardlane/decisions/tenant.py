"""A tenant of one plan at this gateway: its queue, its attempts in flight and its share of the quota.

A tenant is kept from its first request until it can be evicted without consequences. This is when it has
nothing queued or in flight, its last request is more than `MAX_TOTAL_AGE_US` ago, and its hard rate bucket is
full. If a tenant were evicted while its bucket is not full, its next request would create a new bucket that
may hold more units, and the hard rate would be exceeded. Above `MAX_TENANTS`, a recent request does not keep
a tenant.

The first request determines which gateways serve the tenant. This is not updated while the tenant is kept. If
later requests name other gateways, the quota is divided by the old number of gateways until the tenant is
evicted.
"""

from __future__ import annotations

from yardlane.decisions.burst import BurstEstimate
from yardlane.decisions.counter_polling import CountingPeriods
from yardlane.decisions.events import RequestArrived
from yardlane.decisions.hard_rate import HardRateBucket, compute_even_share
from yardlane.decisions.quota import (
    MAX_TOTAL_AGE_US,
    TenantDemand,
    even_concurrency_bound,
    is_limit_below_gateway_count,
    split_concurrency_limit,
)
from yardlane.decisions.request import Request
from yardlane.decisions.settings import Settings

# An arrival adds at most one tenant, so idle tenants are evicted faster than new ones arrive.
MAX_EVICTIONS_PER_ARRIVAL = 4
# Above this number, tenants are evicted although their last request is recent. A tenant takes about 1 KB.
MAX_TENANTS = 16_384

TenantId = tuple[int, int]
"""The tenant's number and its plan's index.

A request may name another plan than the tenant's earlier requests did. It then belongs to a separate `Tenant`
and does not change the plan of the existing one.
"""


class Tenant:
    """One tenant's requests and quota at this gateway.

    `admission_credit` accumulates the admission probabilities of requests (`admission.py`). It starts at a
    random value from 0 to 1, because otherwise all gateways would reject requests at the same time.
    `started_at_us` is the time at which the gateway's process started.
    """

    __slots__ = (
        "admission_credit",
        "burst",
        "concurrency_bound",
        "demand",
        "gateway_count",
        "hard_rate",
        "has_limit_below_gateway_count",
        "in_flight",
        "next_forwarding_at_us",
        "periods",
        "plan",
        "queue",
    )

    def __init__(
        self,
        event: RequestArrived,
        settings: Settings,
        started_at_us: int,
        now_us: int,
        admission_credit: float,
    ) -> None:
        plan = settings.quota_plans[event.quota_plan]
        gateway_count = max(1, event.gateway_count)
        tenant_key = event.tenant * len(settings.quota_plans) + event.quota_plan
        even_share = compute_even_share(
            settings.rank, event.first_gateway, gateway_count, settings.gateway_count
        )
        self.plan = plan
        self.gateway_count = gateway_count
        self.queue: list[Request] = []
        self.in_flight = 0
        self.next_forwarding_at_us = 0
        self.admission_credit = admission_credit
        self.demand = TenantDemand(plan, gateway_count, settings.counter_timeout_us, now_us)
        self.periods = CountingPeriods(event.tenant, tenant_key, self.demand.decay_time_us)
        self.burst = BurstEstimate(plan, self.demand, now_us)
        self.hard_rate = HardRateBucket(plan, self.demand, even_share, now_us - started_at_us, now_us)
        self.concurrency_bound = even_concurrency_bound(plan.concurrency_limit, gateway_count)
        self.has_limit_below_gateway_count = is_limit_below_gateway_count(plan, gateway_count)

    def refill(self, now_us: int) -> None:
        """Refill the token buckets that the plan has."""
        if self.plan.rate_per_s:
            self.burst.refill(now_us)
        if self.plan.hard_rate_per_s:
            self.hard_rate.refill(now_us)

    def has_free_slot(self) -> bool:
        """Return whether the concurrency bound allows another attempt in flight.

        A `concurrency_bound` of 0 means that there is none.
        """
        return not self.concurrency_bound or self.in_flight < self.concurrency_bound

    def missing_units(self, units: float, now_us: int) -> float:
        """Refill the buckets and return how many units the hard rate bucket lacks for a request.

        The request costs `units`. The result is 0 or less if the bucket lacks none.
        """
        if not self.plan.hard_rate_per_s:
            return 0.0
        self.refill(now_us)
        return units - self.hard_rate.units

    def record_first_attempt(self, units: float, request_demand: float) -> None:
        """Take a request's units from the token buckets.

        Call this when the first attempt of the request is sent.
        """
        if self.plan.hard_rate_per_s:
            self.hard_rate.take(units)
        if self.plan.rate_per_s:
            self.burst.take(units, request_demand)

    def update_concurrency_bound(self, fleet_demand: float, slot_us_per_demand: float) -> None:
        """Set this gateway's concurrency bound according to demand.

        Little's law converts demand to the mean number of requests in flight. `slot_us_per_demand` is the
        time in microseconds for which a demand of 1 occupies a slot.
        """
        demand = self.demand
        self.concurrency_bound = split_concurrency_limit(
            self.plan.concurrency_limit,
            self.gateway_count,
            slot_us_per_demand * demand.local_demand / demand.local_decay_time_us,
            slot_us_per_demand * fleet_demand / demand.decay_time_us,
        )

    def apply_total(self, total: float, period_index: int, capacity: float, now_us: int) -> None:
        """Update the demand from a total of the shared counter, which belongs to the period with this index.

        The first total may also fill a part of the hard rate bucket. `capacity` is the demand that may be
        admitted in one decay time.
        """
        is_first = not self.demand.has_total()
        start_us = self.periods.start_us(period_index)
        self.demand.apply_total(total, period_index, start_us, capacity, now_us)
        if is_first and self.plan.hard_rate_per_s:
            self.hard_rate.fill_on_first_total()

    def is_idle(self, now_us: int) -> bool:
        """Return whether the last request is so long ago that its demand no longer matters."""
        return now_us - self.demand.last_request_at_us > MAX_TOTAL_AGE_US

    def is_evictable(self, now_us: int) -> bool:
        """Return whether a new object for the tenant would not exceed its limits; refill its buckets if so.

        The hard rate bucket of a new object may be full, and it has no request in flight or queued.
        """
        if self.in_flight or self.queue:
            return False
        self.refill(now_us)
        return self.hard_rate.is_full()


def evict_idle_tenants(tenants: dict[TenantId, Tenant], now_us: int) -> None:
    """Evict idle tenants, beginning with the one that has been idle longest.

    At most `MAX_EVICTIONS_PER_ARRIVAL` tenants are evicted, and none after the first that cannot be evicted.
    `tenants` is ordered by the time of the last request. Its last tenant must not be idle, so that one tenant
    always remains.

    Above `MAX_TENANTS`, tenants that are not idle are evicted as well, as requests under ever new names would
    otherwise fill the memory. Such a tenant loses its demand, of which the counter still has the reported
    part. Tenants that cannot be evicted then go to the end, so that they do not protect the others.
    """
    for _ in range(MAX_EVICTIONS_PER_ARRIVAL):
        is_crowded = len(tenants) > MAX_TENANTS
        tenant_id, oldest = next(iter(tenants.items()))
        if not (is_crowded or oldest.is_idle(now_us)):
            return
        if oldest.is_evictable(now_us):
            del tenants[tenant_id]
        elif is_crowded:
            tenants[tenant_id] = tenants.pop(tenant_id)
        else:
            return

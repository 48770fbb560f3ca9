"""Admission control: whether a new request is admitted or rejected, and how long it may queue.

**Rejection.** For a plan with a rate, the fleet's demand in one decay time is compared with the available
capacity. That is what the rate sustains in this time (`sustained_capacity`) plus a share of the remaining
burst. If the demand D exceeds the available capacity C, a new request is rejected with the probability
1 - C/D. All gateways compute about the same probability, so together they admit about C. The rejections are
spread evenly over the requests instead of being drawn at random, because random rejections come in runs.

For a plan with only a concurrency limit, requests over the gateway's concurrency bound queue and are not
rejected by this probability. The exception is a limit below the number of gateways. Bounds cannot enforce it,
because each gateway's bound is at least one request. Such a limit is enforced by the same rejection
probability.

**Queueing.** An admitted request queues until the concurrency bound, the hard rate and an endpoint allow it
to be forwarded. The queue is served in order of arrival. A request that has queued for `max_queueing_time_us`
is rejected, while its client can still use the answer. There is one exception: if this time ends while the
request still waits for the counter's reply, and the request is then admitted, it may queue until shortly
before its deadline (`Gateway._on_final_answer_due`).

Demand and capacity are measured in units if the plan has a rate. Otherwise they are measured in slot-seconds:
a request counts as one concurrency slot, held for the mean service time.
"""

from __future__ import annotations

import math

from yardlane.decisions.settings import QuotaPlan, RequestClass
from yardlane.decisions.tenant import Tenant
from yardlane.decisions.units import SECOND_US

SUSTAINED_RATE_SHARE = 0.90  # share of the rate that counts as capacity; the rest refills the burst
# Target utilization of a concurrency limit below the number of gateways. Requests arrive at random: for a
# limit of two, a mean of one request in flight already uses both slots a quarter of the time, and a request
# over the limit is worth little.
SMALL_LIMIT_UTILIZATION = 0.5
# Share of the remaining burst that counts as capacity: the other gateways admit requests from the same burst.
USABLE_BURST_SHARE = 0.5
# Longest time in the queue, as a share of the latency objective minus the mean service time. With the whole
# difference, a request that takes longer than the mean would miss its objective and waste capacity.
QUEUEING_OBJECTIVE_SHARE = 0.6
ENDPOINT_RECHECK_DELAY_US = 20_000  # delay until a queue without an available endpoint is checked again
# Longest time in the queue, as a share of the time until the client's deadline. A later rejection would leave
# the client no time to send the request again.
QUEUEING_DEADLINE_SHARE = 0.4


def request_demand(plan: QuotaPlan, units: float, service_time_us: float) -> float:
    """Return what a request adds to its tenant's demand: units, or slot-seconds for a plan without a rate."""
    return units if plan.rate_per_s else service_time_us / SECOND_US


def sustained_capacity(tenant: Tenant, units: float, service_time_us: float) -> float:
    """Return how much demand all gateways together may admit in one decay time, leaving the burst aside.

    It is computed for requests with this cost and mean service time. It is 0 for a plan without a quota.
    """
    plan = tenant.plan
    decay_s = tenant.demand.decay_time_us / SECOND_US
    if not plan.rate_per_s:
        share = SMALL_LIMIT_UTILIZATION if tenant.has_limit_below_gateway_count else 1.0
        return share * plan.concurrency_limit * decay_s
    limit_units_per_s = plan.concurrency_limit * units / (service_time_us / SECOND_US)  # by Little's law
    return decay_s * min(SUSTAINED_RATE_SHARE * plan.rate_per_s, limit_units_per_s or math.inf)


def decide_admission(tenant: Tenant, units: float, service_time_us: float, now_us: int) -> bool:
    """Return whether a request of this tenant is admitted (True) or rejected (False).

    As a side effect, refill the tenant's token buckets and update its concurrency bound and admission credit.
    """
    plan = tenant.plan
    amount = request_demand(plan, units, service_time_us)
    available_capacity = sustained_capacity(tenant, units, service_time_us)
    fleet_demand = tenant.demand.estimate_fleet_demand(amount) if available_capacity else 0.0
    tenant.refill(now_us)
    if fleet_demand > 0 and plan.concurrency_limit and tenant.demand.has_total():
        tenant.update_concurrency_bound(fleet_demand, service_time_us / amount)
    if plan.rate_per_s:
        available_capacity = max(
            0.0, available_capacity + USABLE_BURST_SHARE * tenant.burst.units_left(fleet_demand)
        )
    rejection_probability = 0.0
    if fleet_demand > 0 and (plan.rate_per_s or tenant.has_limit_below_gateway_count):
        rejection_probability = max(0.0, 1.0 - available_capacity / fleet_demand)
    return _admit_by_credit(tenant, rejection_probability)


def _admit_by_credit(tenant: Tenant, rejection_probability: float) -> bool:
    """Return whether to admit a request, so that rejections are spread evenly.

    Each request adds its admission probability to the tenant's credit. A request is admitted when the credit
    reaches 1, which is then subtracted.
    """
    whole_credits, tenant.admission_credit = divmod(
        tenant.admission_credit + 1.0 - rejection_probability, 1.0
    )
    return whole_credits >= 1.0


def max_queueing_time_us(request_class: RequestClass, service_time_us: float, time_left_us: int) -> int:
    """Return how long a request may queue and still meet its latency objective, or be rejected in time.

    This is 0 if the mean service time is not below the latency objective. A request that cannot be forwarded
    immediately is then rejected in the same turn.
    """
    within_objective_us = (request_class.latency_objective_us - service_time_us) * QUEUEING_OBJECTIVE_SHARE
    return max(0, int(min(within_objective_us, time_left_us * QUEUEING_DEADLINE_SHARE)))


def queue_recheck_delay_us(tenant: Tenant, missing_units: float, now_us: int) -> int:
    """Return the delay until a queue is checked again whose first request could not be forwarded.

    It is not known when an endpoint becomes available, so without one the queue is checked again after
    `ENDPOINT_RECHECK_DELAY_US`. If the hard rate lacks units, the time in which its bucket fills by
    `missing_units` is added to this delay.
    """
    if missing_units <= 0.0:
        return ENDPOINT_RECHECK_DELAY_US
    return ENDPOINT_RECHECK_DELAY_US + tenant.hard_rate.time_to_fill_us(missing_units, now_us)

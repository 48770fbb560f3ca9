"""Whether a new request is admitted or rejected (shed load), and how long an admitted one may queue.

**Reject.** A plan with a rate compares the fleet's demand in one decay time with the available capacity: what
the rate sustains (`sustained_capacity`), and a share of what is left of the burst. With demand D over
available capacity C, a new request is rejected with the probability 1 - C/D. All gateways compute about the
same probability, so together they admit about C. The rejections are spread evenly rather than drawn, as drawn
ones come in runs.

A plan with only a concurrency limit queues what is beyond its bound. But a limit below the number of
gateways cannot be kept by bounds, since a bound is one request at least; there the same probability keeps
the sum.

**Queue.** An admitted request queues until the concurrency bound, the hard rate and an endpoint let it go, in
order of arrival. It is rejected after `max_queueing_time_us`, while its client can still use the answer. But
if that time ends while the request still waits for the counter's reply, it is not looked at again: it then
queues until its client is about to give up (`Gateway._on_final_answer_due`).

Demand and capacity are units where the plan has a rate; else slot-seconds, a concurrency slot for the mean
service time.
"""

from __future__ import annotations

import math

from yardlane.decisions.settings import QuotaPlan, RequestClass
from yardlane.decisions.tenant import Tenant
from yardlane.decisions.units import SECOND_US

SUSTAINED_RATE_SHARE = 0.90  # of the rate; the rest of it refills the burst
# Requests come at random: with a mean of half of a limit of two in flight, all of it is in use a quarter of
# the time, and a request beyond the limit is worth little.
SMALL_LIMIT_UTILIZATION = 0.5
USABLE_BURST_SHARE = 0.5  # of the burst's rest that counts as capacity: other gateways admit from it as well
# Of the time that the latency objective leaves beside the service time. A request that queued for all of it
# would miss the objective whenever it takes longer than the mean, and use capacity for nothing.
QUEUEING_OBJECTIVE_SHARE = 0.6
ENDPOINT_RECHECK_DELAY_US = 20_000  # how soon a queued request looks again for an endpoint
# Of the time after which the client gives up: a later rejection leaves it no time to send the request again.
QUEUEING_DEADLINE_SHARE = 0.4


def request_demand(plan: QuotaPlan, units: float, service_time_us: float) -> float:
    """What a request adds to the tenant's demand."""
    return units if plan.rate_per_s else service_time_us / SECOND_US


def sustained_capacity(tenant: Tenant, units: float, service_time_us: float) -> float:
    """What all gateways together may admit of such requests in one decay time; 0 for a plan without quota."""
    plan = tenant.plan
    decay_s = tenant.demand.decay_us / SECOND_US
    if not plan.rate_per_s:
        share = SMALL_LIMIT_UTILIZATION if tenant.has_limit_below_gateway_count else 1.0
        return share * plan.concurrency_limit * decay_s
    limit_per_s = plan.concurrency_limit * units / (service_time_us / SECOND_US)  # by Little's law
    return decay_s * min(SUSTAINED_RATE_SHARE * plan.rate_per_s, limit_per_s or math.inf)


def decide_admission(tenant: Tenant, units: float, service_time_us: float, now_us: int) -> bool:
    """Admit (True) or reject a request of this tenant.

    This changes the tenant: it refills its buckets, sets its concurrency bound and adds to its admission
    credit.
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
    """Add up the probabilities to pass; a request passes whenever they reach the next whole one."""
    admitted, tenant.admission_credit = divmod(tenant.admission_credit + 1.0 - rejection_probability, 1.0)
    return admitted >= 1.0


def max_queueing_time_us(request_class: RequestClass, service_time_us: float, time_left_us: int) -> int:
    """How long a request may queue and still be served within its objective, or rejected in time.

    0 where the mean service time is the whole objective: what cannot be forwarded at once is then rejected in
    the same turn.
    """
    within_objective_us = (request_class.latency_objective_us - service_time_us) * QUEUEING_OBJECTIVE_SHARE
    return max(0, int(min(within_objective_us, time_left_us * QUEUEING_DEADLINE_SHARE)))


def forwarding_delay_us(tenant: Tenant, missing_units: float, now_us: int) -> int:
    """When to look again at a queue whose first request lacks units of the hard rate, or an endpoint.

    When an endpoint will be free is not known: the queue is looked at again after
    `ENDPOINT_RECHECK_DELAY_US`. Where units are missing, that delay is added to the time in which
    they flow in.
    """
    if missing_units <= 0.0:
        return ENDPOINT_RECHECK_DELAY_US
    return ENDPOINT_RECHECK_DELAY_US + tenant.hard_rate.time_to_fill_us(missing_units, now_us)

"""Admission control: whether a new request is admitted or rejected, and how long it may queue.

**Rejection.** For a plan with a rate, the fleet's demand in one decay time is compared with the available
capacity. This is the sustained capacity (`sustained_capacity`) plus a share of the remaining burst. The
sustained capacity is what the rate and the concurrency limit, if the plan has one, can sustain in one decay
time; the smaller of the two counts. If the demand D exceeds the available capacity C, a new request is
rejected with the probability 1 - C/D. All gateways compute about the same probability, so together they admit
about C. The rejections are spread evenly over the requests instead of being drawn at random, because random
rejections come in runs.

For a plan with only a concurrency limit, no request is rejected by this probability. Requests queue instead
while the gateway's concurrency bound is reached (`quota.py`). The exception is a limit below the number of
gateways. Bounds cannot enforce it, because each gateway's bound is at least 1. Such a limit is enforced by
the same rejection probability.

**Queueing.** An admitted request queues until the concurrency bound, the hard rate (`hard_rate.py`) and the
limit on all attempts (`concurrency.py`) allow it to be forwarded and an endpoint is available. The queue is
served in order of arrival. A request that is not forwarded within `max_queueing_time_us` after its arrival is
rejected, while its client can still use the answer. There is one exception: if this time ends while the
request still waits for the counter's reply, and the request is then admitted, it may queue until shortly
before its deadline (`Gateway._on_final_answer_due`).

Demand and capacity are measured in units if the plan has a rate. Otherwise they are measured in slot-seconds:
a request occupies one concurrency slot for the mean service time.
"""

from __future__ import annotations

import math

from yardlane.decisions.settings import QuotaPlan, RequestClass
from yardlane.decisions.tenant import Tenant
from yardlane.decisions.units import SECOND_US

SUSTAINED_RATE_SHARE = 0.90  # share of the rate that counts as capacity; the rest refills the burst
# Target utilization of a concurrency limit below the number of gateways, for a plan without a rate. Requests
# arrive at random: for a limit of two, a mean of one request in flight already uses both slots a quarter of
# the time, and a request beyond the limit is worth less than one within it (`QuotaPlan`).
SMALL_LIMIT_UTILIZATION = 0.5
# Share of the remaining burst that counts as capacity: the other gateways admit requests from the same burst.
USABLE_BURST_SHARE = 0.5
# Longest time in the queue, as a share of (latency objective - mean service time). If a request could queue
# for the whole difference, it would miss its objective as soon as it takes longer than the mean, and would
# waste capacity.
QUEUEING_OBJECTIVE_SHARE = 0.6
ENDPOINT_RECHECK_DELAY_US = 20_000  # delay until a queue without an available endpoint is checked again
# Longest time in the queue, as a share of the time from the request's arrival to its deadline. A later
# rejection would leave the client no time to send the request again.
QUEUEING_DEADLINE_SHARE = 0.4


def request_demand(plan: QuotaPlan, units: float, service_time_us: float) -> float:
    """Return what a request adds to its tenant's demand: units, or slot-seconds for a plan without a rate."""
    return units if plan.rate_per_s else service_time_us / SECOND_US


def sustained_capacity(tenant: Tenant, units: float, service_time_us: float) -> float:
    """Return how much demand all gateways together may admit in one decay time, not counting the burst.

    It is computed for requests that cost this many units and have this mean service time. It is 0 for a plan
    that has neither a rate nor a concurrency limit.
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
    A request under a plan without a quota has no capacity to exceed and is always admitted.
    """
    plan = tenant.plan
    amount = request_demand(plan, units, service_time_us)
    available_capacity = sustained_capacity(tenant, units, service_time_us)
    fleet_demand = tenant.demand.estimate_fleet_demand(amount) if available_capacity else 0.0
    tenant.refill(now_us)
    if fleet_demand > 0 and plan.concurrency_limit and tenant.demand.has_total():
        # A request adds `amount` to the demand and occupies a slot for the mean service time.
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
    """Return whether to admit a request, spreading the rejections evenly.

    Each request adds its admission probability to the tenant's credit. If the credit has then reached 1, the
    request is admitted and 1 is subtracted from the credit.
    """
    whole_credits, tenant.admission_credit = divmod(
        tenant.admission_credit + 1.0 - rejection_probability, 1.0
    )
    return whole_credits >= 1.0


def max_queueing_time_us(request_class: RequestClass, service_time_us: float, time_left_us: int) -> int:
    """Return how long after its arrival a request may still be queued.

    A request that is forwarded by then can meet its latency objective; otherwise it is rejected while its
    client can still send it again. `time_left_us` is the time from the arrival to the client's deadline.

    The result is 0 if the mean service time is not below the latency objective. A request that cannot be
    forwarded immediately is then rejected in the turn (call of `Gateway.handle`) in which it arrives, unless
    it waits for the counter's reply.
    """
    within_objective_us = (request_class.latency_objective_us - service_time_us) * QUEUEING_OBJECTIVE_SHARE
    return max(0, int(min(within_objective_us, time_left_us * QUEUEING_DEADLINE_SHARE)))


def queue_recheck_delay_us(tenant: Tenant, missing_units: float, now_us: int) -> int:
    """Return after what delay to check a queue again if its first request could not be forwarded.

    `missing_units` is how many units the hard rate bucket lacks for the request, or 0 or less if it lacks
    none. In the latter case the request lacks an endpoint, or the limit on all attempts (`concurrency.py`) is
    reached. It is not known when that changes, so the delay is `ENDPOINT_RECHECK_DELAY_US`. If units are
    missing, the time in which they flow into the bucket is added to this delay.
    """
    if missing_units <= 0.0:
        return ENDPOINT_RECHECK_DELAY_US
    return ENDPOINT_RECHECK_DELAY_US + tenant.hard_rate.time_to_fill_us(missing_units, now_us)

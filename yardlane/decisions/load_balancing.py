"""Load balancing: which endpoint gets an attempt.

The load balancer chooses the candidate with the lowest expected cost. The cost is a time in microseconds, and
the sum of two parts:

- The expected time until the endpoint has finished the attempt. This is the mean service time of the request
  class, times the endpoint's latency ratio, times the number of attempts there (those in flight and the new
  one), divided by the endpoint's warm-up factor.
- The expected cost of a failure. This is the latency objective times the sum of two failure rates of the
  endpoint: the rate over all plans and the rate of the request's plan. So a failure costs as much as a
  response that takes the whole latency objective.

Older observations count less. `outliers.decay_factor` reduces the failure rates and the deviation of the
latency ratio from 1. The in-flight attempts of other gateways are known only from the endpoint's last load
report. Their weight falls linearly to zero within `LOAD_REPORT_FADE_US` after the report.

An endpoint that is warming up can be chosen only while `slow_start.py` admits a request. This is rarely the
case, and the part of the slow-start budget that is not used is lost. So the endpoint is preferred for a
request that it is expected to serve well within the latency objective. Without this preference it would get
its first requests only when all other endpoints are busy.

If the setting `cross_zone_cost` is not 0, the cost of each endpoint in another zone is multiplied by
`CROSS_ZONE_COST_FACTOR`, whatever the value of the setting. Finally, each cost is raised by a random share of
up to `JITTER_SHARE`. Without this jitter, gateways that see the same loads would all send to the same
endpoint.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random

from yardlane.decisions.endpoint_record import EndpointRecord
from yardlane.decisions.outliers import decay_factor
from yardlane.decisions.request import Request
from yardlane.decisions.service_time import ServiceTimes
from yardlane.decisions.settings import QuotaPlan, Settings
from yardlane.decisions.slow_start import SlowStart
from yardlane.decisions.units import SECOND_US

LOAD_REPORT_FADE_US = SECOND_US
# A warming endpoint is preferred for a request if the expected service time there, without other attempts, is
# below this share of the latency objective.
WARMING_MAX_LATENCY_SHARE = 0.5
WARMING_COST_FACTOR = 0.5
CROSS_ZONE_COST_FACTOR = 1.5
JITTER_SHARE = 0.05


class LoadBalancer:
    """Chooses the endpoint for an attempt by its expected cost."""

    __slots__ = ("_prefers_own_zone", "_random", "_service_times", "_settings", "_slow_start")

    def __init__(
        self, settings: Settings, random: Random, slow_start: SlowStart, service_times: ServiceTimes
    ) -> None:
        self._settings = settings
        self._random = random
        self._slow_start = slow_start
        self._service_times = service_times
        self._prefers_own_zone = bool(settings.cross_zone_cost)

    def choose(
        self, request: Request, candidates: Iterable[EndpointRecord], now_us: int
    ) -> EndpointRecord | None:
        """Return the cheapest candidate that the request has not yet been sent to; None if there is none."""
        tried = [attempt.endpoint for attempt in request.attempts]
        plan = request.tenant.plan
        objective_us = self._settings.request_classes[request.class_index].latency_objective_us
        service_time_us = self._service_times.mean_us[request.class_index]
        best = None
        least_cost_us = math.inf
        for endpoint in candidates:
            if endpoint in tried:
                continue
            warm_up_factor = self._slow_start.warm_up_factor(endpoint, now_us)
            if warm_up_factor < 1.0 and not self._slow_start.admits(
                endpoint, warm_up_factor, self._service_times.overall_mean_us, now_us
            ):
                continue
            cost_us = self._cost_us(endpoint, plan, objective_us, service_time_us, warm_up_factor, now_us)
            cost_us *= 1.0 + JITTER_SHARE * self._random.random()
            if cost_us < least_cost_us:
                best = endpoint
                least_cost_us = cost_us
        return best

    def _cost_us(
        self,
        endpoint: EndpointRecord,
        plan: QuotaPlan,
        objective_us: int,
        service_time_us: float,
        warm_up_factor: float,
        now_us: int,
    ) -> float:
        """Return the expected cost of an attempt at an endpoint, without jitter."""
        decay = decay_factor(now_us - endpoint.last_sent_at_us)
        latency_ratio = 1.0 + (endpoint.latency_ratio - 1.0) * decay
        report_age_us = now_us - endpoint.load_reported_at_us
        remote_in_flight = endpoint.remote_in_flight * max(0.0, 1.0 - report_age_us / LOAD_REPORT_FADE_US)
        queue_length = 1.0 + endpoint.in_flight + remote_in_flight
        cost_us = service_time_us * latency_ratio * queue_length / warm_up_factor
        failure_rate_sum = endpoint.failure_rates[None] + endpoint.failure_rates.get(plan, 0.0)
        cost_us += failure_rate_sum * decay * objective_us
        if (
            warm_up_factor < 1.0
            and service_time_us < warm_up_factor * objective_us * WARMING_MAX_LATENCY_SHARE
        ):
            # For the expected time, the warm-up factor undoes the division above, so that the endpoint is
            # compared as if it were warm. WARMING_COST_FACTOR then makes it cheaper than a warm one. Both
            # factors also reduce the cost of a failure, although that was not divided by the warm-up factor.
            cost_us *= warm_up_factor * WARMING_COST_FACTOR
        if self._prefers_own_zone and endpoint.entry.zone != self._settings.zone:
            cost_us *= CROSS_ZONE_COST_FACTOR
        return cost_us

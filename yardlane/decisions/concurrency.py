"""An adaptive limit on the attempts that one gateway has in flight at once, to all endpoints together.

This is not the concurrency limit of a plan, which applies to one tenant at all gateways (`quota.py`).

If a request queues at an endpoint, it delays every request that arrives there after it, and those may then
miss their latency objectives. So requests queue in the gateway instead, where they can still be rejected. The
endpoints do not report how many attempts they can serve at once, so the limit adapts to response times. Only
successful responses count. A response within `SLOW_RESPONSE_SHARE` of its class's latency objective is fast
and raises the limit; any other response is slow and lowers it.

Steps away from `base_limit` get smaller with the distance, and steps towards it get larger; no step is larger
than `STEP_SHARE` of the limit itself. The limit therefore settles where both directions balance. If p is the
share of slow responses, this is the case at limit / `base_limit` = sqrt((1 - p) / p): 1 if half of the
responses are slow, 2 if a fifth of them are. The limit settles elsewhere if a step is cut to `STEP_SHARE` of
the limit, or if the minimum or maximum of the limit is reached.

`base_limit` is `ATTEMPTS_PER_ENDPOINT` for each ready endpoint (and for one if none is ready), divided by the
number of gateways. With many gateways it can be below 1. A limit below 1 is enforced by pacing: the gateway
has at most one attempt in flight and sends attempts at least (mean service time / limit) apart.

The limit also depends on the request class. A class with a higher priority weight per service time than the
mean (`service_time.py`) gets a higher limit, at most `MAX_CLASS_LIMIT_RATIO` times as high. A class with a
lower one gets a lower limit, at least 1 / `MAX_CLASS_LIMIT_RATIO` of it.
"""

from __future__ import annotations

from yardlane.decisions.settings import Settings
from yardlane.decisions.units import SECOND_US

SLOW_RESPONSE_SHARE = 0.35  # share of the latency objective above which a response is slow
ATTEMPTS_PER_ENDPOINT = 2.0
MAX_LIMIT_RATIO = 4.0  # maximum limit, as a multiple of the base limit
SMALLEST_MAX_LIMIT = 2.0  # attempts; the maximum limit is at least this
MIN_LIMIT = 0.1  # attempts
STEP_SHARE = 0.1  # share of the computed step by which one response changes the limit
MAX_CLASS_LIMIT_RATIO = 2.0  # a class's limit is at most `limit` times this, and at least `limit` / this


class AttemptLimit:
    """The number of this gateway's attempts in flight, and the adaptive limit on it."""

    __slots__ = ("_gateway_count", "base_limit", "in_flight", "last_sent_at_us", "limit")

    def __init__(self, settings: Settings) -> None:
        self._gateway_count = settings.gateway_count
        self.last_sent_at_us = -SECOND_US  # before all times of the clock: no attempt has been sent yet
        self.in_flight = 0
        self.base_limit = 1.0  # until the first endpoint list; `set_endpoint_count` scales this and `limit`
        self.limit = MAX_LIMIT_RATIO * self.base_limit

    def set_endpoint_count(self, ready_count: int) -> None:
        """Scale `base_limit` and `limit` to the number of ready endpoints."""
        base_limit = ATTEMPTS_PER_ENDPOINT * max(1, ready_count) / self._gateway_count
        self.limit = self.limit * base_limit / self.base_limit
        self.base_limit = base_limit

    def admits(self, relative_weight_per_time: float, mean_service_time_us: float, now_us: int) -> bool:
        """Return whether an attempt of a class may be sent now.

        `relative_weight_per_time` is the class's priority weight per service time, relative to the mean over
        all classes' arrivals; `mean_service_time_us` is the class's mean service time.
        """
        class_ratio = max(1.0 / MAX_CLASS_LIMIT_RATIO, relative_weight_per_time)
        limit = self.limit * min(MAX_CLASS_LIMIT_RATIO, class_ratio)
        if self.in_flight >= limit:
            return False
        return limit >= 1.0 or now_us - self.last_sent_at_us >= mean_service_time_us / limit

    def record_sent(self, now_us: int) -> None:
        """Count an attempt as sent."""
        self.in_flight += 1
        self.last_sent_at_us = now_us

    def record_ended(self) -> None:
        """Count an attempt as ended."""
        self.in_flight -= 1

    def record_response(self, elapsed_us: int, latency_objective_us: int) -> None:
        """Adapt the limit to the time that a successful response took."""
        relative_limit = self.limit / self.base_limit
        if elapsed_us > SLOW_RESPONSE_SHARE * latency_objective_us:
            step = -min(self.limit, relative_limit)
        else:
            step = min(self.limit, 1.0 / relative_limit)
        max_limit = max(SMALLEST_MAX_LIMIT, MAX_LIMIT_RATIO * self.base_limit)
        self.limit = max(MIN_LIMIT, min(max_limit, self.limit + STEP_SHARE * step))

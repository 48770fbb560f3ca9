"""The limit on the attempts that one gateway has in flight at once, over all endpoints together.

Queues in front of the endpoints cost the latency objective of every request behind them; requests wait in the
gateway instead, where they can still be rejected. The endpoints do not say how many attempts they can serve
at once, so the limit is adaptive. A response within `LATE_RESPONSE_SHARE` of its class's latency objective
widens it, a later one narrows it. The steps get smaller away from `base_limit` and larger towards it, so the
limit settles where both directions balance: with p the share of late responses, at limit / `base_limit` =
sqrt((1 - p) / p). That is 1 while half of the responses are late, and 2 while a fifth is.

`base_limit` is `ATTEMPTS_PER_ENDPOINT` for each endpoint that is ready, divided by the number of gateways.
In a large set that is less than one: there the limit is kept by pacing, an attempt each mean service time /
limit.

A class of more priority weight per service time than the mean (`service_time.py`) gets a wider limit, up to
`MAX_CLASS_LIMIT_RATIO` times as wide, and one of less a narrower one.
"""

from __future__ import annotations

from yardlane.decisions.settings import Settings
from yardlane.decisions.units import SECOND_US

LATE_RESPONSE_SHARE = 0.35
ATTEMPTS_PER_ENDPOINT = 2.0
MAX_LIMIT_RATIO = 4.0  # of the base limit
SMALLEST_MAX_LIMIT = 2.0  # attempts
MIN_LIMIT = 0.1  # attempts
STEP_SHARE = 0.1
MAX_CLASS_LIMIT_RATIO = 2.0


class ConcurrencyLimit:
    """The attempts in flight, and the limit on them."""

    __slots__ = ("_gateway_count", "base_limit", "in_flight", "last_sent_at_us", "limit")

    def __init__(self, settings: Settings) -> None:
        self._gateway_count = settings.gateway_count
        self.last_sent_at_us = -SECOND_US
        self.in_flight = 0
        self.base_limit = 1.0  # until the first endpoint list; `set_endpoint_count` scales both
        self.limit = MAX_LIMIT_RATIO * self.base_limit

    def set_endpoint_count(self, ready_count: int) -> None:
        """Scale the limit to the number of endpoints that are ready."""
        base_limit = ATTEMPTS_PER_ENDPOINT * max(1, ready_count) / self._gateway_count
        self.limit = self.limit * base_limit / self.base_limit
        self.base_limit = base_limit

    def admits(self, relative_weight_per_time: float, mean_service_time_us: float, now_us: int) -> bool:
        """Whether an attempt of a class of this weight per time and mean service time may be sent now."""
        class_ratio = max(1.0 / MAX_CLASS_LIMIT_RATIO, relative_weight_per_time)
        limit = self.limit * min(MAX_CLASS_LIMIT_RATIO, class_ratio)
        if self.in_flight >= limit:
            return False
        return limit >= 1.0 or now_us - self.last_sent_at_us >= mean_service_time_us / limit

    def record_sent(self, now_us: int) -> None:
        """Count an attempt that is sent."""
        self.in_flight += 1
        self.last_sent_at_us = now_us

    def record_ended(self) -> None:
        """Count the end of an attempt."""
        self.in_flight -= 1

    def record_response(self, elapsed_us: int, latency_objective_us: int) -> None:
        """Adapt the limit to the time of a response."""
        relative_limit = self.limit / self.base_limit
        if elapsed_us > LATE_RESPONSE_SHARE * latency_objective_us:
            step = -min(self.limit, relative_limit)
        else:
            step = min(self.limit, 1.0 / relative_limit)
        max_limit = max(SMALLEST_MAX_LIMIT, MAX_LIMIT_RATIO * self.base_limit)
        self.limit = max(MIN_LIMIT, min(max_limit, self.limit + STEP_SHARE * step))

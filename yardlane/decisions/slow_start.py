"""Slow start: whether a request may go to an endpoint that is still warming up.

An endpoint that has just started has `initial_capacity_share` of its capacity, which grows evenly to all of
it over `warm_up_us`. Until then it fails if all gateways together send it more work within
`overload_window_us` than `overload_multiple` times what it can do in that time. A warm endpoint is taken to
have one core, so its capacity is 1 us of service time per us. Work is service time in microseconds: each
request counts as the mean that this gateway measures, and never as less than `min_request_work_us`.

The gateways do not tell each other what they send. So the budget of such an endpoint is divided evenly among
its users, the gateways whose `subset_rank` is below `gateways_per_endpoint`, whatever list each of
them holds:

- Where its share is at least one request, a gateway sends while its work of the last window and one request
  more fit in its share.
- Where it is less, the users have time slots, one after the other by their subset rank, and each sends one
  request in its own.

A gateway that restarts does not know what it sent before. If an endpoint was already up when this gateway
started, the gateway takes `RESTART_BUDGET_SHARE` of its share for one window, and no time slot that began
before its own start.

Warm-up and time slots are counted from the endpoint's start, which the endpoint list gives as Unix time. So
the clock of each gateway has to agree with Unix time. A gateway whose clock is off takes a wrong budget and
sends in the time slots of another, and the endpoint may be overloaded.
"""

from __future__ import annotations

import math

from yardlane.decisions.endpoint_record import EndpointRecord
from yardlane.decisions.endpoints import EndpointList
from yardlane.decisions.service_time import INITIAL_SERVICE_TIME_SHARE
from yardlane.decisions.settings import Settings

USABLE_BUDGET_SHARE = 0.6  # of the budget, as the work of a request varies
# If all gateways restart within one window, 0.9 of the budget is sent:
# USABLE_BUDGET_SHARE x (1 + RESTART_BUDGET_SHARE).
RESTART_BUDGET_SHARE = 0.5
TIME_SLOT_OPEN_SHARE = 0.5  # of the window: how long after its start a time slot may be used


class SlowStart:
    """The budgets of the endpoints that are warming up, as one gateway may use them.

    `gateway_started_at_us` is the time of the gateway's first turn.
    """

    def __init__(self, settings: Settings, endpoints: EndpointList) -> None:
        self.settings = settings
        self.endpoints = endpoints
        self.gateway_started_at_us = 0
        longest_objective_us = max(c.latency_objective_us for c in settings.request_classes)
        self.min_request_work_us = longest_objective_us * INITIAL_SERVICE_TIME_SHARE
        # What is sent in one window comes from time slots that started in it, or as much before it as one
        # stays open. So there are fewer time slots by that share.
        self._time_slot_work_rate = (
            USABLE_BUDGET_SHARE * settings.overload_multiple / (1.0 + TIME_SLOT_OPEN_SHARE)
        )

    def warm_up_factor(self, endpoint: EndpointRecord, now_us: int) -> float:
        """The least share of its capacity that an endpoint has by now; 1.0 once it is warm."""
        settings = self.settings
        warm_up_share = max(0, now_us - endpoint.entry.started_at_us) / max(1, settings.warm_up_us)
        initial_share = settings.initial_capacity_share
        return min(1.0, initial_share + (1.0 - initial_share) * warm_up_share)

    def admits(
        self, endpoint: EndpointRecord, warm_up_factor: float, mean_service_time_us: float, now_us: int
    ) -> bool:
        """Whether one more request fits in this gateway's share of a warming endpoint's budget."""
        settings = self.settings
        gateways_per_endpoint = self.endpoints.gateways_per_endpoint
        if endpoint.subset_rank >= gateways_per_endpoint:
            return False
        work_us = max(mean_service_time_us, self.min_request_work_us)
        may_have_restarted = (
            endpoint.entry.started_at_us <= self.gateway_started_at_us
            and now_us < self.gateway_started_at_us + settings.overload_window_us
        )
        work_rate = USABLE_BUDGET_SHARE * settings.overload_multiple * warm_up_factor / gateways_per_endpoint
        budget_us = (
            work_rate * settings.overload_window_us * (RESTART_BUDGET_SHARE if may_have_restarted else 1.0)
        )
        if budget_us >= work_us:
            return work_us + endpoint.sent_work.sum_us(now_us) <= budget_us
        return self._may_use_time_slot(endpoint, warm_up_factor, work_us, now_us, may_have_restarted)

    def _may_use_time_slot(
        self,
        endpoint: EndpointRecord,
        warm_up_factor: float,
        work_us: float,
        now_us: int,
        may_have_restarted: bool,
    ) -> bool:
        """Whether a time slot of this gateway is open and certainly unused, also by a predecessor of it."""
        window_us = self.settings.overload_window_us
        rounded_work_us = self._rounded_work_us(work_us)
        time_slot_us = rounded_work_us / (self._time_slot_work_rate * warm_up_factor)
        since_slot_start_us = (
            self._time_slots_since_last_own(endpoint, warm_up_factor, rounded_work_us, now_us) * time_slot_us
        )
        if since_slot_start_us > window_us * TIME_SLOT_OPEN_SHARE:
            return False
        if may_have_restarted and now_us - since_slot_start_us < self.gateway_started_at_us:
            return False
        # Time slots get shorter as the endpoint warms up, and move as the mean service time changes. So the
        # one that this gateway has used may come to start after that use, and would be used twice. Therefore
        # a gateway also waits for half a round of all users after each use.
        half_round_us = self.endpoints.gateways_per_endpoint * time_slot_us / 2
        return endpoint.last_sent_at_us < now_us - max(since_slot_start_us, half_round_us)

    def _rounded_work_us(self, work_us: float) -> float:
        """The work of a request as a power of two times the default.

        All users have to number the time slots alike, and gateways with nearly the same mean agree on this.
        """
        min_work_us = self.min_request_work_us
        rounded_us: float = min_work_us * 2.0 ** round(math.log2(work_us / min_work_us))
        return rounded_us

    def _time_slots_since_last_own(
        self, endpoint: EndpointRecord, warm_up_factor: float, rounded_work_us: float, now_us: int
    ) -> float:
        """How many time slots ago the last one of this gateway started.

        Time slots are counted from the endpoint's start, at the mean of its warm-up factor since then.
        """
        mean_factor = (self.settings.initial_capacity_share + warm_up_factor) / 2
        age_us = max(0, now_us - endpoint.entry.started_at_us)
        time_slots = self._time_slot_work_rate * mean_factor * age_us / rounded_work_us
        started_since = (int(time_slots) - endpoint.subset_rank) % self.endpoints.gateways_per_endpoint
        return started_since + time_slots % 1.0

    def record_sent(self, endpoint: EndpointRecord, mean_service_time_us: float, now_us: int) -> None:
        """Count a request that is sent, unless the endpoint is warm and has no budget to count it against."""
        if self.warm_up_factor(endpoint, now_us) < 1.0:
            endpoint.sent_work.add(int(max(mean_service_time_us, self.min_request_work_us)), now_us)

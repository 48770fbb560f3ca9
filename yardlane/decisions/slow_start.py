"""Slow start: whether a request may go to an endpoint that is still warming up.

An endpoint that has just started has `initial_capacity_share` of its capacity, which grows evenly to all of
it over `warm_up_us`. Until then it fails if all gateways together send it more work within
`overload_window_us` than `overload_multiple` times what it can do in that time; it is taken to have one core.
Work is service time in microseconds: each request counts as the mean that this gateway measures, and never as
less than `default_service_time_us`.

The gateways do not tell each other what they send. So the budget of such an endpoint is divided evenly among
its users, the gateways whose `subset_rank` is below `users_per_endpoint`, whatever list each of them holds:

- Where a part is at least one request, a gateway sends while its work of the last window and one request more
  fit in its part.
- Where it is less, the users take slots, one after the other by their subset rank, and send one request each.

A gateway that restarts does not know what it sent before. If an endpoint was already up when this gateway
started, the gateway takes `RESTART_SHARE` of its part for one window, and no slot that began before its own
start.
"""

from __future__ import annotations

import math

from yardlane.decisions.endpoint_record import EndpointRecord
from yardlane.decisions.endpoints import EndpointList
from yardlane.decisions.service_time import INITIAL_SERVICE_TIME_SHARE
from yardlane.decisions.settings import Settings

BUDGET_SHARE = 0.6  # of the budget, as the work of a request varies
# If all gateways restart within one window, 0.6 of the budget and half as much again are still within it.
RESTART_SHARE = 0.5
SLOT_OPEN_SHARE = 0.5  # of the window: how long after its begin a slot may be used


class SlowStart:
    """The budgets of the endpoints that are warming up, as one gateway may use them."""

    def __init__(self, settings: Settings, endpoints: EndpointList) -> None:
        self.settings = settings
        self.endpoints = endpoints
        self.gateway_started_at_us = 0
        longest_objective_us = max(c.latency_objective_us for c in settings.request_classes)
        self.default_service_time_us = longest_objective_us * INITIAL_SERVICE_TIME_SHARE
        # As a slot stays open for a part of the window, slots are by that part fewer.
        self._slot_rate = BUDGET_SHARE * settings.overload_multiple / (1.0 + SLOT_OPEN_SHARE)

    def warm_up_factor(self, endpoint: EndpointRecord, now_us: int) -> float:
        """The least share of its capacity that an endpoint has by now; 1.0 once it is warm."""
        settings = self.settings
        warm_up_share = max(0, now_us - endpoint.entry.started_at_us) / max(1, settings.warm_up_us)
        initial_share = settings.initial_capacity_share
        return min(1.0, initial_share + (1.0 - initial_share) * warm_up_share)

    def admits(
        self, endpoint: EndpointRecord, warm_up_factor: float, mean_service_time_us: float, now_us: int
    ) -> bool:
        """Whether one more request fits in this gateway's part of a warming endpoint's budget."""
        settings = self.settings
        users = self.endpoints.users_per_endpoint
        if endpoint.subset_rank >= users:
            return False
        work_us = max(mean_service_time_us, self.default_service_time_us)
        may_have_restarted = (
            endpoint.entry.started_at_us <= self.gateway_started_at_us
            and now_us < self.gateway_started_at_us + settings.overload_window_us
        )
        part = BUDGET_SHARE * settings.overload_multiple * warm_up_factor / users
        budget_us = part * settings.overload_window_us * (RESTART_SHARE if may_have_restarted else 1.0)
        if budget_us >= work_us:
            return work_us + endpoint.sent_work.sum_us(now_us) <= budget_us
        return self._has_free_slot(endpoint, warm_up_factor, work_us, now_us, may_have_restarted)

    def _has_free_slot(
        self,
        endpoint: EndpointRecord,
        warm_up_factor: float,
        work_us: float,
        now_us: int,
        may_have_restarted: bool,
    ) -> bool:
        """Whether a slot of this gateway is open that it has not used, nor could have before its restart."""
        window_us = self.settings.overload_window_us
        rounded_work_us = self._rounded_work_us(work_us)
        slot_us = rounded_work_us / (self._slot_rate * warm_up_factor)
        since_ours_us = self._slots_since_ours(endpoint, warm_up_factor, rounded_work_us, now_us) * slot_us
        if since_ours_us > window_us * SLOT_OPEN_SHARE:
            return False
        if may_have_restarted and now_us - since_ours_us < self.gateway_started_at_us:
            return False
        # Slots get shorter as the endpoint warms up, and move with the mean: the begin of one drifts past the
        # time at which we used it, and it would be used twice. So a use also bars us for half a round.
        half_round_us = self.endpoints.users_per_endpoint * slot_us / 2
        return endpoint.last_sent_at_us < now_us - max(since_ours_us, half_round_us)

    def _rounded_work_us(self, work_us: float) -> float:
        """The work of a request as a power of two times the default.

        All users have to number the slots alike, and gateways with nearly the same mean agree on this.
        """
        default_us = self.default_service_time_us
        rounded_us: float = default_us * 2.0 ** round(math.log2(work_us / default_us))
        return rounded_us

    def _slots_since_ours(
        self, endpoint: EndpointRecord, warm_up_factor: float, rounded_work_us: float, now_us: int
    ) -> float:
        """How many slots ago the last slot of this gateway began.

        Slots are counted from the endpoint's start, at the mean of its warm-up factor since then.
        """
        mean_factor = (self.settings.initial_capacity_share + warm_up_factor) / 2
        age_us = max(0, now_us - endpoint.entry.started_at_us)
        slots = self._slot_rate * mean_factor * age_us / rounded_work_us
        begun_since = (int(slots) - endpoint.subset_rank) % self.endpoints.users_per_endpoint
        return begun_since + slots % 1.0

    def record_sent(self, endpoint: EndpointRecord, mean_service_time_us: float, now_us: int) -> None:
        """Count a request that is sent; an endpoint that is warm has no budget to take it off."""
        if self.warm_up_factor(endpoint, now_us) < 1.0:
            endpoint.sent_work.add(int(max(mean_service_time_us, self.default_service_time_us)), now_us)

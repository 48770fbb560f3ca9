"""Slow start: whether a request may go to an endpoint that is still warming up.

The capacity of an endpoint that has just started is `initial_capacity_share` of its full capacity, and grows
linearly to the full capacity over `warm_up_us`. An endpoint that is warming up fails if the work that all
gateways together send to it within `overload_window_us` exceeds `overload_multiple` times the work that it
can do in that time. This limit is its budget. Work is service time in microseconds. A warm endpoint is
assumed to have one core, so its capacity is 1 us of service time per us. Each request counts as the mean
service time that this gateway has measured over all classes, but never as less than `min_request_work_us`.

The gateways do not tell each other what they send. So `USABLE_BUDGET_SHARE` of the budget is divided evenly
among the gateways whose `subset_rank` for the endpoint is below `gateways_per_endpoint` (`endpoints.py`). The
rank does not depend on the endpoint list, so two gateways never share a rank, even if their lists differ.

- If a gateway's share is at least one request, the gateway may send a request whenever its work of the last
  window plus that request fits into its share.
- If the share is less than one request, the gateways have time slots, one after the other in the order of
  their subset rank. Each gateway may send at most one request for each of its own time slots, and only until
  `TIME_SLOT_OPEN_SHARE` of a window after the time slot's start.

A gateway that restarts does not know what it sent before. So in its first window, for endpoints that were
already up when it started, it uses only `RESTART_BUDGET_SHARE` of its share, and no time slot that began
before its own start.

The warm-up and the time slots are computed from the endpoint's start time, which the endpoint list gives as
Unix time. So the clock of each gateway has to agree with Unix time. A gateway whose clock is wrong computes a
wrong budget and sends in the time slots of other gateways, and the endpoint may be overloaded.
"""

from __future__ import annotations

import math

from yardlane.decisions.endpoint_record import EndpointRecord
from yardlane.decisions.endpoints import EndpointList
from yardlane.decisions.service_time import INITIAL_SERVICE_TIME_SHARE
from yardlane.decisions.settings import Settings

# Share of the budget that is divided among the gateways. The rest is a margin, because the work of requests
# varies.
USABLE_BUDGET_SHARE = 0.6
# Share of its own part that a gateway uses after a restart. If all gateways restart within one window, they
# send at most USABLE_BUDGET_SHARE * (1 + RESTART_BUDGET_SHARE) = 0.9 of the budget together.
RESTART_BUDGET_SHARE = 0.5
# How long a time slot may be used after its start, as a share of `overload_window_us`.
TIME_SLOT_OPEN_SHARE = 0.5


class SlowStart:
    """Decides what one gateway may send to the endpoints that are warming up.

    `gateway_started_at_us` is the time of the gateway's first turn. `min_request_work_us` is the mean over
    all classes that a gateway assumes before it has measured any service time (`service_time.py`).
    """

    def __init__(self, settings: Settings, endpoints: EndpointList) -> None:
        self.settings = settings
        self.endpoints = endpoints
        self.gateway_started_at_us = 0
        longest_objective_us = max(c.latency_objective_us for c in settings.request_classes)
        self.min_request_work_us = longest_objective_us * INITIAL_SERVICE_TIME_SHARE
        # The work per microsecond that the time slots of all gateways allow at full capacity. A request that
        # is sent in a window may belong to a time slot that started in that window, or up to
        # TIME_SLOT_OPEN_SHARE of a window before it. The division leaves room for these earlier time slots.
        self._time_slot_work_rate = (
            USABLE_BUDGET_SHARE * settings.overload_multiple / (1.0 + TIME_SLOT_OPEN_SHARE)
        )

    def warm_up_factor(self, endpoint: EndpointRecord, now_us: int) -> float:
        """Return the share of its full capacity that an endpoint has at `now_us`; 1.0 if it is warm."""
        settings = self.settings
        warm_up_progress = max(0, now_us - endpoint.entry.started_at_us) / max(1, settings.warm_up_us)
        initial_share = settings.initial_capacity_share
        return min(1.0, initial_share + (1.0 - initial_share) * warm_up_progress)

    def admits(
        self,
        endpoint: EndpointRecord,
        warm_up_factor: float,
        overall_mean_service_time_us: float,
        now_us: int,
    ) -> bool:
        """Return whether this gateway may send one more request to a warming endpoint now.

        The request must fit into this gateway's share of the budget. If the share is less than one request, a
        time slot of this gateway must be open and unused instead.
        """
        settings = self.settings
        gateways_per_endpoint = self.endpoints.gateways_per_endpoint
        if endpoint.subset_rank >= gateways_per_endpoint:
            return False
        work_us = max(overall_mean_service_time_us, self.min_request_work_us)
        may_have_restarted = (
            endpoint.entry.started_at_us <= self.gateway_started_at_us
            and now_us < self.gateway_started_at_us + settings.overload_window_us
        )
        work_rate = USABLE_BUDGET_SHARE * settings.overload_multiple * warm_up_factor / gateways_per_endpoint
        local_budget_us = (
            work_rate * settings.overload_window_us * (RESTART_BUDGET_SHARE if may_have_restarted else 1.0)
        )
        if local_budget_us >= work_us:
            return work_us + endpoint.sent_work.sum_us(now_us) <= local_budget_us
        return self._may_use_time_slot(endpoint, warm_up_factor, work_us, now_us, may_have_restarted)

    def _may_use_time_slot(
        self,
        endpoint: EndpointRecord,
        warm_up_factor: float,
        work_us: float,
        now_us: int,
        may_have_restarted: bool,
    ) -> bool:
        """Return whether a time slot of this gateway is open and has certainly not been used.

        It must have been used neither by this process nor by an earlier process of the same gateway.
        """
        window_us = self.settings.overload_window_us
        rounded_work_us = self._rounded_work_us(work_us)
        time_slot_us = rounded_work_us / (self._time_slot_work_rate * warm_up_factor)
        since_time_slot_start_us = (
            self._time_slots_since_last_own(endpoint, warm_up_factor, rounded_work_us, now_us) * time_slot_us
        )
        if since_time_slot_start_us > window_us * TIME_SLOT_OPEN_SHARE:
            return False
        if may_have_restarted and now_us - since_time_slot_start_us < self.gateway_started_at_us:
            return False
        # Time slots get shorter as the endpoint warms up, and they shift when the mean service time changes.
        # The computed start of a time slot that this gateway has used may then move to a time after that use,
        # and the gateway would use the time slot a second time. So it also waits for half a round after each
        # use. A round consists of one time slot for each gateway that shares the budget.
        half_round_us = self.endpoints.gateways_per_endpoint * time_slot_us / 2
        return endpoint.last_sent_at_us < now_us - max(since_time_slot_start_us, half_round_us)

    def _rounded_work_us(self, work_us: float) -> float:
        """Return the work of a request, rounded to `min_request_work_us` times a power of two.

        The time slots of an endpoint have to be the same for all gateways that share its budget, and their
        length depends on this work. Because of the rounding, gateways whose mean service times are nearly
        equal usually compute the same work.
        """
        min_work_us = self.min_request_work_us
        rounded_us: float = min_work_us * 2.0 ** round(math.log2(work_us / min_work_us))
        return rounded_us

    def _time_slots_since_last_own(
        self, endpoint: EndpointRecord, warm_up_factor: float, rounded_work_us: float, now_us: int
    ) -> float:
        """Return how many time slots, with fraction, have passed since this gateway's last one started.

        The time slots of all gateways are counted from the endpoint's start. Their rate is proportional to
        the warm-up factor, which grows linearly, so its mean since then gives their number. If the first time
        slot of this gateway has not started yet, the last one is the one that it would have had before the
        endpoint's start.
        """
        mean_factor = (self.settings.initial_capacity_share + warm_up_factor) / 2
        age_us = max(0, now_us - endpoint.entry.started_at_us)
        time_slots = self._time_slot_work_rate * mean_factor * age_us / rounded_work_us
        started_since = (int(time_slots) - endpoint.subset_rank) % self.endpoints.gateways_per_endpoint
        return started_since + time_slots % 1.0

    def record_sent(self, endpoint: EndpointRecord, overall_mean_service_time_us: float, now_us: int) -> None:
        """Count the work of a request that is sent to an endpoint.

        Do nothing for a warm endpoint, which has no budget.
        """
        if self.warm_up_factor(endpoint, now_us) < 1.0:
            endpoint.sent_work.add(int(max(overall_mean_service_time_us, self.min_request_work_us)), now_us)

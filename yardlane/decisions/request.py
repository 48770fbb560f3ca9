"""A request that this gateway has received."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yardlane.decisions.events import RequestArrived

if TYPE_CHECKING:
    from yardlane.decisions.attempt_record import AttemptRecord
    from yardlane.decisions.tenant import Tenant

FINAL_ANSWER_MARGIN_TICKS = 2  # margin before the deadline, as a timer may fire up to a tick late


class Request:
    """A request of a tenant, with its attempts.

    It is kept until it has ended and has no attempt in flight. `class_index` is an index into the settings'
    request classes, and `units` is the request's cost against the rates of its plan. The client stops waiting
    at `deadline_at_us`. The final answer is due at `final_answer_by_us`, which is earlier because timers may
    fire late.
    """

    __slots__ = (
        "arrived_at_us",
        "attempts",
        "class_index",
        "deadline_at_us",
        "final_answer_by_us",
        "has_ended",
        "id",
        "is_queued",
        "tenant",
        "units",
    )

    def __init__(self, event: RequestArrived, tenant: Tenant, now_us: int, tick_us: int) -> None:
        self.id = event.request_id
        self.class_index = event.request_class
        self.units = event.units
        self.tenant = tenant
        self.arrived_at_us = now_us
        self.deadline_at_us = now_us + event.time_left_us
        self.final_answer_by_us = max(now_us, self.deadline_at_us - FINAL_ANSWER_MARGIN_TICKS * tick_us)
        self.attempts: list[AttemptRecord] = []
        self.has_ended = False
        self.is_queued = False

    def first_attempt_that_may_have_run(self) -> AttemptRecord | None:
        """Return the first attempt that may have taken effect; None if there is none.

        `idempotency_window_us` of the request class starts with this attempt.
        """
        for attempt in self.attempts:
            if attempt.may_have_run:
                return attempt
        return None

    def attempt_in_flight(self, index: int) -> AttemptRecord | None:
        """Return the attempt with this index; None if there is none or if it has ended.

        A second `AttemptEnded` event for an attempt therefore does not free the attempt's slot again.
        """
        if index < len(self.attempts) and self.attempts[index].is_in_flight:
            return self.attempts[index]
        return None

    def has_attempt_in_flight(self) -> bool:
        """Return whether any attempt is still in flight."""
        return any(attempt.is_in_flight for attempt in self.attempts)

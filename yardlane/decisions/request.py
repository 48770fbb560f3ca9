"""One request that this gateway has taken."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yardlane.decisions.events import RequestArrived

if TYPE_CHECKING:
    from yardlane.decisions.attempt_record import AttemptRecord
    from yardlane.decisions.tenant import Tenant

LATEST_ANSWER_TICKS = 2  # ticks before the client gives up: one for a late timer, one to write the answer


class Request:
    """A request, kept until it is answered and no attempt of it is in flight.

    `request_class` is an index into the settings' classes; `units` is its cost against a rate. The client
    gives up at `gives_up_at_us`; timers may fire late, so the final answer is decided by `answer_by_us`.
    """

    __slots__ = (
        "answer_by_us",
        "arrived_at_us",
        "attempts",
        "ended",
        "gives_up_at_us",
        "id",
        "queued",
        "request_class",
        "tenant",
        "units",
    )

    def __init__(self, event: RequestArrived, tenant: Tenant, now: int, tick_us: int) -> None:
        self.id = event.request_id
        self.request_class = event.request_class
        self.units = event.units
        self.tenant = tenant
        self.arrived_at_us = now
        self.gives_up_at_us = now + event.time_left_us
        self.answer_by_us = max(now, self.gives_up_at_us - LATEST_ANSWER_TICKS * tick_us)
        self.attempts: list[AttemptRecord] = []
        self.ended = False
        self.queued = False

"""The loop round the decisions: all events of one turn of the event loop go to them together.

A fault in the decisions must not stop the requests beside it. It shows as an exception of `Decider.handle`.
Then the request of the event that was being handled fails, what was decided before the exception stands, and
the events behind it come once more in the next turn. So a request that always raises costs only itself. An
event that names no request (`EndpointListUpdate`, `CounterResult`) is lost; a request that waits for that
result is left to its deadline.

Two cases lie outside the events. A timer that raises, once all events are handled, counts against the last
event: its request fails although it was handled, as nothing here tells the two apart. What raises before the
first event fails no request: all events come once more in the next turn, without a pause, and if it raised
each time that would be a busy loop. `Decider.actions` may still be those of the call before then, and would
be carried out once more. `Gateway` reads no event there, it only updates its own clock and timers.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterator
from typing import Protocol

from yardlane.decisions.actions import Action
from yardlane.decisions.decider import Decider
from yardlane.decisions.events import Event, TimerFired
from yardlane.proxy.clock import Clock, call_after

log = logging.getLogger("yardlane.proxy.decision_loop")

# Between a failed decision and the next look at what is due: a timer that raises each time is no busy loop.
RECOVERY_DELAY_US = 10_000
ANY_TOKEN = 0  # of a timer that nobody set; the decisions look at all that is due, whatever the token


class EventBatch(list[Event]):
    """The events of one turn; `started_count` counts those that the decisions have begun to handle."""

    started_count = 0

    def __iter__(self) -> Iterator[Event]:
        for index in range(len(self)):
            self.started_count = index + 1
            yield self[index]

    def last_started(self) -> Event | None:
        """The event whose handling began last; None where the decisions raised before the first one."""
        if not self.started_count:
            return None
        return self[self.started_count - 1]


class ActionHandler(Protocol):
    """What carries out the decisions."""

    def apply(self, action: Action) -> None:
        """Carry out one action."""

    def fail_request(self, request_id: int) -> None:
        """Give the request its final answer: the decisions have failed on it."""

    def forget_request(self, request_id: int) -> None:
        """The decisions have been notified of its end, and refer to it no more."""


class DecisionLoop:
    """Hands events to one `Decider`, and its actions to one handler."""

    def __init__(
        self, decider: Decider, handler: ActionHandler, clock: Clock, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.decider = decider
        self.handler = handler
        self.clock = clock
        self.loop = loop
        self.events = EventBatch()
        self.ended_request_ids: list[int] = []
        self.is_scheduled = False

    def post(self, event: Event) -> None:
        """Queue an event for the next turn."""
        self.events.append(event)
        if not self.is_scheduled:
            self.is_scheduled = True
            self.loop.call_soon(self._run_turn)

    def schedule_turn(self) -> None:
        """Let the decisions look at what is due, though nothing has happened."""
        self.post(TimerFired(ANY_TOKEN))

    def forget_after_turn(self, request_id: int) -> None:
        """Forget a request whose end is posted next, once the decisions have been notified.

        No sooner: an attempt that they start in the same turn, before they read of the end, is owed an
        `AttemptEnded` as well.
        """
        self.ended_request_ids.append(request_id)

    def _run_turn(self) -> None:
        events = self.events
        ended_request_ids = self.ended_request_ids
        self.events = EventBatch()
        self.ended_request_ids = []
        self.is_scheduled = False
        try:
            actions = self.decider.handle(self.clock.now_us(), events)
        except Exception:
            event = events.last_started()
            log.exception("a decision failed on %s", "no event" if event is None else type(event).__name__)
            actions = self._recover(events)
            # The decisions may not have read of these ends; they do so in the next turn.
            self.ended_request_ids = ended_request_ids + self.ended_request_ids
            ended_request_ids = []
        for action in actions:
            try:
                self.handler.apply(action)
            except Exception:  # one action's failure must not stop the others
                log.exception("%r failed", action)
        for request_id in ended_request_ids:
            self.handler.forget_request(request_id)

    def _recover(self, events: EventBatch) -> list[Action]:
        """Fail the request of the event begun last, post the events behind it; the actions until then."""
        request_id = getattr(events.last_started(), "request_id", None)
        if request_id is not None:
            self.handler.fail_request(request_id)
        for event in events[events.started_count :]:
            self.post(event)
        # Work that was due in this turn may be undone, and no timer is left to ask for it.
        call_after(self.loop, RECOVERY_DELAY_US, self.schedule_turn)
        return list(self.decider.actions)

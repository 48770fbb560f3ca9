"""Calls the decider. Each call passes it all events that were posted since the previous call.

An exception raised by `Decider.handle` must not affect the other requests. It is handled as follows:

- The request of the event that was being handled fails.
- The actions that were decided before the exception are carried out.
- The events after that event are passed to the decider again in the next call.

A request whose events always raise an exception therefore affects no other request. If the event names no
request (`EndpointListUpdate`, `CounterResult`, `TimerFired`), no request fails, and the event is lost. After
a lost `CounterResult`, the requests that wait for it wait until their deadlines. A lost `TimerFired` is
replaced by an extra call, which follows each exception after `RECOVERY_DELAY_US`.

In two cases the exception does not belong to an event:

- A callback that is due in the decider raises it after all events have been handled. The loop cannot
  distinguish this from an exception in the handling of the last event, so the request of that event fails
  although the event was handled.
- It is raised before the first event. No request fails, and all events are passed to the decider again in
  the next call, without a delay. If the exception recurred each time, this would be a busy loop.
  `Decider.actions` may still hold the actions of the previous call, which would then be carried out again.
  This is accepted, because before the first event, `Gateway` only updates its own state, such as its clock
  and timers.
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

# The delay from an exception in the decider to an extra call, which runs the callbacks that were due but may
# not have run. It prevents a busy loop if such a callback raises an exception each time.
RECOVERY_DELAY_US = 10_000
# The token of a `TimerFired` without a `SetTimer`. The decider runs all callbacks that are due, whatever the
# token.
ANY_TOKEN = 0


class EventBatch(list[Event]):
    """The events of one call. `handled_count` of them have been handled, including the one in progress."""

    handled_count = 0

    def __iter__(self) -> Iterator[Event]:
        for index in range(len(self)):
            self.handled_count = index + 1
            yield self[index]

    def last_handled(self) -> Event | None:
        """Return the event that is being handled or was handled last, or None if there is none."""
        if not self.handled_count:
            return None
        return self[self.handled_count - 1]


class ActionHandler(Protocol):
    """Carries out the actions that the decider returns."""

    def apply(self, action: Action) -> None:
        """Carry out one action."""

    def fail_request(self, request_id: int) -> None:
        """Fail the request because the decider raised an exception while handling one of its events."""

    def forget_request(self, request_id: int) -> None:
        """Forget the request; the decider has been notified of its end and no longer refers to it."""


class DecisionLoop:
    """Passes events to a `Decider`, and the actions that it returns to an `ActionHandler`."""

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
        """Queue an event for the next call of the decider, and schedule the call if it is not scheduled."""
        self.events.append(event)
        if not self.is_scheduled:
            self.is_scheduled = True
            self.loop.call_soon(self._call_decider)

    def schedule_call(self) -> None:
        """Schedule a call of the decider although nothing has happened, to run its callbacks that are due."""
        self.post(TimerFired(ANY_TOKEN))

    def forget_after_next_call(self, request_id: int) -> None:
        """Forget a request after the next call of the decider.

        The caller must post `RequestEnded` or the last `AttemptEnded` of the request immediately afterwards.
        The request cannot be forgotten earlier: before the decider handles that event, it may start another
        attempt in the same call, which must also be followed by an `AttemptEnded`.
        """
        self.ended_request_ids.append(request_id)

    def _call_decider(self) -> None:
        """Pass the queued events to the decider, carry out its actions, and forget the ended requests."""
        events = self.events
        ended_request_ids = self.ended_request_ids
        self.events = EventBatch()
        self.ended_request_ids = []
        self.is_scheduled = False
        try:
            actions = self.decider.handle(self.clock.now_us(), events)
        except Exception:
            event = events.last_handled()
            log.exception(
                "the decider raised an exception; last event handled: %s; failing its request, if it has one",
                "no event" if event is None else type(event).__name__,
            )
            actions = self._recover(events)
            # The decider may not have handled the ends of these requests yet. It does so in the next call.
            self.ended_request_ids = ended_request_ids + self.ended_request_ids
            ended_request_ids = []
        for action in actions:
            try:
                self.handler.apply(action)
            except Exception:  # a failing action must not stop the others
                log.exception("action %r failed; continuing with the next action", action)
        for request_id in ended_request_ids:
            self.handler.forget_request(request_id)

    def _recover(self, events: EventBatch) -> list[Action]:
        """Fail the request of the event that was handled last, and post the later events again.

        Also schedule an extra call. Return the actions that were decided before the exception.
        """
        request_id = getattr(events.last_handled(), "request_id", None)
        if request_id is not None:
            self.handler.fail_request(request_id)
        for event in events[events.handled_count :]:
            self.post(event)
        # Callbacks that were due in this call may not have run, and the decider has set no timer for them.
        call_after(self.loop, RECOVERY_DELAY_US, self.schedule_call)
        return list(self.decider.actions)

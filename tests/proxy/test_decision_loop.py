"""Tests what happens when the decider raises an exception, and when a request is forgotten."""

import asyncio
from collections.abc import Callable

from tests.loopback import ScriptedDecider, leave_pending, uvloop_test
from yardlane.decisions.actions import Action, Reject, SetTimer
from yardlane.decisions.decider import Decider
from yardlane.decisions.events import Event, RequestEnded, TimerFired
from yardlane.proxy.clock import Clock
from yardlane.proxy.decision_loop import DecisionLoop

UNUSABLE_ACTION = SetTimer(0)
UNUSED_REQUEST_ID = 0  # request ids begin at 1


class RecordingHandler:
    """Records the calls of a decision loop without carrying them out."""

    def __init__(self) -> None:
        self.actions: list[Action] = []
        self.failed_request_ids: list[int] = []
        self.forgotten_request_ids: list[int] = []

    def apply(self, action: Action) -> None:
        if action == UNUSABLE_ACTION:
            raise RuntimeError("action that cannot be carried out")
        self.actions.append(action)

    def fail_request(self, request_id: int) -> None:
        self.failed_request_ids.append(request_id)

    def forget_request(self, request_id: int) -> None:
        self.forgotten_request_ids.append(request_id)


def make_decision_loop(decider: Decider) -> tuple[DecisionLoop, RecordingHandler]:
    handler = RecordingHandler()
    return DecisionLoop(decider, handler, Clock(), asyncio.get_running_loop()), handler


def reject_or_raise_on(request_id: int) -> Callable[[Event], list[Action]]:
    """Return a `reply` that rejects each request that ends, but raises an exception on one of them."""

    def reply(event: Event) -> list[Action]:
        if not isinstance(event, RequestEnded):
            return []
        if event.request_id == request_id:
            raise RuntimeError("exception in the decider")
        return [Reject(event.request_id)]

    return reply


@uvloop_test
async def test_events_posted_together_are_passed_in_one_call() -> None:
    """Several events arrive before the next call of the decider. A call for each event would cost more time
    than one call for all. A retry could also go to an endpoint that a later one of these events reports as
    draining."""
    batches: list[list[Event]] = []
    script = ScriptedDecider(leave_pending)
    handle = script.handle

    def record(now_us: int, events: list[Event]) -> list[Action]:
        batches.append(list(events))
        return handle(now_us, events)

    script.handle = record  # type: ignore[method-assign]
    decision_loop, _ = make_decision_loop(script)
    decision_loop.post(RequestEnded(1))
    decision_loop.post(RequestEnded(2))
    await asyncio.sleep(0)
    decision_loop.post(RequestEnded(3))
    await asyncio.sleep(0)
    assert batches == [[RequestEnded(1), RequestEnded(2)], [RequestEnded(3)]]


@uvloop_test
async def test_exception_in_decider_keeps_earlier_actions_and_reposts_later_events() -> None:
    """The decider raises an exception on the second of three events. The action of the first event must be
    carried out, the request of the second must fail, and the third event must be handled in the next call. An
    extra call must follow for callbacks that were due."""
    script = ScriptedDecider(reject_or_raise_on(2))
    decision_loop, handler = make_decision_loop(script)
    for request_id in (1, 2, 3):
        decision_loop.forget_after_next_call(request_id)
        decision_loop.post(RequestEnded(request_id))
    await asyncio.sleep(0)
    assert (handler.actions, handler.failed_request_ids, handler.forgotten_request_ids) == (
        [Reject(1)],
        [2],
        [],
    )
    await asyncio.sleep(0)
    assert (handler.actions, handler.forgotten_request_ids) == ([Reject(1), Reject(3)], [1, 2, 3])
    assert await script.wait_for(TimerFired) == [TimerFired(0)]


@uvloop_test
async def test_failing_action_does_not_stop_later_actions() -> None:
    """Carrying out an action raises an exception. The later actions may belong to other requests, which would
    get no answer if those actions were dropped."""

    def reject_after_unusable_action(event: Event) -> list[Action]:
        return [UNUSABLE_ACTION, Reject(1)]

    decision_loop, handler = make_decision_loop(ScriptedDecider(reject_after_unusable_action))
    decision_loop.forget_after_next_call(1)
    decision_loop.post(RequestEnded(1))
    await asyncio.sleep(0)
    assert (handler.actions, handler.forgotten_request_ids) == ([Reject(1)], [1])


class DeciderRaisingOutsideEvents(ScriptedDecider):
    """Raises an exception in its first call, before the first event or after the last one."""

    def __init__(self, *, is_after_events: bool) -> None:
        super().__init__(reject_or_raise_on(UNUSED_REQUEST_ID))
        self.is_after_events = is_after_events
        self.has_raised = False

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        if not self.has_raised:
            self.has_raised = True
            if self.is_after_events:
                super().handle(now_us, events)
            raise RuntimeError("exception outside the events")
        return super().handle(now_us, events)


@uvloop_test
async def test_exception_after_the_last_event_fails_the_request_of_that_event() -> None:
    """A callback that is due in the decider raises an exception after both events have been handled. The loop
    cannot distinguish this from an exception on the last event, so the request of that event fails. The
    actions must still be carried out, and no event may be handled twice."""
    script = DeciderRaisingOutsideEvents(is_after_events=True)
    decision_loop, handler = make_decision_loop(script)
    decision_loop.post(RequestEnded(1))
    decision_loop.post(RequestEnded(2))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert (handler.actions, handler.failed_request_ids) == ([Reject(1), Reject(2)], [2])
    assert script.received_events == [RequestEnded(1), RequestEnded(2)]


@uvloop_test
async def test_exception_before_the_first_event_fails_no_request() -> None:
    """The decider raises an exception before the first event. The exception belongs to no request, so no
    request may fail, and all events must be handled in the next call."""
    script = DeciderRaisingOutsideEvents(is_after_events=False)
    decision_loop, handler = make_decision_loop(script)
    decision_loop.post(RequestEnded(1))
    decision_loop.post(RequestEnded(2))
    await asyncio.sleep(0)
    assert (script.received_events, handler.failed_request_ids) == ([], [])
    await asyncio.sleep(0)
    assert (handler.actions, handler.failed_request_ids) == ([Reject(1), Reject(2)], [])

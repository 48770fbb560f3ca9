"""The loop round the decisions: what a fault in them costs, and when a request is forgotten."""

import asyncio
from collections.abc import Callable

from yardlane.decisions.actions import Action, Reject, SetTimer
from yardlane.decisions.decider import Decider
from yardlane.decisions.events import Event, RequestEnded, TimerFired
from yardlane.proxy.clock import Clock
from yardlane.proxy.decision_loop import DecisionLoop
from tests.loopback import Script, socket_test

UNSUPPORTED = SetTimer(0)


class RecordingHandler:
    """Carries out nothing, and records what it was asked for."""

    def __init__(self) -> None:
        self.actions: list[Action] = []
        self.failed: list[int] = []
        self.forgotten: list[int] = []

    def apply(self, action: Action) -> None:
        if action == UNSUPPORTED:
            raise RuntimeError("an action that cannot be carried out")
        self.actions.append(action)

    def fail_request(self, request_id: int) -> None:
        self.failed.append(request_id)

    def forget_request(self, request_id: int) -> None:
        self.forgotten.append(request_id)


def loop_round(decider: Decider) -> tuple[DecisionLoop, RecordingHandler]:
    handler = RecordingHandler()
    return DecisionLoop(decider, handler, Clock(), asyncio.get_running_loop()), handler


def reject_but_raise_on(request_id: int) -> Callable[[Event], list[Action]]:
    """Rejects each request that ends, but for one, on which it raises."""

    def reply(event: Event) -> list[Action]:
        if not isinstance(event, RequestEnded):
            return []
        if event.request_id == request_id:
            raise RuntimeError("a fault of the decisions")
        return [Reject(event.request_id)]

    return reply


@socket_test
async def test_all_events_of_a_turn_are_handled_together() -> None:
    batches: list[list[Event]] = []
    script = Script(lambda event: [])
    handle = script.handle

    def record(now: int, events: list[Event]) -> list[Action]:
        batches.append(list(events))
        return handle(now, events)

    script.handle = record  # type: ignore[method-assign]
    decisions, _ = loop_round(script)
    decisions.post(RequestEnded(1))
    decisions.post(RequestEnded(2))
    await asyncio.sleep(0)
    decisions.post(RequestEnded(3))
    await asyncio.sleep(0)
    assert batches == [[RequestEnded(1), RequestEnded(2)], [RequestEnded(3)]]


@socket_test
async def test_a_failed_decision_keeps_what_was_decided_before_and_hands_on_the_rest() -> None:
    """The decisions raise on the second of three events. The first one's action is carried out, the second
    one's request fails, the third event comes in the next turn, and no timer that was due is lost."""
    script = Script(reject_but_raise_on(2))
    decisions, handler = loop_round(script)
    for request_id in (1, 2, 3):
        decisions.forget_after_turn(request_id)
        decisions.post(RequestEnded(request_id))
    await asyncio.sleep(0)
    assert (handler.actions, handler.failed, handler.forgotten) == ([Reject(1)], [2], [])
    await asyncio.sleep(0)
    assert (handler.actions, handler.forgotten) == ([Reject(1), Reject(3)], [1, 2, 3])
    assert await script.wait_for(TimerFired) == [TimerFired(0)]


@socket_test
async def test_an_action_that_fails_stops_no_other() -> None:
    decisions, handler = loop_round(Script(lambda event: [UNSUPPORTED, Reject(1)]))
    decisions.forget_after_turn(1)
    decisions.post(RequestEnded(1))
    await asyncio.sleep(0)
    assert (handler.actions, handler.forgotten) == ([Reject(1)], [1])

"""The loop round the module: failures in it, and the way out."""

import asyncio
import time
from collections.abc import Callable
from typing import Any, cast


from yardlane.decisions.gateway import Gateway
from yardlane.decisions.actions import Action, Reject, SetTimer, StartAttempt
from yardlane.decisions.events import EndpointListUpdate, Event, RequestArrived, TimerFired
from tests.loopback import (
    Peer,
    Script,
    ask,
    member,
    read_message,
    running,
    settings,
    socket_test,
    whole_list,
)


@socket_test
async def test_a_failing_decision_is_its_own_requests_failure() -> None:
    def fail_on_odd(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived) and event.tenant == 1:
            raise RuntimeError("out of luck")
        return [Reject(event.request_id)] if isinstance(event, RequestArrived) else []

    async with running(Script(fail_on_odd)) as door:
        reader, writer = await door.client()
        bad, good = ask(trace="b", Account="0000000000000001"), ask(Account="0000000000000002")
        writer.write(good + bad + ask(trace="c", Account="0000000000000002"))  # one batch for the module
        statuses = [(await read_message(reader))[0].split()[1] for _ in range(3)]
        assert statuses == ["429", "500", "429"]
        assert (await door.call(good))[0].split()[1] == "429"


@socket_test
async def test_an_action_that_cannot_be_done_stops_no_other() -> None:
    def odd(event: Event) -> list[Action]:
        if not isinstance(event, RequestArrived):
            return []
        actions: list[Any] = [
            StartAttempt(10**9, b"s-1"),
            Reject(10**9),
            "no action",
            Reject(event.request_id),
        ]
        return actions

    async with running(Script(odd)) as door:
        assert (await door.call(ask()))[0].split()[1] == "429"


@socket_test
async def test_after_standing_still_the_module_still_words_the_answer() -> None:
    # Its own timer and the door's guard are due at once then; a held request is refused, which promises more
    # than a failure does.
    capped = [{**settings()["packages"][0], "concurrency": 1}]
    async with (
        Peer() as backend,
        running(settings=settings(packages=capped), known=whole_list(member("s-1", backend.port))) as door,
    ):
        _, to_first = await door.client()
        to_first.write(ask(trace="first"))
        await backend.connection()
        client, to_door = await door.client()
        to_door.write(ask(trace="held", X_Expires_In="100m"))
        gateway = cast(Gateway, door.program.proxy.decisions.decider)
        while not any(c.queue for c in gateway.tenants.values()):
            await asyncio.sleep(0)
        time.sleep(0.2)
        assert (await read_message(client))[0].split()[1] == "429"


@socket_test
async def test_what_the_module_never_answers_the_door_does() -> None:
    async with running(Script(lambda event: [])) as door:
        assert (await door.call(ask(X_Expires_In="50m")))[0].split()[1] == "500"
        assert not door.program.proxy.requests


class EarlyTimers:
    """The loop, with timers that fire 2 ms early; uvloop's do by up to 1 ms."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    def call_later(self, delay: float, call: Callable[..., object], *args: object) -> asyncio.TimerHandle:
        return self.loop.call_later(max(0.0, delay - 0.002), call, *args)


@socket_test
async def test_the_module_is_woken_no_sooner_than_it_asked() -> None:
    # Woken early it has nothing to do yet, and counts on being woken when it asked to be.
    script = Script(lambda event: [SetTimer(5_000, 7)] if isinstance(event, EndpointListUpdate) else [])
    async with running(script) as door:
        door.program.proxy.loop = cast(asyncio.AbstractEventLoop, EarlyTimers(asyncio.get_running_loop()))
        at: dict[type[Event], int] = {}
        handle = script.handle

        def timed(now: int, events: list[Event]) -> list[Action]:
            at.update({type(event): now for event in events})
            return handle(now, events)

        script.handle = timed  # type: ignore[method-assign]
        await script.wait_for(TimerFired)
        assert at[TimerFired] >= at[EndpointListUpdate] + 5_000

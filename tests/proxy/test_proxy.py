"""The proxy round the decisions: what it owes a client whatever they do, and how it keeps their time."""

import asyncio
import time
from collections.abc import Callable
from typing import Any, cast

from tests.loopback import (
    EventLoopWrapper,
    ScriptedDecider,
    attempt_at_each,
    leave_pending,
    make_request,
    make_response,
    read_status,
    running_server,
    running_server_with_backend,
    settings_dict,
    uvloop_test,
    wait_until,
)
from tests.upstream_side import forward
from yardlane.decisions.actions import Action, CancelAttempt, Reject, SetTimer, StartAttempt
from yardlane.decisions.events import (
    AttemptEnded,
    EndpointListUpdate,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
)
from yardlane.decisions.gateway import Gateway

UNKNOWN_REQUEST = 10**9
EARLY_S = 0.002
FAILING_TENANT = "0000000000000001"
OTHER_TENANT = "0000000000000002"


@uvloop_test
async def test_a_failing_decision_is_its_own_requests_failure() -> None:
    """The decisions raise on one request out of three that came in one read. It is answered with 500; the
    others, and those that come later, are decided as ever."""

    def raise_on_one_tenant(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived) and event.tenant == int(FAILING_TENANT, 16):
            raise RuntimeError("a fault of the decisions")
        return [Reject(event.request_id)] if isinstance(event, RequestArrived) else []

    async with running_server(ScriptedDecider(raise_on_one_tenant)) as server:
        reader, writer = await server.connect_client()
        good = make_request(Account=OTHER_TENANT)
        failing = make_request(trace="b", Account=FAILING_TENANT)
        writer.write(good + failing + make_request(trace="c", Account=OTHER_TENANT))
        assert [await read_status(reader) for _ in range(3)] == ["429", "500", "429"]
        line, _, _ = await server.fetch(good)
        assert line.split()[1] == "429"


@uvloop_test
async def test_an_action_that_cannot_be_carried_out_stops_no_other() -> None:
    """The decisions ask for what cannot be done, and behind it for a rejection. Were the turn to end at the
    first, the client would wait for its answer until the deadline guard fails the request."""

    def with_unusable_actions(event: Event) -> list[Action]:
        if not isinstance(event, RequestArrived):
            return []
        actions: list[Any] = [
            StartAttempt(UNKNOWN_REQUEST, b"s-1"),
            Reject(UNKNOWN_REQUEST),
            "no action",
            Reject(event.request_id),
        ]
        return actions

    async with running_server(ScriptedDecider(with_unusable_actions)) as server:
        line, _, _ = await server.fetch(make_request())
        assert line.split()[1] == "429"


@uvloop_test
async def test_attempts_that_do_not_exist_are_not_cancelled() -> None:
    """The decisions cancel attempts that no request has had. An index of -1 taken as Python's would end the
    last attempt, and a request that a backend is serving would get no response."""

    def cancel_around(event: Event) -> list[Action]:
        if not isinstance(event, RequestArrived):
            return []
        request_id = event.request_id
        attempt = StartAttempt(request_id, b"s-1")
        return [attempt, CancelAttempt(request_id, 1), CancelAttempt(request_id, -1), CancelAttempt(9, 0)]

    script = ScriptedDecider(cancel_around)
    async with running_server_with_backend(script) as (server, backend):
        _, to_proxy = await server.connect_client()
        to_proxy.write(make_request(X_Expires_In="200m"))
        await backend.accept_connection()
        [ended] = await script.wait_for(AttemptEnded)
        assert ended.outcome is Outcome.TIMED_OUT


@uvloop_test
async def test_after_standing_still_the_decisions_still_give_the_answer() -> None:
    """The process stands still for longer than a queued request's time and grace. The timer of the decisions
    and the deadline guard are due at once then; the decisions reject the request, and a rejection promises
    the client more than the guard's failure does."""
    capped = [{**settings_dict()["packages"][0], "concurrency": 1}]
    async with running_server_with_backend(settings=settings_dict(packages=capped)) as (server, backend):
        _, to_first = await server.connect_client()
        to_first.write(make_request(trace="first"))
        await backend.accept_connection()
        client, to_proxy = await server.connect_client()
        to_proxy.write(make_request(trace="queued", X_Expires_In="100m"))
        gateway = cast(Gateway, server.proxy.decisions.decider)
        await wait_until(lambda: any(tenant.queue for tenant in gateway.tenants.values()))
        time.sleep(0.2)
        assert await read_status(client) == "429"


@uvloop_test
async def test_what_the_decisions_never_answer_the_deadline_guard_does() -> None:
    """The decisions let a request's time pass without a word. Without the guard its client would never get
    the one final answer that it is owed, and the proxy would keep the request for good."""
    async with running_server(ScriptedDecider(leave_pending)) as server:
        line, _, _ = await server.fetch(make_request(X_Expires_In="50m"))
        assert line.split()[1] == "500"
        assert not server.proxy.requests


@uvloop_test
async def test_the_decisions_may_still_answer_as_the_deadline_guard_fires() -> None:
    """No timer of the decisions is left, as after a failed decision. The guard gives them a turn first."""

    def reject_when_called(event: Event) -> list[Action]:
        return [Reject(1)] if isinstance(event, TimerFired) else []

    async with running_server(ScriptedDecider(reject_when_called)) as server:
        line, _, _ = await server.fetch(make_request(X_Expires_In="50m"))
        assert line.split()[1] == "429"


@uvloop_test
async def test_the_deadline_guard_of_an_answered_request_does_not_stay() -> None:
    """A guard holds its request and the request's body; with long deadlines that would be much memory."""
    script = ScriptedDecider(attempt_at_each(b"s-1"))
    async with running_server_with_backend(script) as (server, backend):
        (client, _), (_, writer) = await forward(server, backend)
        [request] = server.proxy.requests.values()
        assert request.deadline_guard is not None and not request.deadline_guard.cancelled()
        writer.write(make_response())
        assert await read_status(client) == "200"
        assert request.deadline_guard.cancelled()


@uvloop_test
async def test_an_attempt_beyond_the_most_that_a_request_may_have_is_not_sent() -> None:
    """A faulty decider starts one attempt more than the settings allow. Sent, such attempts would multiply
    the load of backends that are failing already."""
    most = settings_dict()["permissions"]["max_attempts"]
    script = ScriptedDecider(attempt_at_each(*[b"s-1"] * (most + 1)))
    async with running_server_with_backend(script) as (server, backend):
        _, to_proxy = await server.connect_client()
        to_proxy.write(make_request())
        for _ in range(most):
            await backend.accept_connection()
        [ended] = await script.wait_for(AttemptEnded)
        assert (ended.attempt_index, ended.outcome) == (most, Outcome.NOT_SENT)


class EarlyTimers(EventLoopWrapper):
    """Its timers fire early; uvloop's do by up to a millisecond."""

    def call_later(self, delay: float, call: Callable[..., object], *args: object) -> asyncio.TimerHandle:
        return self.loop.call_later(max(0.0, delay - EARLY_S), call, *args)


@uvloop_test
async def test_a_timer_of_the_decisions_never_fires_early() -> None:
    """The loop's timer fires early. Notified then, the decisions would find nothing due, and would not ask to
    be called again: what waits would wait for good."""
    script = ScriptedDecider(
        lambda event: [SetTimer(5_000, 7)] if isinstance(event, EndpointListUpdate) else []
    )
    async with running_server(script) as server:
        server.proxy.loop = EarlyTimers(asyncio.get_running_loop()).as_loop()
        handled_at_us: dict[type[Event], int] = {}
        handle = script.handle

        def record_time(now_us: int, events: list[Event]) -> list[Action]:
            handled_at_us.update({type(event): now_us for event in events})
            return handle(now_us, events)

        script.handle = record_time  # type: ignore[method-assign]
        await script.wait_for(TimerFired)
        assert handled_at_us[TimerFired] >= handled_at_us[EndpointListUpdate] + 5_000

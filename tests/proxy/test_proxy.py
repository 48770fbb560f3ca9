"""Tests that clients get an answer whatever the decider does, and that timers do not fire early."""

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

UNKNOWN_REQUEST_ID = 10**9
EARLY_BY_S = 0.002  # how early the timers of an `EarlyTimerLoop` fire
FAILING_TENANT = "0000000000000001"
OTHER_TENANT = "0000000000000002"


@uvloop_test
async def test_exception_in_decider_fails_only_the_request_at_fault() -> None:
    """The decider raises an exception on one of three requests that arrive in one read. That request must be
    answered with 500, and the others and later requests must be answered as the decider decides."""

    def raise_on_one_tenant(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived) and event.tenant == int(FAILING_TENANT, 16):
            raise RuntimeError("exception in the decider")
        return [Reject(event.request_id)] if isinstance(event, RequestArrived) else []

    async with running_server(ScriptedDecider(raise_on_one_tenant)) as server:
        reader, writer = await server.connect_client()
        other_request = make_request(Account=OTHER_TENANT)
        failing_request = make_request(trace="b", Account=FAILING_TENANT)
        writer.write(other_request + failing_request + make_request(trace="c", Account=OTHER_TENANT))
        assert [await read_status(reader) for _ in range(3)] == ["429", "500", "429"]
        line, _, _ = await server.fetch(other_request)
        assert line.split()[1] == "429"


@uvloop_test
async def test_unusable_action_does_not_stop_later_actions() -> None:
    """The decider returns actions that cannot be carried out, followed by a rejection. If the proxy stopped
    at the first of them, the client would wait until the watchdog timer fails its request."""

    def return_unusable_actions(event: Event) -> list[Action]:
        if not isinstance(event, RequestArrived):
            return []
        actions: list[Any] = [
            StartAttempt(UNKNOWN_REQUEST_ID, b"s-1"),
            Reject(UNKNOWN_REQUEST_ID),
            "no action",
            Reject(event.request_id),
        ]
        return actions

    async with running_server(ScriptedDecider(return_unusable_actions)) as server:
        line, _, _ = await server.fetch(make_request())
        assert line.split()[1] == "429"


@uvloop_test
async def test_cancelling_a_nonexistent_attempt_has_no_effect() -> None:
    """The decider cancels attempts that do not exist. If -1 were used as a list index, it would end the last
    attempt, and a request that a backend is processing would get no response."""

    def cancel_nonexistent_attempts(event: Event) -> list[Action]:
        if not isinstance(event, RequestArrived):
            return []
        request_id = event.request_id
        attempt = StartAttempt(request_id, b"s-1")
        return [attempt, CancelAttempt(request_id, 1), CancelAttempt(request_id, -1), CancelAttempt(9, 0)]

    script = ScriptedDecider(cancel_nonexistent_attempts)
    async with running_server_with_backend(script) as (server, backend):
        _, to_proxy = await server.connect_client()
        to_proxy.write(make_request(X_Expires_In="200m"))
        await backend.accept_connection()
        [ended] = await script.wait_for(AttemptEnded)
        assert ended.outcome is Outcome.TIMED_OUT


@uvloop_test
async def test_decider_answers_an_overdue_request_after_a_process_stall() -> None:
    """The process is stalled for longer than the remaining time of a queued request and the grace period. The
    decider's timer and the watchdog timer are then due at the same time. The decider must go first: its
    rejection tells the client that it may retry safely, which the failure by the watchdog does not."""
    plans = [{**settings_dict()["packages"][0], "concurrency": 1}]
    async with running_server_with_backend(settings=settings_dict(packages=plans)) as (server, backend):
        _, first_writer = await server.connect_client()
        first_writer.write(make_request(trace="first"))
        await backend.accept_connection()
        client, to_proxy = await server.connect_client()
        to_proxy.write(make_request(trace="queued", X_Expires_In="100m"))
        gateway = cast(Gateway, server.proxy.decision_loop.decider)
        await wait_until(lambda: any(tenant.queue for tenant in gateway.tenants.values()))
        time.sleep(0.2)
        assert await read_status(client) == "429"


@uvloop_test
async def test_watchdog_fails_a_request_that_the_decider_never_answers() -> None:
    """The decider never answers a request. Without the watchdog timer, the client would never get an answer,
    and the proxy would never forget the request."""
    async with running_server(ScriptedDecider(leave_pending)) as server:
        line, _, _ = await server.fetch(make_request(X_Expires_In="50m"))
        assert line.split()[1] == "500"
        assert not server.proxy.requests


@uvloop_test
async def test_decider_may_still_answer_when_the_watchdog_expires() -> None:
    """No timer of the decider is set, as after an exception in the decider. When the
    watchdog expires, the decider must be called once more before the request fails."""

    def reject_on_timer(event: Event) -> list[Action]:
        return [Reject(1)] if isinstance(event, TimerFired) else []

    async with running_server(ScriptedDecider(reject_on_timer)) as server:
        line, _, _ = await server.fetch(make_request(X_Expires_In="50m"))
        assert line.split()[1] == "429"


@uvloop_test
async def test_watchdog_is_cancelled_when_its_request_is_answered() -> None:
    """The watchdog timer keeps the request and its body in memory. If it ran until the deadline of an
    answered request, long deadlines would take much memory."""
    script = ScriptedDecider(attempt_at_each(b"s-1"))
    async with running_server_with_backend(script) as (server, backend):
        (client, _), (_, writer) = await forward(server, backend)
        [request] = server.proxy.requests.values()
        assert request.watchdog_timer is not None and not request.watchdog_timer.cancelled()
        writer.write(make_response())
        assert await read_status(client) == "200"
        assert request.watchdog_timer.cancelled()


@uvloop_test
async def test_attempt_beyond_max_attempts_is_not_sent() -> None:
    """A faulty decider starts one attempt more than the settings allow. If such attempts were sent, they
    would multiply the load of backends that are already failing."""
    max_attempts = settings_dict()["permissions"]["max_attempts"]
    script = ScriptedDecider(attempt_at_each(*[b"s-1"] * (max_attempts + 1)))
    async with running_server_with_backend(script) as (server, backend):
        _, to_proxy = await server.connect_client()
        to_proxy.write(make_request())
        for _ in range(max_attempts):
            await backend.accept_connection()
        [ended] = await script.wait_for(AttemptEnded)
        assert (ended.attempt_index, ended.outcome) == (max_attempts, Outcome.NOT_SENT)


class EarlyTimerLoop(EventLoopWrapper):
    """Fires timers early, as uvloop does by up to a millisecond."""

    def call_later(self, delay: float, call: Callable[..., object], *args: object) -> asyncio.TimerHandle:
        return self.loop.call_later(max(0.0, delay - EARLY_BY_S), call, *args)


@uvloop_test
async def test_decider_timer_never_fires_early() -> None:
    """A timer of the event loop fires early. If the decider were called then, it would find nothing due and
    set no further timer, so queued requests would wait forever."""
    script = ScriptedDecider(
        lambda event: [SetTimer(5_000, 7)] if isinstance(event, EndpointListUpdate) else []
    )
    async with running_server(script) as server:
        server.proxy.loop = EarlyTimerLoop(asyncio.get_running_loop()).as_loop()
        handled_at_us: dict[type[Event], int] = {}
        handle = script.handle

        def record_time(now_us: int, events: list[Event]) -> list[Action]:
            handled_at_us.update({type(event): now_us for event in events})
            return handle(now_us, events)

        script.handle = record_time  # type: ignore[method-assign]
        await script.wait_for(TimerFired)
        assert handled_at_us[TimerFired] >= handled_at_us[EndpointListUpdate] + 5_000

"""Tests the outcome of an attempt, depending on how it ends and how much of its request has been sent."""

import asyncio
import os
import socket
from collections.abc import Callable
from contextlib import ExitStack
from typing import Any

import pytest

from tests.loopback import (
    HEALTH_CHECK,
    EventLoopWrapper,
    FakeServer,
    RunningServer,
    ScriptedDecider,
    attempt_at_each,
    endpoint_list_dict,
    forward_all,
    make_config,
    make_request,
    make_response,
    member_dict,
    read_message,
    read_status,
    running_server,
    running_server_with_backend,
    settings_dict,
    uvloop_test,
    wait_until,
)
from tests.upstream_side import (
    LARGE_REQUEST_BYTES,
    RESET_ON_CLOSE,
    SmallBufferBackends,
    forward,
    read_available,
    read_until_request_sent,
    reset,
    unsent_bytes,
)
from yardlane.decisions.actions import Action, CancelAttempt, StartAttempt
from yardlane.decisions.events import AttemptEnded, Event, Outcome, RequestArrived, RequestEnded
from yardlane.proxy.attempt import Attempt
from yardlane.proxy.proxy import Proxy
from yardlane.proxy.upstream_connection import UpstreamConnection
from yardlane.proxy.upstream_pool import UpstreamPool

NO_REUSE_DELAY_S = 0.0
FIRST_REQUEST_MAX_BYTES = 4096


async def wait_for_outcomes(script: ScriptedDecider, count: int = 1) -> list[Outcome]:
    """Wait until at least `count` attempts have ended, and return the outcomes of all ended attempts."""
    return [ended.outcome for ended in await script.wait_for(AttemptEnded, count)]


async def assert_closed(reader: asyncio.StreamReader) -> None:
    """Assert that the proxy closes or resets the connection without sending anything more."""
    with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
        await reader.readexactly(1)


@uvloop_test
async def test_refused_connection_ends_the_attempt_as_not_connected() -> None:
    """A backend's process has stopped and its port refuses connections. If the attempt were reported as one
    that may have run, a non-idempotent request could not be retried, and a restart of one backend would fail
    requests that others could serve."""
    async with FakeServer() as backend:
        port = backend.port
    script = ScriptedDecider(forward_all)
    # The backend's port is no longer open here.
    async with running_server(script, known=endpoint_list_dict(member_dict("s-1", port))) as server:
        line, _, _ = await server.fetch(make_request())
        assert line.split()[1] == "502"
        assert await wait_for_outcomes(script) == [Outcome.NOT_CONNECTED]


@uvloop_test
async def test_connect_timeout_ends_the_attempt_as_not_connected() -> None:
    """A backend's host drops connection requests, here because its accept queue is full. The client's
    deadline is far away, so only the connect timeout can end the attempt."""
    with socket.socket() as listener, ExitStack() as waiting:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(4):
            caller = waiting.enter_context(socket.socket())
            caller.setblocking(False)
            caller.connect_ex(listener.getsockname())
        script = ScriptedDecider(forward_all)
        async with running_server(
            script, known=endpoint_list_dict(member_dict("s-1", listener.getsockname()[1]))
        ) as server:
            line, _, _ = await server.fetch(make_request(X_Expires_In="3000000m"))
            assert line.split()[1] == "502"
            assert await wait_for_outcomes(script) == [Outcome.NOT_CONNECTED]
            assert not server.pool.connections


@uvloop_test
async def test_attempt_timeout_closes_the_connection() -> None:
    """A backend does not respond within the attempt's timeout. If the connection stayed open, the late
    response would be read as the response to the next request."""

    def with_timeout(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [StartAttempt(event.request_id, b"s-1", 1_000_000)]
        return forward_all(event)

    script = ScriptedDecider(with_timeout)
    async with running_server_with_backend(script) as (server, backend):
        (client, _), (reader, _) = await forward(server, backend)
        assert await read_status(client) == "502"
        [ended] = await script.wait_for(AttemptEnded)
        assert ended.outcome is Outcome.TIMED_OUT and not ended.request_ended
        await assert_closed(reader)


@uvloop_test
async def test_attempt_ends_at_the_clients_deadline() -> None:
    """The backend does not respond and the decisions do nothing. The attempt times out at the client's
    deadline, and the watchdog timer sends the client its final answer."""
    script = ScriptedDecider(attempt_at_each(b"s-1"))
    async with running_server_with_backend(script) as (server, backend):
        client, to_proxy = await server.connect_client()
        to_proxy.write(make_request(X_Expires_In="1000m"))
        reader, _ = await backend.accept_connection()
        _, headers, _ = await read_message(reader)
        assert int(headers["x-expires-in"].removesuffix("m")) <= 1000
        assert await read_status(client) == "500"
        assert await wait_for_outcomes(script) == [Outcome.TIMED_OUT]
        await script.wait_for(RequestEnded)


@uvloop_test
async def test_first_successful_response_is_final_and_the_other_is_discarded() -> None:
    """Two attempts run at the same time. The second response must not reach the client, which would take it
    for the answer to its next request."""
    script = ScriptedDecider(attempt_at_each(b"s-1", b"s-2"))
    async with (
        FakeServer() as one,
        FakeServer() as two,
        running_server(
            script, known=endpoint_list_dict(member_dict("s-1", one.port), member_dict("s-2", two.port))
        ) as server,
    ):
        client, to_proxy = await server.connect_client()
        to_proxy.write(make_request())
        first, to_first = await one.accept_connection()
        second, to_second = await two.accept_connection()
        await read_message(first)
        await read_message(second)
        to_second.write(make_response(200, b"second"))
        assert (await read_message(client))[2] == b"second"
        to_first.write(make_response(200, b"first"))
        ended = await script.wait_for(AttemptEnded, 2)
        assert [(e.attempt_index, e.outcome, e.request_ended) for e in ended] == [
            (1, Outcome.OK, True),
            (0, Outcome.OK, True),
        ]
        to_proxy.write(HEALTH_CHECK)
        assert (await read_message(client))[2] == b"ready\n"
        assert not server.proxy.requests


@uvloop_test
async def test_cancelled_attempt_closes_its_connection() -> None:
    """The client disconnects and the decisions cancel its attempt. If the connection stayed open, the backend
    would not notice the cancellation, and its response would be read as the response to the next request."""

    def cancel_on_client_disconnect(event: Event) -> list[Action]:
        return [CancelAttempt(event.request_id, 0)] if isinstance(event, RequestEnded) else forward_all(event)

    script = ScriptedDecider(cancel_on_client_disconnect)
    async with running_server_with_backend(script) as (server, backend):
        (_, to_proxy), (reader, _) = await forward(server, backend)
        to_proxy.transport.abort()
        [ended] = await script.wait_for(AttemptEnded)
        assert (ended.outcome, ended.request_ended) == (Outcome.CANCELLED, True)
        await assert_closed(reader)


class TimeoutAfterConnect(EventLoopWrapper):
    """An event loop that establishes each connection and then reports a connect timeout."""

    async def create_connection(self, *args: Any) -> None:
        await self.loop.create_connection(*args)
        raise TimeoutError


@uvloop_test
async def test_connect_timeout_after_the_request_was_sent_is_reported_as_connection_lost() -> None:
    """The connection is established, the request is sent, and only then does the connect call fail. If the
    attempt were reported as never run, the request could run twice."""
    ends: list[Outcome] = []
    async with FakeServer() as backend:
        pool = UpstreamPool(make_config(), 8, TimeoutAfterConnect(asyncio.get_running_loop()).as_loop())
        attempt = Attempt(1, 0, b"s-1", 0, lambda attempt, outcome, response: ends.append(outcome))
        attempt.address = ("127.0.0.1", backend.port)
        attempt.request_bytes = make_request()
        pool.send(attempt)
        await backend.accept_connection()
        await wait_until(lambda: ends)
    assert ends == [Outcome.CONNECTION_LOST]


# Ways in which an attempt ends while its request has been sent in part, or completely but not answered.


def by_reset(
    proxy: Proxy, connection: UpstreamConnection, backend_end: socket.socket, backends: SmallBufferBackends
) -> None:
    reset(backend_end)


def by_deadline(
    proxy: Proxy, connection: UpstreamConnection, backend_end: socket.socket, backends: SmallBufferBackends
) -> None:
    assert connection.attempt is not None
    connection.attempt.on_deadline()


def by_cancel(
    proxy: Proxy, connection: UpstreamConnection, backend_end: socket.socket, backends: SmallBufferBackends
) -> None:
    proxy.apply(CancelAttempt(1, 0))


def by_client_disconnect(
    proxy: Proxy, connection: UpstreamConnection, backend_end: socket.socket, backends: SmallBufferBackends
) -> None:
    backends.to_proxy.transport.abort()


def by_response(
    proxy: Proxy, connection: UpstreamConnection, backend_end: socket.socket, backends: SmallBufferBackends
) -> None:
    backend_end.send(make_response(200, b"to what?"))


Ending = Callable[[Proxy, UpstreamConnection, socket.socket, SmallBufferBackends], None]


@pytest.mark.parametrize(
    ("end", "outcome_if_partly_sent", "outcome_if_sent"),
    [
        (by_reset, Outcome.NOT_CONNECTED, Outcome.CONNECTION_LOST),
        (by_deadline, Outcome.NOT_CONNECTED, Outcome.TIMED_OUT),
        (by_cancel, Outcome.NOT_SENT, Outcome.CANCELLED),
        # If the request was sent completely, the attempt continues.
        (by_client_disconnect, Outcome.NOT_SENT, Outcome.OK),
        # On a new connection, the response cannot belong to an earlier request.
        (by_response, Outcome.NOT_CONNECTED, Outcome.OK),
    ],
)
@pytest.mark.parametrize("is_partly_sent", [True, False])
def test_partly_sent_request_is_reported_as_never_run_and_is_not_completed(
    end: Ending, outcome_if_partly_sent: Outcome, outcome_if_sent: Outcome, is_partly_sent: bool
) -> None:
    """A backend reads slowly, so part of a request is still in the proxy when its attempt ends. The request
    is reported as never run and may be sent elsewhere. Therefore its last byte must not be sent any more,
    even if the backend continues to read before the connection is closed. The endpoint also begins to drain,
    which must not end an attempt that has sent any byte."""

    async def assert_outcome(script: ScriptedDecider) -> None:
        assert await wait_for_outcomes(script) == [
            outcome_if_partly_sent if is_partly_sent else outcome_if_sent
        ]

    @uvloop_test
    async def run() -> None:
        script = ScriptedDecider(forward_all)
        backends = SmallBufferBackends()
        async with running_server(script, known=backends.known) as server:
            connection, backend_end = await backends.send_large_request(server)
            server.pool.drain_endpoint(b"s-1")
            received = b"" if is_partly_sent else await read_until_request_sent(backend_end, connection)
            unsent = unsent_bytes(connection)
            end(server.proxy, connection, backend_end, backends)
            if end is by_reset:
                return await assert_outcome(script)
            if end is by_client_disconnect:
                await script.wait_for(RequestEnded)
                if not is_partly_sent:
                    backend_end.send(make_response())
            # Reading makes room in the kernel's buffer before the event loop runs again.
            received += read_available(backend_end)
            await assert_outcome(script)
            while is_partly_sent and (part := await server.loop.sock_recv(backend_end, 65_536)):
                received += part
            head_bytes = received.index(b"\r\n\r\n") + 4
            assert is_partly_sent is (unsent > 0)
            # Nothing was sent after the attempt had ended.
            assert len(received) <= head_bytes + LARGE_REQUEST_BYTES - unsent

    run()


@pytest.mark.parametrize("is_partly_sent", [True, False])
def test_non_idempotent_request_is_retried_only_if_it_was_partly_sent(
    is_partly_sent: bool,
) -> None:
    """A backend resets the connection of a non-idempotent request. If the request was sent only in part, it
    has not run and is retried at the other backend. If it was sent completely, it may have run, and fails."""
    not_idempotent = [{**rule, "repeat": "single_shot"} for rule in settings_dict()["profiles"]]

    @uvloop_test
    async def run() -> None:
        backends = SmallBufferBackends(2)
        async with running_server(
            settings=settings_dict(profiles=not_idempotent), known=backends.known
        ) as server:
            connection, backend_end = await backends.send_large_request(server)
            if not is_partly_sent:
                await read_until_request_sent(backend_end, connection)
            reset(backend_end)
            if is_partly_sent:
                backend_end = await backends.accept()
                connection = await backends.connection_with_unsent_bytes(server)
                await read_until_request_sent(backend_end, connection)
                backend_end.send(make_response())
            assert await read_status(backends.client) == ("200" if is_partly_sent else "502")

    run()


def reset_after_check(connection: UpstreamConnection, writer: asyncio.StreamWriter) -> None:
    """Make the backend reset this connection between the check of its socket and the next request."""
    is_reusable = connection.is_reusable

    def check_then_reset() -> bool:
        seen = is_reusable()
        descriptor = writer.get_extra_info("socket").fileno()
        with socket.socket(fileno=os.dup(descriptor)) as backend_end:
            backend_end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            os.close(descriptor)
        return seen

    connection.is_reusable = check_then_reset  # type: ignore[method-assign]


@uvloop_test
async def test_request_written_to_a_reset_connection_is_reported_as_not_connected() -> None:
    """An idle connection is reset after the proxy has checked it, and a request is written to it. If the
    attempt were reported as one that may have run, a non-idempotent request would fail, although no backend
    ever received it."""
    script = ScriptedDecider(forward_all)
    async with running_server_with_backend(script) as (server, backend):
        pool = server.pool
        pool.reuse_policy.reuse_delay_s = NO_REUSE_DELAY_S
        (client, to_proxy), (_, writer) = await forward(server, backend)
        writer.write(make_response())
        await read_message(client)
        [idle] = pool.idle[b"s-1"]
        reset_after_check(idle, writer)
        to_proxy.write(make_request(trace="a2"))
        assert await wait_for_outcomes(script, 2) == [Outcome.OK, Outcome.NOT_CONNECTED]


async def serve_first_request(server: RunningServer, backends: SmallBufferBackends) -> socket.socket:
    """Serve a first request; return the backend's end of its connection, which is idle afterwards."""
    backends.use_small_buffers(server)
    client, to_proxy = await server.connect_client()
    to_proxy.write(make_request())
    backend_end = await backends.accept()
    await backends.loop.sock_recv(backend_end, FIRST_REQUEST_MAX_BYTES)
    backend_end.send(make_response())
    await read_message(client)
    return backend_end


@uvloop_test
async def test_bytes_sent_before_the_request_arrived_are_not_read_as_its_response() -> None:
    """A backend sends a late second response to an earlier request on a connection that has been reused. The
    proxy's kernel has accepted the whole new request, but the backend's kernel has not acknowledged it, so
    the response cannot belong to it."""
    script = ScriptedDecider(forward_all)
    backends = SmallBufferBackends()
    async with running_server(script, known=backends.known) as server:
        pool = server.pool
        pool.reuse_policy.reuse_delay_s = NO_REUSE_DELAY_S
        backend_end = await serve_first_request(server, backends)
        connection, _ = await backends.send_large_request(server, backend_end)
        pool.reuse_policy.reuse_delay_s = 1e6  # keeps the check for unacknowledged bytes active
        await read_until_request_sent(backend_end, connection)
        backend_end.send(make_response(200, b"late"))
        assert await read_status(backends.client) == "502"
        assert (await script.wait_for(AttemptEnded, 2))[1].outcome is Outcome.CONNECTION_LOST
        assert pool.reuse_policy.endpoint_reuse_delays_s

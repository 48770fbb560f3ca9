"""What ends an attempt, by what its connection has sent until then: each attempt has exactly one outcome."""

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
    """The outcomes of so many attempts, once they have ended."""
    return [ended.outcome for ended in await script.wait_for(AttemptEnded, count)]


async def assert_closed(reader: asyncio.StreamReader) -> None:
    """The proxy closes or resets the connection and sends nothing before."""
    with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
        await reader.readexactly(1)


@uvloop_test
async def test_refused_connection_ends_the_attempt_as_not_connected() -> None:
    """A backend's process is gone and its port refuses. Taken for an attempt that may have run, the request
    could not be retried elsewhere, and a restart would fail requests that others could serve."""
    async with FakeServer() as backend:
        port = backend.port
    script = ScriptedDecider(forward_all)  # nobody listens there any more
    async with running_server(script, known=endpoint_list_dict(member_dict("s-1", port))) as server:
        line, _, _ = await server.fetch(make_request())
        assert line.split()[1] == "502"
        assert await wait_for_outcomes(script) == [Outcome.NOT_CONNECTED]


@uvloop_test
async def test_connect_timeout_ends_the_attempt_as_not_connected() -> None:
    """A backend's host drops connection requests: here by a full queue that nobody accepts from. The
    client's time is long, so that only the connect timeout can end the attempt."""
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
    """A backend does not respond within the attempt's timeout. Were its connection kept, the late response
    would be read as the answer to the next request."""

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
    """Backend and decisions are silent. The attempt ends with the client's time, and the deadline guard gives
    the client its one final answer."""
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
    """Two attempts run at once. The response that comes second must not reach the client, where it would be
    taken for the answer to its next request."""
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
    """The client leaves and the decisions cancel its attempt. Only the closed connection tells the backend
    so; left open, the backend would go on for nobody, and its response would meet the next request."""

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
    """Each connection comes up just as its connect timeout fires."""

    async def create_connection(self, *args: Any) -> None:
        await self.loop.create_connection(*args)
        raise TimeoutError


@uvloop_test
async def test_connect_timeout_after_the_request_was_sent_is_reported_as_connection_lost() -> None:
    """The connection comes up, the request is sent, and the failure to connect is reported after that. Taken
    for one that never ran, the request could run twice."""
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


# How the attempt of a request ends that is sent in part, or whole and unanswered.


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
        (by_client_disconnect, Outcome.NOT_SENT, Outcome.OK),  # sent whole, it goes on
        (by_response, Outcome.NOT_CONNECTED, Outcome.OK),  # a new connection has had no other request
    ],
)
@pytest.mark.parametrize("is_partly_sent", [True, False])
def test_partly_sent_request_is_reported_as_never_run_and_is_not_completed(
    end: Ending, outcome_if_partly_sent: Outcome, outcome_if_sent: Outcome, is_partly_sent: bool
) -> None:
    """A backend reads slowly, so that a part of a request waits in the proxy as its attempt ends. It is
    reported as never run, so that it may be sent elsewhere; then its last byte must never be sent either,
    also when the backend reads on before the connection is closed. The endpoint drains meanwhile, which ends
    no attempt that has sent a byte."""

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
            received += read_available(backend_end)  # the kernel has room before the loop runs again
            await assert_outcome(script)
            while is_partly_sent and (part := await server.loop.sock_recv(backend_end, 65_536)):
                received += part
            head_bytes = received.index(b"\r\n\r\n") + 4
            assert is_partly_sent is (unsent > 0)
            assert len(received) <= head_bytes + LARGE_REQUEST_BYTES - unsent  # none came after the end

    run()


@pytest.mark.parametrize("is_partly_sent", [True, False])
def test_non_idempotent_request_is_retried_only_if_it_was_partly_sent(
    is_partly_sent: bool,
) -> None:
    """A backend resets the connection of a request that is not idempotent. Sent in part, the request has not
    run and goes to the other backend; sent whole, it may have run, and fails."""
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
    """The backend resets this connection between the look at its socket and the next request."""
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
    """An idle connection is reset after the last look at it, and a request is written to it. Taken for one
    that may have run, a request that must not run twice would fail, though no backend ever had it."""
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
    """A first request is served; the backend's end of its connection, which is idle now."""
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
    """A backend's late second response to an earlier request comes on a connection that is used again. The
    kernel has the new request whole, and the backend has not acknowledged it, so it has not read it."""
    script = ScriptedDecider(forward_all)
    backends = SmallBufferBackends()
    async with running_server(script, known=backends.known) as server:
        pool = server.pool
        pool.reuse_policy.reuse_delay_s = NO_REUSE_DELAY_S
        backend_end = await serve_first_request(server, backends)
        connection, _ = await backends.send_large_request(server, backend_end)
        pool.reuse_policy.reuse_delay_s = 1e6  # late bytes may show for as long
        await read_until_request_sent(backend_end, connection)
        backend_end.send(make_response(200, b"late"))
        assert await read_status(backends.client) == "502"
        assert (await script.wait_for(AttemptEnded, 2))[1].outcome is Outcome.CONNECTION_LOST
        assert pool.reuse_policy.endpoint_reuse_delays_s

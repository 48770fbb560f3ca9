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
    read_in_this_turn,
    read_while_unsent,
    reset,
    unsent_bytes,
)
from yardlane.decisions.actions import Action, CancelAttempt, StartAttempt
from yardlane.decisions.events import AttemptEnded, Event, Outcome, RequestArrived, RequestEnded
from yardlane.proxy.attempt import Attempt
from yardlane.proxy.proxy import Proxy
from yardlane.proxy.upstream_connection import UpstreamConnection
from yardlane.proxy.upstream_pool import UpstreamPool

NO_QUARANTINE_S = 0.0
FIRST_REQUEST_MAX_BYTES = 4096


async def outcomes(script: ScriptedDecider, count: int = 1) -> list[Outcome]:
    """The outcomes of so many attempts, once they have ended."""
    return [ended.outcome for ended in await script.wait_for(AttemptEnded, count)]


async def assert_closed(reader: asyncio.StreamReader) -> None:
    """The proxy closes or resets the connection and sends nothing before."""
    with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
        await reader.readexactly(1)


@uvloop_test
async def test_a_request_to_a_refused_connection_never_ran() -> None:
    """A backend's process is gone and its port refuses. Taken for an attempt that may have run, the request
    could not be retried elsewhere, and a restart would fail requests that others could serve."""
    async with FakeServer() as backend:
        port = backend.port
    script = ScriptedDecider(forward_all)  # nobody listens there any more
    async with running_server(script, known=endpoint_list_dict(member_dict("s-1", port))) as server:
        line, _, _ = await server.fetch(make_request())
        assert line.split()[1] == "502"
        assert await outcomes(script) == [Outcome.NOT_CONNECTED]


@uvloop_test
async def test_a_request_to_a_connection_that_never_comes_up_never_ran() -> None:
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
            assert await outcomes(script) == [Outcome.NOT_CONNECTED]
            assert not server.pool.connections


@uvloop_test
async def test_the_attempts_timeout_ends_it_and_closes_its_connection() -> None:
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
async def test_an_attempt_never_outlives_its_clients_time() -> None:
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
        assert await outcomes(script) == [Outcome.TIMED_OUT]
        await script.wait_for(RequestEnded)


@uvloop_test
async def test_the_first_good_response_is_final_and_the_other_one_is_read_and_dropped() -> None:
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
async def test_a_cancelled_attempt_closes_its_connection() -> None:
    """The client leaves and the decisions cancel its attempt. Only the closed connection tells the backend
    so; left open, the backend would go on for nobody, and its response would meet the next request."""

    def cancel_as_the_client_leaves(event: Event) -> list[Action]:
        return [CancelAttempt(event.request_id, 0)] if isinstance(event, RequestEnded) else forward_all(event)

    script = ScriptedDecider(cancel_as_the_client_leaves)
    async with running_server_with_backend(script) as (server, backend):
        (_, to_proxy), (reader, _) = await forward(server, backend)
        to_proxy.transport.abort()
        [ended] = await script.wait_for(AttemptEnded)
        assert (ended.outcome, ended.request_ended) == (Outcome.CANCELLED, True)
        await assert_closed(reader)


class TimeoutAsConnected(EventLoopWrapper):
    """Each connection comes up just as its connect timeout fires."""

    async def create_connection(self, *args: Any) -> None:
        await self.loop.create_connection(*args)
        raise TimeoutError


@uvloop_test
async def test_a_connection_up_in_its_last_moment_may_have_carried_the_request() -> None:
    """The connection comes up, the request is sent, and the failure to connect is reported after that. Taken
    for one that never ran, the request could run twice."""
    ends: list[Outcome] = []
    async with FakeServer() as backend:
        pool = UpstreamPool(make_config(), 8, TimeoutAsConnected(asyncio.get_running_loop()).as_loop())
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


def by_client(
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
        (by_client, Outcome.NOT_SENT, Outcome.OK),  # sent whole, it goes on
        (by_response, Outcome.NOT_CONNECTED, Outcome.OK),  # a new connection has had no other request
    ],
)
@pytest.mark.parametrize("is_partly_sent", [True, False])
def test_a_request_whose_last_byte_was_not_sent_never_ran(
    end: Ending, outcome_if_partly_sent: Outcome, outcome_if_sent: Outcome, is_partly_sent: bool
) -> None:
    """A backend reads slowly, so that a part of a request waits in the proxy as its attempt ends. It is
    reported as never run, so that it may be sent elsewhere; then its last byte must never be sent either,
    also when the backend reads on before the connection is closed. The endpoint drains meanwhile, which ends
    no attempt that has sent a byte."""

    async def assert_outcome(script: ScriptedDecider) -> None:
        assert await outcomes(script) == [outcome_if_partly_sent if is_partly_sent else outcome_if_sent]

    @uvloop_test
    async def run() -> None:
        script = ScriptedDecider(forward_all)
        backends = SmallBufferBackends()
        async with running_server(script, known=backends.known) as server:
            connection, backend_end = await backends.partly_sent(server)
            server.pool.drain_endpoint(b"s-1")
            received = b"" if is_partly_sent else await read_while_unsent(backend_end, connection)
            unsent = unsent_bytes(connection)
            end(server.proxy, connection, backend_end, backends)
            if end is by_reset:
                return await assert_outcome(script)
            if end is by_client:
                await script.wait_for(RequestEnded)
                if not is_partly_sent:
                    backend_end.send(make_response())
            received += read_in_this_turn(backend_end)  # the kernel has room before the loop runs again
            await assert_outcome(script)
            while is_partly_sent and (part := await server.loop.sock_recv(backend_end, 65_536)):
                received += part
            head_bytes = received.index(b"\r\n\r\n") + 4
            assert is_partly_sent is (unsent > 0)
            assert len(received) <= head_bytes + LARGE_REQUEST_BYTES - unsent  # none came after the end

    run()


@pytest.mark.parametrize("is_partly_sent", [True, False])
def test_a_request_that_must_not_run_twice_is_retried_only_if_its_last_byte_was_not_sent(
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
            connection, backend_end = await backends.partly_sent(server)
            if not is_partly_sent:
                await read_while_unsent(backend_end, connection)
            reset(backend_end)
            if is_partly_sent:
                backend_end = await backends.accept()
                connection = await backends.stuck_connection(server)
                await read_while_unsent(backend_end, connection)
                backend_end.send(make_response())
            assert await read_status(backends.client) == ("200" if is_partly_sent else "502")

    run()


def reset_behind_the_look(connection: UpstreamConnection, writer: asyncio.StreamWriter) -> None:
    """The backend resets this connection between the look at its socket and the next request."""
    is_clean = connection.is_clean

    def look_then_reset() -> bool:
        seen = is_clean()
        descriptor = writer.get_extra_info("socket").fileno()
        with socket.socket(fileno=os.dup(descriptor)) as backend_end:
            backend_end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            os.close(descriptor)
        return seen

    connection.is_clean = look_then_reset  # type: ignore[method-assign]


@uvloop_test
async def test_a_request_written_to_a_connection_just_reset_never_ran() -> None:
    """An idle connection is reset after the last look at it, and a request is written to it. Taken for one
    that may have run, a request that must not run twice would fail, though no backend ever had it."""
    script = ScriptedDecider(forward_all)
    async with running_server_with_backend(script) as (server, backend):
        pool = server.pool
        pool.reuse.quarantine_s = NO_QUARANTINE_S
        (client, to_proxy), (_, writer) = await forward(server, backend)
        writer.write(make_response())
        await read_message(client)
        [idle] = pool.idle[b"s-1"]
        reset_behind_the_look(idle, writer)
        to_proxy.write(make_request(trace="a2"))
        assert await outcomes(script, 2) == [Outcome.OK, Outcome.NOT_CONNECTED]


async def served_on_small_buffers(server: RunningServer, backends: SmallBufferBackends) -> socket.socket:
    """A first request is served; the backend's end of its connection, which is idle now."""
    backends.connect_for(server)
    client, to_proxy = await server.connect_client()
    to_proxy.write(make_request())
    backend_end = await backends.accept()
    await backends.loop.sock_recv(backend_end, FIRST_REQUEST_MAX_BYTES)
    backend_end.send(make_response())
    await read_message(client)
    return backend_end


@uvloop_test
async def test_a_response_sent_before_the_request_had_arrived_is_not_its_response() -> None:
    """A backend's late second response to an earlier request comes on a connection that is used again. The
    kernel has the new request whole, and the backend has not acknowledged it, so it has not read it."""
    script = ScriptedDecider(forward_all)
    backends = SmallBufferBackends()
    async with running_server(script, known=backends.known) as server:
        pool = server.pool
        pool.reuse.quarantine_s = NO_QUARANTINE_S
        backend_end = await served_on_small_buffers(server, backends)
        connection, _ = await backends.partly_sent(server, backend_end)
        pool.reuse.quarantine_s = 1e6  # late bytes may show for as long
        await read_while_unsent(backend_end, connection)
        backend_end.send(make_response(200, b"late"))
        assert await read_status(backends.client) == "502"
        assert (await script.wait_for(AttemptEnded, 2))[1].outcome is Outcome.CONNECTION_LOST
        assert pool.reuse.endpoint_quarantine_s

"""Tests of clients that leave with much unsent or unread, and of requests that come again after that."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

import pytest

from tests.client_side import (
    CONCURRENCY_1_SETTINGS,
    close,
    connect_clients,
    only_connection,
    pipelined_requests,
    reset,
)
from tests.loopback import (
    ScriptedDecider,
    forward_all,
    leave_pending,
    make_request,
    make_response,
    read_message,
    read_status,
    running_server,
    running_server_with_backend,
    uvloop_test,
    wait_until,
)
from tests.upstream_side import next_request
from yardlane.decisions.events import RequestArrived, RequestEnded
from yardlane.proxy.client_connection import MAX_PENDING_REQUESTS
from yardlane.proxy.client_reader import MAX_BACKLOG_BYTES
from yardlane.proxy.client_state import ClientState

BODY_BYTES = 60_000
# More than the kernel holds for a receiver that does not read.
UNREAD_BYTES = 8_000_000
BLOCKED_ITERATIONS = 200


def large_request(number: int) -> bytes:
    """Return a request with a large body and a trace id of its own."""
    request = make_request("file", f"a{number}", Content_Length=str(BODY_BYTES), X_Expires_In="60000m")
    return request + bytes(BODY_BYTES)


async def send_until_blocked(client_socket: socket.socket, data: bytes) -> None:
    """Send until all is sent, or the receiver has not made room for many iterations of the event loop."""
    view = memoryview(data)
    blocked_iterations = 0
    while view and blocked_iterations < BLOCKED_ITERATIONS:
        sent_bytes = 0
        with suppress(BlockingIOError, ConnectionError):
            sent_bytes = client_socket.send(view)
        view = view[sent_bytes:]
        blocked_iterations = 0 if sent_bytes else blocked_iterations + 1
        await asyncio.sleep(0)


@uvloop_test
async def test_request_of_a_client_that_left_with_much_unread_is_not_forwarded() -> None:
    """A client sends many large requests, which wait for a request of another client, and leaves.

    Reading was paused while four requests were pending. The end of the connection came behind the unread
    bytes, so it was not noticed, and a request was forwarded when its turn came, long after its client had
    left.
    """
    async with running_server_with_backend(settings=CONCURRENCY_1_SETTINGS) as (server, backend):
        first, to_first = await server.connect_client()
        to_first.write(make_request(trace="first"))
        reader, writer = await backend.accept_connection()
        assert (await read_message(reader))[1]["x-trace-id"] == "first"
        leaving = socket.create_connection(("127.0.0.1", server.clients.port()))
        leaving.setblocking(False)
        data = b"".join(large_request(number) for number in range(UNREAD_BYTES // BODY_BYTES))
        await send_until_blocked(leaving, data)
        leaving.close()
        for _ in range(BLOCKED_ITERATIONS):
            await asyncio.sleep(0)
        writer.write(make_response())
        assert await read_status(first) == "200"
        to_first.write(make_request(trace="later"))
        assert (await next_request(backend, (reader, writer)))[0] == "later"
        assert server.open_request_count == 1


@pytest.mark.parametrize("leave", [close, reset])
def test_client_that_leaves_while_requests_are_pending_is_noticed_at_once(
    leave: Callable[[asyncio.StreamWriter], None],
) -> None:
    """A client sends as many requests as may be pending, and a part of another, and leaves.

    It was noticed only by the timeout check, up to 0.2 s later.
    """

    @uvloop_test
    async def run() -> None:
        script = ScriptedDecider(leave_pending)
        async with running_server(script) as server:
            server.clients.check_all_timeouts = lambda: None  # type: ignore[method-assign]
            _, writer = await server.connect_client()
            writer.write(pipelined_requests(MAX_PENDING_REQUESTS))
            await script.wait_for(RequestArrived, MAX_PENDING_REQUESTS)
            writer.write(make_request(trace="b")[:40])
            await wait_until(lambda: only_connection(server).reader.backlog)
            leave(writer)
            await script.wait_for(RequestEnded, MAX_PENDING_REQUESTS)
            assert not server.open_request_count

    run()


@uvloop_test
async def test_requests_beyond_the_backlog_are_refused_and_the_connection_closes() -> None:
    """A client goes on sending while four requests are pending. Holding all of it would fill the memory."""
    async with running_server(ScriptedDecider(leave_pending)) as server:
        [(reader, writer)] = await connect_clients(server, 1)
        connection = only_connection(server)
        writer.write(pipelined_requests(MAX_PENDING_REQUESTS))
        await wait_until(lambda: len(connection.pending) == MAX_PENDING_REQUESTS)
        connection.data_received(bytes(MAX_BACKLOG_BYTES))
        states = [connection.state]
        assert server.clients.memory.buffered_bytes >= MAX_BACKLOG_BYTES
        connection.data_received(b"x")
        assert [*states, connection.state] == [ClientState.OPEN, ClientState.ERROR_PENDING]
        assert server.clients.memory.buffered_bytes == 0 and not connection.reader.backlog
        for request_id in list(server.proxy.requests):
            server.proxy.fail_request(request_id)
        statuses = [await read_status(reader) for _ in range(MAX_PENDING_REQUESTS + 1)]
        assert statuses == ["500"] * MAX_PENDING_REQUESTS + ["503"]
        assert await reader.read() == b""


@uvloop_test
async def test_requests_read_ahead_are_served_in_order_once_others_have_ended() -> None:
    """A client sends more requests than may be pending, in several reads. All of them must be answered."""
    script = ScriptedDecider(leave_pending)
    async with running_server(script) as server:
        reader, writer = await server.connect_client()
        writer.write(pipelined_requests(MAX_PENDING_REQUESTS))
        await script.wait_for(RequestArrived, MAX_PENDING_REQUESTS)
        connection = only_connection(server)
        writer.write(make_request(trace="b0"))
        await wait_until(lambda: connection.reader.backlog)
        server.proxy.fail_request(2)  # is answered, and waits for the first
        await asyncio.sleep(0)
        assert connection.reader.backlog
        server.proxy.fail_request(1)
        await script.wait_for(RequestArrived, MAX_PENDING_REQUESTS + 1)
        for request_id in (3, 4, 5):
            server.proxy.fail_request(request_id)
        assert [await read_status(reader) for _ in range(5)] == ["500"] * 5


@uvloop_test
async def test_trace_id_stays_open_while_an_attempt_of_its_request_is_in_flight() -> None:
    """A client leaves while its request runs at a backend, and the same request comes on a new connection.

    Its trace id was released when the client left, so the request was sent again and ran twice.
    """
    async with running_server_with_backend(ScriptedDecider(forward_all)) as (server, backend):
        _, to_server = await server.connect_client()
        to_server.write(make_request("file", "again"))
        backend_reader, backend_writer = await backend.accept_connection()
        assert (await read_message(backend_reader))[1]["x-trace-id"] == "again"
        [request] = server.proxy.requests.values()
        to_server.transport.abort()
        await wait_until(lambda: request.has_ended)
        assert (await server.fetch(make_request("file", "again")))[0].split()[1] == "409"
        assert backend.accepted.empty()
        backend_writer.write(make_response())
        await wait_until(lambda: not server.proxy.open_trace_ids)
        _, to_server = await server.connect_client()
        to_server.write(make_request("file", "again"))
        assert (await next_request(backend, (backend_reader, backend_writer)))[0] == "again"

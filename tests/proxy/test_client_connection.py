"""Tests that each request on a connection gets one response, in order, and that closing loses no response."""

import asyncio
import gc
import weakref

import pytest

from tests.client_side import ManualClock, connect_clients, only_connection, pipelined_requests
from tests.loopback import (
    HEALTH_CHECK,
    ScriptedDecider,
    leave_pending,
    make_request,
    make_response,
    read_message,
    read_status,
    read_until_closed,
    reject_all,
    running_server,
    uvloop_test,
    wait_until,
)
from yardlane.decisions.actions import Action, Reject
from yardlane.decisions.events import Event, RequestArrived
from yardlane.proxy.client_connection import (
    MAX_EXCESS_REQUESTS,
    MAX_PENDING_REQUESTS,
    MAX_REQUESTS_PER_READ,
    REQUEST_TIMEOUT_S,
)
from yardlane.proxy.client_state import ClientState

TOO_LARGE_REQUEST = make_request("file", Content_Length="4000000") + b"x" * 4_000_000


def test_make_response_writes_status_body_and_extra_headers() -> None:
    """Many tests build their backend's response with `make_response`. If it wrote a different response than
    the test asks for, these tests would check something other than they state."""
    assert make_response(204, b"", "A: b\r\n") == b"HTTP/1.1 204 X\r\nContent-Length: 0\r\nA: b\r\n\r\n"


@uvloop_test
async def test_pipelined_requests_are_answered_once_and_in_order() -> None:
    """The decider answers three pipelined requests in reverse order. Each response must wait until all
    earlier requests have been answered."""
    arrived: list[int] = []

    def reject_in_reverse_order(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            arrived.append(event.request_id)
        return [Reject(n, n * 1000) for n in reversed(arrived)] if len(arrived) == 3 else []

    async with running_server(ScriptedDecider(reject_in_reverse_order)) as server:
        reader, writer = await server.connect_client()
        writer.write(make_request(trace="1") + make_request(trace="2") + make_request(trace="3"))
        retry_after = [(await read_message(reader))[1]["retry-after"] for _ in range(3)]
        assert retry_after == ["0.001", "0.002", "0.003"]
        writer.write(HEALTH_CHECK)  # its response must come next
        assert await read_status(reader) == "503"


@uvloop_test
async def test_excess_requests_of_one_read_are_rejected() -> None:
    """One read brings more requests than `MAX_PENDING_REQUESTS`. A read is parsed to its end, so each of the
    excess requests must be answered with 503."""
    script = ScriptedDecider(leave_pending)
    async with running_server(script) as server:
        reader, writer = await server.connect_client()
        writer.write(pipelined_requests(MAX_PENDING_REQUESTS + 20))
        await script.wait_for(RequestArrived, MAX_PENDING_REQUESTS)
        connection = only_connection(server)
        while len(connection.pending) < MAX_PENDING_REQUESTS + 20:
            await asyncio.sleep(0)
        assert len(server.proxy.requests) == MAX_PENDING_REQUESTS
        for request_id in list(server.proxy.requests):
            server.proxy.apply(Reject(request_id))
        statuses = [await read_status(reader) for _ in range(MAX_PENDING_REQUESTS + 20)]
        assert statuses == ["429"] * MAX_PENDING_REQUESTS + ["503"] * 20


@uvloop_test
async def test_too_many_pipelined_requests_close_the_connection() -> None:
    """A client sends hundreds of requests at once. The requests and their responses must not fill the memory,
    so the connection must close after a limited number of responses."""
    async with running_server(ScriptedDecider(reject_all)) as server:
        reader, writer = await server.connect_client()
        writer.write(pipelined_requests(600))
        responses = await read_until_closed(reader)
        assert 0 < responses.count(b"HTTP/1.1 ") <= 2 * (MAX_PENDING_REQUESTS + MAX_EXCESS_REQUESTS)


@pytest.mark.parametrize(
    "request_bytes",
    [b"GET / HTTP/1.1\r\n\r\n", make_request(Plan="unheard-of"), HEALTH_CHECK],
    ids=["not a request of the protocol", "invalid", "health check"],
)
def test_many_requests_that_are_answered_at_once_close_the_connection(request_bytes: bytes) -> None:
    """A client sends hundreds of small requests at once, each of which is answered before the next is read.

    They are never pending, so no limit applied: one read blocked the event loop for 0.08 s, and the
    responses took several times the memory of the read if the client did not read them."""

    @uvloop_test
    async def run() -> None:
        async with running_server(ScriptedDecider(leave_pending)) as server:
            [(reader, writer)] = await connect_clients(server, 1)
            connection = only_connection(server)
            connection.data_received(request_bytes * 600)
            await wait_until(lambda: connection.state is ClientState.CLOSING)
            responses = await read_until_closed(reader)
            assert responses.count(b"HTTP/1.1 ") == MAX_REQUESTS_PER_READ + 1
            assert responses.endswith(b"too many requests at once\n")
            writer.close()

    run()


@uvloop_test
async def test_client_that_is_still_sending_receives_the_error_response() -> None:
    """Closing a socket with unread bytes resets the connection, and the client could lose the response that
    tells it why its request was rejected."""
    async with running_server(ScriptedDecider(leave_pending)) as server:
        reader, writer = await server.connect_client()
        writer.write(TOO_LARGE_REQUEST)
        assert await read_status(reader) == "413"
        assert await reader.read() == b""


@uvloop_test
async def test_draining_does_not_close_a_closing_connection_again() -> None:
    """A client is still sending when its last response is written, and the proxy then closes all idle
    connections. Closing this one again with unread bytes would reset it, and the client would lose the
    response."""
    async with running_server(ScriptedDecider(leave_pending)) as server:
        clients = server.clients
        reader, writer = await server.connect_client()
        writer.write(TOO_LARGE_REQUEST)
        while not any(connection.state is ClientState.CLOSING for connection in clients.connections):
            await asyncio.sleep(0)
        clients.close_idle_connections()
        connection = only_connection(server)
        assert connection.transport is not None and not connection.transport.is_closing()
        assert await read_status(reader) == "413"
        assert await reader.read() == b""


@uvloop_test
async def test_partial_request_after_the_last_one_does_not_time_out_pending_requests() -> None:
    """While draining, the second request is answered, so the connection will close after its response. Part
    of a third request has arrived and is never completed. Its timeout must not end the first request, which
    is still pending."""
    script = ScriptedDecider(leave_pending)
    async with running_server(script) as server:
        clients = server.clients
        reader, writer = await server.connect_client()
        writer.write(make_request(trace="a") + make_request(trace="b") + make_request(trace="c")[:-4])
        await script.wait_for(RequestArrived, 2)
        clients.is_draining = True
        server.proxy.apply(Reject(2))
        ManualClock(clients, clients.loop_time_s()).advance(REQUEST_TIMEOUT_S + 0.1)
        server.proxy.apply(Reject(1))
        assert [await read_status(reader) for _ in range(2)] == ["429", "429"]
        assert await reader.read() == b""


@pytest.mark.parametrize(
    "sent",
    [b"", make_request()[:40], b"noise\r\n\r\n", make_request(Plan="unheard-of") + make_request()[:40]],
)
def test_closed_connection_leaves_no_reference_cycle(sent: bytes) -> None:
    """The parser, the connection and exceptions refer to each other. A reference cycle would keep them in
    memory until the garbage collector runs, and its pauses grow with the number of objects to collect."""

    @uvloop_test
    async def run() -> None:
        async with running_server(ScriptedDecider(leave_pending)) as server:
            gc.disable()
            try:
                [(_, writer)] = await connect_clients(server, 1)
                connection = weakref.ref(only_connection(server))
                writer.write(sent)
                await asyncio.sleep(0.01)  # lets the proxy read the bytes
                writer.transport.abort()
                while connection() is not None:
                    await asyncio.sleep(0)
            finally:
                gc.enable()

    run()

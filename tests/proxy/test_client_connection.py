"""Answers of a connection: in order, one for each request, and not lost at the connection's end."""

import asyncio
import gc
import weakref

import pytest

from tests.client_side import ManualClock, connect, only_connection, pipeline
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
)
from yardlane.decisions.actions import Action, Reject
from yardlane.decisions.events import Event, RequestArrived
from yardlane.proxy.client_connection import MAX_PIPELINED, MAX_REJECTED_PIPELINED, REQUEST_TIMEOUT_S
from yardlane.proxy.client_state import ClientState

TOO_LARGE = make_request("file", Content_Length="4000000") + b"x" * 4_000_000


def test_the_test_peers_write_the_response_they_are_asked_for() -> None:
    """A test's own backend writes a response that is not what the test says. Whatever that test shows would
    be shown of something else."""
    assert make_response(204, b"", "A: b\r\n") == b"HTTP/1.1 204 X\r\nContent-Length: 0\r\nA: b\r\n\r\n"


@uvloop_test
async def test_pipelined_requests_are_answered_once_and_in_order() -> None:
    """The decisions answer three requests in the reverse order, and each answer waits for its turn."""
    arrived: list[int] = []

    def reject_last_first(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            arrived.append(event.request_id)
        return [Reject(n, n * 1000) for n in reversed(arrived)] if len(arrived) == 3 else []

    async with running_server(ScriptedDecider(reject_last_first)) as server:
        reader, writer = await server.connect_client()
        writer.write(make_request(trace="1") + make_request(trace="2") + make_request(trace="3"))
        retry_after = [(await read_message(reader))[1]["retry-after"] for _ in range(3)]
        assert retry_after == ["0.001", "0.002", "0.003"]
        writer.write(HEALTH_CHECK)  # nothing stands between
        assert await read_status(reader) == "503"


@uvloop_test
async def test_the_pipelining_limit_holds_within_one_read() -> None:
    """More requests come in one read than a connection may have pending: the others are rejected at once."""
    script = ScriptedDecider(leave_pending)
    async with running_server(script) as server:
        reader, writer = await server.connect_client()
        writer.write(pipeline(MAX_PIPELINED + 20))
        await script.wait_for(RequestArrived, MAX_PIPELINED)
        connection = only_connection(server)
        while len(connection.pending) < MAX_PIPELINED + 20:
            await asyncio.sleep(0)
        assert len(server.proxy.requests) == MAX_PIPELINED
        for request_id in list(server.proxy.requests):
            server.proxy.apply(Reject(request_id))
        statuses = [await read_status(reader) for _ in range(MAX_PIPELINED + 20)]
        assert statuses == ["429"] * MAX_PIPELINED + ["503"] * 20


@uvloop_test
async def test_hundreds_of_pipelined_requests_end_the_connection() -> None:
    """A client writes hundreds of requests without reading: their answers must not fill the memory."""
    async with running_server(ScriptedDecider(reject_all)) as server:
        reader, writer = await server.connect_client()
        writer.write(pipeline(600))
        answers = await read_until_closed(reader)
        assert 0 < answers.count(b"HTTP/1.1 ") <= 2 * (MAX_PIPELINED + MAX_REJECTED_PIPELINED)


@uvloop_test
async def test_a_client_still_sending_can_read_why_it_was_rejected() -> None:
    """A close with bytes unread resets the connection and may take the answer along."""
    async with running_server(ScriptedDecider(leave_pending)) as server:
        reader, writer = await server.connect_client()
        writer.write(TOO_LARGE)
        assert await read_status(reader) == "413"
        assert await reader.read() == b""


@uvloop_test
async def test_draining_does_not_close_a_connection_that_is_already_closing() -> None:
    """A client still sends as its last answer is written, and the proxy closes idle connections.

    A second close with bytes unread would reset the connection, and the answer would be lost.
    """
    async with running_server(ScriptedDecider(leave_pending)) as server:
        clients = server.clients
        reader, writer = await server.connect_client()
        writer.write(TOO_LARGE)
        while not any(connection.state is ClientState.CLOSING for connection in clients.connections):
            await asyncio.sleep(0)
        clients.close_idle()
        connection = only_connection(server)
        assert connection.transport is not None and not connection.transport.is_closing()
        assert await read_status(reader) == "413"
        assert await reader.read() == b""


@uvloop_test
async def test_a_partial_request_behind_the_last_one_does_not_end_those_ahead() -> None:
    """While draining, the answer to the second request is to be the last, with half a third one behind it.

    The half is never completed. Its timeout must not end the first request, which is still pending.
    """
    script = ScriptedDecider(leave_pending)
    async with running_server(script) as server:
        clients = server.clients
        reader, writer = await server.connect_client()
        writer.write(make_request(trace="a") + make_request(trace="b") + make_request(trace="c")[:-4])
        await script.wait_for(RequestArrived, 2)
        clients.is_draining = True
        server.proxy.apply(Reject(2))
        ManualClock(clients, clients.now()).advance(REQUEST_TIMEOUT_S + 0.1)
        server.proxy.apply(Reject(1))
        assert [await read_status(reader) for _ in range(2)] == ["429", "429"]
        assert await reader.read() == b""


@pytest.mark.parametrize(
    "sent",
    [b"", make_request()[:40], b"noise\r\n\r\n", make_request(Plan="unheard-of") + make_request()[:40]],
)
def test_a_closed_connection_leaves_nothing_for_the_garbage_collector(sent: bytes) -> None:
    """Parser, connection and errors refer to each other.

    Left as a cycle they stay until the collector runs, whose pauses grow with all that waits for it.
    """

    @uvloop_test
    async def run() -> None:
        async with running_server(ScriptedDecider(leave_pending)) as server:
            gc.disable()
            try:
                [(_, writer)] = await connect(server, 1)
                connection = weakref.ref(only_connection(server))
                writer.write(sent)
                await asyncio.sleep(0.01)  # the proxy reads it
                writer.transport.abort()
                while connection() is not None:
                    await asyncio.sleep(0)
            finally:
                gc.enable()

    run()

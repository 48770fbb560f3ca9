"""Tests of the limit on the bytes that all clients together make the process hold."""

import asyncio

import pytest

from tests.client_side import LARGE_BODY, limit_send_buffer, only_connection
from tests.loopback import (
    FakeServer,
    ScriptedDecider,
    forward_all,
    leave_pending,
    make_request,
    make_response,
    read_message,
    read_status,
    reject_all,
    running_server,
    running_server_with_backend,
    uvloop_test,
    wait_until,
)
from yardlane.decisions.events import RequestArrived
from yardlane.proxy.client_memory import (
    COPIES_OF_PENDING_REQUEST,
    MIN_BYTES,
    RESERVED_BYTES,
    ClientMemory,
    ClientMemoryLimits,
    client_memory_limits,
)
from yardlane.units import BYTES_PER_MB

BODY_BYTES = 30_000
HEADS_BYTES = 2000  # more than the heads of two requests
LARGE_REQUEST = make_request("file", Content_Length=str(BODY_BYTES)) + b"x" * BODY_BYTES


class RecordingHolder:
    """Records how it has been told to free memory."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def refuse_unfinished_request(self) -> None:
        self.calls.append("refuse")

    def abort(self) -> None:
        self.calls.append("abort")


def test_oldest_holders_are_closed_until_the_sum_is_within_the_limit(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Hundreds of clients stop half way through a request: each is within its limits, and the sum is not."""
    memory = ClientMemory(ClientMemoryLimits(100, 0))
    holders = [RecordingHolder() for _ in range(4)]
    for holder in holders:
        memory.set_unfinished(holder, 20)
    memory.set_unfinished(holders[0], 40)  # grows and stays the oldest
    assert memory.buffered_bytes == 100 and not any(holder.calls for holder in holders)
    memory.set_unfinished(holders[3], 50)
    assert [holder.calls for holder in holders] == [["refuse"], [], [], []]
    assert caplog.messages == [
        "130 bytes are buffered for clients, at most 100 are allowed; refusing the oldest unfinished request"
    ]
    assert memory.buffered_bytes == 90
    memory.set_unfinished(holders[0], 0)
    memory.set_unfinished(holders[1], 110)
    assert [holder.calls for holder in holders] == [["refuse"], ["refuse"], [], []]
    assert memory.buffered_bytes == 70


def test_clients_that_do_not_read_are_closed_before_unfinished_requests() -> None:
    memory = ClientMemory(ClientMemoryLimits(100, 0))
    reader = RecordingHolder()
    writer = RecordingHolder()
    memory.set_unfinished(writer, 60)
    memory.set_unsent(reader, 60)
    assert (reader.calls, writer.calls, memory.buffered_bytes) == (["abort"], [], 60)


def test_pending_requests_are_refused_beyond_the_limit() -> None:
    memory = ClientMemory(ClientMemoryLimits(0, COPIES_OF_PENDING_REQUEST * 10_000))
    assert memory.add_pending(10_000) == COPIES_OF_PENDING_REQUEST * 10_000
    assert memory.add_pending(10_000) is None
    memory.remove_pending(COPIES_OF_PENDING_REQUEST * 10_000)
    assert memory.pending_bytes == 0
    assert memory.add_pending(10_000) is not None


@pytest.mark.parametrize("limit_mb", [1, 80, 192, 2048])
def test_clients_get_a_part_of_the_memory_limit(limit_mb: int) -> None:
    limits = client_memory_limits(limit_mb)
    assert min(limits) >= MIN_BYTES
    assert sum(limits) <= max(2 * MIN_BYTES, (limit_mb * BYTES_PER_MB - RESERVED_BYTES) * 0.6)


@uvloop_test
async def test_oldest_unfinished_request_is_refused_and_the_others_are_served() -> None:
    """Clients stop within large requests. The oldest gets its answer, and the others can go on."""
    async with running_server(ScriptedDecider(reject_all)) as server:
        memory = server.clients.memory
        # Two requests, and the third read while it is being parsed.
        memory.limits = ClientMemoryLimits(3 * BODY_BYTES + HEADS_BYTES, memory.limits.pending_bytes)
        clients = [await server.connect_client() for _ in range(3)]
        clients[0][1].write(LARGE_REQUEST[:-1])
        await wait_until(lambda: memory.buffered_bytes >= BODY_BYTES)
        clients[1][1].write(LARGE_REQUEST[:-1])
        await wait_until(lambda: memory.buffered_bytes >= 2 * BODY_BYTES)
        clients[2][1].write(LARGE_REQUEST[:-1])
        assert await read_status(clients[0][0]) == "503"
        assert await clients[0][0].read() == b""
        for reader, writer in clients[1:]:
            writer.write(LARGE_REQUEST[-1:])
            assert await read_status(reader) == "429"
        assert memory.buffered_bytes == 0


@uvloop_test
async def test_large_requests_that_wait_for_backends_are_refused_beyond_the_limit() -> None:
    """Clients send whole large requests while backends hang. Small requests must still be accepted."""
    decider = ScriptedDecider(leave_pending)
    async with running_server(decider) as server:
        memory = server.clients.memory
        max_pending_bytes = COPIES_OF_PENDING_REQUEST * (BODY_BYTES + HEADS_BYTES)
        memory.limits = ClientMemoryLimits(memory.limits.buffered_bytes, max_pending_bytes)
        first = await server.connect_client()
        first[1].write(LARGE_REQUEST)
        await decider.wait_for(RequestArrived)
        line, _, body = await server.fetch(LARGE_REQUEST.replace(b"ab12", b"ab13"))
        assert (line.split()[1], body) == ("503", b"too many large requests at once\n")
        _, to_server = await server.connect_client()
        to_server.write(make_request(trace="a2"))
        await decider.wait_for(RequestArrived, 2)
        first[1].transport.abort()
        await wait_until(lambda: memory.pending_bytes == 0)
        to_server.write(LARGE_REQUEST.replace(b"ab12", b"ab14"))
        await decider.wait_for(RequestArrived, 3)
        assert memory.pending_bytes > 0


@uvloop_test
async def test_request_that_has_ended_keeps_no_copy_while_its_attempt_goes_on() -> None:
    """Clients send large requests and leave; the attempts go on until their deadline. The requests were kept
    as long, although nothing of them is sent any more."""
    async with running_server_with_backend(ScriptedDecider(forward_all)) as (server, backend):
        _, to_server = await server.connect_client()
        to_server.write(LARGE_REQUEST)
        reader, _ = await backend.accept_connection()
        await read_message(reader)
        [request] = server.proxy.requests.values()
        assert len(request.parsed.body) == BODY_BYTES
        to_server.transport.abort()
        await wait_until(lambda: request.has_ended)
        assert not (request.parsed.body or request.parsed.head)
        assert server.clients.memory.pending_bytes == 0


@uvloop_test
async def test_connection_with_unread_responses_is_closed_beyond_the_limit() -> None:
    """Clients send requests and do not read the responses, which then wait in this process."""
    async with running_server_with_backend(ScriptedDecider(forward_all)) as (server, backend):
        memory = server.clients.memory
        reader, to_server = await server.connect_client()
        reader._transport.pause_reading()  # type: ignore[attr-defined]
        await wait_until(lambda: server.clients.connections)
        connection = only_connection(server)
        await wait_until(lambda: connection.transport)
        limit_send_buffer(connection)
        serving = asyncio.ensure_future(serve_large_responses(backend))
        number = 0
        while not connection.is_write_buffer_full:
            number += 1
            to_server.write(make_request(trace=f"a{number}"))
            await asyncio.sleep(0.001)
        assert 0 < memory.buffered_bytes <= memory.limits.buffered_bytes
        memory.limits = ClientMemoryLimits(memory.buffered_bytes - 1, 0)
        memory.set_unfinished(RecordingHolder(), 1)
        assert not server.clients.connections
        assert memory.buffered_bytes == 1
        serving.cancel()


async def serve_large_responses(backend: FakeServer) -> None:
    """Answer one request on each new connection with a large response."""
    while True:
        reader, writer = await backend.accept_connection()
        await read_message(reader)
        writer.write(make_response(200, LARGE_BODY, "Connection: close\r\n"))

"""A request that has its final answer, or whose client has left, is not sent on any more."""

import asyncio
import socket
from collections.abc import Callable

import pytest
import uvloop

from cresspulley.interface import Action, Arrival, AttemptEnded, Event, Fail, RequestEnded, Result, Send
from tests.peers import (
    LateConnections, Peer, Running, Script, answer, ask, member, read_message, running, send_all, socket_test,
    whole_list)


Leave = Callable[[asyncio.StreamWriter], None]


async def nothing_open(door: Running) -> None:
    """All that the request held is given back: its place in the books, its attempts, its descriptors."""
    while door.program.door.requests or door.program.pool.all:
        await asyncio.sleep(0)
    assert door.program.door.unanswered == 0 and not door.program.clients.open_traces


@socket_test
async def test_a_second_copy_still_connecting_when_the_first_is_answered_is_never_written() -> None:
    def twice(event: Event) -> list[Action]:
        return [Send(event.request, s) for s in (b"s-1", b"s-2")] if isinstance(event, Arrival) else []

    script = Script(twice)
    async with Peer() as first, Peer() as second, running(
            script, known=whole_list(member("s-1", first.port), member("s-2", second.port))) as door:
        late = LateConnections(door, second.port)
        client, to_door = await door.client()
        to_door.write(ask())
        reader, writer = await first.connection()
        await read_message(reader)
        writer.write(answer())
        assert (await read_message(client))[0].split()[1] == "200"
        late.go_on.set()
        ends = await script.wait_for(AttemptEnded, 2)
        assert {e.attempt: (e.result, e.ended) for e in ends} == {
            0: (Result.OK, True), 1: (Result.NOT_SENT, True)}
        await door.call(b"GET /_health HTTP/1.1\r\nHost: svc\r\n\r\n")
        assert second.accepted.empty()


@socket_test
async def test_an_attempt_still_connecting_at_the_final_answer_is_never_written() -> None:
    script = Script(send_all)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        late = LateConnections(door, backend.port)
        client, to_door = await door.client()
        to_door.write(ask())
        await late.asked.wait()
        door.program.door._apply(Fail(1))  # the module's time is up
        assert (await read_message(client))[0].split()[1] == "502"
        late.go_on.set()
        assert [e.result for e in await script.wait_for(AttemptEnded)] == [Result.NOT_SENT]
        await nothing_open(door)
        assert backend.accepted.empty()


def close(writer: asyncio.StreamWriter) -> None:
    writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    made = writer.get_extra_info("socket")
    made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")  # close sends a reset
    writer.transport.abort()


def half_close(writer: asyncio.StreamWriter) -> None:
    writer.write_eof()


@pytest.mark.parametrize("leave", [close, reset, half_close])
def test_a_client_that_leaves_while_its_request_connects(leave: Leave) -> None:
    async def run() -> None:
        script = Script(send_all)
        async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
            late = LateConnections(door, backend.port)
            _, to_door = await door.client()
            to_door.write(ask())
            await late.asked.wait()
            leave(to_door)
            await script.wait_for(RequestEnded)
            late.go_on.set()
            assert [e.result for e in await script.wait_for(AttemptEnded)] == [Result.NOT_SENT]
            await nothing_open(door)
            assert backend.accepted.empty()

    async def limited() -> None:
        async with asyncio.timeout(20):
            await run()

    uvloop.run(limited())

"""A request that has its final answer, or whose client has left, is not sent on any more."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import cast

import pytest

from yardlane.decisions.gateway import Gateway
from yardlane.decisions.actions import Action, Fail, StartAttempt
from yardlane.decisions.events import AttemptEnded, Event, Outcome, RequestArrived, RequestEnded
from yardlane.proxy.attempt import Attempt
from yardlane.proxy.client_connection import MAX_PIPELINED, ClientConnection
from tests.loopback import (
    LIMIT,
    DelayedConnections,
    Peer,
    RunningProxy,
    Script,
    answer,
    as_json,
    ask,
    member,
    read_message,
    running,
    send_all,
    settings,
    socket_test,
    whole_list,
)


Leave = Callable[[asyncio.StreamWriter], None]


async def nothing_open(door: RunningProxy) -> None:
    """All that the request held is given back: its place in the books, its attempts, its descriptors."""
    while door.program.door.requests or door.program.pool.connections:
        await asyncio.sleep(0)
    assert door.program.door.unanswered == 0 and not door.program.clients.open_trace_ids


@socket_test
async def test_a_second_copy_still_connecting_when_the_first_is_answered_is_never_written() -> None:
    def twice(event: Event) -> list[Action]:
        return (
            [StartAttempt(event.request_id, s) for s in (b"s-1", b"s-2")]
            if isinstance(event, RequestArrived)
            else []
        )

    script = Script(twice)
    async with (
        Peer() as first,
        Peer() as second,
        running(script, known=whole_list(member("s-1", first.port), member("s-2", second.port))) as door,
    ):
        delayed = DelayedConnections(door, second.port)
        client, to_door = await door.client()
        to_door.write(ask())
        reader, writer = await first.connection()
        await read_message(reader)
        writer.write(answer())
        assert (await read_message(client))[0].split()[1] == "200"
        delayed.may_connect.set()
        ends = await script.wait_for(AttemptEnded, 2)
        assert {e.attempt_index: (e.outcome, e.request_ended) for e in ends} == {
            0: (Outcome.OK, True),
            1: (Outcome.NOT_SENT, True),
        }
        await door.call(b"GET /_health HTTP/1.1\r\nHost: svc\r\n\r\n")
        assert second.accepted.empty()


@socket_test
async def test_an_attempt_still_connecting_at_the_final_answer_is_never_written() -> None:
    script = Script(send_all)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        delayed = DelayedConnections(door, backend.port)
        client, to_door = await door.client()
        to_door.write(ask())
        await delayed.requested.wait()
        door.program.door._apply(Fail(1))  # the module's time is up
        assert (await read_message(client))[0].split()[1] == "502"
        delayed.may_connect.set()
        assert [e.outcome for e in await script.wait_for(AttemptEnded)] == [Outcome.NOT_SENT]
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


def each_way(test: Callable[[Leave], Awaitable[None]]) -> Callable[[Leave], None]:
    """The test for a client that closes, resets, and half-closes."""

    def run(leave: Leave) -> None:
        async def leaving() -> None:
            await test(leave)

        socket_test(leaving)()

    run.__name__ = getattr(test, "__name__", "run")
    return pytest.mark.parametrize("leave", [close, reset, half_close])(run)


@each_way
async def test_a_client_that_leaves_while_its_request_connects(leave: Leave) -> None:
    script = Script(send_all)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        delayed = DelayedConnections(door, backend.port)
        _, to_door = await door.client()
        to_door.write(ask())
        await delayed.requested.wait()
        leave(to_door)
        await script.wait_for(RequestEnded)
        delayed.may_connect.set()
        assert [e.outcome for e in await script.wait_for(AttemptEnded)] == [Outcome.NOT_SENT]
        await nothing_open(door)
        assert backend.accepted.empty()


CAPPED = [{**settings()["packages"][0], "concurrency": 1}]


@each_way
async def test_a_client_that_leaves_while_its_request_is_held_for_a_slot(leave: Leave) -> None:
    async with (
        Peer() as backend,
        running(settings=settings(packages=CAPPED), known=whole_list(member("s-1", backend.port))) as door,
    ):
        gateway = cast(Gateway, door.program.door.decider)
        first, to_first = await door.client()
        to_first.write(ask(trace="first"))
        reader, writer = await backend.connection()
        assert (await read_message(reader))[1]["x-trace-id"] == "first"
        _, to_door = await door.client()
        to_door.write(ask(trace="held"))
        while not any(c.queue for c in gateway.tenants.values()):
            await asyncio.sleep(0)
        leave(to_door)
        while len(door.program.door.requests) > 1:
            await asyncio.sleep(0)
        third, to_third = await door.client()
        to_third.write(ask(trace="third"))
        while not any(c.queue for c in gateway.tenants.values()):
            await asyncio.sleep(0)
        writer.write(answer())  # the slot is free: it is the third one's
        assert (await read_message(first))[0].split()[1] == "200"
        served = [asyncio.ensure_future(read_message(reader)), asyncio.ensure_future(backend.connection())]
        done, _ = await asyncio.wait(served, return_when=asyncio.FIRST_COMPLETED)
        if served[1] in done:  # on a new connection, as the other one has not rested
            reader, writer = served[1].result()  # type: ignore[assignment]
            served[0].cancel()
            message = await read_message(reader)
        else:
            message = served[0].result()  # type: ignore[assignment]
        assert message[1]["x-trace-id"] == "third"
        writer.write(answer())
        assert (await read_message(third))[0].split()[1] == "200"
        while door.program.door.requests:
            await asyncio.sleep(0)
        [tenant] = gateway.tenants.values()
        assert (tenant.in_flight, tenant.queue, gateway.concurrency.in_flight, gateway.requests) == (
            0,
            [],
            0,
            {},
        )


@each_way
async def test_a_client_that_leaves_before_a_further_attempt(leave: Leave) -> None:
    async with (
        Peer() as one,
        Peer() as two,
        running(known=whole_list(member("s-1", one.port), member("s-2", two.port))) as door,
    ):
        gateway = cast(Gateway, door.program.door.decider)
        _, to_door = await door.client()
        to_door.write(ask())
        arrived = {asyncio.ensure_future(p.connection()): p for p in (one, two)}
        done, pending = await asyncio.wait(arrived, return_when=asyncio.FIRST_COMPLETED)
        for task in pending:
            task.cancel()
        [first] = done
        reader, writer = first.result()
        await read_message(reader)
        leave(to_door)
        while door.program.clients.open_trace_ids:
            await asyncio.sleep(0)
        writer.write(answer(503, extra="X-Never-Ran: 1\r\n"))  # it could go on to the other one
        while gateway.requests:
            await asyncio.sleep(0)
        assert gateway.concurrency.in_flight == 0
        await door.call(b"GET /_health HTTP/1.1\r\nHost: svc\r\n\r\n")
        assert one.accepted.empty() and two.accepted.empty()


@each_way
async def test_a_client_that_leaves_a_connection_that_is_read_no_further(leave: Leave) -> None:
    script = Script(lambda event: [])  # the module holds all
    patient = [{**rule, "deadline_us": 60_000_000} for rule in settings()["profiles"]]
    async with running(script, settings=settings(profiles=patient)) as door:
        _, to_door = await door.client()
        to_door.write(b"".join(ask(trace=f"t{n}", X_Expires_In="60000m") for n in range(MAX_PIPELINED)))
        await script.wait_for(RequestArrived, MAX_PIPELINED)
        leave(to_door)
        await script.wait_for(RequestEnded, MAX_PIPELINED)
        await nothing_open(door)


# No attempt begins once the socket tells that the client has left: the sweep does not run, and the loop says
# nothing of a connection that it does not read.


def unswept(door: RunningProxy) -> list[Attempt]:
    """The front door without its sweep; the attempts that it begins or connects for from now on."""
    door.program.clients.reap = lambda: None  # type: ignore[method-assign]
    begun: list[Attempt] = []
    send = door.program.pool.send

    def noted(attempt: Attempt) -> None:
        begun.append(attempt)
        send(attempt)

    door.program.pool.send = noted  # type: ignore[method-assign]
    return begun


async def pipelined(door: RunningProxy) -> asyncio.StreamWriter:
    """A client with so much open that its connection is read no further."""
    _, to_door = await door.client()
    to_door.write(b"".join(ask(trace=f"t{n}") for n in range(MAX_PIPELINED)))
    while len(door.program.door.requests) < MAX_PIPELINED:
        await asyncio.sleep(0)
    return to_door


async def has_left(door: RunningProxy) -> None:
    [client] = door.program.clients.connections
    assert client.transport is not None and not client.transport.is_reading()
    while not client.has_client_left():
        await asyncio.sleep(0)


@each_way
async def test_no_first_attempt_begins_after_the_leaving(leave: Leave) -> None:
    script = Script(lambda event: [])
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        begun = unswept(door)
        leave(await pipelined(door))
        await has_left(door)
        door.program.door._apply(StartAttempt(1, b"s-1"))  # the others of the connection end with it
        assert not begun
        await script.wait_for(RequestEnded, MAX_PIPELINED)
        await nothing_open(door)


@each_way
async def test_no_held_request_gets_a_slot_after_the_leaving(leave: Leave) -> None:
    async with (
        Peer() as backend,
        running(settings=settings(packages=CAPPED), known=whole_list(member("s-1", backend.port))) as door,
    ):
        begun = unswept(door)
        to_door = await pipelined(door)
        reader, writer = await backend.connection()
        await read_message(reader)
        leave(to_door)
        await has_left(door)
        writer.write(answer())
        while door.program.door.requests and len(begun) < 2:
            await asyncio.sleep(0)
        assert [attempt.request_id for attempt in begun] == [1]
        gateway = cast(Gateway, door.program.door.decider)
        while gateway.requests or gateway.concurrency.in_flight:
            await asyncio.sleep(0)


@each_way
async def test_no_further_attempt_begins_after_the_leaving(leave: Leave) -> None:
    def again(event: Event) -> list[Action]:
        if isinstance(event, AttemptEnded) and not event.request_ended:
            return [StartAttempt(event.request_id, b"s-1")]
        return send_all(event)

    script = Script(again)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        begun = unswept(door)
        to_door = await pipelined(door)
        streams = [await backend.connection() for _ in range(MAX_PIPELINED)]
        for reader, _ in streams:
            await read_message(reader)
        leave(to_door)
        await has_left(door)
        for _, writer in streams:
            writer.write(answer(503, extra="X-Never-Ran: 1\r\n"))
        while door.program.door.requests and len(begun) == MAX_PIPELINED:
            await asyncio.sleep(0)
        assert [attempt.attempt_index for attempt in begun] == [0] * MAX_PIPELINED
        await script.wait_for(RequestEnded, MAX_PIPELINED)


@each_way
async def test_nothing_is_written_on_a_connection_that_comes_up_after_the_leaving(leave: Leave) -> None:
    script = Script(send_all)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        unswept(door)
        delayed = DelayedConnections(door, backend.port)
        to_door = await pipelined(door)
        await delayed.requested.wait()
        leave(to_door)
        await has_left(door)
        delayed.may_connect.set()
        reader, _ = await backend.connection()
        assert await began(reader) == b""
        ends = await script.wait_for(AttemptEnded, MAX_PIPELINED)
        assert {(e.outcome, e.request_ended) for e in ends} == {(Outcome.NOT_SENT, True)}
        await script.wait_for(RequestEnded, MAX_PIPELINED)
        await nothing_open(door)
        while not backend.accepted.empty():
            assert await began((await backend.connection())[0]) == b""


async def began(reader: asyncio.StreamReader) -> bytes:
    """The first byte of a request, if one is written."""
    with suppress(ConnectionError):
        return await reader.read(1)
    return b""


async def slow_reader(
    door: RunningProxy, requests: int
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, ClientConnection]:
    """A client that reads no answers for now, over buffers of the kernel that hold far less than one."""
    made = socket.socket()
    made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    made.connect(("127.0.0.1", door.program.clients.port()))
    made.setblocking(False)
    reader, to_door = await asyncio.open_connection(sock=made)
    cast(asyncio.Transport, to_door.transport).pause_reading()
    to_door.write(b"".join(ask(trace=f"t{n}") for n in range(requests)))
    while len(door.program.door.requests) < requests:
        await asyncio.sleep(0)
    [client] = door.program.clients.connections
    assert client.transport is not None
    client.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return reader, to_door, client


def all_but(held: int) -> Script:
    def reply(event: Event) -> list[Action]:
        return [] if isinstance(event, RequestArrived) and event.request_id == held else send_all(event)

    return Script(reply)


@each_way
async def test_no_attempt_begins_after_one_that_reads_no_answers_has_left(leave: Leave) -> None:
    script = all_but(4)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        _, to_door, client = await slow_reader(door, 4)
        for _ in range(3):
            reader, writer = await backend.connection()
            await read_message(reader)
            writer.write(answer(200, b"y" * 60_000))
        while not client.is_write_buffer_full or len(client.pending) > 1:
            await asyncio.sleep(0)
        begun = unswept(door)
        leave(to_door)
        await has_left(door)
        door.program.door._apply(StartAttempt(4, b"s-1"))
        assert not begun
        await script.wait_for(RequestEnded)


@socket_test
async def test_no_attempt_begins_after_a_half_close_while_an_answer_is_still_being_written() -> None:
    script = all_but(2)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        client, to_door, held = await slow_reader(door, 2)
        reader, writer = await backend.connection()
        await read_message(reader)
        writer.write(answer(200, b"y" * 60_000))  # little enough for the connection to be read on
        while len(held.pending) > 1:
            await asyncio.sleep(0)
        begun = unswept(door)
        half_close(to_door)
        await script.wait_for(RequestEnded)  # while the transport still holds the answer
        assert held.transport is not None and held.transport.get_write_buffer_size() > 0
        door.program.door._apply(StartAttempt(2, b"s-1"))
        assert not begun
        cast(asyncio.Transport, to_door.transport).resume_reading()
        assert (await read_message(client))[2] == b"y" * 60_000  # what was answered before is not taken back


@pytest.mark.parametrize(
    "leave", [socket.socket.close, lambda made: made.shutdown(socket.SHUT_WR)], ids=["close", "half_close"]
)
def test_no_attempt_begins_for_a_request_that_comes_together_with_the_leaving(
    leave: Callable[[socket.socket], None],
) -> None:
    @socket_test
    async def run() -> None:
        script = Script(send_all)
        async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
            door.program.pool.reuse.quarantine_s = 0.0
            client, to_door = await door.client()
            to_door.write(ask(trace="first"))
            reader, writer = await backend.connection()
            await read_message(reader)
            writer.write(answer())
            await read_message(client)
            begun = unswept(door)
            with socket.create_connection(("127.0.0.1", door.program.clients.port())) as made:
                made.sendall(ask())
                leave(made)  # in the same turn: the loop has read neither
                assert [e.request_id for e in await script.wait_for(RequestEnded)] == [2]
            assert not begun

    run()


@socket_test
async def test_a_server_told_to_drain_gets_nothing_that_still_connects() -> None:
    def on_to_the_next(event: Event) -> list[Action]:
        if isinstance(event, AttemptEnded) and event.outcome is Outcome.NOT_CONNECTED:
            return [StartAttempt(event.request_id, b"s-2")]
        return send_all(event)

    script = Script(on_to_the_next)
    async with Peer() as one, Peer() as two, Peer() as discovery:
        first, second = member("s-1", one.port), member("s-2", two.port)
        async with running(
            script, known=whole_list(first, second), discovery=f"127.0.0.1:{discovery.port}"
        ) as door:
            door.program.pool.connect_timeout_s = LIMIT
            to_agent, agent = await discovery.connection()
            await read_message(to_agent)
            delayed = DelayedConnections(door, one.port)
            client, to_door = await door.client()
            to_door.write(ask())
            await delayed.requested.wait()
            agent.write(answer(200, as_json(whole_list({**first, "phase": "Terminating"}, second))))
            reader, writer = await two.connection()
            await read_message(reader)
            writer.write(answer())
            assert (await read_message(client))[0].split()[1] == "200"
            delayed.may_connect.set()
            await door.call(b"GET /_health HTTP/1.1\r\nHost: svc\r\n\r\n")
            assert one.accepted.empty()


@socket_test
async def test_a_connection_up_as_its_time_runs_out_serves_what_is_written() -> None:
    script = Script(send_all)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        pool, told = door.program.pool, asyncio.Event()
        pool.connect_timeout_s = 0.05
        delayed = DelayedConnections(door, backend.port)
        delayed.may_connect.set()
        delayed.may_return = told  # the connection is up and used; whoever opened it hears of that later
        client, to_door = await door.client()
        to_door.write(ask())
        reader, writer = await backend.connection()
        await read_message(reader)
        over = delayed.loop.time() + 2 * pool.connect_timeout_s
        while delayed.loop.time() < over:
            await asyncio.sleep(0)
        writer.write(answer())
        assert (await read_message(client))[0].split()[1] == "200"
        told.set()
        assert [e.outcome for e in await script.wait_for(AttemptEnded)] == [Outcome.OK]


@pytest.mark.parametrize("is_timed", [True, False])  # else we stood still, and the timer is not due yet
def test_a_copy_whose_time_is_over_is_never_written(is_timed: bool) -> None:
    # A key holds for so long from the first attempt; this connection takes longer.
    def copy(event: Event) -> list[Action]:
        return (
            [StartAttempt(event.request_id, b"s-1", begin_within_us=30_000)]
            if isinstance(event, RequestArrived)
            else []
        )

    async def run() -> None:
        script = Script(copy)
        patient = [{**rule, "deadline_us": 60_000_000} for rule in settings()["profiles"]]
        async with (
            Peer() as backend,
            running(
                script, known=whole_list(member("s-1", backend.port)), settings=settings(profiles=patient)
            ) as door,
        ):
            door.program.pool.connect_timeout_s = LIMIT
            delayed, clock = DelayedConnections(door, backend.port), door.program.door.clock
            _, to_door = await door.client()
            to_door.write(ask("file", X_Expires_In="60000m"))
            await delayed.requested.wait()
            if is_timed:
                [ended] = await script.wait_for(AttemptEnded)
                assert not ended.request_ended
            else:
                [request] = door.program.door.requests.values()
                assert request.attempts[0].send_by_timer is not None
                request.attempts[0].send_by_timer.cancel()
                clock.offset += 10**9
            delayed.may_connect.set()
            assert [e.outcome for e in await script.wait_for(AttemptEnded)] == [Outcome.NOT_CONNECTED]
            door.program.door._apply(Fail(1))
            await nothing_open(door)
            assert backend.accepted.empty() or not await (await backend.connection())[0].read()

    socket_test(run)()


@socket_test
async def test_a_copy_written_in_time_has_all_its_time() -> None:
    def copy(event: Event) -> list[Action]:
        return (
            [StartAttempt(event.request_id, b"s-1", begin_within_us=1)]
            if isinstance(event, RequestArrived)
            else []
        )

    script = Script(send_all)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        door.program.pool.reuse.quarantine_s = 0.0
        client, to_door = await door.client()
        to_door.write(ask("file"))
        reader, writer = await backend.connection()
        await read_message(reader)
        writer.write(answer())
        await read_message(client)
        script.reply = copy
        to_door.write(ask("file", trace="again"))  # at once on the connection that rests
        await read_message(reader)
        door.program.door.requests[2].attempts[0].on_send_by()  # as its timer comes
        writer.write(answer())
        assert (await read_message(client))[0].split()[1] == "200"

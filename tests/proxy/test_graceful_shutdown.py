"""After SIGTERM: what has come in time is answered, and nothing is cut off that could still be answered."""

import asyncio
import socket

from yardlane.decisions.actions import Reject, StartAttempt
from yardlane.decisions.events import RequestArrived
from yardlane.server import shutdown_timeout_us
from yardlane.proxy.client_state import State
from tests.loopback import (
    Peer,
    RunningProxy,
    Script,
    answer,
    ask,
    config,
    member,
    read_message,
    running,
    send_all,
    settings,
    socket_test,
    whole_list,
)


async def closed_to_new(door: RunningProxy) -> None:
    while door.program.clients.listener.socket is not None:
        await asyncio.sleep(0.001)


def test_all_is_answered_before_sigkill_whatever_the_deadlines() -> None:
    def all_answered(*deadlines: int) -> int:
        [look, file] = settings()["profiles"]
        classes = [{**look, "name": f"c{n}", "deadline_us": d} for n, d in enumerate(deadlines)] + [
            {**file, "deadline_us": 100_000}
        ]
        return shutdown_timeout_us(config(settings=settings(profiles=classes)).settings)

    # SIGKILL comes 0.7 s after the longest deadline, of which 3 s count at most; 0.3 s are left to write.
    assert all_answered(900_000) == 900_000 + 400_000
    assert all_answered(250_000, 1_200_000) == 1_200_000 + 400_000
    assert all_answered(30_000_000) == 3_000_000 + 400_000


@socket_test
async def test_what_a_hung_backend_leaves_open_is_answered_by_then() -> None:
    brief = [{**c, "deadline_us": 200_000} for c in settings()["profiles"]]
    script = Script(
        lambda event: [StartAttempt(event.request_id, b"s-1")] if isinstance(event, RequestArrived) else []
    )
    async with (
        Peer() as backend,
        running(
            script, settings=settings(profiles=brief), known=whole_list(member("s-1", backend.port))
        ) as door,
    ):
        client, to_door = await door.client()
        to_door.write(ask()[:40])
        while not door.program.clients.has_pending_work():
            await asyncio.sleep(0)
        door.program.shut_down()
        door.program.proxy._end_all()
        await closed_to_new(door)
        to_door.write(ask()[40:])  # the whole request comes after all has been answered once
        await backend.connection()  # and hangs there
        assert (await read_message(client))[0].split()[1] == "500"
        await door.program.stopped.wait()


@socket_test
async def test_a_request_still_being_read_is_waited_for() -> None:
    script = Script(send_all)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        client, to_door = await door.client()
        to_door.write(ask()[:-4])
        while not door.program.clients.has_pending_work():
            await asyncio.sleep(0)
        door.program.shut_down()
        await closed_to_new(door)
        assert not door.program.stopped.is_set()  # nothing is open at the door, but half a request is here
        to_door.write(ask()[-4:])
        reader, writer = await backend.connection()
        await read_message(reader)
        writer.write(answer())
        line, headers, _ = await read_message(client)
        assert (line.split()[1], headers["connection"]) == ("200", "close")
        await door.program.stopped.wait()


@socket_test
async def test_a_connection_that_came_last_may_still_ask() -> None:
    script = Script(send_all)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        client, to_door = await door.client()
        door.program.shut_down()
        await closed_to_new(door)
        to_door.write(ask())
        reader, writer = await backend.connection()
        await read_message(reader)
        writer.write(answer())
        assert (await read_message(client))[0].split()[1] == "200"
        await door.program.stopped.wait()


@socket_test
async def test_connections_that_wait_to_be_accepted_are_taken_in_before_listening_ends() -> None:
    script = Script(send_all)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        place = ("127.0.0.1", door.program.clients.port())
        waiting = [socket.create_connection(place) for _ in range(20)]  # more than one turn accepts
        for n, made in enumerate(waiting):
            made.sendall(ask(trace=f"t{n}"))
        door.program.clients.stop_listening()  # in the same turn: the loop has accepted none of them yet
        for _ in waiting:
            reader, writer = await backend.connection()
            await read_message(reader)
            writer.write(answer())
        for made in waiting:
            made.setblocking(False)
            assert (await asyncio.get_running_loop().sock_recv(made, 100)).startswith(b"HTTP/1.1 200 ")
            made.close()


@socket_test
async def test_answers_are_not_reset_away_by_requests_that_are_read_no_further() -> None:
    script = Script(send_all)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        reader, writer = await door.client()
        writer.write(b"".join(ask(trace=f"t{n}") for n in range(4)))  # the most that one connection has open
        streams = [await backend.connection() for _ in range(4)]
        writer.write(b"x" * 200_000)  # left unread
        await writer.drain()
        door.program.clients.is_draining = True
        for to_backend, backend_writer in streams:
            await read_message(to_backend)
            backend_writer.write(answer(200, b"y" * 60_000))
        for _ in range(4):
            assert (await read_message(reader))[2] == b"y" * 60_000


@socket_test
async def test_a_last_answer_worded_before_the_end_closes_its_connection_too() -> None:
    script = Script(lambda event: [])
    async with running(script) as door:
        reader, writer = await door.client()
        writer.write(ask(trace="a") + ask(trace="b"))
        await script.wait_for(RequestArrived, 2)
        door.program.proxy.apply(Reject(2))  # waits behind the first one's
        door.program.clients.is_draining = True
        door.program.proxy.apply(Reject(1))
        for _ in range(2):
            assert (await read_message(reader))[0].split()[1] == "429"
        side = door.program.clients
        assert all(client.state is State.CLOSING for client in side.connections)  # at once, not once idle
        assert await reader.read() == b""


@socket_test
async def test_the_end_waits_for_a_client_that_still_reads_its_answer() -> None:
    body = b"y" * 60_000
    script = Script(send_all)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        with socket.socket() as made:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)  # far less than the answer
            made.connect(("127.0.0.1", door.program.clients.port()))
            made.setblocking(False)
            made.sendall(ask())
            reader, writer = await backend.connection()
            await read_message(reader)
            [client] = door.program.clients.connections
            assert client.transport is not None
            client.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            door.program.clients.is_draining = True
            writer.write(answer(200, body))
            while client.state is not State.CLOSING:
                await asyncio.sleep(0)
            assert (
                door.program.clients.has_pending_work()
            )  # the answer is worded, but the most of it is still here
            got = b""
            while not got.endswith(body):
                got += await asyncio.get_running_loop().sock_recv(made, 65_536)
            while door.program.clients.has_pending_work():
                await asyncio.sleep(0)

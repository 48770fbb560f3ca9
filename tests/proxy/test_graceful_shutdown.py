"""Graceful shutdown: after SIGTERM, whatever arrives in time is answered before the process ends."""

import asyncio
import socket

from tests.loopback import (
    HEALTH_CHECK,
    FakeServer,
    RunningServer,
    ScriptedDecider,
    endpoint_list_dict,
    forward_all,
    leave_pending,
    make_config,
    make_request,
    make_response,
    member_dict,
    read_message,
    running_server,
    settings_dict,
    uvloop_test,
)
from yardlane.decisions.actions import Reject, StartAttempt
from yardlane.decisions.events import RequestArrived
from yardlane.proxy.client_state import ClientState
from yardlane.server import ACCEPT_AFTER_SIGTERM_S, shutdown_timeout_us

LATEST_NEW_CONNECTION_S = 0.4  # after SIGTERM, by the pages


async def wait_until_listener_closed(server: RunningServer) -> None:
    while server.clients.listener.socket is not None:
        await asyncio.sleep(0.001)


def test_accept_period_after_sigterm_covers_the_latest_new_connection() -> None:
    """A client connects at the last moment that the protocol allows after SIGTERM. Were the listener closed
    by then, its connection would be reset."""
    assert ACCEPT_AFTER_SIGTERM_S > LATEST_NEW_CONNECTION_S


def test_shutdown_timeout_ends_before_sigkill() -> None:
    """SIGKILL comes 0.7 s after the longest deadline, of which 3 s count at most. A request that is open then
    gets no response at all; so every one is answered 0.3 s before."""

    def timeout_us(*deadlines_us: int) -> int:
        [look, file] = settings_dict()["profiles"]
        classes = [{**look, "name": f"c{n}", "deadline_us": d} for n, d in enumerate(deadlines_us)]
        classes.append({**file, "deadline_us": 100_000})
        return shutdown_timeout_us(make_config(settings=settings_dict(profiles=classes)).settings)

    assert timeout_us(900_000) == 900_000 + 400_000
    assert timeout_us(250_000, 1_200_000) == 1_200_000 + 400_000
    assert timeout_us(30_000_000) == 3_000_000 + 400_000


@uvloop_test
async def test_request_completed_after_the_shutdown_timeout_is_answered_with_500() -> None:
    """The end of the shutdown has come and all open requests were answered with 500; then a request arrives
    whose head was being read. Its backend does not answer. It gets its 500 as well."""
    short = [{**c, "deadline_us": 200_000} for c in settings_dict()["profiles"]]
    script = ScriptedDecider(
        lambda event: [StartAttempt(event.request_id, b"s-1")] if isinstance(event, RequestArrived) else []
    )
    async with (
        FakeServer() as backend,
        running_server(
            script,
            settings=settings_dict(profiles=short),
            known=endpoint_list_dict(member_dict("s-1", backend.port)),
        ) as server,
    ):
        client, to_proxy = await server.connect_client()
        to_proxy.write(make_request()[:40])
        while not server.clients.has_pending_work():
            await asyncio.sleep(0)
        server.shut_down()
        server.proxy._end_all()
        await wait_until_listener_closed(server)
        to_proxy.write(make_request()[40:])
        await backend.accept_connection()
        assert (await read_message(client))[0].split()[1] == "500"
        await server.stopped.wait()


@uvloop_test
async def test_shutdown_waits_for_a_request_that_is_still_being_read() -> None:
    """Half a request has arrived as the listener closes. Nothing is in flight, but a response is owed: the
    process must not end before the other half has come and was answered."""
    script = ScriptedDecider(forward_all)
    async with (
        FakeServer() as backend,
        running_server(script, known=endpoint_list_dict(member_dict("s-1", backend.port))) as server,
    ):
        client, to_proxy = await server.connect_client()
        to_proxy.write(make_request()[:-4])
        while not server.clients.has_pending_work():
            await asyncio.sleep(0)
        server.shut_down()
        await wait_until_listener_closed(server)
        assert not server.stopped.is_set()
        to_proxy.write(make_request()[-4:])
        reader, writer = await backend.accept_connection()
        await read_message(reader)
        writer.write(make_response())
        line, headers, _ = await read_message(client)
        assert (line.split()[1], headers["connection"]) == ("200", "close")
        await server.stopped.wait()


@uvloop_test
async def test_first_request_after_the_listener_closed_is_answered() -> None:
    """A client has connected and sends its first request after the listener was closed. Its connection is
    idle, but it was not closed with the other idle ones: its request is answered."""
    script = ScriptedDecider(forward_all)
    async with (
        FakeServer() as backend,
        running_server(script, known=endpoint_list_dict(member_dict("s-1", backend.port))) as server,
    ):
        client, to_proxy = await server.connect_client()
        server.shut_down()
        await wait_until_listener_closed(server)
        to_proxy.write(make_request())
        reader, writer = await backend.accept_connection()
        await read_message(reader)
        writer.write(make_response())
        assert (await read_message(client))[0].split()[1] == "200"
        await server.stopped.wait()


@uvloop_test
async def test_listener_accepts_waiting_connections_before_it_closes() -> None:
    """Many clients have connected, and the kernel holds them until they are accepted. A listener that is
    closed resets them, and their requests with them; so it accepts all of them first."""
    script = ScriptedDecider(forward_all)
    async with (
        FakeServer() as backend,
        running_server(script, known=endpoint_list_dict(member_dict("s-1", backend.port))) as server,
    ):
        address = ("127.0.0.1", server.clients.port())
        waiting = [socket.create_connection(address) for _ in range(20)]  # more than one turn accepts
        for n, connection in enumerate(waiting):
            connection.sendall(make_request(trace=f"t{n}"))
        server.clients.stop_listening()  # in the same turn: the loop has accepted none of them yet
        for _ in waiting:
            reader, writer = await backend.accept_connection()
            await read_message(reader)
            writer.write(make_response())
        for connection in waiting:
            connection.setblocking(False)
            received = await asyncio.get_running_loop().sock_recv(connection, 100)
            assert received.startswith(b"HTTP/1.1 200 ")
            connection.close()


@uvloop_test
async def test_responses_are_not_lost_when_further_bytes_stay_unread() -> None:
    """A connection is closed behind its last response while bytes of further requests wait unread. The kernel
    would answer them by a reset, which discards the responses that the client has not read yet."""
    script = ScriptedDecider(forward_all)
    async with (
        FakeServer() as backend,
        running_server(script, known=endpoint_list_dict(member_dict("s-1", backend.port))) as server,
    ):
        reader, writer = await server.connect_client()
        writer.write(
            b"".join(make_request(trace=f"t{n}") for n in range(4))
        )  # as many as a connection may pipeline
        streams = [await backend.accept_connection() for _ in range(4)]
        writer.write(b"x" * 200_000)  # left unread
        await writer.drain()
        server.clients.is_draining = True
        for to_backend, backend_writer in streams:
            await read_message(to_backend)
            backend_writer.write(make_response(200, b"y" * 60_000))
        for _ in range(4):
            assert (await read_message(reader))[2] == b"y" * 60_000


@uvloop_test
async def test_response_encoded_before_draining_closes_its_connection() -> None:
    """The second of two pipelined requests is answered before the shutdown, the first one after it began. The
    second response goes out last, and its connection must close behind it, not once it was idle for long."""
    script = ScriptedDecider(leave_pending)
    async with running_server(script) as server:
        reader, writer = await server.connect_client()
        writer.write(make_request(trace="a") + make_request(trace="b"))
        await script.wait_for(RequestArrived, 2)
        server.proxy.apply(Reject(2))
        server.clients.is_draining = True
        server.proxy.apply(Reject(1))
        for _ in range(2):
            assert (await read_message(reader))[0].split()[1] == "429"
        connections = server.clients.connections
        assert all(connection.state is ClientState.CLOSING for connection in connections)
        assert await reader.read() == b""


@uvloop_test
async def test_shutdown_waits_until_a_slow_client_has_received_its_response() -> None:
    """A client reads slowly: its response is complete, but most of it is still in our buffers. If the process
    ended now, the rest would be lost."""
    body = b"y" * 60_000
    script = ScriptedDecider(forward_all)
    async with (
        FakeServer() as backend,
        running_server(script, known=endpoint_list_dict(member_dict("s-1", backend.port))) as server,
    ):
        with socket.socket() as slow_client:
            slow_client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)  # far less than the response
            slow_client.connect(("127.0.0.1", server.clients.port()))
            slow_client.setblocking(False)
            slow_client.sendall(make_request())
            reader, writer = await backend.accept_connection()
            await read_message(reader)
            [client] = server.clients.connections
            assert client.transport is not None
            client.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            server.clients.is_draining = True
            writer.write(make_response(200, body))
            while client.state is not ClientState.CLOSING:
                await asyncio.sleep(0)
            assert server.clients.has_pending_work()
            received = b""
            while not received.endswith(body):
                received += await asyncio.get_running_loop().sock_recv(slow_client, 65_536)
            while server.clients.has_pending_work():
                await asyncio.sleep(0)


@uvloop_test
async def test_new_connections_during_shutdown_are_closed_after_one_response() -> None:
    """Clients learn late that a front door drains, and connect to it for a while. Were the listener closed
    at once, they would be refused. Each connection says that it closes, so that its client goes elsewhere."""
    script = ScriptedDecider(forward_all)
    async with (
        FakeServer() as backend,
        running_server(script, known=endpoint_list_dict(member_dict("s-1", backend.port))) as server,
    ):
        idle, to_idle = await server.connect_client()
        to_idle.write(HEALTH_CHECK)
        await read_message(idle)
        client, to_proxy = await server.connect_client()
        to_proxy.write(make_request())
        reader, writer = await backend.accept_connection()
        await read_message(reader)
        server.shut_down()
        await asyncio.sleep(0.05)
        late, to_late = await server.connect_client()
        to_late.write(make_request(trace="a2"))
        late_reader, late_writer = await backend.accept_connection()
        await read_message(late_reader)
        late_writer.write(make_response())
        line, headers, _ = await read_message(late)
        assert (line.split()[1], headers["connection"]) == ("200", "close")
        assert await late.read() == b""
        writer.write(make_response())
        assert (await read_message(client))[1]["connection"] == "close"
        assert await idle.read() == b""
        await server.stopped.wait()


@uvloop_test
async def test_unanswered_request_is_answered_with_500_before_the_shutdown_ends() -> None:
    """A backend hangs as the shutdown begins. Its request is answered with 500 before SIGKILL could come."""
    script = ScriptedDecider(
        lambda event: [StartAttempt(event.request_id, b"s-1")] if isinstance(event, RequestArrived) else []
    )
    async with (
        FakeServer() as backend,
        running_server(script, known=endpoint_list_dict(member_dict("s-1", backend.port))) as server,
    ):
        client, to_proxy = await server.connect_client()
        to_proxy.write(make_request())
        await backend.accept_connection()
        server.shut_down()
        assert (await read_message(client))[0].split()[1] == "500"
        await server.stopped.wait()

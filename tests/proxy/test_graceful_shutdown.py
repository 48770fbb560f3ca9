"""Tests that all requests that arrive in time are answered during the graceful shutdown."""

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

LATEST_NEW_CONNECTION_S = 0.4  # after SIGTERM, as the protocol defines it


async def wait_until_listener_closed(server: RunningServer) -> None:
    while server.clients.listener.socket is not None:
        await asyncio.sleep(0.001)


def test_accept_period_after_sigterm_covers_the_latest_new_connection() -> None:
    """Clients may connect for some time after SIGTERM. If the listener were closed earlier, their connections
    would be reset."""
    assert ACCEPT_AFTER_SIGTERM_S > LATEST_NEW_CONNECTION_S


def test_shutdown_timeout_ends_before_sigkill() -> None:
    """SIGKILL follows SIGTERM after the longest deadline of a class (counted as 3 s at most) plus 0.7 s. A
    request that is unanswered at that time gets no response. Therefore the shutdown timeout must end 0.3 s
    earlier."""

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
    """The shutdown timeout has expired, and all unanswered requests have been answered with 500. Then the
    rest of an incomplete request arrives, and its backend does not answer. It must get status 500 too."""
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
        server.proxy._end_all_requests()
        await wait_until_listener_closed(server)
        to_proxy.write(make_request()[40:])
        await backend.accept_connection()
        assert (await read_message(client))[0].split()[1] == "500"
        await server.stopped.wait()


@uvloop_test
async def test_shutdown_waits_for_a_request_that_is_still_being_read() -> None:
    """When the listener closes, only part of a request has been read, and no other request is in flight. The
    process must not stop before the rest has arrived and the request has been answered."""
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
    """A client connects before the listener closes, and sends its first request afterwards. Its connection
    must not be closed together with the other idle connections, and the request must be answered."""
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
    """Many connections wait in the kernel's backlog. Closing the listening socket would reset them, and their
    requests would be lost. Therefore the listener must accept all of them first."""
    script = ScriptedDecider(forward_all)
    async with (
        FakeServer() as backend,
        running_server(script, known=endpoint_list_dict(member_dict("s-1", backend.port))) as server,
    ):
        address = ("127.0.0.1", server.clients.port())
        waiting = [
            socket.create_connection(address) for _ in range(20)
        ]  # more than the listener accepts in one event loop iteration
        for n, connection in enumerate(waiting):
            connection.sendall(make_request(trace=f"t{n}"))
        server.clients.stop_listening()  # the event loop has not run, so none of them has been accepted yet
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
    """A connection closes after its last response while further bytes of the client are unread. If the proxy
    closed both directions of the socket, the kernel would send a reset, and the client would lose the
    responses that it has not read yet."""
    script = ScriptedDecider(forward_all)
    async with (
        FakeServer() as backend,
        running_server(script, known=endpoint_list_dict(member_dict("s-1", backend.port))) as server,
    ):
        reader, writer = await server.connect_client()
        # With the maximum number of pending requests, the proxy pauses reading.
        writer.write(b"".join(make_request(trace=f"t{n}") for n in range(4)))
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
    """The second of two pipelined requests is answered before draining begins, the first one after that. The
    second response is written last, without `Connection: close`. The connection must still close right after
    it, not only when the idle timeout expires."""
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
    """A client reads slowly, so most of its response is still in the process's buffers. If the process
    stopped now, the rest of the response would be lost."""
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
    """Clients learn only after some time that a front door is draining, and connect to it until then. The
    listener must not refuse them. Each response must say that its connection closes, so that the client goes
    to another front door."""
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
    """A backend has not answered a request when the shutdown begins, and never does. The request must be
    answered with 500 before the process stops, and before the platform could send SIGKILL."""
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

"""Tests which connections close at the connection limit, and what happens if no descriptor is free."""

import asyncio

from tests.client_side import ManualClock, connect_clients
from tests.loopback import (
    ScriptedDecider,
    leave_pending,
    make_request,
    read_message,
    read_until_closed,
    reject_all,
    running_server,
    uvloop_test,
)
from yardlane.decisions.events import RequestArrived
from yardlane.proxy.listener import Listener


@uvloop_test
async def test_full_server_closes_silent_connections_but_not_busy_ones() -> None:
    """Clients that send nothing hold all connections, so others could not connect. The connection of each new
    client must replace one of theirs, until all connections have a pending request. Then a new client must be
    refused."""
    script = ScriptedDecider(leave_pending)
    async with running_server(script) as server:
        clients = server.clients
        clients.max_connections = 4
        first, *_ = await connect_clients(server, 4)
        _, to_proxy = await server.connect_client()  # replaces the oldest silent connection
        to_proxy.write(make_request(trace="a0"))
        assert await read_until_closed(first[0]) == b""
        await script.wait_for(RequestArrived)
        for n in range(1, 4):
            _, to_proxy = await server.connect_client()
            to_proxy.write(make_request(trace=f"a{n}"))
            await script.wait_for(RequestArrived, n + 1)
        newest, _ = await server.connect_client()
        assert await read_until_closed(newest) == b""
        assert len(clients.connections) == 4 and all(c.pending for c in clients.connections)


@uvloop_test
async def test_full_server_closes_the_longest_idle_connection_only_after_two_seconds() -> None:
    """A client that received a response a moment ago may be sending its next request. Closing its connection
    would lose that request."""
    async with running_server(ScriptedDecider(reject_all)) as server:
        clients = server.clients
        clock = ManualClock(clients)
        readers = []
        for n in range(2):
            reader, writer = await server.connect_client()
            writer.write(make_request(trace=f"a{n}"))
            await read_message(reader)
            readers.append(reader)
            clock.time_s += 0.1
        clients.max_connections = 2
        clock.time_s += 1.75
        newest, _ = await server.connect_client()
        assert await read_until_closed(newest) == b""
        clock.time_s += 0.1
        await server.connect_client()
        assert await read_until_closed(readers[0]) == b""
        while len(clients.connections) < 2:
            await asyncio.sleep(0)


@uvloop_test
async def test_listener_accepts_again_after_running_out_of_descriptors() -> None:
    """The first call of `accept` fails because no file descriptor is free. The waiting connection must be
    accepted after a pause."""
    loop = asyncio.get_running_loop()
    async with running_server(ScriptedDecider(leave_pending)) as server:
        listener: Listener = server.clients.listener
        assert listener.socket is not None
        real_socket = listener.socket
        accept_calls = 0

        class SocketWithoutDescriptors:
            """Wraps the listening socket; the first call of `accept` raises EMFILE."""

            def __getattr__(self, name: str) -> object:
                return getattr(real_socket, name)

            def accept(self) -> object:
                nonlocal accept_calls
                accept_calls += 1
                if accept_calls == 1:
                    raise OSError(24, "Too many open files")
                return real_socket.accept()

        loop.remove_reader(real_socket)
        listener.socket = SocketWithoutDescriptors()  # type: ignore[assignment]
        loop.add_reader(real_socket, listener._accept)
        await connect_clients(server, 1)
        assert accept_calls >= 2

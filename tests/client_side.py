"""Set-up that the tests of the client side share."""

from __future__ import annotations

import asyncio
import socket

from tests.loopback import (
    RunningServer,
    Streams,
    make_request,
    settings_dict,
)
from yardlane.proxy.client_connection import ClientConnection
from yardlane.proxy.client_server import ClientServer

SMALL_BUFFER_BYTES = 4096  # of the kernel's: far less than one large answer
LARGE_BODY = b"y" * 60_000
# Deadlines that no test meets.
LONG_DEADLINE_CLASSES = [
    {**request_class, "deadline_us": 60_000_000} for request_class in settings_dict()["profiles"]
]


class ManualClock:
    """A server's clock, which the test moves."""

    def __init__(self, server: ClientServer, time_s: float = 1000.0) -> None:
        self.server = server
        self.time_s = time_s
        server.now = lambda: self.time_s

    def advance(self, seconds: float) -> None:
        """Time passes, then the reaper runs."""
        self.time_s += seconds
        self.server.reap()


async def connect_clients(server: RunningServer, count: int) -> list[Streams]:
    """So many new clients, each with its connection up at the proxy."""
    streams = [await server.connect_client() for _ in range(count)]
    connections = server.clients.connections
    while len(connections) < count or not all(connection.transport for connection in connections):
        await asyncio.sleep(0)
    return streams


def pipelined_requests(count: int, **changes: str | None) -> bytes:
    """So many requests in one write, with trace ids of their own."""
    return b"".join(make_request("look", f"t{n}", **changes) for n in range(count))


def only_connection(server: RunningServer) -> ClientConnection:
    """The one client connection that is open."""
    [connection] = server.clients.connections
    return connection


def limit_send_buffer(connection: ClientConnection) -> None:
    """The kernel takes only a part of a large answer; the rest stays in the transport."""
    assert connection.transport is not None
    client_socket = connection.transport.get_extra_info("socket")
    client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)


async def wait_until_released(server: RunningServer) -> None:
    """All that the requests held is given back: their entries, their attempts, their descriptors."""
    while server.proxy.requests or server.pool.connections:
        await asyncio.sleep(0)
    assert server.open_request_count == 0 and not server.clients.open_trace_ids

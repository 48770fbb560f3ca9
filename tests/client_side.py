"""Helpers for the tests of client connections."""

from __future__ import annotations

import asyncio
import socket

from tests.loopback import (
    RunningServer,
    Streams,
    make_request,
    settings_dict,
)
from tests.upstream_side import RESET_ON_CLOSE
from yardlane.proxy.client_connection import ClientConnection
from yardlane.proxy.client_server import ClientServer

SMALL_BUFFER_BYTES = 4096  # for socket buffers; far less than `LARGE_BODY`
LARGE_BODY = b"y" * 60_000
# Request classes whose deadlines are too long to expire in a test.
LONG_DEADLINE_CLASSES = [
    {**request_class, "deadline_us": 60_000_000} for request_class in settings_dict()["profiles"]
]


CONCURRENCY_1_SETTINGS = settings_dict(packages=[{**settings_dict()["packages"][0], "concurrency": 1}])


def close(writer: asyncio.StreamWriter) -> None:
    """Let a client close its connection in order."""
    writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Let a client reset its connection."""
    client_socket = writer.get_extra_info("socket")
    client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


class ManualClock:
    """Replaces the clock of a `ClientServer` with one that the test advances."""

    def __init__(self, server: ClientServer, time_s: float = 1000.0) -> None:
        self.server = server
        self.time_s = time_s
        server.loop_time_s = lambda: self.time_s

    def advance(self, seconds: float) -> None:
        """Advance the clock, then check the timeouts of all connections."""
        self.time_s += seconds
        self.server.check_all_timeouts()


async def connect_clients(server: RunningServer, count: int) -> list[Streams]:
    """Connect `count` clients, and wait until the proxy has a transport for each connection."""
    streams = [await server.connect_client() for _ in range(count)]
    connections = server.clients.connections
    while len(connections) < count or not all(connection.transport for connection in connections):
        await asyncio.sleep(0)
    return streams


def pipelined_requests(count: int, **changes: str | None) -> bytes:
    """Return the bytes of `count` requests with different trace ids."""
    return b"".join(make_request("look", f"t{n}", **changes) for n in range(count))


def only_connection(server: RunningServer) -> ClientConnection:
    """Return the only client connection. Raises ValueError if there is not exactly one."""
    [connection] = server.clients.connections
    return connection


def limit_send_buffer(connection: ClientConnection) -> None:
    """Shrink the kernel's send buffer, so that most of a large response stays in the transport's buffer."""
    assert connection.transport is not None
    client_socket = connection.transport.get_extra_info("socket")
    client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)


async def wait_until_released(server: RunningServer) -> None:
    """Wait until no request and no upstream connection is left.

    Then assert that each request has ended exactly once and that no trace id is in use.
    """
    while server.proxy.requests or server.pool.connections:
        await asyncio.sleep(0)
    assert server.open_request_count == 0 and not server.proxy.open_trace_ids

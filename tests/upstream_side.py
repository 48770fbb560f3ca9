"""Set-up that the tests of the upstream side share."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from tests.loopback import (
    EventLoopWrapper,
    FakeServer,
    RunningServer,
    Streams,
    endpoint_list_dict,
    make_request,
    make_response,
    member_dict,
    read_message,
    wait_until,
)
from yardlane.proxy.upstream_connection import UpstreamConnection
from yardlane.proxy.upstream_state import UpstreamState

SMALL_SEND_BUFFER_BYTES = 4096  # of the kernel's: far less than `LARGE_REQUEST_BYTES`
SMALL_RECEIVE_BUFFER_BYTES = 1024
LARGE_REQUEST_BYTES = 65_536
RESET_ON_CLOSE = b"\1\0\0\0\0\0\0\0"  # SO_LINGER, on, with a time of 0


async def accept_request(backend: FakeServer, trace: str | None = None) -> Streams:
    """The next new connection to this backend, once its first request has come whole."""
    reader, writer = await backend.accept_connection()
    _, headers, _ = await read_message(reader)
    assert trace is None or headers["x-trace-id"] == trace
    return reader, writer


async def forward(
    server: RunningServer, backend: FakeServer, request: bytes = make_request()
) -> tuple[Streams, Streams]:
    """A new client's request, forwarded on a new connection: the client's streams and the backend's."""
    client, to_proxy = await server.connect_client()
    to_proxy.write(request)
    return (client, to_proxy), await accept_request(backend)


async def serve_on_new_connection(
    client: Streams, backend: FakeServer, trace: str, response: bytes = make_response()
) -> Streams:
    """A further request of this client is forwarded on a new connection, and answered."""
    client_reader, to_proxy = client
    to_proxy.write(make_request(trace=trace))
    reader, writer = await accept_request(backend, trace)
    writer.write(response)
    await read_message(client_reader)
    return reader, writer


async def until_state(connection: UpstreamConnection, state: UpstreamState) -> None:
    """The loop runs until the connection is in this state."""
    await wait_until(lambda: connection.state is state)


def unsent_bytes(connection: UpstreamConnection) -> int:
    """What the kernel has not taken yet."""
    if connection.transport is None:
        return 0
    return connection.transport.get_write_buffer_size()


def reset(backend_end: socket.socket) -> None:
    """Close the connection with a reset."""
    backend_end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    backend_end.close()


async def read_until_request_sent(backend_end: socket.socket, connection: UpstreamConnection) -> bytes:
    """What the backend reads until the kernel has taken the whole request."""
    received = b""
    while unsent_bytes(connection):
        received += await asyncio.get_running_loop().sock_recv(backend_end, SMALL_SEND_BUFFER_BYTES)
    return received


def read_available(backend_end: socket.socket) -> bytes:
    """What has come at the backend so far; the event loop does not run meanwhile."""
    received = b""
    try:
        while part := backend_end.recv(LARGE_REQUEST_BYTES):
            received += part
    except BlockingIOError:
        pass
    return received


class SmallBufferBackends(EventLoopWrapper):
    """Backends that read nothing by themselves, and the pool's loop, which connects with small buffers.

    The kernel takes a part of a large request, and the rest stays in the transport until the test reads.
    """

    def __init__(self, count: int = 1) -> None:
        super().__init__(asyncio.get_running_loop())
        self.listeners = [socket.socket() for _ in range(count)]
        for listener in self.listeners:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
        ports = [listener.getsockname()[1] for listener in self.listeners]
        self.known = endpoint_list_dict(
            *(member_dict(f"s-{number}", port) for number, port in enumerate(ports, 1))
        )

    async def create_connection(
        self, make_protocol: Callable[[], asyncio.Protocol], host: str, port: int
    ) -> Any:
        made = socket.socket()
        made.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_SEND_BUFFER_BYTES)
        made.setblocking(False)
        await self.loop.sock_connect(made, (host, port))
        return await self.loop.create_connection(make_protocol, sock=made)

    def use_small_buffers(self, server: RunningServer) -> None:
        """Connections of this proxy's pool have small buffers from now on."""
        server.pool.loop = self.as_loop()

    async def send_large_request(
        self, server: RunningServer, backend_end: socket.socket | None = None
    ) -> tuple[UpstreamConnection, socket.socket]:
        """The connection on which a part of a large request is sent, and the backend's end of it."""
        self.use_small_buffers(server)
        self.client, self.to_proxy = await server.connect_client()
        request = make_request("file", Content_Length=str(LARGE_REQUEST_BYTES)) + b"x" * LARGE_REQUEST_BYTES
        self.to_proxy.write(request)
        accepted = backend_end or await self.accept()
        return await self.connection_with_unsent_bytes(server), accepted

    async def accept(self) -> socket.socket:
        """The next new connection to any of the backends."""
        accepts = [self.loop.create_task(self.loop.sock_accept(listener)) for listener in self.listeners]
        done, pending = await asyncio.wait(accepts, return_when=asyncio.FIRST_COMPLETED)
        for accept in pending:
            accept.cancel()
        return done.pop().result()[0]

    async def connection_with_unsent_bytes(self, server: RunningServer) -> UpstreamConnection:
        """The connection whose request is sent in part."""
        await wait_until(lambda: any(unsent_bytes(connection) for connection in server.pool.connections))
        return next(connection for connection in server.pool.connections if unsent_bytes(connection))

"""Helpers shared by the tests of the connections to upstreams."""

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
    read_status,
    wait_until,
)
from yardlane.proxy.upstream_connection import UpstreamConnection
from yardlane.proxy.upstream_state import UpstreamState

SMALL_SEND_BUFFER_BYTES = 4096  # size of the kernel's buffer, far less than `LARGE_REQUEST_BYTES`
SMALL_RECEIVE_BUFFER_BYTES = 1024
LARGE_REQUEST_BYTES = 65_536
RESET_ON_CLOSE = b"\1\0\0\0\0\0\0\0"  # a value of SO_LINGER: enabled, with a timeout of 0


async def accept_request(backend: FakeServer, trace: str | None = None) -> Streams:
    """Return the next new connection to this backend, once its first request has been received completely.

    If `trace` is given, assert that it is the trace id of that request.
    """
    reader, writer = await backend.accept_connection()
    _, headers, _ = await read_message(reader)
    assert trace is None or headers["x-trace-id"] == trace
    return reader, writer


async def forward(
    server: RunningServer, backend: FakeServer, request: bytes = make_request()
) -> tuple[Streams, Streams]:
    """Send a request from a new client and wait until the backend receives it on a new connection.

    Return the client's streams and the backend's.
    """
    client, to_proxy = await server.connect_client()
    to_proxy.write(request)
    return (client, to_proxy), await accept_request(backend)


async def serve_on_new_connection(
    client: Streams, backend: FakeServer, trace: str, response: bytes = make_response()
) -> Streams:
    """Send another request from this client and serve it on a new connection to the backend.

    Return the backend's streams. Fails (by timeout) if the proxy reuses an existing connection.
    """
    client_reader, to_proxy = client
    to_proxy.write(make_request(trace=trace))
    reader, writer = await accept_request(backend, trace)
    writer.write(response)
    assert await read_status(client_reader) == "200"
    return reader, writer


async def next_request(backend: FakeServer, idle: Streams) -> tuple[str, asyncio.StreamWriter]:
    """Wait for the next request, on the `idle` connection or a new one.

    Return the request's trace id and the writer for its response.
    """
    on_idle = asyncio.ensure_future(read_message(idle[0]))
    on_new = asyncio.ensure_future(backend.accept_connection())
    done, _ = await asyncio.wait((on_idle, on_new), return_when=asyncio.FIRST_COMPLETED)
    if on_new in done:  # the idle connection is still within its reuse delay
        on_idle.cancel()
        reader, writer = on_new.result()
        message = await read_message(reader)
    else:
        on_new.cancel()
        writer = idle[1]
        message = on_idle.result()
    return message[1]["x-trace-id"], writer


async def until_state(connection: UpstreamConnection, state: UpstreamState) -> None:
    """Run the event loop until the connection is in this state."""
    await wait_until(lambda: connection.state is state)


def unsent_bytes(connection: UpstreamConnection) -> int:
    """Return how many bytes of the request the kernel has not accepted yet."""
    if connection.transport is None:
        return 0
    return connection.transport.get_write_buffer_size()


def reset(backend_end: socket.socket) -> None:
    """Close the backend's end of the connection with a TCP reset."""
    backend_end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    backend_end.close()


async def read_until_request_sent(backend_end: socket.socket, connection: UpstreamConnection) -> bytes:
    """Let the backend read until the proxy's kernel has accepted the whole request; return what was read."""
    received = b""
    while unsent_bytes(connection):
        received += await asyncio.get_running_loop().sock_recv(backend_end, SMALL_SEND_BUFFER_BYTES)
    return received


def read_available(backend_end: socket.socket) -> bytes:
    """Return what the backend has received so far, without letting the event loop run."""
    received = b""
    try:
        while part := backend_end.recv(LARGE_REQUEST_BYTES):
            received += part
    except BlockingIOError:
        pass
    return received


class SmallBufferBackends(EventLoopWrapper):
    """Listening backends with small receive buffers, and an event loop that connects with small send buffers.

    The backends read only when the test does. The kernel therefore accepts only part of a large request, and
    the rest stays in the proxy's transport until the test reads.
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
        """Make this server's pool open its new connections with small buffers."""
        server.pool.loop = self.as_loop()

    async def send_large_request(
        self, server: RunningServer, backend_end: socket.socket | None = None
    ) -> tuple[UpstreamConnection, socket.socket]:
        """Send a large request from a new client, which the proxy can forward only in part.

        Return the proxy's connection to the backend and the backend's end of it. Pass `backend_end` if the
        proxy reuses an existing connection.
        """
        self.use_small_buffers(server)
        self.client, self.to_proxy = await server.connect_client()
        request = make_request("file", Content_Length=str(LARGE_REQUEST_BYTES)) + b"x" * LARGE_REQUEST_BYTES
        self.to_proxy.write(request)
        accepted = backend_end or await self.accept()
        return await self.connection_with_unsent_bytes(server), accepted

    async def accept(self) -> socket.socket:
        """Return the backend's end of the next new connection to any of the backends."""
        accepts = [self.loop.create_task(self.loop.sock_accept(listener)) for listener in self.listeners]
        done, pending = await asyncio.wait(accepts, return_when=asyncio.FIRST_COMPLETED)
        for accept in pending:
            accept.cancel()
        return done.pop().result()[0]

    async def connection_with_unsent_bytes(self, server: RunningServer) -> UpstreamConnection:
        """Wait for a connection that has sent its request only in part, and return it."""
        await wait_until(lambda: any(unsent_bytes(connection) for connection in server.pool.connections))
        return next(connection for connection in server.pool.connections if unsent_bytes(connection))

"""Plain listening sockets, for tests that decide exactly what arrives before a connection ends, and how."""

from __future__ import annotations

import asyncio
import socket
from enum import Enum

from tests.upstream_side import reset

REQUEST_MAX_BYTES = 4096


class End(Enum):
    """How the sender ends its connection."""

    FIN = "FIN"
    RESET = "reset"


async def write_and_end(peer: socket.socket, data: bytes, end: End, has_pause: bool) -> None:
    """Write `data` and end the connection; with a pause, the event loop reads the data before the end."""
    peer.sendall(data)
    if has_pause:
        for _ in range(3):
            await asyncio.sleep(0)
    if end is End.RESET:
        reset(peer)
    else:
        peer.close()


class RawListener:
    """A listening socket whose accepted connections are plain sockets. The context closes it."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.listener.setblocking(False)
        self.address = ("127.0.0.1", int(self.listener.getsockname()[1]))

    def __enter__(self) -> RawListener:
        return self

    def __exit__(self, *_: object) -> None:
        self.listener.close()

    async def accept_request(self) -> socket.socket:
        """Return the next new connection once a request has been read from it."""
        loop = asyncio.get_running_loop()
        peer, _ = await loop.sock_accept(self.listener)
        peer.setblocking(False)
        assert (await loop.sock_recv(peer, REQUEST_MAX_BYTES)).endswith(b"\r\n\r\n")
        return peer

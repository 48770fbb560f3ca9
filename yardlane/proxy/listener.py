"""The listening socket. It accepts no more connections than there is room for.

The loop's own server accepts all that waits before it tells of the first: a burst of connections would take
every descriptor that backends, counter and discovery need.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable
from typing import Protocol

from yardlane.config import Address

log = logging.getLogger("yardlane.proxy.listener")

BACKLOG = 1024
MAX_ACCEPTS_PER_ITERATION = 16  # of the event loop; the other connections wait for the next
ACCEPT_BACKOFF_S = 0.05  # once descriptors have run out
RESOURCE_EXHAUSTION_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class AcceptedConnection(Protocol):
    """What the listener needs of a connection that was admitted."""

    def protocol_factory(self) -> asyncio.Protocol:
        """What its transport is to be made for."""

    def on_connect_failed(self) -> None:
        """It was lost before it had a transport."""


class Listener:
    """Hands each accepted socket to the connection that `make_connection` returns; None closes the socket."""

    def __init__(
        self, make_connection: Callable[[], AcceptedConnection | None], loop: asyncio.AbstractEventLoop
    ) -> None:
        self.make_connection = make_connection
        self.loop = loop
        self.socket: socket.socket | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    def listen(self, address: Address) -> None:
        """Bind and begin to accept; raises OSError."""
        host, port = address
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listening_socket = socket.socket(family, socket.SOCK_STREAM)
        try:
            listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # a restart binds at once
            listening_socket.bind((host.strip("[]"), port))
            listening_socket.listen(BACKLOG)
            listening_socket.setblocking(False)
        except OSError:
            listening_socket.close()
            raise
        self.socket = listening_socket
        self.loop.add_reader(listening_socket, self._accept)

    def port(self) -> int:
        """The port that is listened on."""
        assert self.socket is not None
        return int(self.socket.getsockname()[1])

    def close(self) -> None:
        """Stop, but first accept what waits: the kernel would reset it, with the request that it brought."""
        if self.socket is not None:
            self.loop.remove_reader(self.socket)
            self._accept(BACKLOG)
        if self.socket is not None:
            self.socket.close()
            self.socket = None

    def _accept(self, max_accepts: int = MAX_ACCEPTS_PER_ITERATION) -> None:
        for _ in range(max_accepts):
            if self.socket is None:
                return
            try:
                accepted_socket, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno in RESOURCE_EXHAUSTION_ERRNOS:
                    self._pause_accepting(self.socket, error)
                    return
                continue  # the client was gone before its turn
            self._handle_accepted_socket(accepted_socket)

    def _handle_accepted_socket(self, accepted_socket: socket.socket) -> None:
        connection = self.make_connection()
        if connection is None:
            accepted_socket.close()
            return
        task = self.loop.create_task(self._connect(accepted_socket, connection))
        self.tasks.add(task)  # the loop holds tasks weakly
        task.add_done_callback(self.tasks.discard)

    def _pause_accepting(self, listening_socket: socket.socket, error: OSError) -> None:
        """The socket stays readable: without a pause the loop would do nothing but fail to accept."""
        log.warning("cannot accept: %s", error)
        self.loop.remove_reader(listening_socket)
        self.loop.call_later(ACCEPT_BACKOFF_S, self._resume_accepting, listening_socket)

    def _resume_accepting(self, listening_socket: socket.socket) -> None:
        if self.socket is listening_socket:
            self.loop.add_reader(listening_socket, self._accept)

    async def _connect(self, accepted_socket: socket.socket, connection: AcceptedConnection) -> None:
        """Make the transport; the client may have reset meanwhile."""
        try:
            accepted_socket.setblocking(False)
            accepted_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.loop.connect_accepted_socket(connection.protocol_factory, accepted_socket)
        except OSError:
            accepted_socket.close()
            connection.on_connect_failed()

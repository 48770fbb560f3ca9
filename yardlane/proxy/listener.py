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
OUT_OF_RESOURCES = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class AcceptedConnection(Protocol):
    """What the listener needs of a connection that was admitted."""

    def protocol(self) -> asyncio.Protocol:
        """What its transport is to be made for."""

    def on_never_connected(self) -> None:
        """It was lost before it had a transport."""


class Listener:
    """Hands each accepted socket to the connection that `admit` returns; None closes the socket."""

    def __init__(
        self, admit: Callable[[], AcceptedConnection | None], loop: asyncio.AbstractEventLoop
    ) -> None:
        self.admit = admit
        self.loop = loop
        self.socket: socket.socket | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    def listen(self, address: Address) -> None:
        """Bind and begin to accept; raises OSError."""
        host, port = address
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listening = socket.socket(family, socket.SOCK_STREAM)
        try:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # a restart binds at once
            listening.bind((host.strip("[]"), port))
            listening.listen(BACKLOG)
            listening.setblocking(False)
        except OSError:
            listening.close()
            raise
        self.socket = listening
        self.loop.add_reader(listening, self._accept)

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
                accepted, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno in OUT_OF_RESOURCES:
                    self._back_off(self.socket, error)
                    return
                continue  # the client was gone before its turn
            self._admit(accepted)

    def _admit(self, accepted: socket.socket) -> None:
        connection = self.admit()
        if connection is None:
            accepted.close()
            return
        task = self.loop.create_task(self._connect(accepted, connection))
        self.tasks.add(task)  # the loop holds tasks weakly
        task.add_done_callback(self.tasks.discard)

    def _back_off(self, listening: socket.socket, error: OSError) -> None:
        """The socket stays readable: without a pause the loop would do nothing but fail to accept."""
        log.warning("cannot accept: %s", error)
        self.loop.remove_reader(listening)
        self.loop.call_later(ACCEPT_BACKOFF_S, self._resume, listening)

    def _resume(self, listening: socket.socket) -> None:
        if self.socket is listening:
            self.loop.add_reader(listening, self._accept)

    async def _connect(self, accepted: socket.socket, connection: AcceptedConnection) -> None:
        """Make the transport; the client may have reset meanwhile."""
        try:
            accepted.setblocking(False)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.loop.connect_accepted_socket(connection.protocol, accepted)
        except OSError:
            accepted.close()
            connection.on_never_connected()

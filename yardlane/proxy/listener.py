"""Accepts client connections, and closes those that the server has no room for.

The event loop's own server is not used, because it accepts all waiting connections before it reports the
first. A burst of connections could then take all file descriptors, including those for the connections to
upstreams, the counter and discovery.
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
MAX_ACCEPTS_PER_ITERATION = 16  # per event loop iteration; further connections wait for the next one
ACCEPT_BACKOFF_S = 0.05  # how long to stop accepting after file descriptors or memory have run out
RESOURCE_EXHAUSTION_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class AcceptedConnection(Protocol):
    """The part of a client connection's interface that the listener uses."""

    def protocol_factory(self) -> asyncio.Protocol:
        """Return the protocol that the transport is created for."""

    def on_transport_creation_failed(self) -> None:
        """Called when no transport could be created, usually because the client reset the connection."""


class Listener:
    """Accepts sockets and creates a transport for each.

    `make_connection` returns the connection that a new socket belongs to, or None to close the socket.
    """

    def __init__(
        self, make_connection: Callable[[], AcceptedConnection | None], loop: asyncio.AbstractEventLoop
    ) -> None:
        self.make_connection = make_connection
        self.loop = loop
        self.socket: socket.socket | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    def listen(self, address: Address) -> None:
        """Bind to the address and start accepting connections. Raises OSError if that fails."""
        host, port = address
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listening_socket = socket.socket(family, socket.SOCK_STREAM)
        try:
            # Allows a restarted process to bind to the address at once.
            listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listening_socket.bind((host.strip("[]"), port))
            listening_socket.listen(BACKLOG)
            listening_socket.setblocking(False)
        except OSError:
            listening_socket.close()
            raise
        self.socket = listening_socket
        self.loop.add_reader(listening_socket, self._accept)

    def port(self) -> int:
        """Return the port of the listening socket."""
        assert self.socket is not None
        return int(self.socket.getsockname()[1])

    def close(self) -> None:
        """Accept the connections that wait in the kernel's backlog, then close the listening socket.

        Otherwise, the kernel would reset the waiting connections, and the requests on them would be lost.
        """
        if self.socket is not None:
            self.loop.remove_reader(self.socket)
            self._accept(BACKLOG)
        if self.socket is not None:
            self.socket.close()
            self.socket = None

    def _accept(self, max_accepts: int = MAX_ACCEPTS_PER_ITERATION) -> None:
        """Accept up to `max_accepts` waiting connections; called when the listening socket is readable."""
        for _ in range(max_accepts):
            if self.socket is None:
                return
            try:
                accepted_socket, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno in RESOURCE_EXHAUSTION_ERRNOS:
                    self._suspend_accepting(self.socket, error)
                    return
                continue  # the client disconnected before its connection was accepted
            self._handle_accepted_socket(accepted_socket)

    def _handle_accepted_socket(self, accepted_socket: socket.socket) -> None:
        """Start to create a transport for the socket, or close it if the server has no room."""
        connection = self.make_connection()
        if connection is None:
            accepted_socket.close()
            return
        task = self.loop.create_task(self._connect(accepted_socket, connection))
        self.tasks.add(task)  # the event loop only holds a weak reference to the task
        task.add_done_callback(self.tasks.discard)

    def _suspend_accepting(self, listening_socket: socket.socket, error: OSError) -> None:
        """Stop accepting for `ACCEPT_BACKOFF_S`.

        Otherwise, the event loop would call `_accept` in every iteration, as the listening socket stays
        readable.
        """
        log.warning("cannot accept client connections: %s; retrying after a pause", error)
        self.loop.remove_reader(listening_socket)
        self.loop.call_later(ACCEPT_BACKOFF_S, self._resume_accepting, listening_socket)

    def _resume_accepting(self, listening_socket: socket.socket) -> None:
        if self.socket is listening_socket:
            self.loop.add_reader(listening_socket, self._accept)

    async def _connect(self, accepted_socket: socket.socket, connection: AcceptedConnection) -> None:
        """Create the transport; close the socket if that fails, mostly because the client reset it."""
        try:
            accepted_socket.setblocking(False)
            accepted_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.loop.connect_accepted_socket(connection.protocol_factory, accepted_socket)
        except OSError:
            accepted_socket.close()
            connection.on_transport_creation_failed()

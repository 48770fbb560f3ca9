"""Manages all client connections of the process: their number, their timeouts and their draining."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from yardlane.config import Config
from yardlane.proxy.client_connection import ClientConnection
from yardlane.proxy.client_memory import ClientMemory, client_memory_limits
from yardlane.proxy.client_request import RequestHandler
from yardlane.proxy.client_state import ClientState
from yardlane.proxy.listener import Listener
from yardlane.proxy.read_scheduler import ReadScheduler
from yardlane.proxy.request_validation import RequestRules

# How long a connection may be idle between requests.
IDLE_TIMEOUT_S = 15.0
# Above this share of `max_connections`, a connection closes after the response to its newest request, and an
# idle connection closes after HIGH_WATERMARK_IDLE_TIMEOUT_S.
HIGH_WATERMARK_SHARE = 0.85
# Also how long a connection must have been idle before it may be closed to make room for a new one.
HIGH_WATERMARK_IDLE_TIMEOUT_S = 2.0
TIMEOUT_CHECK_INTERVAL_S = 0.2


class ClientServer:
    """Accepts up to `max_connections` client connections and closes them on timeout."""

    def __init__(
        self,
        config: Config,
        handler: RequestHandler,
        max_connections: int,
        loop: asyncio.AbstractEventLoop,
        loop_time_s: Callable[[], float] | None = None,
    ) -> None:
        self.config = config
        self.handler = handler
        self.max_connections = max_connections
        self.loop = loop
        self.loop_time_s = loop_time_s or loop.time
        self.rules = RequestRules.from_config(config)
        self.connections: dict[ClientConnection, None] = {}  # in the order of acceptance
        self.read_scheduler = ReadScheduler(loop)
        self.memory = ClientMemory(client_memory_limits(config.memory_limit_mb))
        self.is_draining = False  # set when the graceful shutdown begins
        self.timeout_check_due_s = 0.0
        self.listener = Listener(self.make_connection, loop)

    def listen(self) -> None:
        """Start accepting connections. Raises OSError if the process cannot listen on the address."""
        self.listener.listen(self.config.listen)
        self.timeout_check_due_s = self.loop_time_s() + TIMEOUT_CHECK_INTERVAL_S
        self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._on_timeout_check_due)

    def port(self) -> int:
        """Return the port of the listening socket."""
        return self.listener.port()

    # Connections

    def make_connection(self) -> ClientConnection | None:
        """Create and register a connection for a new client.

        If there are `max_connections` already, abort one that serves no request to make room. Return None if
        no such connection can be found.
        """
        if len(self.connections) >= self.max_connections and not self._evict_connection():
            return None
        connection = ClientConnection(self)
        self.connections[connection] = None
        return connection

    def on_connection_closed(self, connection: ClientConnection) -> None:
        """Called when a connection has been closed; removes it from the registered connections."""
        self.connections.pop(connection, None)

    def is_above_high_watermark(self) -> bool:
        """Return whether more than `HIGH_WATERMARK_SHARE` of `max_connections` are open."""
        return len(self.connections) > HIGH_WATERMARK_SHARE * self.max_connections

    def _evict_connection(self) -> bool:
        """Abort one connection that serves no request; return whether there was one.

        The first choice is the oldest connection that is closing or on which no request has begun. A closing
        connection loses what is unsent of its last response. The second choice is the connection that has
        been idle for longest. It must have been idle for more than `HIGH_WATERMARK_IDLE_TIMEOUT_S`, because
        the next request may be on its way until then.
        """
        connection = self._find_closing_or_unused() or self._find_longest_idle()
        if connection is None:
            return False
        connection.abort()
        return True

    def _find_closing_or_unused(self) -> ClientConnection | None:
        for connection in self.connections:
            if connection.state is ClientState.CLOSING:
                return connection
            if connection.is_idle() and not connection.has_received_request:
                return connection
        return None

    def _find_longest_idle(self) -> ClientConnection | None:
        idle_before_s = self.loop_time_s() - HIGH_WATERMARK_IDLE_TIMEOUT_S
        idle = [
            connection
            for connection in self.connections
            if connection.is_idle() and connection.last_active_s < idle_before_s
        ]
        return min(idle, key=lambda connection: connection.last_active_s, default=None)

    # Timeouts

    def _on_timeout_check_due(self) -> None:
        """Called every `TIMEOUT_CHECK_INTERVAL_S`; checks the timeouts of all connections.

        If the call is late by a whole interval because the process was stalled, the check is left to the next
        call. After a stall, bytes that arrived in the meantime have not been read yet, so clients would time
        out although they were not slow.
        """
        self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._on_timeout_check_due)
        now_s = self.loop_time_s()
        delay_s = now_s - self.timeout_check_due_s
        self.timeout_check_due_s = now_s + TIMEOUT_CHECK_INTERVAL_S
        if delay_s < TIMEOUT_CHECK_INTERVAL_S:
            self.check_all_timeouts()

    def check_all_timeouts(self) -> None:
        """Check the timeouts of all connections."""
        now_s = self.loop_time_s()
        idle_timeout_s = HIGH_WATERMARK_IDLE_TIMEOUT_S if self.is_above_high_watermark() else IDLE_TIMEOUT_S
        for connection in list(self.connections):
            connection.check_timeouts(now_s, idle_timeout_s)

    # Draining

    def stop_listening(self) -> None:
        """Accept the connections that wait in the kernel's backlog, then close the listening socket."""
        self.listener.close()

    def close_used_idle_connections(self) -> None:
        """Close the idle connections on which at least one request has been received.

        New connections stay open, because their first request may be on its way.
        """
        for connection in list(self.connections):
            if connection.is_idle() and connection.has_received_request:
                connection.close_idle()

    def close_idle_connections(self) -> None:
        """Close all idle connections."""
        for connection in list(self.connections):
            if connection.is_idle():
                connection.close_idle()

    def awaits_first_request(self) -> bool:
        """Return whether any connection that is not closing has yet to receive its first complete request."""
        return any(
            not (connection.has_received_request or connection.state is ClientState.CLOSING)
            for connection in self.connections
        )

    def has_pending_work(self) -> bool:
        """Return whether any request is pending or being read, or any last response has unsent bytes."""
        return any(connection.has_pending_work() for connection in self.connections)

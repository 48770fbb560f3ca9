"""All client connections of this process: accepting, making room, timeouts and draining."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from yardlane.config import Config
from yardlane.proxy.client_connection import ClientConnection
from yardlane.proxy.client_request import RequestHandler
from yardlane.proxy.client_state import ClientState
from yardlane.proxy.listener import Listener
from yardlane.proxy.request_validation import RequestRules

IDLE_TIMEOUT_S = 15.0  # between requests
# From this share of the connections on, responses end their connections, and an idle one gets less time.
NEAR_LIMIT_SHARE = 0.85
NEAR_LIMIT_IDLE_TIMEOUT_S = 2.0
REAP_INTERVAL_S = 0.2


class ClientServer:
    """Accepts up to `max_connections` clients and closes those that take too long."""

    def __init__(
        self,
        config: Config,
        handler: RequestHandler,
        max_connections: int,
        loop: asyncio.AbstractEventLoop,
        now: Callable[[], float] | None = None,
    ) -> None:
        self.config = config
        self.handler = handler
        self.max_connections = max_connections
        self.loop = loop
        self.now = now or loop.time
        self.rules = RequestRules.from_config(config)
        self.connections: dict[ClientConnection, None] = {}  # the oldest first
        self.open_trace_ids: set[bytes] = set()
        self.is_draining = False
        self.reap_due_s = 0.0
        self.listener = Listener(self.make_connection, loop)

    def listen(self) -> None:
        """Begin to accept; raises OSError where the address cannot be had."""
        self.listener.listen(self.config.listen)
        self.reap_due_s = self.now() + REAP_INTERVAL_S
        self.loop.call_later(REAP_INTERVAL_S, self._on_reap_timer)

    def port(self) -> int:
        """The port that is listened on."""
        return self.listener.port()

    # Connections

    def make_connection(self) -> ClientConnection | None:
        """A new connection, if there is room for it or another one makes room."""
        if len(self.connections) >= self.max_connections and not self._evict_connection():
            return None
        connection = ClientConnection(self)
        self.connections[connection] = None
        return connection

    def on_connection_closed(self, connection: ClientConnection) -> None:
        """Its place is free."""
        self.connections.pop(connection, None)

    def is_near_connection_limit(self) -> bool:
        """Whether connections are so many that responses should end them."""
        return len(self.connections) > NEAR_LIMIT_SHARE * self.max_connections

    def _evict_connection(self) -> bool:
        """Abort one connection that serves nothing; whether there was one.

        First one that closes or has never sent a request, else the one that has been idle for longest. Busy
        ones stay, and so do those idle for a short time, whose next request may be on its way.
        """
        connection = self._find_unused() or self._find_longest_idle()
        if connection is None:
            return False
        connection.abort()
        return True

    def _find_unused(self) -> ClientConnection | None:
        for connection in self.connections:
            if connection.state is ClientState.CLOSING:
                return connection
            if connection.is_idle() and not connection.has_sent_request:
                return connection
        return None

    def _find_longest_idle(self) -> ClientConnection | None:
        idle_before_s = self.now() - NEAR_LIMIT_IDLE_TIMEOUT_S
        idle = [
            connection
            for connection in self.connections
            if connection.is_idle() and connection.last_active_s < idle_before_s
        ]
        return min(idle, key=lambda connection: connection.last_active_s, default=None)

    # Timeouts

    def _on_reap_timer(self) -> None:
        """Look for timeouts, unless this process stood still.

        After a standstill the bytes that came meanwhile are not read yet, and their clients would be taken
        for slow ones.
        """
        self.loop.call_later(REAP_INTERVAL_S, self._on_reap_timer)
        now_s = self.now()
        delay_s = now_s - self.reap_due_s
        self.reap_due_s = now_s + REAP_INTERVAL_S
        if delay_s < REAP_INTERVAL_S:
            self.reap()

    def reap(self) -> None:
        """Check the timeouts of all connections."""
        now_s = self.now()
        idle_timeout_s = NEAR_LIMIT_IDLE_TIMEOUT_S if self.is_near_connection_limit() else IDLE_TIMEOUT_S
        for connection in list(self.connections):
            connection.check_timeouts(now_s, idle_timeout_s)

    # Draining

    def stop_listening(self) -> None:
        """Accept what waits, and no more."""
        self.listener.close()

    def close_used_idle_connections(self) -> None:
        """Close what is idle and has been served; the first request of a new connection may be on its way."""
        for connection in list(self.connections):
            if connection.is_idle() and connection.has_sent_request:
                connection.close_idle()

    def close_idle_connections(self) -> None:
        """Close all that is idle."""
        for connection in list(self.connections):
            if connection.is_idle():
                connection.close_idle()

    def awaits_first_request(self) -> bool:
        """Whether a connection has sent no request so far."""
        return any(
            not (connection.has_sent_request or connection.state is ClientState.CLOSING)
            for connection in self.connections
        )

    def has_pending_work(self) -> bool:
        """Whether any request is unanswered or being read, or a last response still to be sent."""
        return any(connection.has_pending_work() for connection in self.connections)

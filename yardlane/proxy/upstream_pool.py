"""The pool of connections to all upstreams. It limits their number and finds one for each attempt."""

from __future__ import annotations

import asyncio
import logging

from yardlane.config import Config
from yardlane.decisions.events import Outcome
from yardlane.proxy.attempt import Attempt
from yardlane.proxy.clock import Clock
from yardlane.proxy.connection_reuse import ReusePolicy
from yardlane.proxy.upstream_connection import UpstreamConnection
from yardlane.proxy.upstream_state import CONNECTING, IDLE
from yardlane.units import US_PER_S

log = logging.getLogger("yardlane.proxy.upstream_pool")

# How long the proxy waits for the rest of a response that has begun. Upstreams write a response in one go, so
# a longer pause means that the upstream hangs, and the client's remaining time is better spent on a retry.
RESPONSE_STALL_TIMEOUT_S = 0.25
MAINTENANCE_INTERVAL_S = 1.0


class UpstreamPool:
    """Holds the connections to all upstreams, at most `max_connections` in total."""

    def __init__(self, config: Config, max_connections: int, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.clock = Clock()
        self.max_connections = max_connections
        self.connect_timeout_s = config.connect_timeout_us / US_PER_S
        self.stall_timeout_s = RESPONSE_STALL_TIMEOUT_S
        self.reuse_policy = ReusePolicy(config.keepalive_us / US_PER_S)
        self.connections: set[UpstreamConnection] = set()
        # The idle connections of each endpoint. The key is the endpoint id rather than the address, because
        # another upstream may have taken over the address. Each list is in the order in which the connections
        # became idle.
        self.idle: dict[bytes, list[UpstreamConnection]] = {}
        loop.call_later(MAINTENANCE_INTERVAL_S, self._maintain)

    def send(self, attempt: Attempt) -> None:
        """Send the attempt's request on an idle connection if one can be reused, or else on a new connection.

        If all connections are in use and the limit is reached, end the attempt as NOT_SENT.
        """
        if connection := self._take_idle(attempt.endpoint_id):
            connection.assign(attempt)
            return
        if len(self.connections) >= self.max_connections and not self._evict_idle():
            log.warning(
                "all %d connections to upstreams are busy; not sending an attempt", self.max_connections
            )
            # The proxy's lack of file descriptors is no evidence against the upstream.
            attempt.finish(Outcome.NOT_SENT)
            return
        connection = UpstreamConnection(self, attempt.endpoint_id, attempt.address)
        self.connections.add(connection)
        connection.assign(attempt)
        connection.connect_task = self.loop.create_task(connection.connect(self.connect_timeout_s))

    def drain_endpoint(self, endpoint_id: bytes) -> None:
        """End the attempts that still wait for a connection to an endpoint that is draining.

        An attempt continues if any byte of its request has been sent, because a draining upstream counts a
        request as begun from its first byte.
        """
        for connection in self._connections_to(endpoint_id):
            if connection.state is CONNECTING and connection.attempt is not None:
                connection.attempt.finish(Outcome.NOT_CONNECTED)

    def remove_endpoint(self, endpoint_id: bytes) -> None:
        """Stop reusing the connections to an endpoint that has moved or been removed.

        Idle connections are closed now, attempts that still wait for a connection end, and busy connections
        are closed after the current request.
        """
        self._stop_reuse(endpoint_id, self._connections_to(endpoint_id))

    def restart_endpoint(self, endpoint_id: bytes, started_at_us: int) -> None:
        """Stop reusing the connections to the process that the endpoint had before it started again.

        As `remove_endpoint`, but connections that were established after the start (Unix time) are kept: they
        lead to the new process.
        """
        older = [
            connection
            for connection in self._connections_to(endpoint_id)
            if connection.established_at_us < started_at_us
        ]
        self._stop_reuse(endpoint_id, older)

    def _connections_to(self, endpoint_id: bytes) -> list[UpstreamConnection]:
        return [connection for connection in self.connections if connection.endpoint_id == endpoint_id]

    def _stop_reuse(self, endpoint_id: bytes, connections: list[UpstreamConnection]) -> None:
        """Close those of the endpoint's connections that are idle, and the others after their response."""
        self.drain_endpoint(endpoint_id)
        self.reuse_policy.forget_endpoint(endpoint_id)
        for connection in connections:
            connection.closes_after_response = True
            if connection.state is IDLE:
                connection.close()

    # Called by the connections

    def on_idle(self, connection: UpstreamConnection) -> None:
        """Called when a connection has become idle; makes it available for reuse."""
        connection.idle_since_s = self.loop.time()
        self.idle.setdefault(connection.endpoint_id, []).append(connection)

    def on_closed(self, connection: UpstreamConnection) -> None:
        """Called when a connection has been closed; removes it from the pool."""
        self.connections.discard(connection)
        idle = self.idle.get(connection.endpoint_id)
        if idle and connection in idle:
            idle.remove(connection)
        if not idle:
            self.idle.pop(connection.endpoint_id, None)

    # Idle connections

    def _take_idle(self, endpoint_id: bytes) -> UpstreamConnection | None:
        """Remove and return the most recently used idle connection that can be reused; None if there is none.

        Connections within their reuse delay are skipped. Connections past it that have been idle for too long
        or are not reusable are closed on the way.
        """
        idle = self.idle.get(endpoint_id, [])
        now_s = self.loop.time()
        reuse_delay_s = self.reuse_policy.reuse_delay_of(endpoint_id)
        for index in range(len(idle) - 1, -1, -1):
            if idle[index].idle_since_s <= now_s - reuse_delay_s:
                connection = idle.pop(index)
                idle_s = now_s - connection.idle_since_s
                connection.idle_before_request_s = idle_s
                if idle_s <= self.reuse_policy.idle_limit_s and connection.is_reusable():
                    return connection
                connection.close()
        return None

    def _evict_idle(self) -> bool:
        """Close the connection that has been idle for longest; return whether there was one."""
        idle = [connection for connections in self.idle.values() for connection in connections]
        if idle:
            min(idle, key=lambda connection: connection.idle_since_s).close()
        return bool(idle)

    def _maintain(self) -> None:
        self.loop.call_later(MAINTENANCE_INTERVAL_S, self._maintain)
        self.reuse_policy.relax_bounds()
        idle_since_min_s = self.loop.time() - self.reuse_policy.idle_limit_s
        for connections in list(self.idle.values()):
            expired = [connection for connection in connections if connection.idle_since_s < idle_since_min_s]
            for connection in expired:
                connection.close()

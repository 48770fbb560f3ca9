"""The connections to all upstreams: which one an attempt gets, and how many there are at most."""

from __future__ import annotations

import asyncio
import logging

from yardlane.config import Config
from yardlane.decisions.events import Outcome
from yardlane.proxy.attempt import Attempt
from yardlane.proxy.connection_reuse import ReusePolicy
from yardlane.proxy.upstream_connection import UpstreamConnection
from yardlane.proxy.upstream_state import CONNECTING
from yardlane.units import US_PER_S

log = logging.getLogger("yardlane.proxy.upstream_pool")

# For the rest of a response that has begun. Upstreams write a response at once, so a longer pause means one
# that hangs, and its client's time is better left to a retry than waited away.
RESPONSE_STALL_TIMEOUT_S = 0.25
MAINTENANCE_INTERVAL_S = 1.0


class UpstreamPool:
    """The connections to all upstreams, at most `max_connections`."""

    def __init__(self, config: Config, max_connections: int, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.max_connections = max_connections
        self.connect_timeout_s = config.connect_timeout_us / US_PER_S
        self.stall_timeout_s = RESPONSE_STALL_TIMEOUT_S
        self.reuse_policy = ReusePolicy(config.keepalive_us / US_PER_S)
        self.connections: set[UpstreamConnection] = set()
        # Those of an upstream by its id, not by its address, where another upstream may stand by now. The
        # newest is last.
        self.idle: dict[bytes, list[UpstreamConnection]] = {}
        loop.call_later(MAINTENANCE_INTERVAL_S, self._maintain)

    def send(self, attempt: Attempt) -> None:
        """On the newest idle connection that is out of quarantine, else on a new one."""
        if connection := self._take_idle(attempt.endpoint_id):
            connection.assign(attempt)
            return
        if len(self.connections) >= self.max_connections and not self._evict_idle():
            log.warning("all %d connections to upstreams are busy", self.max_connections)
            attempt.finish(Outcome.NOT_SENT)  # our lack of descriptors says nothing of the upstream
            return
        connection = UpstreamConnection(self, attempt.endpoint_id, attempt.address)
        self.connections.add(connection)
        connection.assign(attempt)
        connection.connect_task = self.loop.create_task(connection.connect(self.connect_timeout_s))

    def drain_endpoint(self, endpoint_id: bytes) -> None:
        """The upstream drains: an attempt that waits for a connection there is not sent any more.

        One of which a byte is sent goes on: to a draining upstream, a request counts from its first byte.
        """
        connecting = [
            connection
            for connection in self.connections
            if connection.endpoint_id == endpoint_id and connection.state is CONNECTING
        ]
        for connection in connecting:
            if connection.attempt is not None:
                connection.attempt.finish(Outcome.NOT_CONNECTED)

    def remove_endpoint(self, endpoint_id: bytes) -> None:
        """The upstream has moved or is gone: its connections carry no request but the present one."""
        for connection in list(self.idle.get(endpoint_id, ())):
            connection.close()
        self.drain_endpoint(endpoint_id)
        self.reuse_policy.forget_endpoint(endpoint_id)
        for connection in self.connections:
            if connection.endpoint_id == endpoint_id:
                connection.closes_after_response = True

    # For the connections

    def on_idle(self, connection: UpstreamConnection) -> None:
        """It may carry another request."""
        connection.idle_since_s = self.loop.time()
        self.idle.setdefault(connection.endpoint_id, []).append(connection)

    def on_closed(self, connection: UpstreamConnection) -> None:
        """It carries none any more."""
        self.connections.discard(connection)
        idle = self.idle.get(connection.endpoint_id)
        if idle and connection in idle:
            idle.remove(connection)
        if not idle:
            self.idle.pop(connection.endpoint_id, None)

    # Idle connections

    def _take_idle(self, endpoint_id: bytes) -> UpstreamConnection | None:
        """The newest one that is out of quarantine; those out of quarantine that are of no use are closed."""
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
        """Close the connection that has been idle for longest; False where none is idle."""
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

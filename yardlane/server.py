"""The process: its parts put together, its signals, and its graceful shutdown."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
from collections.abc import Callable

from yardlane.config import Config, load_config
from yardlane.decisions.decider import Decider
from yardlane.decisions.settings import Settings
from yardlane.descriptors import connection_limits, usable_descriptors
from yardlane.errors import ConfigError
from yardlane.proxy.client_server import ClientServer
from yardlane.proxy.discovery_client import DiscoveryClient
from yardlane.proxy.proxy import Proxy
from yardlane.proxy.upstream_pool import UpstreamPool
from yardlane.units import US_PER_S

log = logging.getLogger("yardlane.server")

# By the protocol, new connections come for up to 0.4 s after SIGTERM.
ACCEPT_AFTER_SIGTERM_S = 0.5
# How long the first request of a connection that was accepted last may take to arrive.
FIRST_REQUEST_WAIT_S = 0.3
# The platform sends SIGKILL no earlier after SIGTERM than
# min(longest deadline, LONGEST_COUNTED_DEADLINE_US) + KILL_MARGIN_US.
LONGEST_COUNTED_DEADLINE_US = 3_000_000
KILL_MARGIN_US = 700_000
# Kept free before SIGKILL, to write the last responses.
WRITE_RESERVE_US = 300_000
SHUTDOWN_POLL_INTERVAL_S = 0.01
# How long connections whose last response is being written may take to close.
CLOSE_WAIT_S = 0.15


def shutdown_timeout_us(settings: Settings) -> int:
    """Microseconds from SIGTERM until every request must be answered, so that SIGKILL finds none open."""
    longest_us = max(request_class.deadline_us for request_class in settings.request_classes)
    return max(0, min(longest_us, LONGEST_COUNTED_DEADLINE_US) + KILL_MARGIN_US - WRITE_RESERVE_US)


class Server:
    """One front door, from its start to the end of its graceful shutdown."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, decider: Decider) -> None:
        limits = connection_limits(usable_descriptors(config.descriptors))
        self.loop = loop
        self.pool = UpstreamPool(config, limits.upstreams, loop)
        self.proxy = Proxy(config, decider, self.pool, loop)
        self.clients = ClientServer(config, self.proxy, limits.clients, loop)
        self.discovery = DiscoveryClient(config, self.proxy.apply_update, self.proxy.on_poll_failed)
        self.stopped = asyncio.Event()
        self.shutdown_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Listen for clients and watch the endpoint list. OSError where the address cannot be listened on."""
        self.discovery.load_cached()
        self.clients.listen()
        self.discovery.start()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then until the graceful shutdown has ended."""
        self.loop.add_signal_handler(signal.SIGTERM, self.shut_down)
        self.loop.add_signal_handler(signal.SIGINT, self.shut_down)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.start()
        # What the start allocated lives as long as the process: later collections need not visit it.
        gc.collect()
        gc.freeze()
        await self.stopped.wait()
        self.discovery.stop()

    def reload(self) -> None:
        """Read the configuration again: discovery and the counter may have another address."""
        try:
            config = load_config(os.environ, is_reload=True)
        except ConfigError as error:
            log.error("keeping the old configuration: %s", error.one_line())
            return
        log.info(
            "configuration read again: discovery %s:%d, counter %s:%d",
            *config.discovery,
            *(config.counter or ("none", 0)),
        )
        self.discovery.move(config.discovery)
        self.proxy.set_counter_address(config.counter)

    def shut_down(self) -> None:
        """Begin the graceful shutdown: answer what is open and what still arrives, then stop."""
        if self.shutdown_task is not None:
            return
        self.clients.is_draining = True
        self.proxy.drain(self.proxy.clock.now_us() + shutdown_timeout_us(self.proxy.settings))
        self.shutdown_task = self.loop.create_task(self._shut_down())

    async def _shut_down(self) -> None:
        """Accept for a while, close what is idle, and stop once nothing is pending or the time is over.

        A client may have connected just before it learned that we drain. Were the listener closed at
        SIGTERM, its connection would be reset; were connections without a request closed with the idle ones,
        its first request would be lost. So accepting goes on for `ACCEPT_AFTER_SIGTERM_S`, and the last
        connection has `FIRST_REQUEST_WAIT_S` more to send one.
        """
        try:
            await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
            self.clients.stop_listening()
            self.clients.close_idle_served()
            await self._wait_while(self.clients.awaits_first_request, FIRST_REQUEST_WAIT_S)
            self.clients.close_idle()
            left_us = self.proxy.drain_deadline_us - self.proxy.clock.now_us()
            await self._wait_while(self.clients.has_pending_work, left_us / US_PER_S)
            await self._wait_while(lambda: bool(self.clients.connections), CLOSE_WAIT_S)
        finally:
            self.stopped.set()

    async def _wait_while(self, is_pending: Callable[[], bool], timeout_s: float) -> None:
        deadline = self.loop.time() + timeout_s
        while is_pending() and self.loop.time() < deadline:
            await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)

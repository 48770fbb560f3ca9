"""The server of one front door process: its components, its signal handlers and its graceful shutdown."""

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

# The protocol allows clients to open new connections for up to 0.4 s after SIGTERM; the rest is margin.
ACCEPT_AFTER_SIGTERM_S = 0.5
# How long to wait, after the listener has closed, for first requests on connections that it accepted.
FIRST_REQUEST_WAIT_S = 0.3
# The time from SIGTERM to the platform's SIGKILL is at least
# min(longest deadline of a request class, LONGEST_COUNTED_DEADLINE_US) + KILL_MARGIN_US.
LONGEST_COUNTED_DEADLINE_US = 3_000_000
KILL_MARGIN_US = 700_000
# The time reserved before SIGKILL for writing the last responses.
WRITE_RESERVE_US = 300_000
SHUTDOWN_POLL_INTERVAL_S = 0.01
# How long to wait at the end for clients to close their side of the connections, and for responses that are
# still unsent when the shutdown timeout has passed. This has to fit in WRITE_RESERVE_US.
LINGERING_CLOSE_WAIT_S = 0.15


def shutdown_timeout_us(settings: Settings) -> int:
    """Return how many microseconds after SIGTERM all requests must have been answered.

    Those that are still unanswered fail then. SIGKILL follows at least `WRITE_RESERVE_US` later, so it
    interrupts no open request.
    """
    longest_us = max(request_class.deadline_us for request_class in settings.request_classes)
    return max(0, min(longest_us, LONGEST_COUNTED_DEADLINE_US) + KILL_MARGIN_US - WRITE_RESERVE_US)


class Server:
    """Runs one front door from its start to the end of its graceful shutdown."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, decider: Decider) -> None:
        limits = connection_limits(usable_descriptors(config.max_descriptors))
        self.loop = loop
        self.pool = UpstreamPool(config, limits.upstreams, loop)
        self.proxy = Proxy(config, decider, self.pool, loop)
        self.clients = ClientServer(config, self.proxy, limits.clients, loop)
        self.discovery = DiscoveryClient(config, self.proxy.apply_update, self.proxy.on_poll_failed)
        self.stopped = asyncio.Event()
        self.shutdown_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Listen for clients and watch the endpoint list.

        Raises OSError if the configured address cannot be listened on.
        """
        self.discovery.load_cached_list()
        self.clients.listen()
        self.discovery.start()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT arrives and the graceful shutdown that follows has ended."""
        self.loop.add_signal_handler(signal.SIGTERM, self.shut_down)
        self.loop.add_signal_handler(signal.SIGINT, self.shut_down)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.start()
        # Objects allocated at startup live as long as the process; the garbage collector need not visit them.
        gc.collect()
        gc.freeze()
        await self.stopped.wait()
        self.discovery.stop()

    def reload(self) -> None:
        """Reload the configuration, but apply only its addresses of discovery and the counter.

        Keep the old addresses if the new configuration is invalid.
        """
        try:
            config = load_config(os.environ, is_reload=True)
        except ConfigError as error:
            log.error("reload failed, keeping the old configuration: %s", error.one_line())
            return
        log.info(
            "configuration reloaded: discovery %s:%d, counter %s:%d",
            *config.discovery,
            # "none:0" is logged if the new file names no counter; the counter's address then stays as it is.
            *(config.counter or ("none", 0)),
        )
        self.discovery.change_address(config.discovery)
        self.proxy.change_counter_address(config.counter)

    def shut_down(self) -> None:
        """Start the graceful shutdown, unless already started: answer open and new requests, then stop."""
        if self.shutdown_task is not None:
            return
        self.clients.is_draining = True
        self.proxy.drain(self.proxy.clock.now_us() + shutdown_timeout_us(self.proxy.settings))
        self.shutdown_task = self.loop.create_task(self._run_shutdown())

    async def _run_shutdown(self) -> None:
        """Keep accepting for a while, close idle connections, and stop once no work is pending or time is up.

        A client may connect just before it learns that this front door is draining. If the listener closed
        at SIGTERM, that connection would be reset. If connections that have not sent a request yet were
        closed together with the other idle ones, the client's first request would be lost. The listener
        therefore accepts for another `ACCEPT_AFTER_SIGTERM_S`, and the connections that it accepted then
        have `FIRST_REQUEST_WAIT_S` to send a first request. If the longest deadline is below 0.25 s, all
        waits together may last until after SIGKILL.
        """
        try:
            await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
            self.clients.stop_listening()
            self.clients.close_used_idle_connections()
            await self._wait_while(self.clients.awaits_first_request, FIRST_REQUEST_WAIT_S)
            self.clients.close_idle_connections()
            left_us = self.proxy.drain_deadline_us - self.proxy.clock.now_us()
            await self._wait_while(self.clients.has_pending_work, left_us / US_PER_S)
            await self._wait_while(lambda: bool(self.clients.connections), LINGERING_CLOSE_WAIT_S)
        finally:
            self.stopped.set()

    async def _wait_while(self, is_pending: Callable[[], bool], timeout_s: float) -> None:
        deadline_s = self.loop.time() + timeout_s
        while is_pending() and self.loop.time() < deadline_s:
            await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)

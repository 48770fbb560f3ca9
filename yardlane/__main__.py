"""Start, signals, exit."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
import time
from collections.abc import Callable

import uvloop

from yardlane.decisions.gateway import Gateway
from yardlane.decisions.decider import Decider
from yardlane.decisions.settings import Settings
from yardlane.proxy.upstream_connection import Pool
from yardlane.proxy.client_server import ClientServer
from yardlane.config import Config, load
from yardlane.errors import ConfigError
from yardlane.proxy.discovery_client import Discovery
from yardlane.proxy.proxy import Proxy
from yardlane.descriptors import held, share

log = logging.getLogger("yardlane")

STILL_ACCEPTING = 0.5  # s after SIGTERM: connections go on coming, by the protocol for up to 0.4 s
FIRST_WORDS = 0.3  # s more for the first request of a connection that came last
# SIGKILL comes no earlier than so long after SIGTERM: the longest deadline, of 3 s at most, and 0.7 s.
LONGEST_COUNTED, BEFORE_KILL = 3_000_000, 700_000  # µs
TO_WRITE = 300_000  # µs before SIGKILL by which all is answered: the last answers are still to be written
LOOK_AGAIN = 0.01  # s between two looks at what is still owed, at the end
LEAVING = 0.15  # s for the last answers to leave with their connections, which close once written
LINES_PER_S = 50  # of the log: a flood of failures must not cost the CPU


class Sparing(logging.Filter):
    """Lets some lines a second through and tells how many it dropped."""

    second, lines, dropped = 0, 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(time.monotonic())
        if second != self.second:
            if self.dropped:
                record.msg = f"({self.dropped} lines dropped) {record.msg}"
            self.second, self.lines, self.dropped = second, 0, 0
        self.lines += 1
        self.dropped += self.lines > LINES_PER_S
        return self.lines <= LINES_PER_S


def time_to_answer(settings: Settings) -> int:
    """Microseconds from SIGTERM until all must be answered, so that SIGKILL finds nothing open."""
    longest = max(rule.deadline_us for rule in settings.request_classes)
    return max(0, min(longest, LONGEST_COUNTED) + BEFORE_KILL - TO_WRITE)


class Program:
    """One front door, from its start to its end."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, decider: Decider) -> None:
        limits = share(held(config.sockets))
        self.loop = loop
        self.pool = Pool(config, limits.backends, loop)
        self.door = Proxy(config, decider, self.pool, loop)
        self.clients = ClientServer(config, self.door, limits.clients, loop)
        self.discovery = Discovery(config, self.door.listed, self.door.unheard)
        self.door.on_refetch = self.discovery.refetch
        self.over = asyncio.Event()
        self.ending: asyncio.Task[None] | None = None  # from SIGTERM on

    def start(self) -> None:
        """Listen, and watch the list."""
        self.discovery.remember()
        self.clients.listen()
        self.discovery.start()

    async def run(self) -> None:
        """Serve until SIGTERM, then until all is answered."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stop)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.start()
        gc.collect()
        gc.freeze()
        await self.over.wait()
        self.discovery.stop()

    def reload(self) -> None:
        """Read the configuration again: discovery and the counter may have moved."""
        try:
            config = load(os.environ, again=True)
        except ConfigError as error:
            return log.error("the old configuration goes on: %s", " ".join(str(error).split()))
        log.info(
            "configuration read again: discovery %s:%d, counter %s:%d",
            *config.discovery,
            *(config.counter or ("none", 0)),
        )
        self.discovery.move(config.discovery)
        self.door.recount(config.counter)

    def stop(self) -> None:
        """Answer all that is open and all that still comes, then end."""
        if self.ending is None:
            self.clients.is_draining = True
            self.door.drain(self.door.clock.now() + time_to_answer(self.door.settings))
            self.ending = self.loop.create_task(self._end())

    async def _end(self) -> None:
        """Accept to the last, close what is idle, and leave once nothing is owed or all time is over."""
        try:
            await asyncio.sleep(STILL_ACCEPTING)
            self.clients.stop_listening()
            self.clients.close_idle_served()
            await self._while(self.clients.awaits_first_request, FIRST_WORDS)
            self.clients.close_idle()
            await self._while(
                self.clients.has_pending_work, (self.door.drain_by - self.door.clock.now()) / 1e6
            )
            await self._while(lambda: bool(self.clients.connections), LEAVING)
        finally:
            self.over.set()

    async def _while(self, open_still: Callable[[], bool], longest: float) -> None:
        until = self.loop.time() + longest
        while open_still() and self.loop.time() < until:
            await asyncio.sleep(LOOK_AGAIN)


async def serve(config: Config) -> int:
    try:
        gateway = Gateway(config.settings, config.seed)
        await Program(config, asyncio.get_running_loop(), gateway).run()
    except OSError as error:
        print(f"yardlane: cannot listen on {config.listen[0]}:{config.listen[1]}: {error}", file=sys.stderr)
        return 1
    return 0


def main() -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # before there is a handler, it would end the process
    logging.basicConfig(
        stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s", level=logging.INFO
    )
    logging.getLogger().handlers[0].addFilter(Sparing())
    try:
        config = load(os.environ)
    except ConfigError as error:
        print("yardlane:", " ".join(str(error).split()), file=sys.stderr)
        return 2
    return uvloop.run(serve(config))


if __name__ == "__main__":
    sys.exit(main())

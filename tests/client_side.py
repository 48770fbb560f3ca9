"""Set-up that the tests of the client side share."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from typing import Any

from yardlane.decisions.actions import Action, Reject, StartAttempt
from yardlane.decisions.decider import Decider
from yardlane.decisions.events import Event, RequestArrived
from yardlane.proxy.client_connection import ClientConnection
from yardlane.proxy.client_server import ClientServer
from tests.loopback import (
    Peer,
    RunningProxy,
    Streams,
    ask,
    member,
    read_message,
    running,
    settings,
    whole_list,
)

HEALTH_CHECK = b"GET /_health HTTP/1.1\r\nHost: svc\r\n\r\n"
SMALL_BUFFER_BYTES = 4096  # of the kernel's: far less than one large answer
LARGE_BODY = b"y" * 60_000
# Deadlines that no test meets.
PATIENT_CLASSES = [{**rule, "deadline_us": 60_000_000} for rule in settings()["profiles"]]


def hold_all(_: Event) -> list[Action]:
    """Requests stay pending."""
    return []


def reject_each(event: Event) -> list[Action]:
    """Requests are rejected at once."""
    return [Reject(event.request_id)] if isinstance(event, RequestArrived) else []


def attempt_each(*endpoints: bytes, begin_within_us: int = 0) -> Callable[[Event], list[Action]]:
    """Requests get one attempt at each endpoint, and no decision after that."""

    def reply(event: Event) -> list[Action]:
        if not isinstance(event, RequestArrived):
            return []
        return [
            StartAttempt(event.request_id, endpoint, begin_within_us=begin_within_us)
            for endpoint in endpoints
        ]

    return reply


@asynccontextmanager
async def running_with_backend(
    decider: Decider | None = None, **changes: Any
) -> AsyncIterator[tuple[RunningProxy, Peer]]:
    """A proxy whose endpoint list holds one backend, `s-1`."""
    async with (
        Peer() as backend,
        running(decider, known=whole_list(member("s-1", backend.port)), **changes) as proxy,
    ):
        yield proxy, backend


async def read_status(reader: asyncio.StreamReader) -> str:
    """The status of the next message."""
    line, _, _ = await read_message(reader)
    return line.split()[1]


async def read_to_end(reader: asyncio.StreamReader) -> bytes:
    """What still comes on a connection, until it is closed or reset."""
    with suppress(ConnectionError):
        return await reader.read()
    return b""


class ManualClock:
    """A server's clock, which the test moves."""

    def __init__(self, server: ClientServer, time_s: float = 1000.0) -> None:
        self.server = server
        self.time_s = time_s
        server.now = lambda: self.time_s

    def advance(self, seconds: float) -> None:
        """Time passes, then the reaper runs."""
        self.time_s += seconds
        self.server.reap()


async def connect(proxy: RunningProxy, count: int) -> list[Streams]:
    """So many new clients, each with its connection up at the proxy."""
    streams = [await proxy.client() for _ in range(count)]
    connections = proxy.program.clients.connections
    while len(connections) < count or not all(connection.transport for connection in connections):
        await asyncio.sleep(0)
    return streams


def pipeline(count: int, **changes: str | None) -> bytes:
    """So many requests in one write, with trace ids of their own."""
    return b"".join(ask("look", f"t{n}", **changes) for n in range(count))


def only_connection(proxy: RunningProxy) -> ClientConnection:
    """The one client connection that is open."""
    [connection] = proxy.program.clients.connections
    return connection


def limit_send_buffer(connection: ClientConnection) -> None:
    """The kernel takes only a part of a large answer; the rest stays in the transport."""
    assert connection.transport is not None
    made = connection.transport.get_extra_info("socket")
    made.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)


async def all_released(proxy: RunningProxy) -> None:
    """All that the requests held is given back: their entries, their attempts, their descriptors."""
    while proxy.program.proxy.requests or proxy.program.pool.connections:
        await asyncio.sleep(0)
    assert proxy.unanswered == 0 and not proxy.program.clients.open_trace_ids

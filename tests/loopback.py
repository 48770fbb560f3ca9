"""Runs the whole program against fake backends, discovery, counter and clients on loopback sockets."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from typing import Any, TypeVar, cast

import uvloop

from yardlane.config import Config, parse_config
from yardlane.decisions.actions import Action, Fail, Reject, StartAttempt
from yardlane.decisions.decider import Decider
from yardlane.decisions.events import AttemptEnded, Event, RequestArrived
from yardlane.decisions.gateway import Gateway
from yardlane.proxy.client_request import ClientRequest
from yardlane.proxy.request_in_flight import RequestInFlight
from yardlane.proxy.request_validation import ParsedRequest
from yardlane.server import Server

E = TypeVar("E")
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
HEALTH_CHECK = b"GET /_health HTTP/1.1\r\nHost: svc\r\n\r\n"
TEST_TIMEOUT_S = 20.0  # for a whole test; only a test that hangs reaches it


def settings_dict(**changes: Any) -> dict[str, Any]:
    """Return the settings as nested JSON in the format of the configuration file, with changes applied."""
    base: dict[str, Any] = {
        "discovery": "pushed",
        "peers_total": 1,
        "rank": 0,
        "locality": 0,
        "round_us": 1000,
        "zones": ["north", "south"],
        "kinds": ["m1"],
        "profiles": [
            {"name": "look", "slo_us": 5_000_000, "deadline_us": 10_000_000, "repeat": "free", "worth": 1.0},
            {
                "name": "file",
                "slo_us": 5_000_000,
                "deadline_us": 10_000_000,
                "repeat": "guarded",
                "group": "zone",
                "window_us": 5_000_000,
                "worth": 2.0,
            },
        ],
        "packages": [
            {
                "name": "basic",
                "refill": 0.0,
                "burst": 0.0,
                "concurrency": 0,
                "hard_rate": 0.0,
                "never_over_depth": 0.0,
                "cap_slack": 0.0,
                "value_factor": 1.0,
                "beyond_costs": 1.0,
                "extra_worth": 0.0,
            },
            {
                "name": "metered",
                "refill": 100.0,
                "burst": 200.0,
                "concurrency": 0,
                "hard_rate": 0.0,
                "never_over_depth": 0.0,
                "cap_slack": 0.0,
                "value_factor": 1.0,
                "beyond_costs": 1.0,
                "extra_worth": 0.0,
            },
        ],
        "safety": {
            "grace_to_answer_us": 8000,
            "drain_grace_us": 1_000_000,
            "start_capacity": 0.2,
            "warm_up_us": 15_000_000,
            "tip_multiple": 4.0,
            "fall_us": 2_000_000,
        },
        "permissions": {
            "max_attempts": 4,
            "parallel_tries": True,
            "cancel": True,
            "probes": False,
            "retry_after": True,
            "max_retry_after_us": 1_000_000,
            "connect_timeout_us": 250_000,
            "keepalive_us": 30_000_000,
        },
        "family_info": {"shared_counter": False, "count_wait_us": 30_000},
        "report": {"columns": ["mean_ms", "load_share", "depth"], "source": "inline"},
    }
    base.update(changes)
    return base


def make_config(**changes: Any) -> Config:
    """Return a configuration that listens on a free port; `changes` are keys of the configuration file."""
    base: dict[str, Any] = {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:1",
        "seed": "5",
        "limits": {"sockets": 256},
        "settings": settings_dict(),
    }
    base.update(changes)
    config = parse_config(base)
    fields = {field: getattr(config, field) for field in Config.__slots__}
    fields["listen"] = ("127.0.0.1", 0)  # the kernel picks a port; `ClientServer.port` returns it
    return Config(**fields)


def member_dict(name: str, port: int, **changes: Any) -> dict[str, Any]:
    """Return an entry of the endpoint list in discovery's JSON format."""
    return {
        "id": name,
        "host_port": f"127.0.0.1:{port}",
        "locality": "north",
        "flavor": "m1",
        "cell": 1,
        "phase": "Ready",
        "size": 1.0,
        "up_since_ms": 0,
        **changes,
    }


def endpoint_list_dict(*members: dict[str, Any], revision: int = 1) -> dict[str, Any]:
    """Return a complete endpoint list in discovery's JSON format."""
    return {"revision": revision, "complete": True, "members": list(members)}


class FakeServer:
    """A server on a free port of 127.0.0.1. The test accepts its connections and serves them itself.

    Connections are refused until the context is entered.
    """

    def __init__(self) -> None:
        # Bound before it listens, so that the port is known and refuses connections until then.
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(("127.0.0.1", 0))
        self.accepted: asyncio.Queue[Streams] = asyncio.Queue()
        self.writers: list[asyncio.StreamWriter] = []
        self.server: asyncio.Server | None = None

    async def __aenter__(self) -> FakeServer:
        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.writers.append(writer)
            await self.accepted.put((reader, writer))

        self.server = await asyncio.start_server(accept, sock=self.sock)
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self.server is not None
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    @property
    def port(self) -> int:
        """Return the port that the server is bound to."""
        return int(self.sock.getsockname()[1])

    async def accept_connection(self) -> Streams:
        """Return the next new connection, once there is one."""
        return await self.accepted.get()


async def wait_until(condition: Callable[[], object]) -> None:
    """Let the event loop run until the condition holds. The only time limit is that of the whole test."""
    while not condition():
        await asyncio.sleep(0)


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Return first line, headers (by lower-case name) and body of the next HTTP message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    fields = [line.partition(":") for line in head[1:] if line]
    headers = {name.strip().lower(): value.strip() for name, _, value in fields}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return head[0], headers, body


def make_response(status: int = 200, body: bytes = b"done", header_lines: str = "") -> bytes:
    """Return an HTTP response. `header_lines` contains complete header lines, each with its line ending."""
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{header_lines}\r\n".encode() + body


def make_request(kind: str = "look", trace: str = "ab12", **changes: str | None) -> bytes:
    """Return a client's request of request class `kind` with trace id `trace`.

    `changes` are headers, with `_` in place of `-`. A header set to None is omitted.
    """
    headers: dict[str, str | None] = {
        "X-Trace-Id": trace,
        "X-Qos": kind,
        "Plan": "basic",
        "Account": "00000000b4d65521",
        "X-Expires-In": "9000m",
        "Quota-Info": "units=2,spread=1,first=0",
    }
    if kind == "file":
        headers |= {"Idempotency-Key": "k1", "Content-Length": "0"}
    headers |= {key.replace("_", "-"): value for key, value in changes.items()}
    lines = "".join(f"{key}: {value}\r\n" for key, value in headers.items() if value is not None)
    return f"{'POST' if kind == 'file' else 'GET'} /api?q=1 HTTP/1.1\r\nHost: svc\r\n{lines}\r\n".encode()


class RunningServer(Server):
    """Runs the whole program in the test's event loop and counts the requests that have not ended."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, decider: Decider) -> None:
        super().__init__(config, loop, decider)
        self.writers: list[asyncio.StreamWriter] = []
        # Each request must end exactly once. At the end the count is above 0 if a request has not ended, and
        # below 0 if one has ended twice.
        self.open_request_count = 0
        handle_request = self.proxy.handle_request
        end = self.proxy._end_request

        def count_request(client_request: ClientRequest, parsed: ParsedRequest) -> None:
            self.open_request_count += 1
            handle_request(client_request, parsed)

        def count_end(request: RequestInFlight) -> None:
            end(request)
            self.open_request_count -= 1

        self.proxy.handle_request = count_request  # type: ignore[method-assign]
        self.proxy._end_request = count_end  # type: ignore[method-assign]

    async def connect_client(self) -> Streams:
        """Open a connection of a new client."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.clients.port())
        self.writers.append(writer)
        return reader, writer

    async def fetch(self, request: bytes) -> tuple[str, dict[str, str], bytes]:
        """Send a request on a new connection, and return first line, headers and body of the response."""
        reader, writer = await self.connect_client()
        writer.write(request)
        return await read_message(reader)


class EventLoopWrapper:
    """Wraps an event loop: forwards all its attributes, except those that a subclass defines."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    def as_loop(self) -> asyncio.AbstractEventLoop:
        """Return this object typed as an event loop."""
        return cast(asyncio.AbstractEventLoop, self)


class DelayedConnectLoop(EventLoopWrapper):
    """Replaces the event loop of the upstream pool, and delays connections to the backend on `port`.

    They are opened once `may_connect` is set. `create_connection` returns once `may_return` is set.
    """

    def __init__(self, server: RunningServer, port: int) -> None:
        super().__init__(server.pool.loop)
        self.port = port
        self.connect_requested = asyncio.Event()
        self.may_connect = asyncio.Event()
        # Set by default. A test replaces it to delay the moment at which the pool learns of a connection.
        self.may_return = asyncio.Event()
        self.may_return.set()
        server.pool.loop = self.as_loop()

    async def create_connection(
        self, make_protocol: Callable[[], asyncio.Protocol], host: str, port: int
    ) -> Any:
        if port == self.port:
            self.connect_requested.set()
            await self.may_connect.wait()
        connection = await self.loop.create_connection(make_protocol, host, port)
        await self.may_return.wait()
        return connection


@asynccontextmanager
async def running_server(decider: Decider | None = None, **changes: Any) -> AsyncIterator[RunningServer]:
    """Run the whole program without its signal handlers. Discovery need not be reachable."""
    config = make_config(**changes)
    loop = asyncio.get_running_loop()
    server = RunningServer(config, loop, decider or Gateway(config.settings, config.seed))
    server.start()
    try:
        yield server
    finally:
        server.discovery.stop()
        server.clients.stop_listening()
        for writer in server.writers:
            writer.transport.abort()


def uvloop_test(test: Callable[[], Awaitable[None]]) -> Callable[[], None]:
    """Turn an async test into one that runs on uvloop, as the program does, with a time limit."""

    def run() -> None:
        async def limited() -> None:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await test()

        uvloop.run(limited())

    run.__name__ = getattr(test, "__name__", "run")
    return run


def encode_json(value: object) -> bytes:
    """Return a value as JSON, for the body of a discovery response."""
    return json.dumps(value).encode()


class ScriptedDecider:
    """A decider that calls `reply` for the actions of each event, and records all events."""

    def __init__(self, reply: Callable[[Event], list[Action]]) -> None:
        self.reply = reply
        self.received_events: list[Event] = []
        self.actions: list[Action] = []
        self.events_received = asyncio.Event()

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """Return the actions for all events, in order."""
        self.actions = []
        for event in events:
            self.actions += self._handle_event(event)
        self.events_received.set()
        return self.actions

    def _handle_event(self, event: Event) -> list[Action]:
        self.received_events.append(event)
        return self.reply(event)

    async def wait_for(self, kind: type[E], count: int = 1) -> list[E]:
        """Wait for `count` events of type `kind`, and return all events of this type so far."""
        while True:
            found: list[E] = [event for event in self.received_events if isinstance(event, kind)]
            if len(found) >= count:
                return found
            self.events_received.clear()
            await self.events_received.wait()


def forward_all(event: Event, endpoint_id: bytes = b"s-1") -> list[Action]:
    """Start one attempt for each request, and fail the request if the attempt does not succeed."""
    if isinstance(event, RequestArrived):
        return [StartAttempt(event.request_id, endpoint_id)]
    if isinstance(event, AttemptEnded) and not event.request_ended:
        return [Fail(event.request_id)]
    return []


def leave_pending(_: Event) -> list[Action]:
    """Decide nothing, so that all requests stay pending."""
    return []


def reject_all(event: Event) -> list[Action]:
    """Reject each request immediately."""
    return [Reject(event.request_id)] if isinstance(event, RequestArrived) else []


def attempt_at_each(*endpoints: bytes, send_within_us: int = 0) -> Callable[[Event], list[Action]]:
    """Return a `reply` that starts one attempt at each endpoint for each request, and nothing more."""

    def reply(event: Event) -> list[Action]:
        if not isinstance(event, RequestArrived):
            return []
        return [
            StartAttempt(event.request_id, endpoint, send_within_us=send_within_us) for endpoint in endpoints
        ]

    return reply


@asynccontextmanager
async def running_server_with_backend(
    decider: Decider | None = None, **changes: Any
) -> AsyncIterator[tuple[RunningServer, FakeServer]]:
    """Run the whole program with one backend, `s-1`, in its endpoint list."""
    async with (
        FakeServer() as backend,
        running_server(
            decider, known=endpoint_list_dict(member_dict("s-1", backend.port)), **changes
        ) as server,
    ):
        yield server, backend


@asynccontextmanager
async def running_server_with_discovery(
    decider: Decider | None = None, **changes: Any
) -> AsyncIterator[tuple[RunningServer, FakeServer]]:
    """Run the whole program with a fake discovery, whose responses the test writes.

    `changes` are keys of the configuration.
    """
    async with (
        FakeServer() as discovery,
        running_server(decider, discovery=f"127.0.0.1:{discovery.port}", **changes) as server,
    ):
        yield server, discovery


async def accept_poll(discovery: FakeServer) -> Streams:
    """Accept a connection from the discovery client, read its first request, and return the streams."""
    reader, writer = await discovery.accept_connection()
    await read_message(reader)
    return reader, writer


async def read_status(reader: asyncio.StreamReader) -> str:
    """Return the status code of the next response."""
    line, _, _ = await read_message(reader)
    return line.split()[1]


async def read_until_closed(reader: asyncio.StreamReader) -> bytes:
    """Return all bytes that arrive until the connection is closed or reset."""
    with suppress(ConnectionError):
        return await reader.read()
    return b""

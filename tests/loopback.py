"""The whole program between fake peers on loopback sockets: backends, discovery, counter, clients."""

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
TEST_TIMEOUT_S = 20.0  # s for a whole test; only a test that hangs runs into it


def settings_dict(**changes: Any) -> dict[str, Any]:
    """The settings text as a map, by its names on the wire."""
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
    """A process's configuration, which listens on a free port."""
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
    fields["listen"] = ("127.0.0.1", 0)  # the kernel picks a port, and the test asks which
    return Config(**fields)


def member_dict(name: str, port: int, **changes: Any) -> dict[str, Any]:
    """An entry of the endpoint list as discovery writes it."""
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
    """A snapshot of the endpoint list as discovery writes it."""
    return {"revision": revision, "complete": True, "members": list(members)}


class FakeServer:
    """A server at a free port of 127.0.0.1, whose connections the test takes and serves by hand."""

    def __init__(self) -> None:
        self.sock = socket.socket()  # bound at once: connections are refused until it listens
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
        return int(self.sock.getsockname()[1])

    async def accept_connection(self) -> Streams:
        """The next new connection."""
        return await self.accepted.get()


async def wait_until(condition: Callable[[], object]) -> None:
    """Let the loop run until the condition holds; the time for a whole test bounds this too."""
    while not condition():
        await asyncio.sleep(0)


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """First line, headers and body of one HTTP message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    fields = [line.partition(":") for line in head[1:] if line]
    headers = {name.strip().lower(): value.strip() for name, _, value in fields}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return head[0], headers, body


def make_response(status: int = 200, body: bytes = b"done", extra: str = "") -> bytes:
    """A response; `extra` holds whole header lines, each with its line end."""
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body


def make_request(kind: str = "look", trace: str = "ab12", **changes: str | None) -> bytes:
    """A client's request; a header set to None is left out."""
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
    """The whole program in this test's loop; it counts the requests that have not ended yet."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, decider: Decider) -> None:
        super().__init__(config, loop, decider)
        self.writers: list[asyncio.StreamWriter] = []
        self.open_request_count = 0  # each request ends exactly once: fewer ends leave it above 0, more below
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
        """A new client's connection."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.clients.port())
        self.writers.append(writer)
        return reader, writer

    async def fetch(self, request: bytes) -> tuple[str, dict[str, str], bytes]:
        """The answer to one request on a new connection."""
        reader, writer = await self.connect_client()
        writer.write(request)
        return await read_message(reader)


class EventLoopWrapper:
    """A loop that does as `loop` does, but for what a subclass defines."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    def as_loop(self) -> asyncio.AbstractEventLoop:
        """This, for what takes a loop."""
        return cast(asyncio.AbstractEventLoop, self)


class DelayedConnectLoop(EventLoopWrapper):
    """The pool's loop; connections to one backend are made, and known to be, only when the test says so."""

    def __init__(self, server: RunningServer, port: int) -> None:
        super().__init__(server.pool.loop)
        self.port = port
        self.connect_requested = asyncio.Event()
        self.may_connect = asyncio.Event()
        self.may_return = asyncio.Event()  # set, unless a test withholds what is known of a connection made
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
    """The whole program, without its signals; nobody need listen at discovery's address."""
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
    """Run a test on the program's own kind of loop."""

    def run() -> None:
        async def limited() -> None:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await test()

        uvloop.run(limited())

    run.__name__ = getattr(test, "__name__", "run")
    return run


def encode_json(value: object) -> bytes:
    """A body of discovery's."""
    return json.dumps(value).encode()


class ScriptedDecider:
    """A decider that does as the test says: `reply` turns each event into actions."""

    def __init__(self, reply: Callable[[Event], list[Action]]) -> None:
        self.reply = reply
        self.received_events: list[Event] = []
        self.actions: list[Action] = []
        self.events_received = asyncio.Event()

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """The actions for all events, in order."""
        self.actions = []
        for event in events:
            self.actions += self._handle_event(event)
        self.events_received.set()
        return self.actions

    def _handle_event(self, event: Event) -> list[Action]:
        self.received_events.append(event)
        return self.reply(event)

    async def wait_for(self, kind: type[E], count: int = 1) -> list[E]:
        """Once so many events of this kind have come: all of them."""
        while True:
            found: list[E] = [event for event in self.received_events if isinstance(event, kind)]
            if len(found) >= count:
                return found
            self.events_received.clear()
            await self.events_received.wait()


def forward_all(event: Event, endpoint_id: bytes = b"s-1") -> list[Action]:
    """Each request gets one attempt, and fails unless that brings a good response."""
    if isinstance(event, RequestArrived):
        return [StartAttempt(event.request_id, endpoint_id)]
    if isinstance(event, AttemptEnded) and not event.request_ended:
        return [Fail(event.request_id)]
    return []


def leave_pending(_: Event) -> list[Action]:
    """Requests stay pending."""
    return []


def reject_all(event: Event) -> list[Action]:
    """Requests are rejected at once."""
    return [Reject(event.request_id)] if isinstance(event, RequestArrived) else []


def attempt_at_each(*endpoints: bytes, send_within_us: int = 0) -> Callable[[Event], list[Action]]:
    """Requests get one attempt at each endpoint, and no decision after that."""

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
    """A proxy whose endpoint list holds one backend, `s-1`."""
    async with (
        FakeServer() as backend,
        running_server(
            decider, known=endpoint_list_dict(member_dict("s-1", backend.port)), **changes
        ) as server,
    ):
        yield server, backend


async def read_status(reader: asyncio.StreamReader) -> str:
    """The status of the next message."""
    line, _, _ = await read_message(reader)
    return line.split()[1]


async def read_until_closed(reader: asyncio.StreamReader) -> bytes:
    """What still comes on a connection, until it is closed or reset."""
    with suppress(ConnectionError):
        return await reader.read()
    return b""

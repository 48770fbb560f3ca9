"""Stand-ins for clients, backends, discovery, the counter and the platform, written from the protocol page.

All of them run in the event loop of the script that uses them, on 127.0.0.1. Front doors are separate
processes, which `Platform` starts with the `run` command of the deploy file.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2  # `run.sh` exits with 1 for 10, and with 2 for any other code
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
READY_TIMEOUT_S = 30.0
LIMIT_S = 110.0


class CouldNotRun(Exception):
    """The case could not be played, so nothing is known about the rule."""


class Record:
    """The file `record.txt`: what was sent, answered and run, one event a line, with the time in seconds."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.started_at = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.started_at

    def __call__(self, text: str) -> None:
        self.file.write(f"{self.now():9.4f} {text}\n")

    def verdict(self, text: str) -> None:
        self(text)
        self.file.flush()
        print(text)


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def make_settings(rank: int, count: int, **changes: Any) -> dict[str, Any]:
    """Return the settings of one front door, with the figures of krakow-main."""
    settings: dict[str, Any] = {
        "callers": {"marks_retry": True},
        "costs": {"cross_zone": 0.005, "late_fail": 0.03, "peer": 0.025, "probe": 0.0083, "waste": 0.05},
        "discovery": "pushed",
        "family": "gate",
        "family_info": {
            "count_fee": 0.01,
            "count_wait_us": 30000,
            "inbox_per_s": 100.0,
            "meter_us": 0,
            "most_units": 6,
            "settles": True,
            "shared_counter": True,
        },
        "kinds": ["std-2"],
        "layers": ["booking-api"],
        "locality": rank % 2,
        "packages": [
            {
                "name": "solo",
                "refill": 0.0,
                "burst": 0.0,
                "concurrency": 2,
                "hard_rate": 0.0,
                "never_over_depth": 0.0,
                "cap_slack": 0.0,
                "value_factor": 1.3,
                "beyond_costs": 0.6,
                "extra_worth": 0.0,
            },
            {
                "name": "szkola",
                "refill": 20.0,
                "burst": 48.0,
                "concurrency": 0,
                "hard_rate": 40.0,
                "never_over_depth": 96.0,
                "cap_slack": 9.6,
                "value_factor": 1.6,
                "beyond_costs": 1.2,
                "extra_worth": 0.0,
            },
        ],
        "peers_total": count,
        "permissions": {
            "cancel": True,
            "connect_timeout_us": 250000,
            "keepalive_us": 15000000,
            "max_attempts": 3,
            "max_open": 24487,
            "max_retry_after_us": 1000000,
            "parallel_tries": True,
            "peers": True,
            "probes": True,
            "retry_after": True,
            "streams_per_conn": 100,
        },
        "profiles": [
            {
                "name": "slots-read",
                "repeat": "free",
                "group": "all",
                "slo_us": 1200000,
                "deadline_us": 3000000,
                "window_us": 5000000,
                "late_value": 0.0,
                "worth": 1.0,
                "stream": False,
            },
            {
                "name": "lesson-book",
                "repeat": "single_shot",
                "group": "all",
                "slo_us": 800000,
                "deadline_us": 3000000,
                "window_us": 5000000,
                "late_value": 0.0,
                "worth": 3.0,
                "stream": False,
            },
        ],
        "rank": rank,
        "report": {"columns": ["depth", "tps", "concurrent"], "source": "on_probe"},
        "round_us": 2000,
        "safety": {
            "ask_every_us": 10000000,
            "drain_grace_us": 1000000,
            "fall_us": 3000000,
            "grace_to_answer_us": 8000,
            "start_capacity": 0.17,
            "tip_multiple": 4.0,
            "warm_up_us": 15000000,
        },
        "tier": 0,
        "weights": "off",
        "zones": ["room-a", "room-b"],
    }
    settings.update(changes)
    return settings


class Message:
    """An HTTP message: its first line, its headers by lower-case name, and its body."""

    def __init__(self, line: str, headers: dict[str, str], body: bytes) -> None:
        self.line = line
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        return int(self.line.split()[1])

    @property
    def trace_id(self) -> str:
        return self.headers.get("x-trace-id", "")


async def read_message(
    reader: asyncio.StreamReader, on_first_byte: Callable[[], None] | None = None
) -> Message:
    """Read one message whose body, if any, has a Content-Length."""
    first = await reader.readexactly(1)
    if on_first_byte is not None:
        on_first_byte()
    head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(head[0], headers, body)


def encode_answer(status: int, body: bytes, *lines: str) -> bytes:
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *lines, "", ""]
    return "\r\n".join(head).encode() + body


class Backend:
    """A backend. It runs each request for `work_s` and answers with a body that only this request has.

    `phase` is what discovery has for it. `answer` can be replaced to answer in another way.
    """

    def __init__(self, name: str, zone: str, cell: int, record: Record) -> None:
        self.name = name
        self.zone = zone
        self.cell = cell
        self.record = record
        self.phase = "Ready"
        self.work_s = 0.1
        self.received: list[tuple[float, str]] = []  # time of the first byte and trace id of each attempt
        self.ran: list[tuple[float, str]] = []
        self.on_whole: Callable[[str], None] = lambda _: (
            None
        )  # called with the trace id of each whole request
        self.answer: Callable[[Message, asyncio.StreamWriter], Awaitable[bool]] = self.answer_plainly
        self.server: asyncio.Server | None = None
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    def body_for(self, request: Message) -> bytes:
        return f"answer of {self.name} to {request.trace_id}\n".encode()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        begun_at: list[float] = []
        try:
            while True:
                begun_at.clear()
                request = await read_message(reader, lambda: begun_at.append(self.record.now()))
                self.received.append((begun_at[0], request.trace_id))
                self.record(
                    f"{self.name} received {request.line.split()[0]} {request.trace_id},"
                    f" first byte at {begun_at[0]:.4f}, phase {self.phase}"
                )
                self.on_whole(request.trace_id)
                if not await self.answer(request, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # cancelled: the case is over
        finally:
            self.writers.discard(writer)
            writer.close()

    async def run(self, request: Message) -> None:
        self.ran.append((self.record.now(), request.trace_id))
        self.record(f"{self.name} runs {request.trace_id}")
        await asyncio.sleep(self.work_s)

    async def answer_plainly(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Run the request and answer it, or turn it away while draining; keep the connection open."""
        if self.phase != "Ready":
            writer.write(encode_answer(503, b"draining\n", "X-Never-Ran: 1"))
            self.record(f"{self.name} turned {request.trace_id} away")
            return True
        await self.run(request)
        writer.write(encode_answer(200, self.body_for(request)))
        self.record(f"{self.name} answered {request.trace_id}")
        return True


class Discovery:
    """Discovery's agent for one front door: the list, its changes, and watches for them.

    Each answer is written `delay_s` after it is due.
    """

    def __init__(self, backends: list[Backend], record: Record) -> None:
        self.backends = backends
        self.record = record
        self.delay_s = 0.0
        self.revision = 40
        self.changed_at: dict[str, int] = {}  # revision of the last change of each backend
        self.members: dict[str, dict[str, Any]] = {}
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        for backend in self.backends:
            self.members[backend.name] = self.entry(backend)
            self.changed_at[backend.name] = self.revision
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()

    def entry(self, backend: Backend) -> dict[str, Any]:
        return {
            "id": backend.name,
            "host_port": f"127.0.0.1:{backend.port}",
            "locality": backend.zone,
            "flavor": "std-2",
            "cell": backend.cell,
            "phase": backend.phase,
            "size": 1.0,
            "up_since_ms": 0,
        }

    def update(self, *backends: Backend) -> None:
        """Take in the present phases of these backends."""
        self.revision += 1
        for backend in backends:
            self.members[backend.name] = self.entry(backend)
            self.changed_at[backend.name] = self.revision
        self.changed.set()
        self.changed = asyncio.Event()

    def whole_list(self) -> dict[str, Any]:
        members = [member for member in self.members.values() if member["phase"] != "Gone"]
        return {"revision": self.revision, "complete": True, "members": members}

    def changes_since(self, index: int) -> dict[str, Any]:
        members = [self.members[name] for name, revision in self.changed_at.items() if revision > index]
        return {"revision": self.revision, "complete": False, "members": members}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_message(reader)
                path, _, query = request.line.split()[1].partition("?")
                fields = dict(part.split("=") for part in query.split("&") if part)
                if path != "/catalog/members":
                    writer.write(encode_answer(404, b""))
                    continue
                if "index" in fields:
                    index = int(fields["index"])
                    if index >= self.revision:
                        with suppress(TimeoutError):
                            async with asyncio.timeout(min(60_000, int(fields.get("wait", "0"))) / 1000):
                                await self.changed.wait()
                    document = self.changes_since(index)
                else:
                    document = self.whole_list()
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                writer.write(encode_answer(200, json.dumps(document).encode()))
                self.record(
                    f"discovery answered {query or 'the whole list'}: revision {document['revision']},"
                    f" {len(document['members'])} entries"
                )
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # cancelled: the case is over
        finally:
            writer.close()


class Counter:
    """The counter: numbers by name, each with a life."""

    def __init__(self) -> None:
        self.numbers: dict[str, tuple[float, float]] = {}
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()

    def tally(self, name: str, amount: float, life_ms: float) -> float:
        now = time.monotonic()
        total, expires_at = self.numbers.get(name, (0.0, 0.0))
        if expires_at <= now:
            total, expires_at = 0.0, now + min(60_000.0, life_ms) / 1000
        self.numbers[name] = (total + amount, expires_at)
        return total + amount

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.CancelledError):
            while line := await reader.readline():
                words = line.decode().split()
                if words[:1] == ["ping"]:
                    writer.write(b"pong\r\n")
                elif words[:1] == ["tally"] and len(words) == 4:
                    total = self.tally(words[1], float(words[2]), float(words[3]))
                    writer.write(f"ok {total:.7g}\r\n".encode())
                else:
                    writer.write(b"error\r\n")
        writer.close()


class FrontDoor:
    """A front door as a process, started by `run` in the deploy file."""

    def __init__(self, name: str, folder: Path, config: dict[str, Any], record: Record) -> None:
        self.name = name
        self.folder = folder
        self.config = config
        self.record = record
        self.port = int(config["listen"].rpartition(":")[2])
        self.process: asyncio.subprocess.Process | None = None
        self.is_up = True  # whether the front sends it requests
        self.config_path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"

    def write_config(self) -> None:
        self.config_path.write_text(json.dumps(self.config))

    async def start(self) -> None:
        self.write_config()
        scratch = self.folder / f"{self.name}.tmp"
        scratch.mkdir(exist_ok=True)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environ = {
            **os.environ,
            "TMPDIR": str(scratch),
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": self.config["listen"],
            "EDGE_DISCOVERY": self.config["discovery"],
            "EDGE_CONFIG": str(self.config_path),
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environ, stdout=log, stderr=log
            )
        self.record(f"{self.name} started as process {self.process.pid}")

    async def wait_until_ready(self) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if self.process is None or self.process.returncode is not None:
                break
            with suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                try:
                    writer.write(b"GET /_health HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
                    if (await read_message(reader)).status == 200:
                        self.record(f"{self.name} is ready")
                        return
                finally:
                    writer.close()
            await asyncio.sleep(0.05)
        raise CouldNotRun(f"{self.name} did not become ready")

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.record(f"{self.name} gets signal {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    def memory_mb(self, field: str = "VmRSS") -> float:
        assert self.process is not None
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1]) / 1024
        return 0.0


class Platform:
    """A small deployment: front doors, each with an agent of discovery, before shared backends."""

    def __init__(
        self, record: Record, backend_count: int = 9, door_count: int = 2, **settings_changes: Any
    ) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.backends = [
            Backend(f"s-{index:08x}", ("room-a", "room-b")[index % 2], index // 3, record)
            for index in range(backend_count)
        ]
        self.counter = Counter()
        self.agents = [Discovery(self.backends, record) for _ in range(door_count)]
        self.doors: list[FrontDoor] = []
        self.door_count = door_count
        self.settings_changes = settings_changes
        self.limits: dict[str, Any] = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}

    async def start(self) -> None:
        for backend in self.backends:
            await backend.start()
        await self.counter.start()
        for agent in self.agents:
            await agent.start()
        for rank, agent in enumerate(self.agents):
            config = {
                "name": f"n{rank}",
                "listen": f"127.0.0.1:{free_port()}",
                "discovery": f"127.0.0.1:{agent.port}",
                "seed": f"{random.getrandbits(64):016x}",
                "limits": self.limits,
                "counter": f"127.0.0.1:{self.counter.port}",
                "known": agent.whole_list(),
                "settings": make_settings(rank, self.door_count, **self.settings_changes),
            }
            self.doors.append(FrontDoor(f"n{rank}", self.folder, config, self.record))
        for door in self.doors:
            await door.start()
        for door in self.doors:
            await door.wait_until_ready()

    async def stop(self) -> None:
        for door in self.doors:
            await door.kill()
        for party in (*self.backends, *self.agents, self.counter):
            party.stop()
        for path in sorted(self.folder.rglob("*"), reverse=True):
            path.rmdir() if path.is_dir() else path.unlink()
        self.folder.rmdir()


class Client:
    """A client on one connection to a front door, which it keeps; it sends one request at a time."""

    serial = 0

    def __init__(self, door: FrontDoor, record: Record, account: int, plan: str = "solo") -> None:
        self.door = door
        self.record = record
        self.account = account
        self.plan = plan
        self.units = 1
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.trace_id = ""

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self.streams is None:
            self.streams = await asyncio.open_connection("127.0.0.1", self.door.port)
        return self.streams

    def close(self) -> None:
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None

    def encode(self, kind: str, expires_in_ms: int, body: bytes = b"") -> bytes:
        """Return a request with a fresh trace id; a read is a GET, anything else a POST with `body`."""
        Client.serial += 1
        self.trace_id = f"{random.getrandbits(40):010x}{Client.serial:06x}"
        is_read = kind == "slots-read"
        lines = [
            f"{'GET' if is_read else 'POST'} /api/{kind} HTTP/1.1",
            "Host: origin.svc",
            f"X-Trace-Id: {self.trace_id}",
            f"X-Qos: {kind}",
            f"Plan: {self.plan}",
            f"Account: {self.account:016x}",
            f"X-Expires-In: {expires_in_ms}m",
            f"Quota-Info: units={self.units},spread={self.door.config['settings']['peers_total']},first=0",
        ]
        if not is_read:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + body

    async def ask(self, kind: str, expires_in_ms: int = 3000, body: bytes = b"") -> Message | None:
        """Send a request and return its answer; None if the connection ends or time is up without one."""
        data = self.encode(kind, expires_in_ms, body=body)
        for is_resent in (False, True):
            is_new = self.streams is None
            try:
                reader, writer = await self.connect()
                writer.write(data)
                self.record(f"client {self.account:x} sent {kind} {self.trace_id} to {self.door.name}")
                async with asyncio.timeout(expires_in_ms / 1000 + 1.0):
                    answer = await read_message(reader)
            except TimeoutError:
                self.record(f"client {self.account:x} got no answer to {self.trace_id}")
                self.close()
                return None
            except (OSError, asyncio.IncompleteReadError) as error:
                self.close()
                is_unread = isinstance(error, ConnectionError) or not getattr(error, "partial", b"")
                if not is_new and is_unread and not is_resent:
                    continue  # the end of a resting connection crossed the request: once more on a new one
                self.record(f"client {self.account:x} lost the connection of {self.trace_id}: {error}")
                return None
            self.record(
                f"client {self.account:x} got {answer.status} for {self.trace_id}: {answer.body[:80]!r}"
            )
            if answer.headers.get("connection", "").lower() == "close":
                self.close()
            return answer
        return None


def play(folder: Path, case: Callable[[Record], Awaitable[bool]]) -> None:
    """Play a case, which returns whether the rule was broken, within its time limit; exit with the result.

    SIGTERM and SIGINT end it early, with all processes that it has started.
    """
    record = Record(folder)
    record(f"trouble is {'on' if IS_TROUBLED else 'off'}")

    async def limited() -> bool:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(LIMIT_S):
            return await case(record)

    result = COULD_NOT_RUN
    try:
        result = BROKEN if asyncio.run(limited()) else HELD
    except (Exception, asyncio.CancelledError) as error:
        record.verdict(f"could not run: {error!r}")
    record.verdict({HELD: "the rule held", BROKEN: "the rule was broken"}.get(result, "no result"))
    record.file.close()
    sys.exit(result)

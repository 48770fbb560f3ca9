"""Starts front doors by `run` of the deploy file, and plays discovery, counter, backends and clients.

The stand-ins follow the protocol page. All listen on free ports of 127.0.0.1 and run in the process of
the case; the front doors are processes of their own. A case gives backends or discovery another behaviour
where a page names one. Everything that is sent, run or answered goes to `record.txt` beside the case.
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
from collections.abc import Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
CASE_TIMEOUT_S = 110.0
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 6.0
MAX_WATCH_S = 60.0
LISTEN_PORT = 9000


class CaseError(Exception):
    """The case could not run, so that it says nothing about the rule."""


def is_troubled() -> bool:
    """Return whether the disruption is to be played; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes lines with the time since the start of the case to `record.txt`."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_at_s = time.monotonic()

    def __call__(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.started_at_s:8.3f} {text}\n")
        self.file.flush()


def small_settings(rank: int = 0, doors: int = 2, **changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment, with the figures of the example on the page of the wire."""
    settings: dict[str, Any] = {
        "callers": {"marks_retry": True},
        "costs": {"cross_zone": 0.005, "probe": 0.0083, "peer": 0.025, "waste": 0.05, "late_fail": 0.03},
        "discovery": "pushed",
        "family": "gate",
        "family_info": {
            "count_fee": 0.01,
            "count_wait_us": 30_000,
            "inbox_per_s": 100.0,
            "meter_us": 0,
            "most_units": 6,
            "settles": True,
            "shared_counter": True,
        },
        "kinds": ["std-2"],
        "layers": ["booking-api"],
        "locality": 0,
        "packages": [
            {
                "name": "team",
                "refill": 200.0,
                "burst": 400.0,
                "concurrency": 0,
                "hard_rate": 0.0,
                "never_over_depth": 0.0,
                "cap_slack": 0.0,
                "value_factor": 1.0,
                "beyond_costs": 0.6,
                "extra_worth": 0.0,
            }
        ],
        "peers_total": doors,
        "permissions": {
            "cancel": True,
            "connect_timeout_us": 250_000,
            "keepalive_us": 15_000_000,
            "max_attempts": 3,
            "max_open": 24_487,
            "max_retry_after_us": 1_000_000,
            "parallel_tries": True,
            "peers": False,
            "probes": False,
            "retry_after": True,
            "streams_per_conn": 100,
        },
        "profiles": [
            {
                "name": "slots-read",
                "deadline_us": 3_000_000,
                "group": "all",
                "late_value": 0.0,
                "repeat": "free",
                "slo_us": 1_200_000,
                "stream": False,
                "window_us": 5_000_000,
                "worth": 1.0,
            },
            {
                "name": "lesson-book",
                "deadline_us": 3_000_000,
                "group": "all",
                "late_value": 0.0,
                "repeat": "single_shot",
                "slo_us": 800_000,
                "stream": False,
                "window_us": 5_000_000,
                "worth": 3.0,
            },
        ],
        "rank": rank,
        "report": {"columns": [], "source": "off"},
        "round_us": 2000,
        "safety": {
            "ask_every_us": 10_000_000,
            "drain_grace_us": 1_000_000,
            "fall_us": 3_000_000,
            "grace_to_answer_us": 8000,
            "start_capacity": 0.17,
            "tip_multiple": 4.0,
            "warm_up_us": 15_000_000,
        },
        "tier": 0,
        "weights": "off",
        "zones": ["room-a", "room-b"],
    }
    settings.update(changes)
    return settings


# HTTP messages


@dataclass
class Message:
    """A message as it came: its first line, its headers by lower-case name, its body and two times."""

    line: str
    headers: dict[str, str]
    body: bytes
    first_byte_s: float
    last_byte_s: float

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.line.split()[1])

    @property
    def trace_id(self) -> str:
        """Return the id of a request, or an empty string."""
        return self.headers.get("x-trace-id", "")


async def read_message(reader: asyncio.StreamReader, first: bytes = b"") -> Message | None:
    """Return the next message with a Content-Length, or None if the connection ends before its first byte."""
    if not first:
        first = await reader.read(1)
    if not first:
        return None
    first_byte_s = time.monotonic()
    head = first + await reader.readuntil(b"\r\n\r\n")
    line, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for text in lines:
        if text:
            name, _, value = text.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(line, headers, body, first_byte_s, time.monotonic())


def response(status: int, body: bytes, *lines: str) -> bytes:
    """Return a response with a Content-Length."""
    extra = "".join(line + "\r\n" for line in lines)
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body


def response_without_length(body: bytes, *lines: str) -> bytes:
    """Return a 200 response that has no length and ends with its connection."""
    extra = "".join(line + "\r\n" for line in lines)
    return f"HTTP/1.1 200 OK\r\nConnection: close\r\n{extra}\r\n".encode() + body


def request(
    kind: str,
    trace_id: str,
    expires_ms: int,
    body: bytes = b"",
    spread: int = 2,
    units: int = 1,
    plan: str = "team",
) -> bytes:
    """Return a client's request in the form of the protocol page."""
    is_read = kind == "slots-read"
    head = [
        f"{'GET' if is_read else 'POST'} /api?n={trace_id} HTTP/1.1",
        "Host: origin.svc",
        f"X-Trace-Id: {trace_id}",
        f"X-Qos: {kind}",
        f"Plan: {plan}",
        "Account: 00000000b4d65521",
        f"X-Expires-In: {expires_ms}m",
        f"Quota-Info: units={units},spread={spread},first=0",
    ]
    if not is_read:
        head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


# Stand-ins


class StandIn:
    """A server on a free port of 127.0.0.1."""

    def __init__(self) -> None:
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(("127.0.0.1", 0))
        self.port = int(self.socket.getsockname()[1])
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Accept connections from now on."""
        self.server = await asyncio.start_server(self._on_connection, sock=self.socket, backlog=512)

    def stop(self) -> None:
        """Close the listening socket and abort all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        raise NotImplementedError


# Answers one request of a backend; returns whether the connection stays open.
Behaviour = Callable[["Backend", Message, asyncio.StreamWriter], Awaitable[bool]]


async def answer_soundly(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> bool:
    """Work for `work_s`, then answer 200 with a body that names the request."""
    await asyncio.sleep(backend.work_s)
    writer.write(response(200, backend.body_for(message)))
    await writer.drain()
    return True


class Backend(StandIn):
    """A backend: it begins each request when its last byte has arrived, and records it as run."""

    def __init__(self, name: str, record: Record, work_s: float, behave: Behaviour = answer_soundly) -> None:
        super().__init__()
        self.name = name
        self.record = record
        self.work_s = work_s
        self.behave = behave
        self.phase = "Ready"
        self.zone = "room-a"
        self.runs: list[Message] = []

    def body_for(self, message: Message) -> bytes:
        """Return the body of the answer to a request."""
        return self.body_for_id(message.trace_id)

    def body_for_id(self, trace_id: str) -> bytes:
        """Return the body of the answer to the request with this id."""
        return f"made by {self.name} for {trace_id}\n".encode()

    def entry(self) -> dict[str, Any]:
        """Return the backend's entry in the list of discovery."""
        return {
            "id": self.name,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": self.zone,
            "flavor": "std-2",
            "cell": 1,
            "phase": self.phase,
            "size": 1.0,
            "up_since_ms": 0,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            message = await read_message(reader)
            if message is None:
                return
            self.runs.append(message)
            told = message.headers.get("x-expires-in")
            self.record(f"backend {self.name} begins {message.trace_id}, told X-Expires-In {told}")
            if not await self.behave(self, message, writer):
                return


class Discovery(StandIn):
    """Discovery with pushed lists: a watch is answered once there is something newer than its index."""

    def __init__(self, backends: list[Backend], record: Record) -> None:
        super().__init__()
        self.backends = backends
        self.record = record
        self.revision = 41
        self.changed_at = {backend.name: 41 for backend in backends}
        self.change = asyncio.Event()
        self.has_length = True
        self.answers = 0

    def set_phase(self, backend: Backend, phase: str) -> None:
        """Change the phase of a backend and wake the watches."""
        backend.phase = phase
        self.revision += 1
        self.changed_at[backend.name] = self.revision
        self.change.set()
        self.change = asyncio.Event()
        self.record(f"discovery has revision {self.revision}: {backend.name} is {phase}")

    def list_since(self, index: int) -> dict[str, Any]:
        """Return the whole list if `index` is negative, else the entries that changed after it."""
        if index < 0:
            members = [backend.entry() for backend in self.backends if backend.phase != "Gone"]
        else:
            members = [b.entry() for b in self.backends if self.changed_at[b.name] > index]
        return {"revision": self.revision, "complete": index < 0, "members": members}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            message = await read_message(reader)
            if message is None:
                return
            target = message.line.split()[1]
            index = -1
            if "?" in target:
                query = dict(pair.split("=") for pair in target.partition("?")[2].split("&"))
                index = int(query["index"])
                until_s = time.monotonic() + min(MAX_WATCH_S, int(query["wait"]) / 1000)
                while self.revision <= index and time.monotonic() < until_s:
                    with suppress(TimeoutError):
                        await asyncio.wait_for(self.change.wait(), until_s - time.monotonic())
            body = json.dumps(self.list_since(index)).encode()
            line = "Content-Type: application/json"
            if self.has_length:
                writer.write(response(200, body, line))
            else:
                writer.write(response_without_length(body, line))
            await writer.drain()
            self.answers += 1
            self.record(f"discovery has written revision {self.revision} to {target}")
            if not self.has_length:
                return


class Counter(StandIn):
    """The counter of the protocol page."""

    def __init__(self) -> None:
        super().__init__()
        self.totals: dict[str, tuple[float, float]] = {}  # total and end of life by name

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            writer.write(self.answer(line))

    def answer(self, line: bytes) -> bytes:
        """Carry out one call and return the answer to it."""
        words = line.split()
        if words == [b"ping"]:
            return b"pong\r\n"
        name, amount, life_ms = words[1].decode(), float(words[2]), min(60_000, int(words[3]))
        now_s = time.monotonic()
        total, ends_s = self.totals.get(name, (0.0, 0.0))
        if ends_s <= now_s:
            total, ends_s = 0.0, now_s + life_ms / 1000
        self.totals[name] = (total + amount, ends_s)
        return f"ok {total + amount:.7g}\r\n".encode()


class FrontDoor:
    """One front door process, started by `run` of the deploy file."""

    def __init__(self, rank: int, folder: Path, record: Record) -> None:
        self.name = f"n{rank}"
        self.folder = folder
        self.record = record
        self.config_path = folder / f"{self.name}.json"
        self.log_path = folder / f"{self.name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.host = ""
        self.port = 0

    def write_config(self, config: dict[str, Any]) -> None:
        """Write the configuration file in one step."""
        temporary = self.config_path.with_suffix(".new")
        temporary.write_text(json.dumps(config))
        temporary.rename(self.config_path)

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        config = json.loads(self.config_path.read_text())
        self.host, _, port = config["listen"].rpartition(":")
        self.port = int(port)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        private = self.folder / f"{self.name}.tmp"
        private.mkdir(exist_ok=True)
        environment = {
            **os.environ,
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": config["listen"],
            "EDGE_DISCOVERY": config["discovery"],
            "EDGE_CONFIG": str(self.config_path),
            "TMPDIR": str(private),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        until_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until_s:
            if self.process.returncode is not None:
                raise CaseError(f"{self.name} ended with code {self.process.returncode} before it was ready")
            if await self.is_ready():
                self.record(f"front door {self.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise CaseError(f"{self.name} was not ready within {READY_TIMEOUT_S:.0f} s")

    async def is_ready(self) -> bool:
        """Return whether the health check answers 200."""
        with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(1.0), client(self) as (reader, writer):
                writer.write(b"GET /_health HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
                answer = await read_message(reader)
                return answer is not None and answer.status == 200
        return False

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record(f"{signal.Signals(number).name} to front door {self.name}")
        self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process, with SIGKILL if need be."""
        if self.process is None or self.process.returncode is not None:
            return
        with suppress(ProcessLookupError):
            self.process.terminate()
        try:
            await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            with suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


@asynccontextmanager
async def client(door: FrontDoor) -> Any:
    """Open a connection of a client to a front door, without delayed small writes."""
    reader, writer = await asyncio.open_connection(door.host, door.port)
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        yield reader, writer
    finally:
        writer.transport.abort()


@dataclass
class World:
    """The front doors and all stand-ins of one case."""

    record: Record
    folder: Path
    backends: list[Backend]
    discovery: Discovery
    counter: Counter
    network: str
    doors: list[FrontDoor] = field(default_factory=list)

    def runs_of(self, trace_id: str) -> list[Message]:
        """Return all requests with this id that any backend has begun."""
        return [run for backend in self.backends for run in backend.runs if run.trace_id == trace_id]

    def config(self, rank: int, settings: dict[str, Any]) -> dict[str, Any]:
        """Return the configuration of one front door in the form of the deployment page."""
        return {
            "name": f"n{rank}",
            "listen": f"{self.network}.{rank + 1}:{LISTEN_PORT}",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": f"8c1f30d27a5be96{rank}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "counter": f"127.0.0.1:{self.counter.port}",
            "known": self.discovery.list_since(-1),
            "settings": settings,
        }


def free_network() -> str:
    """Return the first three numbers of loopback addresses at which no front door listens.

    Front doors listen on addresses of their own, so that no other process can take their port meanwhile.
    """
    for _ in range(100):
        network = f"127.{random.randrange(1, 255)}.{random.randrange(256)}"
        with socket.socket() as probe, suppress(OSError):
            probe.bind((f"{network}.1", LISTEN_PORT))
            return network
    raise CaseError("no free loopback address")


@contextmanager
def temporary_folder() -> Iterator[Path]:
    """Make a folder for the configurations and logs of one case, and remove it at the end."""
    with tempfile.TemporaryDirectory(prefix="review-") as name:
        yield Path(name)


@asynccontextmanager
async def world(
    record: Record,
    make_backends: Callable[[Record], list[Backend]],
    doors: int = 2,
    make_counter: Callable[[], Counter] = Counter,
    **settings: Any,
) -> Any:
    """Start the stand-ins and the front doors, and end them all at the end."""
    with temporary_folder() as folder:
        backends = make_backends(record)
        discovery = Discovery(backends, record)
        counter = make_counter()
        stand_ins = [*backends, discovery, counter]
        made = World(record, folder, backends, discovery, counter, free_network())
        try:
            for stand_in in stand_ins:
                await stand_in.start()
            for rank in range(doors):
                door = FrontDoor(rank, folder, record)
                door.write_config(made.config(rank, small_settings(rank, doors, **settings)))
                made.doors.append(door)
            for door in made.doors:
                await door.start()
            yield made
            for door in made.doors:
                assert door.process is not None
                if door.process.returncode is not None:
                    record(f"front door {door.name} ended by itself with code {door.process.returncode}")
        finally:
            for door in made.doors:
                await door.stop()
            for stand_in in stand_ins:
                stand_in.stop()
            for door in made.doors:
                if door.log_path.exists():
                    for line in door.log_path.read_text(errors="replace").splitlines()[-20:]:
                        record(f"log of {door.name}: {line}")


def main(case: Callable[[Record], Awaitable[bool]], folder: str) -> None:
    """Run a case, which returns whether the rule held, and exit with 0, 1 or 2."""
    record = Record(Path(folder).resolve().parent / "record.txt")
    record(f"the disruption is {'played' if is_troubled() else 'left out'}")

    async def limited() -> bool:
        async with asyncio.timeout(CASE_TIMEOUT_S):
            return await case(record)

    try:
        code = HELD if asyncio.run(limited()) else BROKEN
    except (CaseError, OSError, TimeoutError) as error:
        record(f"the case could not run: {error!r}")
        code = NOT_RUN
    record({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[code])
    sys.exit(code)

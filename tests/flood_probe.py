"""Measures what usual clients notice, and what a front door takes, while bad clients play one behaviour.

    python -m tests.flood_probe BEHAVIOUR [--connections N] [--calm-s SECONDS] [--flooded-s SECONDS] ...

The front door runs in a process of its own, with nine backends that take 100 ms for a request. Ten usual
clients send a request every 100 ms each, first without and then beside the bad clients. A latency counts
from the time at which the request should have been sent. This module is run by hand.
"""

from __future__ import annotations

import argparse
import asyncio
import math
import os
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field, fields
from pathlib import Path

import uvloop

from tests.bad_clients import BEHAVIOURS
from tests.discovery_responses import delta_response, snapshot_response
from tests.front_door_process import free_port, peak_memory_mb, start_process
from tests.loopback import HEALTH_CHECK, make_request, make_response, member_dict, read_message, settings_dict

BACKENDS = 9
USUAL_CLIENTS = 10
REQUEST_INTERVAL_S = 0.1
ANSWER_TIMEOUT_S = 10.0
WATCH_S = 3.0
SETTLE_S = 0.5


@dataclass
class Latencies:
    """The latencies of usual clients in one phase, in seconds, and how many requests were not served."""

    values_s: list[float] = field(default_factory=list)
    refused: int = 0

    def quantile_ms(self, share: float) -> float:
        """Return a quantile in milliseconds."""
        ordered = sorted(self.values_s)
        return 1000 * ordered[min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)]


@dataclass(frozen=True)
class ProbeOptions:
    """What is played: the bad clients, the backends and the limits of the front door."""

    behaviour: str
    connections: int = 100
    calm_s: float = 3.0
    flooded_s: float = 5.0
    service_time_s: float = 0.1
    response_bytes: int = 4
    descriptors: int = 1024
    memory_mb: int = 192


@dataclass(frozen=True)
class ProbeResult:
    """What one probe has measured."""

    calm: Latencies
    flooded: Latencies
    peak_memory_mb: float
    cpu_s: float

    def p99_ratio(self) -> float:
        """Return the p99 beside the bad clients over the p99 without them."""
        return self.flooded.quantile_ms(0.99) / self.calm.quantile_ms(0.99)

    def __str__(self) -> str:
        calm, flooded = self.calm, self.flooded
        return (
            f"p99 {calm.quantile_ms(0.99):.0f} -> {flooded.quantile_ms(0.99):.0f} ms"
            f" (x{self.p99_ratio():.2f}), p50 {flooded.quantile_ms(0.5):.0f},"
            f" max {flooded.quantile_ms(1):.0f} ms,"
            f" not served {flooded.refused} of {len(flooded.values_s)},"
            f" memory {self.peak_memory_mb:.0f} MB, CPU {self.cpu_s:.1f} s"
        )


class UsualClients:
    """Clients that send one request at a time on a connection, at fixed times, and keep their connections."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.number = 0

    async def run(self, seconds: float) -> Latencies:
        """Send requests for some seconds; return their latencies once all have an answer or none in time."""
        latencies = Latencies()
        tasks = []
        started_s = time.monotonic()
        requests = round(seconds / REQUEST_INTERVAL_S * USUAL_CLIENTS)
        for number in range(requests):
            due_s = started_s + number * REQUEST_INTERVAL_S / USUAL_CLIENTS
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            tasks.append(asyncio.ensure_future(self._ask(due_s, latencies)))
        await asyncio.gather(*tasks)
        return latencies

    async def _ask(self, due_s: float, latencies: Latencies) -> None:
        self.number += 1
        request = make_request(trace=f"usual{self.number}", Account=f"{self.number % 50:016x}")
        is_served = False
        with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                is_served = await self._send(request)
        latencies.refused += not is_served
        latencies.values_s.append(time.monotonic() - due_s)

    async def _send(self, request: bytes) -> bool:
        """Send on an idle connection or a new one; return whether the request was served."""
        while True:
            is_reused = bool(self.idle)
            streams = self.idle.pop() if is_reused else await asyncio.open_connection("127.0.0.1", self.port)
            try:
                streams[1].write(request)
                line, headers, _ = await read_message(streams[0])
            except (OSError, asyncio.IncompleteReadError):
                streams[1].transport.abort()
                if is_reused:  # closed between requests: send once more on a new connection
                    continue
                raise
            if headers.get("connection") == "close":
                streams[1].close()
            else:
                self.idle.append(streams)
            return line.split()[1] == "200"


def backend_handler(
    service_time_s: float, response_bytes: int
) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]:
    """Return a handler of connections that answers each request after the service time."""
    response = make_response(200, b"x" * response_bytes)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await read_message(reader)
                await asyncio.sleep(service_time_s)
                writer.write(response)
        writer.transport.abort()

    return serve


@asynccontextmanager
async def running_front_door(options: ProbeOptions) -> AsyncIterator[tuple[asyncio.subprocess.Process, int]]:
    """Run backends, a discovery and a front door in a process of its own; return the process and its port."""
    serve = backend_handler(options.service_time_s, options.response_bytes)
    servers = [await asyncio.start_server(serve, "127.0.0.1", 0) for _ in range(BACKENDS)]
    members = [
        member_dict(f"s-{number}", server.sockets[0].getsockname()[1])
        for number, server in enumerate(servers)
    ]

    async def serve_discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                line, _, _ = await read_message(reader)
                if "index" in line:
                    await asyncio.sleep(WATCH_S)
                    writer.write(delta_response(1))
                else:
                    writer.write(snapshot_response(1, *members))
        writer.transport.abort()

    discovery = await asyncio.start_server(serve_discovery, "127.0.0.1", 0)
    port = await free_port()
    configuration = {
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery.sockets[0].getsockname()[1]}",
        "seed": "1f",
        "limits": {"sockets": options.descriptors, "memory_mb": options.memory_mb},
        "settings": settings_dict(),
    }
    with tempfile.TemporaryDirectory() as folder:
        process = await start_process(Path(folder) / "config.json", configuration, options.descriptors)
        try:
            await wait_until_ready(process, port)
            yield process, port
        finally:
            with suppress(ProcessLookupError):
                process.kill()
            await process.communicate()
            for server in (discovery, *servers):
                server.close()
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()


async def wait_until_ready(process: asyncio.subprocess.Process, port: int) -> None:
    """Wait until the health check passes. Raises RuntimeError if the front door has ended."""
    while process.returncode is None:
        with suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(HEALTH_CHECK)
            line, _, _ = await read_message(reader)
            writer.transport.abort()
            if line.split()[1] == "200":
                return
        await asyncio.sleep(0.01)
    raise RuntimeError("the front door has ended, perhaps because another process has taken its port")


def cpu_seconds(process_id: int) -> float:
    """Return the processor time that a process has used (`utime` and `stime` of proc(5))."""
    values = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    return (int(values[11]) + int(values[12])) / os.sysconf("SC_CLK_TCK")


async def probe(options: ProbeOptions) -> ProbeResult:
    """Measure usual clients without and then beside the bad clients."""
    async with running_front_door(options) as (process, port):
        clients = UsualClients(port)
        await clients.run(SETTLE_S)
        calm = await clients.run(options.calm_s)
        cpu_before_s = cpu_seconds(process.pid)
        bad = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.bad_clients",
            options.behaviour,
            str(port),
            str(options.connections),
            str(options.flooded_s + 2 * SETTLE_S),
        )
        try:
            await asyncio.sleep(SETTLE_S)
            flooded = await clients.run(options.flooded_s)
            cpu_s = cpu_seconds(process.pid) - cpu_before_s
            return ProbeResult(calm, flooded, peak_memory_mb(process.pid), cpu_s)
        finally:
            with suppress(ProcessLookupError):
                bad.kill()
            await bad.wait()


def main() -> None:
    """Run one probe, or one of each behaviour, and print a line for each."""
    arguments = argparse.ArgumentParser(description="Measure usual clients beside bad ones.")
    arguments.add_argument("behaviours", nargs="*", metavar="BEHAVIOUR", help=f"of {', '.join(BEHAVIOURS)}")
    for option in fields(ProbeOptions)[1:]:
        name = "--" + option.name.replace("_", "-")
        arguments.add_argument(name, type=type(option.default), default=option.default)
    values = vars(arguments.parse_args())
    for behaviour in values.pop("behaviours") or BEHAVIOURS:
        options = ProbeOptions(behaviour, **values)
        print(f"{behaviour:28} {options.connections:4} {uvloop.run(probe(options))}", flush=True)


if __name__ == "__main__":
    main()

"""Tests that client connections cannot take the file descriptors that other connections need."""

import asyncio
import contextlib
import json
import re
import signal
from asyncio.subprocess import Process
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import pytest

from tests.counter_calls import settings_with_counter
from tests.front_door_process import free_port, start_process
from tests.loopback import (
    HEALTH_CHECK,
    FakeServer,
    Streams,
    encode_json,
    endpoint_list_dict,
    make_request,
    make_response,
    member_dict,
    read_message,
    uvloop_test,
)
from yardlane.descriptors import RESERVED_DESCRIPTORS, connection_limits

DESCRIPTORS = 128  # the process's limit (`ulimit -n`)
MAX_CLIENTS = connection_limits(DESCRIPTORS).clients


class IdleClients:
    """Clients that connect and stay connected. Every third one sends one request and gets its response."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.ended = 0
        self.changed = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []

    async def connect(self, count: int) -> None:
        """Connect `count` further clients, and wait until at most `MAX_CLIENTS` are still connected."""
        self.tasks += [asyncio.create_task(self._stay_connected(n)) for n in range(count)]
        while len(self.tasks) - self.ended > MAX_CLIENTS:
            self.changed.clear()
            await self.changed.wait()

    async def _stay_connected(self, n: int) -> None:
        reader, writer = await self._open_connection()
        with contextlib.suppress(ConnectionError):
            if n % 3 == 0:
                writer.write(HEALTH_CHECK)
            while await reader.read(1000):
                pass
        writer.transport.abort()
        self.ended += 1
        self.changed.set()

    async def _open_connection(self) -> Streams:
        while True:  # the process may not listen yet
            try:
                return await asyncio.open_connection("127.0.0.1", self.port)
            except ConnectionRefusedError:
                await asyncio.sleep(0.01)

    async def disconnect(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def serve_endpoint_list(
    discovery: FakeServer, snapshot: dict[str, Any], watched: asyncio.Event
) -> None:
    """Answer each fetch with the snapshot, including fetches that are already waiting.

    A watch gets no response, but sets `watched`.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while "index=" not in (await read_message(reader))[0]:
                writer.write(make_response(200, encode_json(snapshot)))
            watched.set()

    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(serve(*await discovery.accept_connection()))


async def serve_counter(counter: FakeServer, calls: list[bytes]) -> None:
    """Answer each call and append it to `calls`."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            calls.append(line)
            writer.write(b"ok 1\r\n" if line.startswith(b"tally") else b"pong\r\n")

    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(serve(*await counter.accept_connection()))


async def send_requests(port: int, *backends: FakeServer) -> None:
    """Send as many requests as there are backends, each from a new client, and assert that all succeed.

    Each backend answers one request, and no backend answers before all have received one.
    """

    async def send(n: int) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(make_request(trace=f"t{n}", Plan="metered", Account=f"{n:016x}"))
        line, _, body = await read_message(reader)
        writer.transport.abort()
        assert line == "HTTP/1.1 200 OK"
        return body

    async def answer_one(backend: FakeServer) -> None:
        reader, writer = await backend.accept_connection()
        await read_message(reader)
        busy.append(backend)
        while len(busy) < len(backends):
            await asyncio.sleep(0.01)
        writer.write(make_response(200, b"first"))

    busy: list[FakeServer] = []
    responses = asyncio.gather(*(send(n) for n in range(len(backends))))
    await asyncio.gather(*(answer_one(backend) for backend in backends))
    assert await responses == [b"first"] * len(backends)


def kill_if_running(process: Process) -> None:
    if process.returncode is None:
        process.kill()


def test_connection_limits_stay_within_the_available_descriptors() -> None:
    """All connections that the limits allow may be open at once. The limits must leave the descriptors that
    the process itself needs. Clients and upstreams must each get at least a third of all descriptors."""
    for descriptors in (256, 384, 512, 1024):
        limits = connection_limits(descriptors)
        assert limits.clients + limits.upstreams + RESERVED_DESCRIPTORS <= descriptors
        assert limits.clients >= descriptors // 3 and limits.upstreams >= descriptors // 3


@pytest.mark.parametrize("configured", [DESCRIPTORS, 1024])
# While discovery is down, it accepts connections without answering if `is_silent`, else it refuses them.
@pytest.mark.parametrize("is_silent", [False, True])
def test_idle_clients_leave_descriptors_for_discovery_counter_and_backends(
    is_silent: bool, configured: int, tmp_path: Path
) -> None:
    """Discovery is down when the process starts, and more idle clients connect than the process may hold
    descriptors. More clients connect before discovery moves to another address. If clients could take all
    descriptors, the process could not connect to discovery, the counter or a backend, and could not serve any
    request. The same must hold if the configuration allows more descriptors than the process's own limit."""

    @uvloop_test
    async def run() -> None:
        async with AsyncExitStack() as stack:
            one, two, three, counter, new_discovery = [
                await stack.enter_async_context(FakeServer()) for _ in range(5)
            ]
            discovery, port = FakeServer(), await free_port()
            if is_silent:
                await stack.enter_async_context(discovery)
            config = {
                "listen": f"127.0.0.1:{port}",
                "discovery": f"127.0.0.1:{discovery.port}",
                "seed": "1f",
                "counter": f"127.0.0.1:{counter.port}",
                "limits": {"sockets": configured},
                "settings": settings_with_counter(),
            }
            idle_clients = IdleClients(port)
            stack.push_async_callback(idle_clients.disconnect)
            connecting = asyncio.create_task(idle_clients.connect(3 * DESCRIPTORS))
            process = await start_process(tmp_path / "config.json", config, DESCRIPTORS)
            stack.callback(kill_if_running, process)
            await connecting
            if not is_silent:
                await stack.enter_async_context(discovery)
            calls: list[bytes] = []
            helpers = [asyncio.create_task(serve_counter(counter, calls))]
            for serving, backends in ((discovery, (one, two)), (new_discovery, (three,))):
                if serving is new_discovery:
                    config["discovery"] = f"127.0.0.1:{new_discovery.port}"
                    (tmp_path / "config.json").write_text(json.dumps(config))
                    await idle_clients.connect(DESCRIPTORS)
                    process.send_signal(signal.SIGHUP)
                watched = asyncio.Event()
                helpers.append(
                    asyncio.create_task(
                        serve_endpoint_list(
                            serving,
                            endpoint_list_dict(
                                *(member_dict(f"s-{backend.port}", backend.port) for backend in backends)
                            ),
                            watched,
                        )
                    )
                )
                await watched.wait()
                await idle_clients.connect(DESCRIPTORS)  # takes all client connections again
                await send_requests(port, *backends)
            process.send_signal(signal.SIGTERM)
            _, errors = await process.communicate()
            for helper in helpers:
                assert not helper.done(), helper
                helper.cancel()
        log = errors.decode()
        assert process.returncode == 0 and any(line.startswith(b"tally ") for line in calls)
        assert not re.search("Traceback|Too many open files|cannot accept|dropped", log), log
        assert log.count("limits.sockets is 1024, but this process may hold 128") == (
            configured > DESCRIPTORS
        ), log

    run()

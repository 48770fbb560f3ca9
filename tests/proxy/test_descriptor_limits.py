"""The descriptors of a process are divided so that no kind of connection can take those of another."""

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

from yardlane.descriptors import RESERVED_DESCRIPTORS, divide
from tests.client_side import HEALTH_CHECK
from tests.loopback import (
    Peer,
    Streams,
    answer,
    as_json,
    ask,
    member,
    read_message,
    settings,
    socket_test,
    whole_list,
)
from tests.proxy.test_proxy import free_port, start

DESCRIPTORS = 128  # that the process may hold
MAX_CLIENTS = divide(DESCRIPTORS).clients
WITH_COUNTER = settings(family_info={"shared_counter": True, "count_wait_us": 5_000_000})


class IdleClients:
    """Clients that connect and stay; every third has sent a health check before, and was answered."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.ended_count = 0
        self.changed = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []

    async def connect(self, count: int) -> None:
        """Until all have been accepted: the proxy has ended those for whom it has no connection left."""
        self.tasks += [asyncio.create_task(self._stay(n)) for n in range(count)]
        while len(self.tasks) - self.ended_count > MAX_CLIENTS:
            self.changed.clear()
            await self.changed.wait()

    async def _stay(self, n: int) -> None:
        reader, writer = await self._open()
        with contextlib.suppress(ConnectionError):
            if n % 3 == 0:
                writer.write(HEALTH_CHECK)
            while await reader.read(1000):
                pass
        writer.transport.abort()
        self.ended_count += 1
        self.changed.set()

    async def _open(self) -> Streams:
        while True:  # from before the process listens
            try:
                return await asyncio.open_connection("127.0.0.1", self.port)
            except ConnectionRefusedError:
                await asyncio.sleep(0.01)

    async def cancel(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def serve_list(discovery: Peer, endpoint_list: dict[str, Any], watched: asyncio.Event) -> None:
    """Answer polls with the endpoint list, also those that wait already; a watch gets no answer."""

    async def one(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while "index=" not in (await read_message(reader))[0]:
                writer.write(answer(200, as_json(endpoint_list)))
            watched.set()

    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(one(*await discovery.connection()))


async def serve_counter(counter: Peer, calls: list[bytes]) -> None:
    """Answer each line, and keep it."""

    async def one(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            calls.append(line)
            writer.write(b"ok 1\r\n" if line.startswith(b"tally") else b"pong\r\n")

    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(one(*await counter.connection()))


async def send_requests(port: int, *backends: Peer) -> None:
    """A new client for each backend; no backend responds before all have a request."""

    async def send(n: int) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(ask(trace=f"t{n}", Plan="metered", Account=f"{n:016x}"))
        line, _, body = await read_message(reader)
        writer.transport.abort()
        assert line == "HTTP/1.1 200 OK"
        return body

    async def serve(backend: Peer) -> None:
        reader, writer = await backend.connection()
        await read_message(reader)
        reached.append(backend)
        while len(reached) < len(backends):
            await asyncio.sleep(0.01)
        writer.write(answer(200, b"first"))

    reached: list[Peer] = []
    responses = asyncio.gather(*(send(n) for n in range(len(backends))))
    await asyncio.gather(*(serve(backend) for backend in backends))
    assert await responses == [b"first"] * len(backends)


def kill(process: Process) -> None:
    if process.returncode is None:
        process.kill()


def test_the_connection_limits_stay_within_the_descriptors() -> None:
    for descriptors in (256, 384, 512, 1024):
        limits = divide(descriptors)
        assert limits.clients + limits.upstreams + RESERVED_DESCRIPTORS <= descriptors
        assert limits.clients >= descriptors // 3 and limits.upstreams >= descriptors // 3


@pytest.mark.parametrize("configured", [DESCRIPTORS, 1024])
@pytest.mark.parametrize("is_silent", [False, True])  # else discovery refuses connections while it is down
def test_idle_clients_take_no_descriptor_that_others_need_while_discovery_is_down(
    is_silent: bool, configured: int, tmp_path: Path
) -> None:
    """Idle clients fill the proxy while it cannot reach discovery; then discovery returns, and later moves.

    Were the clients to hold every descriptor, the proxy could reach neither discovery nor counter nor any
    backend, and would stay so: each descriptor that becomes free is taken by the next client. That holds too
    where the configuration names more descriptors than the process may hold.
    """

    @socket_test
    async def run() -> None:
        async with AsyncExitStack() as stack:
            one, two, three, counter, moved = [await stack.enter_async_context(Peer()) for _ in range(5)]
            discovery = Peer()
            port = await free_port()
            if is_silent:
                await stack.enter_async_context(discovery)
            config = {
                "listen": f"127.0.0.1:{port}",
                "discovery": f"127.0.0.1:{discovery.port}",
                "seed": "1f",
                "counter": f"127.0.0.1:{counter.port}",
                "limits": {"sockets": configured},
                "settings": WITH_COUNTER,
            }
            idle_clients = IdleClients(port)
            stack.push_async_callback(idle_clients.cancel)
            connecting = asyncio.create_task(idle_clients.connect(3 * DESCRIPTORS))
            process = await start(tmp_path / "config.json", config, DESCRIPTORS)
            stack.callback(kill, process)
            await connecting
            if not is_silent:
                await stack.enter_async_context(discovery)
            calls: list[bytes] = []
            peers = [asyncio.create_task(serve_counter(counter, calls))]
            for serving, backends in ((discovery, (one, two)), (moved, (three,))):
                if serving is moved:
                    config["discovery"] = f"127.0.0.1:{moved.port}"
                    (tmp_path / "config.json").write_text(json.dumps(config))
                    await idle_clients.connect(DESCRIPTORS)
                    process.send_signal(signal.SIGHUP)
                endpoint_list = whole_list(*(member(f"s-{peer.port}", peer.port) for peer in backends))
                watched = asyncio.Event()
                peers.append(asyncio.create_task(serve_list(serving, endpoint_list, watched)))
                await watched.wait()
                await idle_clients.connect(DESCRIPTORS)  # all connections are taken again
                await send_requests(port, *backends)
            process.send_signal(signal.SIGTERM)
            _, errors = await process.communicate()
            for peer in peers:
                assert not peer.done(), peer
                peer.cancel()
        log = errors.decode()
        assert process.returncode == 0 and any(line.startswith(b"tally ") for line in calls)
        assert not re.search("Traceback|Too many open files|cannot accept|dropped", log), log
        warnings = log.count("limits.sockets is 1024, but this process may hold 128")
        assert warnings == (configured > DESCRIPTORS), log

    run()

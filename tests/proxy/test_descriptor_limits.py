"""Idle clients that would take every descriptor while discovery is down. The program is a process."""

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

from yardlane.descriptors import divide
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

HELD = 128  # descriptors that the process may hold
PLACES = divide(HELD).clients
COUNTED = settings(family_info={"shared_counter": True, "count_wait_us": 5_000_000})
HEALTH = b"GET /_health HTTP/1.1\r\nHost: svc\r\n\r\n"


class Crowd:
    """Clients that connect and stay; every third has asked something before, and was answered."""

    def __init__(self, port: int) -> None:
        self.port, self.ended = port, 0
        self.changed = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []

    async def come(self, count: int) -> None:
        """Until all have been accepted: the front door has ended those for whom it has no place."""
        self.tasks += [asyncio.create_task(self._stay(n)) for n in range(count)]
        while len(self.tasks) - self.ended > PLACES:
            self.changed.clear()
            await self.changed.wait()

    async def _stay(self, n: int) -> None:
        reader, writer = await self._connect()
        with contextlib.suppress(ConnectionError):
            if n % 3 == 0:
                writer.write(HEALTH)
            while await reader.read(1000):
                pass
        writer.transport.abort()
        self.ended += 1
        self.changed.set()

    async def _connect(self) -> Streams:
        while True:  # from before the process listens
            try:
                return await asyncio.open_connection("127.0.0.1", self.port)
            except ConnectionRefusedError:
                await asyncio.sleep(0.01)

    async def leave(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def serve_list(discovery: Peer, told: dict[str, Any], watched: asyncio.Event) -> None:
    """The whole list to whoever asks for it, also to who waits already; a watch hears nothing."""

    async def one(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while "index=" not in (await read_message(reader))[0]:
                writer.write(answer(200, as_json(told)))
            watched.set()

    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(one(*await discovery.connection()))


async def serve_counter(counter: Peer, calls: list[bytes]) -> None:
    async def one(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            calls.append(line)
            writer.write(b"ok 1\r\n" if line.startswith(b"tally") else b"pong\r\n")

    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(one(*await counter.connection()))


async def call(port: int, *backends: Peer) -> None:
    """A new client each; all are served, each backend has at least one of them before any is answered."""

    async def one(n: int) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(ask(trace=f"t{n}", Plan="metered", Account=f"{n:016x}"))
        line, _, body = await read_message(reader)
        writer.transport.abort()
        assert line == "HTTP/1.1 200 OK"
        return body

    async def take(backend: Peer) -> None:
        reader, writer = await backend.connection()
        await read_message(reader)
        met.append(backend)
        while len(met) < len(backends):
            await asyncio.sleep(0.01)
        writer.write(answer(200, b"first"))

    met: list[Peer] = []
    calls = asyncio.gather(*(one(n) for n in range(len(backends))))
    await asyncio.gather(*(take(backend) for backend in backends))
    assert await calls == [b"first"] * len(backends)


def end(door: Process) -> None:
    if door.returncode is None:
        door.kill()


@pytest.mark.parametrize("told", [HELD, 1024])  # by the configuration
@pytest.mark.parametrize("is_silent", [False, True])  # else discovery refuses while it is down
def test_a_crowd_while_discovery_is_down_takes_no_descriptor_that_others_need(
    is_silent: bool, told: int, tmp_path: Path
) -> None:
    @socket_test
    async def run() -> None:
        async with AsyncExitStack() as stack:
            one, two, three, counter, moved = [await stack.enter_async_context(Peer()) for _ in range(5)]
            discovery, port = Peer(), await free_port()
            if is_silent:
                await stack.enter_async_context(discovery)
            config = {
                "listen": f"127.0.0.1:{port}",
                "discovery": f"127.0.0.1:{discovery.port}",
                "seed": "1f",
                "counter": f"127.0.0.1:{counter.port}",
                "limits": {"sockets": told},
                "settings": COUNTED,
            }
            crowd = Crowd(port)
            stack.push_async_callback(crowd.leave)
            coming = asyncio.create_task(crowd.come(3 * HELD))
            door = await start(tmp_path / "config.json", config, HELD)
            stack.callback(end, door)
            await coming
            if not is_silent:
                await stack.enter_async_context(discovery)
            calls: list[bytes] = []
            helpers = [asyncio.create_task(serve_counter(counter, calls))]
            for place, members in ((discovery, (one, two)), (moved, (three,))):
                if place is moved:
                    config["discovery"] = f"127.0.0.1:{moved.port}"
                    (tmp_path / "config.json").write_text(json.dumps(config))
                    await crowd.come(HELD)
                    door.send_signal(signal.SIGHUP)
                watched = asyncio.Event()
                helpers.append(
                    asyncio.create_task(
                        serve_list(
                            place,
                            whole_list(*(member(f"s-{peer.port}", peer.port) for peer in members)),
                            watched,
                        )
                    )
                )
                await watched.wait()
                await crowd.come(HELD)  # all places are taken again
                await call(port, *members)
            door.send_signal(signal.SIGTERM)
            _, errors = await door.communicate()
            for helper in helpers:
                assert not helper.done(), helper
                helper.cancel()
        log = errors.decode()
        assert door.returncode == 0 and any(line.startswith(b"tally ") for line in calls)
        assert not re.search("Traceback|Too many open files|cannot accept|dropped", log), log
        assert log.count("limits.sockets is 1024, but this process may hold 128") == (told > HELD), log

    run()

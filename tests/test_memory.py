"""Tests of the memory that the whole process takes while many clients send what is costly to keep."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from tests.front_door_process import free_port, peak_memory_mb, start_process
from tests.loopback import (
    HEALTH_CHECK,
    FakeServer,
    endpoint_list_dict,
    make_request,
    member_dict,
    read_message,
    settings_dict,
)
from tests.proxy.message_cuts import chunked
from yardlane.proxy.client_connection import MAX_PENDING_REQUESTS
from yardlane.proxy.message_body import MAX_BODY_BYTES

MEMORY_LIMIT_MB = 192  # with more, the platform kills the process
DESCRIPTORS = 1024
# A third of the descriptors may be held by clients with requests.
CLIENT_COUNT = 340
# A smaller deployment, with as many clients as `connection_limits` admits.
SMALL_MEMORY_LIMIT_MB = 80
SMALL_DESCRIPTORS = 640
SMALL_CLIENT_COUNT = 300
LARGE_REQUEST = make_request("file", Content_Length=str(MAX_BODY_BYTES), X_Expires_In="1500m") + bytes(
    MAX_BODY_BYTES
)


@asynccontextmanager
async def running_process(
    tmp_path: Path, descriptors: int = DESCRIPTORS, memory_mb: int = MEMORY_LIMIT_MB
) -> AsyncIterator[tuple[asyncio.subprocess.Process, int]]:
    """Run a front door in a process of its own; return the process and its port.

    Its only upstream accepts connections and is silent.
    """
    port = await free_port()
    async with FakeServer() as discovery, FakeServer() as upstream:
        configuration = {
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{discovery.port}",
            "seed": "1f",
            "limits": {"sockets": descriptors, "memory_mb": memory_mb},
            "settings": settings_dict(),
            "known": endpoint_list_dict(member_dict("s-1", upstream.port)),
        }
        process = await start_process(tmp_path / "config.json", configuration, descriptors)
        try:
            await discovery.accept_connection()  # the process has started, and listens
            yield process, port
        finally:
            process.kill()
            await process.communicate()


async def send_until_answered(port: int, data: bytes) -> asyncio.StreamWriter:
    """Send `data` on a new connection, read the first line of the answer, and return the open connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    assert (await reader.readline()).startswith(b"HTTP/1.1 ")
    return writer


@pytest.mark.parametrize(
    "request_bytes",
    [
        make_request("file", Content_Length=None, Transfer_Encoding="chunked") + chunked(MAX_BODY_BYTES, 2),
        make_request()[:-2] + b"X-Padding: " + b"a" * 1_000_000,
    ],
    ids=["bodies in chunks of two bytes", "endless header lines"],
)
def test_clients_within_their_limits_do_not_bring_the_process_over_its_memory(
    request_bytes: bytes, tmp_path: Path
) -> None:
    """As many clients as may hold requests send a costly request each and keep their connections.

    The process took 0.5 to 1 MB for each of them and was killed for it, with all requests that it had taken.
    """

    async def run() -> None:
        async with running_process(tmp_path) as (process, port):
            (await send_until_answered(port, HEALTH_CHECK)).close()
            clients = (send_until_answered(port, request_bytes) for _ in range(CLIENT_COUNT))
            writers = await asyncio.gather(*clients)
            assert peak_memory_mb(process.pid) <= MEMORY_LIMIT_MB
            for writer in writers:
                writer.transport.abort()

    asyncio.run(run())


async def send_unfinished_request(port: int, number: int) -> asyncio.StreamWriter:
    """Send a large request but for its last byte, and read the answer that ends it; return the connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(LARGE_REQUEST.replace(b"ab12", b"a%d" % number)[:-1])
    line, headers, _ = await read_message(reader)
    assert line.split()[1] in ("408", "503") and headers["connection"] == "close"
    return writer


async def send_large_requests(port: int, number: int) -> asyncio.StreamWriter:
    """Send as many large requests as are forwarded at once, and read their answers.

    A connection may be closed after an answer that refuses an unfinished request. Return the connection.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for place in range(MAX_PENDING_REQUESTS):
        writer.write(LARGE_REQUEST.replace(b"ab12", b"a%d-%d" % (number, place)))
    for _ in range(MAX_PENDING_REQUESTS):
        line, headers, _ = await read_message(reader)
        assert line.split()[1] in ("429", "502", "503")
        if headers.get("connection") == "close":
            break
    return writer


@pytest.mark.parametrize("send", [send_large_requests, send_unfinished_request])
def test_large_requests_of_all_clients_do_not_bring_the_process_over_its_memory(
    send: Callable[[int, int], Awaitable[asyncio.StreamWriter]], tmp_path: Path
) -> None:
    """As many clients as may connect send four whole large requests each while the upstreams hang, or stop
    within a large request.

    Each connection was within its limits. Whole requests together took 103 MB of 80 MB, for which the
    platform kills the process.
    """

    async def run() -> None:
        async with running_process(tmp_path, SMALL_DESCRIPTORS, SMALL_MEMORY_LIMIT_MB) as (process, port):
            (await send_until_answered(port, HEALTH_CHECK)).close()
            clients = (send(port, number) for number in range(SMALL_CLIENT_COUNT))
            writers = await asyncio.gather(*clients)
            assert peak_memory_mb(process.pid) <= SMALL_MEMORY_LIMIT_MB
            for writer in writers:
                writer.transport.abort()

    asyncio.run(run())

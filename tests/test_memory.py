"""Tests of the memory that the whole process takes while many clients send what is costly to keep."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from tests.front_door_process import free_port, start_process
from tests.loopback import (
    HEALTH_CHECK,
    FakeServer,
    endpoint_list_dict,
    make_request,
    member_dict,
    settings_dict,
)
from tests.proxy.message_cuts import chunked
from yardlane.proxy.message_body import MAX_BODY_BYTES

MEMORY_LIMIT_MB = 192  # with more, the platform kills the process
DESCRIPTORS = 1024
# A third of the descriptors may be held by clients with requests.
CLIENT_COUNT = 340


def peak_memory_mb(process: asyncio.subprocess.Process) -> float:
    """Return the peak resident memory of a process in MB (`VmHWM` in proc(5), which counts in KB)."""
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise AssertionError("the process has ended")


@asynccontextmanager
async def running_process(tmp_path: Path) -> AsyncIterator[tuple[asyncio.subprocess.Process, int]]:
    """Run a front door without upstreams in a process of its own; return the process and its port."""
    port = await free_port()
    async with FakeServer() as discovery:
        configuration = {
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{discovery.port}",
            "seed": "1f",
            "limits": {"sockets": DESCRIPTORS},
            "settings": settings_dict(),
            "known": endpoint_list_dict(member_dict("s-1", 9)),
        }
        process = await start_process(tmp_path / "config.json", configuration, DESCRIPTORS)
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
            assert peak_memory_mb(process) <= MEMORY_LIMIT_MB
            for writer in writers:
                writer.transport.abort()

    asyncio.run(run())

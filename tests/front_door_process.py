"""Starts the front door in a separate process."""

import asyncio
import json
import os
import sys
from pathlib import Path

from tests.loopback import FakeServer


async def start_process(
    config_path: Path, configuration: object, descriptors: int = 0
) -> asyncio.subprocess.Process:
    """Write the configuration to `config_path`, and start the front door with it.

    The process may hold `descriptors` file descriptors; 0 leaves it the limit of the test process.
    """
    config_path.write_text(json.dumps(configuration))
    limit = f"ulimit -n {descriptors} && " if descriptors else ""
    return await asyncio.create_subprocess_exec(
        "sh",
        "-c",
        f'{limit}exec "$0" -m yardlane',
        sys.executable,
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "EDGE_CONFIG": str(config_path)},
    )


async def free_port() -> int:
    """Return a port of 127.0.0.1 on which no process listens."""
    async with FakeServer() as server:
        return server.port


def peak_memory_mb(process_id: int) -> float:
    """Return the peak resident memory of a process in MB (`VmHWM` in proc(5), which counts in KB)."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise AssertionError("the process has ended")

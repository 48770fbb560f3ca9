"""The front door as a process of its own."""

import asyncio
import json
import os
import sys
from pathlib import Path

from tests.loopback import FakeServer


async def start_process(
    config_path: Path, configuration: object, descriptors: int = 0
) -> asyncio.subprocess.Process:
    """The command with a configuration file, written to `config_path`.

    It may hold so many file descriptors; 0 for as many as the test itself.
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
    """A port of 127.0.0.1 that nobody listens on."""
    async with FakeServer() as server:
        return server.port

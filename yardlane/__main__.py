"""The front door's command: `python -m yardlane`, configured by `EDGE_CONFIG` and its environment.

Exit codes: 0 after a graceful shutdown, 1 where it cannot listen, 2 for a configuration that cannot be used.
An error of these is one plain line on standard error.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys

import uvloop

from yardlane import log
from yardlane.config import Config, load_config
from yardlane.decisions.gateway import Gateway
from yardlane.errors import ConfigError
from yardlane.server import Server

EXIT_STOPPED = 0
EXIT_CANNOT_LISTEN = 1
EXIT_INVALID_CONFIG = 2


async def serve(config: Config) -> int:
    """Serve until the shutdown has ended; the exit code."""
    try:
        gateway = Gateway(config.settings, config.seed)
        await Server(config, asyncio.get_running_loop(), gateway).run()
    except OSError as error:
        host, port = config.listen
        print(f"yardlane: cannot listen on {host}:{port}: {error}", file=sys.stderr)
        return EXIT_CANNOT_LISTEN
    return EXIT_STOPPED


def main() -> int:
    """Read the configuration and serve; the exit code."""
    # Until the server handles SIGHUP, its default action would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    log.configure()
    try:
        config = load_config(os.environ)
    except ConfigError as error:
        print("yardlane:", error.one_line(), file=sys.stderr)
        return EXIT_INVALID_CONFIG
    return uvloop.run(serve(config))


if __name__ == "__main__":
    sys.exit(main())

"""The command `python -m yardlane`, which runs a front door.

The environment variable `EDGE_CONFIG` names its configuration file; other variables may override values.

Exit codes: 0 after a graceful shutdown, 1 if the process cannot listen, 2 if the configuration is invalid.
For 1 and 2, one line on standard error describes the error.
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
    """Serve until the graceful shutdown has ended, and return the exit code."""
    try:
        gateway = Gateway(config.settings, config.seed)
        await Server(config, asyncio.get_running_loop(), gateway).run()
    except OSError as error:
        host, port = config.listen
        print(f"yardlane: cannot listen on {host}:{port}: {error}", file=sys.stderr)
        return EXIT_CANNOT_LISTEN
    return EXIT_STOPPED


def main() -> int:
    """Load the configuration, serve, and return the exit code."""
    # The default action of SIGHUP would terminate the process before the server installs its handler.
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

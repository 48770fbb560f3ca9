"""How the process divides its file descriptors between client and upstream connections.

A process without a free descriptor can accept nobody and connect nowhere. If clients could take all of them,
discovery and the upstreams would be shut out for as long as the clients stay. So each kind of connection has
a limit, and with what the process itself needs the limits stay under the descriptors that it may hold (but
see `connection_limits` for a process that may hold next to none).
"""

from __future__ import annotations

import logging
import resource
from typing import NamedTuple

log = logging.getLogger("yardlane.descriptors")

# The loop, signals, the listener and the standard streams; discovery and counter, each twice while they move;
# and connections that are being closed, which hold their descriptor until the end of the loop's turn.
RESERVED_DESCRIPTORS = 40
# Under this there is no use in a limit: it would serve nobody.
MIN_CONNECTIONS = 16


class ConnectionLimits(NamedTuple):
    """The most connections of each kind at a time."""

    clients: int
    upstreams: int


def connection_limits(descriptors: int) -> ConnectionLimits:
    """Even halves: requests come from a third of all, and each of them may need an upstream connection.

    Under `RESERVED_DESCRIPTORS + MIN_CONNECTIONS` descriptors the limits are those of `MIN_CONNECTIONS`, so
    they may add up to more than there are: the process can then run out of descriptors.
    """
    connections = max(MIN_CONNECTIONS, descriptors - RESERVED_DESCRIPTORS)
    clients = connections // 2
    return ConnectionLimits(clients, connections - clients)


def usable_descriptors(configured: int) -> int:
    """The configured number, or less where the process's own limit (`ulimit -n`) is lower."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY or configured <= allowed:
        return configured
    log.warning(
        "limits.sockets is %d, but this process may hold %d descriptors: using the lower limit",
        configured,
        allowed,
    )
    return allowed

"""Divides the file descriptors of the process between client and upstream connections.

A process without a free descriptor can neither accept nor open a connection. If client connections could use
all descriptors, the process could not connect to discovery or an upstream until clients disconnect. Clients
and upstreams therefore have a connection limit each. The two limits and `RESERVED_DESCRIPTORS` add up to the
descriptors that the process may hold, unless those are very few (see `connection_limits`).
"""

from __future__ import annotations

import logging
import resource
from typing import NamedTuple

log = logging.getLogger("yardlane.descriptors")

# Reserved for the event loop, signals, the listener and the standard streams; for discovery and the counter,
# which may each have two connections while their address changes; and for connections that are being closed,
# which hold their descriptor until the end of the event loop iteration.
RESERVED_DESCRIPTORS = 40
# With fewer connections in all, the front door could not serve its clients.
MIN_CONNECTIONS = 16


class ConnectionLimits(NamedTuple):
    """The maximum numbers of simultaneous connections."""

    clients: int
    upstreams: int


def connection_limits(descriptors: int) -> ConnectionLimits:
    """Return the connection limits for a process that may hold `descriptors` file descriptors.

    Clients and upstreams each get half of what is not reserved: requests come from a third of all
    connections, and each request may need an upstream connection. With fewer than
    `RESERVED_DESCRIPTORS + MIN_CONNECTIONS` descriptors, the limits still add up to `MIN_CONNECTIONS`, so
    the process may run out of descriptors.
    """
    connections = max(MIN_CONNECTIONS, descriptors - RESERVED_DESCRIPTORS)
    clients = connections // 2
    return ConnectionLimits(clients, connections - clients)


def usable_descriptors(configured: int) -> int:
    """Return the configured number, or the process's soft limit (`ulimit -n`) if that is lower."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY or configured <= allowed:
        return configured
    log.warning(
        "limits.sockets is %d, but this process may hold %d descriptors (ulimit -n): using the lower limit",
        configured,
        allowed,
    )
    return allowed

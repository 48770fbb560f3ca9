"""Limits the bytes that clients make the process hold, over all their connections.

The limits on a single message bound what one connection holds. The sum over all connections may still exceed
the memory of the process, so there are limits on sums:

- **Buffered bytes**: what has been read of requests whose end has not arrived, and responses on connections
  whose write buffer is full because the client does not read. At the limit, the oldest connection with such
  responses is closed, then the oldest unfinished request is refused, until the sum is within the limit.
- **Pending bytes**: requests that wait for their response, with more than `SMALL_REQUEST_BYTES` each. They
  count twice: the request, and its copy for an attempt. A request that would exceed the limit is refused.

So usual requests, which arrive in one read and are small, are always accepted.
"""

from __future__ import annotations

import logging
from typing import NamedTuple, Protocol

from yardlane.units import BYTES_PER_MB

log = logging.getLogger("yardlane.proxy.client_memory")

# A pending request up to this size is not counted. All pending requests together are limited by the number of
# connections.
SMALL_REQUEST_BYTES = 4_096
COPIES_OF_PENDING_REQUEST = 2
# What the process takes besides, at rest and for connections.
RESERVED_BYTES = 40 * BYTES_PER_MB
# Shares of the rest. What they leave is for upstreams, the endpoint list, and for what the memory allocator
# cannot reuse.
BUFFERED_SHARE = 0.4
PENDING_SHARE = 0.2
MIN_BYTES = 2 * BYTES_PER_MB  # of each sum


class ClientMemoryLimits(NamedTuple):
    """The limits on what clients may make the process hold, in bytes."""

    buffered_bytes: int
    pending_bytes: int


def client_memory_limits(memory_limit_mb: int) -> ClientMemoryLimits:
    """Return the limits for a process that may use `memory_limit_mb` in all."""
    rest_bytes = memory_limit_mb * BYTES_PER_MB - RESERVED_BYTES
    return ClientMemoryLimits(
        max(MIN_BYTES, int(BUFFERED_SHARE * rest_bytes)), max(MIN_BYTES, int(PENDING_SHARE * rest_bytes))
    )


class MemoryHolder(Protocol):
    """The part of a client connection's interface that `ClientMemory` uses."""

    def refuse_unfinished_request(self) -> None:
        """Refuse the request that has arrived in part, and close the connection."""

    def abort(self) -> None:
        """Close the connection at once and discard unsent responses."""


class ClientMemory:
    """Counts the bytes that clients make the process hold, and keeps both sums within their limits."""

    def __init__(self, limits: ClientMemoryLimits) -> None:
        self.limits = limits
        self.buffered_bytes = 0
        self.pending_bytes = 0
        # Both in the order in which the connections began to hold bytes.
        self._unfinished: dict[MemoryHolder, int] = {}
        self._unsent: dict[MemoryHolder, int] = {}

    def set_unfinished(self, holder: MemoryHolder, buffered_bytes: int) -> None:
        """Set what a connection holds of a request that has arrived in part; 0 if there is none."""
        self._set(self._unfinished, holder, buffered_bytes)

    def set_unsent(self, holder: MemoryHolder, buffered_bytes: int) -> None:
        """Set what a connection holds of responses that its client does not read; 0 if it reads them."""
        self._set(self._unsent, holder, buffered_bytes)

    def add_pending(self, request_bytes: int) -> int | None:
        """Count a large request that is about to be forwarded.

        Return what `remove_pending` has to be given, or None if the request would exceed the limit and has to
        be refused.
        """
        pending_bytes = COPIES_OF_PENDING_REQUEST * request_bytes
        if self.pending_bytes + pending_bytes > self.limits.pending_bytes:
            log.warning(
                "large pending requests hold %d bytes, at most %d are allowed; refusing one of %d bytes",
                self.pending_bytes,
                self.limits.pending_bytes,
                request_bytes,
            )
            return None
        self.pending_bytes += pending_bytes
        return pending_bytes

    def remove_pending(self, pending_bytes: int) -> None:
        """Stop counting a request that has ended."""
        self.pending_bytes -= pending_bytes

    def _set(self, sizes: dict[MemoryHolder, int], holder: MemoryHolder, buffered_bytes: int) -> None:
        old_bytes = sizes.get(holder, 0)
        self.buffered_bytes += buffered_bytes - old_bytes
        if buffered_bytes:
            sizes[holder] = buffered_bytes  # a holder that is counted already keeps its place
        else:
            sizes.pop(holder, None)
        if buffered_bytes > old_bytes:
            self._free()

    def _free(self) -> None:
        """Close the oldest holders until the sum is within the limit, or nothing is left to free."""
        while self.buffered_bytes > self.limits.buffered_bytes and self._unsent:
            self._log_excess("closing the connection whose client has not read its responses for longest")
            self._remove_oldest(self._unsent).abort()
        while self.buffered_bytes > self.limits.buffered_bytes and self._unfinished:
            self._log_excess("refusing the oldest unfinished request")
            self._remove_oldest(self._unfinished).refuse_unfinished_request()

    def _log_excess(self, consequence: str) -> None:
        log.warning(
            "%d bytes are buffered for clients, at most %d are allowed; %s",
            self.buffered_bytes,
            self.limits.buffered_bytes,
            consequence,
        )

    def _remove_oldest(self, sizes: dict[MemoryHolder, int]) -> MemoryHolder:
        """Stop counting the holder that has been counted longest, and return it."""
        holder = next(iter(sizes))
        self._set(sizes, holder, 0)
        return holder

"""The bytes of one client connection that have been read and not been parsed yet."""

from __future__ import annotations

from collections import deque


class ReadBacklog:
    """Reads in the order of their arrival; the oldest may have been taken in part.

    `buffered_bytes` is the size of all of them. It includes what has been taken of the oldest one, because
    its memory is freed only as a whole.
    """

    __slots__ = ("_reads", "_taken_bytes", "buffered_bytes")

    def __init__(self) -> None:
        self._reads: deque[bytes] = deque()
        self._taken_bytes = 0  # of the oldest read
        self.buffered_bytes = 0

    def __bool__(self) -> bool:
        return bool(self._reads)

    def add(self, data: bytes) -> None:
        """Append a read, which must not be empty."""
        self._reads.append(data)
        self.buffered_bytes += len(data)

    def left_bytes(self) -> int:
        """Return how many bytes have not been taken."""
        return self.buffered_bytes - self._taken_bytes

    def is_within_read(self) -> bool:
        """Return whether a part of the oldest read has been taken, and another part has not."""
        return self._taken_bytes > 0

    def take(self, max_bytes: int) -> memoryview:
        """Remove and return up to `max_bytes`, all of the oldest read."""
        read = self._reads[0]
        start = self._taken_bytes
        part = memoryview(read)[start : start + max_bytes]
        self._taken_bytes += len(part)
        if self._taken_bytes == len(read):
            self._reads.popleft()
            self._taken_bytes = 0
            self.buffered_bytes -= len(read)
        return part

    def clear(self) -> None:
        """Discard everything."""
        self._reads.clear()
        self._taken_bytes = 0
        self.buffered_bytes = 0

"""Endless messages, in the ways in which a peer may cut them into lines and reads, and how to feed them."""

import tracemalloc
from collections.abc import Callable, Iterator
from itertools import repeat

from yardlane.proxy.message_meter import MAX_HEAD_BYTES, MAX_PART_BYTES

# The bytes that a parser may take from an endless line before it refuses the message, besides the last read:
# the limit, and what `MessageMeter` adds to it.
MAX_TAKEN_BYTES = MAX_HEAD_BYTES + 2 * MAX_PART_BYTES
ENDLESS_BYTES = 2_000_000  # after so many bytes, a line counts as never refused
READ_SIZES = (7, 1000, 65_536, 250_000)  # in bytes; the event loop reads at most 256,000 at once


def endless(start: bytes, filler: bytes, read_bytes: int) -> Iterator[bytes]:
    """Return the reads of a message that begins with `start` and then repeats `filler` without an end."""
    yield start
    read = filler * (read_bytes // len(filler) + 1)
    yield from repeat(read, ENDLESS_BYTES // len(read))


def taken_before(
    error_class: type[Exception], feed: Callable[[bytes], object], reads: Iterator[bytes]
) -> int:
    """Feed the reads until `error_class` is raised; return how many bytes were fed before the last read.

    Fails if it is never raised.
    """
    taken_bytes = 0
    for read in reads:
        try:
            feed(read)
        except error_class:
            return taken_bytes
        taken_bytes += len(read)
    raise AssertionError(f"{taken_bytes} bytes were taken without an error")


def peak_bytes_of(run: Callable[[], object]) -> int:
    """Return how many more bytes than before were allocated at once during the call of `run`."""
    tracemalloc.start()
    try:
        run()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()

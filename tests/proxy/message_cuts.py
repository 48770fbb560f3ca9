"""Long and endless messages, cut into lines, chunks and reads as a peer may cut them, and what they cost."""

import tracemalloc
from collections.abc import Callable, Iterator
from itertools import pairwise, repeat

from yardlane.proxy.message_meter import MAX_HEAD_BYTES, MAX_PART_BYTES

# The bytes that a parser may take from an endless line before it refuses the message, besides the last read:
# the limit, and what `MessageMeter` adds to it.
MAX_TAKEN_BYTES = MAX_HEAD_BYTES + 2 * MAX_PART_BYTES
ENDLESS_BYTES = 2_000_000  # after so many bytes, a line counts as never refused
READ_SIZES = (7, 1000, 65_536, 250_000)  # in bytes; the event loop reads at most 256,000 at once


# What is repeated without an end after a chunked head, as the beginning and the repeated part.
ENDLESS_CHUNKS = {
    "chunk size": (b"", b"0"),
    "chunk extension": (b"1;a=", b"a"),
    "extensions of chunks of one byte": (b"", b"1;" + b"a" * 1000 + b"\r\nx\r\n"),
}


def endless_chunks_after(chunked_head: bytes) -> dict[str, tuple[bytes, bytes]]:
    """Return `ENDLESS_CHUNKS`, each with `chunked_head` before its beginning."""
    return {name: (chunked_head + start, filler) for name, (start, filler) in ENDLESS_CHUNKS.items()}


def endless(start: bytes, filler: bytes, read_bytes: int) -> Iterator[bytes]:
    """Return the reads of a message that begins with `start` and then repeats `filler` without an end."""
    yield start
    read = filler * (read_bytes // len(filler) + 1)
    yield from repeat(read, ENDLESS_BYTES // len(read))


def chunked(body_bytes: int, chunk_bytes: int) -> bytes:
    """Return a chunked body of `body_bytes`, in chunks of `chunk_bytes`."""
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    return chunk * (body_bytes // chunk_bytes) + b"0\r\n\r\n"


def split(data: bytes, read_bytes: int) -> list[bytes]:
    """Return `data` in reads of `read_bytes`; the last one may be shorter."""
    bounds = [*range(0, len(data), read_bytes), len(data)]
    return [data[start:end] for start, end in pairwise(bounds)]


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

"""Limits the bytes of an HTTP message that are not its body, however they are cut into lines and reads.

httptools reports a header once its line is complete, and collects the line until then. White space, the
reason phrase, and the sizes and extensions of chunks it does not report at all. A limit that is checked only
when something is reported is therefore never applied to a line that does not end. `MessageMeter` counts the
bytes that are passed to the parser instead. The limits on the body and on complete header lines are checked
where these are reported.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from yardlane.errors import MessageTooLong

MAX_HEAD_BYTES = 16_384  # of the target or status line, the header lines and the trailer lines
# A longer read is passed to the parser in parts of this size, so that the limits are checked in between.
MAX_FED_BYTES = MAX_HEAD_BYTES
# The head and the trailer, each of at most MAX_HEAD_BYTES.
MAX_BYTES_BESIDES_CHUNKS = 2 * MAX_HEAD_BYTES
# The size line of a chunk and the line ends may take this many bytes for each byte of the body. A chunk of a
# single byte needs five.
MAX_CHUNK_OVERHEAD_PER_BODY_BYTE = 16


class MessageParser(Protocol):
    """The part of the interface of httptools' parsers that a meter uses."""

    def feed_data(self, data: bytes | memoryview) -> None:
        """Parse further bytes."""


class MessageMeter:
    """Counts the bytes of one message at a time, and passes them to the parser while they are within limits.

    The owner of the parser calls `reset` in the callbacks that begin and end a message, sets
    `unreported_bytes` to 0 in the others, and adds the parts of the body to `body_bytes`. The bytes of a part
    in which a callback sets a count to 0 are not counted, because the parser does not say where in the part
    it was called. A message may therefore exceed each limit by twice `MAX_FED_BYTES`.
    """

    __slots__ = ("body_bytes", "message_bytes", "unreported_bytes")

    def __init__(self) -> None:
        self.message_bytes = 0  # all bytes since the last boundary between messages
        self.unreported_bytes = 0  # since the parser last reported something; it may be collecting them
        self.body_bytes = 0

    def reset(self) -> None:
        """Count anew, at the beginning and at the end of a message.

        Bytes between two messages, such as empty lines, are limited like a message without a body.
        """
        self.message_bytes = 0
        self.unreported_bytes = 0
        self.body_bytes = 0

    def feed(self, parser: MessageParser, data: bytes) -> None:
        """Pass `data` to the parser, and check the limits after each part of it.

        Raises `MessageTooLong` if a limit is exceeded, and what `parser.feed_data` raises.
        """
        for part in _parts(data):
            self.message_bytes += len(part)
            self.unreported_bytes += len(part)
            parser.feed_data(part)
            self._check_limits()

    def _check_limits(self) -> None:
        if self.unreported_bytes > MAX_HEAD_BYTES:
            raise MessageTooLong(f"line over {MAX_HEAD_BYTES} bytes")
        max_overhead_bytes = MAX_BYTES_BESIDES_CHUNKS + MAX_CHUNK_OVERHEAD_PER_BODY_BYTE * self.body_bytes
        if self.message_bytes - self.body_bytes > max_overhead_bytes:
            raise MessageTooLong(f"over {max_overhead_bytes} bytes besides a body of {self.body_bytes} bytes")


def _parts(data: bytes) -> Iterable[bytes | memoryview]:
    """Return `data` in parts of at most `MAX_FED_BYTES`, without copying it."""
    if len(data) <= MAX_FED_BYTES:
        return (data,)
    view = memoryview(data)
    return [view[start : start + MAX_FED_BYTES] for start in range(0, len(data), MAX_FED_BYTES)]

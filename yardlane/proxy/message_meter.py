"""Limits the bytes of an HTTP message that are not its body, however they are cut into lines and reads.

httptools reports a header once its line is complete, and collects the line until then. White space, the
reason phrase, and the sizes and extensions of chunks it does not report at all. A limit that is checked only
when something is reported is therefore never applied to a line that does not end. `MessageMeter` counts the
bytes that are passed to the parser instead. The limits on the body and on complete header lines are checked
where these are reported.
"""

from __future__ import annotations

from yardlane.errors import MessageTooLong

MAX_HEAD_BYTES = 16_384  # of the target or status line, the header lines and the trailer lines
# A longer read is passed to the parser in parts of this size, so that the limits are checked in between.
MAX_PART_BYTES = MAX_HEAD_BYTES
# The head and the trailer, each of at most MAX_HEAD_BYTES.
MAX_BYTES_BESIDES_CHUNKS = 2 * MAX_HEAD_BYTES
# For each byte of the body, with the size line and the line ends of its chunk. A chunk of one byte needs six.
MAX_BYTES_PER_BODY_BYTE = 16


class MessageMeter:
    """Counts the bytes of one message at a time that are passed to a parser.

    The owner of the parser passes it the parts that `parts_of` returns, calls `count` after each of them, and
    sets `has_boundary` when a message begins or ends. A part with such a boundary counts for neither message,
    and a part in which the parser reported something counts as reported, because the parser does not say
    where in the part that was. A message may therefore exceed each limit by twice `MAX_PART_BYTES`.
    """

    __slots__ = ("_message_bytes", "_reported_bytes", "_unreported_bytes", "has_boundary")

    def __init__(self) -> None:
        self.has_boundary = False  # a message has begun or ended since the last call of `count`
        self._message_bytes = 0  # all bytes since the last boundary; those between messages are limited too
        self._reported_bytes = 0
        self._unreported_bytes = 0  # since the parser last reported something; it may be collecting them

    def count(self, part_bytes: int, head_bytes: int, body_bytes: int) -> None:
        """Count a part of `part_bytes`, after the parser has parsed it.

        `head_bytes` and `body_bytes` are the bytes that the parser has reported of the current message, in
        complete lines and in the body. Raises `MessageTooLong` if the message exceeds a limit.
        """
        reported_bytes = head_bytes + body_bytes
        if self.has_boundary:
            self.has_boundary = False
            self._message_bytes = 0
            self._unreported_bytes = 0
            self._reported_bytes = reported_bytes
            return
        if reported_bytes != self._reported_bytes:
            self._reported_bytes = reported_bytes
            self._unreported_bytes = 0
        else:
            self._unreported_bytes += part_bytes
            if self._unreported_bytes > MAX_HEAD_BYTES:
                raise MessageTooLong(f"line over {MAX_HEAD_BYTES} bytes")
        self._message_bytes += part_bytes
        max_message_bytes = MAX_BYTES_BESIDES_CHUNKS + MAX_BYTES_PER_BODY_BYTE * body_bytes
        if self._message_bytes > max_message_bytes:
            raise MessageTooLong(f"over {max_message_bytes} bytes for a body of {body_bytes} bytes")


def parts_of(data: bytes | memoryview) -> list[memoryview]:
    """Return `data` in parts of at most `MAX_PART_BYTES`, without copying it."""
    view = memoryview(data)
    return [view[start : start + MAX_PART_BYTES] for start in range(0, len(data), MAX_PART_BYTES)]

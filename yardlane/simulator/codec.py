"""Frames of the simulator's wire: batches of event records in, replies of action records out.

All numbers are little-endian, without padding. A batch is a header (count of records, size of the frame,
clock in µs) and its records; a reply is a header (size of the frame, count of records) and its records. A
record is a code, the length of its fields, and the fields.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator

from yardlane.errors import CodecError
from yardlane.simulator.event_decoder import Columns, DecodedRecord, decode_event

BATCH_HEADER = struct.Struct("<IIQ")
RECORD_HEADER = struct.Struct("<HI")
REPLY_HEADER = struct.Struct("<II")


def read_frame_size(header: bytes) -> int:
    """The size in bytes of the whole frame that begins with this header."""
    size = int(BATCH_HEADER.unpack(header)[1])
    if size < BATCH_HEADER.size:
        raise CodecError(f"frame size {size} is smaller than its header")
    return size


def read_batch(data: bytes, columns: dict[int, Columns]) -> tuple[int, Iterator[tuple[int, DecodedRecord]]]:
    """The clock in µs, and the events, each with its instance. CodecError for a frame that is not whole.

    Events are decoded as they are taken: an `Init` may bring the `columns` by which a later one is read.
    """
    if len(data) < BATCH_HEADER.size:
        raise CodecError(f"frame header cut off after {len(data)} bytes")
    count, size, clock_us = BATCH_HEADER.unpack_from(data)
    if size != len(data):
        raise CodecError(f"frame of {size} bytes cut off after {len(data)} bytes")
    return clock_us, _read_records(memoryview(data), count, columns)


def _read_records(
    frame: memoryview, count: int, columns: dict[int, Columns]
) -> Iterator[tuple[int, DecodedRecord]]:
    offset = BATCH_HEADER.size
    for number in range(count):
        if offset + RECORD_HEADER.size > len(frame):
            raise CodecError(f"record {number} of {count} is missing at byte {offset}")
        code, length = RECORD_HEADER.unpack_from(frame, offset)
        offset += RECORD_HEADER.size
        end = offset + length
        if end > len(frame):
            raise CodecError(f"record {number} (code {code}) passes the end of the frame at byte {offset}")
        decoded = decode_event(code, frame, offset, end, columns)
        if decoded is not None:
            yield decoded
        offset = end
    if offset != len(frame):
        raise CodecError(f"{len(frame) - offset} bytes left over after the last record at byte {offset}")


def write_reply(records: list[bytes]) -> bytes:
    """A whole reply."""
    body = b"".join(records)
    return REPLY_HEADER.pack(REPLY_HEADER.size + len(body), len(records)) + body

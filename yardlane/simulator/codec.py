"""Decodes the frames that the simulator sends, and encodes the frames that it receives.

The simulator sends batches of event records, and receives a reply with action records for each batch. Either
is one frame, which consists of a header and the records:

    header of a batch   number of records, size of the frame in bytes, clock in µs
    header of a reply   size of the frame in bytes, number of records
    record              code, length of its fields in bytes, fields

All numbers are little-endian, without padding. The size of a frame includes its header.
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
    """Return the size in bytes of the frame that begins with this header, including the header.

    Raises CodecError if the size is smaller than the header.
    """
    size = int(BATCH_HEADER.unpack(header)[1])
    if size < BATCH_HEADER.size:
        raise CodecError(
            f"frame size is {size}: must be at least {BATCH_HEADER.size}, the size of the header"
        )
    return size


def read_batch(data: bytes, columns: dict[int, Columns]) -> tuple[int, Iterator[tuple[int, DecodedRecord]]]:
    """Return the clock in µs, and an iterator over pairs of an instance and its event.

    `columns` has the load report columns of each instance. Each event is decoded only when the iterator
    reaches it, because an earlier `Init` in the same batch may define the columns that are needed to decode
    it. Raises CodecError if the frame is malformed. The iteration may raise it, too, and also raises
    SettingsError if the settings of an `Init` are invalid.
    """
    if len(data) < BATCH_HEADER.size:
        raise CodecError(f"frame header truncated after {len(data)} bytes")
    count, size, clock_us = BATCH_HEADER.unpack_from(data)
    if size != len(data):
        raise CodecError(f"frame size is {size} according to its header, but the frame has {len(data)} bytes")
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
            raise CodecError(
                f"record {number} (code {code}, fields at byte {offset}) extends past the end of the frame"
            )
        decoded = decode_event(code, frame, offset, end, columns)
        if decoded is not None:
            yield decoded
        offset = end
    if offset != len(frame):
        raise CodecError(f"{len(frame) - offset} unexpected bytes after the last record, at byte {offset}")


def write_reply(records: list[bytes]) -> bytes:
    """Return a reply frame that contains the encoded action records."""
    body = b"".join(records)
    return REPLY_HEADER.pack(REPLY_HEADER.size + len(body), len(records)) + body

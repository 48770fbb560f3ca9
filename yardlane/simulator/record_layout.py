"""Reads the fixed fields of event records in the simulator's wire format."""

from __future__ import annotations

import struct

from yardlane.errors import CodecError


class Layout:
    """Reads the fixed fields of one kind of record.

    Each field is given as `name:format`, where the format is one of `struct`. The name is not used by the
    code. A record may omit fields at its end; these are read as 0.
    """

    def __init__(self, *fields: str) -> None:
        formats = [field.partition(":")[2] for field in fields]
        self.struct = struct.Struct("<" + "".join(formats))
        self.size = self.struct.size
        # The lengths at which a record does not end inside a field.
        self.field_ends = {struct.calcsize("<" + "".join(formats[:n])) for n in range(len(formats) + 1)}

    def read(self, frame: memoryview, start: int, end: int) -> tuple:  # type: ignore[type-arg]
        """Return the values of the fixed fields of the record whose fields are `frame[start:end]`.

        Raises CodecError if the record ends inside a fixed field.
        """
        length = end - start
        if length >= self.size:
            return self.struct.unpack_from(frame, start)
        if length not in self.field_ends:
            raise CodecError(f"record ends inside a field at byte {end}")
        return self.struct.unpack(bytes(frame[start:end]).ljust(self.size, b"\0"))

"""The fixed fields of a record on the simulator's wire."""

from __future__ import annotations

import struct

from yardlane.errors import CodecError


class Layout:
    """The fields of a record, as `name:format` of `struct`. Whole fields may be missing at its end."""

    def __init__(self, *fields: str) -> None:
        formats = [field.partition(":")[2] for field in fields]
        self.struct = struct.Struct("<" + "".join(formats))
        self.size = self.struct.size
        self.field_ends = {struct.calcsize("<" + "".join(formats[:n])) for n in range(len(formats) + 1)}

    def read(self, frame: memoryview, start: int, end: int) -> tuple:  # type: ignore[type-arg]
        """The values of the fields from `start` on; the record ends at `end`."""
        length = end - start
        if length >= self.size:
            return self.struct.unpack_from(frame, start)
        if length not in self.field_ends:
            raise CodecError(f"record cut inside a field at byte {end}")
        return self.struct.unpack(bytes(frame[start:end]).ljust(self.size, b"\0"))

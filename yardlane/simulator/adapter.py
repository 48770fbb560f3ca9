"""The simulator's command: standard input to standard output, one `Gateway` for each instance on the wire.

Exit codes: 0 at the end of the input, 2 for input or settings that are malformed, with one plain line on
standard error. A decision that raises is reported on the wire, and ends the simulation there.
"""

from __future__ import annotations

import sys
from typing import BinaryIO

from yardlane.decisions.events import Event
from yardlane.decisions.gateway import Gateway
from yardlane.errors import CodecError, YardlaneError
from yardlane.simulator.action_encoder import encode_action, encode_exception
from yardlane.simulator.codec import BATCH_HEADER, read_batch, read_frame_size, write_reply
from yardlane.simulator.event_decoder import Columns, Halt, Init

EXIT_END_OF_INPUT = 0
EXIT_MALFORMED_INPUT = 2


class Adapter:
    """The instances that one process holds. They share nothing."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}
        self.columns: dict[int, Columns] = {}

    def handle_batch(self, frame: bytes) -> bytes:
        """The reply to one batch."""
        clock_us, records = read_batch(frame, self.columns)
        events_by_instance: dict[int, list[Event]] = {}
        for instance, event in records:
            if isinstance(event, Halt):
                self.gateways.pop(instance, None)
                events_by_instance.pop(instance, None)
            elif isinstance(event, Init):
                self.gateways[instance] = Gateway(event.settings, event.seed)
                self.columns[instance] = event.columns
                events_by_instance[instance] = []
            elif instance in self.gateways:
                events_by_instance.setdefault(instance, []).append(event)
            else:
                raise CodecError(f"{type(event).__name__} for unknown instance {instance}")
        return write_reply(self._decide(clock_us, events_by_instance))

    def _decide(self, clock_us: int, events_by_instance: dict[int, list[Event]]) -> list[bytes]:
        records: list[bytes] = []
        for instance, events in events_by_instance.items():
            try:
                actions = self.gateways[instance].handle(clock_us, events)
            except Exception as error:  # whatever it is: the simulation ends with its text
                records.append(encode_exception(instance, f"{type(error).__name__}: {error}"))
                break
            records += [encode_action(instance, action) for action in actions]
        return records


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends. CodecError or SettingsError where it is malformed."""
    adapter = Adapter()
    while header := source.read(BATCH_HEADER.size):
        if len(header) < BATCH_HEADER.size:
            raise CodecError(f"frame header cut off after {len(header)} bytes")
        size = read_frame_size(header)
        frame = header + source.read(size - len(header))
        if len(frame) < size:
            raise CodecError(f"frame of {size} bytes cut off after {len(frame)}")
        sink.write(adapter.handle_batch(frame))
        sink.flush()


def main() -> int:
    """Run until the end of input; the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except YardlaneError as error:
        print("yardlane:", error.one_line(), file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    return EXIT_END_OF_INPUT


if __name__ == "__main__":
    sys.exit(main())

"""The command that a simulator runs to simulate front doors.

It reads batches of events from standard input, and writes replies with actions to standard output. It runs
one `Gateway` for each instance, that is, for each front door in the simulation.

The process exits with code 0 at the end of the input, and with code 2 if the input is malformed or the
settings in it are invalid. In the latter case, it writes one line that names the error to standard error. An
exception in the decisions does not end the process: it is reported to the simulator in a record, and the
simulator then ends the simulation.
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
    """Replies to batches with the actions of the gateways of all instances. The gateways share no state."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}
        self.columns: dict[int, Columns] = {}

    def handle_batch(self, frame: bytes) -> bytes:
        """Pass each instance its events in a batch, and return the reply frame with all resulting actions.

        All events of a batch have the same time. Raises CodecError if the frame is malformed or has an event
        for an unknown instance, and SettingsError if the settings of an instance are invalid.
        """
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
                raise CodecError(f"{type(event).__name__} event for unknown instance {instance}")
        return write_reply(self._decide(clock_us, events_by_instance))

    def _decide(self, clock_us: int, events_by_instance: dict[int, list[Event]]) -> list[bytes]:
        records: list[bytes] = []
        for instance, events in events_by_instance.items():
            try:
                actions = self.gateways[instance].handle(clock_us, events)
            except Exception as error:  # any bug: the simulator gets its message and ends the simulation
                records.append(encode_exception(instance, f"{type(error).__name__}: {error}"))
                break
            records += [encode_action(instance, action) for action in actions]
        return records


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Read batches from `source` until its end, and write the reply to each of them to `sink`.

    Raises CodecError if the input is malformed or truncated, and SettingsError if settings are invalid.
    """
    adapter = Adapter()
    while header := source.read(BATCH_HEADER.size):
        if len(header) < BATCH_HEADER.size:
            raise CodecError(f"frame header truncated after {len(header)} bytes")
        size = read_frame_size(header)
        frame = header + source.read(size - len(header))
        if len(frame) < size:
            raise CodecError(f"frame of {size} bytes truncated after {len(frame)} bytes")
        sink.write(adapter.handle_batch(frame))
        sink.flush()


def main() -> int:
    """Serve standard input until its end, and return the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except YardlaneError as error:
        print("yardlane:", error.one_line(), file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    return EXIT_END_OF_INPUT


if __name__ == "__main__":
    sys.exit(main())

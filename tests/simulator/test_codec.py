"""Tests of the simulator's wire format, with complete, truncated and malformed frames and records."""

from __future__ import annotations

import io
import struct
import subprocess
import sys
from typing import Any

import pytest
from hypothesis import given, settings, strategies

from tests.settings_text import SETTINGS_TEXT
from yardlane.decisions.actions import (
    Action,
    AddToCounter,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    Fail,
    FetchEndpoints,
    LogMessage,
    Reject,
    SendGossip,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from yardlane.decisions.events import (
    AttemptEnded,
    CounterResult,
    Endpoint,
    EndpointListUpdate,
    EndpointState,
    Event,
    Gossip,
    HealthCheckEnded,
    LoadReport,
    Outcome,
    RequestArrived,
    RequestEnded,
    StreamStarted,
    TimerFired,
    UpdateKind,
)
from yardlane.errors import CodecError
from yardlane.simulator.action_encoder import ENCODERS, encode_action, encode_exception
from yardlane.simulator.adapter import Adapter, serve
from yardlane.simulator.codec import read_batch, write_reply


def make_record(code: int, body: bytes) -> bytes:
    return struct.pack("<HI", code, len(body)) + body


def make_frame(*records: bytes, clock_us: int = 9) -> bytes:
    body = b"".join(records)
    return struct.pack("<IIQ", len(records), 16 + len(body), clock_us) + body


def read_events(*records: bytes) -> list[tuple[int, Any]]:
    """Return the instance and the event of each record. The load reports of instance 3 have two columns."""
    return list(read_batch(make_frame(*records), {3: ("concurrent", "depth")})[1])


def make_init(instance: int = 3, text: bytes = SETTINGS_TEXT) -> bytes:
    return make_record(1050, struct.pack("<IQI", instance, 4, len(text)) + text)


def test_event_records_are_decoded_in_order() -> None:
    endpoint_id = b"\x0a\x01\x02\x03\x50\x00"
    entry = struct.pack("<fQHHBH6s", 2.0, 5, 1, 0, 2, 4, endpoint_id)
    decoded = read_events(
        make_record(1060, struct.pack("<IQfBHfQIfB", 3, 77, 1.0, 0, 2, 2.0, 55, 9000, 3.0, 2)),
        make_record(
            1000, struct.pack("<IQIBHB6sHHB2f", 3, 77, 50, 1, 302, 0, endpoint_id, 41, 6, 2, 7.0, 1.0)
        ),
        make_record(1040, struct.pack("<IIQHf", 3, 12, 99, 100, 4.5)),
        make_record(1080, struct.pack("<IQ", 3, 78)),
        make_record(1010, struct.pack("<II", 3, 6)),
        make_record(1100, struct.pack("<IBII", 3, 1, 8, 1) + entry),
        make_record(4321, b"skipped"),
    )
    events = [event for _, event in decoded]
    assert [instance for instance, _ in decoded] == [3] * 6
    assert events[0] == RequestArrived(77, 55, 2, 0, 9000, 3.0, 1, 2, True, False)
    ended = events[1]
    assert isinstance(ended, AttemptEnded) and ended.outcome is Outcome.REJECTED
    assert (ended.usage_percent, ended.load and ended.load.in_flight) == (40, 7.0)
    assert events[2] == CounterResult(99, Outcome.OK, 4.5, 12)
    assert events[3:5] == [RequestEnded(78), TimerFired(6)]
    assert (
        isinstance(events[5], EndpointListUpdate) and events[5].endpoints[0].state is EndpointState.DRAINING
    )


def test_omitted_fields_are_read_as_0() -> None:
    [(_, event)] = read_events(make_record(1060, struct.pack("<IQfBHfQ", 3, 77, 1.0, 0, 2, 2.0, 55)))
    assert event == RequestArrived(77, 55, 2, 0, 0, 0.0, 1, 2)


def test_action_and_reply_have_the_documented_layout() -> None:
    record = encode_action(3, StartAttempt(77, b"\x0a\x01\x02\x03\x50\x00", 80))
    assert record == make_record(1020, struct.pack("<IQi6s", 3, 77, 80, b"\x0a\x01\x02\x03\x50\x00"))
    assert write_reply([record]) == struct.pack("<II", 8 + len(record), 1) + record


FIRST_ENDPOINT = bytes.fromhex("0a124a07c32b")
SECOND_ENDPOINT = bytes.fromhex("0a9011f2ec2b")
REQUEST_ID = int.from_bytes(bytes.fromhex("c4913a5de0300000"), "little")
OTHER_REQUEST_ID = int.from_bytes(bytes.fromhex("192b6f0ee8330400"), "little")
# The examples in the documentation of the wire format.
EVENT_EXAMPLES: list[tuple[str, Event]] = [
    (
        "4c04 3f000000 03000000 02 29000000 02000000"
        "0000803f 0000000000000000 0000 0000 01 0000 0a124a07 c32b"
        "0000c03f 20145d0000000000 0100 0000 01 0000 0a9011f2 ec2b",
        EndpointListUpdate(
            UpdateKind.CACHED,
            41,
            (
                Endpoint(FIRST_ENDPOINT, EndpointState.READY, 0, 1.0, 0, 0, 0),
                Endpoint(SECOND_ENDPOINT, EndpointState.READY, 6_100_000, 1.5, 1, 0, 0),
            ),
        ),
    ),
    (
        "2e04 17000000 03000000 c4913a5de0300000 00 0a124a07 c32b 22240000",
        StreamStarted(REQUEST_ID, 0, FIRST_ENDPOINT, 9250),
    ),
    (
        "0604 1d000000 03000000 78050000 0a9011f2 ec2b 6400 03 0000404000000c430000e040",
        HealthCheckEnded(SECOND_ENDPOINT, Outcome.OK, 1400, LoadReport(in_flight=3.0, queued=140.0)),
    ),
    ("4204 0c000000 03000000 0200 0400 68692037", Gossip(2, b"hi 7")),
    ("3804 0c000000 03000000 192b6f0ee8330400", RequestEnded(OTHER_REQUEST_ID)),
    ("f203 08000000 03000000 4d000000", TimerFired(77)),
]
ACTION_EXAMPLES: list[tuple[Action, str]] = [
    (
        StartAttempt(REQUEST_ID, FIRST_ENDPOINT, 80_000),
        "fc03 16000000 03000000 c4913a5de0300000 80380100 0a124a07 c32b",
    ),
    (CheckHealth(SECOND_ENDPOINT), "0604 0a000000 03000000 0a9011f2 ec2b"),
    (
        AddToCounter(0x89F690, 4.0, 3_000_000),
        "4c04 14000000 03000000 90f6890000000000 00008040 c0c62d00",
    ),
    (WatchEndpoints(True), "f203 05000000 03000000 01"),
    (Reject(OTHER_REQUEST_ID, 250_000), "1004 10000000 03000000 192b6f0ee8330400 90d00300"),
    (FetchEndpoints(), "6004 04000000 03000000"),
    (CancelAttempt(REQUEST_ID, 0), "5604 0d000000 03000000 c4913a5de0300000 00"),
    (CloseIdleConnections(SECOND_ENDPOINT), "1a04 0a000000 03000000 0a9011f2 ec2b"),
    (
        LogMessage("two servers known"),
        "2404 17000000 03000000 1100 74776f2073657276657273206b6e6f776e",
    ),
    (SendGossip(None, b"hi 7"), "4204 0e000000 03000000 ffffffff 0400 68692037"),
    (SetTimer(500_000, 77), "3804 0c000000 03000000 20a10700 4d000000"),
    (Fail(OTHER_REQUEST_ID), "e803 0c000000 03000000 192b6f0ee8330400"),
]


@pytest.mark.parametrize(("example", "event"), EVENT_EXAMPLES, ids=lambda value: type(value).__name__)
def test_documented_event_examples_are_decoded(example: str, event: Event) -> None:
    assert read_events(bytes.fromhex(example)) == [(3, event)]


@pytest.mark.parametrize(("action", "example"), ACTION_EXAMPLES, ids=lambda value: type(value).__name__)
def test_documented_action_examples_are_encoded(action: Action, example: str) -> None:
    assert encode_action(3, action) == bytes.fromhex(example)


def test_every_action_and_the_exception_have_an_example() -> None:
    assert {type(action) for action, _ in ACTION_EXAMPLES} == set(ENCODERS)
    example = "2e04 18000000 03000000 1200 696e646578206f7574206f662072616e6765"
    assert encode_exception(3, "index out of range") == bytes.fromhex(example)


@settings(deadline=None, derandomize=True)
@given(strategies.integers(0, 2**52), strategies.integers(0, 2**32 - 1), strategies.integers(0, 120))
def test_truncated_frame_raises_codec_error(request_id: int, time_left_us: int, cut_bytes: int) -> None:
    """The simulator ends in the middle of a frame.

    Wherever the frame ends, the adapter must neither handle the incomplete batch nor wait for more bytes.
    """
    complete_frame = make_frame(
        make_init(),
        make_record(1060, struct.pack("<IQfBHfQIfB", 3, request_id, 0.0, 0, 0, 1.0, 5, time_left_us, 1.0, 0)),
    )
    [_, (_, event)] = list(read_batch(complete_frame, {})[1])
    assert (event.request_id, event.time_left_us) == (request_id, time_left_us)  # type: ignore[union-attr]
    with pytest.raises(CodecError):
        serve(io.BytesIO(complete_frame[: len(complete_frame) - 1 - cut_bytes]), io.BytesIO())


@pytest.mark.parametrize(
    ("malformed", "message"),
    [
        (make_frame(make_record(1010, struct.pack("<II", 8, 1))), "unknown instance 8"),
        (make_frame(make_init(text=b"rank=1")), "discovery is missing"),
        (make_frame(make_init(text=SETTINGS_TEXT.replace(b"rank=0", b"rank=x"))), "rank is not a number"),
        (make_frame(make_record(1010, b"\x03\0\0\0\1\0")), "inside a field"),
        (struct.pack("<IIQ", 2, 16, 0), "record 0 of 2 is missing"),
    ],
)
def test_malformed_input_ends_the_process_with_a_one_line_error(malformed: bytes, message: str) -> None:
    """The input is malformed, or the settings in it are invalid.

    The process must end with one line that names the error, and must not write a reply.
    """
    completed = subprocess.run(
        [sys.executable, "-m", "yardlane.simulator.adapter"],
        input=malformed,
        capture_output=True,
        check=False,
    )
    assert completed.returncode != 0 and completed.stdout == b""
    assert message in completed.stderr.decode() and completed.stderr.count(b"\n") == 1


def test_instance_is_halted_and_initialized_again_in_one_batch() -> None:
    """An instance is killed, and a new one with the same number starts in the same batch.

    Each batch must get a reply. The reply to an empty batch must consist of its header only.
    """
    sink = io.BytesIO()
    halt = make_record(1020, struct.pack("<I", 3))
    serve(io.BytesIO(make_frame(make_init()) + make_frame(halt, make_init()) + make_frame()), sink)
    replies = sink.getvalue()
    sizes = []
    offset = 0
    while offset < len(replies):
        sizes.append(struct.unpack_from("<I", replies, offset)[0])
        offset += sizes[-1]
    assert len(sizes) == 3 and sizes[-1] == 8


def test_exception_in_the_decisions_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    """The decisions raise an exception because of a bug.

    The simulator must get the message of the exception in a record. The process must not end without a reply.
    """

    def fail(*_: object) -> None:
        raise RuntimeError("out of luck")

    monkeypatch.setattr("yardlane.simulator.adapter.Gateway.handle", fail)
    reply = Adapter().handle_batch(make_frame(make_init()))
    assert struct.unpack_from("<H", reply, 8)[0] == 1070 and b"out of luck" in reply

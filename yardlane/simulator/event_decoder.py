"""Decodes event records in the simulator's wire format to events. Their fields are defined only here.

Each layout below lists the fields of one kind of record by their names in the documentation of the wire
format; the event has other names for them. A record may omit fields at its end; these are read as 0. Records
with an unknown code are skipped, so that the wire format can be extended.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from enum import IntEnum
from typing import NamedTuple, TypeVar

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
from yardlane.decisions.settings import Settings
from yardlane.errors import CodecError
from yardlane.settings_reader import LOAD_REPORT_FIELDS, parse_settings
from yardlane.simulator.record_layout import Layout

T = TypeVar("T")

Columns = tuple[str, ...]
"""The names of the values in a load report, in order. They are part of an instance's settings."""


class EventCode(IntEnum):
    """The codes of event records, each with its name in the wire format's documentation if that differs."""

    ATTEMPT_ENDED = 1000  # COMPLETED
    TIMER_FIRED = 1010  # RING
    HALT = 1020
    HEALTH_CHECK_ENDED = 1030  # HEALTH_RESULT
    COUNTER_RESULT = 1040  # COUNT_RESULT
    INIT = 1050
    REQUEST_ARRIVED = 1060  # REQUEST
    STREAM_STARTED = 1070  # ACK_FIRST
    REQUEST_ENDED = 1080  # DROPPED
    GOSSIP = 1090  # NEIGHBOUR_SAYS
    ENDPOINT_LIST_UPDATE = 1100  # PEERS_KNOWN


class Init(NamedTuple):
    """An instance starts, without the state of any earlier instance of the same number."""

    seed: int
    settings: Settings
    columns: Columns


class Halt(NamedTuple):
    """An instance was killed. It gets no more events, unless an `Init` starts it again."""


DecodedRecord = Event | Init | Halt


INSTANCE = struct.Struct("<I")  # the number of the instance: `door_id`, the first field of each record

ATTEMPT_ENDED_LAYOUT = Layout(
    "door_id:I",
    "corr:Q",
    "took_us:I",
    "leg:B",
    "state_code:H",
    "finished:B",
    "backend:6s",
    "usage:H",
    "settled:H",
    "stats count:B",
)
TIMER_FIRED_LAYOUT = Layout("door_id:I", "name:I")
HEALTH_CHECK_ENDED_LAYOUT = Layout("door_id:I", "took_us:I", "backend:6s", "state_code:H", "stats count:B")
COUNTER_RESULT_LAYOUT = Layout("door_id:I", "took_us:I", "book:Q", "state_code:H", "value:f")
INIT_LAYOUT = Layout("door_id:I", "init_seed:Q", "setup length:I")
REQUEST_ARRIVED_LAYOUT = Layout(
    "door_id:I",
    "corr:Q",
    "base:f",
    "cls:B",
    "contract:H",
    "n_entries:f",
    "caller:Q",
    "left_us:I",
    "cost_units:f",
    "attrs:B",
)
STREAM_STARTED_LAYOUT = Layout("door_id:I", "corr:Q", "leg:B", "backend:6s", "took_us:I")
REQUEST_ENDED_LAYOUT = Layout("door_id:I", "corr:Q")
GOSSIP_LAYOUT = Layout("door_id:I", "by:H", "content length:H")
ENDPOINT_LIST_UPDATE_LAYOUT = Layout("door_id:I", "kind:B", "stamp:I", "rows_in count:I")
# The fields of an endpoint list entry: heft, born_us, locality, shape, mode, block, backend
LIST_ENTRY = struct.Struct("<fQHHBH6s")
LOAD_VALUE = struct.Struct("<f")

# Bit masks of `attrs`.
IS_RETRY_BIT = 2
IS_WRITE_BIT = 4

OUTCOMES = {
    100: Outcome.OK,
    301: Outcome.ERROR,
    302: Outcome.REJECTED,
    303: Outcome.TIMED_OUT,
    304: Outcome.NOT_CONNECTED,
    305: Outcome.CONNECTION_LOST,
    306: Outcome.CANCELLED,
    307: Outcome.NOT_SENT,
}
ENDPOINT_STATES = {
    0: EndpointState.REMOVED,
    1: EndpointState.READY,
    2: EndpointState.DRAINING,
}
UPDATE_KINDS = {
    0: UpdateKind.DELTA,
    1: UpdateKind.SNAPSHOT,
    2: UpdateKind.CACHED,
    3: UpdateKind.FAILED,
}


def decode_event(
    code: int, frame: memoryview, start: int, end: int, columns: dict[int, Columns]
) -> tuple[int, DecodedRecord] | None:
    """Return the instance and the event of the record whose fields are `frame[start:end]`.

    `columns` has the load report columns of each instance. Return None if the code is unknown. Raises
    CodecError if the fields are malformed, and SettingsError if the settings of an `Init` are invalid.
    """
    decode = DECODERS.get(code)
    if decode is None:
        return None
    instance = 0
    if end - start >= INSTANCE.size:
        instance = INSTANCE.unpack_from(frame, start)[0]
    return instance, decode(frame, start, end, columns.get(instance, ()))


def _look_up(table: dict[int, T], value: int, name: str, start: int) -> T:
    try:
        return table[value]
    except KeyError:
        raise CodecError(f"unknown {name} {value} in the record with fields at byte {start}") from None


def _read_content(frame: memoryview, start: int, end: int, size: int, name: str) -> memoryview:
    """Return the `size` bytes of content that follow the fixed fields of a record.

    The content begins at `start`, and the record ends at `end`. Raises CodecError, with the `name` of the
    content, if the content extends past the end of the record.
    """
    if start + size > end:
        raise CodecError(f"{name} of {size} bytes extends past the end of its record at byte {end}")
    return frame[start : start + size]


def _decode_load_report(
    frame: memoryview, start: int, end: int, count: int, columns: Columns
) -> LoadReport | None:
    if count == 0:
        return None
    size = count * LOAD_VALUE.size
    values = struct.unpack(f"<{count}f", _read_content(frame, start, end, size, "load report"))
    reported = dict(zip(columns, values, strict=False))
    fields = {field: reported[name] for name, field in LOAD_REPORT_FIELDS.items() if name in reported}
    return LoadReport(**fields)


def _decode_attempt_ended(frame: memoryview, start: int, end: int, columns: Columns) -> DecodedRecord:
    fields = ATTEMPT_ENDED_LAYOUT.read(frame, start, end)
    _, request_id, elapsed_us, attempt_index, outcome, request_ended, endpoint_id, usage, _, count = fields
    return AttemptEnded(
        request_id=request_id,
        attempt_index=attempt_index,
        endpoint_id=endpoint_id,
        outcome=_look_up(OUTCOMES, outcome, "outcome", start),
        elapsed_us=elapsed_us,
        request_ended=bool(request_ended),
        usage_percent=usage - 1 if usage else None,  # the percentage plus 1, or 0 if it is absent
        load=_decode_load_report(frame, start + ATTEMPT_ENDED_LAYOUT.size, end, count, columns),
    )


def _decode_timer_fired(frame: memoryview, start: int, end: int, columns: Columns) -> DecodedRecord:
    _, token = TIMER_FIRED_LAYOUT.read(frame, start, end)
    return TimerFired(token)


def _decode_halt(frame: memoryview, start: int, end: int, columns: Columns) -> DecodedRecord:
    return Halt()


def _decode_health_check_ended(frame: memoryview, start: int, end: int, columns: Columns) -> DecodedRecord:
    _, elapsed_us, endpoint_id, outcome, count = HEALTH_CHECK_ENDED_LAYOUT.read(frame, start, end)
    load = _decode_load_report(frame, start + HEALTH_CHECK_ENDED_LAYOUT.size, end, count, columns)
    return HealthCheckEnded(endpoint_id, _look_up(OUTCOMES, outcome, "outcome", start), elapsed_us, load)


def _decode_counter_result(frame: memoryview, start: int, end: int, columns: Columns) -> DecodedRecord:
    _, elapsed_us, counter_key, outcome, total = COUNTER_RESULT_LAYOUT.read(frame, start, end)
    return CounterResult(counter_key, _look_up(OUTCOMES, outcome, "outcome", start), total, elapsed_us)


def _decode_init(frame: memoryview, start: int, end: int, columns: Columns) -> DecodedRecord:
    _, seed, size = INIT_LAYOUT.read(frame, start, end)
    text = bytes(_read_content(frame, start + INIT_LAYOUT.size, end, size, "settings")) if size else b""
    settings, own_columns = parse_settings(text)
    return Init(seed, settings, own_columns)


def _decode_request_arrived(frame: memoryview, start: int, end: int, columns: Columns) -> DecodedRecord:
    fields = REQUEST_ARRIVED_LAYOUT.read(frame, start, end)
    _, request_id, first_gateway, request_class, plan, gateway_count, tenant, time_left_us, units, attrs = (
        fields
    )
    return RequestArrived(
        request_id=request_id,
        tenant=tenant,
        quota_plan=plan,
        request_class=request_class,
        time_left_us=time_left_us,
        units=units,
        first_gateway=int(first_gateway),
        gateway_count=int(gateway_count),
        is_retry=bool(attrs & IS_RETRY_BIT),
        is_write=bool(attrs & IS_WRITE_BIT),
    )


def _decode_stream_started(frame: memoryview, start: int, end: int, columns: Columns) -> DecodedRecord:
    _, request_id, attempt_index, endpoint_id, elapsed_us = STREAM_STARTED_LAYOUT.read(frame, start, end)
    return StreamStarted(request_id, attempt_index, endpoint_id, elapsed_us)


def _decode_request_ended(frame: memoryview, start: int, end: int, columns: Columns) -> DecodedRecord:
    _, request_id = REQUEST_ENDED_LAYOUT.read(frame, start, end)
    return RequestEnded(request_id)


def _decode_gossip(frame: memoryview, start: int, end: int, columns: Columns) -> DecodedRecord:
    _, sender, size = GOSSIP_LAYOUT.read(frame, start, end)
    content = bytes(_read_content(frame, start + GOSSIP_LAYOUT.size, end, size, "message")) if size else b""
    return Gossip(sender, content)


def _decode_endpoint_list_update(frame: memoryview, start: int, end: int, columns: Columns) -> DecodedRecord:
    _, update_kind, version, count = ENDPOINT_LIST_UPDATE_LAYOUT.read(frame, start, end)
    entries: bytes | memoryview = b""
    if count:
        size = count * LIST_ENTRY.size
        entries = _read_content(frame, start + ENDPOINT_LIST_UPDATE_LAYOUT.size, end, size, "endpoint list")
    endpoints = tuple(
        Endpoint(
            endpoint_id,
            _look_up(ENDPOINT_STATES, state, "endpoint state", start),
            started_at_us,
            weight,
            zone,
            cell,
            hardware_kind,
        )
        for weight, started_at_us, zone, hardware_kind, state, cell, endpoint_id in LIST_ENTRY.iter_unpack(
            entries
        )
    )
    return EndpointListUpdate(_look_up(UPDATE_KINDS, update_kind, "list kind", start), version, endpoints)


DECODERS: dict[int, Callable[[memoryview, int, int, Columns], DecodedRecord]] = {
    EventCode.ATTEMPT_ENDED: _decode_attempt_ended,
    EventCode.TIMER_FIRED: _decode_timer_fired,
    EventCode.HALT: _decode_halt,
    EventCode.HEALTH_CHECK_ENDED: _decode_health_check_ended,
    EventCode.COUNTER_RESULT: _decode_counter_result,
    EventCode.INIT: _decode_init,
    EventCode.REQUEST_ARRIVED: _decode_request_arrived,
    EventCode.STREAM_STARTED: _decode_stream_started,
    EventCode.REQUEST_ENDED: _decode_request_ended,
    EventCode.GOSSIP: _decode_gossip,
    EventCode.ENDPOINT_LIST_UPDATE: _decode_endpoint_list_update,
}

"""Encodes actions as action records in the simulator's wire format, whose fields are defined only here."""

from __future__ import annotations

import struct
from collections.abc import Callable
from enum import IntEnum
from typing import Any

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
from yardlane.simulator.codec import RECORD_HEADER

# The maximum length of a text, as its length is a 16-bit field. Longer texts are truncated.
MAX_CONTENT_BYTES = 65_535
# In the recipient field of a gossip message, this value stands for all other gateways.
ALL_GATEWAYS = 0xFFFFFFFF


class ActionCode(IntEnum):
    """The codes of action records. Event records use the same numbers with other meanings.

    A comment gives the code's name in the wire format's documentation if that differs.
    """

    FAIL = 1000  # REPORT_FAILURE
    WATCH_ENDPOINTS = 1010  # TAIL
    START_ATTEMPT = 1020  # ATTEMPT
    CHECK_HEALTH = 1030  # TEST
    REJECT = 1040  # REFUSE
    CLOSE_IDLE_CONNECTIONS = 1050  # CLOSE
    LOG_MESSAGE = 1060  # EMIT
    EXCEPTION = 1070
    SET_TIMER = 1080  # DEFER
    SEND_GOSSIP = 1090  # MEMO_TO
    ADD_TO_COUNTER = 1100  # TALLY
    CANCEL_ATTEMPT = 1110  # REVOKE
    FETCH_ENDPOINTS = 1120  # READ_LIST


def _make_encoder(code: ActionCode, formats: str) -> Callable[..., bytes]:
    """Return a function that encodes a record with the given code and fixed fields.

    `formats` has the `struct` format of each field. The arguments of the function are the values of the
    fields, beginning with the instance.
    """
    record_struct = struct.Struct("<HI" + formats)
    length = record_struct.size - RECORD_HEADER.size
    return lambda *values: record_struct.pack(code, length, *values)


def _encode_content(code: ActionCode, fields: bytes, content: bytes) -> bytes:
    """Return a record of encoded fixed fields, followed by the length of the content and the content."""
    body = fields + struct.pack("<H", len(content)) + content
    return RECORD_HEADER.pack(code, len(body)) + body


def _encode_text(code: ActionCode, instance: int, text: str) -> bytes:
    content = text.encode("utf-8", "replace")[:MAX_CONTENT_BYTES]
    return _encode_content(code, struct.pack("<I", instance), content)


def _encode_gossip(instance: int, action: SendGossip) -> bytes:
    recipient = ALL_GATEWAYS if action.gateway is None else action.gateway
    return _encode_content(ActionCode.SEND_GOSSIP, struct.pack("<II", instance, recipient), action.content)


_encode_fail = _make_encoder(ActionCode.FAIL, "IQ")
_encode_watch_endpoints = _make_encoder(ActionCode.WATCH_ENDPOINTS, "IB")
_encode_start_attempt = _make_encoder(ActionCode.START_ATTEMPT, "IQi6s")
_encode_check_health = _make_encoder(ActionCode.CHECK_HEALTH, "I6s")
_encode_reject = _make_encoder(ActionCode.REJECT, "IQI")
_encode_close_idle_connections = _make_encoder(ActionCode.CLOSE_IDLE_CONNECTIONS, "I6s")
_encode_set_timer = _make_encoder(ActionCode.SET_TIMER, "III")
_encode_add_to_counter = _make_encoder(ActionCode.ADD_TO_COUNTER, "IQfI")
_encode_cancel_attempt = _make_encoder(ActionCode.CANCEL_ATTEMPT, "IQB")
_encode_fetch_endpoints = _make_encoder(ActionCode.FETCH_ENDPOINTS, "I")

ENCODERS: dict[type, Callable[[int, Any], bytes]] = {
    # The wire format has no field for `send_within_us`.
    StartAttempt: lambda i, a: _encode_start_attempt(i, a.request_id, a.timeout_us, a.endpoint_id),
    CancelAttempt: lambda i, a: _encode_cancel_attempt(i, a.request_id, a.attempt_index),
    Reject: lambda i, a: _encode_reject(i, a.request_id, a.retry_after_us),
    Fail: lambda i, a: _encode_fail(i, a.request_id),
    AddToCounter: lambda i, a: _encode_add_to_counter(i, a.counter_key, a.amount, a.lifetime_us),
    SetTimer: lambda i, a: _encode_set_timer(i, a.delay_us, a.token),
    CheckHealth: lambda i, a: _encode_check_health(i, a.endpoint_id),
    CloseIdleConnections: lambda i, a: _encode_close_idle_connections(i, a.endpoint_id),
    FetchEndpoints: lambda i, a: _encode_fetch_endpoints(i),
    WatchEndpoints: lambda i, a: _encode_watch_endpoints(i, a.enabled),
    SendGossip: _encode_gossip,
    LogMessage: lambda i, a: _encode_text(ActionCode.LOG_MESSAGE, i, a.text),
}


def encode_action(instance: int, action: Action) -> bytes:
    """Return the record for an action of an instance."""
    return ENCODERS[type(action)](instance, action)


def encode_exception(instance: int, text: str) -> bytes:
    """Return the record that reports an exception in the decisions; the simulation ends with its text."""
    return _encode_text(ActionCode.EXCEPTION, instance, text)

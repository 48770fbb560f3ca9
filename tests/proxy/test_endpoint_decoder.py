"""Tests of the decoding of endpoint lists, including malformed ones."""

import json
from contextlib import suppress
from typing import Any

import pytest

from tests.loopback import endpoint_list_dict, make_config, member_dict
from tests.proxy.message_cuts import peak_bytes_of
from yardlane.decisions.events import EndpointState
from yardlane.errors import MalformedEndpointList
from yardlane.proxy.discovery_connection import MAX_BODY_BYTES
from yardlane.proxy.endpoint_decoder import (
    MAX_ENTRIES,
    MAX_INDEXED_NAMES,
    MAX_NAME_CHARS,
    EndpointDecoder,
    parse_json,
)


def make_decoder() -> EndpointDecoder:
    config = make_config()
    return EndpointDecoder(config.zones, config.hardware_kinds)


def test_number_of_indexed_names_is_limited() -> None:
    """Each list has a zone and a hardware kind that no earlier list had.

    If each name got an index of its own, the tables would grow without limit. So all names beyond the limit
    must share one index.
    """
    decoder = make_decoder()
    for n in range(1000):
        update = decoder.decode(
            endpoint_list_dict(member_dict("s-1", 9, locality=f"z{n}", flavor=f"k{n}"))
        ).update
        [endpoint] = update.endpoints
        assert (endpoint.zone, endpoint.hardware_kind) == (
            min(2 + n, MAX_INDEXED_NAMES),
            min(1 + n, MAX_INDEXED_NAMES),
        )
    assert len(decoder.zone_indices) == len(decoder.hardware_kind_indices) == MAX_INDEXED_NAMES


def test_kept_names_are_limited_in_length() -> None:
    """Each list names another zone and hardware kind, with millions of characters.

    The names are kept for good, so their number alone does not limit the memory that they take.
    """
    decoder = make_decoder()
    for n in range(MAX_INDEXED_NAMES):
        name = f"{n}" + "x" * MAX_NAME_CHARS
        decoder.decode(endpoint_list_dict(member_dict("s-1", 9, locality=name, flavor=name)))
    kept_names = [*decoder.zone_indices, *decoder.hardware_kind_indices]
    assert all(len(name) <= MAX_NAME_CHARS for name in kept_names)


def list_of(entry: bytes, separator: bytes = b",") -> bytearray:
    """Return the longest list that discovery may send, with an entry repeated as often as it fits.

    `%d` in the entry is replaced by eight digits that differ in each entry.
    """
    start = b'{"revision": 1, "complete": true, "members": ['
    length = len(entry.replace(b"%d", b"8digits!")) + len(separator)
    count = (MAX_BODY_BYTES - len(start) - 2) // length
    entries = (entry.replace(b"%d", b"%d" % (10_000_000 + n)) for n in range(count))
    return bytearray(start + separator.join(entries) + b"]}")


@pytest.mark.parametrize(
    "entry",
    [b"[]", b"{}", b"0.5", b'"%d"', b'{"id": "%d"}', b'{"id": "s", "cell": "x", "size": "x", "flavor": {}}'],
)
def test_list_of_short_values_costs_memory_in_proportion_to_its_limit(entry: bytes) -> None:
    """Discovery sends a list of the greatest length, whose entries are not endpoints.

    Parsed JSON takes up to thirty times as much memory as its text, and a message was kept for each malformed
    value, so that one such list took more memory than the process may have.
    """
    body = list_of(entry)

    def decode() -> None:
        with suppress(MalformedEndpointList):  # raised for a list of too many values, as intended
            make_decoder().decode(parse_json(body))

    assert peak_bytes_of(decode) <= 4 * MAX_BODY_BYTES


def test_list_with_many_complete_entries_is_not_refused() -> None:
    """The limits on entries and values must not refuse a list that is within the limit on its length."""
    entry = json.dumps(member_dict("s-%d", 9)).encode()
    decoded = make_decoder().decode(parse_json(list_of(entry)))
    assert MAX_ENTRIES / 2 < len(decoded.update.endpoints) <= MAX_ENTRIES
    assert not decoded.is_ambiguous


MALFORMED_FIELDS: list[dict[str, Any]] = [
    {"size": float("nan")},
    {"size": float("inf")},
    {"size": 0},
    {"size": -1},
    {"size": "1"},
    {"size": True},
    {"up_since_ms": 1e400},
    {"up_since_ms": "0"},
    {"up_since_ms": 10**4000},
    {"cell": [1]},
    {"cell": 1e300},
    {"locality": [[]]},
    {"flavor": {}},
    {"phase": []},
    {"phase": "Dancing"},
    {"phase": None},
    {"host_port": "x"},
    {"host_port": None},
    {"host_port": ["127.0.0.1:9"]},
    {"host_port": "a..b:9"},
    {"host_port": "\0:9"},
    {"host_port": "127.0.0.1:" + "9" * 5000},
    {"host_port": "\ud800:9"},
]


@pytest.mark.parametrize(
    "malformed_field", MALFORMED_FIELDS, ids=lambda malformed_field: str(malformed_field)[:30]
)
def test_endpoint_with_malformed_value_is_draining(
    malformed_field: dict[str, Any], caplog: pytest.LogCaptureFixture
) -> None:
    """Many entries of a list have a malformed value.

    The list must not be rejected. The endpoints of those entries must be draining, and the other endpoint
    must be ready. The log must get a single short line. A removed endpoint must still count as removed.
    """
    decoder = make_decoder()
    members = [member_dict("s-1", 9), *(member_dict(f"s-{n}", 9, **malformed_field) for n in range(2, 50))]
    decoded = decoder.decode(json.loads(json.dumps(endpoint_list_dict(*members))))
    endpoints = decoded.update.endpoints
    assert [endpoint.state for endpoint in endpoints] == [EndpointState.READY] + 48 * [EndpointState.DRAINING]
    assert not decoded.is_ambiguous and (b"s-2" in decoded.addresses) is ("host_port" not in malformed_field)
    assert all(endpoint.weight == 1.0 and endpoint.started_at_us == 0 for endpoint in endpoints)
    [record] = caplog.records
    assert len(record.getMessage()) < 300
    removed = member_dict("s-1", 9, **{**malformed_field, "phase": "Gone"})
    update = decoder.decode({"revision": 2, "members": [removed]}).update
    assert [endpoint.state for endpoint in update.endpoints] == [EndpointState.REMOVED]


@pytest.mark.parametrize("endpoint_id", [None, "", 5, ["s-1"], "\ud800"])
def test_entry_without_id_makes_list_ambiguous(endpoint_id: object) -> None:
    """An entry has no valid id, so it is unknown which endpoint it describes."""
    entry_without_id = {**member_dict("s-2", 9), "id": endpoint_id}
    decoded = make_decoder().decode(endpoint_list_dict(member_dict("s-1", 9), entry_without_id))
    assert [endpoint.endpoint_id for endpoint in decoded.update.endpoints] == [b"s-1"]
    assert decoded.is_ambiguous


@pytest.mark.parametrize(
    ("phases", "state"),
    [
        (("Ready", "Terminating"), EndpointState.DRAINING),
        (("Terminating", "Ready"), EndpointState.DRAINING),
        (("Gone", "Ready"), EndpointState.REMOVED),
        (("Ready", "Gone"), EndpointState.REMOVED),
    ],
)
def test_less_ready_of_two_entries_for_one_endpoint_is_used(
    phases: tuple[str, str], state: EndpointState
) -> None:
    """A list has two contradictory entries for one endpoint.

    Sending requests to a draining endpoint does more harm than sending none to a ready one. So the less ready
    entry must be used, whichever comes first.
    """
    members = [member_dict("s-1", 9, phase=phase) for phase in phases]
    decoded = make_decoder().decode({"revision": 2, "members": members})
    assert [endpoint.state for endpoint in decoded.update.endpoints] == [state]
    assert bool(decoded.addresses) is (state is not EndpointState.REMOVED)
    assert decoded.is_ambiguous


@pytest.mark.parametrize(
    "body",
    [
        b"{",
        b"[" * 100_000,
        b'"\xff"',
        b"9" * 5000,
        b"[]",
        b'{"revision": 1}',
        b'{"revision": 1, "members": {}}',
        b'{"revision": true, "members": []}',
        b'{"revision": -1, "members": []}',
        b'{"revision": 1e400, "members": []}',
    ],
    ids=lambda body: repr(body[:24]),
)
def test_invalid_list_raises_malformed_endpoint_list(body: bytes) -> None:
    """Discovery sends a response that is not an endpoint list.

    Any exception but MalformedEndpointList would be logged as an internal error with a traceback. If an empty
    list were returned instead, every endpoint would be removed.
    """
    with pytest.raises(MalformedEndpointList):
        make_decoder().decode(parse_json(bytearray(body)))

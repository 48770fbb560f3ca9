"""Decodes the JSON from discovery into an `EndpointListUpdate`.

No other module knows the keys of an entry of the endpoint list:

    id             the endpoint's id
    host_port      its address, `host:port`
    phase          its state: Ready, Terminating or Gone
    locality       the name of its zone
    flavor         the name of its hardware kind
    cell           the number of its cell
    size           its weight; 1 if missing
    up_since_ms    when it started, in ms since 1970; 0 or missing if it started long ago

The names of zones and hardware kinds are converted to their indices in the settings. A name that the settings
do not have gets the next free index. If `locality` or `flavor` is missing or null, the name "None" is used,
which gets an index like any other name. So all such entries share one zone or one hardware kind.

A malformed value does not cause the whole list to be rejected, because one malformed entry would then prevent
all other changes from being applied. Instead, its endpoint is treated as draining, unless it is removed. This
ensures that no new requests are sent to an endpoint whose entry may have been misread.
"""

from __future__ import annotations

import json
import logging
import re
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, TypeGuard, TypeVar

from yardlane.config import Address, parse_address
from yardlane.decisions.events import Endpoint, EndpointListUpdate, EndpointState, UpdateKind
from yardlane.errors import ConfigError, MalformedEndpoint, MalformedEndpointList
from yardlane.units import US_PER_MS

log = logging.getLogger("yardlane.proxy.endpoint_decoder")

STATES_BY_PHASE = {
    "Ready": EndpointState.READY,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.REMOVED,
}
# Of two entries for one endpoint, the one whose state has the lower rank is used.
READINESS_RANKS = {
    EndpointState.REMOVED: 0,
    EndpointState.DRAINING: 1,
    EndpointState.READY: 2,
}
# Labels of 1 to 63 printable ASCII characters, separated by dots. With other host names, `create_connection`
# raises an exception.
HOST_PATTERN = re.compile(r"[!-\-/-~]{1,63}(\.[!-\-/-~]{1,63})*")
# A 64-bit float represents every integer up to this one exactly, so the number has the value that the sender
# meant.
MAX_EXACT_INTEGER = 2**53
# The maximum number of zone names that get an index of their own, and likewise of hardware kind names.
# Without this limit, a discovery that sends new names all the time would fill the memory within a day.
MAX_INDEXED_NAMES = 64
MAX_NAME_CHARS = 256  # of a zone or a hardware kind; these names are kept as long as the process runs
MAX_LOGGED_VALUE_CHARS = 60
# Parsed JSON takes far more memory than its text if its values are short. An entry with all its keys takes at
# least 125 bytes, so a list of 8 MB has at most this many.
MAX_ENTRIES = 64_000
MAX_JSON_VALUES = 10 * MAX_ENTRIES  # an entry, its eight values, and some margin

T = TypeVar("T")
Addresses = dict[bytes, Address]


class DecodedList(NamedTuple):
    """A decoded endpoint list: an update, and the addresses that could be read from it.

    `is_ambiguous` is true if the list contains an entry without a valid id, or two different entries with the
    same id. Only a complete list can show which endpoint was meant, or which of the two entries is right.
    """

    update: EndpointListUpdate
    addresses: Addresses
    is_ambiguous: bool


class EndpointDecoder:
    """Decodes endpoint lists, and remembers the index of each zone name and hardware kind name."""

    def __init__(self, zones: Iterable[str], hardware_kinds: Iterable[str]) -> None:
        self.zone_indices = {name: index for index, name in enumerate(zones)}
        self.hardware_kind_indices = {name: index for index, name in enumerate(hardware_kinds)}

    def decode(self, document: object, kind: UpdateKind | None = None) -> DecodedList:
        """Decode a parsed JSON document; `kind` overrides the kind that the document states.

        A list that is not a delta is complete, so removed endpoints are left out of its update. Raises
        MalformedEndpointList if the document is not an endpoint list.
        """
        if not isinstance(document, dict) or not isinstance(document.get("members"), list):
            raise MalformedEndpointList("endpoint list must be an object with a list of members")
        if len(document["members"]) > MAX_ENTRIES:
            raise MalformedEndpointList(f"endpoint list must have at most {MAX_ENTRIES} members")
        if kind is None:
            kind = UpdateKind.SNAPSHOT if document.get("complete") is True else UpdateKind.DELTA
        version = _decode_version(document.get("revision"))
        builder = _ListBuilder(self.zone_indices, self.hardware_kind_indices)
        for entry in document["members"]:
            builder.add(entry)
        if builder.problem_count:  # logged in a single line, as there may be many
            log.warning(
                "endpoint list version %d has %d malformed values or ambiguous entries, the first: %.200s",
                version,
                builder.problem_count,
                builder.first_problem,
            )
        endpoints = list(builder.endpoints.values())
        if kind is not UpdateKind.DELTA:
            endpoints = [endpoint for endpoint in endpoints if endpoint.state is not EndpointState.REMOVED]
        update = EndpointListUpdate(kind, version, tuple(endpoints))
        return DecodedList(update, builder.addresses, builder.is_ambiguous)


class _ListBuilder:
    """Collects the decoded entries of one list, and counts the problems found in them."""

    def __init__(self, zone_indices: dict[str, int], hardware_kind_indices: dict[str, int]) -> None:
        self.zone_indices = zone_indices
        self.hardware_kind_indices = hardware_kind_indices
        self.endpoints: dict[bytes, Endpoint] = {}
        self.addresses: Addresses = {}
        self.is_ambiguous = False
        self.problem_count = 0
        self.first_problem = ""  # only one is kept, because a list may have several problems in each entry

    def add(self, entry: object) -> None:
        """Decode one entry and add it.

        Of two different entries with the same id, the one with the lower readiness rank is used, or the later
        one if the ranks are equal.
        """
        if not isinstance(entry, dict):
            self._record_ambiguity("no id")
            return
        try:
            endpoint_id = _decode_id(entry.get("id"))
        except MalformedEndpoint as error:
            self._record_ambiguity(str(error))
            return
        endpoint, address = self._decode_endpoint(endpoint_id, entry)
        earlier = self.endpoints.get(endpoint_id)
        if earlier is not None and earlier != endpoint:
            self._record_ambiguity(f"two entries for {_format_value(entry['id'])}")
            if READINESS_RANKS[earlier.state] < READINESS_RANKS[endpoint.state]:
                return
        self.endpoints[endpoint_id] = endpoint
        if endpoint.state is EndpointState.REMOVED:
            self.addresses.pop(endpoint_id, None)
        elif address is not None:
            self.addresses[endpoint_id] = address

    def _record_ambiguity(self, problem: str) -> None:
        self.is_ambiguous = True
        self._record_problem(problem)

    def _record_problem(self, problem: str) -> None:
        self.problem_count += 1
        if self.problem_count == 1:
            self.first_problem = problem

    def _decode_endpoint(self, endpoint_id: bytes, entry: dict[str, Any]) -> tuple[Endpoint, Address | None]:
        problem_count_before = self.problem_count
        state = self._decode_field(entry, "phase", _decode_state, EndpointState.DRAINING)
        is_removed = state is EndpointState.REMOVED
        address = None if is_removed else self._decode_field(entry, "host_port", _decode_address, None)
        started_at_ms = self._decode_field(entry, "up_since_ms", _decode_integer, 0)
        weight = self._decode_field(entry, "size", _decode_weight, 1.0)
        zone = self._decode_field(entry, "locality", self._decode_zone, 0)
        cell = self._decode_field(entry, "cell", _decode_integer, 0)
        hardware_kind = self._decode_field(entry, "flavor", self._decode_hardware_kind, 0)
        if self.problem_count > problem_count_before and not is_removed:
            state = EndpointState.DRAINING
        started_at_us = max(0, started_at_ms) * US_PER_MS
        return Endpoint(endpoint_id, state, started_at_us, weight, zone, cell, hardware_kind), address

    def _decode_field(self, entry: dict[str, Any], name: str, decode: Callable[[object], T], default: T) -> T:
        value = entry.get(name)
        try:
            return decode(value)
        except MalformedEndpoint as error:
            self._record_problem(f"{name} is {_format_value(value)}: {error}")
            return default

    def _decode_zone(self, name: object) -> int:
        return _index_of(self.zone_indices, name)

    def _decode_hardware_kind(self, name: object) -> int:
        return _index_of(self.hardware_kind_indices, name)


def parse_json(body: bytearray) -> object:
    """Parse a response body as JSON.

    Raises MalformedEndpointList if it is not valid JSON or may have more than `MAX_JSON_VALUES` values. These
    are counted by the characters that precede a value, so commas and brackets within strings count too.
    """
    value_count = body.count(b",") + body.count(b"[") + body.count(b"{")
    if value_count > MAX_JSON_VALUES:
        raise MalformedEndpointList(f"JSON must have at most {MAX_JSON_VALUES} values")
    try:
        return json.loads(body)
    except ValueError as error:
        raise MalformedEndpointList(f"invalid JSON: {error}") from None
    except RecursionError:
        raise MalformedEndpointList("JSON is nested too deeply") from None


def _format_value(value: object) -> str:
    """Return a value as a short text for the log.

    The text for a list, an object or null is only its type, as the contents of a list or object may be very
    long.
    """
    if not isinstance(value, str | int | float):
        return type(value).__name__
    if isinstance(value, str):
        value = value[:MAX_LOGGED_VALUE_CHARS]
    return repr(value)[:MAX_LOGGED_VALUE_CHARS]


def _decode_version(revision: object) -> int:
    if not isinstance(revision, int) or isinstance(revision, bool) or revision < 0:
        raise MalformedEndpointList(
            f"revision is {_format_value(revision)}: must be an integer of at least 0"
        )
    return revision


def _decode_id(value: object) -> bytes:
    if not (isinstance(value, str) and value):
        raise MalformedEndpoint("id must be a non-empty string")
    try:
        return value.encode()
    except UnicodeEncodeError:  # it contains half of a surrogate pair
        raise MalformedEndpoint("id must be valid Unicode") from None


def _decode_state(phase: object) -> EndpointState:
    if not (isinstance(phase, str) and phase in STATES_BY_PHASE):
        raise MalformedEndpoint("unknown phase, must be Ready, Terminating or Gone")
    return STATES_BY_PHASE[phase]


def _decode_address(text: object) -> Address:
    try:
        host, port = parse_address(text if isinstance(text, str) else "", "host_port")
    except ConfigError as error:
        raise MalformedEndpoint(str(error)) from None
    if not HOST_PATTERN.fullmatch(host):
        raise MalformedEndpoint("host must be a valid host name")
    return host, port


def _decode_integer(value: object) -> int:
    if value is None:
        return 0
    if not _is_number(value) or not abs(value) <= MAX_EXACT_INTEGER:
        raise MalformedEndpoint("must be a number from -2**53 to 2**53")
    return int(value)


def _decode_weight(value: object) -> float:
    if value is None:
        return 1.0
    if not _is_number(value) or not 0 < value <= MAX_EXACT_INTEGER:
        raise MalformedEndpoint("must be a number greater than 0 and at most 2**53")
    return float(value)


def _is_number(value: object) -> TypeGuard[int | float]:
    """Return whether a parsed JSON value is a number. A bool is not, although it is an int in Python."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def _index_of(indices: dict[str, int], name: object) -> int:
    """Return the index of a name; a new name gets the next free index.

    Once `MAX_INDEXED_NAMES` names have an index, all further names share the next index. A number is used as
    a name in its text form. Raises MalformedEndpoint if the name is neither a string nor a number nor None,
    or has more than `MAX_NAME_CHARS` characters.
    """
    if name is not None and not isinstance(name, str | int | float):
        raise MalformedEndpoint("name must be a string or a number")
    text = str(name)
    if len(text) > MAX_NAME_CHARS:
        raise MalformedEndpoint(f"name must have at most {MAX_NAME_CHARS} characters")
    index = indices.get(text)
    if index is None:
        index = len(indices)
        if index < MAX_INDEXED_NAMES:
            indices[text] = index
    return index

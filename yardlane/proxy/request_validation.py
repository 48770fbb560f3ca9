"""Validates a complete HTTP request and converts it to a `ParsedRequest`.

The headers of a client's request become these fields of `ParsedRequest`:

    X-Trace-Id      trace_id
    X-Qos           request_class
    Plan            quota_plan
    Account         tenant
    X-Expires-In    time_left_us
    X-Second-Try    is_retry
    Quota-Info      units, gateway_count (`spread` on the wire), first_gateway (`first` on the wire)

The unit in X-Expires-In is `m` for milliseconds or `u` for microseconds: `250m` is a quarter of a second.
"""

from __future__ import annotations

import re
from collections.abc import Container, Mapping
from dataclasses import dataclass
from functools import lru_cache
from typing import NamedTuple

from yardlane.config import Config
from yardlane.decisions.settings import Idempotency, QuotaPlan, RequestClass
from yardlane.errors import InvalidRequest
from yardlane.proxy.client_response import Status
from yardlane.proxy.request_headers import (
    EXPIRES_IN_HEADER,
    HOST_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    QUOTA_INFO_HEADER,
    QUOTA_PLAN_HEADER,
    REQUEST_CLASS_HEADER,
    RETRY_HEADER,
    TENANT_HEADER,
    TRACE_ID_HEADER,
)
from yardlane.proxy.request_parser import RequestParser
from yardlane.units import US_PER_MS

MAX_EXPIRES_IN_US = 3_600_000_000  # one hour; a request with a longer time is invalid
# Deducted from the time left, so that the response reaches the client in time. It covers the transit of
# request and response and the proxy's own processing.
TRANSIT_MARGIN_US = 10_000
# The maximum cost of a request under a plan with neither a rate nor a hard rate, and so no token bucket. It
# keeps huge numbers out of the sums of units.
MAX_UNITS_OF_UNLIMITED_PLAN = 1000.0
MAX_QUOTA_INFO_BYTES = 100  # a longer header is invalid; this also limits the size of the cached values
QUOTA_INFO_CACHE_SIZE = 512  # only a few values recur; the limit keeps the others from filling the memory
TENANT_BASE = 16
TENANT_LIMIT = 2**33  # set by the protocol, although 16 hexadecimal digits could hold larger numbers
US_PER_EXPIRES_IN_UNIT = {b"m": US_PER_MS, b"u": 1}

TENANT_PATTERN = re.compile(rb"[0-9a-fA-F]{16}")
DURATION_PATTERN = re.compile(rb"([0-9]{1,15}(?:\.[0-9]{1,9})?)([mu])")
TOKEN_PATTERN = re.compile(rb"[\x21-\x7e]{1,128}")  # visible ASCII characters
INTEGER_PATTERN = re.compile(rb"[0-9]{1,9}")
DECIMAL_PATTERN = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")


@dataclass(slots=True)  # not frozen: creating a frozen instance takes one more call per field
class ParsedRequest:
    """A valid request. `request_class` and `quota_plan` are indices into the settings.

    `time_left_us` is counted from the arrival of the request. `units` is its cost, which counts against the
    rates of its plan. The tenant's requests go to `gateway_count` gateways with consecutive ranks, beginning
    with rank `first_gateway`; rank 0 follows the last rank of the fleet. `head` is the request line and the
    forwarded headers, without those that the proxy writes itself.
    """

    trace_id: bytes
    tenant: int
    quota_plan: int
    request_class: int
    time_left_us: int
    units: float
    first_gateway: int
    gateway_count: int
    is_retry: bool
    is_write: bool
    head: bytes
    body: bytes


class QuotaInfo(NamedTuple):
    """The content of a Quota-Info header; for the fields, see `ParsedRequest`.

    Which gateways serve the tenant follows from the client's list of gateways.
    """

    units: float
    gateway_count: int
    first_gateway: int


class ClassRule(NamedTuple):
    """The requirements for requests of one class, which has the index `settings_index` in the settings."""

    settings_index: int
    method: bytes
    needs_idempotency_key: bool
    deadline_us: int  # counted from the arrival of a request


class PlanRule(NamedTuple):
    """The maximum cost of a request under one plan, which has the index `settings_index` in the settings."""

    settings_index: int
    max_units: float


class RequestRules(NamedTuple):
    """The rules that requests are checked against. Classes and plans are keyed by their wire names."""

    classes: Mapping[bytes, ClassRule]
    plans: Mapping[bytes, PlanRule]
    fleet_size: int  # the number of gateways in the fleet

    @classmethod
    def from_config(cls, config: Config) -> RequestRules:
        """Return the rules that follow from the configuration; a reload does not change them."""
        settings = config.settings
        return cls(
            classes={
                name.encode(): _class_rule(index, settings.request_classes[index])
                for index, name in enumerate(config.request_class_names)
            },
            plans={
                name.encode(): PlanRule(index, max_units(settings.quota_plans[index]))
                for index, name in enumerate(config.quota_plan_names)
            },
            fleet_size=settings.gateway_count,
        )


def _class_rule(index: int, request_class: RequestClass) -> ClassRule:
    """Return the rule for a class: its method is GET if its requests are idempotent, else POST."""
    is_idempotent = request_class.idempotency is Idempotency.IDEMPOTENT
    return ClassRule(
        settings_index=index,
        method=b"GET" if is_idempotent else b"POST",
        needs_idempotency_key=request_class.idempotency is Idempotency.KEYED,
        deadline_us=request_class.deadline_us,
    )


def max_units(plan: QuotaPlan) -> float:
    """Return the maximum cost of a request under `plan`.

    A request that costs more than the depth of a token bucket of the plan could never be admitted.
    """
    depths = []
    if plan.rate_per_s > 0:
        depths.append(plan.burst)
    if plan.hard_rate_per_s > 0:
        depths.append(plan.hard_rate_depth)
    return min(depths, default=MAX_UNITS_OF_UNLIMITED_PLAN)


def parse_request(
    parser: RequestParser, rules: RequestRules, open_trace_ids: Container[bytes]
) -> ParsedRequest:
    """Return the request that `parser` has collected. Raises `InvalidRequest` if it is not valid."""
    headers = parser.headers
    class_rule = _read_class(headers, rules)
    plan_rule = _read_plan(headers, rules)
    _check_host_and_method(parser, class_rule)
    trace_id = _read_trace_id(headers, open_trace_ids)
    if class_rule.needs_idempotency_key:
        _check_idempotency_key(headers)
    tenant = _read_tenant(headers)
    time_left_us = _read_time_left_us(headers, class_rule.deadline_us)
    quota_info = _read_quota_info(headers, rules, plan_rule)
    method = class_rule.method
    return ParsedRequest(
        trace_id,
        tenant,
        plan_rule.settings_index,
        class_rule.settings_index,
        time_left_us,
        quota_info.units,
        quota_info.first_gateway,
        quota_info.gateway_count,
        headers.get(RETRY_HEADER) == b"1",
        method != b"GET",
        b"".join((method, b" ", parser.url, b" HTTP/1.1\r\n", *parser.header_parts)),
        bytes(parser.body),
    )


def _bad_request(text: str) -> InvalidRequest:
    return InvalidRequest(Status.BAD_REQUEST, text)


def _read_class(headers: Mapping[bytes, bytes], rules: RequestRules) -> ClassRule:
    rule = rules.classes.get(headers.get(REQUEST_CLASS_HEADER, b""))
    if rule is None:
        raise _bad_request("unknown class")
    return rule


def _read_plan(headers: Mapping[bytes, bytes], rules: RequestRules) -> PlanRule:
    rule = rules.plans.get(headers.get(QUOTA_PLAN_HEADER, b""))
    if rule is None:
        raise _bad_request("unknown plan")
    return rule


def _check_host_and_method(parser: RequestParser, class_rule: ClassRule) -> None:
    if HOST_HEADER not in parser.headers and parser.http_version() == "1.1":
        raise _bad_request("no Host")
    if parser.method != class_rule.method:
        raise InvalidRequest(
            Status.METHOD_NOT_ALLOWED,
            f"the class wants {class_rule.method.decode()}",
            b"Allow: " + class_rule.method + b"\r\n",
        )
    if class_rule.method == b"GET" and parser.body:
        raise _bad_request("GET with a body")


def _read_trace_id(headers: Mapping[bytes, bytes], open_trace_ids: Container[bytes]) -> bytes:
    """Return the trace id. Raises `InvalidRequest` if it is malformed or one of `open_trace_ids`.

    These belong to the requests of this process that are unanswered or have an attempt in flight. Upstreams
    identify a request by its trace id, so they could not distinguish two requests with the same one.
    """
    trace_id = headers.get(TRACE_ID_HEADER, b"")
    if not TOKEN_PATTERN.fullmatch(trace_id):
        raise _bad_request("bad X-Trace-Id")
    if trace_id in open_trace_ids:
        raise InvalidRequest(Status.CONFLICT, "X-Trace-Id of an open request")
    return trace_id


def _check_idempotency_key(headers: Mapping[bytes, bytes]) -> None:
    if not TOKEN_PATTERN.fullmatch(headers.get(IDEMPOTENCY_KEY_HEADER, b"")):
        raise _bad_request("bad Idempotency-Key")


def _read_tenant(headers: Mapping[bytes, bytes]) -> int:
    text = headers.get(TENANT_HEADER, b"")
    if not TENANT_PATTERN.fullmatch(text):
        raise _bad_request("bad Account")
    tenant = int(text, TENANT_BASE)
    if tenant >= TENANT_LIMIT:
        raise _bad_request("bad Account")
    return tenant


def _read_time_left_us(headers: Mapping[bytes, bytes], deadline_us: int) -> int:
    """Return the shorter of X-Expires-In and the class's deadline, less `TRANSIT_MARGIN_US`; at least 1.

    Raises `InvalidRequest` if X-Expires-In is malformed, 0, or more than `MAX_EXPIRES_IN_US`.
    """
    duration = DURATION_PATTERN.fullmatch(headers.get(EXPIRES_IN_HEADER, b""))
    if duration is None:
        raise _bad_request("bad X-Expires-In")
    expires_in_us = float(duration[1]) * US_PER_EXPIRES_IN_UNIT[duration[2]]
    if not 0 < expires_in_us <= MAX_EXPIRES_IN_US:
        raise _bad_request("bad X-Expires-In")
    return max(1, int(min(expires_in_us, deadline_us)) - TRANSIT_MARGIN_US)


def _read_quota_info(headers: Mapping[bytes, bytes], rules: RequestRules, plan_rule: PlanRule) -> QuotaInfo:
    text = headers.get(QUOTA_INFO_HEADER, b"")
    if len(text) > MAX_QUOTA_INFO_BYTES:
        raise _bad_request("bad Quota-Info")
    quota_info = decode_quota_info(text, rules.fleet_size)
    if quota_info is None:
        raise _bad_request("bad Quota-Info")
    if quota_info.units > plan_rule.max_units:
        raise _bad_request("more units than the plan can pass")
    return quota_info


@lru_cache(maxsize=QUOTA_INFO_CACHE_SIZE)
def decode_quota_info(text: bytes, fleet_size: int) -> QuotaInfo | None:
    """Return the content of a Quota-Info header, or None if a field is missing, malformed or out of range."""
    fields: dict[bytes, bytes] = {}
    for part in text.split(b","):
        name, _, value = part.strip().partition(b"=")
        fields[name] = value
    units_text = fields.get(b"units", b"")
    spread_text = fields.get(b"spread", b"")
    first_text = fields.get(b"first", b"")
    if not (
        DECIMAL_PATTERN.fullmatch(units_text)
        and INTEGER_PATTERN.fullmatch(spread_text)
        and INTEGER_PATTERN.fullmatch(first_text)
    ):
        return None
    quota_info = QuotaInfo(float(units_text), int(spread_text), int(first_text))
    if quota_info.units <= 0 or quota_info.first_gateway >= fleet_size:
        return None
    if not 1 <= quota_info.gateway_count <= fleet_size:
        return None
    return quota_info

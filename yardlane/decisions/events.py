"""The events that are passed to the decisions of a gateway.

Times are whole microseconds of the gateway's own clock, unless stated otherwise. Endpoint ids and counter
keys have no meaning except to identify an endpoint or a count; events and actions use the same values.

The dataclasses of events are not frozen, although events are never modified. The constructor of a frozen
dataclass makes one extra call for each field, and several events are constructed for each request.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """How an attempt, a health check or a call to the counter ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"
    """The other side refused the request or the call, and promises that it had no effect."""
    TIMED_OUT = "timed out"
    NOT_CONNECTED = "not connected"
    CONNECTION_LOST = "connection lost"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


class EndpointState(Enum):
    """The state of an endpoint according to the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "removed"


class UpdateKind(Enum):
    """The kind of an endpoint list update."""

    DELTA = "delta"
    """Only the entries that have changed."""
    SNAPSHOT = "snapshot"
    """The whole list."""
    CACHED = "cached"
    """The whole list as an earlier process of this gateway last had it. It may be out of date."""
    FAILED = "failed"
    """No list: watching the endpoint list failed."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list.

    `started_at_us` is the endpoint's start in Unix time, or 0 if the endpoint started long ago. `weight` (the
    endpoint's size) and `hardware_kind` are part of the wire format only: no rule reads them.
    """

    endpoint_id: bytes
    state: EndpointState
    started_at_us: int
    weight: float
    zone: int
    cell: int
    hardware_kind: int


@dataclass(slots=True)
class LoadReport:
    """The load that an endpoint reports about itself; a value that it does not report is None.

    `in_flight` is a number of requests. If it is not reported, the sum of `queued` and `utilization` is used
    instead.
    """

    in_flight: float | None = None
    queued: float | None = None
    utilization: float | None = None


@dataclass(slots=True)
class EndpointListUpdate:
    """An update of the endpoint list to version `version` of the list that discovery has."""

    kind: UpdateKind
    version: int
    endpoints: tuple[Endpoint, ...]


@dataclass(slots=True)
class RequestArrived:
    """A client's request arrived.

    `quota_plan` and `request_class` are indices into the settings. The client's deadline is `time_left_us`
    after the arrival. `units` is the cost of the request, which counts against the rates of its plan.
    `gateway_count` gateways with consecutive ranks serve the tenant, beginning with the rank `first_gateway`;
    rank 0 follows the highest rank. `is_retry` and `is_write` are part of the wire format only: no rule reads
    them.
    """

    request_id: int
    tenant: int
    quota_plan: int
    request_class: int
    time_left_us: int
    units: float
    first_gateway: int
    gateway_count: int
    is_retry: bool = False
    is_write: bool = False


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended; there is exactly one such event for each attempt.

    `request_ended` says whether the request has already got its final answer. `usage_percent` is part of the
    wire format only: no rule reads it.
    """

    request_id: int
    attempt_index: int
    endpoint_id: bytes
    outcome: Outcome
    elapsed_us: int
    request_ended: bool
    usage_percent: int | None = None
    load: LoadReport | None = None


@dataclass(slots=True)
class StreamStarted:
    """A response began to stream to the client. It is the final answer, even if the stream fails later."""

    request_id: int
    attempt_index: int
    endpoint_id: bytes
    elapsed_us: int


@dataclass(slots=True)
class RequestEnded:
    """A request ended without a decision, usually because its client disconnected.

    The decisions must not give it a final answer any more.
    """

    request_id: int


@dataclass(slots=True)
class CounterResult:
    """A call to the shared counter (`AddToCounter`) ended; `total` is valid only if the outcome is OK."""

    counter_key: int
    outcome: Outcome
    total: float
    elapsed_us: int


@dataclass(slots=True)
class HealthCheckEnded:
    """A health check (`CheckHealth`) ended. The event is part of the wire format only: no rule reads it."""

    endpoint_id: bytes
    outcome: Outcome
    elapsed_us: int
    load: LoadReport | None = None


@dataclass(slots=True)
class Gossip:
    """A message from another gateway arrived; `sender` is the rank of that gateway.

    The event is part of the wire format only: no rule reads it.
    """

    sender: int
    content: bytes


@dataclass(slots=True)
class TimerFired:
    """The timer that a `SetTimer` set fired; `token` is the token of that action, which no rule reads."""

    token: int


Event = (
    EndpointListUpdate
    | RequestArrived
    | AttemptEnded
    | StreamStarted
    | RequestEnded
    | CounterResult
    | HealthCheckEnded
    | Gossip
    | TimerFired
)

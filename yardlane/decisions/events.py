"""What happened: the events that a gateway's decisions are notified of.

Times are whole microseconds of the gateway's own clock. Endpoint ids and counter keys are values that the
decisions only hand back; they carry no meaning of their own.

Events are not frozen, although nothing changes them: a frozen dataclass costs a call a field when it is made,
and some are made for each request.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """How an attempt, a health check or a call to the counter ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"
    """The peer shed it, with the promise that it had no effect."""
    TIMED_OUT = "timed out"
    NOT_CONNECTED = "not connected"
    CONNECTION_LOST = "connection lost"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


class EndpointState(Enum):
    """What the endpoint list says of an endpoint."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "removed"


class UpdateKind(Enum):
    """What an update of the endpoint list holds."""

    DELTA = "delta"
    SNAPSHOT = "snapshot"
    CACHED = "cached"
    """The list as an earlier process of this gateway had it last; it may be old."""
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list. `started_at_us` is 0 for an endpoint that started long ago."""

    endpoint_id: bytes
    state: EndpointState
    started_at_us: int
    weight: float
    zone: int
    cell: int
    hardware_kind: int


@dataclass(slots=True)
class LoadReport:
    """What an endpoint says of its own load; None where it does not say.

    `in_flight` counts requests; where it is not reported, `queued` and `utilization` stand for it.
    """

    in_flight: float | None = None
    queued: float | None = None
    utilization: float | None = None


@dataclass(slots=True)
class EndpointListUpdate:
    """News of the endpoint list, as version `version` of discovery's list."""

    kind: UpdateKind
    version: int
    endpoints: tuple[Endpoint, ...]


@dataclass(slots=True)
class RequestArrived:
    """A client's request.

    `quota_plan` and `request_class` are indices into the settings. The tenant's requests come to
    `gateway_count` gateways, from rank `first_gateway` on. `units` is the request's cost against a rate.
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
    """An attempt's only end. `request_ended` says that the request has had its final answer."""

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
    """A response began to flow to the client: it is the final answer, whatever comes of it."""

    request_id: int
    attempt_index: int
    endpoint_id: bytes
    elapsed_us: int


@dataclass(slots=True)
class RequestEnded:
    """A request ended by no decision: mostly, its client disconnected. It gets no final answer."""

    request_id: int


@dataclass(slots=True)
class CounterResult:
    """The end of an `AddToCounter`; `total` counts only where the outcome is OK."""

    counter_key: int
    outcome: Outcome
    total: float
    elapsed_us: int


@dataclass(slots=True)
class HealthCheckEnded:
    """The end of a `CheckHealth`."""

    endpoint_id: bytes
    outcome: Outcome
    elapsed_us: int
    load: LoadReport | None = None


@dataclass(slots=True)
class Gossip:
    """A message of another gateway, named by its rank."""

    sender: int
    content: bytes


@dataclass(slots=True)
class TimerFired:
    """The end of a `SetTimer`."""

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

"""What to do: the actions that a gateway's decisions return. Times are whole microseconds.

Actions are not frozen, for the same reason as events.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class StartAttempt:
    """Send a request to an endpoint; `timeout_us` 0 lets it run until the client's deadline.

    No rule sets another `timeout_us`: it is there for the wire.

    `send_within_us` bounds how late its last byte may be written, as a connection may come up late: an
    attempt that is not written by then never is, and ends as `NOT_CONNECTED`. 0 sets no bound.
    """

    request_id: int
    endpoint_id: bytes
    timeout_us: int = 0
    send_within_us: int = 0


@dataclass(slots=True)
class CancelAttempt:
    """End an attempt; its `AttemptEnded` follows."""

    request_id: int
    attempt_index: int


@dataclass(slots=True)
class Reject:
    """Final answer, with the promise that the request had no effect; `retry_after_us` 0 names no time."""

    request_id: int
    retry_after_us: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer without a promise: the request may have had its effect."""

    request_id: int


@dataclass(slots=True)
class AddToCounter:
    """Add to a shared count and read its total; a new key expires after `lifetime_us`."""

    counter_key: int
    amount: float
    lifetime_us: int


@dataclass(slots=True)
class SetTimer:
    """Call again after a delay, with a `TimerFired`."""

    delay_us: int
    token: int = 0


@dataclass(slots=True)
class CheckHealth:
    """Request the health of an endpoint. On the wire only: no rule returns it."""

    endpoint_id: bytes


@dataclass(slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint. On the wire only: no rule returns it."""

    endpoint_id: bytes


@dataclass(slots=True)
class FetchEndpoints:
    """Fetch a snapshot of the endpoint list. On the wire only: no rule returns it."""


@dataclass(slots=True)
class WatchEndpoints:
    """Start or stop watching the endpoint list."""

    enabled: bool = True


@dataclass(slots=True)
class SendGossip:
    """A message to one gateway by its rank, or to all others when `gateway` is None.

    On the wire only: no rule returns it.
    """

    gateway: int | None
    content: bytes


@dataclass(slots=True)
class LogMessage:
    """A line for the log. On the wire only: no rule returns it."""

    text: str


Action = (
    StartAttempt
    | CancelAttempt
    | Reject
    | Fail
    | AddToCounter
    | SetTimer
    | CheckHealth
    | CloseIdleConnections
    | FetchEndpoints
    | WatchEndpoints
    | SendGossip
    | LogMessage
)

"""The actions that the decisions of a gateway return. Times are whole microseconds.

The dataclasses of actions are not frozen, for the same reason as those of events (`events.py`).
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class StartAttempt:
    """Start an attempt: send a request to an endpoint.

    If `timeout_us` is 0, the attempt may last until the client's deadline. No rule sets another value: the
    field is part of the wire format only.

    `send_within_us` limits when the last byte of the request may be written, as a connection may be
    established late. If the request has not been written completely by then, it is not sent any more, and the
    attempt ends as `NOT_CONNECTED`. 0 means no limit.
    """

    request_id: int
    endpoint_id: bytes
    timeout_us: int = 0
    send_within_us: int = 0


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt; an `AttemptEnded` for it follows."""

    request_id: int
    attempt_index: int


@dataclass(slots=True)
class Reject:
    """Give a request a final answer which promises that the client may safely send it again.

    If `retry_after_us` is 0, the client is not told when to send it again.
    """

    request_id: int
    retry_after_us: int = 0


@dataclass(slots=True)
class Fail:
    """Give a request a final answer without the promise of `Reject`: the request may have taken effect."""

    request_id: int


@dataclass(slots=True)
class AddToCounter:
    """Add an amount to a count of the shared counter, and read the new total.

    A count that does not exist yet is created, and expires after `lifetime_us`.
    """

    counter_key: int
    amount: float
    lifetime_us: int


@dataclass(slots=True)
class SetTimer:
    """Pass a `TimerFired` event with this token to the gateway after a delay.

    Timers that were set earlier may fire as well.
    """

    delay_us: int
    token: int = 0


@dataclass(slots=True)
class CheckHealth:
    """Check the health of an endpoint. The action is part of the wire format only: no rule returns it."""

    endpoint_id: bytes


@dataclass(slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint.

    The action is part of the wire format only: no rule returns it.
    """

    endpoint_id: bytes


@dataclass(slots=True)
class FetchEndpoints:
    """Fetch a snapshot of the endpoint list.

    The action is part of the wire format only: no rule returns it.
    """


@dataclass(slots=True)
class WatchEndpoints:
    """Start or stop watching the endpoint list. No rule stops it: `enabled` is always true."""

    enabled: bool = True


@dataclass(slots=True)
class SendGossip:
    """Send a message to the gateway with the rank `gateway`, or to all others if `gateway` is None.

    The action is part of the wire format only: no rule returns it.
    """

    gateway: int | None
    content: bytes


@dataclass(slots=True)
class LogMessage:
    """Write a line to the log. The action is part of the wire format only: no rule returns it."""

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

"""The life of one connection to an upstream: its states, its events and the table between them. No I/O."""

from __future__ import annotations

from enum import IntEnum, auto


class UpstreamState(IntEnum):
    """Where a connection stands, and how much of its present request the kernel has taken."""

    CONNECTING = auto()  # its request is not sent at all: there is no socket yet
    IDLE = auto()  # no request; it waits in the pool
    SENDING = auto()  # a request is handed over, and the kernel has not taken its last byte
    AWAITING = auto()  # the kernel has the whole request; no response has begun, or only interim ones (1xx)
    RECEIVING = auto()  # a response has begun
    COMPLETE = auto()  # the final response is whole; its attempt ends in the same turn
    CLOSED = auto()  # closed by us, by the upstream, or never opened


class UpstreamEvent(IntEnum):
    """What happens to a connection."""

    REQUEST_HANDED_OVER = auto()  # to the transport
    REQUEST_SENT = auto()  # the kernel has taken its last byte
    RESPONSE_BEGUN = auto()  # bytes of a response have come, and not all of it
    INTERIM_ENDED = auto()  # the response that had begun was an interim one, and is whole; another follows
    RESPONSE_ENDED = auto()  # the final response is whole
    RELEASED = auto()  # the attempt has ended, and the connection may carry another one
    CLOSED = auto()


CONNECTING = UpstreamState.CONNECTING
IDLE = UpstreamState.IDLE
SENDING = UpstreamState.SENDING
AWAITING = UpstreamState.AWAITING
RECEIVING = UpstreamState.RECEIVING
COMPLETE = UpstreamState.COMPLETE
CLOSED = UpstreamState.CLOSED

# Each event that a state may meet, and the state after it. Any other is a fault of this program: the
# connection logs it and stays as it is.
#
# The states follow from one question: may the upstream have run the request? Only if not may a request that
# is not idempotent be sent to another upstream. An upstream begins a request once its last byte has
# arrived, so a request whose last byte the kernel never took has not run. That is why SENDING and AWAITING
# are two states, and why SENDING leads to AWAITING or CLOSED alone: a connection that is closed while
# SENDING sends no further byte. From AWAITING on the request may have run (MAY_HAVE_RUN); only a whole
# response says what became of it.
#
# A response names no request. Bytes that come before a request was sent whole answer an earlier one. So
# nothing of a response is read while IDLE or SENDING; such bytes close the connection.
#
# Only COMPLETE leads back to IDLE: where an attempt ends any earlier, its response may still come, and the
# next request on the connection would take it for its own.
TRANSITIONS: dict[UpstreamState, dict[UpstreamEvent, UpstreamState]] = {
    CONNECTING: {
        UpstreamEvent.REQUEST_HANDED_OVER: SENDING,
        UpstreamEvent.CLOSED: CLOSED,
    },
    IDLE: {
        UpstreamEvent.REQUEST_HANDED_OVER: SENDING,
        UpstreamEvent.CLOSED: CLOSED,
    },
    SENDING: {
        UpstreamEvent.REQUEST_SENT: AWAITING,
        UpstreamEvent.CLOSED: CLOSED,
    },
    AWAITING: {
        UpstreamEvent.RESPONSE_BEGUN: RECEIVING,
        UpstreamEvent.RESPONSE_ENDED: COMPLETE,
        UpstreamEvent.CLOSED: CLOSED,
    },
    RECEIVING: {  # one read may end an interim response and begin the next one
        UpstreamEvent.RESPONSE_BEGUN: RECEIVING,
        UpstreamEvent.INTERIM_ENDED: AWAITING,
        UpstreamEvent.RESPONSE_ENDED: COMPLETE,
        UpstreamEvent.CLOSED: CLOSED,
    },
    COMPLETE: {
        UpstreamEvent.RELEASED: IDLE,
        UpstreamEvent.CLOSED: CLOSED,
    },
    CLOSED: {UpstreamEvent.CLOSED: CLOSED},
}

MAY_HAVE_RUN = frozenset({AWAITING, RECEIVING, COMPLETE})
"""The states in which the upstream may have begun the present request."""

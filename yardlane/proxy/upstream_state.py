"""The state machine of a connection to an upstream: its states, events and transitions. It does no I/O."""

from __future__ import annotations

from enum import IntEnum, auto


class UpstreamState(IntEnum):
    """The state of a connection, including how much of its current request the kernel has accepted."""

    CONNECTING = auto()  # not established yet; nothing of the request has been sent
    IDLE = auto()  # established, without a request; waits in the pool
    SENDING = auto()  # the transport has the request, but the kernel has not accepted its last byte
    AWAITING = auto()  # the kernel has the whole request; no response has begun, except interim ones (1xx)
    RECEIVING = auto()  # part of a response has been received
    COMPLETE = auto()  # the final response is complete; the attempt ends in the same event loop callback
    CLOSED = auto()  # closed by the proxy or by the upstream, or never established


class UpstreamEvent(IntEnum):
    """An event that changes the state of a connection."""

    REQUEST_HANDED_OVER = auto()  # the request has been written to the transport
    REQUEST_SENT = auto()  # the kernel has accepted the last byte of the request
    RESPONSE_BEGUN = auto()  # part of a response has been received
    INTERIM_ENDED = auto()  # the response that had begun is complete and was an interim one; another follows
    RESPONSE_ENDED = auto()  # the final response is complete
    RELEASED = auto()  # the attempt has ended, and the connection can be reused
    CLOSED = auto()


CONNECTING = UpstreamState.CONNECTING
IDLE = UpstreamState.IDLE
SENDING = UpstreamState.SENDING
AWAITING = UpstreamState.AWAITING
RECEIVING = UpstreamState.RECEIVING
COMPLETE = UpstreamState.COMPLETE
CLOSED = UpstreamState.CLOSED

# For each state, the events that it allows and the state that follows each of them. Any other event is a
# bug in this program: the connection logs it and keeps its state.
#
# The states are chosen to answer one question: may the upstream have run the request? Only if it has not may
# a non-idempotent request be sent to another upstream. An upstream begins to process a request once its
# last byte has arrived, so a request whose last byte the kernel never accepted has not run. For this reason
# SENDING and AWAITING are separate states, and SENDING leads only to AWAITING or CLOSED: a connection that
# is closed in SENDING sends no further bytes. From AWAITING on, the request may have run (MAY_HAVE_RUN);
# only a complete response tells whether it did.
#
# A response does not identify its request. Bytes that arrive before a request has been sent completely
# belong to an earlier request. Therefore no response is read in IDLE or SENDING; such bytes close the
# connection.
#
# Only COMPLETE leads back to IDLE: if an attempt ends earlier, its response may still arrive, and would be
# read as the response to the next request on the connection.
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
    RECEIVING: {  # a single read may complete an interim response and begin the next response
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
"""The states in which the upstream may have begun to process the current request."""

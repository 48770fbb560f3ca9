"""The life of a client's connection: its states, what may happen to it, and the one table of both."""

from __future__ import annotations

from enum import Enum, auto


class State(Enum):
    """Where a client's connection stands."""

    ACCEPTED = auto()  # its transport is not up yet
    OPEN = auto()  # requests are read and handled
    LAST_REQUEST = auto()  # no further request is handled, and not all that were are answered
    BROKEN = auto()  # what came cannot be read on: the error waits for its turn among the responses
    CLOSING = auto()  # no request is pending; what is written may still be read, for a limited time
    CLOSED = auto()  # the transport is lost, or aborted


class ConnectionEvent(Enum):
    """What happens to a client's connection."""

    CONNECTED = auto()  # its transport is up
    LAST_REQUEST_READ = auto()  # no request is handled after the newest
    STREAM_BROKEN = auto()  # its bytes are no requests, or come too slowly
    LAST_RESPONSE_WRITTEN = auto()
    IDLE_CLOSED = auto()  # closed by us between requests
    CLIENT_LEFT = auto()  # the client has closed its side, or reset the connection
    ABORTED = auto()  # ended by us at once
    TRANSPORT_LOST = auto()  # the transport's last call


# The state after each event that a state may meet. An event that is missing here is a fault of ours: it is
# logged and changes nothing. docs/design.md shows the same table, and a test holds both together.
#
# - LAST_REQUEST ignores a broken stream: what follows the last request is not read, whatever it is, so it
#   must not take away the responses ahead of it.
# - CLOSING is never closed a second time. Closing a socket with unread bytes resets the connection, and the
#   reset would take the last response from a client that is still reading it. Only ABORTED ends it early.
# - CLOSED may still see its transport come up: one accepted connection may be aborted to make room for
#   another before that.
TRANSITIONS: dict[State, dict[ConnectionEvent, State]] = {
    State.ACCEPTED: {
        ConnectionEvent.CONNECTED: State.OPEN,
        ConnectionEvent.IDLE_CLOSED: State.CLOSED,
        ConnectionEvent.ABORTED: State.CLOSED,
        ConnectionEvent.TRANSPORT_LOST: State.CLOSED,
    },
    State.OPEN: {
        ConnectionEvent.LAST_REQUEST_READ: State.LAST_REQUEST,
        ConnectionEvent.STREAM_BROKEN: State.BROKEN,
        ConnectionEvent.IDLE_CLOSED: State.CLOSING,
        ConnectionEvent.CLIENT_LEFT: State.CLOSING,
        ConnectionEvent.ABORTED: State.CLOSED,
        ConnectionEvent.TRANSPORT_LOST: State.CLOSED,
    },
    State.LAST_REQUEST: {
        ConnectionEvent.LAST_REQUEST_READ: State.LAST_REQUEST,
        ConnectionEvent.STREAM_BROKEN: State.LAST_REQUEST,
        ConnectionEvent.LAST_RESPONSE_WRITTEN: State.CLOSING,
        ConnectionEvent.CLIENT_LEFT: State.CLOSING,
        ConnectionEvent.ABORTED: State.CLOSED,
        ConnectionEvent.TRANSPORT_LOST: State.CLOSED,
    },
    State.BROKEN: {
        ConnectionEvent.STREAM_BROKEN: State.BROKEN,
        ConnectionEvent.LAST_RESPONSE_WRITTEN: State.CLOSING,
        ConnectionEvent.CLIENT_LEFT: State.CLOSING,
        ConnectionEvent.ABORTED: State.CLOSED,
        ConnectionEvent.TRANSPORT_LOST: State.CLOSED,
    },
    State.CLOSING: {
        ConnectionEvent.STREAM_BROKEN: State.CLOSING,
        ConnectionEvent.IDLE_CLOSED: State.CLOSING,
        ConnectionEvent.CLIENT_LEFT: State.CLOSING,
        ConnectionEvent.ABORTED: State.CLOSED,
        ConnectionEvent.TRANSPORT_LOST: State.CLOSED,
    },
    State.CLOSED: {
        ConnectionEvent.CONNECTED: State.CLOSED,
        ConnectionEvent.TRANSPORT_LOST: State.CLOSED,
    },
}

"""The life of a client's connection: its states, what may happen to it, and the one table of both."""

from __future__ import annotations

from enum import IntEnum, auto


class ClientState(IntEnum):
    """Where a client's connection stands."""

    ACCEPTED = auto()  # its transport is not up yet
    OPEN = auto()  # requests are read and handled
    LAST_REQUEST = auto()  # no further request is handled, and not all that were are answered
    ERROR_PENDING = auto()  # what came cannot be read on: the error waits for its turn among the responses
    CLOSING = auto()  # no request is pending; what is written may still be read, for a limited time
    CLOSED = auto()  # the transport is lost, or aborted


class ClientEvent(IntEnum):
    """What happens to a client's connection."""

    CONNECTED = auto()  # its transport is up
    LAST_REQUEST_READ = auto()  # no request is handled after the newest
    FATAL_REQUEST_ERROR = auto()  # its bytes are no requests, or come too slowly
    LAST_RESPONSE_WRITTEN = auto()
    IDLE_CLOSED = auto()  # closed by us between requests
    CLIENT_DISCONNECTED = auto()  # the client has closed its side, or reset the connection
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
TRANSITIONS: dict[ClientState, dict[ClientEvent, ClientState]] = {
    ClientState.ACCEPTED: {
        ClientEvent.CONNECTED: ClientState.OPEN,
        ClientEvent.IDLE_CLOSED: ClientState.CLOSED,
        ClientEvent.ABORTED: ClientState.CLOSED,
        ClientEvent.TRANSPORT_LOST: ClientState.CLOSED,
    },
    ClientState.OPEN: {
        ClientEvent.LAST_REQUEST_READ: ClientState.LAST_REQUEST,
        ClientEvent.FATAL_REQUEST_ERROR: ClientState.ERROR_PENDING,
        ClientEvent.IDLE_CLOSED: ClientState.CLOSING,
        ClientEvent.CLIENT_DISCONNECTED: ClientState.CLOSING,
        ClientEvent.ABORTED: ClientState.CLOSED,
        ClientEvent.TRANSPORT_LOST: ClientState.CLOSED,
    },
    ClientState.LAST_REQUEST: {
        ClientEvent.LAST_REQUEST_READ: ClientState.LAST_REQUEST,
        ClientEvent.FATAL_REQUEST_ERROR: ClientState.LAST_REQUEST,
        ClientEvent.LAST_RESPONSE_WRITTEN: ClientState.CLOSING,
        ClientEvent.CLIENT_DISCONNECTED: ClientState.CLOSING,
        ClientEvent.ABORTED: ClientState.CLOSED,
        ClientEvent.TRANSPORT_LOST: ClientState.CLOSED,
    },
    ClientState.ERROR_PENDING: {
        ClientEvent.FATAL_REQUEST_ERROR: ClientState.ERROR_PENDING,
        ClientEvent.LAST_RESPONSE_WRITTEN: ClientState.CLOSING,
        ClientEvent.CLIENT_DISCONNECTED: ClientState.CLOSING,
        ClientEvent.ABORTED: ClientState.CLOSED,
        ClientEvent.TRANSPORT_LOST: ClientState.CLOSED,
    },
    ClientState.CLOSING: {
        ClientEvent.FATAL_REQUEST_ERROR: ClientState.CLOSING,
        ClientEvent.IDLE_CLOSED: ClientState.CLOSING,
        ClientEvent.CLIENT_DISCONNECTED: ClientState.CLOSING,
        ClientEvent.ABORTED: ClientState.CLOSED,
        ClientEvent.TRANSPORT_LOST: ClientState.CLOSED,
    },
    ClientState.CLOSED: {
        ClientEvent.CONNECTED: ClientState.CLOSED,
        ClientEvent.TRANSPORT_LOST: ClientState.CLOSED,
    },
}

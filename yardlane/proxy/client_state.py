"""Defines the state machine of a client's connection: its states, events and transitions. It does no I/O."""

from __future__ import annotations

from enum import IntEnum, auto


class ClientState(IntEnum):
    """The state of a client's connection."""

    ACCEPTED = auto()  # accepted; its transport has not been created yet
    OPEN = auto()  # requests are read and served
    LAST_REQUEST = auto()  # no further requests are accepted; some responses are still pending
    ERROR_PENDING = auto()  # after a fatal error; its response waits for the responses to earlier requests
    CLOSING = auto()  # no request is pending; the client has a limited time to read what has been written
    CLOSED = auto()  # the transport has been lost or aborted, or is aborted as soon as it is created


class ClientEvent(IntEnum):
    """An event that changes the state of a client's connection."""

    CONNECTED = auto()  # the transport has been created
    LAST_REQUEST_READ = auto()  # the newest request is the last one that is accepted
    # The received bytes are not valid HTTP, exceed a limit, or arrive too slowly.
    FATAL_REQUEST_ERROR = auto()
    LAST_RESPONSE_WRITTEN = auto()  # the response after which the connection closes has been written
    IDLE_CLOSED = auto()  # the proxy closes the connection between requests
    CLIENT_DISCONNECTED = auto()  # the client has closed its side or reset the connection
    ABORTED = auto()  # the proxy closes the connection at once
    TRANSPORT_LOST = auto()  # the transport has called `connection_lost`


# For each state, the events that it allows and the state that follows each of them. Any other event is a
# bug in this program: the connection logs it and keeps its state. docs/design.md documents the same table,
# and a test compares the two.
#
# - LAST_REQUEST and CLOSING ignore FATAL_REQUEST_ERROR. All bytes after the last request are discarded, so an
#   error in them has no effect. In LAST_REQUEST, it must not end the pending requests.
# - CLOSING ignores IDLE_CLOSED and CLIENT_DISCONNECTED, as the connection must not be closed a second time.
#   Closing a socket with unread bytes resets the connection, and the client could lose the last response
#   that it is still reading. Only ABORTED and TRANSPORT_LOST end this state.
# - CLOSED allows CONNECTED, because an accepted connection may be aborted to make room for another one before
#   its transport has been created. It allows TRANSPORT_LOST, because an aborted transport reports its loss.
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

"""A connection of a client. It reads pipelined requests and writes one response to each, in order.

`client_state` defines the states of the connection. Only `ClientConnection._change_state` changes the
state, and only `ClientConnection._update_reading` pauses and resumes reading from the socket.
"""

from __future__ import annotations

import asyncio
import logging
import select
from collections import deque
from typing import Protocol, cast

from yardlane.errors import FatalRequestError, InvalidRequest
from yardlane.proxy.client_request import ClientRequest, RequestHandler
from yardlane.proxy.client_response import CONTINUE_RESPONSE, Status, encode_response
from yardlane.proxy.client_state import TRANSITIONS, ClientEvent, ClientState
from yardlane.proxy.request_parser import RequestParser
from yardlane.proxy.request_validation import RequestRules, parse_request
from yardlane.proxy.socket_probe import SocketProbe

log = logging.getLogger("yardlane.proxy.client_connection")

# A connection is not read while it has this number of pending requests.
MAX_PENDING_REQUESTS = 4
# A single read may bring more requests than that. Up to this number of excess requests are rejected one by
# one; with more, the connection is closed.
MAX_EXCESS_REQUESTS = 64
# The time to receive a whole request, and to receive the first byte on a new connection.
REQUEST_TIMEOUT_S = 1.5
# The time that a client has to read the last response and close its side of the connection.
LINGERING_CLOSE_TIMEOUT_S = 1.0
HEALTH_PATH = b"/_health"

# Reading a module global is faster than reading an enum member, and each request checks these states.
OPEN = ClientState.OPEN
LAST_REQUEST = ClientState.LAST_REQUEST
ERROR_PENDING = ClientState.ERROR_PENDING
CLOSING = ClientState.CLOSING
CLOSED = ClientState.CLOSED


class ClientConnectionOwner(Protocol):
    """The part of the server's interface that a connection uses."""

    handler: RequestHandler
    rules: RequestRules
    open_trace_ids: set[bytes]
    is_draining: bool

    def loop_time_s(self) -> float:
        """Return the time of the event loop's clock in seconds."""

    def is_near_connection_limit(self) -> bool:
        """Return whether so many connections are open that each must close after its next response."""

    def on_connection_closed(self, connection: ClientConnection) -> None:
        """Called when the connection has been closed and no longer counts towards the limit."""


class ClientConnection(asyncio.Protocol):
    """Reads requests from a client, writes the responses in order and enforces the timeouts."""

    def __init__(self, server: ClientConnectionOwner) -> None:
        self.server = server
        self.parser = RequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.probe: SocketProbe | None = None  # created by the first call of `is_client_disconnected`
        self.pending: deque[ClientRequest] = deque()  # in the order of the requests, and so of the responses
        self.state = ClientState.ACCEPTED
        self.is_write_buffer_full = False
        self.has_received_request = False
        self.last_active_s = server.loop_time_s()  # when a request was last answered, or CLOSING began
        self.request_timeout_started_s = self.last_active_s

    # State

    def _change_state(self, event: ClientEvent) -> bool:
        """Change the state as `TRANSITIONS` defines it; return whether the state has changed.

        An event that the table does not allow in this state is a bug in this program: it is logged and
        changes nothing.
        """
        old_state = self.state
        new_state = TRANSITIONS[old_state].get(event)
        if new_state is None:
            log.error("unexpected event %s in state %s of a client connection", event.name, old_state.name)
            return False
        if new_state is old_state:
            return False
        self.state = new_state
        if new_state is CLOSING or new_state is CLOSED:
            self.last_active_s = self.server.loop_time_s()
            self._release_pending()
        if new_state is CLOSED:
            self._on_closed()
        return True

    def _release_pending(self) -> None:
        """Drop the pending requests, and notify the handler of those that can no longer be answered."""
        released = self.pending
        self.pending = deque()
        for request in released:
            if not request.response:
                self._free_trace_id(request)
                self.server.handler.on_client_disconnected(request)

    def _on_closed(self) -> None:
        self.server.on_connection_closed(self)
        self.parser.close()
        if self.transport is not None:
            self.transport.abort()

    def _update_reading(self) -> None:
        """Pause or resume reading from the socket.

        Reading pauses while the maximum number of requests is pending or the client does not read its
        responses. After an error and while closing, the connection is always read: closing a socket with
        unread bytes resets the connection.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        is_full = self.is_write_buffer_full or len(self.pending) >= MAX_PENDING_REQUESTS
        should_read = not (is_full and (self.state is OPEN or self.state is LAST_REQUEST))
        if should_read is transport.is_reading():
            return
        if should_read:
            self.request_timeout_started_s = (
                self.server.loop_time_s()
            )  # the pause does not count towards the timeout
            transport.resume_reading()
        else:
            transport.pause_reading()

    # Called by the listener

    def protocol_factory(self) -> asyncio.Protocol:
        """Return the protocol that the transport is created for: the connection itself."""
        return self

    def on_transport_creation_failed(self) -> None:
        """Called when the client's connection was lost before its transport was created."""
        self.connection_lost(None)

    # Called by the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called when the transport has been created.

        The transport is aborted if the connection has been closed in the meantime to make room for another.
        """
        transport = cast(asyncio.Transport, transport)  # uvloop's transport is no subclass of it
        self.transport = transport
        if not self._change_state(ClientEvent.CONNECTED):
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called when the transport has been closed, as its last call."""
        self.transport = None
        self._change_state(ClientEvent.TRANSPORT_LOST)

    def data_received(self, data: bytes) -> None:
        """Called when bytes have been received; discards them if no further request is handled."""
        if self.state is not OPEN:
            return
        try:
            if not self.parser.feed(data):
                self._close_after_pending()
        except FatalRequestError as error:
            self._close_with_error(error)
        if len(self.pending) >= MAX_PENDING_REQUESTS:
            self._update_reading()

    def eof_received(self) -> bool:
        """Called when the client has closed its side; closes the connection and ends its pending requests.

        HTTP allows a client to half-close a connection and still read the response. But the proxy cannot tell
        this from a client that has disconnected, whose requests would take capacity from other clients.
        """
        self._on_client_disconnected()
        return False

    def pause_writing(self) -> None:
        """Called when the write buffer is full because the client does not read its responses."""
        self.is_write_buffer_full = True
        self._update_reading()

    def resume_writing(self) -> None:
        """Called when the write buffer has room again."""
        self.is_write_buffer_full = False
        self._update_reading()

    # Called by the parser

    def on_request_begin(self) -> None:
        """Called when the first byte of a request has been read."""
        self.request_timeout_started_s = self.server.loop_time_s()

    def on_expect_continue(self) -> None:
        """Called when the client waits for 100 Continue before it sends the body; sends it.

        It is not sent while other requests are pending, because it would precede their responses.
        """
        if self.transport is not None and not self.pending:
            self.transport.write(CONTINUE_RESPONSE)

    def on_request(self) -> None:
        """Called when a complete request has been read; answers it or passes it to the handler."""
        if self.state is not OPEN:
            return  # pipelined after the last request that this connection handles
        self.has_received_request = True
        if len(self.pending) >= MAX_PENDING_REQUESTS + MAX_EXCESS_REQUESTS:
            raise FatalRequestError(Status.SERVICE_UNAVAILABLE, "too many requests at once")
        request = ClientRequest(self)
        self.pending.append(request)
        if not self.parser.should_keep_alive:
            self._close_after(request)
        if len(self.pending) > MAX_PENDING_REQUESTS:  # one read may contain any number of requests
            request.reply(Status.SERVICE_UNAVAILABLE, b"too many requests at once\n")
        elif self.parser.url.partition(b"?")[0] == HEALTH_PATH:
            self._answer_health_check(request)
        else:
            self._dispatch_request(request)

    def _answer_health_check(self, request: ClientRequest) -> None:
        if self.server.handler.is_ready() and not self.server.is_draining:
            request.reply(Status.OK, b"ready\n")
        else:
            request.reply(Status.SERVICE_UNAVAILABLE, b"not ready\n")

    def _dispatch_request(self, request: ClientRequest) -> None:
        """Pass the request to the handler, or reply with an error if it is invalid.

        The connection stays usable in both cases.
        """
        try:
            parsed = parse_request(self.parser, self.server.rules, self.server.open_trace_ids)
            request.parsed = parsed
            self.server.open_trace_ids.add(parsed.trace_id)
            self.server.handler.handle_request(request, parsed)
        except InvalidRequest as error:
            request.reply(error.status, error.text.encode() + b"\n", error.header_lines)
        except Exception:  # a bug that affects one request must not end the other requests of the connection
            log.exception("unexpected error while handling a client request; replying with 500 if unanswered")
            if not request.response:
                request.reply(Status.INTERNAL_SERVER_ERROR, b"failed\n")

    # Responses

    def reply(self, request: ClientRequest, status: int, body: bytes, header_lines: bytes) -> None:
        """Answer `request`: write the response now, or once all earlier requests have been answered.

        A second response to the same request is discarded, and so is a response after the client has
        disconnected. The request's trace id becomes free for reuse. If necessary, the connection is then
        closed or read again.
        """
        transport = self.transport
        if request.response or transport is None or transport.is_closing():
            return
        server = self.server
        if (server.is_draining or server.is_near_connection_limit()) and request is self.pending[-1]:
            self._close_after(request)  # closing after an earlier request would lose later responses
        self._free_trace_id(request)
        request.response = encode_response(status, body, header_lines, request.closes_connection)
        if self._write_ready_responses(transport):
            self._begin_lingering_close()
            return
        self.last_active_s = server.loop_time_s()
        if server.is_draining and self.is_idle():  # the response was encoded before draining began
            self.close_idle()
            return
        self._update_reading()

    def _write_ready_responses(self, transport: asyncio.Transport) -> bool:
        """Write the responses up to the first that is missing; return whether the last one has been written.

        The last one is the response after which the connection closes.
        """
        pending = self.pending
        while pending and pending[0].response:
            request = pending.popleft()
            transport.write(request.response)
            if request.closes_connection:
                return True
        return False

    def _free_trace_id(self, request: ClientRequest) -> None:
        if request.parsed is not None:
            self.server.open_trace_ids.discard(request.parsed.trace_id)

    def _close_after(self, request: ClientRequest) -> None:
        """Close the connection after the response to `request`, which must be the newest request."""
        if not request.closes_connection:
            request.closes_connection = True
            self._change_state(ClientEvent.LAST_REQUEST_READ)

    def _close_after_pending(self) -> None:
        """Close the connection after all pending responses.

        Called when the client asked to change to another protocol, so that further bytes may not be HTTP.
        """
        if self.pending:
            self._close_after(self.pending[-1])
        else:
            self.close_idle()

    def _begin_lingering_close(self) -> None:
        """Half-close the connection after the last response, and read until the client closes its side.

        Closing the socket with unread bytes would reset the connection, and the reset may reach the client
        before it has read the response.
        """
        if self._change_state(ClientEvent.LAST_RESPONSE_WRITTEN) and self.transport is not None:
            self.transport.write_eof()
            self._update_reading()

    def _close_with_error(self, error: FatalRequestError) -> None:
        """Queue an error response after the pending responses, and close the connection after it."""
        if not self._change_state(ClientEvent.FATAL_REQUEST_ERROR):
            return
        self.parser.abandon_message()
        request = ClientRequest(self)
        request.closes_connection = True
        self.pending.append(request)
        request.reply(error.status, error.text.encode() + b"\n", error.header_lines)

    # Closing

    def is_idle(self) -> bool:
        """Return whether no request is pending or being read."""
        return not (self.pending or self.parser.is_in_message)

    def has_pending_work(self) -> bool:
        """Return whether a request is pending or being read, or the last response is not yet sent."""
        if self.state is CLOSING:
            return self.transport is not None and self.transport.get_write_buffer_size() > 0
        return not self.is_idle()

    def close_idle(self) -> None:
        """Close the connection while it is idle.

        A request that has arrived in the meantime is not read, so the client can safely send it again.
        """
        if self._change_state(ClientEvent.IDLE_CLOSED) and self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once and discard unsent responses."""
        self._change_state(ClientEvent.ABORTED)

    def is_client_disconnected(self) -> bool:
        """Return whether the client has closed its side or reset the connection.

        This asks the kernel, so it also detects a disconnect that the event loop has not reported yet.
        """
        if self.transport is None or self.transport.is_closing():
            return True
        if self.probe is None:
            file_descriptor = self.transport.get_extra_info("socket").fileno()
            self.probe = SocketProbe(file_descriptor, select.POLLRDHUP)
        return bool(self.probe.pending_events())

    def close_if_client_disconnected(self) -> bool:
        """If the client has disconnected, close the connection and end its requests; return whether it has.

        Must be called before an attempt starts, because an attempt for a disconnected client would take
        capacity from other clients. The event loop reports a disconnect only in its next iteration, and does
        not report it at all while reading is paused.
        """
        is_disconnected = self.is_client_disconnected()
        if is_disconnected:
            self._on_client_disconnected()
        return is_disconnected

    def _on_client_disconnected(self) -> None:
        if self._change_state(ClientEvent.CLIENT_DISCONNECTED) and self.transport is not None:
            self.transport.close()

    # Timeouts

    def check_timeouts(self, now_s: float, idle_timeout_s: float) -> None:
        """Close the connection if a timeout has expired.

        While reading is paused, the event loop does not report a disconnect, so this checks for it too.
        """
        if self.state is CLOSING:
            self._check_lingering_close(now_s)
            return
        is_reading = self.transport is None or self.transport.is_reading()
        if not is_reading and self.close_if_client_disconnected():
            return
        if self.state is ERROR_PENDING or (self.state is OPEN and self.parser.is_in_message and is_reading):
            self._check_request_timeout(now_s)
        elif self.is_idle():
            self._check_idle_timeout(now_s, idle_timeout_s)

    def _check_lingering_close(self, now_s: float) -> None:
        """Abort the connection if the client does not close it in time after the last response.

        Otherwise such a client would keep a file descriptor in use.
        """
        if now_s - self.last_active_s > LINGERING_CLOSE_TIMEOUT_S:
            self.abort()

    def _check_request_timeout(self, now_s: float) -> None:
        """If the request timeout has expired, reply to the incomplete request and end the pending ones.

        The timeout applies to the whole request, so a client cannot extend it by sending single bytes. In
        ERROR_PENDING, it limits how long the error response waits for the responses before it.
        """
        if now_s - self.request_timeout_started_s <= REQUEST_TIMEOUT_S:
            return
        self._close_with_error(FatalRequestError(Status.REQUEST_TIMEOUT, "request came too slowly"))
        for request in [request for request in self.pending if not request.response]:
            self.server.handler.abandon_request(request)

    def _check_idle_timeout(self, now_s: float, idle_timeout_s: float) -> None:
        timeout_s = idle_timeout_s if self.has_received_request else REQUEST_TIMEOUT_S
        if now_s - self.last_active_s > timeout_s:
            self.close_idle()

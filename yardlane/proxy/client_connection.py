"""A connection of a client. It reads pipelined requests and writes one response to each, in order.

`client_state` defines the states of the connection. Only `ClientConnection._change_state` changes the state.
`ClientReader` parses the received bytes, and pauses and resumes reading from the socket.
"""

from __future__ import annotations

import asyncio
import logging
import select
from collections import deque
from typing import Protocol, cast

from yardlane.errors import FatalRequestError, InvalidRequest
from yardlane.proxy.client_memory import SMALL_REQUEST_BYTES, ClientMemory
from yardlane.proxy.client_reader import ClientReader
from yardlane.proxy.client_request import ClientRequest, RequestHandler
from yardlane.proxy.client_response import CONTINUE_RESPONSE, Status, encode_response
from yardlane.proxy.client_state import TRANSITIONS, ClientEvent, ClientState
from yardlane.proxy.read_scheduler import ReadScheduler
from yardlane.proxy.request_validation import RequestRules, parse_request
from yardlane.proxy.socket_probe import SocketProbe

log = logging.getLogger("yardlane.proxy.client_connection")

# No further read is parsed from this number of pending requests on; see `ClientReader`.
MAX_PENDING_REQUESTS = 4
# A single read may bring more requests than MAX_PENDING_REQUESTS. Up to this number of excess requests are
# each answered with 503. One more is a fatal error, after which the connection closes.
MAX_EXCESS_REQUESTS = 64
# Invalid requests and health checks are answered at once and are never pending, so the number of requests in
# one read is limited as well.
MAX_REQUESTS_PER_READ = MAX_PENDING_REQUESTS + MAX_EXCESS_REQUESTS
# The time to receive a whole request, and to receive the first byte on a new connection. After a fatal error,
# it also limits how long the error response waits for the responses to earlier requests. This wait counts
# from the start of the request timeout, not from the error.
REQUEST_TIMEOUT_S = 1.5
# The time that a client has to read the last response and close its side of the connection. After that, the
# connection is aborted.
LINGERING_CLOSE_TIMEOUT_S = 1.0
HEALTH_PATH = b"/_health"

# Each request checks these states, and reading a module global is faster than reading an enum member.
OPEN = ClientState.OPEN
LAST_REQUEST = ClientState.LAST_REQUEST
ERROR_PENDING = ClientState.ERROR_PENDING
CLOSING = ClientState.CLOSING
CLOSED = ClientState.CLOSED


class ClientConnectionOwner(Protocol):
    """The part of the server's interface that a connection uses."""

    handler: RequestHandler
    rules: RequestRules
    memory: ClientMemory
    read_scheduler: ReadScheduler
    is_draining: bool

    def loop_time_s(self) -> float:
        """Return the time of the event loop's clock in seconds."""

    def is_above_high_watermark(self) -> bool:
        """Return whether each connection must close after the response to its newest request."""

    def on_connection_closed(self, connection: ClientConnection) -> None:
        """Called when the connection has been closed; from then on it does not count towards the limit."""


class ClientConnection(asyncio.Protocol):
    """Reads requests from a client, writes the responses in order and enforces the timeouts."""

    def __init__(self, server: ClientConnectionOwner) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.probe: SocketProbe | None = None  # created by the first call of `is_client_disconnected`
        # The requests whose responses have not been written yet, in the order of arrival. Some of them may
        # have been answered already, and wait for the responses to earlier requests.
        self.pending: deque[ClientRequest] = deque()
        self.state = ClientState.ACCEPTED
        self.is_write_buffer_full = False
        self.has_received_request = False
        # When the connection was accepted, a request was last answered, or CLOSING began.
        self.last_active_s = server.loop_time_s()
        self.reader = ClientReader(self, server)
        self.parser = self.reader.parser

    # State

    def _change_state(self, event: ClientEvent) -> bool:
        """Change the state as `TRANSITIONS` defines it, and return whether it has changed.

        An event that the table does not allow is a bug in this program: it is logged and changes nothing.
        """
        old_state = self.state
        new_state = TRANSITIONS[old_state].get(event)
        if new_state is None:
            log.error(
                "ignoring unexpected event %s in state %s of a client connection", event.name, old_state.name
            )
            return False
        if new_state is old_state:
            return False
        self.state = new_state
        if new_state is not OPEN:
            self.reader.discard_unfinished_request()
        if new_state is CLOSING or new_state is CLOSED:
            self.last_active_s = self.server.loop_time_s()
            self._release_pending()
        if new_state is CLOSED:
            self._on_closed()
        return True

    def _release_pending(self) -> None:
        """Drop the pending requests; notify the handler of those that have not been answered."""
        released = self.pending
        self.pending = deque()
        for request in released:
            if not request.response:
                if request.counted_bytes:
                    self._release_memory(request)
                self.server.handler.on_client_disconnected(request)

    def _on_closed(self) -> None:
        """Called when the state has changed to CLOSED; notifies the server and aborts the transport."""
        self.server.memory.set_unsent(self, 0)
        self.server.on_connection_closed(self)
        self.reader.close()
        if self.transport is not None:
            self.transport.abort()

    # Called by the listener

    def protocol_factory(self) -> asyncio.Protocol:
        """Return the protocol that the transport is created for: the connection itself."""
        return self

    def on_transport_creation_failed(self) -> None:
        """Called when no transport could be created, usually because the client reset the connection."""
        self.connection_lost(None)

    # Called by the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called when the transport has been created; aborts it if the connection was closed meanwhile."""
        # The cast is needed because uvloop's transport is not a subclass of asyncio.Transport.
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        if not self._change_state(ClientEvent.CONNECTED):
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called when the transport has been closed; the transport calls no method after this one."""
        self.transport = None
        self._change_state(ClientEvent.TRANSPORT_LOST)

    def data_received(self, data: bytes) -> None:
        """Called when bytes have been received; discards them if no further request is accepted."""
        self.reader.on_data(data)

    def eof_received(self) -> bool:
        """Called when the client has closed its side; closes the connection and ends its pending requests.

        HTTP allows a client to half-close a connection and still read the response. But the proxy cannot
        distinguish this from a disconnect, after which the requests would take capacity from other clients.
        """
        self._on_client_disconnected()
        return False

    def pause_writing(self) -> None:
        """Called when the write buffer is full because the client does not read its responses."""
        self.is_write_buffer_full = True
        self.reader.update_reading()
        self._count_unsent_responses()

    def resume_writing(self) -> None:
        """Called when the write buffer has room again."""
        self.is_write_buffer_full = False
        self.server.memory.set_unsent(self, 0)
        self.reader.continue_parsing()
        self.reader.update_reading()

    # Called by the reader and its parser

    def may_begin_read(self) -> bool:
        """Return whether another read may be parsed: few requests are pending, and responses are read."""
        return len(self.pending) < MAX_PENDING_REQUESTS and not self.is_write_buffer_full

    def on_request_begin(self) -> None:
        """Called when the first byte of a request has been read."""
        self.reader.request_timeout_started_s = self.reader.read_at_s

    def on_expect_continue(self) -> None:
        """Called when the client waits for 100 Continue; sends it unless it would precede other responses."""
        if self.transport is not None and not self.pending:
            self.transport.write(CONTINUE_RESPONSE)

    def on_request(self) -> None:
        """Called when a complete request has been read; answers it or passes it to the handler.

        Raises `FatalRequestError` if too many requests are pending or came in one read.
        """
        if self.state is not OPEN:
            return  # pipelined after the last request that this connection accepts
        self.has_received_request = True
        reader = self.reader
        reader.requests_in_read += 1
        is_full = len(self.pending) >= MAX_PENDING_REQUESTS + MAX_EXCESS_REQUESTS
        if is_full or reader.requests_in_read > MAX_REQUESTS_PER_READ:
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
        """Answer with 200, or with 503 if the handler is not ready or the process is draining."""
        if self.server.handler.is_ready() and not self.server.is_draining:
            request.reply(Status.OK, b"ready\n")
        else:
            request.reply(Status.SERVICE_UNAVAILABLE, b"not ready\n")

    def _dispatch_request(self, request: ClientRequest) -> None:
        """Pass the request to the handler, or answer it with an error if it is invalid.

        The connection stays usable, even after an unexpected exception, which is answered with 500.
        """
        try:
            handler = self.server.handler
            parsed = parse_request(self.parser, self.server.rules, handler.open_trace_ids)
            request_bytes = len(parsed.head) + len(parsed.body)
            if request_bytes > SMALL_REQUEST_BYTES:
                self._count_pending_request(request, request_bytes)
            request.parsed = parsed
            handler.handle_request(request, parsed)
        except InvalidRequest as error:
            request.reply(error.status, error.text.encode() + b"\n", error.header_lines)
        except Exception:  # a bug that affects one request must not end the other requests of the connection
            log.exception(
                "unexpected error while handling a client request; answering with status 500 if unanswered"
            )
            if not request.response:
                request.reply(Status.INTERNAL_SERVER_ERROR, b"failed\n")

    # Responses

    def reply(self, request: ClientRequest, status: int, body: bytes, header_lines: bytes) -> None:
        """Answer `request`: write the response now, or once all earlier requests have been answered.

        A second response to the same request is discarded, and so is a response after the client has
        disconnected. While draining or above the high watermark, the connection closes after the response to
        its newest request, unless a further request has been read.
        """
        transport = self.transport
        if request.response or transport is None or transport.is_closing():
            return
        server = self.server
        is_newest = request is self.pending[-1] and not self.reader.backlog.buffered_bytes
        if is_newest and (server.is_draining or server.is_above_high_watermark()):
            self._close_after(request)  # closing after an earlier request would lose the later responses
        if request.counted_bytes:
            self._release_memory(request)
        request.response = encode_response(status, body, header_lines, request.closes_connection)
        if self._write_ready_responses(transport):
            self._begin_lingering_close()
            return
        if self.is_write_buffer_full:
            self._count_unsent_responses()
        self.last_active_s = server.loop_time_s()
        if server.is_draining and self.is_idle():
            # The newest response was encoded before draining began, so it does not announce the close.
            self.close_idle()
            return
        if self.reader.backlog.buffered_bytes:
            self.reader.continue_parsing()

    def _write_ready_responses(self, transport: asyncio.Transport) -> bool:
        """Write the responses to all requests before the oldest unanswered one.

        Return whether the response after which the connection closes has been written.
        """
        pending = self.pending
        while pending and pending[0].response:
            request = pending.popleft()
            transport.write(request.response)
            if request.closes_connection:
                return True
        return False

    def _release_memory(self, request: ClientRequest) -> None:
        """Stop counting the bytes of a large request that is answered or can no longer be."""
        self.server.memory.remove_pending(request.counted_bytes)
        request.counted_bytes = 0

    # Memory

    def _count_pending_request(self, request: ClientRequest, request_bytes: int) -> None:
        """Count a large request. Raises `InvalidRequest` if clients hold too many bytes already."""
        counted_bytes = self.server.memory.add_pending(request_bytes)
        if counted_bytes is None:
            raise InvalidRequest(Status.SERVICE_UNAVAILABLE, "too many large requests at once")
        request.counted_bytes = counted_bytes

    def _count_unsent_responses(self) -> None:
        """Count the responses that the client does not read, which may abort the oldest such connection."""
        if self.transport is not None and self.state is not CLOSED:
            self.server.memory.set_unsent(self, self.transport.get_write_buffer_size())

    def refuse_unfinished_request(self) -> None:
        """Refuse the request that has arrived in part, because clients hold too many bytes, and close."""
        self.on_fatal_request_error(
            FatalRequestError(Status.SERVICE_UNAVAILABLE, "too many unfinished requests at once")
        )

    def _close_after(self, request: ClientRequest) -> None:
        """Close the connection after the response to `request`, which must be the newest request."""
        if not request.closes_connection:
            request.closes_connection = True
            self._change_state(ClientEvent.LAST_REQUEST_READ)

    def on_upgrade_requested(self) -> None:
        """Called when the client asked to change to another protocol; what follows may not be HTTP.

        Closes the connection after the responses to all pending requests, or at once if there are none.
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
            self.reader.update_reading()

    def on_fatal_request_error(self, error: FatalRequestError) -> None:
        """Queue an error response behind the pending requests, and close the connection after it.

        Called when nothing more can be read. Do nothing if the state ignores `FATAL_REQUEST_ERROR`.
        """
        if not self._change_state(ClientEvent.FATAL_REQUEST_ERROR):
            return
        request = ClientRequest(self)
        request.closes_connection = True
        self.pending.append(request)
        request.reply(error.status, error.text.encode() + b"\n", error.header_lines)

    # Closing

    def is_idle(self) -> bool:
        """Return whether no request is pending or being read."""
        return not self.pending and self.reader.is_idle()

    def has_pending_work(self) -> bool:
        """Return whether a request is pending or being read, or in CLOSING, whether bytes are unsent."""
        if self.state is CLOSING:
            return self.transport is not None and self.transport.get_write_buffer_size() > 0
        return not self.is_idle()

    def close_idle(self) -> None:
        """Close the idle connection.

        A request that has not been read yet is lost. It was not processed, so the client can safely retry.
        """
        if self._change_state(ClientEvent.IDLE_CLOSED) and self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once and discard unsent responses."""
        self._change_state(ClientEvent.ABORTED)

    def is_client_disconnected(self) -> bool:
        """Return whether the client has closed its side or reset the connection.

        Also return true if there is no transport or the proxy is closing it. This method asks the kernel,
        because the event loop reports a disconnect only in its next iteration, and not at all while reading
        is paused.
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
        capacity from other clients.
        """
        is_disconnected = self.is_client_disconnected()
        if is_disconnected:
            self._on_client_disconnected()
        return is_disconnected

    def _on_client_disconnected(self) -> None:
        """Close the connection and release its pending requests, unless it is already closing."""
        if self._change_state(ClientEvent.CLIENT_DISCONNECTED) and self.transport is not None:
            self.transport.close()

    # Timeouts

    def check_timeouts(self, now_s: float, idle_timeout_s: float) -> None:
        """Act on an expired timeout: close an idle connection, abort a closing one, or end a slow request.

        While reading is paused, also check for a disconnect, which the event loop does not report then.
        """
        if self.state is CLOSING:
            self._check_lingering_close(now_s)
            return
        self.reader.decay_recent_cost()
        is_reading = self.transport is None or self.transport.is_reading()
        if not is_reading and self.close_if_client_disconnected():
            return
        if self.state is ERROR_PENDING or (self.state is OPEN and self.reader.awaits_client()):
            self._check_request_timeout(now_s)
        elif self.is_idle():
            self._check_idle_timeout(now_s, idle_timeout_s)

    def _check_lingering_close(self, now_s: float) -> None:
        """Abort the connection if the client keeps it, and thus a file descriptor, open for too long."""
        if now_s - self.last_active_s > LINGERING_CLOSE_TIMEOUT_S:
            self.abort()

    def _check_request_timeout(self, now_s: float) -> None:
        """If the request timeout has expired, answer an incomplete request with 408 and close the connection.

        The handler answers the earlier, unanswered requests at once. The timeout applies to the whole
        request, so a client cannot extend it by sending single bytes.
        """
        if now_s - self.reader.request_timeout_started_s <= REQUEST_TIMEOUT_S:
            return
        self.on_fatal_request_error(FatalRequestError(Status.REQUEST_TIMEOUT, "request came too slowly"))
        for request in [request for request in self.pending if not request.response]:
            self.server.handler.abandon_request(request)

    def _check_idle_timeout(self, now_s: float, idle_timeout_s: float) -> None:
        """Close the connection if it has been idle too long; a new one has `REQUEST_TIMEOUT_S`."""
        timeout_s = idle_timeout_s if self.has_received_request else REQUEST_TIMEOUT_S
        if now_s - self.last_active_s > timeout_s:
            self.close_idle()

"""One connection of a client: requests in, one response each out, in order.

`client_state` has the table of its states. The state changes in `ClientConnection._apply` alone, and
`ClientConnection._update_reading` alone decides whether the socket is read.
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

MAX_PIPELINED = 4  # requests of one connection in flight; beyond them it is not read
MAX_REJECTED_PIPELINED = 64  # further ones that came in the same read; beyond them the connection ends
REQUEST_TIMEOUT_S = 1.5  # for all bytes of a request, and for the first byte on a connection
LINGERING_CLOSE_TIMEOUT_S = 1.0  # for a client to read why its connection ends
HEALTH_PATH = b"/_health"

# A module's name is found faster than an enum's member, and these are asked for at each request.
OPEN = ClientState.OPEN
LAST_REQUEST = ClientState.LAST_REQUEST
ERROR_PENDING = ClientState.ERROR_PENDING
CLOSING = ClientState.CLOSING
CLOSED = ClientState.CLOSED


class ClientConnectionOwner(Protocol):
    """What a connection shares with the others of its server."""

    handler: RequestHandler
    rules: RequestRules
    open_trace_ids: set[bytes]
    is_draining: bool

    def now(self) -> float:
        """Seconds of the event loop's clock."""

    def is_near_connection_limit(self) -> bool:
        """Whether connections are so many that responses should end them."""

    def on_connection_closed(self, connection: ClientConnection) -> None:
        """The connection has gone, and its place is free."""


class ClientConnection(asyncio.Protocol):
    """Reads requests, keeps their responses in order, and ends what takes too long."""

    def __init__(self, server: ClientConnectionOwner) -> None:
        self.server = server
        self.parser = RequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.probe: SocketProbe | None = None  # made at the first look
        self.pending: deque[ClientRequest] = deque()  # in the order of their responses
        self.state = ClientState.ACCEPTED
        self.is_write_buffer_full = False
        self.has_sent_request = False
        self.last_active_s = server.now()  # when the last response was given, or CLOSING began
        self.request_started_s = self.last_active_s

    # The state

    def _apply(self, event: ClientEvent) -> bool:
        """Change the state by the table; True only if it changed.

        False also for an event that leaves the state as it is, and for one that the state must never meet.
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
            self.last_active_s = self.server.now()
            self._release_pending()
        if new_state is CLOSED:
            self._on_closed()
        return True

    def _release_pending(self) -> None:
        """What is unanswered here can be answered no more."""
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
        """Read unless nothing more could be handled: too much is in flight, or responses are not read.

        A connection that ends is read on, as unread bytes would reset it.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        is_full = self.is_write_buffer_full or len(self.pending) >= MAX_PIPELINED
        should_read = not (is_full and (self.state is OPEN or self.state is LAST_REQUEST))
        if should_read is transport.is_reading():
            return
        if should_read:
            self.request_started_s = self.server.now()  # the client was not slow while it was not read
            transport.resume_reading()
        else:
            transport.pause_reading()

    # The listener's calls

    def protocol_factory(self) -> asyncio.Protocol:
        """What the transport is to be made for."""
        return self

    def on_connect_failed(self) -> None:
        """The connection was lost before it had a transport."""
        self.connection_lost(None)

    # The transport's calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The transport is up, unless the connection had to make room meanwhile."""
        transport = cast(asyncio.Transport, transport)  # uvloop's is none by its type
        self.transport = transport
        if not self._apply(ClientEvent.CONNECTED):
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """The transport's last call."""
        self.transport = None
        self._apply(ClientEvent.TRANSPORT_LOST)

    def data_received(self, data: bytes) -> None:
        """Bytes of requests; dropped once no further request is handled."""
        if self.state is not OPEN:
            return
        try:
            if not self.parser.feed(data):
                self._close_after_pending()
        except FatalRequestError as error:
            self._close_with_error(error)
        if len(self.pending) >= MAX_PIPELINED:
            self._update_reading()

    def eof_received(self) -> bool:
        """End the connection and its pending requests, as the client counts as gone.

        A half-close is legal in HTTP, but it looks the same as a client that has closed its socket, and the
        requests of one that has left would take capacity from others.
        """
        self._on_client_disconnected()
        return False

    def pause_writing(self) -> None:
        """The client does not read its responses."""
        self.is_write_buffer_full = True
        self._update_reading()

    def resume_writing(self) -> None:
        """The client reads its responses again."""
        self.is_write_buffer_full = False
        self._update_reading()

    # The parser's calls

    def on_request_begin(self) -> None:
        """The first byte of a request."""
        self.request_started_s = self.server.now()

    def on_expect_continue(self) -> None:
        """Ask for the body, unless that would come ahead of responses that are still pending."""
        if self.transport is not None and not self.pending:
            self.transport.write(CONTINUE_RESPONSE)

    def on_request(self) -> None:
        """Queue a whole request for its response, then answer it or hand it to the handler."""
        if self.state is not OPEN:
            return  # pipelined behind the last request of this connection
        self.has_sent_request = True
        if len(self.pending) >= MAX_PIPELINED + MAX_REJECTED_PIPELINED:
            raise FatalRequestError(Status.SERVICE_UNAVAILABLE, "too many requests at once")
        request = ClientRequest(self)
        self.pending.append(request)
        if not self.parser.should_keep_alive:
            self._close_after(request)
        if len(self.pending) > MAX_PIPELINED:  # one read may bring any number
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
        """Give the request to the handler, or answer what is wrong with it; the connection goes on."""
        try:
            parsed = parse_request(self.parser, self.server.rules, self.server.open_trace_ids)
            request.parsed = parsed
            self.server.open_trace_ids.add(parsed.trace_id)
            self.server.handler.handle_request(request, parsed)
        except InvalidRequest as error:
            request.reply(error.status, error.text.encode() + b"\n", error.header_lines)
        except Exception:  # a fault of ours in one request must not end the others of the connection
            log.exception("a request could not be handled")
            if not request.response:
                request.reply(Status.INTERNAL_SERVER_ERROR, b"failed\n")

    # Responses

    def reply(self, request: ClientRequest, status: int, body: bytes, header_lines: bytes) -> None:
        """Answer `request` in its turn. Only the first response counts, and none once the client has left.

        Its trace id is free from now on. What is ready is written, and the connection closed or read on.
        """
        transport = self.transport
        if request.response or transport is None or transport.is_closing():
            return
        server = self.server
        if (server.is_draining or server.is_near_connection_limit()) and request is self.pending[-1]:
            self._close_after(request)  # ahead of others it would take their responses along
        self._free_trace_id(request)
        request.response = encode_response(status, body, header_lines, request.closes_connection)
        if self._write_ready_responses(transport):
            self._begin_lingering_close()
            return
        self.last_active_s = server.now()
        if server.is_draining and self.is_idle():  # the response was encoded before the draining began
            self.close_idle()
            return
        self._update_reading()

    def _write_ready_responses(self, transport: asyncio.Transport) -> bool:
        """Write responses up to the first that is missing; whether the last of the connection is written."""
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
        """`request`, the newest, is the last: its response ends the connection."""
        if not request.closes_connection:
            request.closes_connection = True
            self._apply(ClientEvent.LAST_REQUEST_READ)

    def _close_after_pending(self) -> None:
        """The client asked for another protocol: what follows is not HTTP."""
        if self.pending:
            self._close_after(self.pending[-1])
        else:
            self.close_idle()

    def _begin_lingering_close(self) -> None:
        """The last response is written: close for sending only, and read on to the client's end.

        Closed with bytes unread, the connection would be reset, and the reset may overtake the response.
        """
        if self._apply(ClientEvent.LAST_RESPONSE_WRITTEN) and self.transport is not None:
            self.transport.write_eof()
            self._update_reading()

    def _close_with_error(self, error: FatalRequestError) -> None:
        """Answer the error behind the responses that are pending, then close."""
        if not self._apply(ClientEvent.FATAL_REQUEST_ERROR):
            return
        self.parser.abandon_message()
        request = ClientRequest(self)
        request.closes_connection = True
        self.pending.append(request)
        request.reply(error.status, error.text.encode() + b"\n", error.header_lines)

    # Its end

    def is_idle(self) -> bool:
        """Whether no request is pending or being read."""
        return not (self.pending or self.parser.is_in_message)

    def has_pending_work(self) -> bool:
        """Whether a request is unanswered or being read, or the last response is still to be sent."""
        if self.state is CLOSING:
            return self.transport is not None and self.transport.get_write_buffer_size() > 0
        return not self.is_idle()

    def close_idle(self) -> None:
        """Close between requests. What has come meanwhile is not read, and the client may send it again."""
        if self._apply(ClientEvent.IDLE_CLOSED) and self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """End at once, without what is still to be written."""
        self._apply(ClientEvent.ABORTED)

    def is_client_disconnected(self) -> bool:
        """Whether the client has closed its side or reset, also where the loop has not read so far."""
        if self.transport is None or self.transport.is_closing():
            return True
        if self.probe is None:
            file_number = self.transport.get_extra_info("socket").fileno()
            self.probe = SocketProbe(file_number, select.POLLRDHUP)
        return bool(self.probe.pending_events())

    def close_if_client_disconnected(self) -> bool:
        """End all that is pending if the client has left; whether it has. Due before an attempt begins.

        A connection that is not read tells of no close, and one that is read tells a turn late: an attempt
        for a client that has left would take capacity from others.
        """
        is_disconnected = self.is_client_disconnected()
        if is_disconnected:
            self._on_client_disconnected()
        return is_disconnected

    def _on_client_disconnected(self) -> None:
        if self._apply(ClientEvent.CLIENT_DISCONNECTED) and self.transport is not None:
            self.transport.close()

    # Timeouts

    def check_timeouts(self, now_s: float, idle_timeout_s: float) -> None:
        """End what takes too long, and what a client that is not read has left behind."""
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
        """A client that neither reads its last response nor closes must not keep the descriptor."""
        if now_s - self.last_active_s > LINGERING_CLOSE_TIMEOUT_S:
            self.abort()

    def _check_request_timeout(self, now_s: float) -> None:
        """Reject a request that came too slowly, and fail what still waits ahead of it.

        The time is for the whole request, so that one byte at a time buys no more of it. Behind a stream that
        cannot be read on, it bounds how long its rejection waits for the responses ahead.
        """
        if now_s - self.request_started_s <= REQUEST_TIMEOUT_S:
            return
        self._close_with_error(FatalRequestError(Status.REQUEST_TIMEOUT, "request came too slowly"))
        for request in [request for request in self.pending if not request.response]:
            self.server.handler.abandon_request(request)

    def _check_idle_timeout(self, now_s: float, idle_timeout_s: float) -> None:
        timeout_s = idle_timeout_s if self.has_sent_request else REQUEST_TIMEOUT_S
        if now_s - self.last_active_s > timeout_s:
            self.close_idle()

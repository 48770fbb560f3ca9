"""A connection to an upstream. It carries one request at a time, and its state follows `TRANSITIONS`."""

from __future__ import annotations

import asyncio
import errno
import fcntl
import logging
import select
import socket
import termios
from typing import Protocol, cast

from yardlane.config import Address
from yardlane.decisions.events import Outcome
from yardlane.errors import MalformedResponse
from yardlane.proxy.attempt import Attempt
from yardlane.proxy.clock import Clock
from yardlane.proxy.connection_reuse import ReusePolicy
from yardlane.proxy.response import ResponseReader, outcome_of
from yardlane.proxy.socket_probe import SocketProbe
from yardlane.proxy.upstream_state import (
    AWAITING,
    CLOSED,
    COMPLETE,
    CONNECTING,
    MAY_HAVE_RUN,
    RECEIVING,
    SENDING,
    TRANSITIONS,
    UpstreamEvent,
)

log = logging.getLogger("yardlane.proxy.upstream_connection")

# The native int 0, as ioctl(TIOCOUTQ) returns it when the peer has acknowledged all sent bytes (tcp(7)).
NOTHING_UNACKNOWLEDGED = bytes(4)


class UpstreamConnectionOwner(Protocol):
    """The part of the pool's interface that a connection uses."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    reuse_policy: ReusePolicy
    stall_timeout_s: float

    def on_idle(self, connection: UpstreamConnection) -> None:
        """Called when the connection has become idle and can be reused."""

    def on_closed(self, connection: UpstreamConnection) -> None:
        """Called when the connection has been closed."""


class UpstreamConnection(asyncio.Protocol):
    """One connection to an upstream."""

    def __init__(self, pool: UpstreamConnectionOwner, endpoint_id: bytes, address: Address) -> None:
        self.pool = pool
        self.endpoint_id = endpoint_id
        self.address = address
        self.state = CONNECTING
        self.attempt: Attempt | None = None
        self.transport: asyncio.Transport | None = None
        self.reader: ResponseReader | None = None
        # True if the upstream announced that it closes the connection or sent malformed bytes (set here), or
        # if it moved to another address, restarted or was removed (set by the pool).
        self.closes_after_response = False
        self.established_at_us = 0  # in Unix time; 0: not established yet
        self.idle_since_s = 0.0  # set by the pool, on the event loop's clock
        # How long the connection was idle before the current request, set by the pool; None: it is new.
        self.idle_before_request_s: float | None = None
        self.file_descriptor = -1
        self.probe: SocketProbe | None = None  # created by the first call of `is_reusable`
        self.connect_task: asyncio.Task[None] | None = None
        self.stall_timer: asyncio.TimerHandle | None = None

    def _apply(self, event: UpstreamEvent) -> bool:
        """Change the state as `TRANSITIONS` defines it; return whether the table allows the event.

        The state changes nowhere else. An event that the table does not allow is a bug in this program: it
        is logged and changes nothing.
        """
        next_state = TRANSITIONS[self.state].get(event)
        if next_state is None:
            log.error(
                "ignoring unexpected event %s in state %s of an upstream connection",
                event.name,
                self.state.name,
            )
            return False
        self.state = next_state
        return True

    # Called by the pool

    async def connect(self, timeout_s: float) -> None:
        """Open the connection; `connection_made` sends the request once it is established.

        If that takes longer than `timeout_s`, or fails before the request has been sent, the attempt ends as
        NOT_CONNECTED.
        """
        timer = self.pool.loop.call_later(timeout_s, self._on_connect_timeout)
        try:
            await self.pool.loop.create_connection(lambda: self, *self.address)
        except OSError as error:
            log.warning(
                "connecting to upstream %s:%d failed: %s; closing the connection", *self.address, error
            )
            self._fail_connection()
        finally:
            timer.cancel()
            self.connect_task = None

    def _on_connect_timeout(self) -> None:
        # Once connected, the request has been passed to the transport, and the attempt's deadline applies.
        if self.transport is None:
            log.warning(
                "connecting to upstream %s:%d timed out; ending the attempt as NOT_CONNECTED", *self.address
            )
            self._close_with_outcome(Outcome.NOT_CONNECTED)

    def assign(self, attempt: Attempt) -> None:
        """Take on an attempt: send its request now, or once the connection is established."""
        self.attempt = attempt
        attempt.connection = self
        if self.transport is not None:
            self._send(self.transport, attempt)

    def is_reusable(self) -> bool:
        """Return whether the connection is open and nothing has been received since the last response.

        The socket is polled, because the event loop may not have noticed yet what has arrived: unread bytes
        would be taken for the response to the next request, and on a connection that the upstream has closed,
        the request would be lost. Unsolicited bytes that are found here lengthen the reuse delay.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        if self.probe is None:
            self.probe = SocketProbe(self.file_descriptor, select.POLLIN | select.POLLRDHUP)
        events = self.probe.pending_events()
        if events == select.POLLIN:  # unread bytes, and the upstream has not closed the connection
            self._on_unsolicited_bytes()
        return not events

    def close(self) -> None:
        """Close the connection at once and discard unsent bytes; the caller has ended the attempt."""
        if self.state is CLOSED:
            return
        is_sending = self.state is SENDING
        self._apply(UpstreamEvent.CLOSED)
        self.pool.on_closed(self)
        if self.transport is not None:
            if is_sending:
                self._stop_sending()
            self.transport.abort()
        elif self.connect_task is not None:
            self.connect_task.cancel()

    def _stop_sending(self) -> None:
        """Shut down the sending side of the socket, so that no more of the request is sent.

        `abort` closes the socket only in the next iteration of the event loop. Until then the loop could send
        the last byte, and the upstream would run a request that is reported as never run.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, self.file_descriptor)
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            # ENOTCONN: the upstream has reset the connection, so nothing more is sent anyway.
            if error.errno != errno.ENOTCONN:
                raise
        finally:
            sock.detach()  # the transport owns the file descriptor

    # Called by the attempt

    def may_have_run(self) -> bool:
        """Return whether the upstream may have begun to process the current request."""
        return self.state in MAY_HAVE_RUN

    def release(self) -> None:
        """Detach the attempt, which has ended.

        After a complete response the connection becomes idle, unless it cannot be reused; in all other cases
        it is closed.
        """
        self.attempt = None
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None
        if self.state is not COMPLETE or self.reader is None:
            self.close()
            return
        if self.idle_before_request_s is not None:
            self.pool.reuse_policy.on_reuse_succeeded(self.idle_before_request_s)
        if self.closes_after_response:
            self.close()
            return
        self._apply(UpstreamEvent.RELEASED)
        self.reader.forget_response()
        self.pool.on_idle(self)

    # Sending

    def _send(self, transport: asyncio.Transport, attempt: Attempt) -> None:
        if not self._apply(UpstreamEvent.REQUEST_HANDED_OVER):
            return
        transport.write(attempt.request_bytes)
        attempt.request_bytes = b""
        if transport.get_write_buffer_size():
            # With these limits the transport calls `resume_writing` once its buffer is empty.
            transport.set_write_buffer_limits(0)
        elif not transport.is_closing():
            # A transport that is closing has sent nothing, because the write failed or came too late; the
            # state stays SENDING then.
            self._apply(UpstreamEvent.REQUEST_SENT)

    def resume_writing(self) -> None:
        """Called by the transport when the kernel has accepted the whole request.

        It is not called after an error, or after `abort` with unsent bytes.
        """
        self._apply(UpstreamEvent.REQUEST_SENT)

    # Failures and timeouts

    def _close_with_outcome(self, outcome: Outcome) -> None:
        """End the attempt, if there is one, with this outcome and no response, and close the connection."""
        if self.attempt is not None:
            self.attempt.finish(outcome)
        self.close()

    def _fail_connection(self) -> None:
        """Close the connection, with an outcome that says whether the attempt's request may have run.

        The state tells this, not the write buffer, which the transport empties on an error.
        """
        self._close_with_outcome(Outcome.CONNECTION_LOST if self.may_have_run() else Outcome.NOT_CONNECTED)

    def _on_response_begun(self) -> None:
        """Called when a read ends within a response; starts the stall timer unless it is running.

        The timer runs until the attempt ends, also if an interim response started it.
        """
        self._apply(UpstreamEvent.RESPONSE_BEGUN)
        if self.stall_timer is None:
            self.stall_timer = self.pool.loop.call_later(self.pool.stall_timeout_s, self._on_stalled)

    def _on_response_ended(self, attempt: Attempt, reader: ResponseReader) -> None:
        """Called when the final response is complete; ends the attempt with its outcome."""
        self._apply(UpstreamEvent.RESPONSE_ENDED)
        if not reader.keep_alive:
            self.closes_after_response = True
        attempt.finish(outcome_of(reader.response), reader.response)

    def _on_stalled(self) -> None:
        """Called if the final response is not complete when the stall timer expires; closes the connection.

        Upstreams write a response in one go, so the proxy does not wait for the rest until the deadline.
        """
        if self.attempt is not None:
            log.warning(
                "response from upstream %s:%d stalled before it was complete; closing the connection",
                *self.address,
            )
            self._close_with_outcome(Outcome.CONNECTION_LOST)

    # Unsolicited bytes are received while the connection is idle; premature bytes are received during a
    # request, but were sent before the upstream had the whole of it.

    def _on_unsolicited_bytes(self) -> None:
        """Report to the reuse policy that bytes were received while the connection was idle."""
        self.pool.reuse_policy.on_unsolicited_bytes(
            self.endpoint_id, self.pool.loop.time() - self.idle_since_s
        )

    def _are_bytes_premature(self) -> bool:
        """Return whether the received bytes were sent before the upstream had the whole current request.

        Such bytes belong to an earlier request. An upstream begins to process a request once its last byte
        has arrived, and whatever it sends from then on acknowledges that byte. So while sent bytes are still
        unacknowledged, the received bytes are not the response to the current request.

        The kernel is asked for unacknowledged bytes only until the shared reuse delay has passed since the
        request was passed on, even if the upstream's own delay is longer: the call takes a notable part of an
        attempt's processor time. Bytes for an earlier request that arrive after that are read as the
        response. Before the request, though, the connection was idle for the upstream's own reuse delay,
        which was about twice the lateness that the upstream has recently shown.
        """
        if self.state is SENDING:
            return True
        if self.state is not AWAITING or self.idle_before_request_s is None:
            return False  # the response has begun already, or the connection had no earlier request
        # The request was passed on at idle_since_s + idle_before_request_s.
        sent_for_s = self.pool.loop.time() - self.idle_since_s - self.idle_before_request_s
        if sent_for_s >= self.pool.reuse_policy.reuse_delay_s:
            return False
        unacknowledged = fcntl.ioctl(self.file_descriptor, termios.TIOCOUTQ, NOTHING_UNACKNOWLEDGED)
        return unacknowledged != NOTHING_UNACKNOWLEDGED

    def _on_premature_bytes(self) -> None:
        log.warning(
            "upstream %s:%d sent response bytes before it had the whole request; closing the connection",
            *self.address,
        )
        if self.idle_before_request_s is not None:
            # The lateness is this plus the time since the request, which is left out.
            self.pool.reuse_policy.on_unsolicited_bytes(self.endpoint_id, self.idle_before_request_s)
        self._fail_connection()

    # Called by the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called when the connection is established; sends the request, or closes if the attempt ended."""
        transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass of asyncio.Transport
        self.transport = transport
        self.established_at_us = self.pool.clock.now_us()
        if self.attempt is not None:
            self.attempt.on_connected()  # may finish the attempt, which closes this connection
        if self.attempt is None:  # the attempt ended before or during `on_connected`
            transport.abort()
            self.close()
            return
        self.reader = ResponseReader()
        self.file_descriptor = transport.get_extra_info("socket").fileno()
        self._send(transport, self.attempt)

    def connection_lost(self, exc: Exception | None) -> None:
        """Called when the connection has been closed, by the proxy, by the upstream or by a network error."""
        if self.reader is not None:
            self.reader.close()
            self.reader = None
        self.transport = None
        is_unanswered = self.attempt is not None and self.state is not RECEIVING
        if is_unanswered and self.idle_before_request_s is not None:
            # The connection is assumed to have been closed while it was idle. An upstream that crashed
            # before it responded looks the same.
            self.pool.reuse_policy.on_reuse_failed(self.idle_before_request_s)
        self._fail_connection()

    def eof_received(self) -> None:
        """Called when the upstream has closed its side in order; the transport then closes the connection.

        This completes a response whose body ends with the connection. A reset does not: the transport reports
        it to `connection_lost` alone.
        """
        attempt = self.attempt
        reader = self.reader
        if attempt is None or reader is None or self.state is not RECEIVING:
            return
        reader.end_connection()
        if reader.is_complete:
            self._on_response_ended(attempt, reader)

    def data_received(self, data: bytes) -> None:
        """Called when bytes have been received; they belong to the response or are unsolicited."""
        attempt = self.attempt
        reader = self.reader
        if attempt is None or reader is None:
            self._on_unsolicited_bytes()
            self.close()
            return
        if self._are_bytes_premature():
            self._on_premature_bytes()
            return
        try:
            reader.feed(data)
        except MalformedResponse as error:
            log.warning(
                "malformed response from upstream %s:%d: %s; closing the connection", *self.address, error
            )
            self.closes_after_response = True
            if not reader.is_complete:  # a complete response counts; the error is in the bytes after it
                self._close_with_outcome(Outcome.CONNECTION_LOST)
                return
        if reader.is_complete:
            self._on_response_ended(attempt, reader)
        elif reader.is_receiving:
            self._on_response_begun()
        elif self.state is RECEIVING:
            self._apply(UpstreamEvent.INTERIM_ENDED)

"""One connection to an upstream: it carries one request at a time, and its state follows `TRANSITIONS`."""

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

# The answer of TIOCOUTQ, a native int, where all bytes sent are acknowledged (tcp(7)).
NOTHING_UNACKNOWLEDGED = bytes(4)


class ConnectionOwner(Protocol):
    """What a connection needs of the pool that opened it."""

    loop: asyncio.AbstractEventLoop
    reuse_policy: ReusePolicy
    stall_timeout_s: float

    def on_idle(self, connection: UpstreamConnection) -> None:
        """It may carry another request."""

    def on_closed(self, connection: UpstreamConnection) -> None:
        """It carries none any more."""


class UpstreamConnection(asyncio.Protocol):
    """One connection to an upstream."""

    def __init__(self, pool: ConnectionOwner, endpoint_id: bytes, address: Address) -> None:
        self.pool = pool
        self.endpoint_id = endpoint_id
        self.address = address
        self.state = CONNECTING
        self.attempt: Attempt | None = None
        self.transport: asyncio.Transport | None = None
        self.reader: ResponseReader | None = None
        self.closes_after_response = False  # the upstream closes it, sent stray bytes, has moved or is gone
        self.idle_since_s = 0.0
        self.idle_before_request_s: float | None = None  # None: the connection is new
        self.file_descriptor = -1
        self.probe: SocketProbe | None = None  # made at the first look
        self.connect_task: asyncio.Task[None] | None = None
        self.stall_timer: asyncio.TimerHandle | None = None

    def _apply(self, event: UpstreamEvent) -> bool:
        """The one place where the state changes; returns whether `TRANSITIONS` allows the event here.

        One that it does not allow is a fault of this program: it is logged and changes nothing.
        """
        next_state = TRANSITIONS[self.state].get(event)
        if next_state is None:
            log.error(
                "unexpected event %s in state %s of an upstream connection", event.name, self.state.name
            )
            return False
        self.state = next_state
        return True

    # For the pool

    async def connect(self, timeout_s: float) -> None:
        """Open the connection; its request is sent as it comes up."""
        timer = self.pool.loop.call_later(timeout_s, self._on_connect_timeout)
        try:
            await self.pool.loop.create_connection(lambda: self, *self.address)
        except OSError as error:
            log.warning("no connection to %s:%d: %s", *self.address, error)
            self._fail_connection()
        finally:
            timer.cancel()
            self.connect_task = None

    def _on_connect_timeout(self) -> None:
        if self.transport is None:  # once it is up, its request is sent, and the attempt's deadline counts
            log.warning("no connection to %s:%d: timed out", *self.address)
            self._close_with_outcome(Outcome.NOT_CONNECTED)

    def assign(self, attempt: Attempt) -> None:
        """Send the attempt's request, at once or as the connection comes up."""
        self.attempt = attempt
        attempt.connection = self
        if self.transport is not None:
            self._send(self.transport, attempt)

    def is_reusable(self) -> bool:
        """Whether it is open and nothing has come since the last response, also in what is not read yet.

        Bytes in the socket's buffer would be taken for the response to the next request; an end of the
        stream there would lose the request. Stray bytes lengthen the quarantine.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        if self.probe is None:
            self.probe = SocketProbe(self.file_descriptor, select.POLLIN | select.POLLRDHUP)
        events = self.probe.pending_events()
        if events == select.POLLIN:  # bytes, and no end of the stream
            self._on_unsolicited_bytes()
        return not events

    def close(self) -> None:
        """Close at once; what is not sent yet never is, and the upstream is not told why."""
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
        """`abort` closes the socket a turn later, and until then the loop would send more of the request.

        The upstream could get the last byte in that turn, and run a request that is reported as never run.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, self.file_descriptor)
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            if error.errno != errno.ENOTCONN:  # reset by the upstream: nothing is sent any more
                raise
        finally:
            sock.detach()  # the descriptor is the transport's

    # For the attempt

    def may_have_run(self) -> bool:
        """Whether the upstream may have begun the present request."""
        return self.state in MAY_HAVE_RUN

    def release(self) -> None:
        """The attempt has ended: idle after a whole response, else closed."""
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
        self.reader.is_complete = False
        self.pool.on_idle(self)

    # Sending

    def _send(self, transport: asyncio.Transport, attempt: Attempt) -> None:
        if not self._apply(UpstreamEvent.REQUEST_HANDED_OVER):
            return
        transport.write(attempt.request_bytes)
        attempt.request_bytes = b""
        if transport.get_write_buffer_size():
            transport.set_write_buffer_limits(0)  # so that `resume_writing` comes once all is sent
        elif not transport.is_closing():  # else the write failed, or came too late: nothing is sent
            self._apply(UpstreamEvent.REQUEST_SENT)

    def resume_writing(self) -> None:
        """The kernel has taken all. After an error, or after `abort` with bytes left, this never comes."""
        self._apply(UpstreamEvent.REQUEST_SENT)

    # Ends

    def _close_with_outcome(self, outcome: Outcome) -> None:
        """End the attempt, if there is one, without a response, and close."""
        if self.attempt is not None:
            self.attempt.finish(outcome)
        self.close()

    def _fail_connection(self) -> None:
        """The connection is of no more use. Its state says what was sent: an error empties the buffer."""
        self._close_with_outcome(Outcome.CONNECTION_LOST if self.may_have_run() else Outcome.NOT_CONNECTED)

    def _on_response_begun(self) -> None:
        """A part of a response has come: the rest is due soon."""
        self._apply(UpstreamEvent.RESPONSE_BEGUN)
        if self.stall_timer is None:
            self.stall_timer = self.pool.loop.call_later(self.pool.stall_timeout_s, self._on_stalled)

    def _on_stalled(self) -> None:
        """Upstreams write a response at once: a rest that is late is not waited for until the deadline."""
        if self.attempt is not None:
            log.warning("a response from %s:%d stalled midway", *self.address)
            self._close_with_outcome(Outcome.CONNECTION_LOST)

    # Stray bytes

    def _on_unsolicited_bytes(self) -> None:
        """Bytes have come while the connection was idle."""
        self.pool.reuse_policy.on_unsolicited_bytes(
            self.endpoint_id, self.pool.loop.time() - self.idle_since_s
        )

    def _are_bytes_premature(self) -> bool:
        """Whether bytes were sent before the request had arrived whole: late ones, for an earlier request.

        An upstream begins a request once its last byte has arrived, and what it sends from then on
        acknowledges that byte. The kernel is asked only for as long as a quarantine after the connection is
        used again: the call costs a notable part of an attempt's processor time.

        That is the quarantine that all upstreams share, also where this upstream's own is longer. So bytes
        for an earlier request that come later than that after the connection is used again are read as the
        response. Before its use it has stood idle for its upstream's own quarantine, which is twice the
        lateness that the upstream has shown.
        """
        if self.state is SENDING:
            return True
        if self.state is not AWAITING or self.idle_before_request_s is None:
            return False  # it answers this request already, or the connection has had no earlier one
        sent_for_s = self.pool.loop.time() - self.idle_since_s - self.idle_before_request_s
        if sent_for_s >= self.pool.reuse_policy.reuse_delay_s:
            return False
        unacknowledged = fcntl.ioctl(self.file_descriptor, termios.TIOCOUTQ, NOTHING_UNACKNOWLEDGED)
        return unacknowledged != NOTHING_UNACKNOWLEDGED

    def _on_premature_bytes(self) -> None:
        log.warning(
            "unsolicited response bytes from %s:%d before it had the request; closing the connection",
            *self.address,
        )
        if self.idle_before_request_s is not None:
            self.pool.reuse_policy.on_unsolicited_bytes(self.endpoint_id, self.idle_before_request_s)
        self._fail_connection()

    # Calls of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up: send the request that it was opened for."""
        transport = cast(asyncio.Transport, transport)  # uvloop's is none by its type
        self.transport = transport
        if self.attempt is not None:
            self.attempt.on_connected()  # may finish it, which closes this connection
        if self.attempt is None:  # it has ended while the connection came up
            transport.abort()
            self.close()
            return
        self.reader = ResponseReader()
        self.file_descriptor = transport.get_extra_info("socket").fileno()
        self._send(transport, self.attempt)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended, by us, by the upstream or by the network."""
        if self.reader is not None:
            self.reader.close()
            self.reader = None
        self.transport = None
        is_unanswered = self.attempt is not None and self.state is not RECEIVING
        if is_unanswered and self.idle_before_request_s is not None:
            # Taken for closed while it stood idle; an upstream that ended before it responded looks the same.
            self.pool.reuse_policy.on_reuse_failed(self.idle_before_request_s)
        self._fail_connection()

    def data_received(self, data: bytes) -> None:
        """Bytes have come: a part of a response, or bytes that belong to none."""
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
            log.warning("malformed response from %s:%d: %s", *self.address, error)
            self.closes_after_response = True
            if not reader.is_complete:  # bytes behind a whole response take nothing from it
                self._close_with_outcome(Outcome.CONNECTION_LOST)
                return
        if reader.is_complete:
            self._apply(UpstreamEvent.RESPONSE_ENDED)
            if not reader.keep_alive:
                self.closes_after_response = True
            attempt.finish(outcome_of(reader.response), reader.response)
        elif reader.is_receiving:
            self._on_response_begun()
        elif self.state is RECEIVING:
            self._apply(UpstreamEvent.INTERIM_ENDED)

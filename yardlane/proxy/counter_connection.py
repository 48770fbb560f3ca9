"""A connection to the shared quota counter, on which calls are pipelined.

A call is written without waiting for the reply to the previous one. The counter replies to the calls in the
order in which they were written, with one line each (see `counter_protocol`).

Each `tally` call gets exactly one result, whatever the counter does. Its outcome is one of these:

    OK             The amount was added; the result has the new total.
    REJECTED       The amount was not added: the counter refused the call.
    NOT_CONNECTED  The amount was not added: the call was never written.
    TIMED_OUT      The amount may have been added: the call was written, but no valid reply arrived before the
                   timeout or the end of the connection.

After a line that is not a valid reply to the oldest call, replies can no longer be matched to calls: each
later total could be that of another key. The connection is then dropped, and its calls end as listed above.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import cast

from yardlane.config import Address
from yardlane.decisions.events import CounterResult, Outcome
from yardlane.errors import MalformedCounterReply
from yardlane.proxy.counter_protocol import MAX_LOGGED_BYTES, PING, check_pong, parse_reply
from yardlane.units import US_PER_S

log = logging.getLogger("yardlane.proxy.counter_connection")

# The maximum number of unanswered calls on one connection. With more, a counter that recovers after being
# unresponsive would first have to work off a backlog.
MAX_UNANSWERED_CALLS = 16
# A longer line is malformed, whether it is complete or not.
MAX_LINE_BYTES = 256
# The maximum number of lines that are read at once: a reply to each call, and one more, which is malformed.
MAX_LINES = MAX_UNANSWERED_CALLS + 1
# A connection with unanswered calls is dead after this many call timeouts without progress. See
# `last_progress_at_s` for what counts as progress.
NO_REPLY_TIMEOUT_FACTOR = 10
# The same limit while a line is incomplete. It is lower because replies behind that line cannot be read.
INCOMPLETE_LINE_TIMEOUT_FACTOR = 0.5
# The connect timeout is the call timeout, but at least this time.
MIN_CONNECT_TIMEOUT_S = 0.25
# After this time without a call, a connection is pinged, because the counter closes idle connections.
PING_INTERVAL_S = 2.0
# The minimum delay before connecting again after connecting failed, or after a connection ended on which no
# `tally` was answered. Otherwise each call to a counter that is down would connect, which costs CPU time.
RECONNECT_DELAY_S = 0.1
# How long an old connection may wait for its replies after the counter's address has changed.
DRAIN_TIMEOUT_S = 1.5
# A timer may fire early by up to this time because of rounding. A call that is due within it counts as due.
TIMER_TOLERANCE_S = 0.0005


class CounterCall:
    """A call to the counter, a `tally` or a ping, that waits to be written or to be answered.

    `has_result` is True once the result has been reported, so that it is not reported again. It is True from
    the start for a ping, which has no result. The key of a ping is not used.
    """

    __slots__ = ("has_result", "is_ping", "is_written", "key", "line", "started_at_s")

    def __init__(self, key: int, line: bytes, started_at_s: float, is_ping: bool = False) -> None:
        self.key = key
        self.line = line
        self.started_at_s = started_at_s
        self.is_ping = is_ping
        self.is_written = False
        self.has_result = is_ping

    def unanswered_outcome(self) -> Outcome:
        """Return the outcome if no valid reply arrives: a written call may have taken effect."""
        return Outcome.TIMED_OUT if self.is_written else Outcome.NOT_CONNECTED


class CounterConnection(asyncio.Protocol):
    """Sends calls to the counter on at most one connection at a time.

    The connection is established when a call is sent, also after an earlier connection has been lost.
    """

    def __init__(
        self,
        address: Address,
        timeout_s: float,
        on_result: Callable[[CounterResult], None],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.address = address
        self.timeout_s = timeout_s
        self.on_result = on_result
        self.loop = loop
        self.calls: deque[CounterCall] = deque()  # not answered yet, oldest first
        self.buffer = b""  # the received part of an incomplete line
        self.transport: asyncio.Transport | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.call_timer: asyncio.TimerHandle | None = None
        self.reconnect_not_before_s = 0.0
        # The time of the last progress: the connection was established, bytes arrived while no line was
        # incomplete, a line was completed, or a call was sent while no other was pending.
        self.last_progress_at_s = 0.0
        self.last_call_at_s = 0.0
        self.has_received_reply = False  # a reply to a `tally` call arrived on the current connection
        self.is_failing = False  # a failure was logged, and no such reply has arrived since
        self.is_closing = False  # `close_gracefully` was called: the counter's address has changed

    # Calls and their results

    def send(self, call: CounterCall) -> None:
        """Write a call, now or once the connection is established; connect if necessary.

        The call ends as `NOT_CONNECTED` at once if `MAX_UNANSWERED_CALLS` are already pending, or if there is
        no connection and the reconnect delay has not passed.
        """
        is_too_soon = self.transport is None and call.started_at_s < self.reconnect_not_before_s
        if is_too_soon or len(self.calls) >= MAX_UNANSWERED_CALLS:
            self._finish(call, Outcome.NOT_CONNECTED)
            return
        if not self.calls:
            self.last_progress_at_s = call.started_at_s
        self.calls.append(call)
        self.last_call_at_s = call.started_at_s
        if self.transport is not None:
            self._write(call)
        elif self.connect_task is None:
            self.connect_task = self.loop.create_task(self._connect())
        if self.call_timer is None:
            left_s = call.started_at_s + self.timeout_s - self.loop.time()
            self.call_timer = self.loop.call_later(max(0.0, left_s), self._time_out_calls)

    def check_liveness(self) -> None:
        """Drop the connection if it is dead, or ping the counter if the connection is idle."""
        if self.transport is None:
            return
        now_s = self.loop.time()
        if self.calls:
            if self._is_dead(now_s):
                self._drop("no reply in time")
        elif now_s - self.last_call_at_s > PING_INTERVAL_S:
            self.send(CounterCall(0, PING, now_s, is_ping=True))

    def close_gracefully(self) -> list[CounterCall]:
        """Close the connection once all written calls are answered, or after `DRAIN_TIMEOUT_S`.

        Return the pending calls that have not been written; they may be sent on another connection. A written
        call must not be sent again, as its amount could be added twice. No more calls may be sent here.
        """
        self.is_closing = True
        if self.connect_task is not None:
            self.connect_task.cancel()
        unwritten = [call for call in self.calls if not (call.is_written or call.has_result)]
        self.calls = deque(call for call in self.calls if call.is_written)
        if self.calls:
            self.loop.call_later(DRAIN_TIMEOUT_S, self._drop, "the counter's address has changed")
        else:
            self._drop("the counter's address has changed")
        return unwritten

    def _write(self, call: CounterCall) -> None:
        assert self.transport is not None
        call.is_written = True
        self.transport.write(call.line)

    def _finish(self, call: CounterCall, outcome: Outcome, total: float = 0.0) -> None:
        if call.has_result:
            return
        call.has_result = True
        elapsed_us = int((self.loop.time() - call.started_at_s) * US_PER_S)
        self.on_result(CounterResult(call.key, outcome, total, elapsed_us))

    # Connecting and disconnecting

    async def _connect(self) -> None:
        try:
            async with asyncio.timeout(max(MIN_CONNECT_TIMEOUT_S, self.timeout_s)):
                await self.loop.create_connection(lambda: self, *self.address)
        except OSError as error:  # TimeoutError is one of them
            self._drop(f"could not connect: {str(error) or 'timed out'}")
        finally:
            self.connect_task = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called when the connection is established; writes the pending calls that have not timed out."""
        transport = cast(asyncio.Transport, transport)  # uvloop's transport does not derive from it
        if self.is_closing:
            transport.abort()
            return
        self.transport = transport
        self.buffer = b""
        self.has_received_reply = False
        self.last_progress_at_s = self.loop.time()
        self.calls = deque(call for call in self.calls if not call.has_result)
        for call in self.calls:
            self._write(call)

    def connection_lost(self, exc: Exception | None) -> None:
        """Called when the connection has ended; ends its calls, unless `_drop` has already done so."""
        if self.transport is not None:
            self._drop(f"connection lost: {exc or 'closed by the counter'}")

    def _drop(self, reason: str) -> None:
        """Close the connection, or give up connecting, and end all calls.

        `reason` is for the log. After one failure, no other is logged until a reply to a `tally` arrives.
        """
        if not (self.is_failing or self.is_closing):
            self.is_failing = True
            log.warning("connection to the counter failed: %s", reason)
        transport = self.transport
        self.transport = None
        self.buffer = b""
        # If the counter has replied on this connection, the next call may connect at once.
        delay_s = 0.0 if transport is not None and self.has_received_reply else RECONNECT_DELAY_S
        self.reconnect_not_before_s = self.loop.time() + delay_s
        calls = self.calls
        self.calls = deque()
        for call in calls:
            self._finish(call, call.unanswered_outcome())
        if transport is not None:
            transport.abort()

    # Replies and timeouts

    def data_received(self, data: bytes) -> None:
        """Called when bytes have arrived; matches each complete line to the oldest call."""
        if self.transport is None:  # the connection was dropped, and all its calls have ended
            return
        if not self.buffer:  # more bytes of an incomplete line are not progress
            self.last_progress_at_s = self.loop.time()
        *lines, self.buffer = (self.buffer + data).split(b"\n", MAX_LINES)
        try:
            for line in lines:
                self._handle_line(line)
            if len(self.buffer) > MAX_LINE_BYTES:
                raise MalformedCounterReply(self.buffer[:MAX_LOGGED_BYTES])
        except MalformedCounterReply as error:
            self._drop(str(error))
            return
        if self.is_closing and not self.calls:
            self._drop("the counter's address has changed")

    def _handle_line(self, line: bytes) -> None:
        """End the oldest call with the reply in this line.

        Raises MalformedCounterReply if the line is not a reply to that call or too long, or if no call is
        pending.
        """
        self.last_progress_at_s = self.loop.time()
        if not self.calls or len(line) > MAX_LINE_BYTES:
            raise MalformedCounterReply(line[:MAX_LOGGED_BYTES])
        call = self.calls.popleft()
        if call.is_ping:
            check_pong(line)
            return
        try:
            reply = parse_reply(line)
        except MalformedCounterReply:
            self._finish(call, call.unanswered_outcome())
            raise
        self._record_reply()
        if reply.is_error:
            log.warning(
                "counter replied %r to call %r; the amount was not added",
                line[:MAX_LOGGED_BYTES],
                call.line[:MAX_LOGGED_BYTES],
            )
        self._finish(call, reply.outcome, reply.total)

    def _record_reply(self) -> None:
        self.has_received_reply = True
        if self.is_failing:
            self.is_failing = False
            log.info("the counter replies again")

    def _time_out_calls(self) -> None:
        """Called when the next call times out; ends the calls that are due, and drops a dead connection.

        The ended calls stay in `calls` until their replies arrive or the connection is dropped, so that a
        late reply to one of them is not matched to a later call.
        """
        now_s = self.loop.time()
        self.call_timer = None
        for call in self.calls:
            if call.has_result:
                continue
            due_at_s = call.started_at_s + self.timeout_s
            if due_at_s > now_s + TIMER_TOLERANCE_S:
                self.call_timer = self.loop.call_later(due_at_s - now_s, self._time_out_calls)
                break
            self._finish(call, call.unanswered_outcome())
        if self.calls and self.transport is not None and self._is_dead(now_s):
            self._drop(
                f"incomplete line {self.buffer[:MAX_LOGGED_BYTES]!r}" if self.buffer else "no reply in time"
            )

    def _is_dead(self, now_s: float) -> bool:
        factor = INCOMPLETE_LINE_TIMEOUT_FACTOR if self.buffer else NO_REPLY_TIMEOUT_FACTOR
        return now_s - self.last_progress_at_s > factor * self.timeout_s

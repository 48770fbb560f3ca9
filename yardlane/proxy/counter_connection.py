"""One connection to the shared quota counter, with calls in a pipeline.

Calls are written without waiting for the one before; the counter answers in the same order, a line each (see
`counter_protocol`).

Every call gets exactly one result, whatever the counter does. It says what may have been added:

    OK             added, and this is the total
    REJECTED       not added, as the counter says
    NOT_CONNECTED  not added: the call was never written
    TIMED_OUT      it may have been added: written, but not answered in time or in a way that can be read

A line that answers no call means that answers no longer match their calls. From there on each total could be
another key's, so the connection is dropped and the calls on it end as above.
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

# Calls without an answer on one connection. More would be a backlog for a silent counter that comes back.
MAX_UNANSWERED_CALLS = 16
MAX_LINE_BYTES = 256
# Without an answer for so many call timeouts, the connection is dead.
DEAD_AFTER_TIMEOUTS = 10
# The same inside a line: a line without an end hides the answers behind it.
STALLED_LINE_AFTER_TIMEOUTS = 0.5
MIN_CONNECT_TIMEOUT_S = 0.25
# An idle connection is pinged so often, as the counter would close it.
PING_INTERVAL_S = 2.0
# After a connection that brought no answer; a counter that is down must not cost the processor.
RECONNECT_DELAY_S = 0.1
# How long a counter that has moved keeps an old connection with calls on it.
DRAIN_TIMEOUT_S = 1.5
# A timer may fire so much early by its rounding: what is due then counts as due.
TIMER_TOLERANCE_S = 0.0005


class CounterCall:
    """A call from its start to its answer. A ping has no key, and nobody awaits its result.

    `has_result` says that `on_result` has had the call's result, or must get none: it is true of a ping from
    the start, so that no end of a connection reports one.
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
        """Its outcome where no answer comes: what is written may have been added."""
        return Outcome.TIMED_OUT if self.is_written else Outcome.NOT_CONNECTED


class CounterConnection(asyncio.Protocol):
    """Connects when it gets a call, and again with the next one after it was lost."""

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
        self.calls: deque[CounterCall] = deque()  # unanswered, oldest first
        self.buffer = b""  # the beginning of a line
        self.transport: asyncio.Transport | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.call_timer: asyncio.TimerHandle | None = None
        self.reconnect_not_before_s = 0.0
        self.last_progress_at_s = 0.0  # the last line, or the first call after a time without any
        self.last_call_at_s = 0.0
        self.has_received_reply = False  # this connection has
        self.is_failing = False  # a failure was logged, and no answer came since
        self.is_closing = False  # for good: the counter has moved

    # Calls in, results out

    def send(self, call: CounterCall) -> None:
        """Write a call, or connect for it. It is not sent where there are too many, or it is too soon."""
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
        """Drop the connection if it is dead; ping if it is idle, as the counter would close it."""
        if self.transport is None:
            return
        now_s = self.loop.time()
        if self.calls:
            if self._is_dead(now_s):
                self._drop("silent")
        elif now_s - self.last_call_at_s > PING_INTERVAL_S:
            self.send(CounterCall(0, PING, now_s, is_ping=True))

    def close_gracefully(self) -> list[CounterCall]:
        """Take no more calls, and close once those that are written are answered.

        The others are handed back, to be written elsewhere: no call may be written twice, as both would add.
        """
        self.is_closing = True
        if self.connect_task is not None:
            self.connect_task.cancel()
        unwritten = [call for call in self.calls if not (call.is_written or call.has_result)]
        self.calls = deque(call for call in self.calls if call.is_written)
        if self.calls:
            self.loop.call_later(DRAIN_TIMEOUT_S, self._drop, "moved")
        else:
            self._drop("moved")
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

    # The connection

    async def _connect(self) -> None:
        try:
            async with asyncio.timeout(max(MIN_CONNECT_TIMEOUT_S, self.timeout_s)):
                await self.loop.create_connection(lambda: self, *self.address)
        except OSError as error:  # TimeoutError is one of them
            self._drop(f"cannot be reached: {str(error) or 'timed out'}")
        finally:
            self.connect_task = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Write the calls that waited for it, but for those that have timed out meanwhile."""
        transport = cast(asyncio.Transport, transport)  # uvloop's is none by its type
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
        """It has ended, by the counter or the network, or as we dropped it."""
        if self.transport is not None:
            self._drop(f"connection ended: {exc or 'closed'}")

    def _drop(self, reason: str) -> None:
        """Close the connection; every call on it ends.

        A failure is logged once until an answer comes; `reason` is the text of that line and decides nothing.
        """
        if not (self.is_failing or self.is_closing):
            self.is_failing = True
            log.warning("counter: %s", reason)
        transport = self.transport
        self.transport = None
        # One that has just answered is worth another connection at once.
        delay_s = 0.0 if transport is not None and self.has_received_reply else RECONNECT_DELAY_S
        self.reconnect_not_before_s = self.loop.time() + delay_s
        calls = self.calls
        self.calls = deque()
        for call in calls:
            self._finish(call, call.unanswered_outcome())
        if transport is not None:
            transport.abort()

    # Answers, and their absence

    def data_received(self, data: bytes) -> None:
        """Answer the oldest calls, one with each whole line."""
        if self.transport is None:  # dropped: what still comes answers nothing
            return
        if not self.buffer:  # bytes that drip into one line are no progress
            self.last_progress_at_s = self.loop.time()
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        try:
            for line in lines:
                self._handle_line(line)
            if len(self.buffer) > MAX_LINE_BYTES:
                raise MalformedCounterReply(self.buffer[:MAX_LOGGED_BYTES])
        except MalformedCounterReply as error:
            self._drop(str(error))
            return
        if self.is_closing and not self.calls:
            self._drop("moved")

    def _handle_line(self, line: bytes) -> None:
        """Answer the oldest call. MalformedCounterReply where the line does not answer it."""
        self.last_progress_at_s = self.loop.time()
        if not self.calls:
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
                "counter answered %r to call %r", line[:MAX_LOGGED_BYTES], call.line[:MAX_LOGGED_BYTES]
            )
        self._finish(call, reply.outcome, reply.total)

    def _record_reply(self) -> None:
        self.has_received_reply = True
        if self.is_failing:
            self.is_failing = False
            log.info("counter answers again")

    def _time_out_calls(self) -> None:
        """End overdue calls.

        They stay in the queue, so that their late answers are not taken for those of the next calls, until
        the connection counts as dead.
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
            self._drop(f"stalled in a line, {self.buffer[:MAX_LOGGED_BYTES]!r}" if self.buffer else "silent")

    def _is_dead(self, now_s: float) -> bool:
        timeouts = STALLED_LINE_AFTER_TIMEOUTS if self.buffer else DEAD_AFTER_TIMEOUTS
        return now_s - self.last_progress_at_s > timeouts * self.timeout_s

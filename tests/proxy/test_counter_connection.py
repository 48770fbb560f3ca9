"""One connection to the counter on a manual clock: timeouts, the reconnect delay and pings."""

import asyncio
import heapq
from collections.abc import Callable, Coroutine
from typing import Any, cast

import pytest

from yardlane.decisions.events import CounterResult, Outcome
from yardlane.proxy.counter_connection import (
    DEAD_AFTER_TIMEOUTS,
    PING_INTERVAL_S,
    RECONNECT_DELAY_S,
    CounterCall,
    CounterConnection,
)

TIMEOUT_S = 0.03


class ManualLoop:
    """The clock and timers of a loop, which only the test moves; tasks are counted and never run."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.timers: list[tuple[float, int, Callable[..., object], tuple[object, ...]]] = []
        self.tasks = 0

    def time(self) -> float:
        return self.now_s

    def call_later(self, delay_s: float, callback: Callable[..., object], *args: object) -> None:
        heapq.heappush(self.timers, (self.now_s + delay_s, len(self.timers), callback, args))

    def create_task(self, coroutine: Coroutine[Any, Any, None]) -> object:
        coroutine.close()
        self.tasks += 1
        return object()

    async def create_connection(self, *_: object) -> None:
        raise TimeoutError  # without a text, as `asyncio.timeout` raises it

    def advance(self, seconds: float) -> None:
        end_s = self.now_s + seconds
        while self.timers and self.timers[0][0] <= end_s:
            due_s, _, callback, args = heapq.heappop(self.timers)
            self.now_s = due_s
            callback(*args)
        self.now_s = end_s


class Transport:
    """What was written, and whether it was closed."""

    def __init__(self) -> None:
        self.written = b""
        self.is_closed = False

    def write(self, data: bytes) -> None:
        self.written += data

    def abort(self) -> None:
        self.is_closed = True


class ConnectionOnManualClock:
    """A connection, and the results of its calls."""

    def __init__(self) -> None:
        self.loop = ManualLoop()
        self.results: list[CounterResult] = []
        self.connection = CounterConnection(
            ("127.0.0.1", 9), TIMEOUT_S, self.results.append, cast(asyncio.AbstractEventLoop, self.loop)
        )

    def call(self, key: int = 1) -> None:
        self.connection.send(CounterCall(key, b"tally %x 1 1\r\n" % key, self.loop.time()))

    def connect(self) -> Transport:
        transport = Transport()
        self.connection.connect_task = None
        self.connection.connection_made(cast(asyncio.Transport, transport))
        return transport

    def fail_to_connect(self) -> None:
        self.connection.connect_task = None
        self.connection._drop("cannot be reached")

    def outcomes(self) -> list[Outcome]:
        return [result.outcome for result in self.results]


def test_after_a_failure_no_call_connects_within_the_reconnect_delay() -> None:
    """The counter refuses connections. Did each of many calls try to connect, the processor would be theirs;
    they end at once instead, until the delay is over."""
    counter = ConnectionOnManualClock()
    counter.call()
    counter.fail_to_connect()
    assert counter.outcomes() == [Outcome.NOT_CONNECTED]
    counter.loop.advance(RECONNECT_DELAY_S * 0.9)
    counter.call()
    assert counter.outcomes() == 2 * [Outcome.NOT_CONNECTED] and counter.loop.tasks == 1
    counter.loop.advance(RECONNECT_DELAY_S * 0.2)
    counter.call()
    assert counter.loop.tasks == 2


def test_a_connect_that_times_out_is_logged_with_its_reason(caplog: pytest.LogCaptureFixture) -> None:
    """The counter's host answers nothing at all, so connecting times out with an error that has no text. The
    line in the log must still say what happened."""
    counter = ConnectionOnManualClock()
    counter.call()
    asyncio.run(counter.connection._connect())
    assert counter.outcomes() == [Outcome.NOT_CONNECTED]
    assert caplog.messages == ["counter: cannot be reached: timed out"]


def test_a_call_that_was_not_written_in_time_is_never_written() -> None:
    """The connection comes up after a call has timed out. Its result said that nothing was added, so it must
    not be written any more."""
    counter = ConnectionOnManualClock()
    counter.call(1)
    counter.loop.advance(TIMEOUT_S * 1.1)
    assert counter.outcomes() == [Outcome.NOT_CONNECTED]
    counter.call(2)
    transport = counter.connect()
    assert transport.written == b"tally 2 1 1\r\n"


def test_bytes_that_drip_into_one_line_do_not_keep_a_connection_alive() -> None:
    """The counter sends a line without an end, a byte at a time. Answers behind it will never be seen; were
    each byte taken for progress, every call would time out for as long as the bytes come."""
    counter = ConnectionOnManualClock()
    counter.call()
    transport = counter.connect()
    for _ in range(4):
        counter.connection.data_received(b"1")
        counter.loop.advance(TIMEOUT_S * 0.3)
    assert counter.outcomes() == [Outcome.TIMED_OUT]
    assert transport.is_closed


def test_a_silent_connection_is_kept_for_some_timeouts_and_then_closed() -> None:
    """The counter is slow: a late answer may still come and show that it lives. It is silent for longer: the
    connection is closed, so that the next calls get another."""
    counter = ConnectionOnManualClock()
    counter.call()
    transport = counter.connect()
    counter.loop.advance(TIMEOUT_S * (DEAD_AFTER_TIMEOUTS - 1))
    counter.connection.check_alive()
    assert counter.outcomes() == [Outcome.TIMED_OUT] and not transport.is_closed
    counter.loop.advance(TIMEOUT_S * 1.1)
    counter.connection.check_alive()
    assert transport.is_closed
    assert counter.outcomes() == [Outcome.TIMED_OUT]  # one result, not two


def test_an_idle_connection_is_pinged() -> None:
    """The counter closes a connection that is idle; the next call would find it gone and pay for another."""
    counter = ConnectionOnManualClock()
    counter.call()
    transport = counter.connect()
    counter.connection.data_received(b"ok 1\r\n")
    counter.loop.advance(PING_INTERVAL_S * 0.9)
    counter.connection.check_alive()
    assert not transport.written.endswith(b"ping\r\n")
    counter.loop.advance(PING_INTERVAL_S * 0.2)
    counter.connection.check_alive()
    assert transport.written.endswith(b"ping\r\n")
    counter.connection.data_received(b"pong\r\n")
    counter.call(2)
    counter.connection.data_received(b"ok 2\r\n")
    assert [(r.counter_key, r.total) for r in counter.results] == [(1, 1.0), (2, 2.0)]
    assert not transport.is_closed


def test_a_ping_that_is_answered_by_a_total_closes_the_connection() -> None:
    """The answers have slipped by one: a total comes for a ping. The next total would be another call's."""
    counter = ConnectionOnManualClock()
    counter.call()
    transport = counter.connect()
    counter.connection.data_received(b"ok 1\r\n")
    counter.loop.advance(PING_INTERVAL_S * 1.1)
    counter.connection.check_alive()
    counter.connection.data_received(b"ok 2\r\n")
    assert transport.is_closed
    assert [result.total for result in counter.results] == [1.0]


def test_a_connection_that_is_closed_gracefully_ends_with_its_last_answer() -> None:
    """The counter moves. A written call is answered where it was written, and the connection closes with that
    answer; an idle one closes at once. Otherwise each move would leave connections open for a while."""
    counter = ConnectionOnManualClock()
    counter.call()
    transport = counter.connect()
    assert counter.connection.close_gracefully() == [] and not transport.is_closed
    counter.connection.data_received(b"ok 1\r\n")
    assert transport.is_closed
    assert counter.outcomes() == [Outcome.OK]
    idle = ConnectionOnManualClock()
    transport = idle.connect()
    idle.connection.close_gracefully()
    assert transport.is_closed

"""Tests of `CounterConnection` with a simulated clock: timeouts, the reconnect delay and pings."""

import asyncio
import heapq
from collections.abc import Callable, Coroutine
from typing import Any, cast

import pytest

from tests.proxy.message_cuts import peak_bytes_of
from yardlane.decisions.events import CounterResult, Outcome
from yardlane.proxy.counter_connection import (
    NO_REPLY_TIMEOUT_FACTOR,
    PING_INTERVAL_S,
    RECONNECT_DELAY_S,
    CounterCall,
    CounterConnection,
)

CALL_TIMEOUT_S = 0.03


class FakeLoop:
    """Replaces the event loop. Only the test advances its clock. It counts tasks but does not run them."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.timers: list[tuple[float, int, Callable[..., object], tuple[object, ...]]] = []
        self.task_count = 0

    def time(self) -> float:
        return self.now_s

    def call_later(self, delay_s: float, callback: Callable[..., object], *args: object) -> None:
        heapq.heappush(self.timers, (self.now_s + delay_s, len(self.timers), callback, args))

    def create_task(self, coroutine: Coroutine[Any, Any, None]) -> object:
        coroutine.close()
        self.task_count += 1
        return object()

    async def create_connection(self, *_: object) -> None:
        raise TimeoutError  # without a message, like the one that `asyncio.timeout` raises

    def advance(self, seconds: float) -> None:
        end_s = self.now_s + seconds
        while self.timers and self.timers[0][0] <= end_s:
            due_s, _, callback, args = heapq.heappop(self.timers)
            self.now_s = due_s
            callback(*args)
        self.now_s = end_s


class FakeTransport:
    """A transport that records the bytes written to it, and whether it was closed."""

    def __init__(self) -> None:
        self.written = b""
        self.is_closed = False

    def write(self, data: bytes) -> None:
        self.written += data

    def abort(self) -> None:
        self.is_closed = True


class ConnectionDriver:
    """Drives a connection to the counter on a fake loop, and records the results of its calls."""

    def __init__(self) -> None:
        self.loop = FakeLoop()
        self.results: list[CounterResult] = []
        self.connection = CounterConnection(
            ("127.0.0.1", 9), CALL_TIMEOUT_S, self.results.append, cast(asyncio.AbstractEventLoop, self.loop)
        )

    def call(self, key: int = 1) -> None:
        self.connection.send(CounterCall(key, b"tally %x 1 1\r\n" % key, self.loop.time()))

    def connect(self) -> FakeTransport:
        transport = FakeTransport()
        self.connection.connect_task = None
        self.connection.connection_made(cast(asyncio.Transport, transport))
        return transport

    def fail_to_connect(self) -> None:
        self.connection.connect_task = None
        self.connection._drop("could not connect")

    def outcomes(self) -> list[Outcome]:
        return [result.outcome for result in self.results]


def test_no_call_reconnects_within_the_reconnect_delay() -> None:
    """The counter refuses connections.

    If each call tried to connect, this would use up the processor time. So until the reconnect delay has
    passed, calls must end at once.
    """
    driver = ConnectionDriver()
    driver.call()
    driver.fail_to_connect()
    assert driver.outcomes() == [Outcome.NOT_CONNECTED]
    driver.loop.advance(RECONNECT_DELAY_S * 0.9)
    driver.call()
    assert driver.outcomes() == 2 * [Outcome.NOT_CONNECTED] and driver.loop.task_count == 1
    driver.loop.advance(RECONNECT_DELAY_S * 0.2)
    driver.call()
    assert driver.loop.task_count == 2


def test_connect_timeout_is_logged_with_its_reason(caplog: pytest.LogCaptureFixture) -> None:
    """The counter's host does not respond, so connecting times out with an error that has no message.

    The log line must still give the reason.
    """
    driver = ConnectionDriver()
    driver.call()
    asyncio.run(driver.connection._connect())
    assert driver.outcomes() == [Outcome.NOT_CONNECTED]
    assert caplog.messages == ["connection to the counter failed: could not connect: timed out"]


def test_call_that_timed_out_before_the_connect_is_never_written() -> None:
    """The connection is established after a call has timed out.

    The result of the call said that its amount was not added, so the call must not be written any more.
    """
    driver = ConnectionDriver()
    driver.call(1)
    driver.loop.advance(CALL_TIMEOUT_S * 1.1)
    assert driver.outcomes() == [Outcome.NOT_CONNECTED]
    driver.call(2)
    transport = driver.connect()
    assert transport.written == b"tally 2 1 1\r\n"


def test_incomplete_line_does_not_keep_the_connection_alive() -> None:
    """The counter sends a line that never ends, one byte at a time.

    Replies behind this line cannot be read. If each byte counted as progress, the connection would be kept,
    and all calls would time out for as long as bytes arrive.
    """
    driver = ConnectionDriver()
    driver.call()
    transport = driver.connect()
    for _ in range(4):
        driver.connection.data_received(b"1")
        driver.loop.advance(CALL_TIMEOUT_S * 0.3)
    assert driver.outcomes() == [Outcome.TIMED_OUT]
    assert transport.is_closed


def test_silent_connection_is_closed_after_several_call_timeouts() -> None:
    """The counter does not reply.

    At first the connection is kept, because the counter may only be slow. After `NO_REPLY_TIMEOUT_FACTOR`
    call timeouts it is closed, so that the next call uses a new one.
    """
    driver = ConnectionDriver()
    driver.call()
    transport = driver.connect()
    driver.loop.advance(CALL_TIMEOUT_S * (NO_REPLY_TIMEOUT_FACTOR - 1))
    driver.connection.check_liveness()
    assert driver.outcomes() == [Outcome.TIMED_OUT] and not transport.is_closed
    driver.loop.advance(CALL_TIMEOUT_S * 1.1)
    driver.connection.check_liveness()
    assert transport.is_closed
    assert driver.outcomes() == [Outcome.TIMED_OUT]  # one result, not two


def test_idle_connection_is_pinged() -> None:
    """The counter closes idle connections. Without a ping, the next call would have to connect again."""
    driver = ConnectionDriver()
    driver.call()
    transport = driver.connect()
    driver.connection.data_received(b"ok 1\r\n")
    driver.loop.advance(PING_INTERVAL_S * 0.9)
    driver.connection.check_liveness()
    assert not transport.written.endswith(b"ping\r\n")
    driver.loop.advance(PING_INTERVAL_S * 0.2)
    driver.connection.check_liveness()
    assert transport.written.endswith(b"ping\r\n")
    driver.connection.data_received(b"pong\r\n")
    driver.call(2)
    driver.connection.data_received(b"ok 2\r\n")
    assert [(r.counter_key, r.total) for r in driver.results] == [(1, 1.0), (2, 2.0)]
    assert not transport.is_closed


def test_total_in_reply_to_a_ping_closes_the_connection() -> None:
    """A total arrives in reply to a ping, so replies can no longer be matched to calls.

    If the connection were kept, the next total could be that of another call.
    """
    driver = ConnectionDriver()
    driver.call()
    transport = driver.connect()
    driver.connection.data_received(b"ok 1\r\n")
    driver.loop.advance(PING_INTERVAL_S * 1.1)
    driver.connection.check_liveness()
    driver.connection.data_received(b"ok 2\r\n")
    assert transport.is_closed
    assert [result.total for result in driver.results] == [1.0]


def test_graceful_close_ends_the_connection_after_the_last_reply() -> None:
    """The counter's address changes.

    A connection with a written call must be closed when the call is answered, and an idle connection at once.
    Otherwise each change of the address would leave connections open for a while.
    """
    driver = ConnectionDriver()
    driver.call()
    transport = driver.connect()
    assert driver.connection.close_gracefully() == [] and not transport.is_closed
    driver.connection.data_received(b"ok 1\r\n")
    assert transport.is_closed
    assert driver.outcomes() == [Outcome.OK]
    idle = ConnectionDriver()
    transport = idle.connect()
    idle.connection.close_gracefully()
    assert transport.is_closed


READ_BYTES = 250_000  # about as many as the event loop reads at once


@pytest.mark.parametrize(
    "read",
    [
        b"\n" * READ_BYTES,
        b"ok 1\r\n" * (READ_BYTES // 6),
        b"error " + b"aa " * (READ_BYTES // 3) + b"\r\n",
        b"error " + b"a" * READ_BYTES + b"\r\n",
        b"ok " + b"1" * READ_BYTES,
    ],
    ids=["empty lines", "replies to no call", "a line of words", "a long word", "a line without an end"],
)
def test_excessive_reply_drops_the_connection_and_costs_no_more_memory_than_its_read(read: bytes) -> None:
    """The counter sends far more lines than there are calls, or a line far longer than any reply.

    All lines and words of a read were separated before the first one was checked, which took many times the
    memory of the read. A complete line was accepted whatever its length.
    """
    driver = ConnectionDriver()
    driver.call()
    transport = driver.connect()
    assert peak_bytes_of(lambda: driver.connection.data_received(read)) <= 2 * len(read)
    assert transport.is_closed
    assert not driver.connection.buffer
    assert len(driver.results) == 1

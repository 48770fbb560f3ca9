"""Tests that each call of `CounterClient` gets exactly one result, whatever the counter does."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from tests.counter_calls import accept_first_call, add_to_counter, settings_with_counter
from tests.loopback import (
    FakeServer,
    RunningServer,
    ScriptedDecider,
    leave_pending,
    running_server,
    uvloop_test,
)
from yardlane.decisions.events import CounterResult, Outcome
from yardlane.errors import MalformedCounterReply
from yardlane.proxy.counter_protocol import parse_reply


def config_with_counter(counter: FakeServer, **changes: Any) -> dict[str, Any]:
    """Return configuration keys: the address of the counter, and the settings with `changes`."""
    return {"counter": f"127.0.0.1:{counter.port}", "settings": settings_with_counter(**changes)}


@asynccontextmanager
async def running_server_with_counter(
    decider: ScriptedDecider, **changes: Any
) -> AsyncIterator[tuple[RunningServer, FakeServer]]:
    """Run the whole program with a fake counter, which the test controls.

    `changes` are changes to the settings, as in `settings_with_counter`.
    """
    async with (
        FakeServer() as counter,
        running_server(decider, **config_with_counter(counter, **changes)) as server,
    ):
        yield server, counter


@uvloop_test
async def test_replies_are_matched_to_calls_in_order() -> None:
    """Four calls are written before any is answered, and the replies arrive in arbitrary fragments.

    Each reply belongs to the oldest unanswered call. If it were matched to another call, a key could get the
    total of another key.
    """
    decider = ScriptedDecider(leave_pending)
    async with running_server_with_counter(decider) as (server, counter):
        for amount in (2.5, -1.0, 0.0, 7.0):
            add_to_counter(server, 0xAB, amount, 4_000_000)
        reader, writer = await counter.accept_connection()
        lines = [await reader.readuntil(b"\r\n") for _ in range(4)]
        assert lines[:2] == [b"tally ab 2.5 4000\r\n", b"tally ab -1 4000\r\n"]
        writer.write(b"ok 2.5\r\nbusy\r\nerr")
        writer.write(b"or\r\nok 1e3\r\n")
        results = await decider.wait_for(CounterResult, 4)
        assert [(r.counter_key, r.outcome, r.total) for r in results] == [
            (0xAB, Outcome.OK, 2.5),
            (0xAB, Outcome.REJECTED, 0.0),
            (0xAB, Outcome.REJECTED, 0.0),
            (0xAB, Outcome.OK, 1000.0),
        ]


@uvloop_test
async def test_call_ends_as_timed_out_if_the_connection_is_reset_after_it_is_written() -> None:
    """The counter resets the connection after a call was written.

    It is unknown whether the amount was added. If the result said that it was not, the decisions could add it
    a second time.
    """
    decider = ScriptedDecider(leave_pending)
    async with running_server_with_counter(decider) as (server, counter):
        add_to_counter(server)
        _, writer = await accept_first_call(counter)
        writer.transport.abort()
        assert [r.outcome for r in await decider.wait_for(CounterResult)] == [Outcome.TIMED_OUT]


@uvloop_test
async def test_call_ends_as_not_connected_if_the_connection_is_refused() -> None:
    """Nothing listens at the counter's address. The result must say that the call was never written."""
    decider = ScriptedDecider(leave_pending)
    async with FakeServer() as counter:
        configuration = config_with_counter(counter)
    async with running_server(decider, **configuration) as server:
        add_to_counter(server)
        assert [r.outcome for r in await decider.wait_for(CounterResult)] == [Outcome.NOT_CONNECTED]


@uvloop_test
async def test_late_reply_is_not_matched_to_the_next_call() -> None:
    """A call times out, the next call is written, and then both are answered.

    The first reply belongs to the call that timed out. If it were matched to the next call, each later total
    would be wrong as well.
    """
    decider = ScriptedDecider(leave_pending)
    async with running_server_with_counter(decider, count_wait_us=300_000) as (server, counter):
        add_to_counter(server)
        reader, writer = await accept_first_call(counter)
        assert [r.outcome for r in await decider.wait_for(CounterResult)] == [Outcome.TIMED_OUT]
        add_to_counter(server)
        await reader.readuntil(b"\r\n")
        writer.write(b"ok 1\r\nok 2\r\n")
        results = await decider.wait_for(CounterResult, 2)
        assert (results[1].outcome, results[1].total) == (Outcome.OK, 2.0)


@uvloop_test
async def test_number_of_unanswered_calls_is_limited() -> None:
    """The counter accepts a connection but does not reply, while further calls are made.

    Only 16 calls must be written. The others must end at once, so that the counter does not have to work off
    a backlog when it recovers.
    """
    decider = ScriptedDecider(leave_pending)
    async with running_server_with_counter(decider) as (server, counter):
        for _ in range(100):
            add_to_counter(server)
        results = await decider.wait_for(CounterResult, 100 - 16)
        assert {r.outcome for r in results} == {Outcome.NOT_CONNECTED}
        reader, writer = await counter.accept_connection()
        for _ in range(16):
            await reader.readuntil(b"\r\n")
        writer.write(b"ok 1\r\n" * 16)
        assert len(await decider.wait_for(CounterResult, 100)) == 100


@uvloop_test
async def test_connection_without_replies_is_closed() -> None:
    """The counter's host disappears without a reset, so calls are written but never answered.

    After several call timeouts the client must close the connection, so that later calls use a new one.
    """
    decider = ScriptedDecider(leave_pending)
    async with running_server_with_counter(decider, count_wait_us=20_000) as (server, counter):
        add_to_counter(server)
        reader, _ = await counter.accept_connection()
        await reader.read()
        assert len(await decider.wait_for(CounterResult)) == 1


INVALID_TOTALS = (b"", b" nan", b" 1_0", b" inf", b" 1e999", b" 1 2")
MALFORMED_REPLIES = [
    *(b"ok" + total + b"\r\n" for total in INVALID_TOTALS),
    b"what\r\n",
    b"x" * 1000,
    b"pong\r\n",
    b"\xff\xfe\r\n",
]


@uvloop_test
async def test_call_ends_as_timed_out_after_a_malformed_reply() -> None:
    """The counter sends a line that is not a valid reply.

    The amount may have been added, so the result must not say that it was not. Later replies on this
    connection cannot be trusted.
    """
    for reply in MALFORMED_REPLIES:
        decider = ScriptedDecider(leave_pending)
        async with running_server_with_counter(decider) as (server, counter):
            add_to_counter(server)
            _, writer = await accept_first_call(counter)
            writer.write(reply)
            assert [r.outcome for r in await decider.wait_for(CounterResult)] == [Outcome.TIMED_OUT]


@pytest.mark.parametrize("reply", MALFORMED_REPLIES, ids=lambda reply: repr(reply[:12]))
def test_parse_reply_raises_on_a_malformed_reply(reply: bytes) -> None:
    """The counter sends a line that is not a reply, or a total that is not a finite decimal number.

    If such a total were accepted, it would invalidate the quota of its key for all gateways.
    """
    with pytest.raises(MalformedCounterReply):
        parse_reply(reply)


@uvloop_test
async def test_call_after_a_malformed_reply_reconnects_at_once() -> None:
    """A connection is dropped because of a malformed reply, after the counter had replied on it.

    A quarter of all keys use this connection. Their next call must connect again at once, without the
    reconnect delay.
    """
    decider = ScriptedDecider(leave_pending)
    async with running_server_with_counter(decider) as (server, counter):
        add_to_counter(server)
        reader, writer = await accept_first_call(counter)
        writer.write(b"ok 1\r\n")
        await decider.wait_for(CounterResult)
        add_to_counter(server)
        await reader.readuntil(b"\r\n")
        writer.write(b"ok {}\r\n")
        await decider.wait_for(CounterResult, 2)
        add_to_counter(server)
        _, writer = await accept_first_call(counter)
        writer.write(b"ok 3\r\n")
        results = await decider.wait_for(CounterResult, 3)
        assert [r.outcome for r in results] == [Outcome.OK, Outcome.TIMED_OUT, Outcome.OK]


@uvloop_test
async def test_incomplete_reply_line_times_out_only_one_call() -> None:
    """The counter sends half a line and then nothing.

    The call times out. The connection must then be closed, because later replies could not be told apart from
    the incomplete line. The next call must be answered on a new connection.
    """
    decider = ScriptedDecider(leave_pending)
    async with running_server_with_counter(decider, count_wait_us=200_000) as (server, counter):
        add_to_counter(server)
        reader, writer = await accept_first_call(counter)
        writer.write(b"ok 1")
        assert [r.outcome for r in await decider.wait_for(CounterResult)] == [Outcome.TIMED_OUT]
        assert await reader.read() == b""
        client = server.proxy.counter
        assert client is not None
        connection = next(each for each in client.connections if each.reconnect_not_before_s)
        while asyncio.get_running_loop().time() < connection.reconnect_not_before_s:
            await asyncio.sleep(0.01)
        add_to_counter(server)
        _, writer = await accept_first_call(counter)
        writer.write(b"ok 2\r\n")
        assert (await decider.wait_for(CounterResult, 2))[1].total == 2.0

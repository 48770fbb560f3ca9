"""Tests that slow clients time out, and that no client times out because the proxy was stalled."""

import asyncio

import pytest

from tests.client_side import ManualClock, connect_clients, only_connection
from tests.loopback import (
    ScriptedDecider,
    leave_pending,
    make_request,
    read_status,
    read_until_closed,
    reject_all,
    running_server,
    uvloop_test,
)
from yardlane.decisions.events import RequestArrived
from yardlane.proxy.client_connection import REQUEST_TIMEOUT_S
from yardlane.proxy.client_state import ClientState


@uvloop_test
async def test_connection_without_a_request_is_closed() -> None:
    """A client that connects and sends nothing must not keep a file descriptor in use."""
    async with running_server(ScriptedDecider(leave_pending)) as server:
        clock = ManualClock(server.clients)
        [(reader, _)] = await connect_clients(server, 1)
        clock.advance(1.0)
        assert server.clients.connections
        clock.advance(0.75)
        assert await read_until_closed(reader) == b""


@uvloop_test
async def test_request_sent_byte_by_byte_times_out() -> None:
    """A client must not keep its connection open by sending single bytes. The timeout applies to the whole
    request."""
    async with running_server(ScriptedDecider(leave_pending)) as server:
        clock = ManualClock(server.clients)
        [(reader, writer)] = await connect_clients(server, 1)
        parser = only_connection(server).parser
        for byte in make_request()[:8]:
            writer.write(bytes((byte,)))
            head_bytes = parser.head_bytes
            while parser.head_bytes == head_bytes and not parser.is_in_message:
                await asyncio.sleep(0)
            clock.advance(0.2)
        clock.advance(0.2)
        assert b" 408 " in await read_until_closed(reader)


@pytest.mark.parametrize("rest", [make_request(trace="a2")[:20], b"noise\r\n\r\n"])
def test_fatal_request_error_behind_a_pending_request_ends_both_in_time(rest: bytes) -> None:
    """The error response must wait for the response to the pending request, but no longer than the request
    timeout. Then the pending request must be answered with 502, because it may have been run. A rejection
    would wrongly tell the client that it may safely retry."""

    @uvloop_test
    async def run() -> None:
        script = ScriptedDecider(leave_pending)
        async with running_server(script) as server:
            clock = ManualClock(server.clients)
            [(reader, writer)] = await connect_clients(server, 1)
            connection = only_connection(server)
            writer.write(make_request(trace="a1") + rest)
            await script.wait_for(RequestArrived)
            clock.advance(1.0)
            assert connection.pending
            clock.advance(0.75)
            responses = await read_until_closed(reader)
            assert responses.startswith(b"HTTP/1.1 502 ") and responses.count(b"HTTP/1.1 4") == 1
            assert not server.proxy.open_trace_ids and not server.open_request_count

    run()


@uvloop_test
async def test_client_that_stays_connected_after_the_last_response_is_aborted() -> None:
    """The client does not close its side of the connection after the last response. The proxy must abort the
    connection, which would otherwise keep a file descriptor in use."""
    async with running_server(ScriptedDecider(leave_pending)) as server:
        clock = ManualClock(server.clients)
        [(_, writer)] = await connect_clients(server, 1)
        writer.write(b"noise\r\n\r\n")
        connection = only_connection(server)
        while connection.state is not ClientState.CLOSING:
            await asyncio.sleep(0)
        clock.advance(1.25)
        while server.clients.connections:
            await asyncio.sleep(0)


@uvloop_test
async def test_clients_do_not_time_out_while_the_proxy_is_stalled() -> None:
    """The process is stalled for longer than the request timeout. The rest of a request may have arrived in
    the meantime without being read, so the request must not time out. A request must still time out if its
    client is slow while the proxy is running."""
    async with running_server(ScriptedDecider(reject_all)) as server:
        clients = server.clients
        reader, writer = await server.connect_client()
        writer.write(make_request()[:-4])
        while not clients.has_pending_work():
            await asyncio.sleep(0)
        stalled_until_s = clients.loop_time_s() + 100.0
        clients.loop_time_s = lambda: stalled_until_s
        clients._on_timeout_check_due()
        writer.write(make_request()[-4:])
        assert await read_status(reader) == "429"
        writer.write(make_request()[:-4])
        while not clients.has_pending_work():
            await asyncio.sleep(0)
        clients.timeout_check_due_s = stalled_until_s + REQUEST_TIMEOUT_S
        clients.loop_time_s = lambda: stalled_until_s + REQUEST_TIMEOUT_S + 0.1
        clients._on_timeout_check_due()
        assert await read_status(reader) == "408"

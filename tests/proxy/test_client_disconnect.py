"""Tests that no attempt starts for a client that has disconnected, and that its requests are released.

A client that no longer waits for a response closes its connection. Attempts that start after that would take
capacity from the requests of other clients. The event loop reports a disconnect only in its next iteration,
and does not report it at all while reading is paused (`ClientReader`). Therefore the proxy checks the socket
itself.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import cast

import pytest

from tests.client_side import (
    CONCURRENCY_1_SETTINGS,
    LARGE_BODY,
    LONG_DEADLINE_CLASSES,
    SMALL_BUFFER_BYTES,
    close,
    limit_send_buffer,
    only_connection,
    pipelined_requests,
    reset,
    wait_until_released,
)
from tests.loopback import (
    HEALTH_CHECK,
    DelayedConnectLoop,
    FakeServer,
    RunningServer,
    ScriptedDecider,
    Streams,
    endpoint_list_dict,
    forward_all,
    leave_pending,
    make_request,
    make_response,
    member_dict,
    read_message,
    read_status,
    running_server,
    running_server_with_backend,
    settings_dict,
    uvloop_test,
)
from tests.upstream_side import next_request
from yardlane.decisions.actions import Action, StartAttempt
from yardlane.decisions.events import AttemptEnded, Event, Outcome, RequestArrived, RequestEnded
from yardlane.decisions.gateway import Gateway
from yardlane.proxy.attempt import Attempt
from yardlane.proxy.client_connection import MAX_PENDING_REQUESTS, ClientConnection

Disconnect = Callable[[asyncio.StreamWriter], None]

NOT_RUN_RESPONSE = make_response(503, header_lines="X-Never-Ran: 1\r\n")  # allows a retry at another endpoint


def half_close(writer: asyncio.StreamWriter) -> None:
    writer.write_eof()


def parametrize_disconnect(test: Callable[[Disconnect], Awaitable[None]]) -> Callable[[Disconnect], None]:
    """Parametrize a test by how the client disconnects: with a close, a reset or a half-close."""

    def run(disconnect: Disconnect) -> None:
        async def run_test() -> None:
            await test(disconnect)

        uvloop_test(run_test)()

    run.__name__ = getattr(test, "__name__", "run")
    return pytest.mark.parametrize("disconnect", [close, reset, half_close])(run)


# Disconnects that the event loop reports, or that the periodic timeout check finds.


@parametrize_disconnect
async def test_disconnect_during_upstream_connect_ends_the_attempt_as_not_sent(
    disconnect: Disconnect,
) -> None:
    """The client disconnects while the connection to the backend is being established. The attempt must end
    as NOT_SENT, and the backend must not get a connection."""
    script = ScriptedDecider(forward_all)
    async with running_server_with_backend(script) as (server, backend):
        delayed = DelayedConnectLoop(server, backend.port)
        _, to_proxy = await server.connect_client()
        to_proxy.write(make_request())
        await delayed.connect_requested.wait()
        disconnect(to_proxy)
        await script.wait_for(RequestEnded)
        delayed.may_connect.set()
        assert [e.outcome for e in await script.wait_for(AttemptEnded)] == [Outcome.NOT_SENT]
        await wait_until_released(server)
        assert backend.accepted.empty()


async def wait_until_request_queued(gateway: Gateway) -> None:
    while not any(tenant.queue for tenant in gateway.tenants.values()):
        await asyncio.sleep(0)


async def answer_next_request(backend: FakeServer, idle: Streams) -> str:
    """Answer the next request, on the `idle` connection or a new one; return the request's trace id."""
    trace, writer = await next_request(backend, idle)
    writer.write(make_response())
    return trace


@parametrize_disconnect
async def test_disconnect_while_queued_frees_the_place_in_the_queue(disconnect: Disconnect) -> None:
    """The client of a queued request disconnects. The next request must take its place in the queue, and the
    gateway must not keep any state of the request whose client has disconnected."""
    async with running_server_with_backend(settings=CONCURRENCY_1_SETTINGS) as (server, backend):
        gateway = cast(Gateway, server.proxy.decision_loop.decider)
        first, to_first = await server.connect_client()
        to_first.write(make_request(trace="first"))
        reader, writer = await backend.accept_connection()
        assert (await read_message(reader))[1]["x-trace-id"] == "first"
        _, to_proxy = await server.connect_client()
        to_proxy.write(make_request(trace="second"))
        await wait_until_request_queued(gateway)
        disconnect(to_proxy)
        while len(server.proxy.requests) > 1:
            await asyncio.sleep(0)
        third, to_third = await server.connect_client()
        to_third.write(make_request(trace="third"))
        await wait_until_request_queued(gateway)
        writer.write(make_response())
        assert await read_status(first) == "200"
        assert await answer_next_request(backend, (reader, writer)) == "third"
        assert await read_status(third) == "200"
        while server.proxy.requests:
            await asyncio.sleep(0)
        [tenant] = gateway.tenants.values()
        assert (tenant.in_flight, tenant.queue, gateway.concurrency.in_flight, gateway.requests) == (
            0,
            [],
            0,
            {},
        )


@parametrize_disconnect
async def test_disconnect_before_a_retry_prevents_the_retry(disconnect: Disconnect) -> None:
    """The client disconnects during the first attempt. The endpoint reports that it has not run the request,
    which would allow a retry at the other endpoint. The retry must not be sent."""
    async with (
        FakeServer() as one,
        FakeServer() as two,
        running_server(
            known=endpoint_list_dict(member_dict("s-1", one.port), member_dict("s-2", two.port))
        ) as server,
    ):
        gateway = cast(Gateway, server.proxy.decision_loop.decider)
        _, to_proxy = await server.connect_client()
        to_proxy.write(make_request())
        arrivals = [asyncio.ensure_future(backend.accept_connection()) for backend in (one, two)]
        done, pending = await asyncio.wait(arrivals, return_when=asyncio.FIRST_COMPLETED)
        for task in pending:
            task.cancel()
        [first] = done
        reader, writer = first.result()
        await read_message(reader)
        disconnect(to_proxy)
        [request] = server.proxy.requests.values()
        while not request.has_ended:
            await asyncio.sleep(0)
        writer.write(NOT_RUN_RESPONSE)
        while gateway.requests:
            await asyncio.sleep(0)
        assert gateway.concurrency.in_flight == 0
        await server.fetch(HEALTH_CHECK)
        assert one.accepted.empty() and two.accepted.empty()


@parametrize_disconnect
async def test_timeout_check_finds_a_disconnect_on_a_paused_connection(disconnect: Disconnect) -> None:
    """Reading is paused, so the event loop does not report the disconnect. The periodic timeout check must
    find it."""
    script = ScriptedDecider(leave_pending)
    async with running_server(script, settings=settings_dict(profiles=LONG_DEADLINE_CLASSES)) as server:
        _, to_proxy = await server.connect_client()
        to_proxy.write(pipelined_requests(MAX_PENDING_REQUESTS, X_Expires_In="60000m"))
        await script.wait_for(RequestArrived, MAX_PENDING_REQUESTS)
        pause_reading(server)
        disconnect(to_proxy)
        await script.wait_for(RequestEnded, MAX_PENDING_REQUESTS)
        await wait_until_released(server)


# Disconnects that only the check before an attempt can find: the event loop does not report them, because
# reading is paused or it has not handled the close yet, and the periodic timeout checks are stopped.


def stop_timeout_checks_and_record_attempts(server: RunningServer) -> list[Attempt]:
    """Stop the periodic timeout checks; return a list that collects the attempts that start from now on."""
    server.clients.check_all_timeouts = lambda: None  # type: ignore[method-assign]
    started_attempts: list[Attempt] = []
    send = server.pool.send

    def record_and_send(attempt: Attempt) -> None:
        started_attempts.append(attempt)
        send(attempt)

    server.pool.send = record_and_send  # type: ignore[method-assign]
    return started_attempts


def pause_reading(server: RunningServer) -> None:
    """Pause reading from the only connection, as if its client did not read its responses."""
    connection = only_connection(server)
    assert connection.transport is not None
    connection.transport.pause_reading()


async def fill_pipeline(server: RunningServer) -> asyncio.StreamWriter:
    """Connect a client that sends `MAX_PENDING_REQUESTS`, and pause reading from its connection."""
    _, to_proxy = await server.connect_client()
    to_proxy.write(pipelined_requests(MAX_PENDING_REQUESTS))
    while len(server.proxy.requests) < MAX_PENDING_REQUESTS:
        await asyncio.sleep(0)
    pause_reading(server)
    return to_proxy


async def wait_until_disconnect_detectable(server: RunningServer) -> None:
    """Wait until the kernel knows that the client has disconnected; assert that reading is paused."""
    connection = only_connection(server)
    assert connection.transport is not None and not connection.transport.is_reading()
    while not connection.is_client_disconnected():
        await asyncio.sleep(0)


async def read_first_byte(reader: asyncio.StreamReader) -> bytes:
    """Return the first byte of a request, or no bytes if the connection is closed before one arrives."""
    with suppress(ConnectionError):
        return await reader.read(1)
    return b""


@parametrize_disconnect
async def test_first_attempt_does_not_start_after_disconnect(disconnect: Disconnect) -> None:
    """The decider starts the first attempt of a request after the client has disconnected. The proxy must not
    send it, and must end all requests of the connection."""
    script = ScriptedDecider(leave_pending)
    async with running_server_with_backend(script) as (server, _):
        started_attempts = stop_timeout_checks_and_record_attempts(server)
        disconnect(await fill_pipeline(server))
        await wait_until_disconnect_detectable(server)
        server.proxy.apply(StartAttempt(1, b"s-1"))
        assert not started_attempts
        await script.wait_for(RequestEnded, MAX_PENDING_REQUESTS)
        await wait_until_released(server)


@parametrize_disconnect
async def test_queued_request_is_not_sent_after_disconnect(disconnect: Disconnect) -> None:
    """One request is in flight, and the concurrency limit keeps the others of the same connection queued.
    When the first one ends after the disconnect, none of the queued requests may be sent."""
    async with running_server_with_backend(settings=CONCURRENCY_1_SETTINGS) as (server, backend):
        started_attempts = stop_timeout_checks_and_record_attempts(server)
        to_proxy = await fill_pipeline(server)
        reader, writer = await backend.accept_connection()
        await read_message(reader)
        disconnect(to_proxy)
        await wait_until_disconnect_detectable(server)
        writer.write(make_response())
        while server.proxy.requests and len(started_attempts) < 2:
            await asyncio.sleep(0)
        assert [attempt.request_id for attempt in started_attempts] == [1]
        gateway = cast(Gateway, server.proxy.decision_loop.decider)
        while gateway.requests or gateway.concurrency.in_flight:
            await asyncio.sleep(0)


@parametrize_disconnect
async def test_retry_does_not_start_after_disconnect(disconnect: Disconnect) -> None:
    """After the disconnect, the backend reports that it has not run any of the four requests, and the decider
    starts a retry of each. None of the retries may be sent."""

    def retry(event: Event) -> list[Action]:
        if isinstance(event, AttemptEnded) and not event.request_ended:
            return [StartAttempt(event.request_id, b"s-1")]
        return forward_all(event)

    script = ScriptedDecider(retry)
    async with running_server_with_backend(script) as (server, backend):
        started_attempts = stop_timeout_checks_and_record_attempts(server)
        to_proxy = await fill_pipeline(server)
        streams = [await backend.accept_connection() for _ in range(MAX_PENDING_REQUESTS)]
        for reader, _ in streams:
            await read_message(reader)
        disconnect(to_proxy)
        await wait_until_disconnect_detectable(server)
        for _, writer in streams:
            writer.write(NOT_RUN_RESPONSE)
        while server.proxy.requests and len(started_attempts) == MAX_PENDING_REQUESTS:
            await asyncio.sleep(0)
        assert [attempt.attempt_index for attempt in started_attempts] == [0] * MAX_PENDING_REQUESTS
        await script.wait_for(RequestEnded, MAX_PENDING_REQUESTS)


@parametrize_disconnect
async def test_nothing_is_sent_on_an_upstream_connection_established_after_disconnect(
    disconnect: Disconnect,
) -> None:
    """The upstream connections of the attempts are established only after the disconnect. Nothing may be sent
    on them."""
    script = ScriptedDecider(forward_all)
    async with running_server_with_backend(script) as (server, backend):
        stop_timeout_checks_and_record_attempts(server)
        delayed = DelayedConnectLoop(server, backend.port)
        to_proxy = await fill_pipeline(server)
        await delayed.connect_requested.wait()
        disconnect(to_proxy)
        await wait_until_disconnect_detectable(server)
        delayed.may_connect.set()
        reader, _ = await backend.accept_connection()
        assert await read_first_byte(reader) == b""
        ends = await script.wait_for(AttemptEnded, MAX_PENDING_REQUESTS)
        assert {(e.outcome, e.request_ended) for e in ends} == {(Outcome.NOT_SENT, True)}
        await script.wait_for(RequestEnded, MAX_PENDING_REQUESTS)
        await wait_until_released(server)
        while not backend.accepted.empty():
            assert await read_first_byte((await backend.accept_connection())[0]) == b""


async def connect_slow_reader(
    server: RunningServer, requests: int
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, ClientConnection]:
    """Connect a client that sends `requests` requests and reads no response until the test resumes reading.

    The kernel's buffers on both sides hold far less than one response with `LARGE_BODY`.
    """
    client_socket = socket.socket()
    client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    client_socket.connect(("127.0.0.1", server.clients.port()))
    client_socket.setblocking(False)
    reader, to_proxy = await asyncio.open_connection(sock=client_socket)
    cast(asyncio.Transport, to_proxy.transport).pause_reading()
    to_proxy.write(pipelined_requests(requests))
    while len(server.proxy.requests) < requests:
        await asyncio.sleep(0)
    connection = only_connection(server)
    limit_send_buffer(connection)
    return reader, to_proxy, connection


def forward_all_except(held_id: int) -> ScriptedDecider:
    """Return a decider that forwards all requests except one, which stays pending."""

    def reply(event: Event) -> list[Action]:
        return [] if isinstance(event, RequestArrived) and event.request_id == held_id else forward_all(event)

    return ScriptedDecider(reply)


@parametrize_disconnect
async def test_attempt_does_not_start_after_a_client_that_reads_no_responses_disconnects(
    disconnect: Disconnect,
) -> None:
    """Large responses fill the write buffer, so reading is paused although only one request is pending. That
    request's attempt must not start after the disconnect."""
    script = forward_all_except(4)
    async with running_server_with_backend(script) as (server, backend):
        _, to_proxy, connection = await connect_slow_reader(server, 4)
        for _ in range(3):
            reader, writer = await backend.accept_connection()
            await read_message(reader)
            writer.write(make_response(200, LARGE_BODY))
        while not connection.is_write_buffer_full or len(connection.pending) > 1:
            await asyncio.sleep(0)
        started_attempts = stop_timeout_checks_and_record_attempts(server)
        disconnect(to_proxy)
        await wait_until_disconnect_detectable(server)
        server.proxy.apply(StartAttempt(4, b"s-1"))
        assert not started_attempts
        await script.wait_for(RequestEnded)


@uvloop_test
async def test_attempt_does_not_start_after_half_close_while_a_response_is_being_written() -> None:
    """The client half-closes the connection while a response is still in the write buffer. The pending
    request must get no attempt, but the response must still be delivered."""
    script = forward_all_except(2)
    async with running_server_with_backend(script) as (server, backend):
        client, to_proxy, connection = await connect_slow_reader(server, 2)
        reader, writer = await backend.accept_connection()
        await read_message(reader)
        writer.write(make_response(200, LARGE_BODY))  # too little to pause reading
        while len(connection.pending) > 1:
            await asyncio.sleep(0)
        started_attempts = stop_timeout_checks_and_record_attempts(server)
        half_close(to_proxy)
        await script.wait_for(RequestEnded)
        assert connection.transport is not None and connection.transport.get_write_buffer_size() > 0
        server.proxy.apply(StartAttempt(2, b"s-1"))
        assert not started_attempts
        cast(asyncio.Transport, to_proxy.transport).resume_reading()
        assert (await read_message(client))[2] == LARGE_BODY


@pytest.mark.parametrize(
    "disconnect",
    [socket.socket.close, lambda client_socket: client_socket.shutdown(socket.SHUT_WR)],
    ids=["close", "half_close"],
)
def test_attempt_does_not_start_for_a_request_that_arrives_together_with_the_close(
    disconnect: Callable[[socket.socket], None],
) -> None:
    """A request and the close of its connection arrive in the same event loop iteration, and the event loop
    reads the request first. The proxy must notice the close before it sends an attempt."""

    @uvloop_test
    async def run() -> None:
        script = ScriptedDecider(forward_all)
        async with running_server_with_backend(script) as (server, backend):
            server.pool.reuse_policy.reuse_delay_s = 0.0
            client, to_proxy = await server.connect_client()
            to_proxy.write(make_request(trace="first"))
            reader, writer = await backend.accept_connection()
            await read_message(reader)
            writer.write(make_response())
            await read_message(client)
            started_attempts = stop_timeout_checks_and_record_attempts(server)
            with socket.create_connection(("127.0.0.1", server.clients.port())) as client_socket:
                client_socket.sendall(make_request())
                disconnect(client_socket)
                assert [e.request_id for e in await script.wait_for(RequestEnded)] == [2]
            assert not started_attempts

    run()

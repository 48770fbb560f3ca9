"""Tests that a slowly established connection to a backend sends its request only if that is still allowed.

While the connection is being established, the request may get its final answer, the endpoint may begin to
drain, or the time until which the request may be sent may pass. If the request were sent after that, it could
run twice, or run although the proxy has promised that it would not.
"""

import asyncio

import pytest

from tests.client_side import LONG_DEADLINE_CLASSES, wait_until_released
from tests.loopback import (
    HEALTH_CHECK,
    TEST_TIMEOUT_S,
    DelayedConnectLoop,
    FakeServer,
    ScriptedDecider,
    attempt_at_each,
    encode_json,
    endpoint_list_dict,
    forward_all,
    make_request,
    make_response,
    member_dict,
    read_message,
    read_status,
    running_server,
    running_server_with_backend,
    settings_dict,
    uvloop_test,
    wait_until,
)
from yardlane.decisions.actions import Action, Fail, StartAttempt
from yardlane.decisions.events import AttemptEnded, Event, Outcome


@uvloop_test
async def test_hedge_still_connecting_when_the_first_attempt_succeeds_is_not_sent() -> None:
    """Two attempts run at the same time. The second is still connecting when the first gets the response."""
    script = ScriptedDecider(attempt_at_each(b"s-1", b"s-2"))
    async with (
        FakeServer() as first,
        FakeServer() as second,
        running_server(
            script, known=endpoint_list_dict(member_dict("s-1", first.port), member_dict("s-2", second.port))
        ) as server,
    ):
        delayed = DelayedConnectLoop(server, second.port)
        client, to_proxy = await server.connect_client()
        to_proxy.write(make_request())
        reader, writer = await first.accept_connection()
        await read_message(reader)
        writer.write(make_response())
        assert await read_status(client) == "200"
        delayed.may_connect.set()
        ends = await script.wait_for(AttemptEnded, 2)
        assert {e.attempt_index: (e.outcome, e.request_ended) for e in ends} == {
            0: (Outcome.OK, True),
            1: (Outcome.NOT_SENT, True),
        }
        await server.fetch(HEALTH_CHECK)
        assert second.accepted.empty()


@uvloop_test
async def test_attempt_still_connecting_when_its_request_ends_is_not_sent() -> None:
    """The decisions fail the request while its only attempt is still connecting."""
    script = ScriptedDecider(forward_all)
    async with running_server_with_backend(script) as (server, backend):
        delayed = DelayedConnectLoop(server, backend.port)
        client, to_proxy = await server.connect_client()
        to_proxy.write(make_request())
        await delayed.connect_requested.wait()
        server.proxy.apply(Fail(1))
        assert await read_status(client) == "502"
        delayed.may_connect.set()
        assert [e.outcome for e in await script.wait_for(AttemptEnded)] == [Outcome.NOT_SENT]
        await wait_until_released(server)
        assert backend.accepted.empty()


@uvloop_test
async def test_attempt_still_connecting_to_a_draining_endpoint_is_not_sent() -> None:
    """An endpoint begins to drain while an attempt is connecting to it. The request is sent to another
    endpoint instead."""

    def retry_on_second_endpoint(event: Event) -> list[Action]:
        if isinstance(event, AttemptEnded) and event.outcome is Outcome.NOT_CONNECTED:
            return [StartAttempt(event.request_id, b"s-2")]
        return forward_all(event)

    script = ScriptedDecider(retry_on_second_endpoint)
    async with FakeServer() as one, FakeServer() as two, FakeServer() as discovery:
        first, second = member_dict("s-1", one.port), member_dict("s-2", two.port)
        async with running_server(
            script, known=endpoint_list_dict(first, second), discovery=f"127.0.0.1:{discovery.port}"
        ) as server:
            server.pool.connect_timeout_s = TEST_TIMEOUT_S
            from_proxy, to_discovery_client = await discovery.accept_connection()
            await read_message(from_proxy)
            delayed = DelayedConnectLoop(server, one.port)
            client, to_proxy = await server.connect_client()
            to_proxy.write(make_request())
            await delayed.connect_requested.wait()
            update = endpoint_list_dict({**first, "phase": "Terminating"}, second)
            to_discovery_client.write(make_response(200, encode_json(update)))
            reader, writer = await two.accept_connection()
            await read_message(reader)
            writer.write(make_response())
            assert await read_status(client) == "200"
            delayed.may_connect.set()
            await server.fetch(HEALTH_CHECK)
            assert one.accepted.empty()


@uvloop_test
async def test_connect_timeout_does_not_end_an_attempt_that_was_already_sent() -> None:
    """A connection is established and used, but the call that opened it returns only after the connect
    timeout. The timeout must not end the attempt, because its request has been sent."""
    script = ScriptedDecider(forward_all)
    async with running_server_with_backend(script) as (server, backend):
        pool = server.pool
        pool.connect_timeout_s = 0.05
        delayed = DelayedConnectLoop(server, backend.port)
        delayed.may_connect.set()
        delayed.may_return = asyncio.Event()
        client, to_proxy = await server.connect_client()
        to_proxy.write(make_request())
        reader, writer = await backend.accept_connection()
        await read_message(reader)
        timed_out_at = delayed.loop.time() + 2 * pool.connect_timeout_s
        await wait_until(lambda: delayed.loop.time() >= timed_out_at)
        writer.write(make_response())
        assert await read_status(client) == "200"
        delayed.may_return.set()
        assert [e.outcome for e in await script.wait_for(AttemptEnded)] == [Outcome.OK]


# Without the timer, the test simulates a process that was suspended, so that the timer has not fired yet.
@pytest.mark.parametrize("has_timer", [True, False])
def test_attempt_is_not_sent_after_its_send_deadline(has_timer: bool) -> None:
    """An upstream remembers an idempotency key only for a limited time after the first attempt. This
    connection is established after that time, so the request could run a second time if it were sent."""

    async def run() -> None:
        script = ScriptedDecider(attempt_at_each(b"s-1", send_within_us=30_000))
        async with running_server_with_backend(
            script, settings=settings_dict(profiles=LONG_DEADLINE_CLASSES)
        ) as (
            server,
            backend,
        ):
            server.pool.connect_timeout_s = TEST_TIMEOUT_S
            delayed = DelayedConnectLoop(server, backend.port)
            _, to_proxy = await server.connect_client()
            to_proxy.write(make_request("file", X_Expires_In="60000m"))
            await delayed.connect_requested.wait()
            if has_timer:
                [ended] = await script.wait_for(AttemptEnded)
                assert not ended.request_ended
            else:
                [request] = server.proxy.requests.values()
                assert request.attempts[0].send_deadline_timer is not None
                request.attempts[0].send_deadline_timer.cancel()
                server.proxy.clock.offset_ns += 10**9
            delayed.may_connect.set()
            assert [e.outcome for e in await script.wait_for(AttemptEnded)] == [Outcome.NOT_CONNECTED]
            server.proxy.apply(Fail(1))
            await wait_until_released(server)
            assert backend.accepted.empty() or not await (await backend.accept_connection())[0].read()

    uvloop_test(run)()


@uvloop_test
async def test_attempt_sent_before_its_send_deadline_keeps_its_whole_timeout() -> None:
    """The send deadline limits only the sending: an attempt that was sent in time still waits for its
    response."""
    script = ScriptedDecider(forward_all)
    async with running_server_with_backend(script) as (server, backend):
        server.pool.reuse_policy.reuse_delay_s = 0.0
        client, to_proxy = await server.connect_client()
        to_proxy.write(make_request("file"))
        reader, writer = await backend.accept_connection()
        await read_message(reader)
        writer.write(make_response())
        await read_message(client)
        script.reply = attempt_at_each(b"s-1", send_within_us=1)
        to_proxy.write(make_request("file", trace="second"))  # sent at once on the idle connection
        await read_message(reader)
        server.proxy.requests[2].attempts[0].on_send_deadline()  # as when its timer fires
        writer.write(make_response())
        assert await read_status(client) == "200"

"""Tests how long connections must and may be idle before reuse: `ReusePolicy` alone, and in the pool."""

import asyncio
import os

import pytest

from tests.loopback import (
    ScriptedDecider,
    Streams,
    forward_all,
    make_request,
    make_response,
    read_message,
    read_status,
    running_server_with_backend,
    uvloop_test,
    wait_until,
)
from tests.upstream_side import accept_request, forward, serve_on_new_connection
from yardlane.proxy.connection_reuse import DEFAULT_REUSE_DELAY_S, MAX_SHARED_REUSE_DELAY_S, ReusePolicy

NO_REUSE_DELAY_S = 0.0


def test_unsolicited_bytes_from_one_upstream_delay_reuse_for_others_only_slightly() -> None:
    """An upstream repeatedly sends unsolicited bytes long after its last response. Its own reuse delay rises
    to twice that lateness, the shared one only doubles, and both decay. If the shared delay followed one
    faulty upstream, the connections to all others would rarely be reused."""
    policy = ReusePolicy(keepalive_s=30.0)
    for _ in range(100):
        policy.on_unsolicited_bytes(b"s-1", 5.0)
    assert (
        policy.endpoint_reuse_delays_s == {b"s-1": 10.0} and policy.reuse_delay_s == 2 * DEFAULT_REUSE_DELAY_S
    )
    policy.on_unsolicited_bytes(b"s-2", 3 * DEFAULT_REUSE_DELAY_S)
    assert policy.reuse_delay_s == 4 * DEFAULT_REUSE_DELAY_S
    for number in range(100):
        policy.on_unsolicited_bytes(b"t-%d" % number, 1e6)
    assert policy.reuse_delay_s == MAX_SHARED_REUSE_DELAY_S
    assert max(policy.endpoint_reuse_delays_s.values()) == policy.max_idle_limit_s
    policy.forget_endpoint(b"t-1")
    assert b"t-1" not in policy.endpoint_reuse_delays_s
    for _ in range(1000):
        policy.relax_bounds()
    assert policy.reuse_delay_s == DEFAULT_REUSE_DELAY_S and not policy.endpoint_reuse_delays_s


def test_idle_limit_recovers_with_successful_reuse_and_over_time() -> None:
    """Reusing connections failed, and the cause is gone. If the idle limit stayed short, nearly every request
    would need a new connection from then on."""
    policy = ReusePolicy(keepalive_s=30.0)
    policy.on_reuse_failed(5.0)
    assert 3.0 < policy.idle_limit_s < 5.0 < policy.max_idle_limit_s
    for _ in range(1000):
        policy.on_reuse_succeeded(policy.idle_limit_s)
    assert policy.idle_limit_s == policy.max_idle_limit_s
    policy.on_reuse_failed(0.0)
    for _ in range(100):
        policy.relax_bounds()
    assert policy.idle_limit_s == policy.max_idle_limit_s


def test_reuse_delay_of_an_upstream_is_the_longer_of_its_own_and_the_shared_one() -> None:
    """One upstream sent unsolicited bytes one second late. If only the shared reuse delay applied to it, its
    next late bytes would answer another client's request. If its own delay applied to all upstreams, no
    connection would be reused."""
    policy = ReusePolicy(keepalive_s=30.0)
    assert policy.reuse_delay_of(b"s-1") == DEFAULT_REUSE_DELAY_S
    policy.on_unsolicited_bytes(b"s-1", 1.0)
    assert policy.reuse_delay_of(b"s-1") == 2.0
    assert policy.reuse_delay_of(b"s-2") == policy.reuse_delay_s == 2 * DEFAULT_REUSE_DELAY_S


@uvloop_test
async def test_connection_is_not_reused_before_the_reuse_delay_has_passed() -> None:
    """A second request arrives while the only connection is still within its reuse delay. If it were sent on
    that connection, a late second response to the first request could answer it."""
    async with running_server_with_backend(ScriptedDecider(forward_all)) as (server, backend):
        server.pool.reuse_policy.reuse_delay_s = 1e6
        client = await server.connect_client()
        for trace in ("a1", "a2"):
            await serve_on_new_connection(client, backend, trace)


@uvloop_test
async def test_failed_reuse_shortens_the_idle_limit() -> None:
    """A backend forgets an idle connection without closing it, so the check before reuse finds nothing, and
    the next request on it is lost. Connections that have been idle for as long are then closed instead of
    reused."""
    async with running_server_with_backend(ScriptedDecider(forward_all)) as (server, backend):
        pool = server.pool
        pool.reuse_policy.reuse_delay_s = NO_REUSE_DELAY_S
        client = await server.connect_client()
        client_reader, to_proxy = client
        reader, writer = await serve_on_new_connection(client, backend, "a1")
        pool.idle[b"s-1"][0].idle_since_s -= 5.0
        to_proxy.write(make_request(trace="a2"))
        await read_message(reader)
        writer.transport.abort()
        assert await read_status(client_reader) == "502"
        assert 3.0 < pool.reuse_policy.idle_limit_s < 5.0 < pool.reuse_policy.max_idle_limit_s
        await serve_on_new_connection(client, backend, "a3")
        pool.idle[b"s-1"][0].idle_since_s -= 5.0
        to_proxy.write(make_request(trace="a4"))
        await accept_request(backend, "a4")


@pytest.mark.parametrize("is_read", [True, False])
def test_reuse_delay_exceeds_the_lateness_of_a_second_response(is_read: bool) -> None:
    """A backend answers a request a second time, three seconds later. Either the event loop reads the second
    response, or the check of the socket before reuse detects it. Afterwards connections to this backend have
    a longer reuse delay."""

    @uvloop_test
    async def run() -> None:
        async with running_server_with_backend(ScriptedDecider(forward_all)) as (server, backend):
            pool = server.pool
            client = await server.connect_client()

            async def served_and_idle_for(trace: str, idle_s: float) -> asyncio.StreamWriter:
                _, writer = await serve_on_new_connection(client, backend, trace)
                pool.idle[b"s-1"][-1].idle_since_s -= idle_s
                return writer

            writer = await served_and_idle_for("a1", 3.0)
            os.write(writer.get_extra_info("socket").fileno(), make_response(200, b"stale"))
            await wait_until(lambda: not is_read or not pool.connections)
            assert pool._take_idle(b"s-1") is None
            await served_and_idle_for("a2", 4.0)
            assert pool._take_idle(b"s-1") is None
            pool.idle[b"s-1"][0].idle_since_s -= 3.0
            assert pool._take_idle(b"s-1") is not None

    run()


@pytest.mark.parametrize("stray", [make_response(200, b"stale"), b"noise", make_response(200, b"stale")[:20]])
def test_unsolicited_bytes_never_answer_the_next_request(stray: bytes) -> None:
    """A backend sends unsolicited bytes, together with the response or later. They must not answer the next
    client's request: the connection is closed, and the next request is sent on a new connection."""

    async def serve(client: Streams, writer: asyncio.StreamWriter, body: bytes, extra: bytes = b"") -> None:
        writer.write(make_response(200, body) + extra)
        assert (await read_message(client[0]))[2] == body

    @uvloop_test
    async def run() -> None:
        async with running_server_with_backend(ScriptedDecider(forward_all)) as (server, backend):
            pool = server.pool
            pool.reuse_policy.reuse_delay_s = NO_REUSE_DELAY_S
            client, (_, writer) = await forward(server, backend, make_request(trace="a0"))
            await serve(client, writer, b"first", stray)
            client[1].write(make_request(trace="a1"))
            _, writer = await accept_request(backend, "a1")
            await serve(client, writer, b"second")
            idle = pool.idle[b"s-1"][0]
            assert idle.is_reusable()
            os.write(writer.get_extra_info("socket").fileno(), stray)
            assert not idle.is_reusable()  # the bytes have arrived, and the event loop has not read them yet
            client[1].write(make_request(trace="b1"))
            _, writer = await accept_request(backend, "b1")
            await serve(client, writer, b"third")

    run()

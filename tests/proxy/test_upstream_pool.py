"""Tests which connection an attempt gets, and how the pool closes connections and limits their number."""

from __future__ import annotations

import asyncio
import gc
import weakref
from typing import Any

from tests.loopback import (
    ScriptedDecider,
    attempt_at_each,
    endpoint_list_dict,
    forward_all,
    make_config,
    make_request,
    make_response,
    member_dict,
    read_message,
    read_status,
    running_server_with_backend,
    uvloop_test,
    wait_until,
)
from tests.upstream_side import accept_request, forward, serve_on_new_connection
from yardlane.decisions.actions import Action
from yardlane.decisions.events import AttemptEnded, Event, Outcome
from yardlane.proxy.upstream_pool import UpstreamPool

NO_REUSE_DELAY_S = 0.0


@uvloop_test
async def test_idle_connection_closed_by_the_backend_is_not_reused() -> None:
    """A backend closes an idle connection. A request sent on it would be lost, and a non-idempotent request
    would fail for its client."""
    async with running_server_with_backend(ScriptedDecider(forward_all)) as (server, backend):
        client = await server.connect_client()
        _, writer = await serve_on_new_connection(client, backend, "a1")
        writer.close()
        await wait_until(lambda: not server.pool.connections)
        client[1].write(make_request(trace="a2"))
        await accept_request(backend, "a2")


@uvloop_test
async def test_attempt_beyond_the_connection_limit_ends_as_not_sent() -> None:
    """All file descriptors for upstreams are in use. This is not the backend's fault: an outcome that counts
    as its failure would have it ejected as an outlier."""
    script = ScriptedDecider(attempt_at_each(b"s-1"))
    async with running_server_with_backend(script) as (server, backend):
        server.pool.max_connections = 1
        _, first = await server.connect_client()
        first.write(make_request())
        await backend.accept_connection()
        _, second = await server.connect_client()
        second.write(make_request(trace="a2"))
        assert [e.outcome for e in await script.wait_for(AttemptEnded)] == [Outcome.NOT_SENT]


@uvloop_test
async def test_longest_idle_connection_is_closed_to_make_room_for_another_backend() -> None:
    """Idle connections to other backends hold all file descriptors for upstreams. If none of them were
    closed, a request to another backend could not be sent although no connection is in use."""

    def first_then_second_endpoint(event: Event) -> list[Action]:
        return forward_all(event, b"s-2" if getattr(event, "request_id", 0) > 1 else b"s-1")

    async with running_server_with_backend(ScriptedDecider(first_then_second_endpoint)) as (server, backend):
        server.pool.max_connections = 1
        update = server.discovery.decoder.decode(
            endpoint_list_dict(member_dict("s-1", backend.port), member_dict("s-2", backend.port))
        )
        server.proxy.apply_update(update.update, update.addresses)
        client = await server.connect_client()
        reader, _ = await serve_on_new_connection(client, backend, "a1")
        await serve_on_new_connection(client, backend, "a2")
        assert await reader.read() == b""
        assert list(server.pool.idle) == [b"s-2"]


@uvloop_test
async def test_attempt_at_an_endpoint_without_an_address_ends_as_not_sent() -> None:
    """The decisions choose an endpoint whose address could not be parsed. The attempt ends at once as not
    sent. If it never ended, its request would wait until the deadline."""
    script = ScriptedDecider(lambda event: forward_all(event, b"s-2"))
    async with running_server_with_backend(script) as (server, backend):
        line, _, _ = await server.fetch(make_request())
        assert line.split()[1] == "502"
        assert [e.outcome for e in await script.wait_for(AttemptEnded)] == [Outcome.NOT_SENT]
        assert backend.accepted.empty()


@uvloop_test
async def test_new_endpoint_at_an_old_address_does_not_reuse_the_old_connections() -> None:
    """An endpoint is replaced by another one at the same address while it serves a request. The old
    connection completes that request and is closed, because it may still lead to the old process."""

    def send_to_old_then_new(event: Event) -> list[Action]:
        return forward_all(event, b"s-2" if getattr(event, "request_id", 0) > 1 else b"s-1")

    async with running_server_with_backend(ScriptedDecider(send_to_old_then_new)) as (server, backend):
        server.pool.reuse_policy.reuse_delay_s = NO_REUSE_DELAY_S
        (client, to_server), (reader, writer) = await forward(server, backend, make_request(trace="a1"))
        decoded = server.discovery.decoder.decode(endpoint_list_dict(member_dict("s-2", backend.port)))
        server.proxy.apply_update(decoded.update, decoded.addresses)
        writer.write(make_response(200, b"old"))
        assert (await read_message(client))[2] == b"old"
        assert await reader.read() == b""
        to_server.write(make_request(trace="a2"))
        await accept_request(backend, "a2")


@uvloop_test
async def test_closed_connection_leaves_no_reference_cycle() -> None:
    """Connection, reader and parser refer to each other. As a reference cycle they would stay in memory until
    the garbage collector runs, and its pauses grow with the number of objects that it has to collect."""
    async with running_server_with_backend(ScriptedDecider(forward_all)) as (server, backend):
        gc.disable()
        try:
            (client, _), (_, writer) = await forward(server, backend)
            held = next(iter(server.pool.connections))
            assert held.reader is not None
            references: list[weakref.ref[Any]] = [weakref.ref(held), weakref.ref(held.reader)]
            del held
            writer.write(make_response())
            assert await read_status(client) == "200"
            writer.close()
            await wait_until(lambda: all(reference() is None for reference in references))
        finally:
            gc.enable()


@uvloop_test
async def test_removing_an_endpoint_discards_its_reuse_delay() -> None:
    """Another process may take over the endpoint's address or id. It must not inherit the reuse delay that
    the removed endpoint caused."""
    pool = UpstreamPool(make_config(), 8, asyncio.get_running_loop())
    pool.reuse_policy.on_unsolicited_bytes(b"s-1", 5.0)
    pool.reuse_policy.on_unsolicited_bytes(b"s-2", 5.0)
    pool.remove_endpoint(b"s-1")
    assert list(pool.reuse_policy.endpoint_reuse_delays_s) == [b"s-2"]


@uvloop_test
async def test_maintenance_closes_expired_idle_connections_and_relaxes_the_bounds() -> None:
    """Once a second the pool closes idle connections that are too old to be reused, and relaxes the bounds of
    the idle time. Otherwise idle connections would hold file descriptors, and a bound that a short fault
    tightened would stay tight."""
    async with running_server_with_backend(ScriptedDecider(forward_all)) as (server, backend):
        pool = server.pool
        client = await server.connect_client()
        reader, _ = await serve_on_new_connection(client, backend, "a1")
        pool.idle[b"s-1"][0].idle_since_s -= 5.0
        pool._maintain()
        assert len(pool.connections) == 1
        pool.reuse_policy.on_reuse_failed(3.0)
        cut_s = pool.reuse_policy.idle_limit_s
        pool._maintain()
        assert cut_s < pool.reuse_policy.idle_limit_s < 5.0
        assert not pool.connections
        assert await reader.read() == b""

"""Tests that a process is known by its endpoint's id and start, and never by its address.

A new process may come up at the address of one that is gone, before, with or after the change of the list.
"""

import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest

from tests.discovery_responses import delta_response, snapshot_response
from tests.gateway_driver import make_endpoint
from tests.loopback import (
    DelayedConnectLoop,
    FakeServer,
    RunningServer,
    ScriptedDecider,
    Streams,
    accept_poll,
    forward_all,
    leave_pending,
    make_request,
    make_response,
    member_dict,
    read_message,
    read_status,
    running_server_with_discovery,
    uvloop_test,
)
from tests.upstream_side import forward, serve_on_new_connection
from yardlane.decisions.actions import Action
from yardlane.decisions.events import (
    AttemptEnded,
    EndpointListUpdate,
    EndpointState,
    Event,
    Outcome,
    RequestArrived,
    UpdateKind,
)
from yardlane.proxy.endpoint_addresses import restarted_endpoints, starts_after

LONG_AGO_MS = 0
ListResponse = Callable[..., bytes]


def now_ms() -> int:
    """Return the Unix time in milliseconds, rounded up."""
    return time.time_ns() // 1_000_000 + 1


class ListSource:
    """The discovery of a test: answers the open watch with the next list."""

    def __init__(self, discovery: FakeServer) -> None:
        self.discovery = discovery
        self.revision = 1
        self.streams: Streams | None = None

    async def tell(self, *members: dict[str, Any], make_list: ListResponse = snapshot_response) -> None:
        """Answer the open poll with a list, and wait until the next poll shows that it has been applied."""
        if self.streams is None:
            self.streams = await accept_poll(self.discovery)
        self.revision += 1
        self.streams[1].write(make_list(self.revision, *members))
        assert f"index={self.revision}&" in (await read_message(self.streams[0]))[0]


@asynccontextmanager
async def running_server_with_list(
    decider: ScriptedDecider | None = None,
) -> AsyncIterator[tuple[RunningServer, ListSource]]:
    """Run the whole program with a discovery that the test controls."""
    decider = decider or ScriptedDecider(forward_all)
    async with running_server_with_discovery(decider) as (server, discovery):
        server.pool.reuse_policy.reuse_delay_s = 0.0
        yield server, ListSource(discovery)


@pytest.mark.parametrize("make_list", [snapshot_response, delta_response], ids=["snapshot", "delta"])
def test_idle_connection_to_the_process_before_a_restart_is_not_reused(make_list: ListResponse) -> None:
    """The process of an endpoint is gone without a word, and a new one runs at the same address.

    The connection to the old one stayed in the pool. A request on it was lost, and a non-idempotent one
    failed.
    """

    @uvloop_test
    async def run() -> None:
        async with FakeServer() as backend, running_server_with_list() as (server, lists):
            await lists.tell(member_dict("s-1", backend.port, up_since_ms=LONG_AGO_MS))
            client = await server.connect_client()
            reader, _ = await serve_on_new_connection(client, backend, "a1")
            await lists.tell(member_dict("s-1", backend.port, up_since_ms=now_ms()), make_list=make_list)
            assert not server.pool.connections
            assert await reader.read() == b""
            await serve_on_new_connection(client, backend, "a2")

    run()


@uvloop_test
async def test_connection_to_the_new_process_is_kept_when_its_start_is_told() -> None:
    """A connection was established to the new process before the list told of its start."""
    async with FakeServer() as backend, running_server_with_list() as (server, lists):
        await lists.tell(member_dict("s-1", backend.port, up_since_ms=LONG_AGO_MS))
        started_at_ms = now_ms() - 10_000
        client = await server.connect_client()
        reader, writer = await serve_on_new_connection(client, backend, "a1")
        await lists.tell(member_dict("s-1", backend.port, up_since_ms=started_at_ms))
        client[1].write(make_request(trace="a2"))
        assert (await read_message(reader))[1]["x-trace-id"] == "a2"
        writer.write(make_response())
        assert await read_status(client[0]) == "200"


@uvloop_test
async def test_busy_connection_to_the_process_before_a_restart_is_not_reused() -> None:
    """A request is open at the old process when the list tells of the new one. Its answer still counts."""
    async with FakeServer() as backend, running_server_with_list() as (server, lists):
        await lists.tell(member_dict("s-1", backend.port, up_since_ms=LONG_AGO_MS))
        client, (reader, writer) = await forward(server, backend)
        await lists.tell(member_dict("s-1", backend.port, up_since_ms=now_ms()))
        writer.write(make_response())
        assert await read_status(client[0]) == "200"
        assert not server.pool.connections
        assert await reader.read() == b""
        await serve_on_new_connection(client, backend, "a2")


@uvloop_test
async def test_attempt_that_waits_for_a_connection_ends_when_the_endpoint_has_restarted() -> None:
    """An attempt was chosen for the old process, which was warm. The new one at its address is cold, and
    would get the request outside its budget."""
    script = ScriptedDecider(forward_all)
    async with FakeServer() as backend, running_server_with_list(script) as (server, lists):
        await lists.tell(member_dict("s-1", backend.port, up_since_ms=LONG_AGO_MS))
        delayed = DelayedConnectLoop(server, backend.port)
        _, to_server = await server.connect_client()
        to_server.write(make_request())
        await delayed.connect_requested.wait()
        await lists.tell(member_dict("s-1", backend.port, up_since_ms=now_ms()))
        assert not server.pool.connections
        assert [e.outcome for e in await script.wait_for(AttemptEnded)] == [Outcome.NOT_CONNECTED]
        delayed.may_connect.set()


def to_endpoint(endpoint_ids: list[bytes]) -> Callable[[Event], list[Action]]:
    """Return a `reply` that sends each request to the next of these endpoints."""
    left = list(endpoint_ids)

    def reply(event: Event) -> list[Action]:
        return forward_all(event, left.pop(0) if isinstance(event, RequestArrived) else b"")

    return reply


@uvloop_test
async def test_endpoints_that_swap_their_addresses_get_their_own_requests() -> None:
    """Two endpoints move to each other's address in one update. Each idle connection leads to the other."""
    script = ScriptedDecider(to_endpoint([b"s-1", b"s-2", b"s-1", b"s-2"]))
    async with (
        FakeServer() as one,
        FakeServer() as two,
        running_server_with_list(script) as (server, lists),
    ):
        await lists.tell(member_dict("s-1", one.port), member_dict("s-2", two.port))
        client = await server.connect_client()
        await serve_on_new_connection(client, one, "a1")
        await serve_on_new_connection(client, two, "a2")
        await lists.tell(member_dict("s-1", two.port), member_dict("s-2", one.port))
        await serve_on_new_connection(client, two, "a3")
        await serve_on_new_connection(client, one, "a4")


@pytest.mark.parametrize("is_told_before", [True, False], ids=["before its removal", "with its removal"])
def test_endpoint_at_the_address_of_another_one_gets_no_connection_of_it(is_told_before: bool) -> None:
    """A new endpoint is listed at the address of an old one, which has an idle connection."""

    @uvloop_test
    async def run() -> None:
        script = ScriptedDecider(to_endpoint([b"s-1", b"s-9"]))
        async with FakeServer() as backend, running_server_with_list(script) as (server, lists):
            await lists.tell(member_dict("s-1", backend.port))
            client = await server.connect_client()
            reader, _ = await serve_on_new_connection(client, backend, "a1")
            old = [member_dict("s-1", backend.port)] if is_told_before else []
            await lists.tell(*old, member_dict("s-9", backend.port, up_since_ms=now_ms()))
            await serve_on_new_connection(client, backend, "a2")
            if not is_told_before:
                assert await reader.read() == b""

    run()


@uvloop_test
async def test_discovery_that_starts_anew_with_lower_versions_is_followed_from_its_complete_list() -> None:
    """Discovery's process is replaced, and the new one counts its versions from the start.

    A watch for the old version would wait for one that comes much later, or never.
    """
    decider = ScriptedDecider(leave_pending)
    async with running_server_with_list(decider) as (_, lists):
        lists.revision = 40
        await lists.tell(member_dict("s-1", 9))
        assert lists.streams is not None
        lists.streams[1].transport.abort()
        reader, writer = await lists.discovery.accept_connection()
        assert "index=41&wait=1 " in (await read_message(reader))[0]  # answered at once, also by the new one
        writer.write(delta_response(2))
        reader, writer = await lists.discovery.accept_connection()
        assert "index" not in (await read_message(reader))[0]
        writer.write(snapshot_response(2, member_dict("s-1", 9, phase="Terminating")))
        assert "index=2&" in (await read_message(reader))[0]
        last = (await decider.wait_for(EndpointListUpdate, 3))[-1]
        assert (last.version, last.endpoints[0].state) == (2, EndpointState.DRAINING)


def make_update(kind: UpdateKind, **starts_us: int) -> EndpointListUpdate:
    endpoints = tuple(
        make_endpoint(0, endpoint_id=key.encode(), started_at_us=start) for key, start in starts_us.items()
    )
    return EndpointListUpdate(kind, 2, endpoints)


def test_starts_follow_the_list_and_only_known_endpoints_count_as_restarted() -> None:
    old = {b"a": 1, b"b": 2}
    after_delta = starts_after(old, make_update(UpdateKind.DELTA, b=3, c=4))
    assert after_delta == {b"a": 1, b"b": 3, b"c": 4}
    assert restarted_endpoints(old, after_delta) == [b"b"]
    after_snapshot = starts_after(old, make_update(UpdateKind.SNAPSHOT, b=2, c=4))
    assert after_snapshot == {b"b": 2, b"c": 4}
    assert restarted_endpoints(old, after_snapshot) == []

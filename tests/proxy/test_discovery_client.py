"""The endpoint list and its watch go on through errors, silence and versions that jump."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from tests.discovery_responses import delta, snapshot
from tests.loopback import (
    Peer,
    RunningServer,
    Script,
    Streams,
    answer,
    ask,
    hold_all,
    member,
    read_message,
    running,
    running_with_backend,
    send_all,
    settings,
    socket_test,
    whole_list,
)
from yardlane.decisions.decider import Decider
from yardlane.decisions.events import EndpointListUpdate, EndpointState, UpdateKind

FETCH = "GET /catalog/members HTTP"


@asynccontextmanager
async def running_with_discovery(
    decider: Decider | None = None, **changes: Any
) -> AsyncIterator[tuple[RunningServer, Peer]]:
    """The program beside a discovery that the test plays."""
    async with (
        Peer() as discovery,
        running(decider, discovery=f"127.0.0.1:{discovery.port}", **changes) as server,
    ):
        yield server, discovery


async def first_poll(discovery: Peer) -> Streams:
    """The client's connection, whose first request has been read."""
    reader, writer = await discovery.connection()
    await read_message(reader)
    return reader, writer


@socket_test
async def test_the_cached_list_is_passed_on_first_and_then_the_list_is_kept() -> None:
    """A process starts with a cached list, and discovery then has a newer one and a change to that. All three
    reach the decisions in this order, with the times and states that they carry."""
    script = Script(hold_all)
    cached = whole_list(member("s-1", 9), revision=40)
    async with running_with_discovery(script, known=cached) as (_, discovery):
        reader, writer = await first_poll(discovery)
        writer.write(snapshot(41, member("s-1", 9), member("s-2", 9, up_since_ms=1_700_000_000_123)))
        assert "index=41&" in (await read_message(reader))[0]
        writer.write(delta(43, member("s-1", 9, phase="Terminating"), {"id": "s-2", "phase": "Gone"}))
        assert "index=43&" in (await read_message(reader))[0]
        updates = await script.wait_for(EndpointListUpdate, 3)
        assert [u.kind for u in updates] == [UpdateKind.CACHED, UpdateKind.SNAPSHOT, UpdateKind.DELTA]
        assert [e.started_at_us for e in updates[1].endpoints] == [0, 1_700_000_000_123_000]
        assert [e.state for e in updates[2].endpoints] == [EndpointState.DRAINING, EndpointState.REMOVED]


@socket_test
async def test_malformed_responses_lead_back_to_the_whole_list() -> None:
    """Discovery answers a watch with an error, with no JSON, no list, no HTTP or changes to a list that we do
    not have. Each time the next poll fetches the whole list, so that no change is lost with the response."""
    malformed = [
        answer(500),
        answer(200, b"{"),
        answer(200, b"[]"),
        answer(200, b'{"revision":"x","members":[]}'),
        answer(200, b"[" * 100_000),
        answer(200, b'{"revision":"\xff"}'),
        b"nonsense\r\n\r\n",
        delta(7),
        b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n",
    ]
    script = Script(hold_all)
    async with running_with_discovery(script) as (_, discovery):
        for n, response in enumerate(malformed):
            reader, writer = await discovery.connection()
            assert (await read_message(reader))[0].startswith(FETCH)
            writer.write(snapshot(50 + n, member("s-1", 9)))
            assert f"index={50 + n}&" in (await read_message(reader))[0]
            writer.write(response)
        reader, writer = await first_poll(discovery)
        writer.write(snapshot(3, {"id": 5}, member("s-1", 9), member("s-2", 9, phase="Dancing")))
        assert "index=3&" in (await read_message(reader))[0]  # a restarted discovery: its version counts
        last = (await script.wait_for(EndpointListUpdate, len(malformed) + 2))[-1]
        assert [(e.endpoint_id, e.state) for e in last.endpoints] == [
            (b"s-1", EndpointState.READY),
            (b"s-2", EndpointState.DRAINING),
        ]


@socket_test
async def test_changes_in_place_of_the_whole_list_are_not_taken_over() -> None:
    """Discovery answers a fetch of the whole list with changes. There is nothing that they could change:
    taken over, they would stand for a whole list and hide all other endpoints."""
    script = Script(hold_all)
    async with running_with_discovery(script) as (_, discovery):
        _, writer = await first_poll(discovery)
        writer.write(delta(41, member("s-1", 9)))
        reader, writer = await discovery.connection()
        assert (await read_message(reader))[0].startswith(FETCH)
        writer.write(snapshot(42, member("s-1", 9), member("s-2", 9)))
        assert "index=42&" in (await read_message(reader))[0]
        kinds = [update.kind for update in await script.wait_for(EndpointListUpdate, 2)]
        assert kinds == [UpdateKind.CACHED, UpdateKind.SNAPSHOT]


@socket_test
async def test_a_watch_that_was_reset_goes_on_from_its_version() -> None:
    """The connection of a watch is reset. What we have is still good, so only later changes are asked for."""
    async with running_with_discovery() as (_, discovery):
        reader, writer = await first_poll(discovery)
        writer.write(snapshot(41, member("s-1", 9)))
        await read_message(reader)
        writer.transport.abort()
        reader, writer = await discovery.connection()
        assert "index=41&" in (await read_message(reader))[0]


@socket_test
async def test_an_older_list_after_a_newer_one_is_not_taken_over() -> None:
    """A watch is answered by a list older than ours, in which an endpoint that drains is still ready. It must
    not be taken over; the whole list is fetched instead."""
    script = Script(hold_all)
    async with running_with_discovery(script) as (_, discovery):
        reader, writer = await first_poll(discovery)
        writer.write(snapshot(41, member("s-1", 9, phase="Terminating")))
        assert "index=41&" in (await read_message(reader))[0]
        writer.write(snapshot(40, member("s-1", 9)))
        reader, writer = await discovery.connection()
        assert (await read_message(reader))[0].startswith(FETCH)
        writer.write(snapshot(42, member("s-1", 9, phase="Terminating")))
        assert "index=42&" in (await read_message(reader))[0]
        updates = await script.wait_for(EndpointListUpdate, 3)
        snapshots = [u for u in updates if u.kind is UpdateKind.SNAPSHOT]
        assert [(u.version, u.endpoints[0].state) for u in snapshots] == [
            (41, EndpointState.DRAINING),
            (42, EndpointState.DRAINING),
        ]


@socket_test
async def test_a_discovery_that_returns_from_silence_is_polled_within_the_drain_grace() -> None:
    """Discovery accepts connections and never answers, then returns. Each poll made while it was silent must
    end in time for one that is answered within the grace of an endpoint that began to drain meanwhile."""
    grace_s = 0.5
    safety = {**settings()["safety"], "drain_grace_us": int(grace_s * 1e6)}
    async with running_with_discovery(settings=settings(safety=safety)) as (server, discovery):
        client = server.discovery
        assert client.response_timeout_s + client.max_backoff_s < grace_s
        for _ in range(4):  # the backoff between them grows meanwhile
            reader, _ = await first_poll(discovery)
            assert await reader.read() == b""  # the poll has failed
        reader, writer = await first_poll(discovery)
        writer.write(snapshot(41, member("s-1", 9)))
        assert "index=41&" in (await read_message(reader))[0]


@socket_test
async def test_the_cached_list_serves_only_once_discovery_was_polled() -> None:
    """The cached list may name endpoints that are long gone: it serves only once the first poll failed."""
    health = b"GET /_health HTTP/1.1\r\nHost: svc\r\n\r\n"
    cached = whole_list(member("s-1", 9))
    async with running_with_discovery(known=cached) as (server, discovery):
        await first_poll(discovery)
        assert (await server.call(health))[0].split()[1] == "503"
        await discovery.connection()  # the first poll has ended without a response
        assert (await server.call(health))[0].split()[1] == "200"


@socket_test
async def test_an_endpoint_whose_address_changes_is_followed() -> None:
    """Discovery gives an endpoint another address while a connection to the old one is open. A request sent
    there would reach whatever runs at that address now: the connection is closed, and the next one is new."""
    script = Script(send_all)
    async with (
        Peer() as old,
        Peer() as new,
        running_with_discovery(script, known=whole_list(member("s-1", old.port))) as (server, discovery),
    ):
        client, to_proxy = await server.client()
        to_proxy.write(ask())
        reader, writer = await old.connection()
        await read_message(reader)
        writer.write(answer())
        await read_message(client)
        polls, to_client = await first_poll(discovery)
        to_client.write(snapshot(5, member("s-1", new.port)))
        await read_message(polls)
        assert await reader.read() == b""  # the connection to the old address is closed
        to_proxy.write(ask(trace="a2"))
        reader, writer = await new.connection()
        assert (await read_message(reader))[1]["x-trace-id"] == "a2"


@socket_test
async def test_without_any_discovery_the_cached_list_serves() -> None:
    """Nobody listens at discovery's address, for as long as the process runs. The cached list is all there
    is, and requests go by it."""
    async with running_with_backend() as (server, backend):
        _, to_proxy = await server.client()
        to_proxy.write(ask())
        reader, _ = await backend.connection()
        assert (await read_message(reader))[1]["x-trace-id"] == "ab12"
        await asyncio.sleep(0)


@socket_test
async def test_an_ambiguous_update_is_looked_up_in_the_whole_list_once() -> None:
    """A change comes without the id of its endpoint: some endpoint may drain, and we cannot know which. What
    can be read is passed on at once, and the whole list is fetched. Where that is ambiguous as well, fetching
    it again and again would not help: the watch goes on."""
    script = Script(hold_all)
    async with running_with_discovery(script) as (server, discovery):
        reader, writer = await first_poll(discovery)
        writer.write(snapshot(41, member("s-1", 9), member("s-2", 9)))
        assert "index=41&" in (await read_message(reader))[0]
        writer.write(delta(42, {"phase": "Terminating"}, member("s-2", 9, phase="Terminating")))
        assert (await read_message(reader))[0].startswith(FETCH)
        updates = await script.wait_for(EndpointListUpdate, 3)
        assert [(e.endpoint_id, e.state) for e in updates[2].endpoints] == [(b"s-2", EndpointState.DRAINING)]
        writer.write(snapshot(42, {"phase": "Ready"}, member("s-1", 9, phase="Terminating")))
        assert "index=42&" in (await read_message(reader))[0]
        assert server.discovery.version == 42


@socket_test
async def test_requests_go_on_at_an_endpoint_whose_new_address_is_malformed() -> None:
    """An update has no readable address for an endpoint that has requests in flight. It drains: the requests
    end where they run, at the address that we know."""
    for response in (snapshot, delta):
        async with (
            Peer() as backend,
            running_with_discovery(Script(send_all)) as (server, discovery),
        ):
            polls, to_client = await first_poll(discovery)
            to_client.write(snapshot(5, member("s-1", backend.port)))
            await read_message(polls)
            client, to_proxy = await server.client()
            to_proxy.write(ask())
            reader, writer = await backend.connection()
            await read_message(reader)
            to_client.write(response(6, member("s-1", backend.port, host_port="?")))
            await read_message(polls)
            assert server.proxy.addresses == {b"s-1": ("127.0.0.1", backend.port)}
            writer.write(answer())
            assert (await read_message(client))[2] == b"done"

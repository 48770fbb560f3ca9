"""Tests that the endpoint list is kept up to date despite errors, outages and unexpected versions."""

import asyncio

from tests.discovery_responses import delta_response, snapshot_response
from tests.loopback import (
    FakeServer,
    ScriptedDecider,
    accept_poll,
    endpoint_list_dict,
    forward_all,
    leave_pending,
    make_request,
    make_response,
    member_dict,
    read_message,
    running_server_with_backend,
    running_server_with_discovery,
    settings_dict,
    uvloop_test,
)
from yardlane.decisions.events import EndpointListUpdate, EndpointState, UpdateKind

FETCH_REQUEST_PREFIX = "GET /catalog/members HTTP"


@uvloop_test
async def test_cached_list_is_followed_by_updates_in_order() -> None:
    """A process starts with a cached list, and discovery then sends a newer list and a change to it.

    All three updates must reach the decisions in this order, with the endpoints' start times and states.
    """
    decider = ScriptedDecider(leave_pending)
    cached = endpoint_list_dict(member_dict("s-1", 9), revision=40)
    async with running_server_with_discovery(decider, known=cached) as (_, discovery):
        reader, writer = await accept_poll(discovery)
        writer.write(
            snapshot_response(41, member_dict("s-1", 9), member_dict("s-2", 9, up_since_ms=1_700_000_000_123))
        )
        assert "index=41&" in (await read_message(reader))[0]
        writer.write(
            delta_response(43, member_dict("s-1", 9, phase="Terminating"), {"id": "s-2", "phase": "Gone"})
        )
        assert "index=43&" in (await read_message(reader))[0]
        updates = await decider.wait_for(EndpointListUpdate, 3)
        assert [update.kind for update in updates] == [
            UpdateKind.CACHED,
            UpdateKind.SNAPSHOT,
            UpdateKind.DELTA,
        ]
        assert [endpoint.started_at_us for endpoint in updates[1].endpoints] == [0, 1_700_000_000_123_000]
        assert [endpoint.state for endpoint in updates[2].endpoints] == [
            EndpointState.DRAINING,
            EndpointState.REMOVED,
        ]


@uvloop_test
async def test_malformed_response_is_followed_by_fetch_of_complete_list() -> None:
    """Discovery answers a watch with an error status, a delta of an older version, or malformed data.

    The response may have contained a change. So that this change is not lost, the next poll must fetch the
    complete list.
    """
    malformed = [
        make_response(500),
        make_response(200, b"{"),
        make_response(200, b"[]"),
        make_response(200, b'{"revision":"x","members":[]}'),
        make_response(200, b"[" * 100_000),
        make_response(200, b'{"revision":"\xff"}'),
        b"nonsense\r\n\r\n",
        delta_response(7),
        b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n",
    ]
    decider = ScriptedDecider(leave_pending)
    async with running_server_with_discovery(decider) as (_, discovery):
        for n, response in enumerate(malformed):
            reader, writer = await discovery.accept_connection()
            assert (await read_message(reader))[0].startswith(FETCH_REQUEST_PREFIX)
            writer.write(snapshot_response(50 + n, member_dict("s-1", 9)))
            assert f"index={50 + n}&" in (await read_message(reader))[0]
            writer.write(response)
        reader, writer = await accept_poll(discovery)
        writer.write(
            snapshot_response(3, {"id": 5}, member_dict("s-1", 9), member_dict("s-2", 9, phase="Dancing"))
        )
        # The complete list may have a lower version, as after a restart of discovery.
        assert "index=3&" in (await read_message(reader))[0]
        last = (await decider.wait_for(EndpointListUpdate, len(malformed) + 2))[-1]
        assert [(endpoint.endpoint_id, endpoint.state) for endpoint in last.endpoints] == [
            (b"s-1", EndpointState.READY),
            (b"s-2", EndpointState.DRAINING),
        ]


@uvloop_test
async def test_delta_in_response_to_fetch_is_rejected() -> None:
    """Discovery answers a fetch of the complete list with a delta, although there is no list to apply it to.

    If the delta were accepted, it would be taken for the complete list, and all other endpoints would be
    missing.
    """
    decider = ScriptedDecider(leave_pending)
    async with running_server_with_discovery(decider) as (_, discovery):
        _, writer = await accept_poll(discovery)
        writer.write(delta_response(41, member_dict("s-1", 9)))
        reader, writer = await discovery.accept_connection()
        assert (await read_message(reader))[0].startswith(FETCH_REQUEST_PREFIX)
        writer.write(snapshot_response(42, member_dict("s-1", 9), member_dict("s-2", 9)))
        assert "index=42&" in (await read_message(reader))[0]
        kinds = [update.kind for update in await decider.wait_for(EndpointListUpdate, 2)]
        assert kinds == [UpdateKind.CACHED, UpdateKind.SNAPSHOT]


@uvloop_test
async def test_watch_resumes_from_same_version_after_connection_reset() -> None:
    """Discovery resets the connection of a watch.

    The current list is still valid, so the next poll must request only the changes since its version.
    """
    async with running_server_with_discovery() as (_, discovery):
        reader, writer = await accept_poll(discovery)
        writer.write(snapshot_response(41, member_dict("s-1", 9)))
        await read_message(reader)
        writer.transport.abort()
        reader, writer = await discovery.accept_connection()
        assert "index=41&" in (await read_message(reader))[0]


@uvloop_test
async def test_older_version_is_rejected_and_complete_list_is_fetched() -> None:
    """Discovery answers a watch with an older list, in which a draining endpoint is still ready.

    If that list were applied, requests would be sent to the endpoint again. So the list must be rejected, and
    the complete list must be fetched.
    """
    decider = ScriptedDecider(leave_pending)
    async with running_server_with_discovery(decider) as (_, discovery):
        reader, writer = await accept_poll(discovery)
        writer.write(snapshot_response(41, member_dict("s-1", 9, phase="Terminating")))
        assert "index=41&" in (await read_message(reader))[0]
        writer.write(snapshot_response(40, member_dict("s-1", 9)))
        reader, writer = await discovery.accept_connection()
        assert (await read_message(reader))[0].startswith(FETCH_REQUEST_PREFIX)
        writer.write(snapshot_response(42, member_dict("s-1", 9, phase="Terminating")))
        assert "index=42&" in (await read_message(reader))[0]
        updates = await decider.wait_for(EndpointListUpdate, 3)
        snapshots = [update for update in updates if update.kind is UpdateKind.SNAPSHOT]
        assert [(update.version, update.endpoints[0].state) for update in snapshots] == [
            (41, EndpointState.DRAINING),
            (42, EndpointState.DRAINING),
        ]


@uvloop_test
async def test_unresponsive_discovery_is_polled_again_within_drain_grace() -> None:
    """Discovery accepts connections without responding, and later responds again.

    An endpoint may have begun to drain meanwhile, and its drain grace starts when discovery works again. Each
    poll during the outage must time out early enough for the next poll to be answered within that grace.
    """
    grace_s = 0.5
    safety = {**settings_dict()["safety"], "drain_grace_us": int(grace_s * 1e6)}
    async with running_server_with_discovery(settings=settings_dict(safety=safety)) as (server, discovery):
        client = server.discovery
        assert client.response_timeout_s + client.max_backoff_s < grace_s
        for _ in range(4):  # the backoff grows after each failed poll
            reader, _ = await accept_poll(discovery)
            assert await reader.read() == b""  # the poll has timed out
        reader, writer = await accept_poll(discovery)
        writer.write(snapshot_response(41, member_dict("s-1", 9)))
        assert "index=41&" in (await read_message(reader))[0]


@uvloop_test
async def test_health_check_passes_with_cached_list_only_after_first_poll_has_failed() -> None:
    """The cached list may contain endpoints that no longer exist.

    Therefore the health check must not pass with it until the first poll has failed.
    """
    health = b"GET /_health HTTP/1.1\r\nHost: svc\r\n\r\n"
    cached = endpoint_list_dict(member_dict("s-1", 9))
    async with running_server_with_discovery(known=cached) as (server, discovery):
        await accept_poll(discovery)
        assert (await server.fetch(health))[0].split()[1] == "503"
        await discovery.accept_connection()  # the second poll begins, as the first one has timed out
        assert (await server.fetch(health))[0].split()[1] == "200"


@uvloop_test
async def test_address_change_closes_connection_to_old_address() -> None:
    """Discovery changes the address of an endpoint while a connection to the old address is open.

    A request on that connection would reach the process that runs at the old address now. So the connection
    must be closed, and the next request must use a connection to the new address.
    """
    decider = ScriptedDecider(forward_all)
    async with (
        FakeServer() as old_backend,
        FakeServer() as new_backend,
        running_server_with_discovery(
            decider, known=endpoint_list_dict(member_dict("s-1", old_backend.port))
        ) as (
            server,
            discovery,
        ),
    ):
        client_reader, client_writer = await server.connect_client()
        client_writer.write(make_request())
        reader, writer = await old_backend.accept_connection()
        await read_message(reader)
        writer.write(make_response())
        await read_message(client_reader)
        poll_reader, poll_writer = await accept_poll(discovery)
        poll_writer.write(snapshot_response(5, member_dict("s-1", new_backend.port)))
        await read_message(poll_reader)
        assert await reader.read() == b""  # the connection to the old address is closed
        client_writer.write(make_request(trace="a2"))
        reader, writer = await new_backend.accept_connection()
        assert (await read_message(reader))[1]["x-trace-id"] == "a2"


@uvloop_test
async def test_cached_list_is_used_while_discovery_is_unreachable() -> None:
    """Nothing listens at discovery's address. Requests must be sent to the endpoints in the cached list."""
    async with running_server_with_backend() as (server, backend):
        _, client_writer = await server.connect_client()
        client_writer.write(make_request())
        reader, _ = await backend.accept_connection()
        assert (await read_message(reader))[1]["x-trace-id"] == "ab12"
        await asyncio.sleep(0)


@uvloop_test
async def test_ambiguous_delta_triggers_a_single_fetch_of_complete_list() -> None:
    """A delta says that an endpoint is draining, but not which one, because the entry has no id.

    The other entries must be passed on at once, and the complete list must be fetched. If the complete list
    is ambiguous too, fetching it again would not help, so the next poll must be a watch.
    """
    decider = ScriptedDecider(leave_pending)
    async with running_server_with_discovery(decider) as (server, discovery):
        reader, writer = await accept_poll(discovery)
        writer.write(snapshot_response(41, member_dict("s-1", 9), member_dict("s-2", 9)))
        assert "index=41&" in (await read_message(reader))[0]
        writer.write(delta_response(42, {"phase": "Terminating"}, member_dict("s-2", 9, phase="Terminating")))
        assert (await read_message(reader))[0].startswith(FETCH_REQUEST_PREFIX)
        updates = await decider.wait_for(EndpointListUpdate, 3)
        assert [(endpoint.endpoint_id, endpoint.state) for endpoint in updates[2].endpoints] == [
            (b"s-2", EndpointState.DRAINING)
        ]
        writer.write(snapshot_response(42, {"phase": "Ready"}, member_dict("s-1", 9, phase="Terminating")))
        assert "index=42&" in (await read_message(reader))[0]
        assert server.discovery.version == 42


@uvloop_test
async def test_malformed_new_address_does_not_end_requests_in_flight() -> None:
    """An update has a malformed address for an endpoint that has requests in flight.

    The endpoint is treated as draining. It must keep its known address, and its requests must complete there.
    """
    for make_list_response in (snapshot_response, delta_response):
        async with (
            FakeServer() as backend,
            running_server_with_discovery(ScriptedDecider(forward_all)) as (server, discovery),
        ):
            poll_reader, poll_writer = await accept_poll(discovery)
            poll_writer.write(snapshot_response(5, member_dict("s-1", backend.port)))
            await read_message(poll_reader)
            client_reader, client_writer = await server.connect_client()
            client_writer.write(make_request())
            reader, writer = await backend.accept_connection()
            await read_message(reader)
            poll_writer.write(make_list_response(6, member_dict("s-1", backend.port, host_port="?")))
            await read_message(poll_reader)
            assert server.proxy.endpoint_addresses == {b"s-1": ("127.0.0.1", backend.port)}
            writer.write(make_response())
            assert (await read_message(client_reader))[2] == b"done"

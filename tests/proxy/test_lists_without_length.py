"""Tests the endpoint list while each response of discovery has no length and ends with its connection."""

import asyncio

import pytest

from tests.discovery_responses import (
    delta_body,
    response_without_length,
    snapshot_body,
    snapshot_response,
)
from tests.loopback import (
    HEALTH_CHECK,
    FakeServer,
    ScriptedDecider,
    accept_poll,
    endpoint_list_dict,
    leave_pending,
    member_dict,
    read_message,
    read_status,
    running_server,
    running_server_with_discovery,
    uvloop_test,
)
from tests.raw_sockets import REQUEST_MAX_BYTES, End, RawListener, write_and_end
from yardlane.decisions.events import EndpointListUpdate, EndpointState, UpdateKind
from yardlane.errors import MalformedEndpointList
from yardlane.proxy.endpoint_decoder import parse_json

DRAINING_DELTA = delta_body(42, member_dict("s-1", 9, phase="Terminating"))


async def answer_poll(discovery: FakeServer, response: bytes) -> str:
    """Answer the next poll, close its connection in order, and return the first line of its request."""
    reader, writer = await discovery.accept_connection()
    line, _, _ = await read_message(reader)
    writer.write(response)
    writer.close()
    return line


async def next_poll(discovery: FakeServer) -> str:
    """Return the first line of the next poll's request, which comes on a new connection."""
    reader, _ = await discovery.accept_connection()
    return (await read_message(reader))[0]


@uvloop_test
async def test_change_in_a_list_without_length_reaches_the_decisions() -> None:
    """Each response of discovery ends with its connection.

    All of them were thrown away, so that a draining endpoint got requests for as long as this lasted.
    """
    decider = ScriptedDecider(leave_pending)
    async with running_server_with_discovery(decider) as (_, discovery):
        body = snapshot_body(41, member_dict("s-1", 9))
        assert "index" not in await answer_poll(discovery, response_without_length(body))
        assert "index=41&" in await answer_poll(discovery, response_without_length(DRAINING_DELTA))
        assert "index=42&" in await next_poll(discovery)
        last = (await decider.wait_for(EndpointListUpdate, 3))[-1]
        assert (last.kind, last.version) == (UpdateKind.DELTA, 42)
        assert [endpoint.state for endpoint in last.endpoints] == [EndpointState.DRAINING]


@uvloop_test
async def test_process_that_starts_while_lists_have_no_length_is_ready_with_the_real_list() -> None:
    """A process starts with an old cached list. It never learnt the real one and became ready without it."""
    decider = ScriptedDecider(leave_pending)
    cached = endpoint_list_dict(member_dict("s-old", 9), revision=3)
    async with running_server_with_discovery(decider, known=cached) as (server, discovery):
        _, writer = await accept_poll(discovery)
        client, to_server = await server.connect_client()
        to_server.write(HEALTH_CHECK)
        assert await read_status(client) == "503"
        writer.write(response_without_length(snapshot_body(41, member_dict("s-new", 9))))
        writer.close()
        assert "index=41&" in await next_poll(discovery)
        to_server.write(HEALTH_CHECK)
        assert await read_status(client) == "200"
        assert list(server.proxy.endpoint_addresses) == [b"s-new"]


def test_no_part_of_a_list_is_a_list() -> None:
    """A list without a length may be cut by a close that looks orderly; no part of it may count as a list."""
    for cut in range(len(DRAINING_DELTA)):
        with pytest.raises(MalformedEndpointList):
            parse_json(bytearray(DRAINING_DELTA[:cut]))


@pytest.mark.parametrize("cut", [0, 1, len(DRAINING_DELTA) // 2, len(DRAINING_DELTA) - 1])
def test_list_without_length_that_is_cut_short_changes_nothing(cut: int) -> None:
    """Discovery fails in the middle of a response without a length, and its connection ends in order.

    The poll has failed, and the next one must fetch the complete list, because the change may be lost.
    """

    @uvloop_test
    async def run() -> None:
        decider = ScriptedDecider(leave_pending)
        async with running_server_with_discovery(decider) as (_, discovery):
            await answer_poll(discovery, snapshot_response(41, member_dict("s-1", 9)))
            assert "index=41&" in await answer_poll(discovery, response_without_length(DRAINING_DELTA[:cut]))
            assert "index" not in await next_poll(discovery)
            assert [update.version for update in await decider.wait_for(EndpointListUpdate)] == [0, 41]

    run()


@uvloop_test
async def test_list_without_length_that_is_reset_changes_nothing() -> None:
    """The connection is reset after the last byte of a list without a length. A reset is no end of a body."""
    decider = ScriptedDecider(leave_pending)
    with RawListener() as discovery:
        async with running_server(decider, discovery="{}:{}".format(*discovery.address)):
            first = await discovery.accept_request()
            snapshot = response_without_length(snapshot_body(41, member_dict("s-1", 9)))
            await write_and_end(first, snapshot, End.FIN, has_pause=False)
            watch = await discovery.accept_request()
            await write_and_end(watch, response_without_length(DRAINING_DELTA), End.RESET, has_pause=False)
            loop = asyncio.get_running_loop()
            peer, _ = await loop.sock_accept(discovery.listener)
            with peer:
                peer.setblocking(False)
                assert b"index=41&" in await loop.sock_recv(peer, REQUEST_MAX_BYTES)
            assert [update.version for update in await decider.wait_for(EndpointListUpdate)] == [0, 41]

"""Tests how responses are parsed, and which outcome each of them gives its attempt."""

import asyncio

import pytest

from tests.loopback import (
    ScriptedDecider,
    forward_all,
    make_request,
    make_response,
    read_message,
    read_status,
    running_server_with_backend,
    uvloop_test,
    wait_until,
)
from tests.upstream_side import forward, serve_on_new_connection, until_state
from yardlane.decisions.events import AttemptEnded, LoadReport, Outcome
from yardlane.errors import MalformedResponse
from yardlane.proxy.response import (
    MAX_INTERIM_RESPONSES,
    MAX_LOAD_REPORT_BYTES,
    ResponseReader,
    parse_load_report,
)
from yardlane.proxy.upstream_state import UpstreamState

CLOSE = b""  # the backend closes the connection without a response
INTERIM = b"HTTP/1.1 102 X\r\n\r\n"


@pytest.mark.parametrize(
    ("written", "outcome", "status"),
    [
        (make_response(200, b"yes"), Outcome.OK, "200"),
        (make_response(500), Outcome.ERROR, "502"),
        (make_response(404), Outcome.ERROR, "502"),
        (make_response(503, header_lines="X-Never-Ran: 1\r\n"), Outcome.REJECTED, "502"),
        (make_response(504, header_lines="X-Never-Ran: 1\r\n"), Outcome.REJECTED, "502"),
        (make_response(503), Outcome.ERROR, "502"),
        (make_response(503, header_lines="X-Never-Ran: 0\r\n"), Outcome.ERROR, "502"),
        (make_response(500, header_lines="X-Never-Ran: 1\r\n"), Outcome.ERROR, "502"),
        (CLOSE, Outcome.CONNECTION_LOST, "502"),
        (make_response(200, b"yes")[:-1] + CLOSE, Outcome.CONNECTION_LOST, "502"),
        (b"HTTP/1.1 200 X\r\nContent-Length: 99999\r\n\r\n" + b"x" * 99_999, Outcome.CONNECTION_LOST, "502"),
        (b"nonsense\r\n\r\n", Outcome.CONNECTION_LOST, "502"),
        (b"HTTP/1.1 200 X\r\nA: " + b"x" * 20_000 + b"\r\n\r\n", Outcome.CONNECTION_LOST, "502"),
        (INTERIM + make_response(200, b"yes"), Outcome.OK, "200"),
        (b"HTTP/1.1 200 X\r\nContent-Length: 3000000000\r\n\r\nabc", Outcome.CONNECTION_LOST, "502"),
        (INTERIM * 100, Outcome.CONNECTION_LOST, "502"),
        (make_response(200, b"yes") + make_response(200, b"yes"), Outcome.OK, "200"),
        (make_response(200, b"yes") + b"\x00\xffnoise", Outcome.OK, "200"),
        (make_response(200, b"yes", "Connection: close\r\n") + b"noise", Outcome.OK, "200"),
        (
            make_response(
                header_lines="Endpoint-Load-Metrics: TEXT depth=x, , =3\r\nUsage-Percent: many\r\n"
            ),
            Outcome.OK,
            "200",
        ),
    ],
)
def test_each_response_has_one_outcome(written: bytes, outcome: Outcome, status: str) -> None:
    """A backend responds in one of many ways, valid or malformed. A wrong outcome would cost the client its
    response, or would allow a retry of a request that may have run."""

    @uvloop_test
    async def run() -> None:
        script = ScriptedDecider(forward_all)
        async with running_server_with_backend(script) as (server, backend):
            (client, _), (_, writer) = await forward(server, backend)
            writer.write(written)
            if written in (CLOSE, make_response(200, b"yes")[:-1]):
                writer.close()
            assert await read_status(client) == status
            [ended] = await script.wait_for(AttemptEnded)
            assert (ended.attempt_index, ended.endpoint_id, ended.outcome) == (0, b"s-1", outcome)
            assert ended.request_ended is (outcome is Outcome.OK)
            assert backend.accepted.empty()  # the proxy does not retry unless the decisions say so

    run()


@uvloop_test
async def test_load_report_and_usage_reach_the_decisions() -> None:
    """A response reports the load of its backend. Without the report, the decisions would know only their own
    share of the load, and would send requests to a backend that other gateways keep busy."""
    script = ScriptedDecider(forward_all)
    async with running_server_with_backend(script) as (server, backend):
        _, (_, writer) = await forward(server, backend)
        load_report = "Endpoint-Load-Metrics: TEXT mean_ms=8.5, load_share=0.25, depth=3\r\n"
        writer.write(make_response(header_lines=load_report + "Usage-Percent: 140\r\n"))
        [ended] = await script.wait_for(AttemptEnded)
        assert (ended.usage_percent, ended.load) == (140, LoadReport(queued=3.0, utilization=0.25))


@uvloop_test
async def test_load_metrics_above_their_limits_are_ignored() -> None:
    """A backend reports implausible metrics. If the decisions used them, a single report would keep all
    requests away from the backend until its next report."""
    script = ScriptedDecider(forward_all)
    async with running_server_with_backend(script) as (server, backend):
        _, (_, writer) = await forward(server, backend)
        load_report = "Endpoint-Load-Metrics: TEXT mean_ms=1e8, load_share=100000000, depth=1e8, tps=-1\r\n"
        writer.write(make_response(header_lines=load_report))
        [ended] = await script.wait_for(AttemptEnded)
        assert (ended.outcome, ended.load) == (Outcome.OK, None)


def test_readable_metrics_of_a_load_report_are_kept() -> None:
    """One metric of a report is not a number or has an unknown name. The other metrics are still used. If no
    valid metric is left, there is no report, which differs from a reported load of 0."""
    assert parse_load_report(b"TEXT util=0.5, depth=nan, queue=4, unknown=1") == LoadReport(
        queued=4.0, utilization=0.5
    )
    assert parse_load_report(b"TEXT depth=inf, mean_ms=-1") is None


def test_load_report_beyond_its_limit_is_ignored() -> None:
    """An upstream fills its load report with separators, up to the limit on heads. Parsing the report blocked
    the event loop for 15 ms with each response."""
    padding = b"," * MAX_LOAD_REPORT_BYTES
    assert parse_load_report(b"util=0.5" + padding[8:]) == LoadReport(utilization=0.5)
    assert parse_load_report(b"util=0.5" + padding) is None


def test_reader_raises_malformed_response_beyond_its_limits() -> None:
    """A backend sends endless interim responses, or two responses to one request. The reader raises
    `MalformedResponse`, which tells the connection that the upstream is at fault."""
    reader = ResponseReader()
    reader.feed(INTERIM * MAX_INTERIM_RESPONSES)
    with pytest.raises(MalformedResponse, match="interim responses"):
        reader.feed(INTERIM)
    reader = ResponseReader()
    reader.feed(make_response(200, b"yes"))
    assert reader.is_complete and reader.keep_alive and reader.response.body == b"yes"
    with pytest.raises(MalformedResponse, match="more than one response"):
        reader.feed(make_response(200, b"no"))
    assert reader.response.body == b"yes"


@uvloop_test
async def test_stalled_response_ends_its_attempt_before_the_deadline() -> None:
    """A backend hangs in the middle of a response, and the client's deadline is far away. Backends write a
    response in one go, so the proxy does not wait for the rest until the deadline."""
    script = ScriptedDecider(forward_all)
    async with running_server_with_backend(script) as (server, backend):
        server.pool.stall_timeout_s = 0.02
        (client, _), (_, writer) = await forward(server, backend, make_request(X_Expires_In="3000000m"))
        writer.write(make_response()[:10])
        assert await read_status(client) == "502"
        assert [e.outcome for e in await script.wait_for(AttemptEnded)] == [Outcome.CONNECTION_LOST]


@uvloop_test
async def test_complete_interim_response_starts_no_stall_timeout() -> None:
    """A backend sends a complete interim response, and the final one only later. If the attempt ended as
    stalled, a request that is merely slow would fail, and a non-idempotent one could not be retried."""
    async with running_server_with_backend(ScriptedDecider(forward_all)) as (server, backend):
        server.pool.stall_timeout_s = 0.0
        (client, _), (_, writer) = await forward(server, backend)
        [connection] = server.pool.connections
        writer.write(INTERIM)
        await wait_until(lambda: connection.reader is not None and connection.reader.interim_count)
        await asyncio.sleep(0)
        writer.write(make_response(200, b"whole"))
        assert (await read_message(client))[2] == b"whole"


@uvloop_test
async def test_interim_response_in_two_parts_is_followed_by_the_final_one() -> None:
    """The network splits an interim response in two. If the proxy took it for the final response, or for a
    malformed one, the client would lose the response that follows."""
    async with running_server_with_backend(ScriptedDecider(forward_all)) as (server, backend):
        (client, _), (_, writer) = await forward(server, backend)
        [connection] = server.pool.connections
        writer.write(INTERIM[:10])
        await until_state(connection, UpstreamState.RECEIVING)
        writer.write(INTERIM[10:])
        await until_state(connection, UpstreamState.AWAITING)
        writer.write(make_response(200, b"whole"))
        assert (await read_message(client))[2] == b"whole"


@uvloop_test
async def test_stall_timer_ends_with_its_response() -> None:
    """A response arrives in two parts, which starts the stall timer. If the timer were not cancelled when the
    response is complete, it would end the next request on the connection, which may rightly take longer."""
    async with running_server_with_backend(ScriptedDecider(forward_all)) as (server, backend):
        pool = server.pool
        pool.reuse_policy.reuse_delay_s = 0.0
        pool.stall_timeout_s = 0.02
        (client, to_server), (reader, writer) = await forward(server, backend)
        [connection] = pool.connections
        writer.write(make_response()[:10])
        await until_state(connection, UpstreamState.RECEIVING)
        writer.write(make_response()[10:])
        assert await read_status(client) == "200"
        to_server.write(make_request(trace="a2"))
        await read_message(reader)
        await asyncio.sleep(3 * pool.stall_timeout_s)
        writer.write(make_response())
        assert await read_status(client) == "200"


@uvloop_test
async def test_connection_is_not_reused_after_connection_close() -> None:
    """A backend sends `Connection: close` and closes the connection a little later. A request sent in between
    would be lost, and could not be retried if it is non-idempotent."""
    async with running_server_with_backend(ScriptedDecider(forward_all)) as (server, backend):
        server.pool.reuse_policy.reuse_delay_s = 0.0
        client = await server.connect_client()
        await serve_on_new_connection(
            client, backend, "a1", make_response(header_lines="Connection: close\r\n")
        )
        assert not server.pool.connections
        await serve_on_new_connection(client, backend, "a2")

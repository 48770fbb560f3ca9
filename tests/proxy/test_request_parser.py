"""Tests how requests are parsed and validated, and how invalid requests are answered."""

import pytest

from tests.loopback import (
    ScriptedDecider,
    attempt_at_each,
    leave_pending,
    make_request,
    make_response,
    read_message,
    read_status,
    reject_all,
    running_server,
    running_server_with_backend,
    uvloop_test,
)
from yardlane.decisions.actions import Action, Reject
from yardlane.decisions.events import Event, RequestArrived

GET_HEAD = b"GET /api HTTP/1.1\r\nHost: svc\r\n"


def make_post(length: str, body: bytes = b"") -> bytes:
    return make_request("file", Content_Length=length) + body


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (GET_HEAD + b"\r\n", 400),
        (make_request(X_Qos="unheard-of"), 400),
        (make_request(Plan="unheard-of"), 400),
        (make_request(X_Trace_Id=None), 400),
        (make_request(X_Trace_Id="a b"), 400),
        (make_request(Account="b4d65521"), 400),
        (make_request(Account="ffffffffffffffff"), 400),
        (make_request(Account="000000000000000g"), 400),
        (make_request(X_Expires_In="480"), 400),
        (make_request(X_Expires_In="-5m"), 400),
        (make_request(X_Expires_In="0m"), 400),
        (make_request(X_Expires_In="nanm"), 400),
        (make_request(Quota_Info="units=2,spread=1"), 400),
        (make_request(Quota_Info="units=0,spread=1,first=0"), 400),
        (make_request(Quota_Info="units=2,spread=9,first=0"), 400),
        (make_request(Quota_Info="units=2,spread=1,first=1"), 400),
        (make_request(Quota_Info="units=inf,spread=1,first=0"), 400),
        (make_request("file", Idempotency_Key=None), 400),
        (make_request().replace(b"GET", b"POST"), 405),
        (make_request("file").replace(b"POST", b"GET"), 405),
        (make_request().replace(b"Host: svc\r\n", b""), 400),
        (make_request().replace(b"Plan: basic\r\n", b"Plan: basic\r\nPlan: metered\r\n"), 400),
        (make_request(Content_Length="3") + b"abc", 400),
        (make_post("70000", b"x" * 70_000), 413),
        (make_post("-1"), 400),
        (make_post("4x", b"1234"), 400),
        (make_request("file", Content_Length=None, Transfer_Encoding="chunked") + b"zz\r\n", 400),
        (make_request("file", Content_Length="4", Transfer_Encoding="chunked") + b"0\r\n\r\n", 400),
        (
            make_request("file", Content_Length=None, Transfer_Encoding="chunked").replace(
                b"g: chunked", b"g: chunked\r\nContent-Length: 4"
            )
            + b"0\r\n\r\n",
            400,
        ),
        *(
            (make_request("file", Content_Length=None, Transfer_Encoding=header_value) + b"0\r\n\r\n", 400)
            for header_value in (
                "gzip, chunked",
                "chunked, identity",
                "identity",
                "xchunked",
                "chunked;a=1",
                "\x0bchunked",
                "",
            )
        ),
        *(
            (make_request("file", Content_Length=header_value) + b"aa", 400)
            for header_value in (
                "+2",
                "-2",
                "0x2",
                "2 2",
                "2, 2",
                "",
                "2\r\nContent-Length: 2",
                "2\r\nContent-Length: 3",
            )
        ),
        (make_post("12345678901", b""), 413),
        (make_post("9" * 30, b""), 400),
        (make_request(Plan="metered", Quota_Info="units=201,spread=1,first=0"), 400),
        (make_request(Quota_Info="units=999999999,spread=1,first=0"), 400),
        (make_request(Quota_Info="units=2,spread=1,first=0," + "x" * 200), 400),
        (b"hello\r\n\r\n", 400),
        (GET_HEAD + b"X-Long: " + b"x" * 20_000 + b"\r\n\r\n", 431),
        (b"GET /" + b"x" * 20_000 + b" HTTP/1.1\r\nHost: svc\r\n\r\n", 431),
        (GET_HEAD + b"A: 1\r\n B\x00: 2\r\n\r\n", 400),
    ],
)
def test_invalid_request_never_reaches_the_decider(request_bytes: bytes, status: int) -> None:
    """A client sends a request that the protocol does not allow, or whose length two parsers could interpret
    differently. The proxy must answer it with an error, and must not pass it to the decider."""

    @uvloop_test
    async def run() -> None:
        script = ScriptedDecider(leave_pending)
        async with running_server(script) as server:
            line, _, _ = await server.fetch(request_bytes)
            assert line.split()[1] == str(status)
            assert not [e for e in script.received_events if isinstance(e, RequestArrived)]

    run()


@uvloop_test
async def test_complete_chunked_body_is_accepted() -> None:
    """A client sends a chunked body without a Content-Length, which HTTP allows. The request must not be
    treated as malformed. It must reach the decider, which rejects it in this test."""
    async with running_server(ScriptedDecider(reject_all)) as server:
        request = make_request("file", Content_Length=None, Transfer_Encoding="chunked")
        line, _, _ = await server.fetch(request + b"3\r\nabc\r\n0\r\n\r\n")
        assert line.split()[1] == "429"


@uvloop_test
async def test_trailers_are_not_read_as_headers() -> None:
    """The trailer of a chunked body contains another trace id. It must not replace the one in the head."""
    async with running_server_with_backend(ScriptedDecider(attempt_at_each(b"s-1"))) as (server, backend):
        _, to_proxy = await server.connect_client()
        to_proxy.write(
            make_request("file", Content_Length=None, Transfer_Encoding="chunked")
            + b"3\r\nabc\r\n0\r\nX-Trace-Id: other\r\nX-More: 1\r\n\r\n"
        )
        reader, _ = await backend.accept_connection()
        _, headers, body = await read_message(reader)
        assert (headers["x-trace-id"], body, "x-more" in headers) == ("ab12", b"abc", False)


@uvloop_test
async def test_time_left_is_limited_by_the_deadline_of_the_class() -> None:
    """A client claims a remaining time far longer than the deadline of its request class. The deadline must
    apply, so that no request stays queued for longer than its class allows."""
    script = ScriptedDecider(leave_pending)
    async with running_server(script) as server:
        _, to_proxy = await server.connect_client()
        to_proxy.write(make_request(X_Expires_In="3000000m"))
        [arrival] = await script.wait_for(RequestArrived)
        assert arrival.time_left_us <= 10_000_000


@uvloop_test
async def test_trace_id_of_a_pending_request_is_rejected() -> None:
    """Two clients use the same trace id. If both requests were unanswered at the same time, upstreams could
    not distinguish them, so the second one must be rejected."""
    script = ScriptedDecider(attempt_at_each(b"s-1"))
    async with running_server_with_backend(script) as (server, backend):
        client, to_proxy = await server.connect_client()
        to_proxy.write(make_request(trace="a1"))
        reader, writer = await backend.accept_connection()
        await read_message(reader)
        assert (await server.fetch(make_request(trace="a1")))[0].split()[1] == "409"
        writer.write(make_response(200, b"mine"))
        assert (await read_message(client))[2] == b"mine"
        assert len(await script.wait_for(RequestArrived)) == 1
        # The first request has been answered, so its trace id may be used again.
        to_proxy.write(make_request(trace="a1"))
        await script.wait_for(RequestArrived, 2)


@uvloop_test
async def test_connection_survives_a_well_framed_invalid_request() -> None:
    """A client names an unknown plan in a correctly framed request, so the proxy knows where the next request
    begins. That request must be served."""

    def reject_with_retry_after(event: Event) -> list[Action]:
        return [Reject(event.request_id, 250_000)] if isinstance(event, RequestArrived) else []

    async with running_server(ScriptedDecider(reject_with_retry_after)) as server:
        reader, writer = await server.connect_client()
        writer.write(make_request(Plan="unheard-of") + make_request())
        assert await read_status(reader) == "400"
        line, headers, _ = await read_message(reader)
        assert (line.split()[1], headers["retry-after"]) == ("429", "0.250")

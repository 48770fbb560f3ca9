"""Tests that requests and responses are forwarded through the proxy, on real sockets."""

from tests.loopback import (
    HEALTH_CHECK,
    FakeServer,
    encode_json,
    endpoint_list_dict,
    make_request,
    make_response,
    member_dict,
    read_message,
    running_server,
    running_server_with_backend,
    uvloop_test,
    wait_until,
)


@uvloop_test
async def test_request_is_forwarded_unchanged_and_its_response_returned() -> None:
    """A changed header or body would break the client's call or its idempotency key. If the time left were
    forwarded without a deduction, the backend could work on a request whose client no longer waits."""
    async with running_server_with_backend() as (server, backend):
        client, to_proxy = await server.connect_client()
        to_proxy.write(make_request("file", Content_Length="5") + b"claim")
        reader, writer = await backend.accept_connection()
        line, headers, body = await read_message(reader)
        assert line == "POST /api?q=1 HTTP/1.1"
        assert (headers["x-trace-id"], headers["idempotency-key"], body) == ("ab12", "k1", b"claim")
        assert 0 < int(headers["x-expires-in"].removesuffix("m")) < 9000
        writer.write(make_response(200, b"filed"))
        line, _, body = await read_message(client)
        assert (line, body) == ("HTTP/1.1 200 OK", b"filed")


@uvloop_test
async def test_health_check_fails_until_there_is_an_endpoint_list() -> None:
    """The process has started and discovery has not answered yet. If the health check passed already, clients
    would send requests that no endpoint can serve."""
    async with FakeServer() as discovery, running_server(discovery=f"127.0.0.1:{discovery.port}") as server:
        assert (await server.fetch(HEALTH_CHECK))[0].startswith("HTTP/1.1 503")
        reader, writer = await discovery.accept_connection()
        assert (await read_message(reader))[0] == "GET /catalog/members HTTP/1.1"
        writer.write(make_response(200, encode_json(endpoint_list_dict(member_dict("s-1", 9), revision=41))))
        assert (await read_message(reader))[0].startswith("GET /catalog/members?index=41&wait=")
        assert (await server.fetch(HEALTH_CHECK))[0].startswith("HTTP/1.1 200")


@uvloop_test
async def test_client_disconnect_ends_its_request() -> None:
    """The client resets its connection while an attempt is in flight. The request must end, and the late
    response must be discarded."""
    async with running_server_with_backend() as (server, backend):
        _, to_proxy = await server.connect_client()
        to_proxy.write(make_request())
        reader, writer = await backend.accept_connection()
        await read_message(reader)
        to_proxy.transport.abort()
        writer.write(make_response())
        await wait_until(lambda: not server.proxy.requests)
        assert server.open_request_count == 0


@uvloop_test
async def test_upstream_connection_is_reused() -> None:
    """Whether the upstream keeps the connection open can be read from httptools only during a callback. If it
    were read later, connections would not be reused."""
    async with running_server_with_backend() as (server, backend):
        server.pool.reuse_policy.reuse_delay_s = 0.0
        client, to_proxy = await server.connect_client()
        to_proxy.write(make_request(trace="a1"))
        reader, writer = await backend.accept_connection()
        for trace in ("a1", "a2"):
            assert (await read_message(reader))[1]["x-trace-id"] == trace
            writer.write(make_response())
            assert (await read_message(client))[2] == b"done"
            to_proxy.write(make_request(trace="a2"))
        assert backend.accepted.empty()

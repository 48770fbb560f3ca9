"""Tests of a single connection to discovery."""

import asyncio
import tracemalloc

import pytest

from tests.discovery_responses import CHUNKED_RESPONSE_HEAD
from tests.loopback import FakeServer, make_response, read_message, uvloop_test
from tests.proxy.message_cuts import MAX_TAKEN_BYTES, READ_SIZES, endless, endless_chunks_after, taken_before
from yardlane.errors import DiscoveryError, DiscoveryUnreachable
from yardlane.proxy.discovery_connection import DiscoveryConnection
from yardlane.proxy.message_meter import MAX_HEAD_BYTES


def test_memory_use_of_body_in_small_chunks_is_bounded_by_its_size() -> None:
    """A list arrives in chunks of two bytes.

    If each chunk were kept as an object of its own, they would take about thirty times the size of the list,
    and a large list would exhaust the memory.
    """
    connection = DiscoveryConnection(("127.0.0.1", 9))
    chunk_count = 100_000
    connection.data_received(CHUNKED_RESPONSE_HEAD)
    tracemalloc.start()
    try:
        for _ in range(10):
            connection.data_received(b"2\r\nab\r\n" * (chunk_count // 10))
        assert tracemalloc.get_traced_memory()[1] < 5 * 2 * chunk_count
    finally:
        tracemalloc.stop()


HEAD = b"HTTP/1.1 200 OK\r\n"
# The beginning of a response, and what is repeated after it without an end.
ENDLESS_RESPONSES = {
    "empty lines before a response": (b"", b"\r\n"),
    "interim responses": (b"", b"HTTP/1.1 103 X\r\n\r\n"),
    "reason phrase": (b"HTTP/1.1 200 ", b"a"),
    "header name": (HEAD, b"a"),
    "header value": (HEAD + b"a: ", b"a"),
    "headers": (HEAD, b"a: b\r\n"),
    **endless_chunks_after(CHUNKED_RESPONSE_HEAD),
    "trailer value": (CHUNKED_RESPONSE_HEAD + b"0\r\na: ", b"a"),
    "trailers": (CHUNKED_RESPONSE_HEAD + b"0\r\n", b"a: b\r\n"),
}


@pytest.mark.parametrize("read_bytes", READ_SIZES)
@pytest.mark.parametrize(("start", "filler"), ENDLESS_RESPONSES.values(), ids=ENDLESS_RESPONSES)
def test_endless_part_of_a_response_is_malformed_at_the_limit(
    start: bytes, filler: bytes, read_bytes: int
) -> None:
    """Discovery sends a response whose head, chunk sizes or trailer do not end.

    Until the poll timed out seconds later, parsing it took as much processor time as the sender could use.
    """
    connection = DiscoveryConnection(("127.0.0.1", 9))
    response = asyncio.new_event_loop().create_future()
    connection.response = response

    def feed(data: bytes) -> None:
        connection.data_received(data)
        if response.done():
            response.result()

    taken_bytes = taken_before(DiscoveryError, feed, endless(start, filler, read_bytes))
    assert taken_bytes <= len(start) + MAX_HEAD_BYTES + MAX_TAKEN_BYTES


async def connect(discovery: FakeServer) -> DiscoveryConnection:
    """Return an established connection to a fake discovery."""
    connection = DiscoveryConnection(("127.0.0.1", discovery.port))
    await asyncio.get_running_loop().create_connection(lambda: connection, "127.0.0.1", discovery.port)
    return connection


@uvloop_test
async def test_informational_response_is_skipped() -> None:
    """Discovery sends an informational response (1xx) before the final response, which must be the result."""
    async with FakeServer() as discovery:
        connection = await connect(discovery)
        response = connection.get(b"/catalog/members")
        reader, writer = await discovery.accept_connection()
        assert (await read_message(reader))[1] == {"host": f"127.0.0.1:{discovery.port}"}
        writer.write(b"HTTP/1.1 103 X\r\n\r\n" + make_response(200, b"list"))
        assert await response == b"list"
        assert connection.is_usable()
        connection.close()


@uvloop_test
async def test_connection_is_not_reused_after_connection_close_header() -> None:
    """A response has the header `Connection: close`, so discovery closes the connection after it.

    Another request on that connection would be lost, and changes would be noticed only after its timeout.
    """
    async with FakeServer() as discovery:
        connection = await connect(discovery)
        response = connection.get(b"/catalog/members")
        reader, writer = await discovery.accept_connection()
        await read_message(reader)
        writer.write(make_response(200, b"list", "Connection: close\r\n"))
        assert await response == b"list"
        assert not connection.is_usable()


@pytest.mark.parametrize("response", [make_response(404), make_response(503), b"nonsense\r\n\r\n"])
def test_error_status_or_malformed_response_raises_discovery_error(response: bytes) -> None:
    """Discovery responds with an error status, or with bytes that are not HTTP.

    The request must fail, and the connection must be closed, because further data on it cannot be trusted.
    """

    @uvloop_test
    async def run() -> None:
        async with FakeServer() as discovery:
            connection = await connect(discovery)
            request = connection.get(b"/catalog/members")
            _, writer = await discovery.accept_connection()
            writer.write(response)
            with pytest.raises(DiscoveryError):
                await request
            assert not connection.is_usable()

    run()


@uvloop_test
async def test_connection_loss_fails_request_at_once() -> None:
    """Discovery resets the connection of a watch. The request must fail at once, not after its timeout."""
    async with FakeServer() as discovery:
        connection = await connect(discovery)
        request = connection.get(b"/catalog/members")
        _, writer = await discovery.accept_connection()
        writer.transport.abort()
        with pytest.raises(DiscoveryUnreachable):
            await request
        with pytest.raises(DiscoveryUnreachable):
            await connection.get(b"/catalog/members")

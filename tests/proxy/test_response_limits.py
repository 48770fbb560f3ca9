"""Tests that a response costs memory and time in proportion to its limits, however an upstream cuts it."""

import pytest

from tests.loopback import (
    ScriptedDecider,
    forward_all,
    make_response,
    read_message,
    running_server_with_backend,
    uvloop_test,
)
from tests.proxy.message_cuts import (
    MAX_TAKEN_BYTES,
    READ_SIZES,
    chunked,
    endless,
    endless_chunks_after,
    peak_bytes_of,
    split,
    taken_before,
)
from tests.upstream_side import forward, until_state
from yardlane.errors import MalformedResponse
from yardlane.proxy.message_body import MAX_BODY_BYTES
from yardlane.proxy.message_meter import MAX_HEAD_BYTES
from yardlane.proxy.response import NO_RESPONSE, ResponseReader
from yardlane.proxy.upstream_state import UpstreamState

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# The beginning of a response, and what is repeated after it without an end.
ENDLESS_RESPONSES = {
    "empty lines before a response": (b"", b"\r\n"),
    "reason phrase": (b"HTTP/1.1 200 ", b"a"),
    "header name": (HEAD, b"a"),
    "header value": (HEAD + b"X-Padding: ", b"a"),
    "value of a header that is read": (HEAD + b"Content-Type: ", b"a"),
    "space before a header value": (HEAD + b"X-Padding:", b" "),
    "headers": (HEAD, b"a:\r\n"),
    "headers of mostly spaces": (HEAD, b"a:" + b" " * 500 + b"b\r\n"),
    "header value of an interim response": (b"HTTP/1.1 102 X\r\na: ", b"a"),
    **endless_chunks_after(CHUNKED_HEAD),
    "trailer name": (CHUNKED_HEAD + b"0\r\n", b"a"),
    "trailer value": (CHUNKED_HEAD + b"0\r\nX-Padding: ", b"a"),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"a:\r\n"),
}


@pytest.mark.parametrize("read_bytes", READ_SIZES)
@pytest.mark.parametrize(("start", "filler"), ENDLESS_RESPONSES.values(), ids=ENDLESS_RESPONSES)
def test_endless_part_of_a_response_is_malformed_at_the_limit(
    start: bytes, filler: bytes, read_bytes: int
) -> None:
    """An upstream sends a line without an end. The parser collected it until the stall timer expired, and the
    process came near its memory limit with many attempts in flight."""
    reader = ResponseReader()
    taken_bytes = taken_before(MalformedResponse, reader.feed, endless(start, filler, read_bytes))
    assert taken_bytes <= len(start) + MAX_HEAD_BYTES + MAX_TAKEN_BYTES


@pytest.mark.parametrize(("start", "filler"), ENDLESS_RESPONSES.values(), ids=ENDLESS_RESPONSES)
def test_endless_part_of_a_response_costs_memory_in_proportion_to_the_limit(
    start: bytes, filler: bytes
) -> None:
    """Each attempt in flight may have an unfinished response, so none may hold far more than its limits."""
    reads = list(endless(start, filler, 4096))

    def run() -> None:
        taken_before(MalformedResponse, ResponseReader().feed, iter(reads))

    assert peak_bytes_of(run) <= len(start) + 4 * MAX_TAKEN_BYTES


# Complete responses up to the limits, in small pieces, and the length of the body of each.
LONGEST_RESPONSES = {
    "chunks of one byte": (CHUNKED_HEAD + chunked(MAX_BODY_BYTES, 1), MAX_BODY_BYTES),
    "chunks of three bytes": (CHUNKED_HEAD + chunked(MAX_BODY_BYTES - 1, 3), MAX_BODY_BYTES - 1),
    "one chunk": (CHUNKED_HEAD + chunked(MAX_BODY_BYTES, MAX_BODY_BYTES), MAX_BODY_BYTES),
    "a body without chunks": (make_response(200, b"x" * MAX_BODY_BYTES), MAX_BODY_BYTES),
}


@pytest.mark.parametrize("read_bytes", [64, 1000, 65_536, 250_000])
@pytest.mark.parametrize(("response", "body_bytes"), LONGEST_RESPONSES.values(), ids=LONGEST_RESPONSES)
def test_response_in_small_pieces_costs_memory_in_proportion_to_its_limits(
    response: bytes, body_bytes: int, read_bytes: int
) -> None:
    """An upstream sends its body in chunks of a few bytes. Each part was kept as an object of its own, which
    takes up to twenty times as much, until the next response on the connection."""
    reads = split(response, read_bytes)
    reader = ResponseReader()

    def run() -> None:
        for read in reads:
            reader.feed(read)

    assert peak_bytes_of(run) <= 2 * (body_bytes + MAX_TAKEN_BYTES)
    assert reader.is_complete
    assert len(reader.response.body) == body_bytes


@uvloop_test
async def test_idle_upstream_connection_holds_no_response() -> None:
    """A connection to an upstream is idle for seconds after a long response. If it kept the response, all the
    idle connections would add up to much of the memory that the process may have."""
    async with running_server_with_backend(ScriptedDecider(forward_all)) as (server, backend):
        (client, _), (_, writer) = await forward(server, backend)
        [connection] = server.pool.connections
        writer.write(make_response(200, b"x" * MAX_BODY_BYTES))
        assert len((await read_message(client))[2]) == MAX_BODY_BYTES
        await until_state(connection, UpstreamState.IDLE)
        assert connection.reader is not None
        assert connection.reader.response is NO_RESPONSE
        assert not connection.reader.body

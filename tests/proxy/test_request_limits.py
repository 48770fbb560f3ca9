"""Tests that a request costs memory and time in proportion to its limits, however a client cuts it."""

import asyncio
import gc
import random
import tracemalloc

import pytest

from tests.loopback import (
    ScriptedDecider,
    leave_pending,
    make_request,
    read_status,
    reject_all,
    running_server,
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
from yardlane.errors import FatalRequestError
from yardlane.proxy.client_response import Status
from yardlane.proxy.message_body import MAX_BODY_BYTES
from yardlane.proxy.message_meter import MAX_HEAD_BYTES
from yardlane.proxy.request_parser import RequestParser

HEAD = b"POST / HTTP/1.1\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# The beginning of a request, and what is repeated after it without an end.
ENDLESS_REQUESTS = {
    "empty lines before a request": (b"", b"\r\n"),
    "target": (b"GET /", b"a"),
    "header name": (HEAD, b"a"),
    "header value": (HEAD + b"X-Padding: ", b"a"),
    "space before a header value": (HEAD + b"X-Padding:", b" "),
    "space after a header value": (HEAD + b"X-Padding: a", b" "),
    "headers": (HEAD, b"aa:\r\n"),
    "headers of mostly spaces": (HEAD, b"a:" + b" " * 500 + b"b\r\n"),
    **endless_chunks_after(CHUNKED_HEAD),
    "chunk extension behind a body": (CHUNKED_HEAD + b"8000\r\n" + b"x" * 32_768 + b"\r\n1;a=", b"a"),
    "trailer name": (CHUNKED_HEAD + b"0\r\n", b"a"),
    "trailer value": (CHUNKED_HEAD + b"0\r\nX-Padding: ", b"a"),
    "trailer value behind a body": (CHUNKED_HEAD + b"8000\r\n" + b"x" * 32_768 + b"\r\n0\r\na: ", b"a"),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"aa:\r\n"),
    "trailers of mostly spaces": (CHUNKED_HEAD + b"0\r\n", b"a:" + b" " * 500 + b"b\r\n"),
}


class RequestSink:
    """Receives the notifications of a parser and ignores them."""

    def on_request_begin(self) -> None: ...

    def on_expect_continue(self) -> None: ...

    def on_request(self) -> None: ...


@pytest.mark.parametrize("read_bytes", READ_SIZES)
@pytest.mark.parametrize(("start", "filler"), ENDLESS_REQUESTS.values(), ids=ENDLESS_REQUESTS)
def test_endless_part_of_a_request_is_refused_at_the_limit(
    start: bytes, filler: bytes, read_bytes: int
) -> None:
    """A few clients send heads without an end, and the process is killed for its memory: the parser collected
    a line until its end, and the limit was checked only then."""
    parser = RequestParser(RequestSink())
    reads = endless(start, filler, read_bytes)
    taken_bytes = taken_before(FatalRequestError, parser.feed, reads)
    # A trailer is limited by itself, behind a head of its own limit.
    assert taken_bytes <= len(start) + MAX_HEAD_BYTES + MAX_TAKEN_BYTES


@pytest.mark.parametrize(("start", "filler"), ENDLESS_REQUESTS.values(), ids=ENDLESS_REQUESTS)
def test_endless_part_of_a_request_costs_memory_in_proportion_to_the_limit(
    start: bytes, filler: bytes
) -> None:
    """Each connection may hold an unfinished request. If one could hold far more than its limits, as many as
    there are descriptors for would bring the process over its memory."""
    reads = list(endless(start, filler, 4096))

    def run() -> None:
        parser = RequestParser(RequestSink())
        taken_before(FatalRequestError, parser.feed, iter(reads))

    assert peak_bytes_of(run) <= len(start) + 4 * MAX_TAKEN_BYTES


@uvloop_test
async def test_client_with_an_endless_header_line_gets_431_at_once() -> None:
    """A client sends a header line without an end. It must get its answer when the limit is reached, and not
    when the request timeout expires, until which it could fill the memory."""
    async with running_server(ScriptedDecider(leave_pending)) as server:
        reader, writer = await server.connect_client()
        writer.write(make_request()[:-2] + b"X-Padding: ")
        for _ in range(8):
            writer.write(b"a" * 16_384)
            await asyncio.sleep(0)
        assert await read_status(reader) == str(int(Status.REQUEST_HEADER_FIELDS_TOO_LARGE))


class RecordingReceiver(RequestSink):
    """Receives the requests of a parser of its own and records them."""

    def __init__(self) -> None:
        self.parser = RequestParser(self)
        self.heads: list[bytes] = []
        self.bodies: list[bytes] = []

    def on_request(self) -> None:
        self.heads.append(b"".join(self.parser.header_parts))
        self.bodies.append(bytes(self.parser.body))


# Complete requests up to the limits, in small pieces, and the length of the body of each.
LONGEST_REQUESTS = {
    "chunks of one byte": (CHUNKED_HEAD + chunked(MAX_BODY_BYTES, 1), MAX_BODY_BYTES),
    "chunks of three bytes": (CHUNKED_HEAD + chunked(MAX_BODY_BYTES, 3), MAX_BODY_BYTES),
    "one chunk": (CHUNKED_HEAD + chunked(MAX_BODY_BYTES, MAX_BODY_BYTES), MAX_BODY_BYTES),
    "a body without chunks": (
        HEAD + b"Content-Length: 65536\r\n\r\n" + b"x" * MAX_BODY_BYTES,
        MAX_BODY_BYTES,
    ),
    "headers without a value": (HEAD + b"aa:\r\n" * 2700 + b"\r\n", 0),
    "headers with a value": (HEAD + b"aa:bb\r\n" * 2000 + b"\r\n", 0),
}


@pytest.mark.parametrize("read_bytes", [64, 1000, 65_536, 250_000])
@pytest.mark.parametrize(("request_bytes", "body_bytes"), LONGEST_REQUESTS.values(), ids=LONGEST_REQUESTS)
def test_request_in_small_pieces_costs_memory_in_proportion_to_its_limits(
    request_bytes: bytes, body_bytes: int, read_bytes: int
) -> None:
    """Usual clients send bodies in chunks of a few bytes, and the process is killed for its memory: each part
    of a body or a header was kept as an object of its own, which takes up to twenty times as much."""
    reads = split(request_bytes, read_bytes)

    def run() -> None:
        parser = RequestParser(RequestSink())
        for read in reads:
            parser.feed(read)

    assert peak_bytes_of(run) <= 2 * (body_bytes + MAX_TAKEN_BYTES)


@pytest.mark.parametrize("zeros", [0, 100, 5000])
def test_length_with_leading_zeros_is_read_without_an_unexpected_error(
    zeros: int, caplog: pytest.LogCaptureFixture
) -> None:
    """A client writes a Content-Length of thousands of digits. Python does not convert so many, so each
    such request was logged as an unexpected exception, which hides other log lines."""
    receiver = RecordingReceiver()
    length = b"0" * zeros + b"3"
    receiver.parser.feed(HEAD + b"Content-Length: " + length + b"\r\n\r\nabc")
    assert receiver.bodies == [b"abc"]
    with pytest.raises(FatalRequestError, match="body over"):
        receiver.parser.feed(HEAD + b"Content-Length: " + b"0" * zeros + b"65537\r\n\r\n")
    assert not caplog.records


def test_message_that_ends_after_the_parser_is_closed_is_discarded() -> None:
    """The parser is closed while it reads pipelined requests. If the rest of the first one were kept, the
    second would be refused for headers that it has only once."""
    parser = RequestParser(RequestSink())
    request = make_request()
    parser.feed(request[:-2])
    http = parser._http
    assert http is not None
    parser.close()
    http.feed_data(request[-2:] + request)
    assert (parser.url, parser.header_parts, parser.headers) == (b"", [], {})


def test_requests_are_parsed_alike_however_they_are_cut() -> None:
    """The limits are applied to parts of a read. They must neither refuse a request that is within them nor
    change what is read, wherever the reads and their parts begin and end."""
    generator = random.Random(20261204)
    for _ in range(60):
        requests = [generator.choice(list(LONGEST_REQUESTS.values()))[0] for _ in range(3)]
        requests.insert(generator.randrange(4), HEAD + b"Content-Length: 5\r\nX-Note: a b\r\n\r\nhello")
        stream = b"".join(requests)
        whole = RecordingReceiver()
        cut = RecordingReceiver()
        for request in requests:
            whole.parser.feed(request)
        position = 0
        while position < len(stream):
            end = position + generator.choice((1, 100, 16_383, 16_384, 16_385, 50_000, 256_000))
            cut.parser.feed(stream[position:end])
            position = end
        assert len(cut.bodies) == len(requests)
        assert (cut.bodies, cut.heads) == (whole.bodies, whole.heads)


@uvloop_test
async def test_answered_request_leaves_nothing_on_its_idle_connection() -> None:
    """Clients send one request each and keep their connections. The parts of a request were kept until the
    next one, so idle connections added up to more memory than the process may have."""
    client_count = 20
    async with running_server(ScriptedDecider(reject_all)) as server:
        streams = []
        head = make_request("file", Content_Length=None, Transfer_Encoding="chunked")
        request = head + chunked(MAX_BODY_BYTES, 2)
        tracemalloc.start()
        try:
            for _ in range(client_count):
                reader, writer = await server.connect_client()
                streams.append((reader, writer))
                writer.write(request)
                assert await read_status(reader) == "429"
            gc.collect()
            buffered_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert buffered_bytes <= client_count * MAX_HEAD_BYTES

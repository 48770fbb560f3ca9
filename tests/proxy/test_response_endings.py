"""Tests which ends of a connection complete a response, for both readers of responses, on real sockets.

Each form of a response is cut after every byte, and the connection then ends in order (FIN) or by a reset. A
seeded random number generator decides whether the end arrives in the same iteration of the event loop as the
bytes before it.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from functools import partial

import pytest

from tests.loopback import (
    endpoint_list_dict,
    make_config,
    make_request,
    member_dict,
    read_message,
    running_server,
    settings_dict,
    uvloop_test,
    wait_until,
)
from tests.raw_sockets import End, RawListener, write_and_end
from yardlane.decisions.events import Outcome
from yardlane.errors import DiscoveryError, DiscoveryUnreachable
from yardlane.proxy.attempt import Attempt
from yardlane.proxy.discovery_connection import DiscoveryConnection
from yardlane.proxy.response import UpstreamResponse
from yardlane.proxy.upstream_pool import UpstreamPool

SEED = 10
BODY = b'{"a": [1, 2]}'
CHUNKS = b"5\r\n" + BODY[:5] + b"\r\n8;x=y\r\n" + BODY[5:] + b"\r\n0\r\nT: t\r\n\r\n"
LENGTH = b"Content-Length: %d\r\n" % len(BODY)
CLOSE = b"Connection: close\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"


@dataclass(frozen=True)
class Form:
    """A form of a response: its final head, what follows it, and what is expected of the whole response."""

    head: bytes
    rest: bytes
    status: int
    outcome: Outcome
    has_length: bool = True  # the response tells by itself where it ends
    interim: bytes = b""
    is_readable: bool = True  # False: it never counts as complete

    @property
    def written(self) -> bytes:
        """Return all bytes of the response."""
        return self.interim + self.head + self.rest

    def body_after(self, cut: int, end: End) -> bytes | None:
        """Return the body that the first `cut` bytes and this end give, or None if they are not whole."""
        if not self.is_readable:
            return None
        head_bytes = len(self.interim) + len(self.head)
        if not self.has_length:
            is_whole = cut >= head_bytes and end is End.FIN
            return self.written[head_bytes:cut] if is_whole else None
        if cut < len(self.written):
            return None
        return BODY if self.rest else b""


def form(
    status: int,
    header_lines: bytes,
    rest: bytes = BODY,
    outcome: Outcome = Outcome.OK,
    has_length: bool = True,
    interim: bytes = b"",
    version: bytes = b"1.1",
    is_readable: bool = True,
) -> Form:
    """Return a form whose final head has this status and these header lines."""
    head = b"HTTP/%b %d X\r\n%b\r\n" % (version, status, header_lines)
    return Form(head, rest, status, outcome, has_length, interim, is_readable)


FORMS = {
    "no length": form(200, b"", has_length=False),
    "no length, close": form(200, CLOSE, has_length=False),
    "no length, HTTP/1.0": form(200, b"Connection: keep-alive\r\n", has_length=False, version=b"1.0"),
    "no length after an interim response": form(200, CLOSE, has_length=False, interim=INTERIM),
    "no length, error": form(500, CLOSE, outcome=Outcome.ERROR, has_length=False),
    "no length, never ran": form(
        503, CLOSE + b"X-Never-Ran: 1\r\n", outcome=Outcome.REJECTED, has_length=False
    ),
    "length": form(200, LENGTH),
    "length, close": form(200, CLOSE + LENGTH),
    "length after an interim response": form(200, LENGTH, interim=INTERIM),
    "length of zero": form(200, b"Content-Length: 0\r\n", b""),
    "chunked": form(200, b"Transfer-Encoding: chunked\r\n", CHUNKS),
    "chunked, close": form(200, CLOSE + b"Transfer-Encoding: chunked\r\n", CHUNKS),
    "chunked after an interim response": form(
        200, b"Transfer-Encoding: chunked\r\n", CHUNKS, interim=INTERIM
    ),
    "other transfer coding": form(200, b"Transfer-Encoding: gzip\r\n", is_readable=False),
    "204": form(204, CLOSE, b"", Outcome.ERROR),
    "304": form(304, LENGTH, b"", Outcome.ERROR),
}
CUTS = [pytest.param(form, end, id=f"{name}, {end.value}") for name, form in FORMS.items() for end in End]


@pytest.mark.parametrize(("form", "end"), CUTS)
def test_only_a_whole_response_of_an_upstream_ends_its_attempt_with_it(form: Form, end: End) -> None:
    """An upstream closes or resets the connection after any byte of a response.

    Whole responses without a length were thrown away, so that requests that had run failed or ran again. A
    reset response that counted as whole would give the client a part of its answer.
    """
    rng = random.Random(SEED)

    @uvloop_test
    async def run() -> None:
        pool = UpstreamPool(make_config(), 8, asyncio.get_running_loop())
        with RawListener() as upstream:
            ends: list[tuple[Outcome, UpstreamResponse | None]] = []
            for cut in range(len(form.written) + 1):
                ends.clear()
                attempt = Attempt(
                    1, 0, b"s-1", 0, lambda _, outcome, response: ends.append((outcome, response))
                )
                attempt.address = upstream.address
                attempt.request_bytes = make_request()
                pool.send(attempt)
                peer = await upstream.accept_request()
                await write_and_end(peer, form.written[:cut], end, rng.random() < 0.5)
                await wait_until(lambda: ends)
                [(outcome, response)] = ends
                body = form.body_after(cut, end)
                seen = None if response is None else (response.status, response.body)
                assert seen == (None if body is None else (form.status, body)), cut
                assert outcome is (Outcome.CONNECTION_LOST if body is None else form.outcome), cut
                await wait_until(lambda: not pool.connections)

    run()


async def connect(discovery: RawListener) -> DiscoveryConnection:
    """Return an established connection to a fake discovery."""
    connection = DiscoveryConnection(discovery.address)
    await asyncio.get_running_loop().create_connection(lambda: connection, *discovery.address)
    return connection


def connection_has_ended(connection: DiscoveryConnection) -> bool:
    """Return whether no further request can be sent on the connection."""
    return not connection.is_usable()


@pytest.mark.parametrize(("form", "end"), CUTS)
def test_only_a_whole_response_of_discovery_is_the_result_of_its_request(form: Form, end: End) -> None:
    """Discovery closes or resets the connection after any byte of a response.

    Whole lists without a length were thrown away, so that draining endpoints got requests for as long as
    discovery sent no length.
    """
    rng = random.Random(SEED)

    @uvloop_test
    async def run() -> None:
        with RawListener() as discovery:
            for cut in range(len(form.written) + 1):
                connection = await connect(discovery)
                request = connection.get(b"/catalog/members")
                peer = await discovery.accept_request()
                await write_and_end(peer, form.written[:cut], end, rng.random() < 0.5)
                body = form.body_after(cut, end)
                if body is None:
                    with pytest.raises(DiscoveryUnreachable):
                        await request
                elif form.status != 200:
                    with pytest.raises(DiscoveryError, match=f"not {form.status}"):
                        await request
                else:
                    assert await request == body, cut
                await wait_until(partial(connection_has_ended, connection))

    run()


@pytest.mark.parametrize("end", End)
@pytest.mark.parametrize("data", [b"", b"abc"], ids=["nothing", "some bytes"])
@pytest.mark.parametrize("has_pause", [False, True], ids=["same iteration", "later iteration"])
def test_event_loop_reports_an_orderly_end_and_a_reset_differently(
    end: End, data: bytes, has_pause: bool
) -> None:
    """`ResponseFraming` relies on this: `eof_received` is called after a FIN, and never after a reset."""
    calls: list[object] = []

    class Recorder(asyncio.Protocol):
        def data_received(self, received: bytes) -> None:
            calls.append(received)

        def eof_received(self) -> None:
            calls.append("eof_received")

        def connection_lost(self, exc: Exception | None) -> None:
            calls.append(type(exc))

    @uvloop_test
    async def run() -> None:
        with RawListener() as listener:
            loop = asyncio.get_running_loop()
            await loop.create_connection(Recorder, *listener.address)
            peer, _ = await loop.sock_accept(listener.listener)
            await write_and_end(peer, data, end, has_pause)
            await wait_until(lambda: calls and isinstance(calls[-1], type))

    run()
    ending = [ConnectionResetError] if end is End.RESET else ["eof_received", type(None)]
    assert calls == ([data] if data else []) + ending


@pytest.mark.parametrize(("kind", "repeat"), [("look", "free"), ("file", "single_shot")])
def test_response_without_length_reaches_its_client_and_the_request_runs_once(kind: str, repeat: str) -> None:
    """A backend's response has no length and comes whole, with an orderly end of its connection.

    The client of a non-idempotent request was told that it failed, although it had run; any other request
    ran again at the next backend.
    """
    profiles = [{**profile, "repeat": repeat} for profile in settings_dict()["profiles"]]

    @uvloop_test
    async def run() -> None:
        with RawListener() as one, RawListener() as two:
            known = endpoint_list_dict(member_dict("s-1", one.address[1]), member_dict("s-2", two.address[1]))
            async with running_server(settings=settings_dict(profiles=profiles), known=known) as server:
                client, to_server = await server.connect_client()
                to_server.write(make_request(kind, Idempotency_Key=None))
                accepting = [asyncio.ensure_future(backend.accept_request()) for backend in (one, two)]
                [accepted], [other] = await asyncio.wait(accepting, return_when=asyncio.FIRST_COMPLETED)
                response = b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n" + BODY
                await write_and_end(accepted.result(), response, End.FIN, has_pause=False)
                line, _, body = await read_message(client)
                assert (line.split()[1], body) == ("200", BODY)
                await wait_until(lambda: not server.proxy.requests)
                assert not other.done()
                other.cancel()

    run()

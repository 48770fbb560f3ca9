"""Clients that cost a front door much: they flood it, stop in the middle of a request, or do not read.

Each behaviour plays one connection until it ends, and is played again on a new one until the time is up.
`python -m tests.bad_clients BEHAVIOUR PORT CONNECTIONS SECONDS` plays one on many connections at once.
"""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from itertools import count
from typing import cast

import uvloop

from tests.client_side import SMALL_BUFFER_BYTES
from tests.loopback import HEALTH_CHECK, make_request
from tests.proxy.message_cuts import chunked
from yardlane.proxy.client_connection import MAX_PENDING_REQUESTS
from yardlane.proxy.message_body import MAX_BODY_BYTES

Behaviour = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

READ_BYTES = 65_536
REQUESTS_AT_ONCE = 100
STOP_S = 3600.0  # longer than any run; a client that stops stays until its connection is closed
LAST_CHUNK = b"0\r\n\r\n"
GARBAGE = b"\0" * READ_BYTES
numbers = count(1)


def fresh_request(kind: str = "look", **changes: str | None) -> bytes:
    """Return a request with a trace id and an account that no request had before."""
    number = next(numbers)
    return make_request(kind, f"bad{number:x}", Account=f"{number % 2**32:016x}", **changes)


def with_short_fields(request: bytes, fields: int) -> bytes:
    """Return the request with `fields` more header lines of four bytes."""
    return request[:-2] + b"a:\r\n" * fields + b"\r\n"


def large_request(sent_bytes: int, body_bytes: int = MAX_BODY_BYTES) -> bytes:
    """Return a request that announces `body_bytes` and has the first `sent_bytes` of them."""
    request = fresh_request("file", Content_Length=str(body_bytes))
    return request + b"x" * sent_bytes


async def read_until_end(reader: asyncio.StreamReader) -> None:
    """Read until the front door closes the connection."""
    while await reader.read(READ_BYTES):
        pass


async def write_at_full_speed(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, make_bytes: Callable[[], bytes]
) -> None:
    """Write as fast as the connection takes it, and read all answers, until the connection ends."""
    reading = asyncio.ensure_future(read_until_end(reader))
    try:
        while not reading.done():
            writer.write(make_bytes())
            await writer.drain()
    finally:
        reading.cancel()


async def many_short_fields(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Write 100 requests of 600 short header fields at once."""
    writer.write(with_short_fields(fresh_request(), 600) * REQUESTS_AT_ONCE)
    await read_until_end(reader)


async def small_reads_of_short_fields(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Write invalid requests of 300 short header fields one after another, each after its answer."""
    request = with_short_fields(make_request("none"), 300)
    while True:
        writer.write(request)
        if not await reader.read(READ_BYTES):
            return


async def short_fields_that_stop(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Stop in the middle of a head of very many short fields."""
    writer.write(with_short_fields(fresh_request(), 2600)[:-2])
    await read_until_end(reader)


async def large_body_that_stops(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Stop shortly before the end of the largest body."""
    writer.write(large_request(MAX_BODY_BYTES - 1000))
    await read_until_end(reader)


async def large_body_in_small_chunks(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Write the largest body in chunks of one byte, and stop before its end."""
    head = fresh_request("file", Content_Length=None, Transfer_Encoding="chunked")
    writer.write(head + chunked(MAX_BODY_BYTES - 1, 1).removesuffix(LAST_CHUNK))
    await read_until_end(reader)


async def slow_large_body(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Write the largest body in pieces of 1,000 bytes, 20 ms apart."""
    reading = asyncio.ensure_future(read_until_end(reader))
    data = large_request(MAX_BODY_BYTES - 1)
    for start in range(0, len(data), 1000):
        writer.write(data[start : start + 1000])
        await asyncio.sleep(0.02)
    await reading


async def whole_large_requests(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Write as many requests with the largest body as are forwarded at a time, then read."""
    for _ in range(MAX_PENDING_REQUESTS):
        writer.write(large_request(MAX_BODY_BYTES))
    await read_until_end(reader)


async def unread_responses(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Write sound requests without reading anything."""
    cast(asyncio.Transport, writer.transport).pause_reading()
    while True:
        writer.write(fresh_request())
        await asyncio.wait_for(writer.drain(), STOP_S)
        await asyncio.sleep(0.01)


async def unread_large_responses(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Write sound requests with a small receive buffer, and read nothing."""
    client_socket = writer.get_extra_info("socket")
    client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    await unread_responses(reader, writer)


async def unsound_requests(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Write small requests of an unknown class at full speed."""
    await write_at_full_speed(reader, writer, lambda: make_request("none") * REQUESTS_AT_ONCE)


async def health_checks(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Write health checks at full speed."""
    await write_at_full_speed(reader, writer, lambda: HEALTH_CHECK * MAX_PENDING_REQUESTS)


async def new_accounts(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Write sound requests at full speed, each of another account."""
    await write_at_full_speed(reader, writer, fresh_request)


async def new_accounts_without_time(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Write sound requests at full speed, each of another account, and with hardly any time left."""
    await write_at_full_speed(reader, writer, lambda: fresh_request(X_Expires_In="11m"))


async def new_names(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Write requests with another class, plan, path and header name each, one after another."""
    while True:
        name = f"n{next(numbers)}"
        request = make_request(name, name, Plan=name, Quota_Info=f"units=1.{next(numbers)},spread=1,first=0")
        writer.write(request.replace(b"/api", b"/" + name.encode()))
        if not await reader.read(READ_BYTES):
            return


async def bytes_after_an_error(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Write bytes that are not HTTP, and go on writing at full speed while the connection closes."""
    await write_at_full_speed(reader, writer, lambda: GARBAGE)


async def http_1_0_requests(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Write an unsound HTTP/1.0 request, after whose answer the connection closes."""
    writer.write(make_request("none").replace(b"HTTP/1.1", b"HTTP/1.0"))
    await read_until_end(reader)


async def whole_requests_in_small_chunks(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Write unsound requests with bodies in chunks of three bytes, one after another."""
    head = make_request("none", Transfer_Encoding="chunked")
    request = head + chunked(MAX_BODY_BYTES, 3)
    while True:
        writer.write(request)
        if not await reader.read(READ_BYTES):
            return


async def bursts_that_leave(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Write 60 sound requests at once, and leave 20 ms later with the answers unread."""
    cast(asyncio.Transport, writer.transport).pause_reading()
    writer.write(b"".join(fresh_request() for _ in range(60)))
    await asyncio.sleep(0.02)


async def connections_that_leave(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Write half a request and leave."""
    writer.write(make_request()[:100])


BEHAVIOURS: dict[str, Behaviour] = {
    behaviour.__name__.replace("_", "-"): behaviour
    for behaviour in (
        many_short_fields,
        small_reads_of_short_fields,
        short_fields_that_stop,
        large_body_that_stops,
        large_body_in_small_chunks,
        slow_large_body,
        whole_large_requests,
        unread_responses,
        unread_large_responses,
        unsound_requests,
        health_checks,
        new_accounts,
        new_accounts_without_time,
        new_names,
        bytes_after_an_error,
        http_1_0_requests,
        whole_requests_in_small_chunks,
        bursts_that_leave,
        connections_that_leave,
    )
}


async def play_one(behaviour: Behaviour, port: int) -> None:
    """Play a behaviour again and again, each time on a new connection; never returns."""
    while True:
        with suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                await behaviour(reader, writer)
            finally:
                writer.transport.abort()
        await asyncio.sleep(0.001)


async def play(behaviour: Behaviour, port: int, connections: int, seconds: float) -> None:
    """Play a behaviour on many connections at once for some seconds."""
    tasks = [asyncio.ensure_future(play_one(behaviour, port)) for _ in range(connections)]
    ends_s = time.monotonic() + seconds
    while time.monotonic() < ends_s:
        await asyncio.sleep(0.05)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


if __name__ == "__main__":
    name, port_text, connections_text, seconds_text = sys.argv[1:]
    uvloop.run(play(BEHAVIOURS[name], int(port_text), int(connections_text), float(seconds_text)))

"""One HTTP connection to discovery, which carries one request at a time."""

from __future__ import annotations

import asyncio
from typing import cast

import httptools

from yardlane.config import Address
from yardlane.errors import DiscoveryError, DiscoveryUnreachable

MAX_BODY_BYTES = 8_000_000
HTTP_OK = 200


class DiscoveryConnection(asyncio.Protocol):
    """A connection that is reused until either side ends it.

    A request fails with DiscoveryUnreachable where the connection ends first, and with DiscoveryError where
    the response is not HTTP, has another status than 200 or a body over `MAX_BODY_BYTES`. After either the
    connection is closed.
    """

    def __init__(self, address: Address) -> None:
        host, port = address
        self.host_header = f"{host}:{port}".encode()
        self.transport: asyncio.Transport | None = None
        self.response: asyncio.Future[bytearray] | None = None
        self.parser = httptools.HttpResponseParser(self)
        # One growing buffer: a body that drips in as a list of small chunks would take many times its size.
        self.body = bytearray()

    def get(self, path: bytes) -> asyncio.Future[bytearray]:
        """Send a request; the body of its response."""
        if self.transport is None:  # it was lost in the same turn of the loop in which it came up
            raise DiscoveryUnreachable("connection ended")
        self.body = bytearray()
        self.response = asyncio.get_running_loop().create_future()
        self.transport.write(b"GET " + path + b" HTTP/1.1\r\nHost: " + self.host_header + b"\r\n\r\n")
        return self.response

    def is_usable(self) -> bool:
        """Whether another request may be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def close(self) -> None:
        """Drop the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def _fail(self, error: Exception) -> None:
        if self.response is not None and not self.response.done():
            self.response.set_exception(error)
        self.close()

    # What asyncio calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It has come up."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is none by its type

    def connection_lost(self, exc: Exception | None) -> None:
        """It has ended, by either side."""
        self.transport = None
        self._fail(DiscoveryUnreachable("connection ended"))

    def data_received(self, data: bytes) -> None:
        """Bytes of a response, which the parser takes apart."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(DiscoveryError(f"malformed response: {error.__context__ or error}"))

    # What the parser calls

    def on_body(self, body: bytes) -> None:
        """A piece of the body."""
        if len(self.body) + len(body) > MAX_BODY_BYTES:
            raise DiscoveryError(f"list over {MAX_BODY_BYTES} bytes")
        self.body += body

    def on_message_complete(self) -> None:
        """The end of a response; an informational one (1xx) is followed by the real one."""
        status = self.parser.get_status_code()
        if status < HTTP_OK:
            return
        if status != HTTP_OK:
            self._fail(DiscoveryError(f"status {status}"))
            return
        if self.response is not None and not self.response.done():
            self.response.set_result(self.body)
        if not self.parser.should_keep_alive():
            self.close()

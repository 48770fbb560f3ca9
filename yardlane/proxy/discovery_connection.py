"""An HTTP/1.1 connection to discovery, on which one request at a time is sent."""

from __future__ import annotations

import asyncio
from typing import cast

import httptools

from yardlane.config import Address
from yardlane.errors import DiscoveryError, DiscoveryUnreachable, MessageTooLong
from yardlane.proxy.message_meter import MessageMeter, parts_of
from yardlane.proxy.request_headers import FRAMING_HEADERS
from yardlane.proxy.response_framing import ResponseFraming

MAX_BODY_BYTES = 8_000_000
HTTP_OK = 200


class DiscoveryConnection(asyncio.Protocol):
    """A connection to discovery that is used for one request after another until either side closes it.

    A request fails with DiscoveryUnreachable if the connection ends before the response is complete. It fails
    with DiscoveryError if the response is not valid HTTP, has a status other than 200, has a body of more
    than `MAX_BODY_BYTES`, or exceeds the limits of `MessageMeter`. Either error closes the connection.

    An orderly end of the connection completes a response without a length. Such a response may have been cut
    short, so the caller has to check its body.
    """

    def __init__(self, address: Address) -> None:
        host, port = address
        self.host_header = f"{host}:{port}".encode()
        self.transport: asyncio.Transport | None = None
        self.response: asyncio.Future[bytearray] | None = None
        self.parser = httptools.HttpResponseParser(self)
        # A single buffer: if a body arrives in small chunks, a list of the chunks would take many times its
        # size.
        self.body = bytearray()
        # Interim responses count together with the final one, because a request may get any number of them.
        self.meter = MessageMeter()
        self.framing = ResponseFraming()

    def get(self, path: bytes) -> asyncio.Future[bytearray]:
        """Send a GET request and return a future for the body of its response.

        Raises DiscoveryUnreachable if the connection has ended.
        """
        # The connection may be lost in the same iteration of the event loop in which it is established.
        if self.transport is None:
            raise DiscoveryUnreachable("connection ended before the request was sent")
        self.body = bytearray()
        self.meter.has_boundary = True
        self.response = asyncio.get_running_loop().create_future()
        self.transport.write(b"GET " + path + b" HTTP/1.1\r\nHost: " + self.host_header + b"\r\n\r\n")
        return self.response

    def is_usable(self) -> bool:
        """Return whether another request can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def close(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()

    def _fail(self, error: Exception) -> None:
        if self.response is not None and not self.response.done():
            self.response.set_exception(error)
        self.close()

    # Called by asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called when the connection is established; stores its transport."""
        # A cast, as uvloop's transport class is not derived from asyncio.Transport.
        self.transport = cast(asyncio.Transport, transport)

    def eof_received(self) -> None:
        """Called when discovery has closed its side in order; the transport then closes the connection.

        This completes a response whose body ends with the connection. A reset does not: the transport reports
        it to `connection_lost` alone.
        """
        if self.framing.ends_with_connection():
            self.on_message_complete()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called when the connection has ended, on either side; fails a pending request.

        `exc` is the network error, such as a reset, or None after an orderly end.
        """
        self.transport = None
        reason = "ended" if exc is None else f"failed ({exc})"
        self._fail(DiscoveryUnreachable(f"connection {reason} before the response was complete"))

    def data_received(self, data: bytes) -> None:
        """Called when data arrives; parses it as a response, and fails the request if it is malformed."""
        try:
            for part in parts_of(data):
                self.parser.feed_data(part)
                self.meter.count(len(part), 0, len(self.body))
        except MessageTooLong as error:
            self._fail(DiscoveryError(f"malformed response: {error}"))
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # If `on_body` raised an exception, that exception is the context of the parser's own error.
            self._fail(DiscoveryError(f"malformed response: {error.__context__ or error}"))

    # Called by the parser

    def on_message_begin(self) -> None:
        """Called when a response begins."""
        self.framing.has_framing_header = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called for each header; only those that say where the body ends matter."""
        if name.lower() in FRAMING_HEADERS:
            self.framing.has_framing_header = True

    def on_headers_complete(self) -> None:
        """Called at the end of a head."""
        self.framing.is_in_body = True

    def on_body(self, body: bytes) -> None:
        """Called with a part of the body; appends it to the buffer.

        Raises DiscoveryError if the body exceeds `MAX_BODY_BYTES`.
        """
        if len(self.body) + len(body) > MAX_BODY_BYTES:
            raise DiscoveryError(f"body must be at most {MAX_BODY_BYTES} bytes")
        self.body += body

    def on_message_complete(self) -> None:
        """Called at the end of a response; completes the request.

        An informational response (1xx) is skipped, because the final response follows it. Any other status
        than 200 fails the request.
        """
        self.framing.is_in_body = False
        status = self.parser.get_status_code()
        if status < HTTP_OK:
            return
        if status != HTTP_OK:
            self._fail(DiscoveryError(f"response must have status 200, not {status}"))
            return
        if self.response is not None and not self.response.done():
            self.response.set_result(self.body)
        self.body = bytearray()  # the caller owns the old one
        self.meter.has_boundary = True
        if not self.parser.should_keep_alive():
            self.close()

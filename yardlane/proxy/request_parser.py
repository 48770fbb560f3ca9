"""Parses the bytes of a client into complete HTTP requests, and enforces framing rules and size limits.

httptools parses the bytes and calls a method of `RequestParser` for each part of a message. `RequestParser`
collects the parts of one message. It raises `FatalRequestError` if the rest of the connection can no longer
be parsed reliably. `request_validation` interprets the collected request. This module does no I/O and reads
no clock.
"""

from __future__ import annotations

import logging
from typing import Protocol

import httptools

from yardlane.errors import ClientProtocolError, FatalRequestError, MessageTooLong
from yardlane.proxy.client_response import Status
from yardlane.proxy.message_body import MAX_BODY_BYTES, Body, append_part
from yardlane.proxy.message_meter import MAX_HEAD_BYTES, MAX_PART_BYTES, MessageMeter, parts_of
from yardlane.proxy.request_headers import (
    CONNECTION_HEADERS,
    EXPECT,
    EXPIRES_IN_HEADER,
    FRAMING_HEADERS,
    SINGLETON_HEADERS,
    TRANSFER_ENCODING,
)

log = logging.getLogger("yardlane.proxy.request_parser")

MAX_BODY_LENGTH_DIGITS = len(str(MAX_BODY_BYTES))  # of a Content-Length without its leading zeros
HEADER_LINE_EXTRA_BYTES = 4  # the colon, the space and the CRLF
# Four for each header. More are joined, because as an object of its own, a part takes fifty bytes and more.
MAX_HEADER_PARTS = 256


class RequestReceiver(Protocol):
    """Receives the notifications of a `RequestParser`."""

    def on_request_begin(self) -> None:
        """Called when the first byte of a request has been parsed."""

    def on_expect_continue(self) -> None:
        """Called when a client waits for 100 Continue before it sends the body."""

    def on_request(self) -> None:
        """Called when a complete request has been parsed.

        The parser keeps the parts of the request only during this call.
        """


class RequestParser:
    """Parses the requests of one client connection, one at a time."""

    __slots__ = (
        "_has_framing_header",
        "_http",
        "_is_in_trailer",
        "_meter",
        "_receiver",
        "body",
        "head_bytes",
        "header_parts",
        "headers",
        "is_in_message",
        "method",
        "should_keep_alive",
        "url",
    )

    def __init__(self, receiver: RequestReceiver) -> None:
        self._receiver: RequestReceiver | None = receiver
        self._http: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._meter = MessageMeter()
        self.is_in_message = False
        self.method = b""  # as received; set when the request is complete, like `should_keep_alive`
        self.should_keep_alive = True
        self.url = b""
        self.headers: dict[bytes, bytes] = {}  # the headers that the proxy reads, by lower-case name
        self.header_parts: list[bytes] = []  # name, separator, value and CRLF of each forwarded header
        self.body: Body = b""
        self.head_bytes = 0
        self._has_framing_header = False
        self._is_in_trailer = False

    def close(self) -> None:
        """Drop the references that form cycles with the receiver, so that no garbage collection is needed."""
        self._http = None
        self._receiver = None

    def abandon_message(self) -> None:
        """Mark the current message as ended and discard it, because the rest of it will not be parsed."""
        self.is_in_message = False
        self._discard_message()

    def feed(self, data: bytes | memoryview) -> bool:
        """Parse `data`; return False if the client asked to change to another protocol.

        Raises `FatalRequestError` if the data is malformed or exceeds a limit.
        """
        http = self._http
        if http is None:
            return True
        try:
            for part in (data,) if len(data) <= MAX_PART_BYTES else parts_of(data):
                http.feed_data(part)
                if self.is_in_message or not self._meter.has_boundary:  # most requests are complete here
                    self._meter.count(len(part), self.head_bytes, len(self.body))
        except httptools.HttpParserUpgrade:
            return False
        except MessageTooLong as error:
            raise _head_too_long() from error
        except httptools.HttpParserError as error:
            raise _to_client_error(error) from error
        return True

    def buffered_bytes(self) -> int:
        """Return how many bytes the parser holds of a message that has arrived in part."""
        return self.head_bytes + len(self.body) if self.is_in_message else 0

    def http_version(self) -> str:
        """Return the HTTP version without the name of the protocol, such as `1.1`."""
        assert self._http is not None
        return self._http.get_http_version()

    # Called by httptools

    def on_message_begin(self) -> None:
        """Called at the first byte of a message."""
        self._meter.has_boundary = True
        self.is_in_message = True
        if self._receiver is not None:
            self._receiver.on_request_begin()

    def on_url(self, url: bytes) -> None:
        """Called with each part of the request target."""
        self.url += url
        self.head_bytes += len(url)
        if self.head_bytes > MAX_HEAD_BYTES:
            raise _head_too_long()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called with each complete header; ignores those in the trailer of a chunked body."""
        self.head_bytes += len(name) + len(value) + HEADER_LINE_EXTRA_BYTES
        if self.head_bytes > MAX_HEAD_BYTES:
            raise _head_too_long()
        if self._is_in_trailer:
            return
        key = name.lower()
        if key in SINGLETON_HEADERS:
            if key in self.headers:
                raise FatalRequestError(Status.BAD_REQUEST, f"header {key.decode()} more than once")
            self.headers[key] = value
            if key == EXPIRES_IN_HEADER:
                return
        elif key in CONNECTION_HEADERS:
            self._on_connection_header(key, value)
            return
        parts = self.header_parts
        parts += (name, b": ", value, b"\r\n")
        if len(parts) > MAX_HEADER_PARTS:
            self.header_parts = [b"".join(parts)]

    def _on_connection_header(self, key: bytes, value: bytes) -> None:
        """Check a header that applies only to the client's connection, and keep it if it needs an answer."""
        if key in FRAMING_HEADERS:
            self._check_framing(key, value)
        elif key == EXPECT:
            self.headers[key] = value

    def _check_framing(self, key: bytes, value: bytes) -> None:
        """Raise `FatalRequestError` if the framing headers are ambiguous or the body is too long.

        A request may have at most one framing header, and the only allowed transfer coding is chunked. If the
        length of a body could be interpreted in two ways, an upstream might treat part of the body as another
        request (request smuggling).
        """
        is_unsupported_coding = key == TRANSFER_ENCODING and value.strip().lower() != b"chunked"
        if self._has_framing_header or is_unsupported_coding:
            raise FatalRequestError(Status.BAD_REQUEST, "odd framing")
        self._has_framing_header = True
        digits = value.lstrip(b"0")
        if digits.isdigit() and (len(digits) > MAX_BODY_LENGTH_DIGITS or int(digits) > MAX_BODY_BYTES):
            raise _body_too_long()

    def on_headers_complete(self) -> None:
        """Called at the end of the head; notifies the receiver if the client waits for 100 Continue."""
        self._is_in_trailer = True
        if EXPECT not in self.headers or self._receiver is None:
            return
        if self.headers[EXPECT].lower() == b"100-continue":
            self._receiver.on_expect_continue()

    def on_body(self, part: bytes) -> None:
        """Called with each part of the body; for a chunked body, without the chunk framing."""
        self.body = append_part(self.body, part)
        if len(self.body) > MAX_BODY_BYTES:
            raise _body_too_long()

    def on_message_complete(self) -> None:
        """Called at the last byte of a message; passes the request to the receiver."""
        self._meter.has_boundary = True
        self.is_in_message = False
        if self._http is not None and self._receiver is not None:
            self.method = self._http.get_method()
            self.should_keep_alive = self._http.should_keep_alive()  # only valid during this call
            self._receiver.on_request()
        self._discard_message()

    def _discard_message(self) -> None:
        """Discard the parts of the message, so that the connection holds none of them while it is idle."""
        self.url = b""
        self.headers = {}
        self.header_parts = []
        self.body = b""
        self.head_bytes = 0
        self._has_framing_header = False
        self._is_in_trailer = False


def _to_client_error(error: httptools.HttpParserError) -> ClientProtocolError:
    """Return the error with which the client is answered after an error of httptools.

    If a callback raised an exception, httptools raises its own error with that exception as the context.
    """
    cause = error.__context__
    if isinstance(cause, ClientProtocolError):
        return cause
    if cause is not None:
        log.error("unexpected exception %r while parsing a client request; answering with status 400", cause)
    return FatalRequestError(Status.BAD_REQUEST, "malformed request")


def _head_too_long() -> FatalRequestError:
    """Return the error for a head over the limit, without which a head could fill the memory."""
    return FatalRequestError(Status.REQUEST_HEADER_FIELDS_TOO_LARGE, f"head over {MAX_HEAD_BYTES} bytes")


def _body_too_long() -> FatalRequestError:
    return FatalRequestError(Status.CONTENT_TOO_LARGE, f"body over {MAX_BODY_BYTES} bytes")

"""From a client's bytes to whole HTTP requests: framing and size limits. No I/O and no clock.

httptools splits the bytes and calls back for each part; `RequestParser` collects the parts of one message and
raises `FatalRequestError` where the rest of the connection cannot be trusted any more. What a request means
is read in `request_validation`.
"""

from __future__ import annotations

import logging
from typing import Protocol

import httptools

from yardlane.errors import ClientProtocolError, FatalRequestError
from yardlane.proxy.client_response import Status

log = logging.getLogger("yardlane.proxy.request_parser")

MAX_HEAD_BYTES = 16_384
MAX_BODY_BYTES = 65_536
HEADER_LINE_EXTRA_BYTES = 4  # the colon, the space and the line end

CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
EXPECT = b"expect"
FRAMING_HEADERS = frozenset((CONTENT_LENGTH, TRANSFER_ENCODING))
# The wire's names of what a request says. `request_validation` maps each to a field of `ParsedRequest`.
TRACE_ID_HEADER = b"x-trace-id"
REQUEST_CLASS_HEADER = b"x-qos"
QUOTA_PLAN_HEADER = b"plan"
TENANT_HEADER = b"account"
EXPIRES_IN_HEADER = b"x-expires-in"
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
QUOTA_INFO_HEADER = b"quota-info"
RETRY_HEADER = b"x-second-try"
HOST_HEADER = b"host"
SINGLETON_HEADERS = frozenset(
    (
        TRACE_ID_HEADER,
        REQUEST_CLASS_HEADER,
        QUOTA_PLAN_HEADER,
        TENANT_HEADER,
        EXPIRES_IN_HEADER,
        IDEMPOTENCY_KEY_HEADER,
        QUOTA_INFO_HEADER,
        RETRY_HEADER,
        HOST_HEADER,
    )
)
# Headers that are about one connection, or that the proxy writes anew.
NON_FORWARDED_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        TRANSFER_ENCODING,
        b"upgrade",
        CONTENT_LENGTH,
        EXPECT,
        EXPIRES_IN_HEADER,
    )
)


class RequestReceiver(Protocol):
    """Who is notified of the requests that a parser finds."""

    def on_request_begin(self) -> None:
        """The first byte of a request was read."""

    def on_expect_continue(self) -> None:
        """The client waits for 100 Continue before it sends the body."""

    def on_request(self) -> None:
        """A whole request was read. Its parts stay in the parser until the next one begins."""


class RequestParser:
    """Collects the parts of one request at a time."""

    __slots__ = (
        "_has_framing_header",
        "_http",
        "_is_in_trailer",
        "_receiver",
        "body_bytes",
        "body_parts",
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
        self.is_in_message = False
        self.method = b""  # as it came; like the next, only known from `on_request` on
        self.should_keep_alive = True
        self.url = b""
        self.headers: dict[bytes, bytes] = {}  # those that are read here, by their name in lower case
        self.header_parts: list[bytes] = []  # name, separator, value, line end of each that is forwarded
        self.body_parts: list[bytes] = []
        self.body_bytes = 0
        self.head_bytes = 0
        self._has_framing_header = False
        self._is_in_trailer = False

    def close(self) -> None:
        """Drop the references to the receiver, which holds this one: nothing is left to the collector."""
        self._http = None
        self._receiver = None

    def abandon_message(self) -> None:
        """No more is read of the message that has begun."""
        self.is_in_message = False

    def feed(self, data: bytes) -> bool:
        """Parse `data`; False if the client asked for another protocol, which what follows may be.

        Raises `FatalRequestError`.
        """
        if self._http is None:
            return True
        try:
            self._http.feed_data(data)
        except httptools.HttpParserUpgrade:
            return False
        except httptools.HttpParserError as error:
            raise _to_client_error(error) from error
        return True

    def http_version(self) -> str:
        """The version alone, such as `1.1`."""
        assert self._http is not None
        return self._http.get_http_version()

    # The calls of httptools

    def on_message_begin(self) -> None:
        """A message's first byte."""
        self.is_in_message = True
        self.url = b""
        self.headers = {}
        self.header_parts = []
        self.body_parts = []
        self.body_bytes = 0
        self.head_bytes = 0
        self._has_framing_header = False
        self._is_in_trailer = False
        if self._receiver is not None:
            self._receiver.on_request_begin()

    def on_url(self, url: bytes) -> None:
        """A part of the target."""
        self.url += url
        self.head_bytes += len(url)
        if self.head_bytes > MAX_HEAD_BYTES:
            raise _head_too_long()

    def on_header(self, name: bytes, value: bytes) -> None:
        """A whole header, or one of the trailer of a chunked body."""
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
        elif key in FRAMING_HEADERS:
            self._check_framing(key, value)
        elif key == EXPECT:
            self.headers[key] = value
        if key not in NON_FORWARDED_HEADERS:
            self.header_parts += (name, b": ", value, b"\r\n")

    def _check_framing(self, key: bytes, value: bytes) -> None:
        """One framing header at most, and no transfer coding but chunked.

        Where a body's length can be read in two ways, a backend may take a part of the body for a further
        request (request smuggling).
        """
        is_unsupported_coding = key == TRANSFER_ENCODING and value.strip().lower() != b"chunked"
        if self._has_framing_header or is_unsupported_coding:
            raise FatalRequestError(Status.BAD_REQUEST, "odd framing")
        self._has_framing_header = True
        if value.isdigit() and int(value) > MAX_BODY_BYTES:
            raise _body_too_long()

    def on_headers_complete(self) -> None:
        """The head's end."""
        self._is_in_trailer = True
        if EXPECT not in self.headers or self._receiver is None:
            return
        if self.headers[EXPECT].lower() == b"100-continue":
            self._receiver.on_expect_continue()

    def on_body(self, part: bytes) -> None:
        """A part of the body, without the framing of a chunked one."""
        self.body_bytes += len(part)
        if self.body_bytes > MAX_BODY_BYTES:
            raise _body_too_long()
        self.body_parts.append(part)

    def on_message_complete(self) -> None:
        """A message's last byte."""
        self.is_in_message = False
        if self._http is None or self._receiver is None:
            return
        self.method = self._http.get_method()
        self.should_keep_alive = self._http.should_keep_alive()  # only valid within this call
        self._receiver.on_request()


def _to_client_error(error: httptools.HttpParserError) -> ClientProtocolError:
    """What a callback raised, which httptools keeps as the context of its own error."""
    cause = error.__context__
    if isinstance(cause, ClientProtocolError):
        return cause
    if cause is not None:
        log.error("reading a client's request failed: %r", cause)
    return FatalRequestError(Status.BAD_REQUEST, "malformed request")


def _head_too_long() -> FatalRequestError:
    """A head without end would fill the memory."""
    return FatalRequestError(Status.REQUEST_HEADER_FIELDS_TOO_LARGE, f"head over {MAX_HEAD_BYTES} bytes")


def _body_too_long() -> FatalRequestError:
    return FatalRequestError(Status.CONTENT_TOO_LARGE, f"body over {MAX_BODY_BYTES} bytes")

"""Encodes the responses to clients."""

from __future__ import annotations

import math
from enum import IntEnum

from yardlane.units import MS_PER_S, US_PER_MS


class Status(IntEnum):
    """The HTTP status codes of the proxy's responses to clients."""

    OK = 200
    BAD_REQUEST = 400
    METHOD_NOT_ALLOWED = 405
    REQUEST_TIMEOUT = 408
    CONFLICT = 409
    CONTENT_TOO_LARGE = 413
    TOO_MANY_REQUESTS = 429
    REQUEST_HEADER_FIELDS_TOO_LARGE = 431
    INTERNAL_SERVER_ERROR = 500
    BAD_GATEWAY = 502
    SERVICE_UNAVAILABLE = 503


REASON_PHRASES: dict[int, bytes] = {
    Status.OK: b"OK",
    Status.BAD_REQUEST: b"Bad Request",
    Status.METHOD_NOT_ALLOWED: b"Method Not Allowed",
    Status.REQUEST_TIMEOUT: b"Request Timeout",
    Status.CONFLICT: b"Conflict",
    Status.CONTENT_TOO_LARGE: b"Content Too Large",
    Status.TOO_MANY_REQUESTS: b"Too Many Requests",
    Status.REQUEST_HEADER_FIELDS_TOO_LARGE: b"Request Header Fields Too Large",
    Status.INTERNAL_SERVER_ERROR: b"Internal Server Error",
    Status.BAD_GATEWAY: b"Bad Gateway",
    Status.SERVICE_UNAVAILABLE: b"Service Unavailable",
}
UNKNOWN_REASON_PHRASE = b"Other"
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


def encode_response(status: int, body: bytes, header_lines: bytes, closes_connection: bool) -> bytes:
    """Encode a final response. `header_lines` holds complete header lines, each with its CRLF."""
    reason = REASON_PHRASES.get(status, UNKNOWN_REASON_PHRASE)
    return b"".join(
        (
            b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n" % (status, reason, len(body)),
            header_lines,
            b"Connection: close\r\n\r\n" if closes_connection else b"\r\n",
            body,
        )
    )


def retry_after_line(delay_us: int) -> bytes:
    """Return the Retry-After header line for a delay, or no bytes if the delay is not positive.

    The header gives the delay in seconds with three decimals. It is rounded up, so that clients do not retry
    too early.
    """
    if delay_us <= 0:
        return b""
    return b"Retry-After: %.3f\r\n" % (math.ceil(delay_us / US_PER_MS) / MS_PER_S)

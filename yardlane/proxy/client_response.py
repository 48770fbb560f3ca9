"""How a response to a client is encoded."""

from __future__ import annotations

import math

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}
UNKNOWN_REASON = b"Other"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
US_PER_MS = 1000
MS_PER_S = 1000


def encode_response(status: int, body: bytes, header_lines: bytes, closes_connection: bool) -> bytes:
    """The bytes of a final response. `header_lines` holds whole header lines, each with its line end."""
    reason = REASONS.get(status, UNKNOWN_REASON)
    return b"".join(
        (
            b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n" % (status, reason, len(body)),
            header_lines,
            b"Connection: close\r\n\r\n" if closes_connection else b"\r\n",
            body,
        )
    )


def retry_after_line(delay_us: int) -> bytes:
    """The header line that says when to send the request again; empty for a delay of 0.

    The delay is in seconds with three decimals, rounded up so that no client comes back too early.
    """
    if delay_us <= 0:
        return b""
    return b"Retry-After: %.3f\r\n" % (math.ceil(delay_us / US_PER_MS) / MS_PER_S)

"""Defines the record that the proxy keeps of a client's request, from its arrival until it is forgotten."""

from __future__ import annotations

import asyncio

from yardlane.proxy.attempt import Attempt
from yardlane.proxy.client_request import ClientRequest
from yardlane.proxy.request_validation import ParsedRequest
from yardlane.units import US_PER_MS

MIN_EXPIRES_IN_MS = 1  # also sent if less than a millisecond is left


class RequestInFlight:
    """A request that the proxy keeps until the decider knows that it and all its attempts have ended.

    `has_ended` is true once the request has its final answer or its client has disconnected; some of its
    attempts may still be in flight then. `deadline_us` is a time of the proxy's clock.
    """

    __slots__ = (
        "attempts",
        "attempts_in_flight",
        "client_request",
        "deadline_us",
        "has_ended",
        "parsed",
        "watchdog_timer",
    )

    def __init__(self, client_request: ClientRequest, parsed: ParsedRequest, deadline_us: int) -> None:
        self.client_request = client_request
        self.parsed = parsed
        self.deadline_us = deadline_us
        self.attempts: list[Attempt] = []
        self.attempts_in_flight = 0
        self.has_ended = False
        self.watchdog_timer: asyncio.TimerHandle | None = None

    def discard_message(self) -> None:
        """Discard the head and the body, because the request has ended and is not sent any more."""
        self.parsed.head = b""
        self.parsed.body = b""

    def encode(self, time_left_us: int) -> bytes:
        """Return the request as it is sent to an upstream, with `time_left_us` as its X-Expires-In header."""
        parsed = self.parsed
        content_length = b"Content-Length: %d\r\n" % len(parsed.body) if parsed.is_write else b""
        expires_in_ms = max(MIN_EXPIRES_IN_MS, time_left_us // US_PER_MS)
        expires_in = b"X-Expires-In: %dm\r\n\r\n" % expires_in_ms
        return b"".join((parsed.head, content_length, expires_in, parsed.body))

"""One request of a client, from its arrival until the decisions know that it and its attempts have ended."""

from __future__ import annotations

import asyncio

from yardlane.proxy.attempt import Attempt
from yardlane.proxy.client_request import ClientRequest
from yardlane.proxy.request_validation import ParsedRequest
from yardlane.units import US_PER_MS

MIN_EXPIRES_IN_MS = 1


class RequestInFlight:
    """`has_ended` once it has its final answer or its client has left; its attempts may then still go on."""

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

    def encode(self, time_left_us: int) -> bytes:
        """The request as an upstream gets it, with the time that is left for it."""
        parsed = self.parsed
        content_length = b"Content-Length: %d\r\n" % len(parsed.body) if parsed.is_write else b""
        expires_in_ms = max(MIN_EXPIRES_IN_MS, time_left_us // US_PER_MS)
        expires_in = b"X-Expires-In: %dm\r\n\r\n" % expires_in_ms
        return b"".join((parsed.head, content_length, expires_in, parsed.body))

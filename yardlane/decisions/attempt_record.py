"""One attempt of a request, as the decisions remember it."""

from __future__ import annotations

from yardlane.decisions.endpoint_record import EndpointRecord


class AttemptRecord:
    """One attempt: where and when it was sent, and what is known of it.

    `may_have_run` stays true until the outcome proves that the endpoint never began the request: an attempt
    that timed out or lost its connection may have taken effect.
    """

    __slots__ = ("endpoint", "in_flight", "may_have_run", "sent_at_us")

    def __init__(self, endpoint: EndpointRecord, sent_at_us: int) -> None:
        self.endpoint = endpoint
        self.sent_at_us = sent_at_us
        self.in_flight = True
        self.may_have_run = True

"""The gateway's record of one attempt of a request."""

from __future__ import annotations

from yardlane.decisions.endpoint_record import EndpointRecord
from yardlane.decisions.events import Outcome

NEVER_RAN_OUTCOMES = (Outcome.REJECTED, Outcome.NOT_CONNECTED, Outcome.NOT_SENT)


class AttemptRecord:
    """The endpoint and the start time of one attempt, and what is known about its state.

    `may_have_run` is true until the outcome proves that the endpoint never began to process the request. It
    stays true for an attempt that timed out or lost its connection, as that may have taken effect.
    """

    __slots__ = ("endpoint", "is_in_flight", "may_have_run", "sent_at_us")

    def __init__(self, endpoint: EndpointRecord, sent_at_us: int) -> None:
        self.endpoint = endpoint
        self.sent_at_us = sent_at_us
        self.is_in_flight = True
        self.may_have_run = True

    def record_end(self, outcome: Outcome) -> None:
        """Record the outcome of the attempt."""
        self.is_in_flight = False
        self.may_have_run = outcome not in NEVER_RAN_OUTCOMES

"""Outliers: how much worse than others an endpoint is. It weighs in load balancing; none is ejected.

Each endpoint has a failure rate from 0 to 1, of all requests and of each quota plan (an endpoint may be full
for one plan alone), and a latency ratio: its service times over the means of all endpoints. They are moving
averages over attempts, which `load_balancing.py` makes costs of. `decay_factor` lets both fade while an
endpoint is not used, so that it gets requests again and can recover.

What counts:
- a response: as no failure, of all and of its plan, and with its time;
- a rejection: as a failure of its plan;
- any other failure: as a failure of all; but not one that the client or this gateway caused, as a cancelled
  or unsent attempt, or a timeout sooner than `OVERDUE_MULTIPLE` mean service times, where the request came
  with little time left;
- an attempt in flight for `OVERDUE_MULTIPLE` means: as that latency, long before any timeout. It is also a
  failure, unless the endpoint has responded to another attempt that was in flight meanwhile: then it is
  slow, not silent.

An attempt that was overdue counts once more when it ends; one that was silent and then times out counts
as two failures.

Nothing counts of an attempt that was in flight while the gateway itself stalled (`timers.py`): responses that
lay unread would make outliers of all endpoints at once.
"""

from __future__ import annotations

from yardlane.decisions.attempt_record import AttemptRecord
from yardlane.decisions.endpoint_record import EndpointRecord
from yardlane.decisions.events import Outcome
from yardlane.decisions.settings import QuotaPlan
from yardlane.decisions.timers import Timers
from yardlane.decisions.units import SECOND_US

FAILURE_SAMPLE_WEIGHT = 0.25  # failures must show fast
LATENCY_SAMPLE_WEIGHT = 0.1
OVERDUE_MULTIPLE = 4.0  # of the mean service time
DECAY_PER_S = 0.1  # the share of a bad record that a second without use takes away


def decay_factor(unused_us: int) -> float:
    """The share of an endpoint's record that still counts after it was not used for so long."""
    factor: float = (1.0 - DECAY_PER_S) ** (unused_us / SECOND_US)
    return factor


def overdue_after_us(mean_service_time_us: float) -> int:
    """How long after its start an attempt is overdue."""
    return int(OVERDUE_MULTIPLE * mean_service_time_us)


class OutlierDetection:
    """Keeps the failure rates and latency ratios of the endpoints."""

    __slots__ = ("_timers",)

    def __init__(self, timers: Timers) -> None:
        self._timers = timers

    def record_response(
        self, attempt: AttemptRecord, plan: QuotaPlan, elapsed_us: int, mean_service_time_us: float
    ) -> None:
        """Count an attempt that got a good response."""
        if self._was_in_flight_during_stall(attempt):
            return
        _add_failure_sample(attempt.endpoint, None, 0.0)
        _add_failure_sample(attempt.endpoint, plan, 0.0)
        _add_latency_sample(attempt.endpoint, elapsed_us / mean_service_time_us)

    def record_failure(
        self,
        attempt: AttemptRecord,
        plan: QuotaPlan,
        outcome: Outcome,
        elapsed_us: int,
        mean_service_time_us: float,
    ) -> None:
        """Count an attempt that ended without a good response."""
        if self._was_in_flight_during_stall(attempt) or outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        if outcome is Outcome.TIMED_OUT and elapsed_us < OVERDUE_MULTIPLE * mean_service_time_us:
            return
        _add_failure_sample(attempt.endpoint, plan if outcome is Outcome.REJECTED else None, 1.0)

    def record_overdue(self, attempt: AttemptRecord) -> None:
        """Count an attempt that is in flight for `OVERDUE_MULTIPLE` mean service times."""
        if self._was_in_flight_during_stall(attempt):
            return
        responded_since = attempt.endpoint.last_success_at_us > attempt.sent_at_us
        _add_failure_sample(attempt.endpoint, None, 0.0 if responded_since else 1.0)
        _add_latency_sample(attempt.endpoint, OVERDUE_MULTIPLE)

    def _was_in_flight_during_stall(self, attempt: AttemptRecord) -> bool:
        return attempt.sent_at_us < self._timers.stall_ended_at_us


def _add_failure_sample(endpoint: EndpointRecord, plan: QuotaPlan | None, sample: float) -> None:
    rate = endpoint.failure_rates.get(plan, 0.0)
    endpoint.failure_rates[plan] = rate + FAILURE_SAMPLE_WEIGHT * (sample - rate)


def _add_latency_sample(endpoint: EndpointRecord, ratio: float) -> None:
    sample = min(ratio, OVERDUE_MULTIPLE)
    endpoint.latency_ratio += LATENCY_SAMPLE_WEIGHT * (sample - endpoint.latency_ratio)

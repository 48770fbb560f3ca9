"""Outlier detection: how often the attempts at an endpoint fail, and how slow it is compared with the others.

Endpoints are not divided into outliers and others, and none is ejected. The worse the statistics of an
endpoint are, the more an attempt there costs in load balancing (`load_balancing.py`).

Each endpoint has a failure rate over all plans and one for each quota plan, each from 0 to 1. The rates per
plan are kept because an endpoint may be full for one plan only, and then it rejects only the requests of that
plan. An endpoint also has a latency ratio: its service times relative to the mean service times of all
endpoints. All of these are moving averages over attempts. `decay_factor` reduces their effect while an
endpoint is not used, so that the endpoint gets requests again and can recover.

Attempts are counted as follows:

- A successful response counts as a success, in the rate over all plans and in the rate of its plan, and as a
  latency sample: its service time, divided by the mean of its class, but at most `OVERDUE_MULTIPLE`.
- A rejection counts as a failure, only in the rate of its plan.
- Any other failure counts as a failure, only in the rate over all plans. Failures that the client or this
  gateway caused are not counted: a cancelled or unsent attempt, or a timeout after less than
  `OVERDUE_MULTIPLE` mean service times, which happens if the request arrived with little time left.
- An attempt that has been in flight for `OVERDUE_MULTIPLE` mean service times is overdue. It is counted at
  that moment, long before any timeout: as a latency sample of `OVERDUE_MULTIPLE`, and in the rate over all
  plans. In that rate it counts as a success if the endpoint has completed another attempt successfully since
  this one was sent, because such an endpoint is slow but does respond. Otherwise it counts as a failure.

An overdue attempt is counted again when it ends. So an attempt that is counted as a failure when it becomes
overdue, and then times out, adds two failures to the rate.

Attempts that were in flight while the gateway's own process stalled (`timers.py`) are not counted. Their
responses were read late, and counting them would worsen the statistics of all endpoints at once.
"""

from __future__ import annotations

from yardlane.decisions.attempt_record import AttemptRecord
from yardlane.decisions.endpoint_record import EndpointRecord
from yardlane.decisions.events import Outcome
from yardlane.decisions.settings import QuotaPlan
from yardlane.decisions.timers import Timers
from yardlane.decisions.units import SECOND_US

FAILURE_SAMPLE_WEIGHT = 0.25  # large, so that failures take effect after a few attempts
LATENCY_SAMPLE_WEIGHT = 0.1
OVERDUE_MULTIPLE = 4.0  # an attempt is overdue after this many mean service times of its class
DECAY_PER_S = 0.1  # the share of their weight that the statistics of an unused endpoint lose per second


def decay_factor(unused_us: int) -> float:
    """Return the weight of an endpoint's statistics after `unused_us` without use, from 0 to 1.

    The load balancer multiplies the failure rates, and the deviation of the latency ratio from 1, by it.
    """
    factor: float = (1.0 - DECAY_PER_S) ** (unused_us / SECOND_US)
    return factor


def overdue_after_us(mean_service_time_us: float) -> int:
    """Return the time after which an attempt in flight is overdue, in microseconds."""
    return int(OVERDUE_MULTIPLE * mean_service_time_us)


class OutlierDetection:
    """Updates the failure rates and the latency ratios of the endpoints."""

    __slots__ = ("_timers",)

    def __init__(self, timers: Timers) -> None:
        self._timers = timers

    def record_response(
        self, attempt: AttemptRecord, plan: QuotaPlan, elapsed_us: int, mean_service_time_us: float
    ) -> None:
        """Count an attempt that got a successful response."""
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
        """Count an attempt that ended without a successful response."""
        if self._was_in_flight_during_stall(attempt) or outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        if outcome is Outcome.TIMED_OUT and elapsed_us < OVERDUE_MULTIPLE * mean_service_time_us:
            return
        _add_failure_sample(attempt.endpoint, plan if outcome is Outcome.REJECTED else None, 1.0)

    def record_overdue(self, attempt: AttemptRecord) -> None:
        """Count an attempt that has been in flight for `OVERDUE_MULTIPLE` mean service times."""
        if self._was_in_flight_during_stall(attempt):
            return
        succeeded_since = attempt.endpoint.last_success_at_us > attempt.sent_at_us
        _add_failure_sample(attempt.endpoint, None, 0.0 if succeeded_since else 1.0)
        _add_latency_sample(attempt.endpoint, OVERDUE_MULTIPLE)

    def _was_in_flight_during_stall(self, attempt: AttemptRecord) -> bool:
        return attempt.sent_at_us < self._timers.stall_ended_at_us


def _add_failure_sample(endpoint: EndpointRecord, plan: QuotaPlan | None, sample: float) -> None:
    """Add a failure (1.0) or a success (0.0) to the rate of a plan; None is the rate over all plans."""
    rate = endpoint.failure_rates.get(plan, 0.0)
    endpoint.failure_rates[plan] = rate + FAILURE_SAMPLE_WEIGHT * (sample - rate)


def _add_latency_sample(endpoint: EndpointRecord, ratio: float) -> None:
    """Add a service time, relative to the mean service time, to the latency ratio of an endpoint."""
    sample = min(ratio, OVERDUE_MULTIPLE)
    endpoint.latency_ratio += LATENCY_SAMPLE_WEIGHT * (sample - endpoint.latency_ratio)

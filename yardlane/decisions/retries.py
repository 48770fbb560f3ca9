"""Retries: whether and where a request gets another attempt, and its final answer if it gets none.

A retry is any attempt of a request after its first. Most retries follow an attempt that ended without a
successful response. Only a response with status 200 is successful. A hedged request is a retry that is sent
while an overdue attempt is still in flight. The settings decide what happens to an overdue attempt:

- If they allow hedging, a hedged request is sent.
- If they allow cancelling but not hedging, the overdue attempt is cancelled, provided that a retry could be
  sent now. When the cancelled attempt has ended, the request is retried if that is still possible.
- If they allow neither, the overdue attempt is left in flight.

All retries, including hedged requests, follow the same rules:

- **Time and number.** The mean service time of the request's class must fit into the time that is left before
  the latency objective ends and before the client's deadline. `max_attempts` limits the attempts of one
  request.
- **Budget.** The retry budget starts at `MAX_BUDGET`, which is also its maximum. The first attempt of each
  request adds `BUDGET_PER_REQUEST` to it, and each retry takes 1 from it. Without a budget an overload would
  amplify itself: failures cause retries, and the retries cause more failures.
- **Idempotency.** An attempt has run if its endpoint has begun to process the request. While it is certain
  that no attempt has run, a retry is always safe. Otherwise it depends on the request class. An idempotent
  request may be sent again to any endpoint, a non-idempotent one to none. A request with an idempotency key
  may be sent again only within `idempotency_window_us` of the first attempt that may have run, and only to
  endpoints that share one store of idempotency keys with the endpoint of that attempt. As a connection may be
  established late, the window also limits when the last byte of the retry may be written
  (`StartAttempt.send_within_us`).

The final answer to a request without a successful response is `Reject` or `Fail`. `Reject` promises that the
client may safely send the request again; `Fail` does not. The promise holds if it is certain that no attempt
has run, or if a duplicate is harmless whichever endpoint gets it. A duplicate is harmless for an idempotent
class, and for a class whose store of idempotency keys is shared by all endpoints (`idempotency_window_us` is
not considered here).

A `Reject` has a `Retry-After` time only if `may_send_retry_after` is set. The time is `RETRY_AFTER_SHARE` of
the mean service time, but at most `max_retry_after_us`. By then some of the attempts in flight have ended,
and the longer a client waits, the less likely its retry is to be served within the latency objective.
"""

from __future__ import annotations

from yardlane.decisions.actions import Fail, Reject
from yardlane.decisions.attempt_record import AttemptRecord
from yardlane.decisions.endpoint_record import EndpointRecord
from yardlane.decisions.endpoints import EndpointList
from yardlane.decisions.events import Endpoint
from yardlane.decisions.request import Request
from yardlane.decisions.settings import DeduplicationScope, Idempotency, RequestClass, Settings

BUDGET_PER_REQUEST = 0.1  # retries
MAX_BUDGET = 10.0  # retries
RETRY_AFTER_SHARE = 0.25
NO_SEND_LIMIT_US = 0
MIN_SEND_LIMIT_US = 1  # not 0, which would mean no limit


class RetryPolicy:
    """Decides on retries and final answers, and keeps the retry budget.

    `budget` is the number of retries that may be sent now. It may have a fraction.
    """

    __slots__ = ("_settings", "budget")

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.budget = MAX_BUDGET

    def record_first_attempt(self) -> None:
        """Add `BUDGET_PER_REQUEST` to the retry budget for the first attempt of a request."""
        self.budget = min(MAX_BUDGET, self.budget + BUDGET_PER_REQUEST)

    def record_retry(self) -> None:
        """Take 1 from the retry budget for a retry."""
        self.budget -= 1.0

    def may_retry(self, request: Request, mean_service_time_us: float, now_us: int) -> bool:
        """Return whether a retry of a request may be sent now."""
        if request.has_ended or self.budget < 1.0 or len(request.attempts) >= self._settings.max_attempts:
            return False
        request_class = self._class_of(request)
        objective_ends_at_us = request.arrived_at_us + request_class.latency_objective_us
        if now_us + mean_service_time_us > min(request.deadline_at_us, objective_ends_at_us):
            return False
        first = request.first_attempt_that_may_have_run()
        return first is None or _idempotency_allows_retry(request_class, first, now_us)

    def candidates(self, request: Request, endpoints: EndpointList) -> list[EndpointRecord]:
        """Return the endpoints that may get the next attempt of a request.

        These are the endpoints of this gateway's subset (`endpoints.py`), unless the request has an
        idempotency key and may already have run. Then they are the endpoints that share a store of
        idempotency keys with the endpoint of the first attempt that may have run.
        """
        request_class = self._class_of(request)
        if request_class.idempotency is not Idempotency.KEYED:
            return endpoints.subset
        first = request.first_attempt_that_may_have_run()
        if first is None:
            return endpoints.subset
        return _endpoints_in_scope(request_class.deduplication_scope, first.endpoint.entry, endpoints)

    def send_within_us(self, request: Request, now_us: int) -> int:
        """Return the time within which the next attempt must be written completely, in microseconds.

        `NO_SEND_LIMIT_US` means that there is no such limit.
        """
        request_class = self._class_of(request)
        if request_class.idempotency is not Idempotency.KEYED:
            return NO_SEND_LIMIT_US
        first = request.first_attempt_that_may_have_run()
        if first is None:
            return NO_SEND_LIMIT_US
        return max(MIN_SEND_LIMIT_US, first.sent_at_us + request_class.idempotency_window_us - now_us)

    def final_answer(self, request: Request, mean_service_time_us: float) -> Reject | Fail:
        """Return the final answer to a request that gets no retry."""
        may_have_run = request.first_attempt_that_may_have_run() is not None
        if may_have_run and not _is_safe_to_resend(self._class_of(request)):
            return Fail(request.id)
        return Reject(request.id, self._retry_after_us(mean_service_time_us))

    def _retry_after_us(self, mean_service_time_us: float) -> int:
        if not self._settings.may_send_retry_after:
            return 0
        return int(min(RETRY_AFTER_SHARE * mean_service_time_us, self._settings.max_retry_after_us))

    def _class_of(self, request: Request) -> RequestClass:
        return self._settings.request_classes[request.class_index]


def _idempotency_allows_retry(request_class: RequestClass, first: AttemptRecord, now_us: int) -> bool:
    """Return whether the gateway may send a request again; `first` is the first attempt that may have run."""
    if request_class.idempotency is Idempotency.KEYED:
        return now_us - first.sent_at_us < request_class.idempotency_window_us
    return request_class.idempotency is Idempotency.IDEMPOTENT


def _endpoints_in_scope(
    scope: DeduplicationScope, entry: Endpoint, endpoints: EndpointList
) -> list[EndpointRecord]:
    """Return the endpoints that share a store of idempotency keys with the endpoint that `entry` describes.

    If all endpoints share one store, return the endpoints of this gateway's subset.
    """
    if scope is DeduplicationScope.ZONE:
        return [record for record in endpoints.ready if record.entry.zone == entry.zone]
    if scope is DeduplicationScope.CELL:
        return [record for record in endpoints.ready if record.entry.cell == entry.cell]
    return endpoints.subset


def _is_safe_to_resend(request_class: RequestClass) -> bool:
    """Return whether a duplicate of a request that may have run is harmless, whichever endpoint gets it."""
    if request_class.idempotency is Idempotency.KEYED:
        return request_class.deduplication_scope is DeduplicationScope.ALL
    return request_class.idempotency is Idempotency.IDEMPOTENT

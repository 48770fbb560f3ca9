"""Retries and hedged requests: whether and where a request gets a further attempt, and its final answer.

A retry follows an attempt that ended without a good response; only a response with status 200 is good. A
hedged request is a further attempt that is sent while an overdue one is still in flight. If the settings do
not allow hedging, the overdue attempt is cancelled first (if they allow cancelling) and then retried. Retries
and hedged requests follow the same rules:

- **Time and number.** The mean service time must fit into the time that is left before the latency objective
  ends and before the client gives up. `max_attempts` limits the attempts of one request.
- **Budget.** Each first attempt adds `BUDGET_PER_REQUEST` to the retry budget, and each further attempt takes
  1 from it. Without a budget an overload would amplify itself: failures cause retries, and the retries cause
  more failures.
- **Idempotency.** While no attempt may have run, a further attempt is always safe. Otherwise it depends on
  the request class. An idempotent request may be sent again to any endpoint, a non-idempotent one to none. A
  request with an idempotency key may be sent again only within `idempotency_window_us` of the first attempt
  that may have run, and only to endpoints that share their record of keys with the endpoint of that attempt.
  As a connection may be established late, the window also limits when the last byte of the further attempt
  may be written (`StartAttempt.send_within_us`).

The final answer to a request without a good response is `Reject` or `Fail`. `Reject` promises that the client
may safely send the request again; `Fail` does not. The promise holds if no attempt may have run, or if a
duplicate is harmless wherever it arrives. A duplicate is harmless for an idempotent class, and for a class
whose record of idempotency keys is shared by all backends (`idempotency_window_us` is not considered here).

`Retry-After` is `RETRY_AFTER_SHARE` of the mean service time. By then some of the attempts in flight have
ended, and a client that waited longer could no longer be served within the latency objective.
"""

from __future__ import annotations

from yardlane.decisions.actions import Fail, Reject
from yardlane.decisions.attempt_record import AttemptRecord
from yardlane.decisions.endpoint_record import EndpointRecord
from yardlane.decisions.endpoints import EndpointList
from yardlane.decisions.events import Endpoint
from yardlane.decisions.request import Request
from yardlane.decisions.settings import DeduplicationScope, Idempotency, RequestClass, Settings

BUDGET_PER_REQUEST = 0.1
MAX_BUDGET = 10.0
RETRY_AFTER_SHARE = 0.25
NO_SEND_LIMIT_US = 0
MIN_SEND_LIMIT_US = 1  # not 0, which would mean no limit


class RetryPolicy:
    """Decides on further attempts and final answers, and keeps the retry budget."""

    __slots__ = ("_settings", "budget")

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.budget = MAX_BUDGET

    def record_first_attempt(self) -> None:
        """Add `BUDGET_PER_REQUEST` to the retry budget for the first attempt of a request."""
        self.budget = min(MAX_BUDGET, self.budget + BUDGET_PER_REQUEST)

    def record_retry(self) -> None:
        """Take 1 from the retry budget for a retry or a hedged request."""
        self.budget -= 1.0

    def may_retry(self, request: Request, mean_service_time_us: float, now_us: int) -> bool:
        """Return whether a request may get a further attempt now."""
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

        These are the endpoints of this gateway's subset, unless the request has an idempotency key and may
        already have run. Then they are the endpoints of its deduplication scope (`_endpoints_in_scope`).
        """
        request_class = self._class_of(request)
        if request_class.idempotency is not Idempotency.KEYED:
            return endpoints.subset
        first = request.first_attempt_that_may_have_run()
        if first is None:
            return endpoints.subset
        return _endpoints_in_scope(request_class.deduplication_scope, first.endpoint.entry, endpoints)

    def send_within_us(self, request: Request, now_us: int) -> int:
        """Return the time within which the next attempt must be written completely.

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
        """Return the final answer to a request that gets no further attempt."""
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
    """Return whether a request may be sent again; `first` is its first attempt that may have run."""
    if request_class.idempotency is Idempotency.KEYED:
        return now_us - first.sent_at_us < request_class.idempotency_window_us
    return request_class.idempotency is Idempotency.IDEMPOTENT


def _endpoints_in_scope(
    scope: DeduplicationScope, entry: Endpoint, endpoints: EndpointList
) -> list[EndpointRecord]:
    """Return the endpoints that share their record of idempotency keys with the endpoint of `entry`.

    If all endpoints share it, these are the endpoints of this gateway's subset.
    """
    if scope is DeduplicationScope.ZONE:
        return [record for record in endpoints.ready if record.entry.zone == entry.zone]
    if scope is DeduplicationScope.CELL:
        return [record for record in endpoints.ready if record.entry.cell == entry.cell]
    return endpoints.subset


def _is_safe_to_resend(request_class: RequestClass) -> bool:
    """Return whether a client may send a request again that may have run, whichever endpoint gets it."""
    if request_class.idempotency is Idempotency.KEYED:
        return request_class.deduplication_scope is DeduplicationScope.ALL
    return request_class.idempotency is Idempotency.IDEMPOTENT

"""Retries and hedged requests: whether a request may get a further attempt and where, and its final answer.

A retry follows an attempt that ended without a good response (only a 200 is one). A hedged request is a
further attempt while an overdue one is still in flight; where the settings do not allow hedging, the overdue
one is cancelled first. Both have to keep these rules:

- **In time.** The mean service time must fit before the latency objective and before the client gives up, and
  the attempts of a request are limited (`max_attempts`).
- **Budget.** Each first attempt adds `BUDGET_PER_REQUEST` to a budget, each further one takes 1 from it.
  Without a budget an overload grows by itself: failures cause retries, and these cause more failures.
- **Idempotency.** As long as no attempt may have run, any further one is harmless. Else it depends on the
  class: an idempotent request may be repeated anywhere, a non-idempotent one never. A request with an
  idempotency key may be repeated on endpoints that share their record of keys with the one of the first
  such attempt, and within `idempotency_window_us` of it. A connection may come up late, so that window also
  bounds how late the repeat's last byte may be written (`StartAttempt.send_within_us`).

The final answer is `Reject`, with the promise that the client may safely send the request again, or `Fail`
without it. The promise holds if no attempt may have run, or if a repeat does no harm wherever it arrives: for
an idempotent class, and for keys that all backends share (`idempotency_window_us` is not looked at there).
`Retry-After` is `RETRY_AFTER_SHARE` of the mean service time: some of what is in flight has ended by
then, and a client that returns later cannot be served within the objective.
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
MIN_SEND_LIMIT_US = 1


class RetryPolicy:
    """The rules on further attempts, and the budget for them."""

    __slots__ = ("_settings", "budget")

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.budget = MAX_BUDGET

    def record_first_attempt(self) -> None:
        """Count a request that is sent for the first time."""
        self.budget = min(MAX_BUDGET, self.budget + BUDGET_PER_REQUEST)

    def record_retry(self) -> None:
        """Count a retry or a hedged request."""
        self.budget -= 1.0

    def may_retry(self, request: Request, mean_service_time_us: float, now_us: int) -> bool:
        """Whether a request may get a further attempt now."""
        if request.has_ended or self.budget < 1.0 or len(request.attempts) >= self._settings.max_attempts:
            return False
        request_class = self._class_of(request)
        objective_ends_at_us = request.arrived_at_us + request_class.latency_objective_us
        if now_us + mean_service_time_us > min(request.deadline_at_us, objective_ends_at_us):
            return False
        first = request.first_attempt_that_may_have_run()
        return first is None or _idempotency_allows_retry(request_class, first, now_us)

    def candidates(self, request: Request, endpoints: EndpointList) -> list[EndpointRecord]:
        """The endpoints that may get the next attempt: mostly those of this gateway's subset."""
        request_class = self._class_of(request)
        if request_class.idempotency is not Idempotency.KEYED:
            return endpoints.subset
        first = request.first_attempt_that_may_have_run()
        if first is None:
            return endpoints.subset
        return _endpoints_in_scope(request_class.deduplication_scope, first.endpoint.entry, endpoints)

    def send_within_us(self, request: Request, now_us: int) -> int:
        """The time in which the next attempt has to be written whole; `NO_SEND_LIMIT_US` for no bound."""
        request_class = self._class_of(request)
        if request_class.idempotency is not Idempotency.KEYED:
            return NO_SEND_LIMIT_US
        first = request.first_attempt_that_may_have_run()
        if first is None:
            return NO_SEND_LIMIT_US
        return max(MIN_SEND_LIMIT_US, first.sent_at_us + request_class.idempotency_window_us - now_us)

    def final_answer(self, request: Request, mean_service_time_us: float) -> Reject | Fail:
        """The final answer to a request that gets no further attempt."""
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
    if request_class.idempotency is Idempotency.KEYED:
        return now_us - first.sent_at_us < request_class.idempotency_window_us
    return request_class.idempotency is Idempotency.IDEMPOTENT


def _endpoints_in_scope(
    scope: DeduplicationScope, entry: Endpoint, endpoints: EndpointList
) -> list[EndpointRecord]:
    """The endpoints that share their record of idempotency keys with this one."""
    if scope is DeduplicationScope.ZONE:
        return [record for record in endpoints.ready if record.entry.zone == entry.zone]
    if scope is DeduplicationScope.CELL:
        return [record for record in endpoints.ready if record.entry.cell == entry.cell]
    return endpoints.subset


def _is_safe_to_resend(request_class: RequestClass) -> bool:
    if request_class.idempotency is Idempotency.KEYED:
        return request_class.deduplication_scope is DeduplicationScope.ALL
    return request_class.idempotency is Idempotency.IDEMPOTENT

"""The decisions of one gateway. What goes in and out is in `settings.py`, `events.py` and `actions.py`.

The ordinary path is the demand split of Padala et al. (port allocator); see docs/design.md.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Any

from yardlane.decisions import admission
from yardlane.decisions.actions import (
    Action,
    CancelAttempt,
    Fail,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from yardlane.decisions.events import (
    AttemptEnded,
    CounterResult,
    EndpointListUpdate,
    Event,
    Outcome,
    RequestArrived,
    RequestEnded,
    StreamStarted,
    UpdateKind,
)
from yardlane.decisions.settings import DeduplicationScope, Idempotency, Settings
from yardlane.decisions.attempt_record import AttemptRecord
from yardlane.decisions.concurrency import ConcurrencyLimit
from yardlane.decisions.counter_polling import CounterPolling
from yardlane.decisions.endpoint_record import EndpointRecord
from yardlane.decisions.endpoints import EndpointList
from yardlane.decisions.outliers import OutlierDetection, overdue_after_us, remembered_share
from yardlane.decisions.service_time import ServiceTimes
from yardlane.decisions.slow_start import SlowStart
from yardlane.decisions.timers import Timers
from yardlane.decisions.request import Request
from yardlane.decisions.tenant import Tenant, TenantId, forget_idle
from yardlane.decisions.units import SECOND_US

CROSSING_LEAN = 1.5  # how much faster a server in another zone must look, where crossing costs
AGAIN_SHARE, AGAIN_MOST = 0.1, 10.0  # further attempts per first, and saved up: no swelling of an overload
ADVICE = 0.25  # of the usual service time: clients told to stay away for longer come too late for the aim
NEVER_RAN = (Outcome.REJECTED, Outcome.NOT_CONNECTED, Outcome.NOT_SENT)


class Gateway:
    """All decisions of one front door."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.timers = Timers()
        self.endpoints = EndpointList(settings)
        self.slow_start = SlowStart(settings, self.endpoints)
        self.service_times = ServiceTimes(settings)
        self.now, self.born = -1, -1
        self.concurrency = ConcurrencyLimit(settings)
        self.outliers = OutlierDetection(self.timers)
        self.tenants: dict[TenantId, Tenant] = {}  # in the order of their last requests
        self.requests: dict[int, Request] = {}
        self.polling = CounterPolling(settings.has_shared_counter, settings.counter_timeout_us, self.random)
        self.usual = self.service_times.mean_us
        self.again = AGAIN_MOST
        self.actions: list[Action] = []
        self.handlers: dict[type, Callable[[Any], None]] = {
            EndpointListUpdate: self._server_list,
            RequestArrived: self._arrival,
            AttemptEnded: self._attempt_ended,
            StreamStarted: self._end,
            RequestEnded: self._end,
            CounterResult: self._counted,
        }

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Take what happened by `now`; return what to do, in order."""
        self.timers.detect_stall(now)
        self.polling.decay_backoff(now - self.now)
        self.now, self.actions = now, []
        if self.born < 0:
            self.born = self.slow_start.gateway_started_at_us = now
            self.actions += [] if self.settings.endpoint_list_is_pushed else [WatchEndpoints()]
        for event in events:
            self.handlers.get(type(event), lambda _: None)(event)
        self.timers.fire_due(now)
        delay_us = self.timers.next_delay_us(now)
        if delay_us is not None:
            self.actions.append(SetTimer(delay_us))
        return self.actions

    def _plan(self, when: int, action: Callable[[Any], None], subject: Any) -> None:
        self.timers.schedule(when, lambda: action(subject))

    def _server_list(self, event: EndpointListUpdate) -> None:
        if event.kind is UpdateKind.FAILED:
            return self._plan(self.now + SECOND_US, lambda _: self.actions.append(WatchEndpoints()), None)
        self.endpoints.apply_update(event)
        self.concurrency.set_endpoint_count(len(self.endpoints.ready))

    def _pick(self, request: Request) -> EndpointRecord | None:
        """The server that should finish first, failures counted as an aim lost."""
        rule, usual = self.settings.request_classes[request.request_class], self.usual[request.request_class]
        value = self.service_times.relative_value(request.request_class)
        if not self.concurrency.admits(value, usual, self.now):
            return None
        ready, tied = (
            self.endpoints.subset,
            next((t.endpoint.entry for t in request.attempts if t.may_have_run), None),
        )
        if (
            tied
            and rule.idempotency is Idempotency.KEYED
            and rule.deduplication_scope is not DeduplicationScope.ALL
        ):  # rule 2
            zonal = rule.deduplication_scope is DeduplicationScope.ZONE
            ready = [
                s
                for s in self.endpoints.ready
                if (s.entry.zone == tied.zone if zonal else s.entry.cell == tied.cell)
            ]
        tried, best, least = [t.endpoint for t in request.attempts], None, math.inf
        for server in (s for s in ready if s not in tried):
            warmth = self.slow_start.warm_up_factor(server, self.now)
            if warmth < 1.0 and not self.slow_start.admits(
                server, warmth, self.service_times.overall_mean_us, self.now
            ):
                continue
            others = server.remote_in_flight * max(
                0.0, 1.0 - (self.now - server.load_reported_at_us) / SECOND_US
            )
            kept = remembered_share(self.now - server.last_sent_at_us)
            cost = (
                usual
                * (1.0 + (server.latency_ratio - 1.0) * kept)
                * (1.0 + server.in_flight + others)
                / warmth
            )
            cost += (
                (server.failure_rates[None] + server.failure_rates.get(request.tenant.plan, 0.0))
                * kept
                * rule.latency_objective_us
            )
            cost *= (
                warmth / 2 if warmth < 1.0 and usual < warmth * rule.latency_objective_us / 2 else 1.0
            )  # turns are rare
            if self.settings.cross_zone_cost and server.entry.zone != self.settings.zone:
                cost *= CROSSING_LEAN
            cost *= 1.0 + 0.05 * self.random.random()  # so that gateways do not herd
            if cost < least:
                best, least = server, cost
        return best

    def _arrival(self, event: RequestArrived) -> None:
        self.settings.require_known(event.request_class, event.quota_plan)
        tenant = self._find_tenant(event)
        request = Request(event, tenant, self.now, self.settings.tick_us)
        self.requests[event.request_id] = request
        rule, usual = self.settings.request_classes[request.request_class], self.usual[request.request_class]
        queueing_us = admission.longest_queueing_us(rule, usual, event.time_left_us)
        self._plan(min(request.answer_by_us, self.now + queueing_us), self._time_up, request)
        self.service_times.record_arrival(request.request_class)
        weight = admission.demand_weight(tenant.plan, request.units, usual)
        capacity = admission.capacity(tenant, request.units, usual)
        tenant.demand.add(weight, self.now)
        forget_idle(self.tenants, self.now)
        if self.polling.is_due(tenant.demand, weight, capacity, self.now):
            self.actions.append(self.polling.start(request, self.now))
        else:
            self._admit(request)

    def _find_tenant(self, event: RequestArrived) -> Tenant:
        """The tenant of a request, new if need be; it becomes the last of all tenants."""
        tenant_id = (event.tenant, event.quota_plan)
        tenant = self.tenants.pop(tenant_id, None)
        if tenant is None:
            tenant = Tenant(event, self.settings, self.born, self.now, self.random.random())
        self.tenants[tenant_id] = tenant
        return tenant

    def _admit(self, request: Request) -> None:
        """Reject a request, or queue it and forward what may go."""
        tenant = request.tenant
        if not admission.admits(tenant, request.units, self.usual[request.request_class], self.now):
            self._answer(request)
            return
        tenant.queue.append(request)
        request.queued = True
        self._release(tenant)

    def _release(self, tenant: Tenant) -> None:
        """Forward queued requests, in order, while concurrency bound, hard rate and endpoints allow."""
        while tenant.queue and tenant.has_free_slot():
            request = tenant.queue[0]
            missing_units = tenant.missing_units(request.units, self.now)
            server = self._pick(request) if missing_units <= 0.0 else None
            if server is None:
                self._release_later(tenant, missing_units)
                return
            del tenant.queue[0]
            request.queued = False
            usual = self.usual[request.request_class]
            weight = admission.demand_weight(tenant.plan, request.units, usual)
            tenant.record_first_attempt(request.units, weight)
            self.again = min(AGAIN_MOST, self.again + AGAIN_SHARE)
            self._send(request, server)

    def _release_later(self, tenant: Tenant, missing_units: float) -> None:
        """Look again once the hard rate may have filled by these units."""
        if tenant.next_release_at_us <= self.now:
            tenant.next_release_at_us = self.now + admission.release_delay_us(tenant, missing_units, self.now)
            self._plan(tenant.next_release_at_us, self._release, tenant)

    def _send(self, request: Request, server: EndpointRecord) -> None:
        request.tenant.in_flight += 1
        within = self._left_to_repeat(request)
        request.attempts.append(attempt := AttemptRecord(server, self.now))
        server.in_flight += 1
        server.last_sent_at_us = self.now
        self.concurrency.record_sent(self.now)
        usual = self.usual[request.request_class]
        if self.slow_start.warm_up_factor(server, self.now) < 1.0:
            self.slow_start.record_sent(server, self.service_times.overall_mean_us, self.now)
        self.actions.append(StartAttempt(request.id, server.entry.endpoint_id, begin_within_us=within))
        self._plan(self.now + overdue_after_us(usual), self._overdue, (request, attempt))

    def _left_to_repeat(self, request: Request) -> int:
        """Microseconds in which a copy must be sent, as a key holds only so long (rule 2); 0: no bound."""
        rule = self.settings.request_classes[request.request_class]
        if rule.idempotency is not Idempotency.KEYED:
            return 0
        first = next((t for t in request.attempts if t.may_have_run), None)
        return max(1, first.sent_at_us + rule.idempotency_window_us - self.now) if first else 0

    def _another(self, request: Request) -> EndpointRecord | None:
        """Where a further attempt may go: rule 2, and the limits that keep retries few."""
        rule = self.settings.request_classes[request.request_class]
        late = self.now + self.usual[request.request_class] > min(
            request.gives_up_at_us, request.arrived_at_us + rule.latency_objective_us
        )
        risky = [t for t in request.attempts if t.may_have_run]
        if request.ended or late or len(request.attempts) >= self.settings.max_attempts or self.again < 1.0:
            return None
        if risky and (
            rule.idempotency is Idempotency.NON_IDEMPOTENT
            or (
                rule.idempotency is Idempotency.KEYED
                and self.now - risky[0].sent_at_us >= rule.idempotency_window_us
            )
        ):
            return None
        return self._pick(request)

    def _try_again(self, request: Request) -> bool:
        if server := self._another(request):
            self.again -= 1.0
            self._send(request, server)
        return server is not None

    def _overdue(self, subject: tuple[Request, AttemptRecord]) -> None:
        """Out for much longer than usual: a mark against the server long before the time-out."""
        request, attempt = subject
        if attempt.in_flight:
            self.outliers.record_overdue(attempt)
            if self.settings.may_hedge:
                self._try_again(request)
            elif self.settings.may_cancel and self._another(request):
                self.actions.append(
                    CancelAttempt(request.id, request.attempts.index(attempt))
                )  # its end sends anew

    def _attempt_ended(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request_id)
        if (
            request is None
            or event.attempt_index >= len(request.attempts)
            or not request.attempts[event.attempt_index].in_flight
        ):
            return
        tenant, attempt = request.tenant, request.attempts[event.attempt_index]
        server, usual = attempt.endpoint, self.usual[request.request_class]
        tenant.in_flight -= 1
        attempt.in_flight, attempt.may_have_run = False, event.outcome not in NEVER_RAN
        server.in_flight -= 1
        self.concurrency.record_ended()
        if event.outcome is Outcome.OK:
            server.last_success_at_us = self.now
            objective_us = self.settings.request_classes[request.request_class].latency_objective_us
            self.concurrency.record_answer(event.elapsed_us, objective_us)
            self.outliers.record_answer(attempt, tenant.plan, event.elapsed_us, usual)
            self.service_times.record_answer(request.request_class, event.elapsed_us)
        else:
            self.outliers.record_failure(attempt, tenant.plan, event.outcome, event.elapsed_us, usual)
        if event.load:
            server.record_load(event.load, self.now)
        if event.request_ended or request.ended:
            self._end(request)
        elif not (any(t.in_flight for t in request.attempts) or self._try_again(request)):
            self._answer(request)
        self._release(tenant)

    def _answer(self, request: Request) -> None:
        """The final answer: a refusal where rule 2 lets us promise, else a failure."""
        rule = self.settings.request_classes[request.request_class]
        free = rule.idempotency is Idempotency.IDEMPOTENT or (
            rule.idempotency is Idempotency.KEYED and rule.deduplication_scope is DeduplicationScope.ALL
        )
        promise = free or not any(t.may_have_run for t in request.attempts)
        self.actions.append(Reject(request.id, self._advice(request)) if promise else Fail(request.id))
        self._end(request)

    def _advice(self, request: Request) -> int:
        """When to come back: once some of what is out is answered, soon enough to be served in time."""
        if not self.settings.may_send_retry_after:
            return 0
        return int(min(ADVICE * self.usual[request.request_class], self.settings.max_retry_after_us))

    def _end(self, event: Request | RequestEnded | StreamStarted) -> None:
        """Answered, or the client left, or its answer flows: nothing more is owed."""
        request = event if isinstance(event, Request) else self.requests.get(event.request_id)
        if request is None:
            return
        request.ended = True
        if request.queued:
            request.tenant.queue.remove(request)
            request.queued = False
        if not any(t.in_flight for t in request.attempts):
            self.requests.pop(request.id, None)

    def _time_up(self, request: Request) -> None:
        if not request.ended and (request.queued or self.now >= request.answer_by_us):
            self._answer(request)
        elif not request.ended:
            self._plan(request.answer_by_us, self._time_up, request)

    def _counted(self, event: CounterResult) -> None:
        call = self.polling.finish(event)
        if call is None:
            return
        request = call.request
        if event.outcome is Outcome.OK:
            usual = self.usual[request.request_class]
            capacity = admission.capacity(request.tenant, request.units, usual)
            request.tenant.apply_total(event.total, call.period_index, capacity, self.now)
        if not request.ended:
            self._admit(request)

"""The decisions of one gateway: it passes each event to the rules and returns their decisions as actions.

Each rule has a module of its own; this module defines the order in which the rules are applied. A request
passes through these steps:

1. The request arrives. If its tenant's total is missing or too old, `counter_polling` may first poll the
   shared counter.
2. `admission` rejects the request, or the request joins its tenant's queue (`tenant`, `quota`, `burst`).
3. The request leaves the queue once the tenant's concurrency bound, the hard rate (`hard_rate`) and the limit
   on all attempts (`concurrency`) allow it, and `load_balancing` finds an endpoint for it (`endpoints`,
   `slow_start`).
4. When an attempt ends, `outliers`, `service_time` and `concurrency` update their statistics. When an attempt
   is overdue, only `outliers` does. `retries` then decides whether the request gets another attempt. If it
   gets none and has no attempt in flight, `retries` decides on its final answer.

See docs/design.md for the reasons behind this design.
"""

from __future__ import annotations

import random

from yardlane.decisions import admission
from yardlane.decisions.actions import (
    Action,
    CancelAttempt,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from yardlane.decisions.attempt_record import AttemptRecord
from yardlane.decisions.concurrency import AttemptLimit
from yardlane.decisions.counter_polling import CounterPolling
from yardlane.decisions.endpoint_record import EndpointRecord
from yardlane.decisions.endpoints import EndpointList
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
from yardlane.decisions.load_balancing import LoadBalancer
from yardlane.decisions.outliers import OutlierDetection, overdue_after_us
from yardlane.decisions.request import Request
from yardlane.decisions.retries import RetryPolicy
from yardlane.decisions.service_time import ServiceTimes
from yardlane.decisions.settings import Settings
from yardlane.decisions.slow_start import SlowStart
from yardlane.decisions.tenant import Tenant, TenantId, evict_idle_tenants
from yardlane.decisions.timers import Timers
from yardlane.decisions.units import NEVER_US, SECOND_US

WATCH_RETRY_DELAY_US = SECOND_US


class Gateway:
    """Makes all decisions of one gateway.

    An instance holds the requests and the tenants; each rule holds its own state. One call of `handle` is a
    turn. `now_us` is the time of the current turn, and `actions` are the actions decided in it.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.actions: list[Action] = []
        self.now_us = NEVER_US
        self.timers = Timers()
        self.requests: dict[int, Request] = {}
        self.tenants: dict[TenantId, Tenant] = {}  # ordered by last request, oldest first
        self.polling = CounterPolling(settings.has_shared_counter, settings.counter_timeout_us, self.random)
        self.endpoints = EndpointList(settings)
        self.service_times = ServiceTimes(settings)
        self.slow_start = SlowStart(settings, self.endpoints)
        self.outliers = OutlierDetection(self.timers)
        self.balancer = LoadBalancer(settings, self.random, self.slow_start, self.service_times)
        self.concurrency = AttemptLimit(settings)
        self.retries = RetryPolicy(settings)

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """Handle the events that arrived up to `now_us`, and the timers that are due by then.

        Return the actions in the order in which they are to be carried out. Raises SettingsError if a
        request names a class or a plan that the settings do not have.
        """
        self.timers.detect_stall(now_us)
        self.polling.decay_backoff(now_us - self.now_us)
        is_first_call = self.now_us == NEVER_US
        self.now_us = now_us
        self.actions = []
        if is_first_call:
            self._start()
        for event in events:
            self._dispatch(event)
        self.timers.fire_due(now_us)
        delay_us = self.timers.next_delay_us(now_us)
        if delay_us is not None:
            self.actions.append(SetTimer(delay_us))
        return self.actions

    def _start(self) -> None:
        """Record the start time of the gateway, and watch the endpoint list unless it is pushed."""
        self.slow_start.gateway_started_at_us = self.now_us
        if not self.settings.endpoint_list_is_pushed:
            self._watch_endpoints()

    def _dispatch(self, event: Event) -> None:
        match event:
            case RequestArrived():
                self._on_request_arrived(event)
            case AttemptEnded():
                self._on_attempt_ended(event)
            case StreamStarted() | RequestEnded():
                self._on_request_ended(event.request_id)
            case CounterResult():
                self._on_counter_result(event)
            case EndpointListUpdate():
                self._on_endpoint_list_update(event)
            case _:
                # `TimerFired` needs no handler, because each turn runs the callbacks that are due. Health
                # checks and gossip are never requested, so their events are ignored.
                pass

    # Endpoints

    def _watch_endpoints(self) -> None:
        self.actions.append(WatchEndpoints())

    def _on_endpoint_list_update(self, update: EndpointListUpdate) -> None:
        if update.kind is UpdateKind.FAILED:
            self.timers.schedule(self.now_us + WATCH_RETRY_DELAY_US, self._watch_endpoints)
            return
        self.endpoints.apply_update(update)
        self.concurrency.set_endpoint_count(len(self.endpoints.ready))

    # Requests, from arrival until they are forwarded

    def _on_request_arrived(self, event: RequestArrived) -> None:
        """Register a request and count its demand; then poll the counter or decide on the admission."""
        self.settings.require_known(event.request_class, event.quota_plan)
        request = self._register_request(event)
        tenant = request.tenant
        service_time_us = self._mean_service_time_us(request)
        self.service_times.record_arrival(request.class_index)
        amount = admission.request_demand(tenant.plan, request.units, service_time_us)
        capacity = admission.sustained_capacity(tenant, request.units, service_time_us)
        tenant.demand.add(amount, self.now_us)
        evict_idle_tenants(self.tenants, self.now_us)
        if self.polling.is_due(tenant.demand, amount, capacity, self.now_us):
            self.actions.append(self.polling.start(request, self.now_us))
        else:
            self._decide_admission(request)

    def _register_request(self, event: RequestArrived) -> Request:
        """Create and store the request, and schedule the end of its queueing time."""
        request = Request(event, self._get_or_create_tenant(event), self.now_us, self.settings.tick_us)
        self.requests[event.request_id] = request
        request_class = self.settings.request_classes[event.request_class]
        service_time_us = self.service_times.mean_us[event.request_class]
        queueing_us = admission.max_queueing_time_us(request_class, service_time_us, event.time_left_us)
        queueing_ends_at_us = min(request.final_answer_by_us, self.now_us + queueing_us)
        self.timers.schedule(queueing_ends_at_us, self._on_final_answer_due, request)
        return request

    def _get_or_create_tenant(self, event: RequestArrived) -> Tenant:
        """Return the tenant of a request, created if necessary, and move it to the end of `tenants`."""
        tenant_id = (event.tenant, event.quota_plan)
        tenant = self.tenants.pop(tenant_id, None)
        if tenant is None:
            started_at_us = self.slow_start.gateway_started_at_us
            # The random number is the initial admission credit.
            tenant = Tenant(event, self.settings, started_at_us, self.now_us, self.random.random())
        self.tenants[tenant_id] = tenant
        return tenant

    def _on_counter_result(self, result: CounterResult) -> None:
        poll = self.polling.finish(result)
        if poll is None:
            return
        request = poll.request
        if result.outcome is Outcome.OK:
            service_time_us = self._mean_service_time_us(request)
            capacity = admission.sustained_capacity(request.tenant, request.units, service_time_us)
            request.tenant.apply_total(result.total, poll.period_index, capacity, self.now_us)
        if not request.has_ended:
            self._decide_admission(request)

    def _decide_admission(self, request: Request) -> None:
        """Reject a request, or queue it and forward its tenant's requests that may leave the queue."""
        tenant = request.tenant
        if not admission.decide_admission(
            tenant, request.units, self._mean_service_time_us(request), self.now_us
        ):
            self._reject_or_fail(request)
            return
        tenant.queue.append(request)
        request.is_queued = True
        self._forward_queued(tenant)

    def _forward_queued(self, tenant: Tenant) -> None:
        """Forward a tenant's queued requests in order of arrival.

        Stop at the first one that lacks a concurrency slot, units of the hard rate or an endpoint, or that
        the limit on all attempts does not allow.
        """
        while tenant.queue and tenant.has_free_slot():
            request = tenant.queue[0]
            missing_units = tenant.missing_units(request.units, self.now_us)
            endpoint = self._choose_endpoint(request) if missing_units <= 0.0 else None
            if endpoint is None:
                self._schedule_forwarding(tenant, missing_units)
                return
            del tenant.queue[0]
            request.is_queued = False
            service_time_us = self._mean_service_time_us(request)
            amount = admission.request_demand(tenant.plan, request.units, service_time_us)
            tenant.record_first_attempt(request.units, amount)
            self.retries.record_first_attempt()
            self._start_attempt(request, endpoint)

    def _schedule_forwarding(self, tenant: Tenant, missing_units: float) -> None:
        """Schedule the next `_forward_queued` of this tenant, unless one is already scheduled."""
        if tenant.next_forwarding_at_us > self.now_us:
            return
        delay_us = admission.queue_recheck_delay_us(tenant, missing_units, self.now_us)
        tenant.next_forwarding_at_us = self.now_us + delay_us
        self.timers.schedule(tenant.next_forwarding_at_us, self._forward_queued, tenant)

    # Attempts

    def _choose_endpoint(self, request: Request) -> EndpointRecord | None:
        """Return the endpoint for the next attempt of a request.

        Return None if no endpoint may get it, or if the limit on all attempts does not allow it now.
        """
        weight_per_time = self.service_times.relative_weight_per_time(request.class_index)
        if not self.concurrency.admits(weight_per_time, self._mean_service_time_us(request), self.now_us):
            return None
        candidates = self.retries.candidates(request, self.endpoints)
        return self.balancer.choose(request, candidates, self.now_us)

    def _start_attempt(self, request: Request, endpoint: EndpointRecord) -> None:
        send_within_us = self.retries.send_within_us(request, self.now_us)
        attempt = AttemptRecord(endpoint, self.now_us)
        request.attempts.append(attempt)
        request.tenant.in_flight += 1
        endpoint.in_flight += 1
        endpoint.last_sent_at_us = self.now_us
        self.concurrency.record_sent(self.now_us)
        self.slow_start.record_sent(endpoint, self.service_times.overall_mean_us, self.now_us)
        self.actions.append(
            StartAttempt(request.id, endpoint.entry.endpoint_id, send_within_us=send_within_us)
        )
        overdue_at_us = self.now_us + overdue_after_us(self._mean_service_time_us(request))
        self.timers.schedule(overdue_at_us, self._on_attempt_overdue, request, attempt)

    def _on_attempt_overdue(self, request: Request, attempt: AttemptRecord) -> None:
        """Called at the time when an attempt is overdue, even if it has ended before.

        If the attempt is still in flight, count it as overdue and send a hedged request if one is allowed. If
        the settings allow cancelling but not hedging, cancel the attempt instead, provided that a retry could
        be sent now. Its `AttemptEnded` then triggers the retry.
        """
        if not attempt.is_in_flight:
            return
        self.outliers.record_overdue(attempt)
        if self.settings.may_hedge:
            self._retry(request)
        elif self.settings.may_cancel and self._choose_endpoint_for_retry(request) is not None:
            self.actions.append(CancelAttempt(request.id, request.attempts.index(attempt)))

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request_id)
        if request is None:
            return
        attempt = request.attempt_in_flight(event.attempt_index)
        if attempt is None:
            return
        self._record_attempt_end(request, attempt, event)
        if event.request_ended or request.has_ended:
            self._end_request(request)
        elif not request.has_attempt_in_flight() and not self._retry(request):
            self._reject_or_fail(request)
        # Only the queue of this request's tenant is checked now. If the queue of another tenant waits for an
        # endpoint, it is checked again within ENDPOINT_RECHECK_DELAY_US (`admission.py`).
        self._forward_queued(request.tenant)

    def _record_attempt_end(self, request: Request, attempt: AttemptRecord, event: AttemptEnded) -> None:
        """Update the attempt, its endpoint, its tenant and the statistics of the rules."""
        endpoint = attempt.endpoint
        attempt.record_end(event.outcome)
        request.tenant.in_flight -= 1
        endpoint.in_flight -= 1
        self.concurrency.record_ended()
        plan = request.tenant.plan
        service_time_us = self._mean_service_time_us(request)
        if event.outcome is Outcome.OK:
            endpoint.last_success_at_us = self.now_us
            request_class = self.settings.request_classes[request.class_index]
            self.concurrency.record_response(event.elapsed_us, request_class.latency_objective_us)
            self.outliers.record_response(attempt, plan, event.elapsed_us, service_time_us)
            self.service_times.record_response(request.class_index, event.elapsed_us)
        else:
            self.outliers.record_failure(attempt, plan, event.outcome, event.elapsed_us, service_time_us)
        if event.load is not None:
            endpoint.record_load(event.load, self.now_us)

    def _choose_endpoint_for_retry(self, request: Request) -> EndpointRecord | None:
        """Return the endpoint for a retry of a request; None if no retry may be sent now."""
        if not self.retries.may_retry(request, self._mean_service_time_us(request), self.now_us):
            return None
        return self._choose_endpoint(request)

    def _retry(self, request: Request) -> bool:
        """Send a retry if one is allowed and there is an endpoint for it; return whether it was sent."""
        endpoint = self._choose_endpoint_for_retry(request)
        if endpoint is None:
            return False
        self.retries.record_retry()
        self._start_attempt(request, endpoint)
        return True

    # The end of requests

    def _on_final_answer_due(self, request: Request) -> None:
        """Called when a request's queueing time ends, and again shortly before its deadline if necessary.

        Reject or fail the request if it is still queued, or if its deadline is near (`final_answer_by_us`).
        """
        if request.has_ended:
            return
        if request.is_queued or self.now_us >= request.final_answer_by_us:
            self._reject_or_fail(request)
        else:
            self.timers.schedule(request.final_answer_by_us, self._on_final_answer_due, request)

    def _reject_or_fail(self, request: Request) -> None:
        """Give a request a final answer that does not come from an endpoint, and end it."""
        self.actions.append(self.retries.final_answer(request, self._mean_service_time_us(request)))
        self._end_request(request)

    def _on_request_ended(self, request_id: int) -> None:
        """Called when a response begins to stream to the client, or a request ends without a decision.

        End the request, so that no further attempt is sent for it.
        """
        request = self.requests.get(request_id)
        if request is not None:
            self._end_request(request)

    def _end_request(self, request: Request) -> None:
        """End a request and dequeue it. It stays in `requests` until it has no attempt in flight."""
        request.has_ended = True
        if request.is_queued:
            request.tenant.queue.remove(request)
            request.is_queued = False
        if not request.has_attempt_in_flight():
            self.requests.pop(request.id, None)

    def _mean_service_time_us(self, request: Request) -> float:
        return self.service_times.mean_us[request.class_index]

"""The decisions of one gateway. What goes in and out is in `settings.py`, `events.py` and `actions.py`.

The ordinary path is the demand split of Padala et al. (port allocator); see docs/design.md.
"""

from __future__ import annotations

import heapq
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
from yardlane.decisions.settings import DeduplicationScope, Idempotency, QuotaPlan, Settings
from yardlane.decisions.endpoints import FIRST_WORK_SHARE, Fleet, Server, AttemptRecord
from yardlane.decisions.counter_polling import CounterPolling
from yardlane.decisions.request import Request
from yardlane.decisions.tenant import Tenant, TenantId, forget_idle
from yardlane.decisions.units import SECOND_US

STALL = 100_000  # woken so late, we stood still
LEARN, LEARN_BAD = 0.1, 0.25  # weight of a new sample: in averages; in failures, which must show fast
PATIENCE = 4.0  # an attempt out for so many usual times counts against its server
GOOD_SHARE = 0.35  # an answer in this share of its aim widens the window of attempts, a later one narrows it
WINDOW, WIDEST = 2.0, 4.0  # attempts of all for each server while half the answers are good; most times that
FADE = 0.1  # share of a server's bad name forgotten each second unused, so that it is tried again
FAVOUR = 2.0  # most that the window is wider or narrower for a class by its worth for its time
CROSSING_LEAN = 1.5  # how much faster a server in another zone must look, where crossing costs
AGAIN_SHARE, AGAIN_MOST = 0.1, 10.0  # further attempts per first, and saved up: no swelling of an overload
ADVICE = 0.25  # of the usual service time: clients told to stay away for longer come too late for the aim
NEVER_RAN = (Outcome.REJECTED, Outcome.NOT_CONNECTED, Outcome.NOT_SENT)


class Gateway:
    """All decisions of one front door."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.fleet = Fleet(settings)
        self.numbers, self.wake_at, self.woke, self.now, self.born = 0, 0, -1, -1, -1
        self.out, self.last_sent = 0, -SECOND_US
        self.window, self.usual_window = WIDEST, 1.0  # most attempts of ours at once: queues stay short
        self.tenants: dict[TenantId, Tenant] = {}  # in the order of their last requests
        self.requests: dict[int, Request] = {}
        self.polling = CounterPolling(settings.has_shared_counter, settings.counter_timeout_us, self.random)
        self.usual = [c.latency_objective_us * FIRST_WORK_SHARE for c in settings.request_classes]
        self.again = AGAIN_MOST
        self.work, self.work_weight = max(self.usual), 1.0  # mean service time of all; of the next sample
        self.value = (
            sum(c.priority_weight / c.latency_objective_us for c in settings.request_classes)
            / len(self.usual)
            / FIRST_WORK_SHARE
        )
        self.agenda: list[tuple[int, int, Callable[[Any], None], Any]] = []
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
        if self.agenda and now > self.wake_at + STALL:
            self.woke = now
        self.polling.decay_backoff(now - self.now)
        self.now, self.actions = now, []
        if self.born < 0:
            self.born = self.fleet.born = now
            self.actions += [] if self.settings.endpoint_list_is_pushed else [WatchEndpoints()]
        for event in events:
            self.handlers.get(type(event), lambda _: None)(event)
        while self.agenda and self.agenda[0][0] <= now:
            _, _, action, subject = heapq.heappop(self.agenda)
            action(subject)
        if self.agenda and not now < self.wake_at <= self.agenda[0][0]:
            self.wake_at = self.agenda[0][0]
            self.actions.append(SetTimer(self.wake_at - now))
        return self.actions

    def _plan(self, when: int, action: Callable[[Any], None], subject: Any) -> None:
        self.numbers += 1  # keeps the order of equal times
        heapq.heappush(self.agenda, (when, self.numbers, action, subject))

    def _server_list(self, event: EndpointListUpdate) -> None:
        if event.kind is UpdateKind.FAILED:
            return self._plan(self.now + SECOND_US, lambda _: self.actions.append(WatchEndpoints()), None)
        self.fleet.hear(event)
        usual = WINDOW * max(1, len(self.fleet.ready)) / self.settings.gateway_count
        self.window, self.usual_window = self.window * usual / self.usual_window, usual

    def _pick(self, request: Request) -> Server | None:
        """The server that should finish first, failures counted as an aim lost."""
        rule, usual = self.settings.request_classes[request.request_class], self.usual[request.request_class]
        window = self.window * min(FAVOUR, max(1.0 / FAVOUR, rule.priority_weight / usual / self.value))
        if self.out >= window or (window < 1.0 and self.now - self.last_sent < usual / window):
            return None
        ready, tied = (
            self.fleet.near,
            next((t.server.entry for t in request.attempts if t.may_have_run), None),
        )
        if (
            tied
            and rule.idempotency is Idempotency.KEYED
            and rule.deduplication_scope is not DeduplicationScope.ALL
        ):  # rule 2
            zonal = rule.deduplication_scope is DeduplicationScope.ZONE
            ready = [
                s
                for s in self.fleet.ready
                if (s.entry.zone == tied.zone if zonal else s.entry.cell == tied.cell)
            ]
        tried, best, least = [t.server for t in request.attempts], None, math.inf
        for server in (s for s in ready if s not in tried):
            warmth = self.fleet.warmth(server, self.now)
            if warmth < 1.0 and not self.fleet.fits_cold(server, warmth, self.work, self.now):
                continue
            others = server.others * max(0.0, 1.0 - (self.now - server.told_at) / SECOND_US)
            kept = (1.0 - FADE) ** ((self.now - server.last_sent) / SECOND_US)
            cost = usual * (1.0 + (server.slow - 1.0) * kept) * (1.0 + server.out + others) / warmth
            cost += (server.bad[None] + server.bad[request.tenant.plan]) * kept * rule.latency_objective_us
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
        self.value += LEARN / 10 * (rule.priority_weight / usual - self.value)
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

    def _send(self, request: Request, server: Server) -> None:
        request.tenant.in_flight += 1
        within = self._left_to_repeat(request)
        request.attempts.append(attempt := AttemptRecord(server, self.now))
        server.out, server.last_sent = server.out + 1, self.now
        self.out, self.last_sent = self.out + 1, self.now
        usual = self.usual[request.request_class]
        if self.fleet.warmth(server, self.now) < 1.0:
            self.fleet.send_cold(server, self.work, self.now)
        self.actions.append(StartAttempt(request.id, server.entry.endpoint_id, begin_within_us=within))
        self._plan(self.now + int(PATIENCE * usual), self._overdue, (request, attempt))

    def _left_to_repeat(self, request: Request) -> int:
        """Microseconds in which a copy must be sent, as a key holds only so long (rule 2); 0: no bound."""
        rule = self.settings.request_classes[request.request_class]
        if rule.idempotency is not Idempotency.KEYED:
            return 0
        first = next((t for t in request.attempts if t.may_have_run), None)
        return max(1, first.at + rule.idempotency_window_us - self.now) if first else 0

    def _another(self, request: Request) -> Server | None:
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
                rule.idempotency is Idempotency.KEYED and self.now - risky[0].at >= rule.idempotency_window_us
            )
        ):
            return None
        return self._pick(request)

    def _try_again(self, request: Request) -> bool:
        if server := self._another(request):
            self.again -= 1.0
            self._send(request, server)
        return server is not None

    def _judge(
        self, attempt: AttemptRecord, good: bool, slow: float | None, *plans: QuotaPlan | None
    ) -> None:
        if attempt.at >= self.woke:  # what was out while we stood still is no sign of a server's health
            server = attempt.server
            for plan in plans:  # a server may be full for one plan alone
                server.bad[plan] += LEARN_BAD * ((0.0 if good else 1.0) - server.bad[plan])
            server.slow += LEARN * (min(slow, PATIENCE) - server.slow) if slow is not None else 0.0

    def _overdue(self, subject: tuple[Request, AttemptRecord]) -> None:
        """Out for much longer than usual: a mark against the server long before the time-out."""
        request, attempt = subject
        if attempt.out:
            self._judge(attempt, attempt.server.last_good > attempt.at, PATIENCE, None)  # silent or slow?
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
            or not request.attempts[event.attempt_index].out
        ):
            return
        tenant, attempt = request.tenant, request.attempts[event.attempt_index]
        server, usual = attempt.server, self.usual[request.request_class]
        tenant.in_flight -= 1
        attempt.out, attempt.may_have_run = False, event.outcome not in NEVER_RAN
        server.out, self.out = server.out - 1, self.out - 1
        if event.outcome is Outcome.OK:
            server.last_good = self.now
            late = (
                event.elapsed_us
                > GOOD_SHARE * self.settings.request_classes[request.request_class].latency_objective_us
            )
            over = self.window / self.usual_window  # settles at the number of good answers for a late one
            step = -min(self.window, over) if late else min(self.window, 1.0 / over)
            self.window = max(LEARN, min(max(2.0, WIDEST * self.usual_window), self.window + LEARN * step))
            self._judge(attempt, True, event.elapsed_us / usual, None, tenant.plan)
            took = min(event.elapsed_us, 5 * usual)
            self.usual[request.request_class] = usual + LEARN * (took - usual)
            self.work_weight = max(LEARN, self.work_weight / (1.0 + self.work_weight))  # the first tell most
            self.work += self.work_weight * (took - self.work)
        elif event.outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT) and (
            event.outcome is not Outcome.TIMED_OUT or event.elapsed_us >= PATIENCE * usual
        ):  # else little time
            self._judge(attempt, False, None, tenant.plan if event.outcome is Outcome.REJECTED else None)
        if load := event.load:
            told = (
                load.in_flight
                if load.in_flight is not None
                else (load.queued or 0.0) + (load.utilization or 0.0)
            )
            server.others, server.told_at = max(0.0, told - server.out), self.now
        if event.request_ended or request.ended:
            self._end(request)
        elif not (any(t.out for t in request.attempts) or self._try_again(request)):
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
        if not any(t.out for t in request.attempts):
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

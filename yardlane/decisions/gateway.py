"""The decisions of one gateway. What goes in and out is in `settings.py`, `events.py` and `actions.py`.

The ordinary path is the demand split of Padala et al. (port allocator); see docs/design.md.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from yardlane.decisions.actions import (
    Action,
    AddToCounter,
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
from yardlane.decisions.quota import NEAR, SECOND, TELLERS, Tenant
from yardlane.decisions.request import Request

# Parts that the chance aims at: of rate, small cap, what is left of a burst. Requests come at random: half of
# a cap of two in use on average is all of it a quarter of the time, and a try beyond costs most of its worth.
ROOM, FILL, LEFT = 0.90, 0.5, 0.5
KNOWN_FOR, FORGOTTEN = 20_000_000, 4  # a total so old says little; tenants forgotten at most for an arrival
# Further calls are spared after one that was late or turned away, as all gateways together ask too much, and
# less so after one that was lost; one in time allows more. Level with three in ten late or two in five lost.
STRAIN_MOST, STRAIN_LATE, STRAIN_LOST, STRAIN_PROMPT = 20.0, 1.3, 1.15, 0.9
STRAIN_FADES = 10_000_000  # while few calls are made, few answers could tell that the counter is well again
LATE_SHARE = 0.5  # of the counter's time-out: an answer that takes longer is late
STALL, NO_SERVER_PAUSE = 100_000, 20_000  # woken so late, we stood still; held requests look again after this
LEARN, LEARN_BAD = 0.1, 0.25  # weight of a new sample: in averages; in failures, which must show fast
PATIENCE = 4.0  # an attempt out for so many usual times counts against its server
GOOD_SHARE = 0.35  # an answer in this share of its aim widens the window of attempts, a later one narrows it
WINDOW, WIDEST = 2.0, 4.0  # attempts of all for each server while half the answers are good; most times that
FADE = 0.1  # share of a server's bad name forgotten each second unused, so that it is tried again
FAVOUR = 2.0  # most that the window is wider or narrower for a class by its worth for its time
CROSSING_LEAN = 1.5  # how much faster a server in another zone must look, where crossing costs
AGAIN_SHARE, AGAIN_MOST = 0.1, 10.0  # further attempts per first, and saved up: no swelling of an overload
HOLD_SHARE, HOLD_MOST = 0.6, 0.4  # of the aim's spare time that a request may be held; of its own
ADVICE = 0.25  # of the usual service time: clients told to stay away for longer come too late for the aim
NEVER_RAN = (Outcome.REJECTED, Outcome.NOT_CONNECTED, Outcome.NOT_SENT)


class Gateway:
    """All decisions of one front door."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.fleet = Fleet(settings)
        self.numbers, self.wake_at, self.woke, self.now, self.born = 0, 0, -1, -1, -1
        self.out, self.last_sent = 0, -SECOND
        self.window, self.usual_window = WIDEST, 1.0  # most attempts of ours at once: queues stay short
        self.tenants: dict[tuple[int, int], Tenant] = {}
        self.requests: dict[int, Request] = {}
        self.calls: dict[int, deque[tuple[Request, float, int]]] = {}
        self.usual = [c.latency_objective_us * FIRST_WORK_SHARE for c in settings.request_classes]
        self.again, self.strain = AGAIN_MOST, 1.0
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
        self.strain = 1.0 + (self.strain - 1.0) * math.exp((self.now - now) / STRAIN_FADES)
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
            return self._plan(self.now + SECOND, lambda _: self.actions.append(WatchEndpoints()), None)
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
            others = server.others * max(0.0, 1.0 - (self.now - server.told_at) / SECOND)
            kept = (1.0 - FADE) ** ((self.now - server.last_sent) / SECOND)
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
        key = (event.tenant, event.quota_plan)  # a stranger's plan must not become this tenant's
        if not (tenant := self.tenants.pop(key, None)):
            tenant = Tenant(event, self.settings, self.now, self.born)
            tenant.credit = self.random.random()
        self.tenants[key] = tenant  # in the order of their last requests
        request = self.requests[event.request_id] = Request(event, tenant, self.now, self.settings.tick_us)
        rule, usual = self.settings.request_classes[request.request_class], self.usual[request.request_class]
        hold = max(
            0, int(min((rule.latency_objective_us - usual) * HOLD_SHARE, event.time_left_us * HOLD_MOST))
        )
        self._plan(min(request.answer_by_us, self.now + hold), self._time_up, request)
        self.value += LEARN / 10 * (rule.priority_weight / usual - self.value)
        weight, room = self._weigh(request)
        tenant.ask(weight, self.now)
        self._forget()
        age = self.now - tenant.told_at if tenant.told_at >= 0 else KNOWN_FOR
        spare = tenant.fading * min(1.0, tenant.ways / TELLERS) * self.strain
        if age >= KNOWN_FOR:
            call = self.random.random() * self.strain < 1.0
        else:
            near = NEAR * room < tenant.guess(weight) * self.strain and tenant.guess(weight) < room
            call = age > (spare / 4 if near else spare)
        (self._call if call and self.settings.has_shared_counter and room else self._admit)(request)

    def _forget(self) -> None:
        for _ in range(FORGOTTEN):
            oldest = self.tenants[key := next(iter(self.tenants))]
            if (
                self.now - oldest.asked_at <= KNOWN_FOR
                or oldest.in_flight
                or oldest.queue
                or not oldest.is_full(self.now)
            ):  # a ceiling is not given back early
                return
            del self.tenants[key]

    def _weigh(self, request: Request) -> tuple[float, float]:
        """What a request asks and the room for all in one interval: units, or slots times seconds."""
        plan, took = request.tenant.plan, self.usual[request.request_class] / SECOND
        interval = request.tenant.fading / SECOND
        if plan.rate_per_s:  # a cap passes so much: Little's law
            return request.units, interval * min(
                ROOM * plan.rate_per_s, plan.concurrency_limit * request.units / took or math.inf
            )
        return took, (FILL if request.tenant.small else 1.0) * plan.concurrency_limit * interval

    def _admit(self, request: Request) -> None:  # the companion's chance, then the bound
        plan = (tenant := request.tenant).plan
        weight, room = self._weigh(request)
        total = tenant.guess(weight) if room else 0.0
        tenant.refill(self.now)
        room = max(0.0, room + LEFT * tenant.burst_left(total)) if plan.rate_per_s else room
        if total > 0 and plan.concurrency_limit and tenant.told_at >= 0:
            slots = self.usual[request.request_class] / weight  # by Little's law, and as a mean
            tenant.split(slots * tenant.mine / tenant.own_fading, slots * total / tenant.fading)
        chance = max(0.0, 1.0 - room / total) if total > 0 and (plan.rate_per_s or tenant.small) else 0.0
        passes, tenant.credit = divmod(tenant.credit + 1.0 - chance, 1.0)  # spread evenly
        if passes < 1.0:
            return self._answer(request)
        tenant.queue.append(request)
        request.queued = True
        self._release(tenant)

    def _release(self, tenant: Tenant) -> None:
        """Send held requests, in order, while bound, ceiling and servers allow."""
        while tenant.queue:
            request = tenant.queue[0]
            if tenant.bound and tenant.in_flight >= tenant.bound:
                return
            lack = request.units - tenant.refill(self.now) if tenant.plan.hard_rate_per_s else 0.0
            server = self._pick(request) if lack <= 0 else None
            if server is None:
                wait = NO_SERVER_PAUSE + tenant.filled_in(lack, self.now)
                if tenant.looks_at <= self.now:
                    tenant.looks_at = self.now + wait
                    self._plan(tenant.looks_at, self._release, tenant)
                return
            tenant.queue.pop(0).queued = False
            tenant.take(request.units, self._weigh(request)[0])
            self.again = min(AGAIN_MOST, self.again + AGAIN_SHARE)
            self._send(request, server)

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

    def _call(self, request: Request) -> None:
        """Add what is owed to the tenant's count; the answer is the total, and the request waits for it."""
        tenant = request.tenant
        index, into = divmod(self.now - tenant.phase, tenant.period)
        name = (tenant.key << 24) | (index % 2**24)
        self.calls.setdefault(name, deque()).append((request, tenant.owed, index))
        fresh = 0 <= tenant.told_at > self.now - KNOWN_FOR  # else it speaks for those that do not call
        amount = tenant.owed * math.exp(into / tenant.fading) * (1.0 if fresh else self.strain)
        self.actions.append(AddToCounter(name, amount, tenant.period + 5 * SECOND))
        tenant.owed = 0.0

    def _strain(self, event: CounterResult) -> None:
        """How many calls the counter bears shows in how soon it answers."""
        step = STRAIN_LOST
        if event.outcome is Outcome.REJECTED:
            step = STRAIN_LATE
        elif event.outcome is Outcome.OK:
            in_time = event.elapsed_us <= LATE_SHARE * self.settings.counter_timeout_us
            step = STRAIN_PROMPT if in_time else STRAIN_LATE
        self.strain = min(STRAIN_MOST, max(1.0, self.strain * step))

    def _counted(self, event: CounterResult) -> None:
        if not (calls := self.calls.pop(event.counter_key, None)):
            return
        request, amount, index = calls.popleft()
        self.calls |= {event.counter_key: calls} if calls else {}
        heard, tenant = event.outcome is Outcome.OK, request.tenant
        self._strain(event)
        if heard:
            tenant.hear(event.total, index, self._weigh(request)[1], self.now)
        elif event.outcome is not Outcome.TIMED_OUT:
            tenant.owed += amount
        if not request.ended:
            self._admit(request)

"""Test settings, endpoints, and a driver that runs one gateway with a simulated clock and counter."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, TypeVar

from yardlane.decisions.actions import Action, AddToCounter, SetTimer, StartAttempt
from yardlane.decisions.events import (
    AttemptEnded,
    CounterResult,
    Endpoint,
    EndpointListUpdate,
    EndpointState,
    Event,
    LoadReport,
    Outcome,
    RequestArrived,
    TimerFired,
    UpdateKind,
)
from yardlane.decisions.gateway import Gateway
from yardlane.decisions.settings import DeduplicationScope, Idempotency, QuotaPlan, RequestClass, Settings

A = TypeVar("A")
MS = 1_000
SECOND = 1_000_000
# Indices of `CLASSES` and `PLANS`.
IDEMPOTENT, KEYED, NON_IDEMPOTENT = 0, 1, 2
UNLIMITED, RATE_LIMITED, CONCURRENCY_LIMITED, HARD_RATE_LIMITED = 0, 1, 2, 3


def make_request_class(
    idempotency: Idempotency, scope: DeduplicationScope = DeduplicationScope.ZONE, **changes: Any
) -> RequestClass:
    """Return a request class with test values, except for `changes`."""
    base = RequestClass(
        latency_objective_us=900 * MS,
        deadline_us=3 * SECOND,
        idempotency=idempotency,
        deduplication_scope=scope,
        idempotency_window_us=2 * SECOND,
        priority_weight=1.0,
    )
    return replace(base, **changes)


def make_quota_plan(**changes: Any) -> QuotaPlan:
    """Return a quota plan without limits, except for `changes`."""
    base = QuotaPlan(
        rate_per_s=0.0,
        burst=0.0,
        concurrency_limit=0,
        hard_rate_per_s=0.0,
        hard_rate_depth=0.0,
        hard_rate_slack=0.0,
    )
    return replace(base, **changes)


CLASSES = (
    make_request_class(Idempotency.IDEMPOTENT),
    make_request_class(Idempotency.KEYED),
    make_request_class(Idempotency.NON_IDEMPOTENT),
)
PLANS = (
    make_quota_plan(),
    make_quota_plan(rate_per_s=10.0, burst=20.0),
    make_quota_plan(concurrency_limit=6),
    make_quota_plan(hard_rate_per_s=6.0, hard_rate_depth=30.0, hard_rate_slack=3.0),
)


def make_settings(**changes: Any) -> Settings:
    """Return settings with test values, except for `changes`."""
    base = Settings(
        gateway_count=3,
        rank=0,
        zone=0,
        request_classes=CLASSES,
        quota_plans=PLANS,
        tick_us=2 * MS,
        answer_grace_us=8 * MS,
        drain_grace_us=SECOND,
        initial_capacity_share=0.2,
        warm_up_us=15 * SECOND,
        overload_multiple=3.0,
        overload_window_us=SECOND,
        max_attempts=5,
        may_hedge=True,
        may_cancel=True,
        may_send_retry_after=True,
        max_retry_after_us=SECOND,
        endpoint_list_is_pushed=True,
        has_shared_counter=True,
        counter_timeout_us=40 * MS,
        cross_zone_cost=0.0,
    )
    return replace(base, **changes)


def make_endpoint_id(number: int) -> bytes:
    """Return the id of the endpoint with this number."""
    return bytes((10, 1, 0, number)) + b"\x50\x00"


def make_endpoint(number: int, state: EndpointState = EndpointState.READY, **changes: Any) -> Endpoint:
    """Return an endpoint list entry with test values, except for `changes`."""
    base = Endpoint(make_endpoint_id(number), state, 0, 1.0, 0, 0, 0)
    return replace(base, **changes)


def of_type(kind: type[A], actions: list[Action]) -> list[A]:
    """Return the actions of type `kind`."""
    return [action for action in actions if isinstance(action, kind)]


class GatewayDriver:
    """Drives one gateway: simulates its clock, timers and shared counter, and logs its actions."""

    def __init__(
        self, endpoints: int = 4, seed: int = 5, start_us: int = 77 * SECOND, **changes: Any
    ) -> None:
        self.settings = make_settings(**changes)
        self.gateway = Gateway(self.settings, seed)
        self.now_us = start_us
        self.timers_us: list[int] = []
        self.action_log: list[tuple[int, Action]] = []
        self.counter_totals: dict[int, float] = {}
        self.counter_responds = True
        self.counter_latency_us = MS
        self.counter_failure = Outcome.TIMED_OUT  # the outcome of a call while the counter does not respond
        self.remote_demand = 0.0  # what other gateways have added to each total at the start
        self.next_request_id = 1
        self.attempt_counts: dict[int, int] = {}
        entries = tuple(make_endpoint(number) for number in range(endpoints))
        self.deliver(EndpointListUpdate(UpdateKind.CACHED, 1, entries))

    def deliver(self, *events: Event) -> list[Action]:
        """Pass events to the gateway in one turn, reply to its counter calls, and return all actions."""
        actions = self.gateway.handle(self.now_us, list(events))
        for action in actions:
            self.action_log.append((self.now_us, action))
            if isinstance(action, SetTimer):
                self.timers_us.append(self.now_us + max(1, action.delay_us))
            elif isinstance(action, StartAttempt):
                self.attempt_counts[action.request_id] = self.attempt_counts.get(action.request_id, 0) + 1
        for call in of_type(AddToCounter, actions):
            actions = actions + self._respond_for_counter(call)
        return actions

    def _respond_for_counter(self, call: AddToCounter) -> list[Action]:
        if not self.counter_responds:
            return self.deliver(
                CounterResult(call.counter_key, self.counter_failure, 0.0, self.settings.counter_timeout_us)
            )
        total = self.counter_totals.get(call.counter_key, self.remote_demand) + call.amount
        self.counter_totals[call.counter_key] = total
        return self.deliver(CounterResult(call.counter_key, Outcome.OK, total, self.counter_latency_us))

    def advance(self, duration_us: int) -> list[Action]:
        """Advance the clock, firing the timers that become due, and return the actions of the gateway."""
        log_start = len(self.action_log)
        end_us = self.now_us + duration_us
        while self.timers_us and min(self.timers_us) <= end_us:
            self.now_us = max(self.now_us, min(self.timers_us))
            self.timers_us = [at_us for at_us in self.timers_us if at_us > self.now_us]
            self.deliver(TimerFired(0))
        self.now_us = end_us
        return [action for _, action in self.action_log[log_start:]]

    def send_request(
        self,
        tenant: int = 9,
        quota_plan: int = UNLIMITED,
        request_class: int = IDEMPOTENT,
        units: float = 1.0,
        time_left_us: int | None = None,
        first_gateway: int = 0,
        gateway_count: int = 3,
    ) -> tuple[int, list[Action]]:
        """Deliver a new request; return its request id and the actions of that turn."""
        number = self.next_request_id
        self.next_request_id += 1
        if time_left_us is None:
            time_left_us = self.settings.request_classes[request_class].deadline_us
        arrived = RequestArrived(
            number, tenant, quota_plan, request_class, time_left_us, units, first_gateway, gateway_count
        )
        return number, self.deliver(arrived)

    def end_attempt(
        self,
        request_id: int,
        endpoint_id: bytes,
        outcome: Outcome = Outcome.OK,
        elapsed_us: int = 50 * MS,
        attempt_index: int | None = None,
        request_ended: bool | None = None,
        load: LoadReport | None = None,
    ) -> list[Action]:
        """End an attempt, by default the last one of the request, and return the resulting actions."""
        if attempt_index is None:
            attempt_index = self.attempt_counts[request_id] - 1
        if request_ended is None:
            request_ended = outcome is Outcome.OK
        return self.deliver(
            AttemptEnded(
                request_id, attempt_index, endpoint_id, outcome, elapsed_us, request_ended, load=load
            )
        )

    def serve_request(self, **request: Any) -> bool:
        """Deliver a new request and complete its first attempt immediately; return whether there was one."""
        number, actions = self.send_request(**request)
        sent = of_type(StartAttempt, actions)
        if sent:
            self.end_attempt(number, sent[0].endpoint_id)
        return bool(sent)

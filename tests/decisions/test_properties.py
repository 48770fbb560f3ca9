"""Property tests: the decisions keep these invariants for any valid sequence of events.

Each random run passes a valid sequence of events to a gateway and checks every action:

- Each request ends. The gateway gives it at most one final answer, at most `answer_grace_us` after its
  deadline, and sends no attempt for it after its end.
- A non-idempotent request is sent again only if it is certain that no earlier attempt has run.
- If a request with an idempotency key may have run, it is sent again only within its idempotency window and
  only to the zone of the first attempt that may have run, because its deduplication scope is the zone.
- A request that may have run is rejected only if it is idempotent.
- Attempts are sent only to endpoints that are ready.
- No hedged request is sent if the settings do not allow hedging.
- The hard rate is never exceeded.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from hypothesis import given, settings, strategies

from tests.gateway_driver import (
    CLASSES,
    HARD_RATE_LIMITED,
    IDEMPOTENT,
    MS,
    PLANS,
    SECOND,
    GatewayDriver,
    make_endpoint,
)
from yardlane.decisions.actions import CancelAttempt, Fail, Reject, SetTimer, StartAttempt
from yardlane.decisions.events import EndpointListUpdate, EndpointState, Outcome, RequestEnded, UpdateKind
from yardlane.decisions.settings import Idempotency

NEVER_RAN_OUTCOMES = (Outcome.REJECTED, Outcome.NOT_CONNECTED, Outcome.NOT_SENT)
FAILURES = (*NEVER_RAN_OUTCOMES, Outcome.ERROR, Outcome.TIMED_OUT, Outcome.CONNECTION_LOST)
ZONE_COUNT = 3
ENDPOINT_COUNT = 6
STEPS_PER_RUN = 150
# READY is repeated so that it is drawn more often.
STATE_CHOICES = (EndpointState.READY,) * 4 + (EndpointState.DRAINING, EndpointState.REMOVED)


@dataclass
class SentAttempt:
    """What the test knows about an attempt that the gateway has started."""

    sent_at_us: int
    endpoint_id: bytes
    is_in_flight: bool = True
    may_have_run: bool = True


@dataclass
class RequestHistory:
    """What the test knows about a request and its attempts."""

    request_class: int
    plan: int
    deadline_at_us: int
    attempts: list[SentAttempt] = field(default_factory=list)
    has_ended: bool = False

    def first_attempt_that_may_have_run(self) -> SentAttempt | None:
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)


class InvariantChecker:
    """Checks every action of a gateway against the invariants."""

    def __init__(self, driver: GatewayDriver) -> None:
        self.driver = driver
        self.checked_count = 0
        self.requests: dict[int, RequestHistory] = {}
        self.endpoint_states: dict[bytes, EndpointState] = {}
        self.endpoint_zones: dict[bytes, int] = {}
        # The units in this gateway's share of the hard rate's token bucket. As there are three gateways, the
        # share is a third.
        self.hard_rate_units = PLANS[HARD_RATE_LIMITED].hard_rate_slack / 3
        self.hard_rate_refilled_at_us = driver.now_us

    def check_new_actions(self) -> None:
        new_actions = self.driver.action_log[self.checked_count :]
        self.checked_count = len(self.driver.action_log)
        for at_us, action in new_actions:
            if isinstance(action, StartAttempt):
                self._check_attempt(at_us, action)
            elif isinstance(action, Reject | Fail):
                self._check_final_answer(at_us, action)

    def _check_final_answer(self, at_us: int, answer: Reject | Fail) -> None:
        request = self.requests[answer.request_id]
        assert not request.has_ended
        assert at_us <= request.deadline_at_us + self.driver.settings.answer_grace_us
        idempotency = CLASSES[request.request_class].idempotency
        if isinstance(answer, Reject) and idempotency is not Idempotency.IDEMPOTENT:
            assert request.first_attempt_that_may_have_run() is None
        request.has_ended = True

    def _check_attempt(self, at_us: int, action: StartAttempt) -> None:
        request = self.requests[action.request_id]
        assert not request.has_ended
        first = request.first_attempt_that_may_have_run()
        if first is not None:
            self._check_retry(at_us, action.endpoint_id, request, first)
        if not self.driver.settings.may_hedge:
            assert not any(attempt.is_in_flight for attempt in request.attempts)
        assert self.endpoint_states[action.endpoint_id] is EndpointState.READY
        if request.plan == HARD_RATE_LIMITED and not request.attempts:
            self._check_hard_rate(at_us)
        request.attempts.append(SentAttempt(at_us, action.endpoint_id))

    def _check_retry(
        self, at_us: int, endpoint_id: bytes, request: RequestHistory, first: SentAttempt
    ) -> None:
        request_class = CLASSES[request.request_class]
        assert request_class.idempotency is not Idempotency.NON_IDEMPOTENT
        if request_class.idempotency is Idempotency.KEYED:
            assert self.endpoint_zones[first.endpoint_id] == self.endpoint_zones[endpoint_id]
            assert at_us - first.sent_at_us < request_class.idempotency_window_us

    def _check_hard_rate(self, at_us: int) -> None:
        depth = PLANS[HARD_RATE_LIMITED].hard_rate_depth / 3
        units_per_s = PLANS[HARD_RATE_LIMITED].hard_rate_per_s / 3
        filled = self.hard_rate_units + units_per_s * (at_us - self.hard_rate_refilled_at_us) / SECOND
        self.hard_rate_units = min(depth, filled) - 1.0
        self.hard_rate_refilled_at_us = at_us
        assert self.hard_rate_units >= -1e-6


class RandomRun:
    """Passes random events to a gateway. Each event is valid in the gateway's current state."""

    def __init__(self, seed: int, may_hedge: bool, has_shared_counter: bool) -> None:
        self.random = Random(seed)
        self.driver = GatewayDriver(endpoints=0, may_hedge=may_hedge, has_shared_counter=has_shared_counter)
        self.checker = InvariantChecker(self.driver)
        self.update_endpoints(UpdateKind.SNAPSHOT, range(ENDPOINT_COUNT))

    def step(self) -> None:
        choice = self.random.random()
        in_flight = sorted(
            (request_id, attempt_index)
            for request_id, request in self.checker.requests.items()
            for attempt_index, attempt in enumerate(request.attempts)
            if attempt.is_in_flight
        )
        open_requests = sorted(
            request_id for request_id, request in self.checker.requests.items() if not request.has_ended
        )
        if choice < 0.45:
            self.send_request()
        elif choice < 0.75 and in_flight:
            self.end_attempt(*self.random.choice(in_flight))
        elif choice < 0.80 and open_requests:
            self.disconnect(self.random.choice(open_requests))
        elif choice < 0.85:
            kind = self.random.choice((UpdateKind.DELTA, UpdateKind.SNAPSHOT))
            self.update_endpoints(kind, range(self.random.randrange(ENDPOINT_COUNT + 1)))
        elif choice < 0.88:
            self.driver.counter_responds = not self.driver.counter_responds
        else:
            self.advance_time()
        self.checker.check_new_actions()

    def send_request(self) -> None:
        request_class = self.random.randrange(len(CLASSES))
        plan = self.random.randrange(len(PLANS))
        time_left_us = self.random.choice((5 * MS, 400 * MS, 2 * SECOND))
        history = RequestHistory(request_class, plan, self.driver.now_us + time_left_us)
        self.checker.requests[self.driver.next_request_id] = history
        self.driver.send_request(
            tenant=plan, quota_plan=plan, request_class=request_class, time_left_us=time_left_us
        )

    def end_attempt(self, request_id: int, attempt_index: int) -> None:
        outcome = Outcome.OK if self.random.random() < 0.5 else self.random.choice(FAILURES)
        if any(action == CancelAttempt(request_id, attempt_index) for _, action in self.driver.action_log):
            outcome = Outcome.CANCELLED
        request = self.checker.requests[request_id]
        attempt = request.attempts[attempt_index]
        attempt.is_in_flight = False
        attempt.may_have_run = outcome not in NEVER_RAN_OUTCOMES
        if outcome is Outcome.OK:
            request.has_ended = True
        elapsed_us = max(1, self.driver.now_us - attempt.sent_at_us)
        self.driver.end_attempt(
            request_id, attempt.endpoint_id, outcome, elapsed_us, attempt_index, request.has_ended
        )

    def disconnect(self, request_id: int) -> None:
        self.checker.requests[request_id].has_ended = True
        self.driver.deliver(RequestEnded(request_id))

    def update_endpoints(self, kind: UpdateKind, numbers: range) -> None:
        entries = [
            make_endpoint(
                number,
                self.random.choice(STATE_CHOICES),
                zone=number % ZONE_COUNT,
                started_at_us=self.random.choice((0, self.driver.now_us - 2 * SECOND)),
            )
            for number in numbers
        ]
        states = self.checker.endpoint_states
        if kind is UpdateKind.SNAPSHOT:
            entries = [entry for entry in entries if entry.state is not EndpointState.REMOVED]
            states.update(dict.fromkeys(states, EndpointState.REMOVED))
        for entry in entries:
            states[entry.endpoint_id] = entry.state
            self.checker.endpoint_zones[entry.endpoint_id] = entry.zone
        self.driver.deliver(EndpointListUpdate(kind, 1, tuple(entries)))

    def advance_time(self) -> None:
        for _ in range(self.random.randrange(1, 40)):
            self.driver.advance(self.random.choice((1, 20, 50)) * MS)
            self.checker.check_new_actions()


@settings(max_examples=60, deadline=None, derandomize=True)
@given(strategies.integers(0, 2**32), strategies.booleans(), strategies.booleans())
def test_random_event_sequences_keep_invariants(seed: int, may_hedge: bool, has_shared_counter: bool) -> None:
    run = RandomRun(seed, may_hedge, has_shared_counter)
    for _ in range(STEPS_PER_RUN):
        run.step()
    run.driver.advance(5 * SECOND)
    run.checker.check_new_actions()
    assert all(request.has_ended for request in run.checker.requests.values())


def test_timer_delays_are_positive() -> None:
    driver = GatewayDriver()
    for _ in range(100):
        driver.send_request(request_class=IDEMPOTENT)
        driver.advance(7 * MS)
    assert all(action.delay_us > 0 for _, action in driver.action_log if isinstance(action, SetTimer))

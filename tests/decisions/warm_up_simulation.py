"""A simulation of gateways, endpoints and clients that measures the load on endpoints that are warming up.

The simulation runs real `Gateway` objects on a simulated clock. Each gateway is notified of a change after a
delay of its own. The endpoints have many cores and no queue, so that the load is limited by the budgets of
slow start, and not by the limit on attempts in flight.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random

from tests.gateway_driver import MS, SECOND, UNLIMITED, make_endpoint, make_settings
from yardlane.decisions.actions import CancelAttempt, Fail, Reject, SetTimer, StartAttempt
from yardlane.decisions.events import (
    AttemptEnded,
    Endpoint,
    EndpointListUpdate,
    EndpointState,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
    UpdateKind,
)
from yardlane.decisions.gateway import Gateway
from yardlane.decisions.settings import Settings

BEGIN_US = 100 * SECOND
JOIN_US = BEGIN_US + 3 * SECOND  # the warming endpoints start within a second after this time
DRAIN_US = JOIN_US + SECOND * 3 // 2
FAILURE_DURATION_US = 2 * MS  # of an attempt that is rejected or fails immediately
HANG_DURATION_US = 2 * SECOND  # of an attempt that gets no response and times out
NOTIFICATION_DELAY_US = (20 * MS, 800 * MS)  # range of the delay until a gateway is notified
# A gateway's estimate of the service time before any response, as a share of the latency objective.
INITIAL_SERVICE_TIME_SHARE = 1 / 6
BURST_PERIOD_S = (7, 9)  # seconds after BEGIN_US between which the load is doubled


@dataclass
class Scenario:
    """The parameters of a simulated run; the seed determines the random values that are drawn with them."""

    gateway_count: int = 30
    warm_count: int = 8
    warming_count: int = 2
    warm_endpoints_stay: bool = False  # if not, they drain, and the warming ones get all requests
    warming_endpoints_crashed: bool = False  # warm endpoints that crash and start again; if not, new ones
    restart_share: float = 0.0  # the share of gateways that restart, at each of two times
    partial_list_share: float = 0.0  # of gateways; their lists lack about 60 % of the warm endpoints
    lists_flap: bool = False  # lists omit the warming endpoints for a moment, several times
    work_factor: float = 1.0  # the mean work of a request, relative to the initial estimate
    class_factors: tuple[float, float, float] = (1.0, 1.0, 1.0)  # mean work of each class, relative to all
    offered_load: float = 4.0  # offered work per warming endpoint, in cores of a warm endpoint
    hang_share: float = 0.05  # the share of attempts that get no response and time out
    latency_objective_us: int = 900 * MS
    settings: dict[str, float] = field(default_factory=dict)


def warm_up_factor(settings: Settings, started_at_us: int, now_us: int) -> float:
    """Return the share of its full capacity that an endpoint has at `now_us` according to the settings."""
    if not started_at_us:
        return 1.0
    share = settings.initial_capacity_share
    return min(1.0, share + (1.0 - share) * max(0, now_us - started_at_us) / settings.warm_up_us)


class SimulatedClock:
    """A simulated clock. It makes scheduled calls by time, and by the order of scheduling at equal times."""

    def __init__(self, now_us: int) -> None:
        self.now_us = now_us
        self._calls: list[tuple[int, int, Callable[[], None]]] = []
        self._scheduled_count = 0

    def schedule(self, at_us: float, call: Callable[[], None]) -> None:
        self._scheduled_count += 1
        heapq.heappush(self._calls, (int(at_us), self._scheduled_count, call))

    def run(self, duration_us: int) -> None:
        end_us = self.now_us + duration_us
        while self._calls and self._calls[0][0] <= end_us:
            self.now_us, _, call = heapq.heappop(self._calls)
            call()


@dataclass
class ReceivedAttempt:
    """An attempt that reached its endpoint.

    `sender_knew_start_time` says whether the sender's endpoint list had the endpoint's current start time.
    """

    at_us: int
    work_us: float
    sender_knew_start_time: bool


@dataclass
class SimulatedEndpoint:
    """An endpoint, and the attempts that reached it since its start."""

    entry: Endpoint
    is_down: bool = False
    received: list[ReceivedAttempt] = field(default_factory=list)

    def warm_up_load(self, settings: Settings, mean_work_us: float, now_us: int) -> tuple[float, float]:
        """Return the most work of a window relative to the allowed work, and all work relative to the budget.

        Both count only attempts that were sent while the endpoint was warming up. The allowed work is the
        budget of the window plus a margin: for a budget of n mean requests, 2 * sqrt(n) + 2 requests.
        """
        started_at_us = self.entry.started_at_us
        warming = [
            attempt
            for attempt in self.received
            if warm_up_factor(settings, started_at_us, attempt.at_us) < 1.0
        ]
        max_ratio = 0.0
        window: deque[ReceivedAttempt] = deque()
        for attempt in warming:
            window.append(attempt)
            while window[0].at_us <= attempt.at_us - settings.overload_window_us:
                window.popleft()
            total_us = sum(earlier.work_us for earlier in window)
            informed_work_us = sum(earlier.work_us for earlier in window if earlier.sender_knew_start_time)
            factor = warm_up_factor(settings, started_at_us, attempt.at_us)
            allowed = settings.overload_multiple * factor * settings.overload_window_us / mean_work_us
            # A window is ignored if at least a third of its work came from gateways that could not know of
            # the endpoint's start yet. Slow start cannot limit what such gateways send.
            if informed_work_us > total_us * 2 / 3:
                max_ratio = max(max_ratio, total_us / mean_work_us / (allowed + 2 * math.sqrt(allowed) + 2))
        until_us = min(now_us, started_at_us + settings.warm_up_us)
        first_factor = warm_up_factor(settings, started_at_us, started_at_us)
        last_factor = warm_up_factor(settings, started_at_us, until_us)
        budget_us = settings.overload_multiple * (until_us - started_at_us) * (first_factor + last_factor) / 2
        return max_ratio, sum(attempt.work_us for attempt in warming) / budget_us


@dataclass
class GatewayProcess:
    """A gateway that may be restarted, and the endpoint list as it was last notified of it.

    `incarnation` counts the restarts. Timers and ends of attempts of an earlier incarnation are dropped.
    """

    rank: int
    gateway: Gateway
    incarnation: int = 0
    endpoints: dict[bytes, Endpoint] = field(default_factory=dict)


@dataclass
class SimulatedAttempt:
    """One attempt of a request, as the simulation tracks it."""

    endpoint_id: bytes
    sent_at_us: int
    has_ended: bool = False


class Simulation:
    """A run of a scenario with one seed."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.random = Random(seed)
        self.scenario = scenario
        self.clock = SimulatedClock(BEGIN_US)
        base = make_settings(
            gateway_count=scenario.gateway_count, has_shared_counter=False, **scenario.settings
        )
        classes = tuple(
            replace(c, latency_objective_us=scenario.latency_objective_us) for c in base.request_classes
        )
        self.settings = replace(base, request_classes=classes)
        initial_estimate_us = scenario.latency_objective_us * INITIAL_SERVICE_TIME_SHARE
        self.mean_work_us = initial_estimate_us * scenario.work_factor
        self.request_count = 0
        self.attempts: dict[int, list[SimulatedAttempt]] = {}
        self.answered: set[int] = set()
        ids = [
            b"s-%08x" % self.random.getrandbits(32)
            for _ in range(scenario.warm_count + scenario.warming_count)
        ]
        self.endpoints = {
            endpoint_id: SimulatedEndpoint(make_endpoint(0, endpoint_id=endpoint_id))
            for endpoint_id in ids[: scenario.warm_count]
        }
        crashed = ids[: scenario.warming_count]
        self.warming_ids = crashed if scenario.warming_endpoints_crashed else ids[scenario.warm_count :]
        self.processes = [
            GatewayProcess(rank, self._new_gateway(rank)) for rank in range(scenario.gateway_count)
        ]
        self._notify_of_initial_lists()
        self._schedule_warming_endpoints()
        if not scenario.warm_endpoints_stay:
            self._schedule_drains()
        if scenario.restart_share:
            self._schedule_restarts()
        if scenario.lists_flap:
            for number in range(8):
                self.clock.schedule(JOIN_US + (2 + number) * SECOND, self._flap_lists)
        self.clock.schedule(BEGIN_US, self._send_request)

    def warm_up_loads(self) -> list[tuple[float, float]]:
        """Return the `warm_up_load` of each warming endpoint."""
        return [
            self.endpoints[endpoint_id].warm_up_load(self.settings, self.mean_work_us, self.clock.now_us)
            for endpoint_id in self.warming_ids
        ]

    def _new_gateway(self, rank: int) -> Gateway:
        return Gateway(replace(self.settings, rank=rank), self.random.getrandbits(32))

    # Changes of the endpoints and the gateways

    def _notify_of_initial_lists(self) -> None:
        for process in self.processes:
            entries = tuple(endpoint.entry for endpoint in self.endpoints.values())
            self._notify(process, entries, UpdateKind.CACHED)
            # A gateway with a partial list computes another `gateways_per_endpoint`.
            if self.random.random() < self.scenario.partial_list_share:
                missing = [
                    endpoint_id
                    for endpoint_id in self.endpoints
                    if endpoint_id not in self.warming_ids and self.random.random() < 0.6
                ]
                self._notify(
                    process, tuple(self._entry(missing_id, EndpointState.REMOVED) for missing_id in missing)
                )

    def _schedule_warming_endpoints(self) -> None:
        for endpoint_id in self.warming_ids:
            at_us = JOIN_US + self.random.randrange(SECOND)
            if self.scenario.warming_endpoints_crashed:
                self.clock.schedule(at_us - SECOND, partial(self._crash, endpoint_id))
            self.clock.schedule(at_us, partial(self._start, endpoint_id))

    def _schedule_drains(self) -> None:
        for endpoint_id in self.endpoints:
            if endpoint_id not in self.warming_ids:
                self.clock.schedule(DRAIN_US, partial(self._drain, endpoint_id))

    def _schedule_restarts(self) -> None:
        for seconds in (2, 4):
            for process in self.processes:
                if self.random.random() < self.scenario.restart_share:
                    later_us = self.random.randrange(self.settings.overload_window_us // 2)
                    at_us = JOIN_US + seconds * SECOND + later_us
                    self.clock.schedule(at_us, partial(self._restart, process))

    def _entry(self, endpoint_id: bytes, state: EndpointState) -> Endpoint:
        return replace(self.endpoints[endpoint_id].entry, state=state)

    def _start(self, endpoint_id: bytes) -> None:
        started_at_us = self.clock.now_us // MS * MS
        entry = make_endpoint(0, endpoint_id=endpoint_id, started_at_us=started_at_us)
        self.endpoints[endpoint_id] = SimulatedEndpoint(entry)
        self._notify_all(entry)

    def _crash(self, endpoint_id: bytes) -> None:
        self.endpoints[endpoint_id].is_down = True
        self._notify_all(self._entry(endpoint_id, EndpointState.REMOVED))

    def _drain(self, endpoint_id: bytes) -> None:
        self._notify_all(self._entry(endpoint_id, EndpointState.DRAINING))

    def _restart(self, process: GatewayProcess) -> None:
        process.incarnation += 1
        process.gateway = self._new_gateway(process.rank)
        self._notify(process, tuple(process.endpoints.values()), UpdateKind.CACHED)

    def _flap_lists(self) -> None:
        for process in self.processes:
            entries = tuple(process.endpoints.values())
            warm = tuple(entry for entry in entries if not entry.started_at_us)
            warming = tuple(entry for entry in entries if entry.started_at_us)
            self._notify(process, warm, UpdateKind.SNAPSHOT)
            self._notify(process, tuple(replace(entry, state=EndpointState.REMOVED) for entry in warming))
            self._notify(process, entries, UpdateKind.SNAPSHOT)

    def _notify_all(self, entry: Endpoint) -> None:
        """Notify each gateway of a change, with a delay of its own."""
        for process in self.processes:
            at_us = self.clock.now_us + self.random.randrange(*NOTIFICATION_DELAY_US)
            self.clock.schedule(at_us, partial(self._notify, process, (entry,)))

    def _notify(
        self, process: GatewayProcess, entries: tuple[Endpoint, ...], kind: UpdateKind = UpdateKind.DELTA
    ) -> None:
        if kind is not UpdateKind.DELTA:
            process.endpoints.clear()
        process.endpoints.update((entry.endpoint_id, entry) for entry in entries)
        self._handle(process, EndpointListUpdate(kind, 1, entries))

    # Requests and their attempts

    def _send_request(self) -> None:
        seconds = (self.clock.now_us - BEGIN_US) / SECOND
        rate = self.scenario.offered_load * self.scenario.warming_count / self.mean_work_us
        if BURST_PERIOD_S[0] < seconds < BURST_PERIOD_S[1]:
            rate *= 2.0
        self.clock.schedule(self.clock.now_us + 1 + self.random.expovariate(rate), self._send_request)
        self.request_count += 1
        gateway_count = self.scenario.gateway_count
        rank = self.random.randrange(gateway_count)
        request_class = self.request_count % 3
        arrived = RequestArrived(
            self.request_count, rank, UNLIMITED, request_class, 3 * SECOND, 1.0, 0, gateway_count
        )
        self._handle(self.processes[rank], arrived)

    def _handle(self, process: GatewayProcess, event: Event) -> None:
        incarnation = process.incarnation
        for action in process.gateway.handle(self.clock.now_us, [event]):
            if isinstance(action, SetTimer):
                at_us = self.clock.now_us + max(1, action.delay_us)
                self.clock.schedule(
                    at_us, partial(self._handle_if_alive, process, incarnation, TimerFired(0))
                )
            elif isinstance(action, StartAttempt):
                self._start_attempt(process, action)
            elif isinstance(action, Reject | Fail):
                self.answered.add(action.request_id)
            elif isinstance(action, CancelAttempt):
                self._end_attempt(
                    process, incarnation, action.request_id, action.attempt_index, Outcome.CANCELLED
                )

    def _handle_if_alive(self, process: GatewayProcess, incarnation: int, event: Event) -> None:
        if process.incarnation == incarnation:
            self._handle(process, event)

    def _start_attempt(self, process: GatewayProcess, action: StartAttempt) -> None:
        request_id = action.request_id
        attempts = self.attempts.setdefault(request_id, [])
        index = len(attempts)
        attempts.append(SimulatedAttempt(action.endpoint_id, self.clock.now_us))
        duration_us, outcome = self._serve(process, action.endpoint_id, self._draw_work_us(request_id))
        at_us = self.clock.now_us + max(1, duration_us)
        incarnation = process.incarnation
        self.clock.schedule(
            at_us, partial(self._end_attempt, process, incarnation, request_id, index, outcome)
        )

    def _serve(self, process: GatewayProcess, endpoint_id: bytes, work_us: float) -> tuple[float, Outcome]:
        """Simulate an attempt at an endpoint; return its duration in microseconds and its outcome."""
        endpoint = self.endpoints[endpoint_id]
        if endpoint.is_down:
            return float(FAILURE_DURATION_US), Outcome.NOT_CONNECTED
        knew_start_time = process.endpoints[endpoint_id].started_at_us == endpoint.entry.started_at_us
        endpoint.received.append(ReceivedAttempt(self.clock.now_us, work_us, knew_start_time))
        chance = self.random.random() - self.scenario.hang_share
        if chance < 0.0:
            return float(HANG_DURATION_US), Outcome.TIMED_OUT
        if chance < 0.05:
            return float(FAILURE_DURATION_US), Outcome.ERROR
        if chance < 0.1:
            return float(FAILURE_DURATION_US), Outcome.REJECTED
        return work_us, Outcome.OK

    def _draw_work_us(self, request_id: int) -> float:
        """Return a random amount of work; its standard deviation is 0.7 of the mean, as in production."""
        mean_us = self.mean_work_us * self.scenario.class_factors[request_id % 3]
        return self.random.gammavariate(2.0, mean_us / 2.0)

    def _end_attempt(
        self, process: GatewayProcess, incarnation: int, request_id: int, index: int, outcome: Outcome
    ) -> None:
        attempt = self.attempts[request_id][index]
        if attempt.has_ended:
            return
        attempt.has_ended = True
        if outcome is Outcome.OK:
            self.answered.add(request_id)
        elapsed_us = self.clock.now_us - attempt.sent_at_us
        is_answered = request_id in self.answered
        ended = AttemptEnded(request_id, index, attempt.endpoint_id, outcome, elapsed_us, is_answered)
        self._handle_if_alive(process, incarnation, ended)

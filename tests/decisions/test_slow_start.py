"""Cold servers bear what all gateways together send: real gateways on a clock that the test moves."""

from __future__ import annotations

import heapq
import math
import sys
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

import pytest

from yardlane.decisions.gateway import Gateway
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
from yardlane.decisions.settings import Settings
from yardlane.decisions.endpoints import EndpointList
from yardlane.decisions.slow_start import BUDGET_SHARE, RESTART_SHARE, SlowStart
from tests.gateway_driver import FREE, MS, SECOND, make_endpoint, make_settings

READY, DRAINING, GONE = EndpointState.READY, EndpointState.DRAINING, EndpointState.REMOVED
BEGIN = 100 * SECOND
TAPPED = 2 * MS  # a refusal or a failed connection takes so long


@dataclass
class Scene:
    """What happens on one drawn day; sizes are drawn around these by the seed."""

    gateways: int = 30
    servers: int = 8
    cold: int = 2  # join at the beginning, or come back cold
    keeps: bool = False  # the warm ones stay; else they drain and all traffic is on the cold ones
    restarts: bool = False  # the cold ones are known ones that crashed and are back
    births: float = 0.0  # part of the gateways that start anew, twice
    unlike: float = 0.0  # part of the gateways whose list lacks half of the servers
    flaps: bool = False  # lists lose the cold servers for a moment and name them again
    factor: float = 1.0  # mean work in first estimates
    kinds: tuple[float, float, float] = (1.0, 1.0, 1.0)  # mean work by class, in means of all
    load: float = 4.0  # offered work, in warm cores for each cold server
    hangs: float = 0.05  # part of the attempts that are never answered in time
    aim: int = 900 * MS
    changes: dict[str, float] = field(default_factory=dict)


class Backend:
    """A server of many cores; it keeps what reached it since its start."""

    def __init__(self, line: Endpoint) -> None:
        self.entry, self.down = line, False
        self.sent: list[tuple[int, float, bool]] = []  # when, work, whether the sender knew of the start


class Yard:
    """All gateways of one scene, their servers and clients."""

    def __init__(self, scene: Scene, seed: int) -> None:
        self.random, self.scene, self.now = Random(seed), scene, BEGIN
        base = make_settings(gateway_count=scene.gateways, has_shared_counter=False, **scene.changes)
        self.base = replace(
            base,
            request_classes=tuple(replace(c, latency_objective_us=scene.aim) for c in base.request_classes),
        )
        self.window, self.first = self.base.overload_window_us, scene.aim / 6
        self.mean = self.first * scene.factor
        self.agenda: list[tuple[int, int, Callable[[], None]]] = []
        self.numbers = self.requests = 0
        self.backends: dict[bytes, Backend] = {}
        self.gateways: list[Gateway] = []
        self.lives = [0] * scene.gateways
        self.told: list[dict[bytes, Endpoint]] = [{} for _ in range(scene.gateways)]
        self.attempts: dict[int, list[tuple[bytes, int]]] = {}
        self.over: set[int] = set()
        self.ended: set[tuple[int, int]] = set()
        names = [b"s-%08x" % self.random.getrandbits(32) for _ in range(scene.servers + scene.cold)]
        for name in names[: scene.servers]:
            self.backends[name] = Backend(make_endpoint(0, endpoint_id=name))
        self.fresh = names[: scene.cold] if scene.restarts else names[scene.servers :]
        for rank in range(scene.gateways):
            self.gateways.append(self._birth(rank))
        self._plan_day()

    def at(self, when: float, action: Callable[[], None]) -> None:
        self.numbers += 1
        heapq.heappush(self.agenda, (int(when), self.numbers, action))

    def run(self, duration: int) -> None:
        end = self.now + duration
        while self.agenda and self.agenda[0][0] <= end:
            self.now, _, action = heapq.heappop(self.agenda)
            action()

    def _birth(self, rank: int) -> Gateway:
        return Gateway(replace(self.base, rank=rank), self.random.getrandbits(32))

    def _plan_day(self) -> None:
        scene, start = self.scene, BEGIN + 3 * SECOND
        for rank in range(scene.gateways):
            self._tell(rank, tuple(b.entry for b in self.backends.values()), UpdateKind.CACHED)
            short = self.random.random() < scene.unlike
            if short:  # lacks some of the others, so counts other sharers
                lacks = [n for n in self.backends if n not in self.fresh and self.random.random() < 0.6]
                self._tell(rank, tuple(replace(self.backends[n].entry, state=GONE) for n in lacks))
        for name in self.fresh:
            when = start + self.random.randrange(SECOND)
            if scene.restarts:
                self.at(when - SECOND, lambda name=name: self._crash(name))  # type: ignore[misc]
            self.at(when, lambda name=name: self._start(name))  # type: ignore[misc]
        if not scene.keeps:
            for name in [n for n in self.backends if n not in self.fresh]:
                self.at(
                    start + 1.5 * SECOND,
                    lambda name=name: self._spread(  # type: ignore[misc]
                        replace(self.backends[name].entry, state=DRAINING)
                    ),
                )
        for again in (2, 4) if scene.births else ():
            for rank in range(scene.gateways):
                if self.random.random() < scene.births:
                    when = start + again * SECOND + self.random.randrange(self.window // 2)
                    self.at(when, lambda rank=rank: self._again(rank))  # type: ignore[misc]
        if scene.flaps:
            for n in range(8):
                self.at(start + (2 + n) * SECOND, self._flap)
        self.at(BEGIN, self._arrive)

    def _arrive(self) -> None:
        t = (self.now - BEGIN) / SECOND
        rate = self.scene.load * self.scene.cold / self.mean * (2.0 if 7 < t < 9 else 1.0)  # a burst
        self.at(self.now + 1 + self.random.expovariate(rate), self._arrive)
        self.requests += 1
        rank, kind = self.random.randrange(self.scene.gateways), self.requests % 3
        self._give(
            rank, RequestArrived(self.requests, rank, FREE, kind, 3 * SECOND, 1.0, 0, self.scene.gateways)
        )

    def _start(self, name: bytes) -> None:
        self.backends[name] = Backend(make_endpoint(0, endpoint_id=name, started_at_us=self.now // MS * MS))
        self._spread(self.backends[name].entry)

    def _crash(self, name: bytes) -> None:
        self.backends[name].down = True
        self._spread(replace(self.backends[name].entry, state=GONE))

    def _spread(self, line: Endpoint) -> None:
        """Each gateway learns of it at its own time."""
        for rank in range(self.scene.gateways):
            delay = self.random.randrange(20 * MS, 800 * MS)
            self.at(self.now + delay, lambda rank=rank: self._tell(rank, (line,)))  # type: ignore[misc]

    def _again(self, rank: int) -> None:
        self.lives[rank] += 1
        self.gateways[rank], known = self._birth(rank), tuple(self.told[rank].values())
        self._tell(rank, known, UpdateKind.CACHED)

    def _flap(self) -> None:
        for rank in range(self.scene.gateways):
            lines = tuple(self.told[rank].values())
            keeps = tuple(line for line in lines if not line.started_at_us)
            self._tell(rank, keeps, UpdateKind.SNAPSHOT)
            self._tell(rank, tuple(replace(line, state=GONE) for line in lines if line.started_at_us))
            self._tell(rank, lines, UpdateKind.SNAPSHOT)

    def _tell(self, rank: int, lines: tuple[Endpoint, ...], kind: UpdateKind = UpdateKind.DELTA) -> None:
        known = self.told[rank]
        if kind is not UpdateKind.DELTA:
            known.clear()
        known.update((line.endpoint_id, line) for line in lines)
        self._give(rank, EndpointListUpdate(kind, 1, lines))

    def _give(self, rank: int, event: Event) -> None:
        life = self.lives[rank]
        for action in self.gateways[rank].handle(self.now, [event]):
            if isinstance(action, SetTimer):
                self.at(self.now + max(1, action.delay_us), lambda: self._alive(rank, life, TimerFired(0)))
            elif isinstance(action, StartAttempt):
                self._attempt(rank, life, action)
            elif isinstance(action, Reject | Fail):
                self.over.add(action.request_id)
            elif isinstance(action, CancelAttempt):
                self._end(rank, life, action.request_id, action.attempt_index, Outcome.CANCELLED)

    def _alive(self, rank: int, life: int, event: Event) -> None:
        if self.lives[rank] == life:
            self._give(rank, event)

    def _attempt(self, rank: int, life: int, send: StartAttempt) -> None:
        tries = self.attempts.setdefault(send.request_id, [])
        number = len(tries)
        tries.append((send.endpoint_id, self.now))
        backend, work = self.backends[send.endpoint_id], self._work(send.request_id)
        knows = self.told[rank][send.endpoint_id].started_at_us == backend.entry.started_at_us
        after, result = float(TAPPED), Outcome.OK
        if backend.down:
            result = Outcome.NOT_CONNECTED
        else:
            backend.sent.append((self.now, work, knows))
            chance = self.random.random() - self.scene.hangs
            if chance < 0.0:
                after, result = 2.0 * SECOND, Outcome.TIMED_OUT
            elif chance < 0.1:
                result = Outcome.ERROR if chance < 0.05 else Outcome.REJECTED
            else:
                after = work  # no queue and warm speed: the budgets bind, not the windows of attempts
        self.at(self.now + max(1, after), lambda: self._end(rank, life, send.request_id, number, result))

    def _work(self, request: int) -> float:
        mean = self.mean * self.scene.kinds[request % 3]
        return self.random.gammavariate(2.0, mean / 2.0)  # spread as in the field: 0.7 of the mean

    def _end(self, rank: int, life: int, request: int, number: int, result: Outcome) -> None:
        if (request, number) in self.ended:
            return
        self.ended.add((request, number))
        if result is Outcome.OK:
            self.over.add(request)
        server, at = self.attempts[request][number]
        self._alive(
            rank, life, AttemptEnded(request, number, server, result, self.now - at, request in self.over)
        )

    def loads(self) -> list[tuple[float, float]]:
        """For each cold server, the worst window over what it bears; and work sent while cold over budget."""
        return [self._load(self.backends[name]) for name in self.fresh]

    def _load(self, backend: Backend) -> tuple[float, float]:
        s, start, worst, total, told = self.base, backend.entry.started_at_us, 0.0, 0.0, 0.0
        window: deque[tuple[int, float, bool]] = deque()
        cold = [x for x in backend.sent if warmth(s, start, x[0]) < 1.0]
        for at, work, knows in cold:
            window.append((at, work, knows))
            while window[0][0] <= at - s.overload_window_us:
                window.popleft()
            total, told = sum(w for _, w, _ in window), sum(w for _, w, k in window if k)
            allowed = s.overload_multiple * warmth(s, start, at) * s.overload_window_us / self.mean
            if told > total * 2 / 3:  # else it is the fall of those that could not know
                worst = max(worst, total / self.mean / (allowed + 2 * math.sqrt(allowed) + 2))
        until = min(self.now, start + s.warm_up_us)
        budget = (
            s.overload_multiple * (until - start) * (warmth(s, start, start) + warmth(s, start, until)) / 2
        )
        return worst, sum(w for _, w, _ in cold) / budget


def warmth(s: Settings, started: int, now: int) -> float:
    if not started:
        return 1.0
    return min(
        1.0,
        s.initial_capacity_share + (1.0 - s.initial_capacity_share) * max(0, now - started) / s.warm_up_us,
    )


MANY = {
    "overload_multiple": 4.0,
    "overload_window_us": 3 * SECOND,
}  # a budget of many requests, so little is chance
FINE = Scene(gateways=20, servers=4, cold=1, aim=90 * MS, hangs=0.005, changes=MANY)
SCENES = {
    "join, all else drains": Scene(),
    "join, three gateways": Scene(gateways=3),
    "join, twenty gateways": Scene(gateways=20, servers=20, cold=4),
    "join, others stay": Scene(servers=6, keeps=True, load=10.0),
    "come back cold": Scene(restarts=True),
    "many servers, lists differ": Scene(servers=50, cold=4, unlike=0.5),
    "half start anew": Scene(births=0.5),
    "classes differ": Scene(kinds=(0.3, 0.5, 2.2)),
    "fine work, classes differ": replace(FINE, kinds=(0.3, 0.5, 2.2)),
    "estimate four times too low": Scene(factor=4.0),
    "estimate four times too high": Scene(factor=0.25),
    "fine work": FINE,
    "fine work, come back cold": replace(FINE, restarts=True),
    "fine work, lists differ": replace(FINE, servers=40, cold=2, unlike=0.5),
    "fine work, half start anew": replace(FINE, births=0.5),
    "fine work, all start anew": replace(FINE, births=1.0),
    "fine work, lists flap": replace(FINE, flaps=True),
    "fine work, too low": replace(FINE, factor=4.0),
    "fine work, too low, 40": replace(FINE, factor=4.0, gateways=40),
}


def figures(scene: Scene, seeds: range) -> tuple[float, float, float]:
    """The worst ratio, the share of cold servers that fell, and how much of the budgets was sent."""
    loads = []
    for seed in seeds:
        yard = Yard(scene, seed)
        yard.run(19 * SECOND)
        loads += yard.loads()
    worst = [w for w, _ in loads]
    return max(worst), sum(w > 1.0 for w in worst) / len(worst), sum(u for _, u in loads) / len(loads)


# By hand: scenes with three gateways or two, and the coarse one whose estimate is far too low. There a budget
# is of one request or two, and a single one of over four times the mean work is a fall by chance.
@pytest.mark.parametrize(
    "title",
    [
        "join, all else drains",
        "join, others stay",
        "come back cold",
        "many servers, lists differ",
        "half start anew",
        "classes differ",
        "fine work, lists differ",
        "fine work, all start anew",
        "fine work, lists flap",
        "fine work, too low, 40",
    ],
)
def test_no_cold_server_gets_more_than_it_bears(title: str) -> None:
    worst, _, used = figures(SCENES[title], range(2))
    assert worst <= 1.0
    assert used >= 0.2  # and it warms up under load


@pytest.mark.parametrize("births", (False, True))
@pytest.mark.parametrize(("gateways", "work"), [(1, 1 * MS), (3, 150 * MS), (20, 15 * MS), (60, 150 * MS)])
def test_all_that_fits_at_once_is_within_the_part_that_is_used(
    gateways: int, work: int, births: bool
) -> None:
    """Each gateway sends whenever it may; all may start anew once, and so spend half of a part more."""
    base = make_settings(gateway_count=gateways, overload_multiple=4.0, overload_window_us=3 * SECOND)
    base = replace(
        base, request_classes=tuple(replace(c, latency_objective_us=6 * work) for c in base.request_classes)
    )
    cold = EndpointListUpdate(UpdateKind.SNAPSHOT, 1, (make_endpoint(1, started_at_us=BEGIN),))

    def started(at: int) -> list[SlowStart]:
        made = []
        for rank in range(gateways):
            endpoints = EndpointList(replace(base, rank=rank))
            endpoints.apply_update(cold)
            made.append(SlowStart(endpoints.settings, endpoints))
            made[-1].gateway_started_at_us = at
        return made

    slow_starts = started(0)
    sent = deque[int]()
    for now in range(BEGIN, BEGIN + base.warm_up_us, 20 * MS):
        if births and now == BEGIN + SECOND:
            slow_starts = started(now)
        share = warmth(base, BEGIN, now)
        for slow_start in slow_starts:
            endpoint = slow_start.endpoints.by_id[cold.endpoints[0].endpoint_id]
            while slow_start.admits(endpoint, share, work, now):
                slow_start.record_sent(endpoint, work, now)
                endpoint.last_sent_at_us = now
                sent.append(now)
                while sent[0] <= now - base.overload_window_us:
                    sent.popleft()
                part = BUDGET_SHARE * base.overload_multiple * share * base.overload_window_us / work
                assert len(sent) <= part * (1.0 + RESTART_SHARE * births) + 1  # of the turn that is on


if __name__ == "__main__":  # more seeds by hand: how many, and part of a title
    for title, scene in SCENES.items():
        if len(sys.argv) < 3 or sys.argv[2] in title:
            worst, fell, used = figures(scene, range(int(sys.argv[1])))
            print(f"{title:32} worst {worst:.2f}, fell {fell:.3f}, of budget {used:.3f}", flush=True)

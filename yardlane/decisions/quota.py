"""A tenant's requests at one gateway, and this gateway's share of what its plan lets all of them use."""

from __future__ import annotations

import math

from yardlane.decisions.events import RequestArrived
from yardlane.decisions.settings import Settings
from yardlane.decisions.request import Request

FADING_SHARE, FADING_TIMEOUTS = 0.4, 50  # fading interval: of the time a burst lasts; else counter time-outs
# Time-outs where a cap is smaller than its set: about as long as a request takes. And where a rate's set is
# large: each gateway has few requests in an interval, so a long one spares few calls and tells late.
FADING_SMALL = 10
TELLERS = 25  # gateways that tell in one interval
PERIOD = 8  # fading intervals that one name holds; a new name starts from what was last known
OWN_ROOM = 1.4  # even parts that an untold tenant gets
FEW, NEAR = 3.0, 0.5  # requests too few to tell a change; of its room: from here a total is asked for sooner
# Part of a ceiling's rate that goes where the demand is, while the total is fresh; the rest, and the depth,
# stays in even parts, which hold with no word from the others.
MOVES = 0.7
SECOND = 1_000_000


class Tenant:
    """A tenant's share here: bound and queue, what is known of its total, and its part of the ceiling."""

    def __init__(self, event: RequestArrived, settings: Settings, now: int, born: int) -> None:
        self.key, self.ways = (
            event.tenant * len(settings.quota_plans) + event.quota_plan,
            max(1, event.gateway_count),
        )
        self.plan = plan = settings.quota_plans[event.quota_plan]
        self.queue: list[Request] = []
        self.in_flight, self.store_at, self.asked_at = 0, now, now
        self.bound, self.left = (
            max(1, plan.concurrency_limit // self.ways) if plan.concurrency_limit else 0,
            plan.burst,
        )
        self.small = self.ways > plan.concurrency_limit  # floors of one sum past the cap: the chance keeps it
        # The interval fades: the total weighs what was asked by e**-(age / fading).
        burst = FADING_SHARE * plan.burst / plan.rate_per_s * SECOND if plan.rate_per_s else 0.0
        short = self.ways > TELLERS if plan.rate_per_s else self.small
        timeouts = FADING_SMALL if short else FADING_TIMEOUTS
        self.fading = max(burst, timeouts * max(1, settings.counter_timeout_us))
        room = max(
            1.0, plan.burst or plan.concurrency_limit
        )  # alone, few requests must tell: over a longer time
        self.own_fading = self.fading * max(1.0, self.ways / room)
        self.period = int(min(50 * SECOND, PERIOD * self.fading))
        self.phase = event.tenant * 2654435761 % 2**32 * self.period // 2**32  # no bunching
        self.mine = self.owed = 0.0  # asked here, fading; asked here and not yet told
        self.total = self.mine_then = self.raw = self.base = self.credit = 0.0
        self.told_at, self.told_index, self.looks_at, self.since = -1, -1, 0, 0
        # An even part; a start may be a restart: half of our slack, and what has flowed in since, is ours.
        self.even = ((settings.rank - event.first_gateway) % settings.gateway_count < self.ways) / self.ways
        flown = plan.hard_rate_per_s * (now - born) / SECOND
        self.store = self.even * min(plan.hard_rate_depth, plan.hard_rate_slack / 2 + flown)

    def part(self, now: int) -> float:
        """This gateway's part of the ceiling's rate: even, or by a fresh total nearer its part of the demand.

        All parts together must stay within one while each gateway hears its total at another time. So the
        part is as of the last total, and less of it moves where less than the quota is asked: what others
        have not told yet then weighs little, also as a burst begins.
        """
        if self.told_at < 0 or self.total <= 0.0 or not self.even:
            return self.even
        total = self.total / self.fading
        here = min(self.mine * math.exp((self.asked_at - now) / self.own_fading), self.mine_then)
        moves = MOVES * max(0.0, 1.0 - 2.0 / self.ways)  # half of it holds all of a quota
        moves *= math.exp((self.told_at - now) / self.fading)
        moves *= min(1.0, total * SECOND / self.plan.rate_per_s) if self.plan.rate_per_s else 1.0
        return self.even + moves * (min(1.0, here / self.own_fading / total) - self.even)

    def refill(self, now: int) -> float:  # what the ceiling's part holds, and what all have left of the burst
        flown, self.store_at = now - self.store_at, now
        if self.plan.hard_rate_per_s:
            filled = self.store + self.plan.hard_rate_per_s * self.part(now) * flown / SECOND
            self.store = min(self.plan.hard_rate_depth * self.even, filled)  # never over the ceiling's in all
        self.left = min(self.plan.burst, self.left + self.plan.rate_per_s * flown / SECOND)
        return self.store

    def burst_left(self, total: float) -> float:
        """Units of the burst that are left, by what was sent from here.

        In a large set each gateway sends so little that its own record fills up again between two of its
        requests, and all gateways would pass half a burst over and over: there, also less what all ask past
        the rate in an interval.
        """
        if self.ways <= TELLERS:
            return self.left
        past = max(0.0, total - self.plan.rate_per_s * self.fading / SECOND)
        return min(self.left, max(0.0, self.plan.burst - past))

    def is_full(self, now: int) -> bool:
        return self.refill(now) >= self.plan.hard_rate_depth * self.even

    def filled_in(self, lack: float, now: int) -> int:
        """Microseconds until the ceiling's part has filled by so many units."""
        rate = self.plan.hard_rate_per_s * self.part(now) / SECOND
        return int(min(1e9, max(0.0, lack) / max(1e-9, rate)))

    def take(self, units: float, weight: float) -> None:
        """A first attempt is sent on; the others send as many times ours as they ask."""
        self.store -= units if self.plan.hard_rate_per_s else 0.0
        times = self.guess(weight) * self.own_fading / max(1e-9, self.mine * self.fading)
        self.left = max(-self.plan.burst / 2, self.left - units * min(2.0 * self.ways, max(1.0, times)))

    def ask(self, weight: float, now: int) -> None:
        self.mine = self.mine * math.exp((self.asked_at - now) / self.own_fading) + weight
        self.owed += weight
        self.asked_at = now

    def split(self, here: float, total: float) -> None:  # the local bound from the demand of all gateways
        cap = self.plan.concurrency_limit
        bound = here + (cap - total) / self.ways if total < cap else cap * here / total
        self.bound = max(1, int(bound + 1e-4))

    def guess(self, weight: float) -> float:
        """The total by now: as last told, scaled as the part here has changed since; untold, from here."""
        if self.told_at < 0:
            return self.mine * self.ways * self.fading / self.own_fading / OWN_ROOM
        still = FEW * weight
        return self.total * (self.mine + still) / (self.mine_then + still)

    def hear(self, total: float, index: int, room: float, now: int) -> None:
        """Take in a told total; what its name does not hold yet, or has lost, is filled up from before."""
        start = index * self.period + self.phase
        if index != self.told_index or total < self.raw * 0.999:
            self.base, self.since = (self.total, self.told_at) if self.told_at >= 0 else (NEAR * room, start)
        self.total = total * math.exp((start - now) / self.fading)
        self.total += self.base * math.exp((self.since - now) / self.fading)
        if self.told_at < 0 < self.plan.hard_rate_per_s:  # no restart amid a flood: half of our part is safe
            flood = self.total * SECOND / self.fading / self.plan.hard_rate_per_s
            self.store = max(self.store, self.plan.hard_rate_depth * self.even * (0.5 - flood))
        self.raw, self.told_index, self.told_at, self.mine_then = total, index, now, self.mine

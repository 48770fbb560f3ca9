"""What one gateway knows of the servers: the list, and how much of each it may use."""

from __future__ import annotations

import math
import zlib
from collections import defaultdict, deque

from yardlane.decisions.events import Endpoint, EndpointListUpdate, EndpointState, UpdateKind
from yardlane.decisions.settings import QuotaPlan, Settings

# Servers that a gateway uses, its subset. With more than it sends requests in a second, none is known well
# (what is out there, how slow it is, whether it lives), and each request opens a connection of its own.
REACH = 12
FIRST_WORK_SHARE = 1 / 6  # a class's service time before any answer, as a share of its aim: high on purpose
COLD_MARGIN = 0.6  # part of the budget for a cold server that is used: work sizes vary
# Part of its own part that a gateway uses right after its birth: its forerunner may have spent all of it. If
# all start anew in one window, 0.6 and half as much again are still within the budget.
NEWBORN = 0.5
SLOTS = 100  # in which a window's work is kept: its end is that much too late, and the record stays short


class Server:
    """One server as this gateway knows it."""

    def __init__(self, entry: Endpoint, turn: int) -> None:
        self.entry, self.out = entry, 0  # its line of the list; attempts of this gateway out there
        self.others, self.slow = 0.0, 1.0  # what the others have there, as told; its times over those of all
        self.bad: defaultdict[QuotaPlan | None, float] = defaultdict(float)  # failures, 0 to 1; by plan: full
        self.last_good = self.told_at = self.last_sent = 0
        self.turn = turn  # gateways that come before this one in the server's own order of them
        self.sent: deque[tuple[int, int]] = deque()  # work sent while cold, by slots of a window: end, work
        self.sent_sum = 0

    def spent(self, since: int) -> int:
        """Work sent after that time, in microseconds."""
        while self.sent and self.sent[0][0] <= since:
            self.sent_sum -= self.sent.popleft()[1]
        return self.sent_sum

    def spend(self, work: int, now: int, slot: int) -> None:
        """Keep it until the end of its slot is past the window."""
        end = now - now % slot + slot
        earlier = self.sent.pop()[1] if self.sent and self.sent[-1][0] == end else 0
        self.sent.append((end, earlier + work))
        self.sent_sum += work


class AttemptRecord:
    """One attempt; it may have run until its outcome proves that it never did."""

    def __init__(self, server: Server, at: int) -> None:
        self.server, self.at, self.out, self.may_have_run = server, at, True, True


class Fleet:
    """The servers by their names, which of them are ready, and the subset that this gateway uses.

    The subset is deterministic: each server has an order of the gateways of its own, and a gateway uses the
    servers in whose order it comes first. So each server has about as many users, no gateway needs to ask
    another, and a change of the list moves few other servers in or out.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings, self.born = settings, 0
        self.servers: dict[bytes, Server] = {}
        self.dropped: dict[bytes, Server] = {}  # lately used while cold, and no longer listed
        self.first_work = max(c.latency_objective_us for c in settings.request_classes) * FIRST_WORK_SHARE
        self.ready: list[Server] = []  # in the order in which this gateway turns to them
        self.near = self.ready  # the subset
        self.sharers = settings.gateway_count  # gateways that use one server

    def hear(self, event: EndpointListUpdate) -> None:
        """Take in news of the list."""
        if event.kind is not UpdateKind.DELTA:  # absent from a full list: gone
            named = {entry.endpoint_id for entry in event.endpoints}
            for key in [key for key in self.servers if key not in named]:
                self._drop(key)
        for entry in event.endpoints:
            if entry.state is EndpointState.REMOVED:
                self._drop(entry.endpoint_id)
                continue
            server = self.servers.get(entry.endpoint_id) or self.dropped.pop(entry.endpoint_id, None)
            if (
                server is None or server.entry.started_at_us != entry.started_at_us
            ):  # a restart begins a fresh record
                self.servers[entry.endpoint_id] = Server(entry, self._turn(entry.endpoint_id))
            else:
                server.entry = entry
                self.servers[entry.endpoint_id] = server
        ready = [s for s in self.servers.values() if s.entry.state is EndpointState.READY]
        self.ready = sorted(ready, key=lambda s: s.turn)
        self.near = self.ready[:REACH]
        self.sharers = min(
            self.settings.gateway_count, -(-REACH * self.settings.gateway_count // max(1, len(ready)))
        )

    def _drop(self, key: bytes) -> None:
        """Forget a server, but not what it was sent while cold: a list may name it again, as it was."""
        if (server := self.servers.pop(key, None)) and server.sent:
            self.dropped[key] = server
            since = max(s.last_sent for s in self.dropped.values()) - self.settings.overload_window_us
            self.dropped = {key: s for key, s in self.dropped.items() if s.last_sent > since}

    def _turn(self, key: bytes) -> int:
        """This gateway's place in a server's order: strides that share no factor with the count visit all."""
        count = self.settings.gateway_count
        stride, first = divmod(zlib.crc32(key), count)
        while math.gcd(stride, count) > 1:
            stride += 1
        return (self.settings.rank * stride + first) % count

    def warmth(self, server: Server, now: int) -> float:
        """The least share of its capacity that it has by now."""
        part = max(0, now - server.entry.started_at_us) / max(1, self.settings.warm_up_us)
        return min(
            1.0, self.settings.initial_capacity_share + (1.0 - self.settings.initial_capacity_share) * part
        )

    def fits_cold(self, server: Server, warmth: float, work: float, now: int) -> bool:
        """Our part of what a cold server may be sent, taken to have one core: even, or by turns.

        Only its first users have a part: as many as count on one, whatever list each of them holds. `work` is
        the mean as it shows here, in microseconds.
        """
        if server.turn >= self.sharers:
            return False
        s, work = self.settings, max(work, self.first_work)
        part = COLD_MARGIN * s.overload_multiple * warmth / self.sharers
        newborn = server.entry.started_at_us <= self.born and now < self.born + s.overload_window_us
        budget = part * s.overload_window_us * (NEWBORN if newborn else 1.0)
        if budget >= work:
            return work + server.spent(now - s.overload_window_us) <= budget
        return self._in_turn(server, warmth, work, now, newborn)

    def _in_turn(self, server: Server, warmth: float, work: float, now: int, newborn: bool) -> bool:
        """Whether a turn of ours is open that we have not used, nor a forerunner before our birth.

        All users number the turns alike, by a work that those with nearly the same mean agree on. A turn
        stays open for half a window, so turns are as much fewer.
        """
        s, rate = self.settings, COLD_MARGIN * self.settings.overload_multiple / 1.5
        work = self.first_work * 2.0 ** round(math.log2(work / self.first_work))
        turns = (
            rate * (s.initial_capacity_share + warmth) / 2 * max(0, now - server.entry.started_at_us) / work
        )
        behind = (int(turns) - server.turn) % self.sharers + turns % 1.0  # one request in each turn
        length = work / (rate * warmth)
        ago = behind * length
        if ago > s.overload_window_us / 2 or (newborn and now - ago < self.born):
            return False
        # A turn's length shrinks as the server warms and moves with the mean: its begin drifts past our use
        # of it. So a use also bars us for half a round.
        return server.last_sent < now - max(ago, self.sharers * length / 2)

    def send_cold(self, server: Server, work: float, now: int) -> None:
        """Take a request of that mean work, sent to a cold server, off our part."""
        server.spend(int(max(work, self.first_work)), now, max(1, self.settings.overload_window_us // SLOTS))

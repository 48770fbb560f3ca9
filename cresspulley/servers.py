"""What one gateway knows of the servers: the list, and how much of each it may use."""

from __future__ import annotations

import math
import zlib
from collections import defaultdict, deque

from cresspulley.interface import ListKind, Plan, ServerEntry, ServerList, ServerState, Settings

# Servers that a gateway uses, its subset. With more than it sends requests in a second, none is known well
# (what is out there, how slow it is, whether it lives), and each request opens a connection of its own.
REACH = 12
COLD_MARGIN = 0.6  # part of the budget for a cold server that is used: work sizes vary


class Server:
    """One server as this gateway knows it."""

    def __init__(self, entry: ServerEntry, turn: int) -> None:
        self.entry, self.out = entry, 0  # its line of the list; attempts of this gateway out there
        self.others, self.slow = 0.0, 1.0  # what the others have there, as told; its times over those of all
        self.bad: defaultdict[Plan | None, float] = defaultdict(float)  # failures, 0 to 1; by plan: full
        self.last_good = self.told_at = self.last_sent = 0
        self.turn = turn  # gateways that come before this one in the server's own order of them
        self.sent: deque[tuple[int, float]] = deque(maxlen=1000)  # work sent while cold


class Try:
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
        self.settings = settings
        self.servers: dict[bytes, Server] = {}
        self.ready: list[Server] = []  # in the order in which this gateway turns to them
        self.near = self.ready  # the subset
        self.sharers = settings.gateways  # gateways that use one server

    def hear(self, event: ServerList) -> None:
        """Take in news of the list."""
        if event.kind is not ListKind.CHANGES:  # absent from a full list: gone
            named = {entry.server for entry in event.entries}
            self.servers = {key: server for key, server in self.servers.items() if key in named}
        for entry in event.entries:
            server = self.servers.get(entry.server)
            if entry.state is ServerState.GONE:
                self.servers.pop(entry.server, None)
            elif server is None or server.entry.started != entry.started:  # a restart begins a fresh record
                self.servers[entry.server] = Server(entry, self._turn(entry.server))
            else:
                server.entry = entry
        ready = [s for s in self.servers.values() if s.entry.state is ServerState.READY]
        self.ready = sorted(ready, key=lambda s: s.turn)
        self.near = self.ready[:REACH]
        self.sharers = min(self.settings.gateways, -(-REACH * self.settings.gateways // max(1, len(ready))))

    def _turn(self, key: bytes) -> int:
        """This gateway's place in a server's order: strides that share no factor with the count visit all."""
        count = self.settings.gateways
        stride, first = divmod(zlib.crc32(key), count)
        while math.gcd(stride, count) > 1:
            stride += 1
        return (self.settings.rank * stride + first) % count

    def warmth(self, server: Server, now: int) -> float:
        """The least share of its capacity that it has by now."""
        part = max(0, now - server.entry.started) / max(1, self.settings.warm_up)
        return min(1.0, self.settings.start_capacity + (1.0 - self.settings.start_capacity) * part)

    def fits_cold(self, server: Server, warmth: float, work: float, now: int) -> bool:
        """Our part of what a cold server may be sent, taken to have one core: even, or by turns.

        Only its first users have a part: as many as count on one, whatever list each of them holds.
        """
        if server.turn >= self.sharers:
            return False
        s, rate = self.settings, COLD_MARGIN * self.settings.fall_multiple
        budget = rate * warmth * s.fall_window / self.sharers
        if budget >= work:
            return work + sum(w for at, w in server.sent if at > now - s.fall_window) <= budget
        # All users number the turns alike; ours stays open for half a window, so turns are as much fewer.
        turns = rate / 1.5 * (s.start_capacity + warmth) / 2 * (now - server.entry.started) / work
        behind = (int(turns) - server.turn) % self.sharers + turns % 1.0  # one request in each turn
        ago = behind * work * 1.5 / (rate * warmth)
        return ago <= s.fall_window / 2 and server.last_sent < now - ago

"""Divides the time for parsing among the client connections.

Parsing takes processor time that a client chooses: a read of 256 KB with short header fields takes 15 ms, and
hundreds of clients may each send one at the same time. If all of them were parsed as they arrive, every other
client would wait for all of them, once for each step of its request.

So the work in one iteration of the event loop is limited. A small read is parsed at once while the limit is
not reached. All others are parsed in turns, each of at most `TURN_BYTES`. The next turn goes to the
connection with the least left to parse, where work that it has cost recently counts as well. So usual clients
do not wait behind those that send very much, nor behind those that send small requests without a pause. A
connection that has begun is finished before others that have as much to parse. If all of them advanced
together, they would also end together, and what follows (closing, accepting, the next large read) would come
in bursts.
"""

from __future__ import annotations

import asyncio
import heapq
from itertools import count
from typing import Protocol

TURN_BYTES = 4_096
# Also the limit for small reads in one tick of the event loop's clock.
MAX_COST_PER_ITERATION = 8_192
# The cost of work is stated in bytes: those that are parsed, and for each request, which may be answered at
# once, the bytes that can be parsed in the same time.
REQUEST_COST = 256
# The cost of reading bytes that are discarded, whatever their number.
DISCARD_COST = 2_048


class TurnTaker(Protocol):
    """A connection that waits for its turns."""

    def turn_priority(self) -> int:
        """Return the work that is left or was done recently, as a cost; the lowest has the next turn."""

    def take_turn(self) -> int:
        """Do a limited amount of work, and return its cost; call `ReadScheduler.add` for another turn."""


class ReadScheduler:
    """Calls the connections that wait for a turn, the one with the lowest `turn_priority` first."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: list[tuple[int, int, TurnTaker]] = []  # a heap
        self._arrival_numbers = count()  # of equal priorities, the first to arrive has the first turn
        self._is_scheduled = False
        self._tick_s = 0.0
        self._left_in_tick = MAX_COST_PER_ITERATION

    def admits(self, read_bytes: int, now_s: float) -> bool:
        """Return whether a read may be parsed at once. If so, `spend` has to be called with its cost."""
        if read_bytes > TURN_BYTES or self._waiting:
            return False
        if now_s != self._tick_s:
            self._tick_s = now_s
            self._left_in_tick = MAX_COST_PER_ITERATION
        return self._left_in_tick > 0

    def spend(self, cost: int) -> None:
        """Count work that was done at once."""
        self._left_in_tick -= cost

    def add(self, taker: TurnTaker) -> None:
        """Let a connection wait for one turn. It must not be waiting already."""
        heapq.heappush(self._waiting, (taker.turn_priority(), next(self._arrival_numbers), taker))
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._give_turns)

    def _give_turns(self) -> None:
        """Give turns until the limit for one iteration is reached, and continue in the next iteration."""
        left = MAX_COST_PER_ITERATION
        try:
            while self._waiting and left > 0:
                _, _, taker = heapq.heappop(self._waiting)
                left -= taker.take_turn()
        finally:
            self._is_scheduled = bool(self._waiting)
            if self._is_scheduled:
                self._loop.call_soon(self._give_turns)

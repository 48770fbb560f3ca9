"""Divides the time for parsing among the client connections.

Parsing takes processor time that a client chooses: a read may have 256 KB, and the parser calls this program
for each header field and each chunk. Hundreds of clients may send such reads at the same time. If all of them
were parsed as they arrive, every other client would wait for all of them, once for each step of its request.

So the work in one iteration of the event loop is limited. A small read is parsed at once while the limit is
not reached. All others are parsed in slices, each of at most `SLICE_BYTES`. The next slice goes to the
connection with the least left to parse, where work that it has cost recently counts as well. So usual clients
do not wait behind those that send very much, nor behind those that send small requests without a pause. A
connection that has begun is finished before others that have as much to parse. If all of them advanced
together, they would also end together, and what follows (closing, accepting, the next large read) would come
in bursts. One of `OLDEST_SLICE_INTERVAL` slices goes to the connection that has waited longest, so that a
large request is not put off for as long as there are smaller ones.
"""

from __future__ import annotations

import asyncio
import heapq
from collections import deque
from itertools import count
from typing import Protocol

SLICE_BYTES = 4_096
# Also the limit for small reads in one tick of the event loop's clock.
MAX_COST_PER_ITERATION = 8_192
OLDEST_SLICE_INTERVAL = 4  # in slices
MAX_ENTRIES_PER_WAITING = 4  # more are entries of connections that have run; they are dropped
# The cost of work is stated in bytes: those that are parsed, and for each request, which may be answered at
# once, the bytes that can be parsed in the same time.
REQUEST_COST = 256
MAX_COST_AT_ONCE = SLICE_BYTES + REQUEST_COST  # of a read that is parsed when it arrives
# The cost of reading bytes that are discarded, whatever their number.
DISCARD_COST = 2_048


class SliceRunner(Protocol):
    """A connection that waits for its slices."""

    def slice_priority(self) -> int:
        """Return the work that is left or was done recently, as a cost; the lowest has the next slice."""

    def run_slice(self) -> int:
        """Do a limited amount of work, and return its cost; call `ReadScheduler.add` for another slice."""


class WaitingRunner:
    """A connection that waits for one slice."""

    __slots__ = ("has_run", "runner")

    def __init__(self, runner: SliceRunner) -> None:
        self.runner = runner
        self.has_run = False


class ReadScheduler:
    """Calls the connections that wait for a slice, the one with the lowest `slice_priority` first."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        # Both hold all that wait, and also some that have run meanwhile.
        self._by_priority: list[tuple[int, int, WaitingRunner]] = []  # a heap
        self._by_arrival: deque[WaitingRunner] = deque()
        self._waiting_count = 0
        self._arrival_numbers = count()  # of equal priorities, the first to arrive has the first slice
        self._slice_numbers = count(1)
        self._is_scheduled = False
        self._tick_s = 0.0
        self._left_in_tick = MAX_COST_PER_ITERATION

    def admits(self, cost: int, now_s: float) -> bool:
        """Return whether a read with this expected cost may be parsed at once; if so, count the cost."""
        if cost > MAX_COST_AT_ONCE or self._waiting_count:
            return False
        if now_s != self._tick_s:
            self._tick_s = now_s
            self._left_in_tick = MAX_COST_PER_ITERATION
        if self._left_in_tick <= 0:
            return False
        self._left_in_tick -= cost
        return True

    def spend(self, cost: int) -> None:
        """Count work that was done at once beyond its expected cost."""
        self._left_in_tick -= cost

    def add(self, runner: SliceRunner) -> None:
        """Let a connection wait for one slice. It must not be waiting already."""
        waiting = WaitingRunner(runner)
        heapq.heappush(self._by_priority, (runner.slice_priority(), next(self._arrival_numbers), waiting))
        self._by_arrival.append(waiting)
        self._waiting_count += 1
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run_slices)

    def _run_slices(self) -> None:
        """Run slices until the limit for one iteration is reached, and continue in the next iteration."""
        left = MAX_COST_PER_ITERATION
        try:
            while self._waiting_count and left > 0:
                left -= self._next_runner().run_slice()
        finally:
            self._is_scheduled = self._waiting_count > 0
            if self._is_scheduled:
                self._loop.call_soon(self._run_slices)

    def _next_runner(self) -> SliceRunner:
        """Remove and return the connection that has the next slice."""
        is_slice_of_oldest = next(self._slice_numbers) % OLDEST_SLICE_INTERVAL == 0
        pop = self._by_arrival.popleft if is_slice_of_oldest else self._pop_lowest
        waiting = pop()
        while waiting.has_run:
            waiting = pop()
        waiting.has_run = True
        self._waiting_count -= 1
        entry_count = max(len(self._by_priority), len(self._by_arrival))
        if entry_count > MAX_ENTRIES_PER_WAITING * self._waiting_count:
            self._drop_done()
        return waiting.runner

    def _drop_done(self) -> None:
        """Drop the entries that have run. Under a long flood they would fill the memory."""
        self._by_priority = [entry for entry in self._by_priority if not entry[-1].has_run]
        heapq.heapify(self._by_priority)
        self._by_arrival = deque(waiting for waiting in self._by_arrival if not waiting.has_run)

    def _pop_lowest(self) -> WaitingRunner:
        _, _, waiting = heapq.heappop(self._by_priority)
        return waiting

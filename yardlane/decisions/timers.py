"""The timers of one gateway: what it has to do at a later time, and when it must be called for that.

The caller keeps a single timer for a gateway, set by `SetTimer`. This queue holds all calls that the
decisions schedule and names the delay until the earliest. Calls of equal times are made in the order in which
they were scheduled. Times are microseconds of the gateway's own clock.

A stall is a turn that comes more than `STALL_THRESHOLD_US` after the timer was due: the process was stopped
or had no processor. Responses that came meanwhile are read late, so that every attempt in flight looks
overdue and every endpoint slow. `stall_ended_at_us` is the end of the last stall; `outliers.py` ignores
attempts sent before.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any, TypeVarTuple

from yardlane.decisions.units import NEVER_US

Arguments = TypeVarTuple("Arguments")

STALL_THRESHOLD_US = 100_000


class Timers:
    """The scheduled calls of one gateway, by time."""

    __slots__ = ("_queue", "_sequence_number", "_timer_due_us", "stall_ended_at_us")

    def __init__(self) -> None:
        self.stall_ended_at_us = NEVER_US
        self._queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence_number = 0
        self._timer_due_us = 0

    def __len__(self) -> int:
        """The number of calls that are scheduled."""
        return len(self._queue)

    def schedule(self, at_us: int, callback: Callable[[*Arguments], None], *arguments: *Arguments) -> None:
        """Make this call, with these arguments, in the first turn at or after `at_us`."""
        self._sequence_number += 1
        heapq.heappush(self._queue, (at_us, self._sequence_number, callback, arguments))

    def detect_stall(self, now_us: int) -> None:
        """Note the end of a stall if this turn comes too late. To be called first in each turn."""
        if self._queue and now_us > self._timer_due_us + STALL_THRESHOLD_US:
            self.stall_ended_at_us = now_us

    def fire_due(self, now_us: int) -> None:
        """Make all calls that are due, including those that such a call schedules for now."""
        while self._queue and self._queue[0][0] <= now_us:
            _, _, callback, arguments = heapq.heappop(self._queue)
            callback(*arguments)

    def next_delay_us(self, now_us: int) -> int | None:
        """The delay to set the caller's timer to; None if it is set early enough, or nothing is scheduled."""
        if not self._queue:
            return None
        earliest_us = self._queue[0][0]
        if now_us < self._timer_due_us <= earliest_us:
            return None
        self._timer_due_us = earliest_us
        return earliest_us - now_us

"""The timers of one gateway: callbacks that are scheduled for later, and the detection of stalls.

`Timers` holds the callbacks that the decisions schedule, and computes the delay until the earliest one is
due. The gateway asks its caller, with a `SetTimer`, for a turn after that delay. Callbacks with equal times
run in the order in which they were scheduled. Times are microseconds of the gateway's own clock.

A turn that starts more than `STALL_THRESHOLD_US` after the timer was due is the end of a stall, in which the
process was stopped or got no CPU time. Responses that arrived during the stall are read late, so every
attempt in flight looks overdue and every endpoint looks slow. `stall_ended_at_us` is the time at which the
last stall ended; `outliers.py` ignores attempts that were sent before it.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any, TypeVarTuple

from yardlane.decisions.units import NEVER_US

Arguments = TypeVarTuple("Arguments")

STALL_THRESHOLD_US = 100_000


class Timers:
    """A queue of the scheduled callbacks of one gateway, ordered by time."""

    __slots__ = ("_queue", "_sequence_number", "_timer_due_at_us", "stall_ended_at_us")

    def __init__(self) -> None:
        self.stall_ended_at_us = NEVER_US
        self._queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence_number = 0
        self._timer_due_at_us = 0

    def __len__(self) -> int:
        """Return the number of scheduled callbacks."""
        return len(self._queue)

    def schedule(self, at_us: int, callback: Callable[[*Arguments], None], *arguments: *Arguments) -> None:
        """Run `callback` with these arguments in the first turn at or after `at_us`."""
        self._sequence_number += 1
        heapq.heappush(self._queue, (at_us, self._sequence_number, callback, arguments))

    def detect_stall(self, now_us: int) -> None:
        """Record the end of a stall if this turn starts too late. Call it first in each turn."""
        if self._queue and now_us > self._timer_due_at_us + STALL_THRESHOLD_US:
            self.stall_ended_at_us = now_us

    def fire_due(self, now_us: int) -> None:
        """Run all callbacks that are due, including those that such a callback schedules for now."""
        while self._queue and self._queue[0][0] <= now_us:
            _, _, callback, arguments = heapq.heappop(self._queue)
            callback(*arguments)

    def next_delay_us(self, now_us: int) -> int | None:
        """Return the delay after which the caller must start a turn, to be passed on in a `SetTimer`.

        Return None if no callback is scheduled, or if the timer that was set last fires early enough.
        """
        if not self._queue:
            return None
        earliest_us = self._queue[0][0]
        if now_us < self._timer_due_at_us <= earliest_us:
            return None
        self._timer_due_at_us = earliest_us
        return earliest_us - now_us

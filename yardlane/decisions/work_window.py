"""The work that one gateway sent to an endpoint within the last `window_us`.

Work is service time in microseconds. Each request counts as the mean service time that the gateway expected
when it sent the request (`SlowStart.record_sent`), not as the time that the request took. The work is summed
in buckets of a hundredth of the window, which limits the number of entries. A bucket is removed as a whole
once all of it is older than the window. So the sum may include work that is up to one bucket older than the
window, and it is never too low.
"""

from __future__ import annotations

from collections import deque

BUCKETS_PER_WINDOW = 100


class WorkWindow:
    """A sum of work over a sliding time window."""

    __slots__ = ("_bucket_us", "_buckets", "_sum_us", "_window_us")

    def __init__(self, window_us: int) -> None:
        self._window_us = window_us
        self._bucket_us = max(1, window_us // BUCKETS_PER_WINDOW)
        self._buckets: deque[tuple[int, int]] = deque()  # (end time, work)
        self._sum_us = 0

    def is_empty(self) -> bool:
        """Return whether the window holds no work. Expired work counts until `sum_us` has removed it."""
        return not self._buckets

    def add(self, work_us: int, now_us: int) -> None:
        """Add work that is sent at `now_us`."""
        bucket_end_us = now_us - now_us % self._bucket_us + self._bucket_us
        earlier_us = 0
        if self._buckets and self._buckets[-1][0] == bucket_end_us:
            _, earlier_us = self._buckets.pop()
        self._buckets.append((bucket_end_us, earlier_us + work_us))
        self._sum_us += work_us

    def sum_us(self, now_us: int) -> int:
        """Remove the expired buckets, and return the work that was sent within the window before `now_us`."""
        while self._buckets and self._buckets[0][0] <= now_us - self._window_us:
            _, expired_us = self._buckets.popleft()
            self._sum_us -= expired_us
        return self._sum_us

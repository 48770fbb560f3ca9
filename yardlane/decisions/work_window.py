"""How much work was sent to an endpoint within the last `window_us`.

Work is service time in microseconds: of each request that was sent, the mean that the gateway expected of it
then (`SlowStart.record_sent`), not what it took. It is summed in buckets of a hundredth of the window, so
that the record stays short; a bucket leaves the window as a whole, after its end, so that the sum is never
too low.
"""

from __future__ import annotations

from collections import deque

BUCKETS_PER_WINDOW = 100


class WorkWindow:
    """A sum over a sliding window of time."""

    __slots__ = ("_bucket_us", "_buckets", "_sum_us", "_window_us")

    def __init__(self, window_us: int) -> None:
        self._window_us = window_us
        self._bucket_us = max(1, window_us // BUCKETS_PER_WINDOW)
        self._buckets: deque[tuple[int, int]] = deque()  # the end of the bucket, the work in it
        self._sum_us = 0

    def is_empty(self) -> bool:
        """Whether no work was added, or all of it was found to be older than the window."""
        return not self._buckets

    def add(self, work_us: int, now_us: int) -> None:
        """Count work that is sent now."""
        bucket_end_us = now_us - now_us % self._bucket_us + self._bucket_us
        earlier_us = 0
        if self._buckets and self._buckets[-1][0] == bucket_end_us:
            _, earlier_us = self._buckets.pop()
        self._buckets.append((bucket_end_us, earlier_us + work_us))
        self._sum_us += work_us

    def sum_us(self, now_us: int) -> int:
        """The work sent within the window before `now_us`."""
        while self._buckets and self._buckets[0][0] <= now_us - self._window_us:
            _, expired_us = self._buckets.popleft()
            self._sum_us -= expired_us
        return self._sum_us

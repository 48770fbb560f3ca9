"""Provides the clock that the proxy and the decider use, and timers with delays in microseconds."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from yardlane.units import MS_PER_S, US_PER_MS

NS_PER_US = 1000


class Clock:
    """A monotonic clock in whole microseconds that starts at the Unix time of its creation."""

    def __init__(self) -> None:
        self.offset_ns = time.time_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        """Return the Unix time in microseconds.

        Adjustments of the system clock after the creation of this object have no effect.
        """
        return (time.monotonic_ns() + self.offset_ns) // NS_PER_US


def call_after(
    loop: asyncio.AbstractEventLoop, delay_us: int, callback: Callable[..., None], *args: object
) -> asyncio.TimerHandle:
    """Schedule a call of `callback(*args)` after a delay; return the handle that cancels the call.

    The delay is rounded up to whole milliseconds, because the timers of the event loop have that resolution.
    """
    delay_ms = -(-max(0, delay_us) // US_PER_MS)
    return loop.call_later(delay_ms / MS_PER_S, callback, *args)

"""The clock of the decisions' events, and timers in its unit."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from yardlane.units import MS_PER_S, US_PER_MS

NS_PER_US = 1000


class Clock:
    """Whole microseconds that never go back, and that agreed with Unix time as the clock was made."""

    def __init__(self) -> None:
        self.offset_ns = time.time_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        """Microseconds of Unix time, but for what was set on the system's clock since."""
        return (time.monotonic_ns() + self.offset_ns) // NS_PER_US


def call_after(
    loop: asyncio.AbstractEventLoop, delay_us: int, callback: Callable[..., None], *args: object
) -> asyncio.TimerHandle:
    """Call back after a delay, rounded up: the loop's timers count whole milliseconds."""
    delay_ms = -(-max(0, delay_us) // US_PER_MS)
    return loop.call_later(delay_ms / MS_PER_S, callback, *args)

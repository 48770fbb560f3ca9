"""The log of the process: its format, and a limit on its lines a second."""

from __future__ import annotations

import logging
import sys
import time

LINES_PER_S = 50


class RateLimitFilter(logging.Filter):
    """Lets `LINES_PER_S` lines pass in each second and drops the others; the next line that is written says
    how many were dropped.

    It guards against a flood of failures, each with its line: writing them would take the processor that the
    requests need.
    """

    def __init__(self) -> None:
        super().__init__()
        self.current_second = 0
        self.line_count = 0
        self.dropped_count = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the line is written."""
        second = int(time.monotonic())
        if second != self.current_second:
            if self.dropped_count:
                record.msg = f"({self.dropped_count} lines dropped) {record.msg}"
            self.current_second = second
            self.line_count = 0
            self.dropped_count = 0
        self.line_count += 1
        if self.line_count > LINES_PER_S:
            self.dropped_count += 1
            return False
        return True


def configure() -> None:
    """Log to standard error, at most `LINES_PER_S` lines a second."""
    logging.basicConfig(
        stream=sys.stderr,
        format="%(asctime)s %(levelname)s %(name)s: %(message)s",
        level=logging.INFO,
    )
    for handler in logging.getLogger().handlers:
        handler.addFilter(RateLimitFilter())

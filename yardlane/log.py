"""Configures logging: the format of the log, and a limit on the number of lines per second."""

from __future__ import annotations

import logging
import sys
import time

LINES_PER_S = 50


class RateLimitFilter(logging.Filter):
    """Passes `LINES_PER_S` lines in each second and drops the others.

    The first line of a later second says how many lines were dropped. Without this limit, a flood of failures
    that log a line each would take CPU time from the requests.
    """

    def __init__(self) -> None:
        super().__init__()
        self.current_second = 0
        self.line_count = 0
        self.dropped_count = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write the line; add the number of dropped lines to the first line of a second."""
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
    """Set up logging to standard error, with at most `LINES_PER_S` lines per second."""
    logging.basicConfig(
        stream=sys.stderr,
        format="%(asctime)s %(levelname)s %(name)s: %(message)s",
        level=logging.INFO,
    )
    for handler in logging.getLogger().handlers:
        handler.addFilter(RateLimitFilter())

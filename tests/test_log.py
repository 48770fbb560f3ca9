"""The rate limit of the log."""

import logging

import pytest

from yardlane.log import LINES_PER_S, RateLimitFilter


def test_lines_over_the_rate_limit_are_dropped_and_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    """A flood of failures logs a line each, and writing all of them would take CPU time from the requests.

    Only the first lines of a second are written. The next second reports how many were dropped.
    """
    now_s = 100.0
    monkeypatch.setattr("yardlane.log.time.monotonic", lambda: now_s)
    rate_limit_filter = RateLimitFilter()

    def log_line() -> tuple[bool, str]:
        record = logging.LogRecord("yardlane", logging.WARNING, __file__, 1, "failed", None, None)
        return rate_limit_filter.filter(record), record.getMessage()

    written = [is_written for is_written, _ in (log_line() for _ in range(LINES_PER_S + 30))]
    assert written == [True] * LINES_PER_S + [False] * 30
    now_s += 1
    assert log_line() == (True, "(30 lines dropped) failed")
    assert log_line() == (True, "failed")

"""Tests of the sum of work over a sliding time window."""

from yardlane.decisions.work_window import WorkWindow

WINDOW_US = 1_000
BUCKET_US = 10


def test_work_expires_at_most_one_bucket_after_the_window() -> None:
    window = WorkWindow(WINDOW_US)
    window.add(7, now_us=5_003)
    window.add(5, now_us=5_009)
    window.add(1, now_us=5_010)
    assert window.sum_us(5_003 + WINDOW_US) == 13
    assert window.sum_us(5_009 + WINDOW_US + BUCKET_US) == 1
    assert window.sum_us(5_010 + WINDOW_US + BUCKET_US) == 0
    assert window.is_empty()

"""Tests of the timer queue and of the stall detection."""

from yardlane.decisions.timers import STALL_THRESHOLD_US, Timers
from yardlane.decisions.units import NEVER_US


def test_due_callbacks_run_by_time_then_in_scheduling_order() -> None:
    timers = Timers()
    calls: list[str] = []
    for at_us, name in ((30, "late"), (10, "first"), (20, "second"), (10, "first again")):
        timers.schedule(at_us, lambda name=name: calls.append(name))  # type: ignore[misc]
    timers.fire_due(20)
    assert calls == ["first", "first again", "second"]
    assert len(timers) == 1


def test_callback_scheduled_for_now_by_a_callback_runs_in_same_turn() -> None:
    timers = Timers()
    calls: list[int] = []
    timers.schedule(10, lambda: timers.schedule(10, lambda: calls.append(10)))
    timers.fire_due(10)
    assert calls == [10] and len(timers) == 0


def test_timer_is_set_only_if_it_has_fired_or_must_fire_earlier() -> None:
    timers = Timers()
    assert timers.next_delay_us(0) is None
    timers.schedule(100, lambda: None)
    assert timers.next_delay_us(0) == 100
    timers.schedule(200, lambda: None)
    assert timers.next_delay_us(10) is None
    timers.schedule(50, lambda: None)
    assert timers.next_delay_us(20) == 30
    timers.fire_due(50)
    assert timers.next_delay_us(50) == 50


def test_stall_is_detected_if_turn_is_later_than_threshold() -> None:
    timers = Timers()
    timers.schedule(100, lambda: None)
    timers.next_delay_us(0)
    timers.detect_stall(100 + STALL_THRESHOLD_US)
    assert timers.stall_ended_at_us == NEVER_US
    timers.detect_stall(101 + STALL_THRESHOLD_US)
    assert timers.stall_ended_at_us == 101 + STALL_THRESHOLD_US


def test_no_stall_is_detected_without_scheduled_callbacks() -> None:
    timers = Timers()
    timers.detect_stall(10 * STALL_THRESHOLD_US)
    assert timers.stall_ended_at_us == NEVER_US

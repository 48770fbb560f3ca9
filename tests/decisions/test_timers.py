"""The queue of timers, and the detection of a stall."""

from yardlane.decisions.timers import STALL_US, Timers
from yardlane.decisions.units import NEVER_US


def test_due_calls_are_made_by_time_and_equal_times_in_the_order_of_scheduling() -> None:
    timers = Timers()
    calls: list[str] = []
    for at_us, name in ((30, "late"), (10, "first"), (20, "second"), (10, "first again")):
        timers.schedule(at_us, lambda name=name: calls.append(name))  # type: ignore[misc]
    timers.fire_due(20)
    assert calls == ["first", "first again", "second"]
    assert len(timers) == 1


def test_a_call_that_is_scheduled_for_now_by_another_is_made_in_the_same_turn() -> None:
    timers = Timers()
    calls: list[int] = []
    timers.schedule(10, lambda: timers.schedule(10, lambda: calls.append(10)))
    timers.fire_due(10)
    assert calls == [10] and len(timers) == 0


def test_the_timer_is_set_only_when_it_has_to_be_earlier_or_has_fired() -> None:
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


def test_a_turn_long_after_the_timer_was_due_is_a_stall() -> None:
    timers = Timers()
    timers.schedule(100, lambda: None)
    timers.next_delay_us(0)
    timers.detect_stall(100 + STALL_US)
    assert timers.resumed_at_us == NEVER_US
    timers.detect_stall(101 + STALL_US)
    assert timers.resumed_at_us == 101 + STALL_US


def test_without_any_scheduled_call_a_late_turn_is_no_stall() -> None:
    timers = Timers()
    timers.detect_stall(10 * STALL_US)
    assert timers.resumed_at_us == NEVER_US

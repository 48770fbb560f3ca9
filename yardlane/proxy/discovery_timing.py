"""How long a poll of discovery may take, and how long we wait after one that failed.

The rule: a change of the endpoint list must reach the decisions within `MAX_NOTIFICATION_DELAY_US`,
whichever state the watch is in as it comes. What is on offer to a discovery that returns from silence counts
as notified at once, and from then the drain grace runs: so timeouts and backoff are shares of that grace, up
to a maximum.
"""

from __future__ import annotations

from yardlane.units import MS_PER_S, US_PER_S

# Bounds of the pages. They count from when discovery has the change and can be reached, from when a watch
# fell silent, or from SIGHUP.
MAX_NOTIFICATION_DELAY_US = 6_000_000
MAX_NOTIFICATION_DELAY_AFTER_RELOAD_US = 4_000_000
# The part of these bounds that is not for waiting: to decode the largest list, to be scheduled for two polls,
# and for the loop's timers, which count whole milliseconds.
PROCESSING_RESERVE_US = 1_000_000

# A watch whose peer has silently gone is noticed that late.
WATCH_TIMEOUT_MS = 3_000
# Of the first watch after a failed poll: a missed change is there at once or not at all, and a peer that is
# silent again must not cost a whole watch.
RECOVERY_WATCH_TIMEOUT_MS = 1
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_DRAIN_GRACE_FRACTION = 0.2
MAX_BACKOFF_S = 0.5
RESPONSE_TIMEOUT_DRAIN_GRACE_FRACTION = 0.4
MAX_RESPONSE_TIMEOUT_S = 0.5
# Where the grace is next to nothing, a discovery that answers must still be understood.
MIN_RESPONSE_TIMEOUT_S = 0.05


def response_timeout_s(drain_grace_us: int) -> float:
    """Seconds for a connection to come up, and for a response that is due."""
    timeout_s = RESPONSE_TIMEOUT_DRAIN_GRACE_FRACTION * drain_grace_us / US_PER_S
    return max(MIN_RESPONSE_TIMEOUT_S, min(MAX_RESPONSE_TIMEOUT_S, timeout_s))


def max_backoff_s(drain_grace_us: int) -> float:
    """The longest time in seconds between a failed poll and the next."""
    backoff_s = MAX_BACKOFF_DRAIN_GRACE_FRACTION * drain_grace_us / US_PER_S
    return max(INITIAL_BACKOFF_S, min(MAX_BACKOFF_S, backoff_s))


def worst_case_notification_delays_us(drain_grace_us: int) -> dict[str, int]:
    """The worst time in µs until we learn of a change, for each state that the watch may be in as it comes.

    Only a test reads this: it holds each delay under the bounds above, and plays each state to see that the
    sum is what it really takes. Whoever changes a timeout or the backoff changes the sum with it.

    In each state one poll may still fail, as it was made before the change; the next one is answered as late
    as its timeouts allow.
    """
    timeout_s = response_timeout_s(drain_grace_us)
    backoff_s = max_backoff_s(drain_grace_us)
    max_poll_s = (
        timeout_s + timeout_s + RECOVERY_WATCH_TIMEOUT_MS / MS_PER_S
    )  # to connect, and to be answered
    # Before a whole watch the polls went well, so the backoff after it is the first. The other one is the
    # sleep that may come before the watch, after a response with nothing new.
    failed_watch_delay_s = (
        INITIAL_BACKOFF_S + WATCH_TIMEOUT_MS / MS_PER_S + timeout_s + INITIAL_BACKOFF_S + max_poll_s
    )
    delays_s = {
        "silent watch": failed_watch_delay_s,
        "partial watch response": failed_watch_delay_s,  # which then stalls, or drips without end
        "watch reset": INITIAL_BACKOFF_S + max_poll_s,
        "refused": backoff_s + max_poll_s,
        "never connected": timeout_s + backoff_s + max_poll_s,
        "slow response": max_poll_s + backoff_s + max_poll_s,  # also one that stalls or drips
        "malformed list": backoff_s + max_poll_s,
        "internal error": backoff_s + max_poll_s,
        "moved": max_poll_s + INITIAL_BACKOFF_S + max_poll_s,  # counted from SIGHUP
        "start": max_poll_s,  # until the cached list may serve
    }
    return {state: round(delay_s * US_PER_S) for state, delay_s in delays_s.items()}

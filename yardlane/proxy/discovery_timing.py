"""Timeouts of the polls of discovery, and the backoff after a failed poll.

A change of the endpoint list must reach the decisions within `MAX_NOTIFICATION_DELAY_US`, whatever the state
of the watch when the change occurs. When discovery responds again after an outage, the changes that it has by
then count as announced at once, and the drain grace runs from that moment. Therefore the timeouts and the
backoff are fractions of the drain grace, up to a maximum.
"""

from __future__ import annotations

from yardlane.units import MS_PER_S, US_PER_S

# Bounds that the specification sets. They count from the moment when discovery has the change and can be
# reached, when the peer of a watch stops responding, or when SIGHUP arrives.
MAX_NOTIFICATION_DELAY_US = 6_000_000
MAX_NOTIFICATION_DELAY_AFTER_RELOAD_US = 4_000_000
# The part of these bounds that is not available for waiting. It covers the decoding of the largest list, the
# scheduling delays of two polls, and the event loop's timers, which have a resolution of 1 ms.
PROCESSING_RESERVE_US = 1_000_000

# How long discovery may wait for a change before it answers a watch. If the peer disappears without closing
# the connection, the discovery client notices it only after this time.
WATCH_TIMEOUT_MS = 3_000
# The same for the first watch after a failed poll. If a change was missed, discovery has it already and
# answers at once. If the peer does not respond this time either, no time is lost on a full watch.
RECOVERY_WATCH_TIMEOUT_MS = 1
INITIAL_BACKOFF_S = 0.05
# The backoff grows up to this fraction of the drain grace, but not beyond `MAX_BACKOFF_S`.
MAX_BACKOFF_DRAIN_GRACE_FRACTION = 0.2
MAX_BACKOFF_S = 0.5
# The response timeout is this fraction of the drain grace, within the two limits below.
RESPONSE_TIMEOUT_DRAIN_GRACE_FRACTION = 0.4
MAX_RESPONSE_TIMEOUT_S = 0.5
# Even with a drain grace close to zero, a discovery that works must have enough time to respond.
MIN_RESPONSE_TIMEOUT_S = 0.05


def response_timeout_s(drain_grace_us: int) -> float:
    """Return the timeout in seconds for establishing a connection, and for a response.

    For a watch, the time for which discovery may wait for a change is added to it.
    """
    timeout_s = RESPONSE_TIMEOUT_DRAIN_GRACE_FRACTION * drain_grace_us / US_PER_S
    return max(MIN_RESPONSE_TIMEOUT_S, min(MAX_RESPONSE_TIMEOUT_S, timeout_s))


def max_backoff_s(drain_grace_us: int) -> float:
    """Return the maximum time in seconds between a failed poll and the next one."""
    backoff_s = MAX_BACKOFF_DRAIN_GRACE_FRACTION * drain_grace_us / US_PER_S
    return max(INITIAL_BACKOFF_S, min(MAX_BACKOFF_S, backoff_s))


def worst_case_notification_delays_us(drain_grace_us: int) -> dict[str, int]:
    """Return the longest time in µs until a change is received, by the state of the watch when it occurs.

    Only tests use this function. They check that each delay is within the bounds above. They also simulate
    each state, to check that the sum for it is the time that the discovery client really takes. If you change
    a timeout or the backoff, adapt the sums.

    In each state, one poll may still fail because it was sent before the change. The next poll is answered as
    late as its timeouts allow.
    """
    timeout_s = response_timeout_s(drain_grace_us)
    backoff_s = max_backoff_s(drain_grace_us)
    # One timeout is for connecting, the other for the response.
    max_poll_s = timeout_s + timeout_s + RECOVERY_WATCH_TIMEOUT_MS / MS_PER_S
    # The first INITIAL_BACKOFF_S is the pause that may precede the watch, after a response with nothing new.
    # The second one is the backoff after the watch. The backoff has its initial value because a full watch
    # follows only a successful poll.
    failed_watch_delay_s = (
        INITIAL_BACKOFF_S + WATCH_TIMEOUT_MS / MS_PER_S + timeout_s + INITIAL_BACKOFF_S + max_poll_s
    )
    delays_s = {
        "silent watch": failed_watch_delay_s,
        "partial watch response": failed_watch_delay_s,  # the rest stalls, or trickles in without end
        "watch reset": INITIAL_BACKOFF_S + max_poll_s,
        "refused": backoff_s + max_poll_s,
        "never connected": timeout_s + backoff_s + max_poll_s,
        "slow response": max_poll_s + backoff_s + max_poll_s,  # or one that stalls or trickles in
        "malformed list": backoff_s + max_poll_s,
        "internal error": backoff_s + max_poll_s,
        "moved": max_poll_s + INITIAL_BACKOFF_S + max_poll_s,  # counted from SIGHUP
        "start": max_poll_s,  # until the cached list may be used
    }
    return {state: round(delay_s * US_PER_S) for state, delay_s in delays_s.items()}

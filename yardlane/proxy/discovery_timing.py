"""Timeouts for polls of discovery, and the backoff after a failed poll.

A change of the endpoint list must reach the decisions within `MAX_NOTIFICATION_DELAY_US`, whatever state the
discovery client is in when the change occurs. When discovery responds again after an outage, all changes that
it has by then count as announced at that moment. If an endpoint is draining, its drain grace starts at that
moment too. Therefore the timeouts and the backoff are fractions of the drain grace, up to a maximum.
"""

from __future__ import annotations

from yardlane.units import MS_PER_S, US_PER_S

# Upper bounds from the specification for the time until a change is received. This time is measured from the
# moment when discovery has the change and can be reached, or when the peer of a watch stops responding. After
# a reload, it is measured from the arrival of SIGHUP.
MAX_NOTIFICATION_DELAY_US = 6_000_000
MAX_NOTIFICATION_DELAY_AFTER_RELOAD_US = 4_000_000
# The part of these bounds that timeouts and backoffs must leave free. It covers the decoding of the largest
# list, the scheduling delays of two polls, and the 1 ms resolution of the event loop's timers.
PROCESSING_RESERVE_US = 1_000_000

# How long discovery may wait for a change before it answers a watch. If discovery disappears without closing
# the connection, the discovery client notices it only after this time plus the response timeout.
WATCH_TIMEOUT_MS = 3_000
# The same for a watch after a failed poll. If a change was missed, discovery already has it and answers at
# once. If discovery does not respond this time either, the poll fails without the delay of a full watch.
RECOVERY_WATCH_TIMEOUT_MS = 1
# The backoff after the first failed poll. It is also the pause before the next poll if discovery responded in
# less than this time without anything new.
INITIAL_BACKOFF_S = 0.05
# The backoff grows up to this fraction of the drain grace, but not beyond `MAX_BACKOFF_S`.
MAX_BACKOFF_DRAIN_GRACE_FRACTION = 0.2
MAX_BACKOFF_S = 0.5
# The response timeout is this fraction of the drain grace, within the two limits below.
RESPONSE_TIMEOUT_DRAIN_GRACE_FRACTION = 0.4
MAX_RESPONSE_TIMEOUT_S = 0.5
# Even with a drain grace close to zero, a discovery that works needs this much time to respond.
MIN_RESPONSE_TIMEOUT_S = 0.05


def response_timeout_s(drain_grace_us: int) -> float:
    """Return the timeout in seconds for establishing a connection to discovery, and for its response.

    The response timeout of a watch is longer by the time for which discovery may wait for a change.
    """
    timeout_s = RESPONSE_TIMEOUT_DRAIN_GRACE_FRACTION * drain_grace_us / US_PER_S
    return max(MIN_RESPONSE_TIMEOUT_S, min(MAX_RESPONSE_TIMEOUT_S, timeout_s))


def max_backoff_s(drain_grace_us: int) -> float:
    """Return the maximum time in seconds between a failed poll and the next one."""
    backoff_s = MAX_BACKOFF_DRAIN_GRACE_FRACTION * drain_grace_us / US_PER_S
    return max(INITIAL_BACKOFF_S, min(MAX_BACKOFF_S, backoff_s))


def worst_case_notification_delays_us(drain_grace_us: int) -> dict[str, int]:
    """Return the longest time in µs until a change is received, by the client's state when it occurs.

    In each state but "start", one poll fails because it began before the change, or before discovery worked.
    The next poll is answered as late as its timeouts allow. Only tests call this function, to compare each
    delay with the bounds above and with a simulation of the state. If you change a timeout or the backoff,
    adapt the sums.
    """
    timeout_s = response_timeout_s(drain_grace_us)
    backoff_s = max_backoff_s(drain_grace_us)
    # One timeout is for connecting, the other for the response.
    max_poll_s = timeout_s + timeout_s + RECOVERY_WATCH_TIMEOUT_MS / MS_PER_S
    # The first INITIAL_BACKOFF_S is the pause before the watch, if the last response had nothing new. The
    # second is the backoff after it, not doubled yet, as a full watch follows only a successful poll.
    failed_watch_delay_s = (
        INITIAL_BACKOFF_S + WATCH_TIMEOUT_MS / MS_PER_S + timeout_s + INITIAL_BACKOFF_S + max_poll_s
    )
    delays_s = {
        "silent watch": failed_watch_delay_s,
        "partial watch response": failed_watch_delay_s,  # the rest never arrives, or only byte by byte
        "watch reset": INITIAL_BACKOFF_S + max_poll_s,
        "refused": backoff_s + max_poll_s,
        "never connected": timeout_s + backoff_s + max_poll_s,
        "slow response": max_poll_s + backoff_s + max_poll_s,  # or an incomplete one
        "malformed list": backoff_s + max_poll_s,
        "internal error": backoff_s + max_poll_s,
        "moved": max_poll_s + INITIAL_BACKOFF_S + max_poll_s,  # to a new address; from SIGHUP
        "start": max_poll_s,  # from the start of a process until `is_ready` accepts the cached list
    }
    return {state: round(delay_s * US_PER_S) for state, delay_s in delays_s.items()}

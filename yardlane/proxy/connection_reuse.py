"""Decides after which idle times a connection to an upstream is reused.

The idle time has a lower bound, the reuse delay, and an upper bound, the idle limit. Each guards against one
fault of upstreams:

- **Unsolicited bytes.** An upstream may send a second response to a request, or a late one. A response does
  not identify its request, so it would be read as the response to the next request. Such bytes can be
  detected while the connection is idle. Therefore a connection is reused only after a delay of about twice
  the recent lateness (the time from the last response to such bytes), and at least DEFAULT_REUSE_DELAY_S.
- **Stale connections.** An upstream may close an idle connection just as a request is sent on it. The attempt
  then ends as CONNECTION_LOST, and a non-idempotent request may not be retried. Therefore the idle limit is
  cut to below an idle time after which reuse failed, but not below MIN_IDLE_LIMIT_S. A new connection costs
  far less than a lost request.

Both bounds return to their defaults over time. Otherwise a bound that prevents all reuse would stay for good,
because only reuse can show that it is no longer needed.
"""

from __future__ import annotations

DEFAULT_REUSE_DELAY_S = 0.01  # also the shortest; unsolicited bytes usually arrive within this time
REUSE_DELAY_MARGIN = 2.0  # factor on the observed lateness; also limits each raise of the shared delay
# Factor per second. It is close to 1 because, when the fleet has little traffic, a proxy uses an upstream
# only about once in ten seconds.
REUSE_DELAY_DECAY = 0.99
MAX_SHARED_REUSE_DELAY_S = 0.25
# Fraction of the keepalive time in the settings. Some upstreams close sooner than the settings say, and the
# two sides do not begin to count at the same moment. A request on a connection that the upstream closes
# meanwhile ends as a reset.
MAX_IDLE_LIMIT_FRACTION = 0.5
# Fraction of the idle limit. With a longer reuse delay, hardly any connection would be reused.
MAX_SHARED_REUSE_DELAY_FRACTION = 0.5
MIN_IDLE_LIMIT_S = 0.05
# Factor on the idle time after which reuse failed. An idle time above this share of the limit is close to it.
IDLE_LIMIT_CUT = 0.8
IDLE_LIMIT_RAISE = 1.02  # factor on the limit after a successful reuse at nearly the limit
IDLE_LIMIT_RECOVERY = 1.1  # factor on the limit per second


class ReusePolicy:
    """Holds both bounds of the idle time, in seconds, and adapts them to what is observed on connections."""

    def __init__(self, keepalive_s: float) -> None:
        self.max_idle_limit_s = keepalive_s * MAX_IDLE_LIMIT_FRACTION
        self.idle_limit_s = self.max_idle_limit_s
        self.reuse_delay_s = DEFAULT_REUSE_DELAY_S
        # The own reuse delays of upstreams that sent unsolicited bytes, by endpoint id.
        self.endpoint_reuse_delays_s: dict[bytes, float] = {}

    def reuse_delay_of(self, endpoint_id: bytes) -> float:
        """Return for how many seconds a connection to this upstream must be idle before it is reused."""
        if not self.endpoint_reuse_delays_s:
            return self.reuse_delay_s
        return max(self.reuse_delay_s, self.endpoint_reuse_delays_s.get(endpoint_id, 0.0))

    def on_unsolicited_bytes(self, endpoint_id: bytes, lateness_s: float) -> None:
        """Called when unsolicited bytes have arrived `lateness_s` after the last response; adapts the delays.

        The upstream's own reuse delay is raised to REUSE_DELAY_MARGIN times the lateness, at most
        `max_idle_limit_s`. If it then exceeds the idle limit, none of the upstream's connections is reused.

        The reuse delay that all upstreams share is raised only if neither delay covered the lateness, and
        then at most to its double, to MAX_SHARED_REUSE_DELAY_S and to half the idle limit. So a few faulty
        upstreams cause few new connections to the others, while a fault that many upstreams have soon
        lengthens the delay for rarely used ones too.
        """
        own_delay_s = self.endpoint_reuse_delays_s.get(endpoint_id, 0.0)
        target_delay_s = min(lateness_s * REUSE_DELAY_MARGIN, self.max_idle_limit_s)
        self.endpoint_reuse_delays_s[endpoint_id] = max(target_delay_s, own_delay_s)
        if lateness_s > max(own_delay_s, self.reuse_delay_s):
            max_shared_delay_s = min(
                MAX_SHARED_REUSE_DELAY_S,
                self.idle_limit_s * MAX_SHARED_REUSE_DELAY_FRACTION,
                max(DEFAULT_REUSE_DELAY_S, self.reuse_delay_s) * REUSE_DELAY_MARGIN,
            )
            self.reuse_delay_s = max(self.reuse_delay_s, min(target_delay_s, max_shared_delay_s))

    def on_reuse_succeeded(self, idle_s: float) -> None:
        """Called when a connection idle for `idle_s` has answered; raises a limit close to that."""
        if idle_s > self.idle_limit_s * IDLE_LIMIT_CUT:
            self.idle_limit_s = min(self.max_idle_limit_s, self.idle_limit_s * IDLE_LIMIT_RAISE)

    def on_reuse_failed(self, idle_s: float) -> None:
        """Called when a connection idle for `idle_s` closed before a response began; cuts the idle limit."""
        self.idle_limit_s = max(MIN_IDLE_LIMIT_S, min(self.idle_limit_s, idle_s) * IDLE_LIMIT_CUT)

    def forget_endpoint(self, endpoint_id: bytes) -> None:
        """Discard the own reuse delay of an upstream that moved or was removed; its successor may differ."""
        self.endpoint_reuse_delays_s.pop(endpoint_id, None)

    def relax_bounds(self) -> None:
        """Move the idle limit and all reuse delays towards their defaults; called once a second."""
        self.idle_limit_s = min(self.max_idle_limit_s, self.idle_limit_s * IDLE_LIMIT_RECOVERY)
        if self.reuse_delay_s > DEFAULT_REUSE_DELAY_S:
            self.reuse_delay_s = max(DEFAULT_REUSE_DELAY_S, self.reuse_delay_s * REUSE_DELAY_DECAY)
        self.endpoint_reuse_delays_s = {
            endpoint_id: reuse_delay_s * REUSE_DELAY_DECAY
            for endpoint_id, reuse_delay_s in self.endpoint_reuse_delays_s.items()
            if reuse_delay_s > DEFAULT_REUSE_DELAY_S
        }

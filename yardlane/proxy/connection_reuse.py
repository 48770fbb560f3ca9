"""How long a connection to an upstream must and may stand idle before it carries another request.

Two faults are guarded against, one by a lower and one by an upper bound of the idle time.

- **Stray bytes.** An upstream may send a second response, or a late one; as a response names no request, it
  would be read as the response to the next one. It shows as bytes on an idle connection. So a connection is
  quarantined before it is used again: for twice as long as such bytes were seen to come late.
- **Dead connections.** An upstream may close an idle connection as a request is sent on it; the request ends
  as CONNECTION_LOST, and may not be sent again where it must not run twice. So a connection stands idle for
  less time than the shortest at which one was found dead; a new connection costs far less.

Both bounds return to their defaults in time: otherwise a bound that forbids all reuse could never be
disproved.
"""

from __future__ import annotations

DEFAULT_REUSE_DELAY_S = 0.01  # bytes that belong to no response show within that time, as a rule
REUSE_DELAY_MARGIN = 2.0  # times the lateness that was seen
# A second's decay is small: at a fleet's low traffic a proxy uses an upstream about once in ten seconds.
REUSE_DELAY_DECAY = 0.99
MAX_SHARED_REUSE_DELAY_S = 0.25
# Of the idle time in the settings: the upstream counts from a later moment than we do.
MAX_IDLE_LIMIT_FRACTION = 0.5
# Of the idle limit: beyond it hardly any connection would be used again.
MAX_SHARED_REUSE_DELAY_FRACTION = 0.5
MIN_IDLE_LIMIT_S = 0.05
IDLE_LIMIT_CUT = 0.8  # of the idle time of a connection that was found dead
IDLE_LIMIT_RAISE = 1.02  # after a request on a connection that stood idle for nearly the limit
IDLE_LIMIT_RECOVERY = 1.1  # each second


class ReusePolicy:
    """The two bounds of the idle time, in seconds, learnt from what connections showed."""

    def __init__(self, keepalive_s: float) -> None:
        self.max_idle_limit_s = keepalive_s * MAX_IDLE_LIMIT_FRACTION
        self.idle_limit_s = self.max_idle_limit_s
        self.reuse_delay_s = DEFAULT_REUSE_DELAY_S
        # Longer quarantines of single upstreams that sent stray bytes.
        self.endpoint_reuse_delays_s: dict[bytes, float] = {}

    def reuse_delay_of(self, endpoint_id: bytes) -> float:
        """Seconds for which a connection to this upstream must stand idle."""
        if not self.endpoint_reuse_delays_s:
            return self.reuse_delay_s
        return max(self.reuse_delay_s, self.endpoint_reuse_delays_s.get(endpoint_id, 0.0))

    def on_unsolicited_bytes(self, endpoint_id: bytes, lateness_s: float) -> None:
        """Bytes that belong to no response came so long after the last one.

        This upstream's own quarantine covers the lateness whole; where that exceeds the idle limit, none of
        its connections is used again. The quarantine that all upstreams share grows only by lateness that
        neither quarantine covered, at most twofold at a time: a few faulty upstreams cost the others few
        connections, and a fault that many have is soon guarded against for those that are seldom used.
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
        """A connection that had stood idle so long brought a whole response."""
        if idle_s > self.idle_limit_s * IDLE_LIMIT_CUT:
            self.idle_limit_s = min(self.max_idle_limit_s, self.idle_limit_s * IDLE_LIMIT_RAISE)

    def on_reuse_failed(self, idle_s: float) -> None:
        """A connection that had stood idle so long was closed before a response began."""
        self.idle_limit_s = max(MIN_IDLE_LIMIT_S, min(self.idle_limit_s, idle_s) * IDLE_LIMIT_CUT)

    def forget_endpoint(self, endpoint_id: bytes) -> None:
        """The upstream is gone; what stands at its address next is another one."""
        self.endpoint_reuse_delays_s.pop(endpoint_id, None)

    def relax_bounds(self) -> None:
        """Once a second: both bounds come nearer to their defaults."""
        self.idle_limit_s = min(self.max_idle_limit_s, self.idle_limit_s * IDLE_LIMIT_RECOVERY)
        if self.reuse_delay_s > DEFAULT_REUSE_DELAY_S:
            self.reuse_delay_s = max(DEFAULT_REUSE_DELAY_S, self.reuse_delay_s * REUSE_DELAY_DECAY)
        self.endpoint_reuse_delays_s = {
            endpoint_id: reuse_delay_s * REUSE_DELAY_DECAY
            for endpoint_id, reuse_delay_s in self.endpoint_reuse_delays_s.items()
            if reuse_delay_s > DEFAULT_REUSE_DELAY_S
        }

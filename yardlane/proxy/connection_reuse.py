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

QUARANTINE_S = 0.01  # bytes that belong to no response show within that time, as a rule
QUARANTINE_MARGIN = 2.0  # times the lateness that was seen
# A second's decay is small: at a fleet's low traffic a proxy uses an upstream about once in ten seconds.
QUARANTINE_DECAY = 0.99
MAX_SHARED_QUARANTINE_S = 0.25
MAX_IDLE_SHARE = 0.5  # of the idle time in the settings: the upstream counts from a later moment than we do
SHARED_QUARANTINE_SHARE = 0.5  # of the idle limit: beyond it hardly any connection would be used again
MIN_IDLE_LIMIT_S = 0.05
IDLE_LIMIT_CUT = 0.8  # of the idle time of a connection that was found dead
IDLE_LIMIT_RAISE = 1.02  # after a request on a connection that stood idle for nearly the limit
IDLE_LIMIT_RECOVERY = 1.1  # each second


class ReusePolicy:
    """The two bounds of the idle time, in seconds, learnt from what connections showed."""

    def __init__(self, keepalive_s: float) -> None:
        self.max_idle_limit_s = keepalive_s * MAX_IDLE_SHARE
        self.idle_limit_s = self.max_idle_limit_s
        self.quarantine_s = QUARANTINE_S
        # Longer quarantines of single upstreams that sent stray bytes.
        self.endpoint_quarantine_s: dict[bytes, float] = {}

    def quarantine_of(self, endpoint_id: bytes) -> float:
        """Seconds for which a connection to this upstream must stand idle."""
        if not self.endpoint_quarantine_s:
            return self.quarantine_s
        return max(self.quarantine_s, self.endpoint_quarantine_s.get(endpoint_id, 0.0))

    def on_stray_bytes(self, endpoint_id: bytes, lateness_s: float) -> None:
        """Bytes that belong to no response came so long after the last one.

        This upstream's own quarantine covers the lateness whole; where that exceeds the idle limit, none of
        its connections is used again. The quarantine that all upstreams share grows only by lateness that
        neither quarantine covered, at most twofold at a time: a few faulty upstreams cost the others few
        connections, and a fault that many have is soon guarded against for those that are seldom used.
        """
        own_s = self.endpoint_quarantine_s.get(endpoint_id, 0.0)
        wanted_s = min(lateness_s * QUARANTINE_MARGIN, self.max_idle_limit_s)
        self.endpoint_quarantine_s[endpoint_id] = max(wanted_s, own_s)
        if lateness_s > max(own_s, self.quarantine_s):
            bound_s = min(
                MAX_SHARED_QUARANTINE_S,
                self.idle_limit_s * SHARED_QUARANTINE_SHARE,
                max(QUARANTINE_S, self.quarantine_s) * QUARANTINE_MARGIN,
            )
            self.quarantine_s = max(self.quarantine_s, min(wanted_s, bound_s))

    def on_reused(self, idle_s: float) -> None:
        """A connection that had stood idle so long brought a whole response."""
        if idle_s > self.idle_limit_s * IDLE_LIMIT_CUT:
            self.idle_limit_s = min(self.max_idle_limit_s, self.idle_limit_s * IDLE_LIMIT_RAISE)

    def on_found_dead(self, idle_s: float) -> None:
        """A connection that had stood idle so long was closed before a response began."""
        self.idle_limit_s = max(MIN_IDLE_LIMIT_S, min(self.idle_limit_s, idle_s) * IDLE_LIMIT_CUT)

    def forget(self, endpoint_id: bytes) -> None:
        """The upstream is gone; what stands at its address next is another one."""
        self.endpoint_quarantine_s.pop(endpoint_id, None)

    def recover(self) -> None:
        """Once a second: both bounds come nearer to their defaults."""
        self.idle_limit_s = min(self.max_idle_limit_s, self.idle_limit_s * IDLE_LIMIT_RECOVERY)
        if self.quarantine_s > QUARANTINE_S:
            self.quarantine_s = max(QUARANTINE_S, self.quarantine_s * QUARANTINE_DECAY)
        self.endpoint_quarantine_s = {
            endpoint_id: quarantine_s * QUARANTINE_DECAY
            for endpoint_id, quarantine_s in self.endpoint_quarantine_s.items()
            if quarantine_s > QUARANTINE_S
        }

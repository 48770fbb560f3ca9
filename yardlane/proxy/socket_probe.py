"""What the kernel knows of a socket before the event loop has read it."""

from __future__ import annotations

import select


class SocketProbe:
    """Asks for `events` (a mask of `select.POLL*`) on an open socket, without reading from it.

    The loop notices bytes and closes only on its next turn, and on a paused connection not at all. What must
    not begin after them asks here first.
    """

    __slots__ = ("_poll",)

    def __init__(self, file_descriptor: int, events: int) -> None:
        self._poll = select.poll()
        self._poll.register(file_descriptor, events)

    def pending_events(self) -> int:
        """The events that have occurred, as a mask; 0 for none. Errors and hang-ups are always included."""
        ready = self._poll.poll(0)
        if not ready:
            return 0
        return ready[0][1]

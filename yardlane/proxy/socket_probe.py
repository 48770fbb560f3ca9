"""Checks a socket for events, such as unread data or a hang-up, before the event loop handles them."""

from __future__ import annotations

import select


class SocketProbe:
    """Polls an open socket for `events` (a mask of `select.POLL*`) without reading from it.

    The event loop notices received bytes and closed connections only in its next iteration, and on a paused
    connection not at all. Code that must not start an operation after such an event polls the socket first.
    """

    __slots__ = ("_poll",)

    def __init__(self, file_descriptor: int, events: int) -> None:
        self._poll = select.poll()
        self._poll.register(file_descriptor, events)

    def pending_events(self) -> int:
        """Return the pending events as a mask, 0 if there are none.

        Errors and hang-ups are always included.
        """
        ready = self._poll.poll(0)
        if not ready:
            return 0
        return ready[0][1]

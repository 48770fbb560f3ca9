"""One attempt to send a request to one upstream. It ends exactly once, with one `Outcome`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from yardlane.config import Address
from yardlane.decisions.events import Outcome
from yardlane.proxy.response import UpstreamResponse


class AttemptConnection(Protocol):
    """The part of a connection's interface that an attempt uses."""

    def may_have_run(self) -> bool:
        """Return whether the upstream may have begun to process the current request."""

    def release(self) -> None:
        """Detach the current attempt, which has ended."""


def do_nothing() -> None:
    """Do nothing; the default for `Attempt.on_connected`."""


class Attempt:
    """One attempt of a request. It is in flight until `finish` is called.

    `may_have_run()` reports the current state of the connection: it is false until the kernel has accepted
    the request's last byte. `AttemptRecord.may_have_run` in the decisions differs: it starts as true, and
    only the outcome can clear it, because the decisions do not see what has been sent.
    """

    __slots__ = (
        "address",
        "attempt_index",
        "connection",
        "deadline_timer",
        "endpoint_id",
        "is_finished",
        "on_connected",
        "on_finished",
        "request_bytes",
        "request_id",
        "send_deadline_timer",
        "started_at_us",
    )

    def __init__(
        self,
        request_id: int,
        attempt_index: int,
        endpoint_id: bytes,
        started_at_us: int,
        on_finished: Callable[[Attempt, Outcome, UpstreamResponse | None], None],
    ) -> None:
        self.request_id = request_id
        self.attempt_index = attempt_index
        self.endpoint_id = endpoint_id
        self.started_at_us = started_at_us
        self.on_finished = on_finished
        self.address: Address = ("", 0)
        # Called when a new connection has been established; may finish the attempt.
        self.on_connected: Callable[[], object] = do_nothing
        self.request_bytes = b""
        self.connection: AttemptConnection | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None
        # Set only if the last byte must be sent by a certain time.
        self.send_deadline_timer: asyncio.TimerHandle | None = None
        self.is_finished = False

    def finish(self, outcome: Outcome, response: UpstreamResponse | None = None) -> None:
        """End the attempt with this outcome. Any call after the first one is ignored."""
        if self.is_finished:
            return
        self.is_finished = True
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
        if self.send_deadline_timer is not None:
            self.send_deadline_timer.cancel()
        connection = self.connection
        self.connection = None
        self.request_bytes = b""
        if connection is not None:
            connection.release()
        self.on_finished(self, outcome, response)

    def may_have_run(self) -> bool:
        """Return whether the upstream may have begun to process the request.

        This is false until the kernel has accepted the request's last byte, and once the attempt has ended.
        """
        return self.connection is not None and self.connection.may_have_run()

    def on_send_deadline(self) -> None:
        """Called at the time by which the last byte must be sent; ends the attempt if it is still unsent."""
        if not self.may_have_run():
            self.finish(Outcome.NOT_CONNECTED)

    def on_deadline(self) -> None:
        """Called at the time by which the response must be complete; ends the attempt."""
        self.finish(Outcome.TIMED_OUT if self.may_have_run() else Outcome.NOT_CONNECTED)

    def cancel(self) -> None:
        """End the attempt because the decisions no longer need its result."""
        self.finish(Outcome.CANCELLED if self.may_have_run() else Outcome.NOT_SENT)

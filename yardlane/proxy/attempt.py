"""One attempt of a request at one upstream, which ends exactly once with one `Outcome`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from yardlane.config import Address
from yardlane.decisions.events import Outcome
from yardlane.proxy.response import UpstreamResponse


class AttemptConnection(Protocol):
    """What an attempt needs of the connection that carries it."""

    def may_have_run(self) -> bool:
        """Whether the upstream may have begun the present request."""

    def release(self) -> None:
        """The present attempt has ended."""


def do_nothing() -> None:
    """What is called where nobody waits for the connection."""


class Attempt:
    """One attempt of a request; in flight until `finish`.

    `may_have_run()` tells what the connection has done by now: false until the kernel has the request's last
    byte. The decisions' `AttemptRecord.may_have_run` starts true and is cleared by the outcome alone, as they
    do not see the bytes.
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
        # Called when a new connection is up; may finish the attempt.
        self.on_connected: Callable[[], object] = do_nothing
        self.request_bytes = b""
        self.connection: AttemptConnection | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.send_deadline_timer: asyncio.TimerHandle | None = None
        self.is_finished = False

    def finish(self, outcome: Outcome, response: UpstreamResponse | None = None) -> None:
        """The attempt's one end; later ones are dropped."""
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
        """Whether the upstream may have begun it: not before the kernel has taken its last byte."""
        return self.connection is not None and self.connection.may_have_run()

    def on_send_deadline(self) -> None:
        """The time is over by which the last byte had to be sent."""
        if not self.may_have_run():
            self.finish(Outcome.NOT_CONNECTED)

    def on_deadline(self) -> None:
        """The time is over by which the response had to be whole."""
        self.finish(Outcome.TIMED_OUT if self.may_have_run() else Outcome.NOT_CONNECTED)

    def cancel(self) -> None:
        """The decisions want its result no longer."""
        self.finish(Outcome.CANCELLED if self.may_have_run() else Outcome.NOT_SENT)

"""The interface of the decisions, as the proxy and the simulator's adapter drive them."""

from __future__ import annotations

from typing import Protocol

from yardlane.decisions.actions import Action
from yardlane.decisions.events import Event


class Decider(Protocol):
    """The interface of `yardlane.decisions.gateway.Gateway`."""

    actions: list[Action]
    """The actions of the last call. Where an event raised, what was decided before it stands."""

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """Take what happened by `now_us`; return what to do, in order."""
        ...

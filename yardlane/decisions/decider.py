"""The interface of the decisions to their callers: the proxy and the simulator's adapter."""

from __future__ import annotations

from typing import Protocol

from yardlane.decisions.actions import Action
from yardlane.decisions.events import Event


class Decider(Protocol):
    """Handles events and returns actions, without any I/O.

    `yardlane.decisions.gateway.Gateway` implements this protocol.
    """

    actions: list[Action]
    """The actions of the last call of `handle`.

    If that call raised an exception, these are the actions decided before it; they must be carried out.
    """

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """Handle the events up to `now_us`; return the actions in the order in which to carry them out.

        Raises SettingsError if a request names a class or a plan that the settings do not have.
        """
        ...

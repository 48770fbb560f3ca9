"""The interface through which the proxy and the simulator's adapter call the decisions."""

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

    If that call raised an exception, these are the actions that were decided before the exception. They must
    be carried out.
    """

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """Handle the events that arrived up to `now_us`, and the timers that are due by then.

        Return the actions in the order in which they are to be carried out. Raises SettingsError if a
        request names a class or a plan that the settings do not have.
        """
        ...

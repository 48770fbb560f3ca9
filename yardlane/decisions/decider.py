"""The interface between the decisions and what drives them: the proxy, or the simulator's adapter."""

from __future__ import annotations

from typing import Protocol

from yardlane.decisions.actions import Action
from yardlane.decisions.events import Event


class Decider(Protocol):
    """Takes events, returns actions, and does no I/O. `yardlane.decisions.gateway.Gateway` implements it."""

    actions: list[Action]
    """The actions of the last call. If `handle` raised, those decided before; they have to be carried out."""

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """Decide on what happened up to `now_us`; return the actions in the order to carry them out in.

        SettingsError if a request names a class or a plan that the settings do not have.
        """
        ...

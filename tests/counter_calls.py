"""Helpers for tests with a shared counter: its settings, and functions that make and accept calls."""

from typing import Any

from tests.loopback import FakeServer, RunningServer, Streams, settings_dict
from yardlane.decisions.actions import AddToCounter


def settings_with_counter(**changes: Any) -> dict[str, Any]:
    """Return settings of a fleet with a shared counter.

    Calls time out after 5 s. `changes` replace keys of the section `family_info` or add keys to it.
    """
    return settings_dict(family_info={"shared_counter": True, "count_wait_us": 5_000_000, **changes})


def add_to_counter(server: RunningServer, key: int = 1, amount: float = 1.0, lifetime_us: int = 1000) -> None:
    """Let the proxy apply an `AddToCounter` action, as if the decisions had returned it."""
    server.proxy.apply(AddToCounter(key, amount, lifetime_us))


async def accept_first_call(counter: FakeServer) -> Streams:
    """Accept a connection of the counter client, read the first call, and return the streams."""
    reader, writer = await counter.accept_connection()
    await reader.readuntil(b"\r\n")
    return reader, writer

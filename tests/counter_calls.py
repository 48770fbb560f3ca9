"""The shared quota counter in tests: its settings, and calls as they are asked for and as they arrive."""

from typing import Any

from tests.loopback import FakeServer, RunningServer, Streams, settings_dict
from yardlane.decisions.actions import AddToCounter


def settings_with_counter(**changes: Any) -> dict[str, Any]:
    """Settings of a fleet that has a shared counter; calls time out late unless told otherwise."""
    return settings_dict(family_info={"shared_counter": True, "count_wait_us": 5_000_000, **changes})


def add_to_counter(server: RunningServer, key: int = 1, amount: float = 1.0, lifetime_us: int = 1000) -> None:
    """Let the decisions ask for a call."""
    server.proxy.apply(AddToCounter(key, amount, lifetime_us))


async def accept_first_call(counter: FakeServer) -> Streams:
    """The connection, whose first call has been read."""
    reader, writer = await counter.accept_connection()
    await reader.readuntil(b"\r\n")
    return reader, writer

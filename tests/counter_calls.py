"""Calls to the quota counter, as the decisions ask for them and as a peer reads them."""

from tests.loopback import Peer, RunningProxy, Streams
from yardlane.decisions.actions import AddToCounter


def add(proxy: RunningProxy, key: int = 1, amount: float = 1.0, lifetime_us: int = 1000) -> None:
    """Let the decisions ask for a call."""
    proxy.program.proxy.apply(AddToCounter(key, amount, lifetime_us))


async def first_call(counter: Peer) -> Streams:
    """The connection, whose first call has been read."""
    reader, writer = await counter.connection()
    await reader.readuntil(b"\r\n")
    return reader, writer

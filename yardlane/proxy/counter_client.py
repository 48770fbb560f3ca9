"""The client of the shared quota counter. It distributes calls by their key over several connections."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable

from yardlane.config import Address
from yardlane.decisions.actions import AddToCounter
from yardlane.decisions.events import CounterResult
from yardlane.proxy.counter_connection import PING_INTERVAL_S, CounterCall, CounterConnection
from yardlane.proxy.counter_protocol import format_add
from yardlane.units import US_PER_S

# With several connections, one that stalls or is lost delays only its share of the keys. Each connection uses
# a file descriptor.
CONNECTION_COUNT = 4


class CounterClient:
    """Sends calls to the counter. `on_result` is called with exactly one result for each call of `add`.

    All calls for a key use the same connection, so that their totals arrive in the order of the calls.
    """

    def __init__(
        self,
        address: Address,
        timeout_us: int,
        on_result: Callable[[CounterResult], None],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.address = address
        self.timeout_s = timeout_us / US_PER_S
        self.on_result = on_result
        self.loop = loop
        self.connections = self._make_connections()
        loop.call_later(PING_INTERVAL_S / 2, self._check_connections)

    def add(self, action: AddToCounter) -> None:
        """Send a `tally` call, which adds an amount to the count of a key."""
        self._send(CounterCall(action.counter_key, format_add(action), self.loop.time()))

    def change_address(self, address: Address) -> None:
        """Send new calls, and pending calls that have not been written yet, to another address.

        A call that has already been written stays on its old connection, which waits for the reply.
        """
        if address == self.address:
            return
        self.address = address
        old_connections = self.connections
        self.connections = self._make_connections()
        for connection in old_connections:
            for call in connection.close_gracefully():
                self._send(call)

    def _make_connections(self) -> list[CounterConnection]:
        return [
            CounterConnection(self.address, self.timeout_s, self.on_result, self.loop)
            for _ in range(CONNECTION_COUNT)
        ]

    def _send(self, call: CounterCall) -> None:
        index = zlib.crc32(b"%x" % call.key) % CONNECTION_COUNT
        self.connections[index].send(call)

    def _check_connections(self) -> None:
        self.loop.call_later(PING_INTERVAL_S / 2, self._check_connections)
        for connection in self.connections:
            connection.check_liveness()

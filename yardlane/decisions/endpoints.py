"""The endpoint list of one gateway, and the subset of it that this gateway uses.

A gateway that sent to more endpoints than it has requests in a second would have old knowledge of each (its
attempts in flight, its latency, whether it responds at all), and open a connection for nearly every request.
So a gateway uses at most `SUBSET_SIZE` of the endpoints that are ready.

The subset is deterministic. Each endpoint has an order of the gateways of its own, made from its id; the
place of this gateway in it is the endpoint's `subset_rank`. A gateway uses the endpoints in whose order it
comes first. So each endpoint has about as many users, the gateways need no messages between them, and a
change of the list moves few other endpoints in or out.
"""

from __future__ import annotations

import math
import zlib

from yardlane.decisions.endpoint_record import EndpointRecord
from yardlane.decisions.events import Endpoint, EndpointListUpdate, EndpointState, UpdateKind
from yardlane.decisions.settings import Settings

SUBSET_SIZE = 12


class EndpointList:
    """The endpoints by their ids; `ready` holds those that may get requests, the lowest subset rank first.

    `subset` is the first of `ready`. `gateways_per_endpoint` is how many gateways use one endpoint.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.by_id: dict[bytes, EndpointRecord] = {}
        self.ready: list[EndpointRecord] = []
        self.subset: list[EndpointRecord] = []
        self.gateways_per_endpoint = settings.gateway_count
        self._recently_removed: dict[bytes, EndpointRecord] = {}

    def apply_update(self, update: EndpointListUpdate) -> None:
        """Take over an update of the list. What a whole list does not name is removed."""
        if update.kind is not UpdateKind.DELTA:
            self._remove_unlisted({entry.endpoint_id for entry in update.endpoints})
        for entry in update.endpoints:
            if entry.state is EndpointState.REMOVED:
                self._remove(entry.endpoint_id)
            else:
                self._add_or_update(entry)
        self._update_subset()

    def _remove_unlisted(self, listed_ids: set[bytes]) -> None:
        for endpoint_id in [known for known in self.by_id if known not in listed_ids]:
            self._remove(endpoint_id)

    def _remove(self, endpoint_id: bytes) -> None:
        """Remove an endpoint, but remember for one window what it was sent while warming up.

        A list may lack an endpoint for a moment and name it again with the same start. A new record would
        then grant it a second budget, and overload it.
        """
        removed = self.by_id.pop(endpoint_id, None)
        if removed is None or removed.sent_work.is_empty():
            return
        self._recently_removed[endpoint_id] = removed
        newest_us = max(record.last_sent_at_us for record in self._recently_removed.values())
        self._recently_removed = {
            key: record
            for key, record in self._recently_removed.items()
            if record.last_sent_at_us > newest_us - self.settings.overload_window_us
        }

    def _add_or_update(self, entry: Endpoint) -> None:
        endpoint_id = entry.endpoint_id
        record = self.by_id.get(endpoint_id) or self._recently_removed.pop(endpoint_id, None)
        if record is None or record.entry.started_at_us != entry.started_at_us:
            record = EndpointRecord(entry, self._subset_rank(endpoint_id), self.settings.overload_window_us)
        record.entry = entry
        self.by_id[endpoint_id] = record

    def _update_subset(self) -> None:
        ready = [record for record in self.by_id.values() if record.entry.state is EndpointState.READY]
        self.ready = sorted(ready, key=lambda record: record.subset_rank)
        self.subset = self.ready[:SUBSET_SIZE]
        gateway_count = self.settings.gateway_count
        gateways_per_endpoint = _divide_rounding_up(SUBSET_SIZE * gateway_count, max(1, len(ready)))
        self.gateways_per_endpoint = min(gateway_count, gateways_per_endpoint)

    def _subset_rank(self, endpoint_id: bytes) -> int:
        """How many gateways come before this one in the endpoint's order.

        The order steps through the ranks by a stride that shares no factor with their count, and so visits
        each of them once.
        """
        count = self.settings.gateway_count
        stride, first = divmod(zlib.crc32(endpoint_id), count)
        while math.gcd(stride, count) > 1:
            stride += 1
        return (self.settings.rank * stride + first) % count


def _divide_rounding_up(dividend: int, divisor: int) -> int:
    return -(-dividend // divisor)

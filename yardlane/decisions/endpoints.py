"""The endpoint list of one gateway, and the subset of the endpoints that this gateway uses.

A gateway uses at most `SUBSET_SIZE` of the endpoints that are ready. If it sent to more endpoints than it has
requests in a second, what it knows about each endpoint (attempts in flight, latency, whether it responds at
all) would be out of date, and nearly every request would open a new connection.

The subset is deterministic. Each endpoint has its own order of the gateways, which is computed from the
endpoint's id. `subset_rank` is the position of this gateway in that order, counted from 0. A gateway uses the
ready endpoints for which its `subset_rank` is lowest. As a result, each endpoint is used by about the same
number of gateways, the gateways need not exchange messages to agree, and a change of the list replaces few
other endpoints in a subset.
"""

from __future__ import annotations

import math
import zlib

from yardlane.decisions.endpoint_record import EndpointRecord
from yardlane.decisions.events import Endpoint, EndpointListUpdate, EndpointState, UpdateKind
from yardlane.decisions.settings import Settings

SUBSET_SIZE = 12


class EndpointList:
    """The endpoints that one gateway knows, and its subset of them.

    `by_id` holds all endpoints. `ready` holds those that may get requests, in ascending order of their
    `subset_rank`; `subset` holds the first `SUBSET_SIZE` of `ready`. `gateways_per_endpoint` is the mean
    number of gateways that use one endpoint, rounded up.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.by_id: dict[bytes, EndpointRecord] = {}
        self.ready: list[EndpointRecord] = []
        self.subset: list[EndpointRecord] = []
        self.gateways_per_endpoint = settings.gateway_count
        self._recently_removed: dict[bytes, EndpointRecord] = {}

    def apply_update(self, update: EndpointListUpdate) -> None:
        """Apply an update. Unless its kind is `DELTA`, remove all endpoints that it does not list."""
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
        """Remove an endpoint, but keep its record for a while if work was sent to it during its warm-up.

        The record is kept for at least `overload_window_us` after the last attempt. An endpoint may be
        missing from the list for a moment and then be listed again with the same start time. With a new
        record, this gateway would use its share of the slow-start budget a second time, and the endpoint
        would be overloaded.
        """
        removed = self.by_id.pop(endpoint_id, None)
        if removed is None or removed.sent_work.is_empty():
            return
        self._recently_removed[endpoint_id] = removed
        latest_sent_at_us = max(record.last_sent_at_us for record in self._recently_removed.values())
        self._recently_removed = {
            key: record
            for key, record in self._recently_removed.items()
            if record.last_sent_at_us > latest_sent_at_us - self.settings.overload_window_us
        }

    def _add_or_update(self, entry: Endpoint) -> None:
        """Set the entry of an endpoint; create a new record if the endpoint is unknown or has restarted."""
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
        """Return the position of this gateway in the endpoint's order of the gateways, from 0.

        The gateway with rank 0 has the position `offset`. The positions of gateways with consecutive ranks
        are `stride` apart, modulo the number of gateways. The stride has no common factor with that number,
        so no two gateways have the same position.
        """
        count = self.settings.gateway_count
        stride, offset = divmod(zlib.crc32(endpoint_id), count)
        while math.gcd(stride, count) > 1:
            stride += 1
        return (self.settings.rank * stride + offset) % count


def _divide_rounding_up(dividend: int, divisor: int) -> int:
    return -(-dividend // divisor)

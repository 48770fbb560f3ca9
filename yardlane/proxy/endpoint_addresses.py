"""Applies updates of the endpoint list to the addresses and starts of the endpoints. This module does no I/O.

The decisions identify an endpoint only by its id; the proxy keeps the addresses. A process is identified by
the endpoint's id and its start, never by its address: a new process may come up at the address of one that is
gone, with the same id or another one.
"""

from __future__ import annotations

from yardlane.decisions.events import EndpointListUpdate, EndpointState, UpdateKind
from yardlane.proxy.endpoint_decoder import Addresses

Starts = dict[bytes, int]
"""The start of the process of each endpoint, by endpoint id, in microseconds of Unix time; 0: long ago."""


def addresses_after(old: Addresses, update: EndpointListUpdate, decoded: Addresses) -> Addresses:
    """Return the address of each endpoint after an update.

    `old` has the addresses before the update, and `decoded` those that could be read from it.

    - An endpoint that is listed with a valid address gets that address.
    - An endpoint that is listed without a valid address is draining. It keeps its old address, if it had one,
      for its attempts in flight.
    - An endpoint that is listed as removed, or missing from a complete list, has no address any more.
    - An endpoint that is missing from a delta keeps its address.
    """
    addresses = {**old, **decoded} if update.kind is UpdateKind.DELTA else dict(decoded)
    for endpoint in update.endpoints:
        endpoint_id = endpoint.endpoint_id
        if endpoint.state is EndpointState.REMOVED:
            addresses.pop(endpoint_id, None)
        elif endpoint_id not in decoded and endpoint_id in old:
            addresses[endpoint_id] = old[endpoint_id]
    return addresses


def starts_after(old: Starts, update: EndpointListUpdate) -> Starts:
    """Return the start of each endpoint after an update, in microseconds of Unix time.

    `old` has the starts before the update. An endpoint that is listed as removed, or missing from a complete
    list, has no start any more; one that is missing from a delta keeps its start.
    """
    starts = dict(old) if update.kind is UpdateKind.DELTA else {}
    for endpoint in update.endpoints:
        if endpoint.state is EndpointState.REMOVED:
            starts.pop(endpoint.endpoint_id, None)
        else:
            starts[endpoint.endpoint_id] = endpoint.started_at_us
    return starts


def restarted_endpoints(old: Starts, new: Starts) -> list[bytes]:
    """Return the endpoints that had a start before an update and have another one after it."""
    return [
        endpoint_id
        for endpoint_id, started_at_us in new.items()
        if old.get(endpoint_id, started_at_us) != started_at_us
    ]

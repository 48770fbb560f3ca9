"""Applies updates of the endpoint list to the addresses of the endpoints. It does no I/O.

The decisions identify endpoints only by their ids; the proxy keeps the addresses.
"""

from __future__ import annotations

from yardlane.decisions.events import EndpointListUpdate, EndpointState, UpdateKind
from yardlane.proxy.endpoint_decoder import Addresses


def addresses_after(old: Addresses, update: EndpointListUpdate, decoded: Addresses) -> Addresses:
    """Return the addresses after an update; `decoded` holds the addresses that could be read from it.

    - An endpoint that is removed, or missing from a complete list, has no address. An endpoint that is
      missing from a delta keeps its address.
    - An endpoint that is listed with a readable address has that address.
    - An endpoint that is listed without a readable address is draining. It keeps its old address for the
      attempts in flight.
    """
    addresses = {**old, **decoded} if update.kind is UpdateKind.DELTA else dict(decoded)
    for endpoint in update.endpoints:
        endpoint_id = endpoint.endpoint_id
        if endpoint.state is EndpointState.REMOVED:
            addresses.pop(endpoint_id, None)
        elif endpoint_id not in decoded and endpoint_id in old:
            addresses[endpoint_id] = old[endpoint_id]
    return addresses

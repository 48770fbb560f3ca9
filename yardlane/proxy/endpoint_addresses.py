"""Applies updates of the endpoint list to the addresses of the endpoints. This module does no I/O.

The decisions identify an endpoint only by its id; the proxy keeps the addresses.
"""

from __future__ import annotations

from yardlane.decisions.events import EndpointListUpdate, EndpointState, UpdateKind
from yardlane.proxy.endpoint_decoder import Addresses


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

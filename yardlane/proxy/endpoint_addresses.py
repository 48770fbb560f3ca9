"""Where endpoints are reached, as updates of the endpoint list change it. No I/O.

The decisions know endpoints by their ids alone; the proxy keeps their addresses beside.
"""

from __future__ import annotations

from yardlane.decisions.events import EndpointListUpdate, EndpointState, UpdateKind
from yardlane.proxy.endpoint_decoder import Addresses


def addresses_after(old: Addresses, update: EndpointListUpdate, decoded: Addresses) -> Addresses:
    """The addresses after an update; `decoded` are those that could be read of it.

    The update says of each endpoint one of three things:

    - Removed, or missing from a list that is whole: it has none. A delta leaves those that it does not name.
    - Named with a readable address: that one.
    - Named without a readable address: it drains, and keeps the old one for attempts in flight.
    """
    addresses = {**old, **decoded} if update.kind is UpdateKind.DELTA else dict(decoded)
    for endpoint in update.endpoints:
        endpoint_id = endpoint.endpoint_id
        if endpoint.state is EndpointState.REMOVED:
            addresses.pop(endpoint_id, None)
        elif endpoint_id not in decoded and endpoint_id in old:
            addresses[endpoint_id] = old[endpoint_id]
    return addresses

"""Tests of how updates of the endpoint list change the addresses of the endpoints."""

from tests.gateway_driver import make_endpoint
from yardlane.decisions.events import EndpointListUpdate, EndpointState, UpdateKind
from yardlane.proxy.endpoint_addresses import addresses_after
from yardlane.proxy.endpoint_decoder import Addresses

OLD_ADDRESSES: Addresses = {b"s-1": ("10.0.0.1", 1), b"s-2": ("10.0.0.2", 2)}


def make_update(kind: UpdateKind, **states: EndpointState) -> EndpointListUpdate:
    endpoints = tuple(
        make_endpoint(0, state, endpoint_id=f"s-{key[1:]}".encode()) for key, state in states.items()
    )
    return EndpointListUpdate(kind, 2, endpoints)


def test_snapshot_replaces_all_addresses() -> None:
    new_addresses: Addresses = {b"s-3": ("10.0.0.3", 3)}
    assert (
        addresses_after(
            OLD_ADDRESSES, make_update(UpdateKind.SNAPSHOT, s3=EndpointState.READY), new_addresses
        )
        == new_addresses
    )


def test_delta_changes_only_the_listed_endpoints() -> None:
    new_addresses: Addresses = {b"s-2": ("10.0.0.9", 9)}
    updated_addresses = addresses_after(
        OLD_ADDRESSES, make_update(UpdateKind.DELTA, s2=EndpointState.READY), new_addresses
    )
    assert updated_addresses == {b"s-1": ("10.0.0.1", 1), b"s-2": ("10.0.0.9", 9)}
    assert addresses_after(OLD_ADDRESSES, make_update(UpdateKind.DELTA, s2=EndpointState.REMOVED), {}) == {
        b"s-1": ("10.0.0.1", 1)
    }


def test_endpoint_without_readable_address_keeps_its_old_one() -> None:
    """Discovery sends a malformed address, so the endpoint is draining.

    It must keep its old address for its attempts in flight.
    """
    for kind in (UpdateKind.SNAPSHOT, UpdateKind.DELTA):
        updated_addresses = addresses_after(OLD_ADDRESSES, make_update(kind, s1=EndpointState.DRAINING), {})
        assert updated_addresses[b"s-1"] == ("10.0.0.1", 1)
    assert b"s-3" not in addresses_after(
        OLD_ADDRESSES, make_update(UpdateKind.DELTA, s3=EndpointState.DRAINING), {}
    )

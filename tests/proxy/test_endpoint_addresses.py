"""What an update of the endpoint list does to the addresses of the endpoints."""

from tests.gateway_driver import make_endpoint
from yardlane.decisions.events import EndpointListUpdate, EndpointState, UpdateKind
from yardlane.proxy.endpoint_addresses import addresses_after
from yardlane.proxy.endpoint_decoder import Addresses

OLD: Addresses = {b"s-1": ("10.0.0.1", 1), b"s-2": ("10.0.0.2", 2)}


def update(kind: UpdateKind, **states: EndpointState) -> EndpointListUpdate:
    endpoints = tuple(
        make_endpoint(0, state, endpoint_id=f"s-{key[1:]}".encode()) for key, state in states.items()
    )
    return EndpointListUpdate(kind, 2, endpoints)


def test_a_snapshot_replaces_all_addresses() -> None:
    new: Addresses = {b"s-3": ("10.0.0.3", 3)}
    assert addresses_after(OLD, update(UpdateKind.SNAPSHOT, s3=EndpointState.READY), new) == new


def test_a_delta_changes_only_what_it_names() -> None:
    new: Addresses = {b"s-2": ("10.0.0.9", 9)}
    changed = addresses_after(OLD, update(UpdateKind.DELTA, s2=EndpointState.READY), new)
    assert changed == {b"s-1": ("10.0.0.1", 1), b"s-2": ("10.0.0.9", 9)}
    assert addresses_after(OLD, update(UpdateKind.DELTA, s2=EndpointState.REMOVED), {}) == {
        b"s-1": ("10.0.0.1", 1)
    }


def test_an_endpoint_without_a_readable_address_keeps_the_old_one() -> None:
    """Discovery sends an address that cannot be read: the endpoint drains, and what is in flight goes on."""
    for kind in (UpdateKind.SNAPSHOT, UpdateKind.DELTA):
        changed = addresses_after(OLD, update(kind, s1=EndpointState.DRAINING), {})
        assert changed[b"s-1"] == ("10.0.0.1", 1)
    assert b"s-3" not in addresses_after(OLD, update(UpdateKind.DELTA, s3=EndpointState.DRAINING), {})

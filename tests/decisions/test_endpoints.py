"""Tests of the endpoint list, and of the subset of the endpoints that each gateway uses."""

from __future__ import annotations

from collections import Counter

from tests.gateway_driver import (
    MS,
    SECOND,
    UNLIMITED,
    GatewayDriver,
    make_endpoint,
    make_endpoint_id,
    make_settings,
    of_type,
)
from yardlane.decisions.actions import StartAttempt
from yardlane.decisions.endpoints import SUBSET_SIZE, EndpointList
from yardlane.decisions.events import Endpoint, EndpointListUpdate, EndpointState, UpdateKind
from yardlane.decisions.slow_start import SlowStart

GATEWAY_COUNT = 40
ENDPOINT_COUNT = 60
ID_MULTIPLIER = 2654435761  # spreads consecutive numbers over the whole range of ids


def make_endpoints(count: int = ENDPOINT_COUNT, first: int = 0) -> tuple[Endpoint, ...]:
    """Return warm endpoints whose ids are spread over the whole range, like those of real endpoints."""
    return tuple(
        make_endpoint(0, endpoint_id=b"s-%08x" % (number * ID_MULTIPLIER % 2**32))
        for number in range(first, first + count)
    )


def make_endpoint_lists(
    entries: tuple[Endpoint, ...], gateway_count: int = GATEWAY_COUNT
) -> list[EndpointList]:
    """Return the endpoint list of each gateway, after a snapshot of these endpoints."""
    lists = [
        EndpointList(make_settings(gateway_count=gateway_count, rank=rank)) for rank in range(gateway_count)
    ]
    for endpoints in lists:
        endpoints.apply_update(EndpointListUpdate(UpdateKind.SNAPSHOT, 1, entries))
    return lists


def subset_ids(endpoints: EndpointList) -> set[bytes]:
    return {record.entry.endpoint_id for record in endpoints.subset}


def test_subsets_of_many_gateways_cover_all_endpoints_evenly() -> None:
    """If each of 40 gateways used all 60 endpoints, every second request would open a new connection.

    So each gateway uses a subset. Every endpoint must be in some subset, and none in more than twice as many
    as the mean.
    """
    gateway_counts: Counter[bytes] = Counter()
    for endpoints in make_endpoint_lists(make_endpoints()):
        assert len(endpoints.subset) == SUBSET_SIZE
        gateway_counts.update(subset_ids(endpoints))
    assert len(gateway_counts) == ENDPOINT_COUNT
    assert max(gateway_counts.values()) <= 2 * GATEWAY_COUNT * SUBSET_SIZE / ENDPOINT_COUNT


def test_subset_holds_all_endpoints_of_a_small_list() -> None:
    for endpoints in make_endpoint_lists(make_endpoints(9), gateway_count=3):
        assert len(endpoints.subset) == 9 and endpoints.gateways_per_endpoint == 3


def test_added_endpoint_displaces_at_most_one_from_each_subset() -> None:
    added = make_endpoints(1, first=900)
    for endpoints in make_endpoint_lists(make_endpoints()):
        before = subset_ids(endpoints)
        endpoints.apply_update(EndpointListUpdate(UpdateKind.DELTA, 2, added))
        assert len(before - subset_ids(endpoints)) <= 1


def test_number_of_gateways_that_use_warming_endpoint_is_gateways_per_endpoint() -> None:
    now_us = 500 * SECOND
    for number in range(20):
        warming = make_endpoint(0, endpoint_id=b"s-%x" % number, started_at_us=now_us - 2 * SECOND)
        admitted_ranks = set()
        for rank, endpoints in enumerate(make_endpoint_lists((*make_endpoints(), warming))):
            slow_start = SlowStart(endpoints.settings, endpoints)
            record = endpoints.by_id[warming.endpoint_id]
            if any(
                slow_start.admits(record, slow_start.warm_up_factor(record, at_us), 200 * MS, at_us)
                for at_us in range(now_us, now_us + 8 * SECOND, 50 * MS)
            ):
                admitted_ranks.add(rank)
        assert len(admitted_ranks) == endpoints.gateways_per_endpoint < GATEWAY_COUNT


def test_endpoint_removed_and_listed_again_keeps_its_record() -> None:
    """The endpoint list may omit a warming endpoint for a moment and then contain it again.

    With a new record, the endpoint would be sent its whole slow-start budget a second time. So its record is
    kept for `overload_window_us`, and used again if the start time is the same.
    """
    [endpoints] = make_endpoint_lists((), gateway_count=1)
    warming = make_endpoint(0, started_at_us=500 * SECOND)
    update = EndpointListUpdate(UpdateKind.SNAPSHOT, 2, (warming,))
    endpoints.apply_update(update)
    record = endpoints.by_id[warming.endpoint_id]
    record.sent_work.add(100 * MS, 501 * SECOND)
    endpoints.apply_update(EndpointListUpdate(UpdateKind.SNAPSHOT, 3, ()))
    assert not endpoints.by_id
    endpoints.apply_update(update)
    assert endpoints.by_id[warming.endpoint_id] is record


def test_restarted_endpoint_gets_a_new_record() -> None:
    [endpoints] = make_endpoint_lists((make_endpoint(0),), gateway_count=1)
    before = endpoints.by_id[make_endpoint(0).endpoint_id]
    restarted = make_endpoint(0, started_at_us=500 * SECOND)
    endpoints.apply_update(EndpointListUpdate(UpdateKind.DELTA, 2, (restarted,)))
    after = endpoints.by_id[restarted.endpoint_id]
    assert after is not before and after.entry is restarted


def attempted_endpoint_ids(driver: GatewayDriver) -> set[bytes]:
    """Return the ids of the endpoints that the attempts in the action log were sent to."""
    return {action.endpoint_id for _, action in driver.action_log if isinstance(action, StartAttempt)}


def serve_and_collect_endpoint_ids(driver: GatewayDriver) -> set[bytes]:
    """Serve sixty requests one after another, and return the ids of the endpoints that they were sent to."""
    endpoint_ids = set()
    for _ in range(60):
        request_id, actions = driver.send_request(quota_plan=UNLIMITED)
        for attempt in of_type(StartAttempt, actions):
            endpoint_ids.add(attempt.endpoint_id)
            driver.end_attempt(request_id, attempt.endpoint_id)
        driver.advance(200 * MS)
    return endpoint_ids


def test_requests_go_to_the_subset_and_a_draining_endpoint_is_replaced() -> None:
    driver = GatewayDriver(endpoints=0, gateway_count=GATEWAY_COUNT)
    driver.deliver(EndpointListUpdate(UpdateKind.SNAPSHOT, 1, make_endpoints()))
    before = subset_ids(driver.gateway.endpoints)
    assert serve_and_collect_endpoint_ids(driver) <= before
    first_id = driver.gateway.endpoints.subset[0].entry.endpoint_id
    draining = make_endpoint(0, endpoint_id=first_id, state=EndpointState.DRAINING)
    driver.deliver(EndpointListUpdate(UpdateKind.DELTA, 2, (draining,)))
    assert len(driver.gateway.endpoints.subset) == SUBSET_SIZE
    assert first_id not in serve_and_collect_endpoint_ids(driver)


def test_draining_and_unlisted_endpoints_get_no_attempts() -> None:
    driver = GatewayDriver(endpoints=4)
    draining = make_endpoint(0, EndpointState.DRAINING)
    removed = make_endpoint(1, EndpointState.REMOVED)
    driver.deliver(EndpointListUpdate(UpdateKind.DELTA, 2, (draining, removed)))
    for _ in range(6):
        driver.send_request()
    assert attempted_endpoint_ids(driver) == {make_endpoint_id(2), make_endpoint_id(3)}
    driver.advance(4 * SECOND)
    driver.action_log.clear()
    driver.deliver(EndpointListUpdate(UpdateKind.SNAPSHOT, 3, (make_endpoint(3),)))
    for _ in range(30):
        driver.serve_request()
    assert attempted_endpoint_ids(driver) <= {make_endpoint_id(3)}

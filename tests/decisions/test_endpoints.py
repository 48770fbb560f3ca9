"""The subset of the servers that each gateway uses."""

from __future__ import annotations

from collections import Counter

from yardlane.decisions.actions import StartAttempt
from yardlane.decisions.events import Endpoint, EndpointListUpdate, EndpointState, UpdateKind
from yardlane.decisions.endpoints import SUBSET_SIZE, EndpointList
from yardlane.decisions.slow_start import SlowStart
from tests.gateway_driver import FREE, MS, SECOND, GatewayDriver, make_endpoint, of_type, make_settings

GATEWAYS, SERVERS = 40, 60


def many(servers: int = SERVERS, first: int = 0) -> tuple[Endpoint, ...]:
    return tuple(
        make_endpoint(0, endpoint_id=b"s-%08x" % (n * 2654435761 % 2**32))
        for n in range(first, first + servers)
    )


def fleets(entries: tuple[Endpoint, ...], gateways: int = GATEWAYS) -> list[EndpointList]:
    made = [EndpointList(make_settings(gateway_count=gateways, rank=rank)) for rank in range(gateways)]
    for fleet in made:
        fleet.apply_update(EndpointListUpdate(UpdateKind.SNAPSHOT, 1, entries))
    return made


def test_each_of_many_gateways_uses_a_few_servers_and_all_are_used_alike() -> None:
    """Lost: forty gateways that each used sixty servers opened a connection for every second request."""
    used: Counter[bytes] = Counter()
    for fleet in fleets(many()):
        assert len(fleet.subset) == SUBSET_SIZE
        used.update(s.entry.endpoint_id for s in fleet.subset)
    assert len(used) == SERVERS
    assert max(used.values()) <= 2 * GATEWAYS * SUBSET_SIZE / SERVERS


def test_a_small_fleet_is_used_whole_by_every_gateway() -> None:
    for fleet in fleets(many(9), gateways=3):
        assert len(fleet.subset) == 9 and fleet.users_per_endpoint == 3


def test_a_change_of_the_list_moves_few_other_servers() -> None:
    for fleet in fleets(many()):
        before = {s.entry.endpoint_id for s in fleet.subset}
        new = many(1, first=900)
        fleet.apply_update(EndpointListUpdate(UpdateKind.DELTA, 2, new))
        assert len(before - {s.entry.endpoint_id for s in fleet.subset}) <= 1


def test_a_cold_server_has_as_many_users_as_share_its_budget() -> None:
    now = 500 * SECOND
    for cold in (
        make_endpoint(0, endpoint_id=b"s-%x" % n, started_at_us=now - 2 * SECOND) for n in range(20)
    ):
        users = set()
        for rank, fleet in enumerate(fleets((*many(), cold))):
            server, work = fleet.by_id[cold.endpoint_id], 200 * MS
            slow_start = SlowStart(fleet.settings, fleet)
            if any(
                slow_start.admits(server, slow_start.warm_up_factor(server, at), work, at)
                for at in range(now, now + 8 * SECOND, 50 * MS)
            ):
                users.add(rank)
        assert len(users) == fleet.users_per_endpoint < GATEWAYS


def test_requests_go_to_the_subset_and_to_the_next_when_one_of_it_drains() -> None:
    desk = GatewayDriver(servers=0, gateway_count=GATEWAYS)
    desk.give(EndpointListUpdate(UpdateKind.SNAPSHOT, 1, many()))
    near = [s.entry for s in desk.gateway.endpoints.subset]

    def reached() -> set[bytes]:
        found = set()
        for _ in range(60):
            number, actions = desk.ask(quota_plan=FREE)
            for send in of_type(StartAttempt, actions):
                found.add(send.endpoint_id)
                desk.end(number, send.endpoint_id)
            desk.run(200 * MS)
        return found

    assert reached() <= {e.endpoint_id for e in near}
    gone = make_endpoint(0, endpoint_id=near[0].endpoint_id, state=EndpointState.DRAINING)
    desk.give(EndpointListUpdate(UpdateKind.DELTA, 2, (gone,)))
    assert len(desk.gateway.endpoints.subset) == SUBSET_SIZE
    assert near[0].endpoint_id not in reached()

"""Which endpoint an attempt goes to."""

from tests.gateway_driver import (
    FREE,
    GatewayDriver,
)
from yardlane.decisions.endpoint_record import EndpointRecord


def test_a_pick_looks_at_few_servers_however_many_there_are() -> None:
    looked = []
    for servers in (40, 200):
        desk = GatewayDriver(servers=servers)
        desk.serve(quota_plan=FREE)
        calls = 0

        def count(endpoint: EndpointRecord, now_us: int) -> float:
            nonlocal calls
            calls += 1
            return 1.0

        desk.gateway.slow_start.warm_up_factor = count  # type: ignore[method-assign]
        desk.serve(quota_plan=FREE)
        looked.append(calls)
    assert 0 < looked[0] == looked[1] <= 20

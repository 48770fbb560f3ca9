"""Which endpoint an attempt goes to."""

from tests.gateway_driver import FREE, GatewayDriver
from yardlane.decisions.endpoint_record import EndpointRecord


def test_a_choice_looks_at_few_endpoints_however_many_there_are() -> None:
    looked_at = []
    for endpoint_count in (40, 200):
        driver = GatewayDriver(servers=endpoint_count)
        driver.serve(quota_plan=FREE)
        calls = 0

        def count(endpoint: EndpointRecord, now_us: int) -> float:
            nonlocal calls
            calls += 1
            return 1.0

        driver.gateway.slow_start.warm_up_factor = count  # type: ignore[method-assign]
        driver.serve(quota_plan=FREE)
        looked_at.append(calls)
    assert 0 < looked_at[0] == looked_at[1] <= 20

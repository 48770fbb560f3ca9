"""Tests of slow start: all gateways together do not overload an endpoint that is warming up."""

from __future__ import annotations

import sys
from collections import deque
from dataclasses import dataclass, replace

import pytest

from tests.decisions.warm_up_simulation import BEGIN_US, Scenario, Simulation, warm_up_factor
from tests.gateway_driver import IDEMPOTENT, MS, SECOND, GatewayDriver, make_endpoint, make_settings, of_type
from yardlane.decisions.actions import StartAttempt
from yardlane.decisions.endpoints import EndpointList
from yardlane.decisions.events import Endpoint, EndpointListUpdate, UpdateKind
from yardlane.decisions.settings import Settings
from yardlane.decisions.slow_start import RESTART_BUDGET_SHARE, USABLE_BUDGET_SHARE, SlowStart

# A budget of many requests, so that random variation has little effect.
LARGE_BUDGET = {"overload_multiple": 4.0, "overload_window_us": 3 * SECOND}
SMALL_REQUESTS = Scenario(
    gateway_count=20,
    warm_count=4,
    warming_count=1,
    latency_objective_us=90 * MS,
    hang_share=0.005,
    settings=LARGE_BUDGET,
)
UNEQUAL_CLASSES = (0.3, 0.5, 2.2)
SCENARIOS = {
    "join, all others drain": Scenario(),
    "join, three gateways": Scenario(gateway_count=3),
    "join, twenty gateways": Scenario(gateway_count=20, warm_count=20, warming_count=4),
    "join, others stay": Scenario(warm_count=6, warm_endpoints_stay=True, offered_load=10.0),
    "come back after a crash": Scenario(warming_endpoints_crashed=True),
    "many endpoints, lists differ": Scenario(warm_count=50, warming_count=4, partial_list_share=0.5),
    "half of the gateways restart": Scenario(restart_share=0.5),
    "classes differ": Scenario(class_factors=UNEQUAL_CLASSES),
    "small requests, classes differ": replace(SMALL_REQUESTS, class_factors=UNEQUAL_CLASSES),
    "estimate four times too low": Scenario(work_factor=4.0),
    "estimate four times too high": Scenario(work_factor=0.25),
    "small requests": SMALL_REQUESTS,
    "small requests, come back after a crash": replace(SMALL_REQUESTS, warming_endpoints_crashed=True),
    "small requests, lists differ": replace(
        SMALL_REQUESTS, warm_count=40, warming_count=2, partial_list_share=0.5
    ),
    "small requests, half restart": replace(SMALL_REQUESTS, restart_share=0.5),
    "small requests, all restart": replace(SMALL_REQUESTS, restart_share=1.0),
    "small requests, lists flap": replace(SMALL_REQUESTS, lists_flap=True),
    "small requests, estimate too low": replace(SMALL_REQUESTS, work_factor=4.0),
    "small requests, estimate too low, 40": replace(SMALL_REQUESTS, work_factor=4.0, gateway_count=40),
}


@dataclass
class SimulationResult:
    """The load on the warming endpoints, over all seeds."""

    max_load_ratio: float
    """The most work that an endpoint was sent within one window, relative to the allowed work."""
    overloaded_share: float
    """The share of endpoints that were sent more than the allowed work within some window."""
    used_budget_share: float
    """The work sent to an endpoint during its warm-up, as a share of its budget; the mean over all runs."""


def simulate(scenario: Scenario, seeds: range) -> SimulationResult:
    """Run the scenario once with each seed."""
    loads: list[tuple[float, float]] = []
    for seed in seeds:
        simulation = Simulation(scenario, seed)
        simulation.clock.run(19 * SECOND)
        loads += simulation.warm_up_loads()
    ratios = [ratio for ratio, _ in loads]
    return SimulationResult(
        max(ratios),
        sum(ratio > 1.0 for ratio in ratios) / len(ratios),
        sum(used for _, used in loads) / len(loads),
    )


# The other scenarios are only run by hand (see the end of this file). In those with two or three gateways, or
# with an estimate for large requests that is far too low, a budget is only one or two requests. A single
# request of more than four times the mean work then exceeds it.
@pytest.mark.parametrize(
    "title",
    [
        "join, all others drain",
        "join, others stay",
        "come back after a crash",
        "many endpoints, lists differ",
        "half of the gateways restart",
        "classes differ",
        "small requests, lists differ",
        "small requests, all restart",
        "small requests, lists flap",
        "small requests, estimate too low, 40",
    ],
)
def test_warming_endpoints_are_not_overloaded(title: str) -> None:
    result = simulate(SCENARIOS[title], range(2))
    assert result.max_load_ratio <= 1.0
    assert result.used_budget_share >= 0.2  # the endpoint gets load while it warms up


def make_slow_starts(settings: Settings, warming: EndpointListUpdate, started_at_us: int) -> list[SlowStart]:
    """Return the `SlowStart` of each gateway; all gateways start at `started_at_us`."""
    slow_starts = []
    for rank in range(settings.gateway_count):
        endpoints = EndpointList(replace(settings, rank=rank))
        endpoints.apply_update(warming)
        slow_start = SlowStart(endpoints.settings, endpoints)
        slow_start.gateway_started_at_us = started_at_us
        slow_starts.append(slow_start)
    return slow_starts


@pytest.mark.parametrize("restart", (False, True))
@pytest.mark.parametrize(
    ("gateway_count", "work_us"), [(1, 1 * MS), (3, 150 * MS), (20, 15 * MS), (60, 150 * MS)]
)
def test_admitted_requests_stay_within_the_budget(gateway_count: int, work_us: int, restart: bool) -> None:
    """Each gateway sends as many requests as its `SlowStart` admits.

    If all gateways restart once, they may send `RESTART_BUDGET_SHARE` of the usable budget in addition.
    """
    base = make_settings(gateway_count=gateway_count, **LARGE_BUDGET)
    classes = tuple(replace(c, latency_objective_us=6 * work_us) for c in base.request_classes)
    settings = replace(base, request_classes=classes)
    entry = make_endpoint(1, started_at_us=BEGIN_US)
    warming = EndpointListUpdate(UpdateKind.SNAPSHOT, 1, (entry,))
    slow_starts = make_slow_starts(settings, warming, 0)
    sent = deque[int]()
    for now_us in range(BEGIN_US, BEGIN_US + settings.warm_up_us, 20 * MS):
        if restart and now_us == BEGIN_US + SECOND:
            slow_starts = make_slow_starts(settings, warming, now_us)
        factor = warm_up_factor(settings, BEGIN_US, now_us)
        budget = (
            USABLE_BUDGET_SHARE * settings.overload_multiple * factor * settings.overload_window_us / work_us
        )
        for slow_start in slow_starts:
            endpoint = slow_start.endpoints.by_id[entry.endpoint_id]
            while slow_start.admits(endpoint, factor, work_us, now_us):
                slow_start.record_sent(endpoint, work_us, now_us)
                endpoint.last_sent_at_us = now_us
                sent.append(now_us)
                while sent[0] <= now_us - settings.overload_window_us:
                    sent.popleft()
                # The time slot that is open now may add one request.
                assert len(sent) <= budget * (1.0 + RESTART_BUDGET_SHARE * restart) + 1


def test_gateway_sends_at_most_its_share_of_the_budget() -> None:
    driver = GatewayDriver(endpoints=0)
    warming = make_endpoint(0, started_at_us=driver.now_us)
    driver.deliver(EndpointListUpdate(UpdateKind.SNAPSHOT, 2, (warming,)))
    sent = sum(driver.serve_request() for _ in range(50))
    work_us = sent * driver.settings.request_classes[IDEMPOTENT].latency_objective_us / 6
    assert work_us <= 3.0 * 0.2 * SECOND / 3


def test_warm_endpoint_has_no_budget_limit() -> None:
    driver = GatewayDriver(endpoints=0)
    warm = make_endpoint(0, started_at_us=driver.now_us - driver.settings.warm_up_us)
    driver.deliver(EndpointListUpdate(UpdateKind.SNAPSHOT, 2, (warm,)))
    assert all(driver.serve_request() for _ in range(20))


def attempt_times_of_250_gateways(settings: Settings, new: Endpoint, started_at_us: int) -> list[int]:
    """Return the times at which 250 gateways send attempts to a new endpoint, one of sixty endpoints.

    Each gateway gets five requests a second for 20 s.
    """
    entries = (new, *(make_endpoint(number) for number in range(1, 60)))
    times_us: list[int] = []
    for rank in range(250):
        driver = GatewayDriver(endpoints=0, gateway_count=250, rank=rank, seed=rank, start_us=started_at_us)
        driver.deliver(EndpointListUpdate(UpdateKind.SNAPSHOT, 2, entries))
        for _ in range(100):
            for attempt in of_type(StartAttempt, driver.advance(200 * MS) + driver.send_request()[1]):
                if attempt.endpoint_id == new.endpoint_id:
                    times_us.append(driver.now_us)
                driver.end_attempt(attempt.request_id, attempt.endpoint_id)
    return sorted(times_us)


def test_250_gateways_use_a_warming_endpoint_without_overloading_it() -> None:
    """If the budget of an endpoint is divided among many gateways, each share is less than one request.

    Without time slots, no gateway would send to the endpoint before it is warm.
    """
    settings = make_settings(gateway_count=250)
    started_at_us = 77 * SECOND
    new = make_endpoint(0, started_at_us=started_at_us)
    ages_us = [at_us - started_at_us for at_us in attempt_times_of_250_gateways(settings, new, started_at_us)]
    warming = [age_us for age_us in ages_us if age_us < settings.warm_up_us]
    assert len(warming) >= 15
    initial_work_us = max(c.latency_objective_us for c in settings.request_classes) / 6
    for window_start_us in range(0, settings.warm_up_us, 100 * MS):
        window = [
            age_us
            for age_us in warming
            if window_start_us <= age_us < window_start_us + settings.overload_window_us
        ]
        factor = warm_up_factor(settings, started_at_us, started_at_us + window_start_us)
        assert (
            len(window) * initial_work_us <= settings.overload_multiple * factor * settings.overload_window_us
        )


if __name__ == "__main__":  # run by hand; arguments: the number of seeds and, optionally, a part of a title
    for title, scenario in SCENARIOS.items():
        if len(sys.argv) < 3 or sys.argv[2] in title:
            result = simulate(scenario, range(int(sys.argv[1])))
            print(
                f"{title:40} worst {result.max_load_ratio:.2f}, overloaded {result.overloaded_share:.3f},"
                f" of budget {result.used_budget_share:.3f}",
                flush=True,
            )

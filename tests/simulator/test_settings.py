"""Tests of invalid settings, and of events for an unknown request class, quota plan or request."""

from dataclasses import replace
from typing import Any

import pytest

from tests.gateway_driver import CLASSES, PLANS, GatewayDriver, make_endpoint_id, make_settings
from yardlane.decisions.events import AttemptEnded, Outcome, RequestArrived
from yardlane.decisions.gateway import Gateway
from yardlane.errors import SettingsError
from yardlane.simulator import adapter


@pytest.mark.parametrize(
    ("field", "changes"),
    [
        ("gateway_count", {"gateway_count": 0}),
        ("rank", {"rank": 3}),
        ("request_classes", {"request_classes": ()}),
        ("warm_up_us", {"warm_up_us": -1}),
        ("counter_timeout_us", {"counter_timeout_us": -5}),
        ("initial_capacity_share", {"initial_capacity_share": 0.0}),
        (
            r"request_classes\[0\].latency_objective_us",
            {"request_classes": (replace(CLASSES[0], latency_objective_us=0),)},
        ),
        (r"quota_plans\[1\].rate_per_s", {"quota_plans": (PLANS[0], replace(PLANS[1], rate_per_s=-2.0))}),
    ],
)
def test_error_for_invalid_settings_names_the_field(field: str, changes: dict[str, Any]) -> None:
    with pytest.raises(SettingsError, match=field):
        make_settings(**changes)


@pytest.mark.parametrize(
    ("field", "quota_plan", "request_class"), [("quota_plan", 9, 0), ("request_class", 0, 7)]
)
def test_error_for_an_unknown_class_or_plan_names_the_field(
    field: str, quota_plan: int, request_class: int
) -> None:
    gateway = Gateway(make_settings(), seed=1)
    with pytest.raises(SettingsError, match=field):
        gateway.handle(0, [RequestArrived(1, 5, quota_plan, request_class, 1_000_000, 1.0, 0, 3)])


def test_end_of_an_attempt_of_an_unknown_request_is_ignored() -> None:
    """An attempt ends whose request the gateway does not know.

    If this end were counted, the number of attempts in flight would be wrong from then on.
    """
    driver = GatewayDriver()
    assert driver.deliver(AttemptEnded(99, 0, make_endpoint_id(1), Outcome.OK, 1000, True)) == []
    assert driver.gateway.concurrency.in_flight == 0


def test_invalid_settings_end_the_adapter_with_a_one_line_error(
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An instance is initialized with a rank that is not lower than the number of gateways in its fleet.

    The adapter must write one line to standard error and return exit code 2, instead of raising the error.
    """

    def serve(*_: object) -> None:
        make_settings(rank=8)

    monkeypatch.setattr(adapter, "serve", serve)
    assert adapter.main() == 2
    assert capsys.readouterr().err == "yardlane: rank is 8: must be between 0 and 2\n"

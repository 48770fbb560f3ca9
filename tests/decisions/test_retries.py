"""Tests of retries, hedged requests and final answers."""

from __future__ import annotations

import pytest

from tests.gateway_driver import (
    IDEMPOTENT,
    KEYED,
    MS,
    NON_IDEMPOTENT,
    SECOND,
    GatewayDriver,
    make_endpoint,
    of_type,
)
from yardlane.decisions.actions import Action, CancelAttempt, Fail, Reject, StartAttempt
from yardlane.decisions.events import EndpointListUpdate, Outcome, RequestEnded, UpdateKind


def final_answers(actions: list[Action]) -> list[Action]:
    """Return the final answers among these actions."""
    return [action for action in actions if isinstance(action, Reject | Fail)]


def send_forwarded_request(driver: GatewayDriver, request_class: int) -> tuple[int, bytes]:
    """Send a new request, which is forwarded at once; return its id and the endpoint id of its attempt."""
    request_id, actions = driver.send_request(request_class=request_class)
    [attempt] = of_type(StartAttempt, actions)
    return request_id, attempt.endpoint_id


def test_request_without_response_fails_within_answer_grace() -> None:
    driver = GatewayDriver()
    request_id, _ = driver.send_request(request_class=NON_IDEMPOTENT, time_left_us=700 * MS)
    deadline_us = driver.now_us + 700 * MS
    driver.advance(2 * SECOND)
    answers = [(at_us, action) for at_us, action in driver.action_log if isinstance(action, Reject | Fail)]
    assert [action for _, action in answers] == [Fail(request_id)]
    assert answers[0][0] <= deadline_us + driver.settings.answer_grace_us


def test_request_gets_no_attempt_or_answer_after_client_disconnects() -> None:
    driver = GatewayDriver()
    request_id, endpoint_id = send_forwarded_request(driver, IDEMPOTENT)
    driver.deliver(RequestEnded(request_id))
    later_actions = driver.end_attempt(request_id, endpoint_id, Outcome.ERROR)
    assert not of_type(StartAttempt, later_actions) and not final_answers(later_actions)
    assert not of_type(StartAttempt, driver.advance(3 * SECOND))


def test_non_idempotent_request_is_retried_only_if_it_never_ran() -> None:
    driver = GatewayDriver()
    request_id, first_id = send_forwarded_request(driver, NON_IDEMPOTENT)
    retries = of_type(StartAttempt, driver.end_attempt(request_id, first_id, Outcome.REJECTED))
    assert len(retries) == 1 and retries[0].endpoint_id != first_id
    last_actions = driver.end_attempt(request_id, retries[0].endpoint_id, Outcome.ERROR)
    assert final_answers(last_actions) == [Fail(request_id)] and not of_type(StartAttempt, last_actions)


def test_keyed_request_that_may_have_run_is_retried_in_its_zone_and_not_rejected() -> None:
    driver = GatewayDriver(endpoints=0)
    entries = tuple(make_endpoint(number, zone=number % 2) for number in range(6))
    driver.deliver(EndpointListUpdate(UpdateKind.SNAPSHOT, 2, entries))
    zones = {entry.endpoint_id: entry.zone for entry in entries}
    for outcome in (Outcome.ERROR, Outcome.CONNECTION_LOST):
        number, first_id = send_forwarded_request(driver, KEYED)
        retries = of_type(StartAttempt, driver.end_attempt(number, first_id, outcome))
        assert len(retries) == 1 and zones[retries[0].endpoint_id] == zones[first_id]
        driver.end_attempt(number, retries[0].endpoint_id, Outcome.ERROR, attempt_index=1)
        driver.now_us += driver.settings.request_classes[KEYED].deadline_us
        driver.advance(0)
        assert not any(isinstance(action, Reject) for _, action in driver.action_log)


@pytest.mark.parametrize(
    ("request_class", "outcome", "is_bounded"),
    [(KEYED, Outcome.ERROR, True), (IDEMPOTENT, Outcome.ERROR, False), (KEYED, Outcome.REJECTED, False)],
)
def test_retry_of_keyed_request_must_be_sent_within_idempotency_window(
    request_class: int, outcome: Outcome, is_bounded: bool
) -> None:
    """A retry may be decided within the idempotency window, and its connection be established after it.

    The endpoint would then have forgotten the key, and the request would take effect twice. So the attempt
    carries the time within which it must be written.
    """
    driver = GatewayDriver()
    window_us = driver.settings.request_classes[KEYED].idempotency_window_us
    request_id, endpoint_id = send_forwarded_request(driver, request_class)
    driver.now_us += 300 * MS
    [retry] = of_type(StartAttempt, driver.end_attempt(request_id, endpoint_id, outcome))
    assert retry.send_within_us == (window_us - 300 * MS if is_bounded else 0)


def test_keyed_request_that_never_ran_is_retried_in_any_zone() -> None:
    driver = GatewayDriver(endpoints=0)
    entries = (make_endpoint(1, zone=1), make_endpoint(2, zone=2))
    driver.deliver(EndpointListUpdate(UpdateKind.SNAPSHOT, 2, entries))
    request_id, endpoint_id = send_forwarded_request(driver, KEYED)
    assert len(of_type(StartAttempt, driver.end_attempt(request_id, endpoint_id, Outcome.NOT_CONNECTED))) == 1


def test_overdue_attempt_is_cancelled_before_retry_without_hedging() -> None:
    driver = GatewayDriver(may_hedge=False)
    request_id, endpoint_id = send_forwarded_request(driver, IDEMPOTENT)
    later_actions = driver.advance(800 * MS)
    assert not of_type(StartAttempt, later_actions)
    assert of_type(CancelAttempt, later_actions) == [CancelAttempt(request_id, 0)]
    assert len(of_type(StartAttempt, driver.end_attempt(request_id, endpoint_id, Outcome.CANCELLED))) <= 1


def test_overdue_attempt_is_hedged_if_hedging_is_allowed() -> None:
    driver = GatewayDriver()
    request_id, first_id = send_forwarded_request(driver, IDEMPOTENT)
    later_actions = driver.advance(800 * MS)
    hedges = of_type(StartAttempt, later_actions)
    assert hedges and hedges[0].request_id == request_id and hedges[0].endpoint_id != first_id
    assert not of_type(CancelAttempt, later_actions)


def test_exhausted_retry_budget_prevents_retry() -> None:
    """If all endpoints fail, retries without a budget would multiply the load and prolong the overload."""
    driver = GatewayDriver()
    driver.gateway.retries.budget = 0.5
    request_id, endpoint_id = send_forwarded_request(driver, IDEMPOTENT)
    actions = driver.end_attempt(request_id, endpoint_id, Outcome.ERROR)
    assert not of_type(StartAttempt, actions) and len(final_answers(actions)) == 1

"""When an endpoint counts as failing or slow, and what is no sign of it."""

from tests.gateway_driver import (
    CAPPED,
    FREE,
    MS,
    SECOND,
    GatewayDriver,
    make_endpoint_id,
    of_type,
)
from yardlane.decisions.actions import StartAttempt
from yardlane.decisions.events import Outcome


def test_a_hung_server_is_left_before_its_time_out() -> None:
    desk = GatewayDriver(servers=4)
    hung = make_endpoint_id(1)
    for n in range(400):
        number, actions = desk.ask(quota_plan=FREE)
        for send in of_type(StartAttempt, actions):
            if send.endpoint_id != hung:
                desk.end(number, send.endpoint_id, elapsed_us=60 * MS)
        desk.run(20 * MS)
        if n == 200:
            desk.log.clear()
    late = [a for _, a in desk.log if isinstance(a, StartAttempt) and a.endpoint_id == hung]
    assert len(late) <= 0.1 * 200


def test_a_server_that_fails_fast_gets_trials_only() -> None:
    """Lost: with the others full it had room at once and drew most of the traffic."""
    desk = GatewayDriver(servers=4)
    bad = make_endpoint_id(2)
    for _ in range(600):
        _, actions = desk.ask(quota_plan=FREE)
        todo = of_type(StartAttempt, actions)
        while todo:
            send = todo.pop()
            if send.endpoint_id == bad:
                todo += of_type(
                    StartAttempt, desk.end(send.request_id, bad, Outcome.NOT_CONNECTED, elapsed_us=MS)
                )
        desk.run(5 * MS)
    tries = [a for _, a in desk.log if isinstance(a, StartAttempt) and a.endpoint_id == bad]
    assert len(tries) <= 20


def test_a_client_with_little_time_is_no_mark_against_a_server() -> None:
    desk = GatewayDriver(servers=1)
    for _ in range(6):
        number, actions = desk.ask(quota_plan=FREE, time_left_us=60 * MS)
        desk.end(number, of_type(StartAttempt, actions)[0].endpoint_id, Outcome.TIMED_OUT, elapsed_us=60 * MS)
    assert not any(desk.gateway.endpoints.by_id[make_endpoint_id(0)].failure_rates.values())


def test_a_gateway_that_stood_still_shuns_no_server_for_it() -> None:
    """Lost: after a pause of its own every answer looked two seconds late and marked its server."""
    desk = GatewayDriver(servers=3, gateway_count=100)
    sent = [of_type(StartAttempt, desk.ask(quota_plan=FREE)[1]) for _ in range(2)]
    before = {n: (s.latency_ratio, s.failure_rates.copy()) for n, s in desk.gateway.endpoints.by_id.items()}
    desk.now += 2 * SECOND  # nobody woke it
    for send in (a for actions in sent for a in actions):
        desk.end(send.request_id, send.endpoint_id, Outcome.TIMED_OUT, elapsed_us=2 * SECOND)
    assert sum(len(actions) for actions in sent) > 0
    assert before == {
        n: (s.latency_ratio, s.failure_rates.copy()) for n, s in desk.gateway.endpoints.by_id.items()
    }


def test_a_server_full_for_one_plan_is_left_by_that_plan_only() -> None:
    """Lost: servers that turned one plan away as full were left by all plans, and the rest ran over."""
    desk = GatewayDriver(servers=1)
    for _ in range(5):
        for plan_ in (FREE, CAPPED):
            for send in of_type(StartAttempt, desk.ask(tenant=plan_, quota_plan=plan_)[1]):
                desk.end(send.request_id, send.endpoint_id, Outcome.REJECTED if plan_ == FREE else Outcome.OK)
    bad = desk.gateway.endpoints.by_id[make_endpoint_id(0)].failure_rates
    assert (
        bad[desk.settings.quota_plans[FREE]] > 0.2
        and bad[None] == bad[desk.settings.quota_plans[CAPPED]] == 0.0
    )

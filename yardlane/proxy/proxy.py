"""Serves the clients' requests: notifies the decisions, and carries out what they decide.

A request ends in one place, `Proxy._end_request`: by a response, by `Reject` or `Fail`, by its client's
leaving, or, where the decisions let its time pass, by its watchdog timer. It is forgotten once all its
attempts have ended and the decisions have been notified of that.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from functools import partial
from typing import Any

from yardlane.config import Address, Config
from yardlane.decisions.actions import (
    Action,
    AddToCounter,
    CancelAttempt,
    Fail,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from yardlane.decisions.decider import Decider
from yardlane.decisions.events import (
    AttemptEnded,
    CounterResult,
    EndpointListUpdate,
    EndpointState,
    Outcome,
    RequestArrived,
    RequestEnded,
    TimerFired,
    UpdateKind,
)
from yardlane.proxy.attempt import Attempt
from yardlane.proxy.client_request import ClientRequest
from yardlane.proxy.client_response import Status, retry_after_line
from yardlane.proxy.clock import Clock, call_after
from yardlane.proxy.counter_client import CounterClient
from yardlane.proxy.decision_loop import DecisionLoop
from yardlane.proxy.endpoint_addresses import addresses_after
from yardlane.proxy.endpoint_decoder import Addresses
from yardlane.proxy.request_in_flight import RequestInFlight
from yardlane.proxy.request_validation import ParsedRequest
from yardlane.proxy.response import UpstreamResponse
from yardlane.proxy.upstream_pool import UpstreamPool

log = logging.getLogger("yardlane.proxy.proxy")

FAILED_BODY = b"failed\n"
REJECTED_BODY = b"refused: try again\n"
SHUTDOWN_BODY = b"shutting down\n"
MIN_TIME_LEFT_US = 1


class Proxy:
    """Transport for one `Decider`: it decides nothing itself."""

    def __init__(
        self, config: Config, decider: Decider, pool: UpstreamPool, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.settings = config.settings
        self.pool = pool
        self.loop = loop
        self.clock = Clock()
        self.decision_loop = DecisionLoop(decider, self, self.clock, loop)
        self.post = self.decision_loop.post
        self.counter: CounterClient | None = None
        if config.counter is not None:
            self.counter = CounterClient(config.counter, self.settings.counter_timeout_us, self.post, loop)
        self.requests: dict[int, RequestInFlight] = {}
        self.last_request_id = 0
        self.addresses: Addresses = {}
        self.has_endpoint_list = False
        self.drain_deadline_us = 0  # when all must be answered; 0 while in service
        self.action_handlers: dict[type, Callable[[Any], None]] = {
            StartAttempt: self._start_attempt,
            CancelAttempt: self._cancel_attempt,
            Reject: self._reject,
            Fail: self._fail,
            AddToCounter: self._add_to_counter,
            SetTimer: self._set_timer,
            WatchEndpoints: lambda _: None,  # the watch always runs
        }

    # From the clients

    def handle_request(self, client_request: ClientRequest, parsed: ParsedRequest) -> None:
        """A valid request of a client."""
        now_us = self.clock.now_us()
        time_left_us = parsed.time_left_us
        if self.drain_deadline_us:
            time_left_us = max(MIN_TIME_LEFT_US, min(time_left_us, self.drain_deadline_us - now_us))
        self.last_request_id += 1
        request_id = self.last_request_id
        client_request.request_id = request_id
        request = RequestInFlight(client_request, parsed, now_us + time_left_us)
        self.requests[request_id] = request
        watchdog_delay_us = time_left_us + self.settings.answer_grace_us
        request.watchdog_timer = call_after(
            self.loop, watchdog_delay_us, self._on_watchdog_expired, request_id
        )
        self.post(
            RequestArrived(
                request_id,
                parsed.tenant,
                parsed.quota_plan,
                parsed.request_class,
                time_left_us,
                parsed.units,
                parsed.first_gateway,
                parsed.gateway_count,
                parsed.is_retry,
                parsed.is_write,
            )
        )

    def on_client_disconnected(self, client_request: ClientRequest) -> None:
        """The client has left; attempts that may have run go on and still count as in flight."""
        self._end_without_decision(client_request.request_id)

    def abandon_request(self, client_request: ClientRequest) -> None:
        """The connection ends and cannot wait for the answer; attempts go on as above."""
        self._end_without_decision(client_request.request_id, Status.BAD_GATEWAY, FAILED_BODY)

    def is_ready(self) -> bool:
        """Whether there is an endpoint list; a cached one counts once a poll of discovery has failed."""
        return self.has_endpoint_list

    # From discovery and the configuration

    def apply_update(self, update: EndpointListUpdate, addresses: Addresses) -> None:
        """A change of the endpoint list, with the addresses that could be read."""
        if update.kind is not UpdateKind.CACHED:
            self.has_endpoint_list = True
        old_addresses = self.addresses
        self.addresses = addresses_after(old_addresses, update, addresses)
        # Posted before the attempts that end by it, so that no retry goes to an endpoint that drains as well.
        self.post(update)
        for endpoint_id, address in old_addresses.items():
            if self.addresses.get(endpoint_id) != address:
                self.pool.remove_endpoint(endpoint_id)
        for endpoint in update.endpoints:
            if endpoint.state is not EndpointState.READY:
                self.pool.drain_endpoint(endpoint.endpoint_id)

    def on_poll_failed(self) -> None:
        """No list came of a poll: the cached one must do, though it may name what has long gone."""
        self.has_endpoint_list = self.has_endpoint_list or bool(self.addresses)

    def set_counter_address(self, address: Address | None) -> None:
        """The counter has another address; None changes nothing."""
        if self.counter is not None and address is not None:
            self.counter.move(address)

    def drain(self, deadline_us: int) -> None:
        """Answer by then all requests in flight, and all that still come."""
        self.drain_deadline_us = deadline_us
        call_after(self.loop, deadline_us - self.clock.now_us(), self._end_all_requests)

    def _end_all_requests(self) -> None:
        for request_id in list(self.requests):
            self._end_without_decision(request_id, Status.INTERNAL_SERVER_ERROR, SHUTDOWN_BODY)

    # The end of a request

    def _end_request(self, request: RequestInFlight) -> None:
        """The one place where a request ends. Attempts that may have run go on; the others are not sent."""
        request.has_ended = True
        if request.watchdog_timer is not None:
            request.watchdog_timer.cancel()
        for attempt in request.attempts:
            if not attempt.may_have_run():
                attempt.finish(Outcome.NOT_SENT)

    def _end_without_decision(self, request_id: int, status: int = 0, body: bytes = b"") -> None:
        """End a request without a decision, and notify the decisions. Without a status it gets no answer."""
        request = self.requests.get(request_id)
        if request is None or request.has_ended:
            return
        if status:
            request.client_request.reply(status, body)
        self._end_request(request)
        if not request.attempts_in_flight:
            self.decision_loop.forget_after_turn(request_id)
        self.post(RequestEnded(request_id))

    def _end_by_decision(self, request_id: int, request: RequestInFlight) -> None:
        """End a request by a decision, of which the decisions need no notice."""
        self._end_request(request)
        if not request.attempts_in_flight:
            self.forget_request(request_id)

    def _on_watchdog_expired(self, request_id: int) -> None:
        """A request's time and its grace are over. The decisions may still answer first.

        Where the process stood still, their own timer is due only now, and a rejection of theirs tells the
        client more than a failure. So they get a turn, and the watchdog answers behind it.
        """
        self.decision_loop.schedule_turn()
        self.loop.call_soon(self._fail_if_unanswered, request_id)

    def _fail_if_unanswered(self, request_id: int) -> None:
        """The decisions have let the request's time pass; its client is still owed an answer."""
        request = self.requests.get(request_id)
        if request is not None and not request.has_ended:
            trace_id = request.parsed.trace_id.decode("latin-1")
            log.error("request %s (internal number %d) was left unanswered", trace_id, request_id)
            self.fail_request(request_id)

    # For the decision loop

    def apply(self, action: Action) -> None:
        """Carry out one action."""
        handler = self.action_handlers.get(type(action))
        if handler is None:  # one that the gateway never asks for
            log.warning("no handler for action %s", type(action).__name__)
        else:
            handler(action)

    def fail_request(self, request_id: int) -> None:
        """Give the request its final answer where the decisions do not."""
        self._end_without_decision(request_id, Status.INTERNAL_SERVER_ERROR, FAILED_BODY)

    def forget_request(self, request_id: int) -> None:
        """The decisions refer to the request no more."""
        self.requests.pop(request_id, None)

    # Attempts

    def _start_attempt(self, action: StartAttempt) -> None:
        """Each `StartAttempt` of a known request gets one `AttemptEnded`, also where nothing is sent.

        One function for all steps, as it runs for each attempt and a call costs time: register the attempt,
        find what forbids it, fill it in, hand it to the pool.
        """
        request = self.requests.get(action.request_id)
        if request is None:
            log.error("an attempt for a request (internal number %d) not in flight", action.request_id)
            return
        now_us = self.clock.now_us()
        attempt_index = len(request.attempts)
        attempt = Attempt(
            action.request_id, attempt_index, action.endpoint_id, now_us, self._on_attempt_finished
        )
        request.attempts.append(attempt)
        request.attempts_in_flight += 1
        if not request.has_ended:
            request.client_request.connection.close_if_client_disconnected()  # ends the request if so
        address = self.addresses.get(action.endpoint_id)
        time_left_us = request.deadline_us - now_us
        if action.timeout_us > 0:
            time_left_us = min(time_left_us, action.timeout_us)
        # The decisions keep `max_attempts` themselves. A faulty decider that retries without end would flood
        # the upstreams until the deadline; here its attempts beyond the limit end as NOT_SENT.
        is_allowed = time_left_us > 0 and attempt_index < self.settings.max_attempts
        if request.has_ended or address is None or not is_allowed:
            attempt.finish(Outcome.NOT_SENT)
            return
        attempt.address = address
        attempt.request_bytes = request.encode(time_left_us)
        attempt.deadline_timer = call_after(self.loop, time_left_us, attempt.on_deadline)
        # A connection may come up long after the attempt's start: its client must still be there.
        attempt.on_connected = request.client_request.connection.close_if_client_disconnected
        if action.send_within_us:
            self._set_send_deadline(attempt, action.send_within_us)
        self.pool.send(attempt)

    def _set_send_deadline(self, attempt: Attempt, send_within_us: int) -> None:
        """The last byte must not be sent later: an upstream forgets an idempotency key after a time."""
        send_by_us = attempt.started_at_us + send_within_us
        attempt.on_connected = partial(self._on_connected, attempt, send_by_us, attempt.on_connected)
        attempt.send_deadline_timer = call_after(self.loop, send_within_us, attempt.on_send_deadline)

    def _on_connected(self, attempt: Attempt, send_by_us: int, next_callback: Callable[[], object]) -> None:
        """The clock is asked too: where the process stood still, the timer is over and has not fired yet."""
        if self.clock.now_us() > send_by_us:
            attempt.on_send_deadline()
        else:
            next_callback()

    def _on_attempt_finished(
        self, attempt: Attempt, outcome: Outcome, response: UpstreamResponse | None
    ) -> None:
        """An attempt's one end. The first good response goes to the client and is final."""
        request = self.requests[attempt.request_id]
        request.attempts_in_flight -= 1
        if outcome is Outcome.OK and response is not None and not request.has_ended:
            content_type = response.content_type
            header_line = b"Content-Type: " + content_type + b"\r\n" if content_type else b""
            request.client_request.reply(Status.OK, response.body, header_line)
            self._end_request(request)
        if request.has_ended and not request.attempts_in_flight:
            self.decision_loop.forget_after_turn(attempt.request_id)
        self.post(
            AttemptEnded(
                attempt.request_id,
                attempt.attempt_index,
                attempt.endpoint_id,
                outcome,
                self.clock.now_us() - attempt.started_at_us,
                request.has_ended,
                response.usage_percent if response else None,
                response.load_report if response else None,
            )
        )

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        request = self.requests.get(action.request_id)
        if request is not None and 0 <= action.attempt_index < len(request.attempts):
            request.attempts[action.attempt_index].cancel()

    # Answers without a response

    def _reject(self, action: Reject) -> None:
        request = self.requests.get(action.request_id)
        if request is None or request.has_ended:
            return
        # The decisions bound this themselves. A faulty decider could name a longer time, or one at all where
        # the settings forbid the header; a client would stay away for as long.
        retry_after_us = 0
        if self.settings.may_send_retry_after:
            retry_after_us = min(action.retry_after_us, self.settings.max_retry_after_us)
        was_attempted = bool(request.attempts)
        status = Status.SERVICE_UNAVAILABLE if was_attempted else Status.TOO_MANY_REQUESTS
        request.client_request.reply(status, REJECTED_BODY, retry_after_line(retry_after_us))
        self._end_by_decision(action.request_id, request)

    def _fail(self, action: Fail) -> None:
        request = self.requests.get(action.request_id)
        if request is None or request.has_ended:
            return
        request.client_request.reply(Status.BAD_GATEWAY, FAILED_BODY)
        self._end_by_decision(action.request_id, request)

    # Counter and timers

    def _add_to_counter(self, action: AddToCounter) -> None:
        if self.counter is None:
            self.post(CounterResult(action.counter_key, Outcome.NOT_CONNECTED, 0.0, 0))
            return
        self.counter.add(action)

    def _set_timer(self, action: SetTimer) -> None:
        self._post_when_due(self.clock.now_us() + action.delay_us, TimerFired(action.token))

    def _post_when_due(self, due_us: int, event: TimerFired) -> None:
        """The loop's timers may fire up to a millisecond early; the decisions would then
        find nothing due.
        """
        left_us = due_us - self.clock.now_us()
        if left_us > 0:
            call_after(self.loop, left_us, self._post_when_due, due_us, event)
        else:
            self.post(event)

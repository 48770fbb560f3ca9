"""Serves the requests of clients: passes events to the decider and carries out the actions that it returns.

Every request ends in `Proxy._end_request`, for one of these reasons:

- An upstream has sent an OK response.
- The decider has returned a `Reject` or a `Fail`.
- The client has disconnected, or a request timeout closes its connection.
- The graceful shutdown has reached its deadline.
- The decider has raised an exception, or has not answered before the watchdog timer fired.
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
from yardlane.proxy.endpoint_addresses import (
    Starts,
    addresses_after,
    restarted_endpoints,
    starts_after,
)
from yardlane.proxy.endpoint_decoder import Addresses
from yardlane.proxy.request_in_flight import RequestInFlight
from yardlane.proxy.request_validation import ParsedRequest
from yardlane.proxy.response import UpstreamResponse
from yardlane.proxy.upstream_pool import UpstreamPool

log = logging.getLogger("yardlane.proxy.proxy")

FAILED_BODY = b"failed\n"
REJECTED_BODY = b"refused: try again\n"
SHUTDOWN_BODY = b"shutting down\n"
MIN_TIME_LEFT_US = 1  # the time left of a request that arrives after the deadline of the graceful shutdown


class Proxy:
    """Connects one `Decider` to the sockets of clients and upstreams; makes no decisions itself."""

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
        # The trace ids of `requests`. A request that comes again while an attempt of the first one is in
        # flight would run twice, also if its first client has left. An id is released only with its request.
        self.open_trace_ids: set[bytes] = set()
        self.last_request_id = 0
        self.endpoint_addresses: Addresses = {}
        self.endpoint_starts: Starts = {}
        self.has_usable_endpoint_list = False  # for a cached list, see `on_poll_failed`
        self.drain_deadline_us = 0  # when all requests must be answered; 0 before the graceful shutdown
        self.action_handlers: dict[type, Callable[[Any], None]] = {
            StartAttempt: self._start_attempt,
            CancelAttempt: self._cancel_attempt,
            Reject: self._reject,
            Fail: self._fail,
            AddToCounter: self._add_to_counter,
            SetTimer: self._set_timer,
            WatchEndpoints: lambda _: None,  # the endpoint list is always watched
        }

    # Called by the client connections

    def handle_request(self, client_request: ClientRequest, parsed: ParsedRequest) -> None:
        """Register a valid request, start its watchdog timer, and notify the decider of its arrival."""
        now_us = self.clock.now_us()
        time_left_us = parsed.time_left_us
        if self.drain_deadline_us:
            time_left_us = max(MIN_TIME_LEFT_US, min(time_left_us, self.drain_deadline_us - now_us))
        self.last_request_id += 1
        request_id = self.last_request_id
        client_request.request_id = request_id
        request = RequestInFlight(client_request, parsed, now_us + time_left_us)
        self.requests[request_id] = request
        self.open_trace_ids.add(parsed.trace_id)
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
        """Called when the client of a request has disconnected; ends the request without an answer."""
        self._end_without_decision(client_request.request_id)

    def abandon_request(self, client_request: ClientRequest) -> None:
        """Fail a request with status 502, because a request timeout is about to close its connection."""
        self._end_without_decision(client_request.request_id, Status.BAD_GATEWAY, FAILED_BODY)

    def is_ready(self) -> bool:
        """Return whether there is an endpoint list with which the health check may pass.

        A cached list counts only if it has an address, and only after a poll of discovery has failed.
        """
        return self.has_usable_endpoint_list

    # Called by discovery, on a reload of the configuration and on the graceful shutdown

    def apply_update(self, update: EndpointListUpdate, addresses: Addresses) -> None:
        """Apply an update of the endpoint list; `addresses` holds the addresses decoded from it."""
        if update.kind is not UpdateKind.CACHED:
            self.has_usable_endpoint_list = True
        old_addresses = self.endpoint_addresses
        old_starts = self.endpoint_starts
        self.endpoint_addresses = addresses_after(old_addresses, update, addresses)
        self.endpoint_starts = starts_after(old_starts, update)
        # The update is posted before the `AttemptEnded` events of the attempts that it ends. Otherwise, the
        # decider could send a retry to another endpoint that the same update marks as draining.
        self.post(update)
        for endpoint_id, address in old_addresses.items():
            if self.endpoint_addresses.get(endpoint_id) != address:
                self.pool.remove_endpoint(endpoint_id)
        for endpoint_id in restarted_endpoints(old_starts, self.endpoint_starts):
            self.pool.restart_endpoint(endpoint_id, self.endpoint_starts[endpoint_id])
        for endpoint in update.endpoints:
            if endpoint.state is not EndpointState.READY:
                self.pool.drain_endpoint(endpoint.endpoint_id)

    def on_poll_failed(self) -> None:
        """Called when a poll of discovery has failed; the cached list, if any, now counts for `is_ready`.

        It does not count earlier, because it may name endpoints that no longer exist. However, the decider
        has the cached list from the start, and requests that arrive earlier are forwarded according to it.
        """
        self.has_usable_endpoint_list = self.has_usable_endpoint_list or bool(self.endpoint_addresses)

    def change_counter_address(self, address: Address | None) -> None:
        """Use the shared counter at `address` from now on.

        Do nothing if the address is None or the proxy was started without a shared counter.
        """
        if self.counter is not None and address is not None:
            self.counter.change_address(address)

    def drain(self, deadline_us: int) -> None:
        """Answer all requests by `deadline_us`, including those that have yet to arrive.

        Requests that are unanswered at that time fail with status 500.
        """
        self.drain_deadline_us = deadline_us
        call_after(self.loop, deadline_us - self.clock.now_us(), self._end_all_requests)

    def _end_all_requests(self) -> None:
        for request_id in list(self.requests):
            self._end_without_decision(request_id, Status.INTERNAL_SERVER_ERROR, SHUTDOWN_BODY)

    # Ending requests

    def _end_request(self, request: RequestInFlight) -> None:
        """Mark the request as ended, after its answer if it gets one; no other function does this.

        Attempts that the upstream may have begun to process continue and still count as in flight. The others
        end as NOT_SENT, even if a part of the request has been sent.
        """
        request.has_ended = True
        request.discard_message()
        if request.watchdog_timer is not None:
            request.watchdog_timer.cancel()
        for attempt in request.attempts:
            if not attempt.may_have_run():
                attempt.finish(Outcome.NOT_SENT)

    def _end_without_decision(self, request_id: int, status: int = 0, body: bytes = b"") -> None:
        """End a request without a decision and notify the decider; do nothing if it has already ended.

        The client gets no answer if `status` is 0.
        """
        request = self.requests.get(request_id)
        if request is None or request.has_ended:
            return
        if status:
            request.client_request.reply(status, body)
        self._end_request(request)
        if not request.attempts_in_flight:
            self.decision_loop.forget_after_next_call(request_id)
        self.post(RequestEnded(request_id))

    def _end_by_decision(self, request_id: int, request: RequestInFlight) -> None:
        """End a request by a decision of the decider, which therefore needs no notification."""
        self._end_request(request)
        if not request.attempts_in_flight:
            self.forget_request(request_id)

    def _on_watchdog_expired(self, request_id: int) -> None:
        """Called when the deadline of a request and the grace period after it have passed.

        The decider is called once more first, because its own timer may be due but not have fired yet after a
        stall of the process. If it rejects the request, the client learns that it may safely retry, which a
        failure does not tell it. The request fails if it is still unanswered after that.
        """
        self.decision_loop.schedule_call()
        self.loop.call_soon(self._fail_if_unanswered, request_id)

    def _fail_if_unanswered(self, request_id: int) -> None:
        """Fail the request if the decider has not answered it, because its client must get an answer."""
        request = self.requests.get(request_id)
        if request is not None and not request.has_ended:
            trace_id = request.parsed.trace_id.decode("latin-1")
            log.error(
                "the decider did not answer the request with trace id %s (request id %d) in time;"
                " answering with status 500",
                trace_id,
                request_id,
            )
            self.fail_request(request_id)

    # Called by the decision loop

    def apply(self, action: Action) -> None:
        """Carry out one action."""
        handler = self.action_handlers.get(type(action))
        if handler is None:  # `Gateway`, the decider in use, never returns such an action
            log.warning("ignoring action %s: the proxy has no handler for it", type(action).__name__)
        else:
            handler(action)

    def fail_request(self, request_id: int) -> None:
        """Fail the request with status 500: the decider has not answered it, or has raised an exception."""
        self._end_without_decision(request_id, Status.INTERNAL_SERVER_ERROR, FAILED_BODY)

    def forget_request(self, request_id: int) -> None:
        """Forget the request, to which the decider no longer refers, and release its trace id."""
        request = self.requests.pop(request_id, None)
        if request is not None:
            self.open_trace_ids.discard(request.parsed.trace_id)

    # Attempts

    def _start_attempt(self, action: StartAttempt) -> None:
        """Start an attempt. For a known request, exactly one `AttemptEnded` follows, even if nothing is sent.

        This is one function, because it runs for each attempt and every further call would cost time.
        """
        request = self.requests.get(action.request_id)
        if request is None:
            log.error("ignoring a StartAttempt for request id %d, which is not in flight", action.request_id)
            return
        now_us = self.clock.now_us()
        attempt_index = len(request.attempts)
        attempt = Attempt(
            action.request_id, attempt_index, action.endpoint_id, now_us, self._on_attempt_ended
        )
        request.attempts.append(attempt)
        request.attempts_in_flight += 1
        if not request.has_ended:
            request.client_request.connection.close_if_client_disconnected()  # this may end the request
        address = self.endpoint_addresses.get(action.endpoint_id)
        time_left_us = request.deadline_us - now_us
        if action.timeout_us > 0:  # 0: no timeout of its own
            time_left_us = min(time_left_us, action.timeout_us)
        # The decider respects `max_attempts` itself. But a faulty decider that retried without end would
        # flood the upstreams until the deadline, so attempts beyond the limit end as NOT_SENT here.
        is_allowed = time_left_us > 0 and attempt_index < self.settings.max_attempts
        if request.has_ended or address is None or not is_allowed:
            attempt.finish(Outcome.NOT_SENT)
            return
        attempt.address = address
        attempt.request_bytes = request.encode(time_left_us)
        attempt.deadline_timer = call_after(self.loop, time_left_us, attempt.on_deadline)
        # Establishing a connection may take long, so the client is checked again after it.
        attempt.on_connected = request.client_request.connection.close_if_client_disconnected
        if action.send_within_us:  # 0: no limit
            self._set_send_deadline(attempt, action.send_within_us)
        self.pool.send(attempt)

    def _set_send_deadline(self, attempt: Attempt, send_within_us: int) -> None:
        """Set timers and checks that end the attempt if it is not sent completely within `send_within_us`.

        An upstream forgets an idempotency key after some time, so the request must not be sent later.
        """
        send_by_us = attempt.started_at_us + send_within_us
        attempt.on_connected = partial(self._on_connected, attempt, send_by_us, attempt.on_connected)
        attempt.send_deadline_timer = call_after(self.loop, send_within_us, attempt.on_send_deadline)

    def _on_connected(self, attempt: Attempt, send_by_us: int, next_callback: Callable[[], object]) -> None:
        """Called when the connection of an attempt with a send deadline has been established.

        Ends the attempt if its send deadline has passed. The clock is checked in addition to the timer,
        because the timer may be due but not have fired yet after a stall of the process.
        """
        if self.clock.now_us() > send_by_us:
            attempt.on_send_deadline()
        else:
            next_callback()

    def _on_attempt_ended(
        self, attempt: Attempt, outcome: Outcome, response: UpstreamResponse | None
    ) -> None:
        """Called once for each attempt, when it has ended; sends the first OK response to the client."""
        request = self.requests[attempt.request_id]
        request.attempts_in_flight -= 1
        if outcome is Outcome.OK and response is not None and not request.has_ended:
            content_type = response.content_type
            header_line = b"Content-Type: " + content_type + b"\r\n" if content_type else b""
            request.client_request.reply(Status.OK, response.body, header_line)
            self._end_request(request)
        if request.has_ended and not request.attempts_in_flight:
            self.decision_loop.forget_after_next_call(attempt.request_id)
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

    # Final answers without an upstream response

    def _reject(self, action: Reject) -> None:
        """Answer the request with 503 if any attempt was started, else with 429."""
        request = self.requests.get(action.request_id)
        if request is None or request.has_ended:
            return
        # The decider respects these limits itself. But a faulty decider could return a longer delay, or a
        # delay although the settings forbid the header, and clients would send nothing for that time.
        retry_after_us = 0
        if self.settings.may_send_retry_after:
            retry_after_us = min(action.retry_after_us, self.settings.max_retry_after_us)
        was_attempted = bool(request.attempts)
        status = Status.SERVICE_UNAVAILABLE if was_attempted else Status.TOO_MANY_REQUESTS
        request.client_request.reply(status, REJECTED_BODY, retry_after_line(retry_after_us))
        self._end_by_decision(action.request_id, request)

    def _fail(self, action: Fail) -> None:
        """Answer the request with 502."""
        request = self.requests.get(action.request_id)
        if request is None or request.has_ended:
            return
        request.client_request.reply(Status.BAD_GATEWAY, FAILED_BODY)
        self._end_by_decision(action.request_id, request)

    # Shared counter and timers

    def _add_to_counter(self, action: AddToCounter) -> None:
        if self.counter is None:
            self.post(CounterResult(action.counter_key, Outcome.NOT_CONNECTED, 0.0, 0))
            return
        self.counter.add(action)

    def _set_timer(self, action: SetTimer) -> None:
        self._post_when_due(self.clock.now_us() + action.delay_us, TimerFired(action.token))

    def _post_when_due(self, due_us: int, event: TimerFired) -> None:
        """Post the event at `due_us` or later, never earlier.

        The event loop's timers may fire up to a millisecond early. The decider would then find no callback
        due and set no further timer.
        """
        left_us = due_us - self.clock.now_us()
        if left_us > 0:
            call_after(self.loop, left_us, self._post_when_due, due_us, event)
        else:
            self.post(event)

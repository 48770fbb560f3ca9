"""The loop round the decision module: events in, actions out, and the books of what is open."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any

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
    Event,
    Outcome,
    RequestArrived,
    RequestEnded,
    TimerFired,
    UpdateKind,
)
from yardlane.proxy.attempt import Attempt
from yardlane.proxy.response import UpstreamResponse
from yardlane.proxy.upstream_pool import UpstreamPool
from yardlane.proxy.client_request import ClientRequest
from yardlane.proxy.client_response import retry_after_line
from yardlane.config import Address, Config
from yardlane.proxy.counter_client import CounterClient
from yardlane.proxy.request_validation import ParsedRequest

log = logging.getLogger("yardlane.proxy.proxy")

RESCUE_PAUSE = 10_000  # µs after a failed decision: one that fails each time must not spin


class Clock:
    """Whole microseconds that never go back and agreed with Unix time at the start."""

    def __init__(self) -> None:
        self.offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return (time.monotonic_ns() + self.offset) // 1000


class Batch(list[Event]):
    """Events that tell how far a reader got, so that one that fails does not take the others along."""

    read = 0

    def __iter__(self) -> Iterator[Event]:
        for n in range(len(self)):
            self.read = n + 1
            yield self[n]


class Open:
    """A request in the books: until it has ended, none of its attempts is out and the module knows."""

    __slots__ = ("attempts", "client", "final", "gives_up", "guard", "out", "parsed")

    def __init__(self, client: ClientRequest, parsed: ParsedRequest, gives_up: int) -> None:
        self.client, self.parsed, self.gives_up = client, parsed, gives_up
        self.attempts: list[Attempt] = []
        self.out = 0
        self.final = False
        self.guard: asyncio.TimerHandle | None = None


class Proxy:
    """Transport for one `Decider`."""

    def __init__(
        self, config: Config, decider: Decider, pool: UpstreamPool, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.config, self.decider, self.pool, self.loop = config, decider, pool, loop
        self.settings = config.settings
        self.clock = Clock()
        self.counter: CounterClient | None = None
        if config.counter is not None:
            self.counter = CounterClient(config.counter, self.settings.counter_timeout_us, self.post, loop)
        self.requests: dict[int, Open] = {}
        self.unanswered = 0
        self.closed: list[int] = []  # requests whose end the module hears of in the next turn
        self.last_number = 0
        self.places: dict[bytes, Address] = {}
        self.events = Batch()
        self.scheduled = self.list_known = False
        self.drain_by = 0  # when all must be answered; 0 while in service
        self.actions: dict[type, Callable[[Any], None]] = {
            StartAttempt: self._send,
            CancelAttempt: self._cancel,
            Reject: self._refuse,
            Fail: self._fail,
            AddToCounter: self._count,
            SetTimer: self._wake,
            WatchEndpoints: lambda _: None,  # the watch always runs
        }

    # Events in

    def post(self, event: Event) -> None:
        """Queue an event for the next turn."""
        self.events.append(event)
        if not self.scheduled:
            self.scheduled = True
            self.loop.call_soon(self._turn)

    def _turn(self) -> None:
        events, self.events = self.events, Batch()
        closed, self.closed = self.closed, []
        self.scheduled = False
        try:
            actions = self.decider.handle(self.clock.now(), events)
        except Exception:
            log.exception("a decision failed")
            actions = self._rescue(events)
            closed, self.closed = [], closed + self.closed  # it may not have read so far
        for action in actions:
            try:
                self._apply(action)
            except Exception:  # guards the others: one action's failure is its own
                log.exception("%r failed", action)
        for number in closed:  # not before: what it sends before it hears of the end is owed an end too
            self.requests.pop(number, None)

    def _rescue(self, events: Batch) -> list[Action]:
        """One event failed: its request fails, what was decided before it stands, the rest goes on."""
        if events.read and (number := getattr(events[events.read - 1], "request_id", None)) is not None:
            self._leave(number, lambda client: client.reply(500, b"failed\n"))
        for event in events[events.read :]:
            self.post(event)
        self._after(RESCUE_PAUSE, self.post, TimerFired(0))  # what was due may have been left undone
        return list(self.decider.actions)

    def handle_request(self, client: ClientRequest, parsed: ParsedRequest) -> None:
        """A well-formed request of a client."""
        now = self.clock.now()
        left = parsed.time_left_us
        if self.drain_by:
            left = max(1, min(left, self.drain_by - now))
        self.last_number += 1
        client.request_id = number = self.last_number
        request = self.requests[number] = Open(client, parsed, now + left)
        self.unanswered += 1
        request.guard = self._after(left + self.settings.answer_grace_us, self._overdue, number)
        self.post(
            RequestArrived(
                number,
                parsed.tenant,
                parsed.quota_plan,
                parsed.request_class,
                left,
                parsed.units,
                parsed.first_gateway,
                parsed.gateway_count,
                parsed.is_retry,
                parsed.is_write,
            )
        )

    def on_client_disconnected(self, client: ClientRequest) -> None:
        """The client left; attempts that are written go on and still count as out."""
        self._leave(client.request_id)

    def abandon_request(self, client: ClientRequest) -> None:
        """Its connection ends and cannot wait for it; what is written goes on and counts, as above."""
        self._leave(client.request_id, lambda client: client.reply(502, b"failed\n"))

    def can_serve(self) -> bool:
        return self.list_known

    def listed(self, told: EndpointListUpdate, places: dict[bytes, Address]) -> None:
        """News of the list."""
        if told.kind is not UpdateKind.CACHED:
            self.list_known = True
        old = self.places
        whole = told.kind is not UpdateKind.DELTA
        self.places = dict(places) if whole else {**old, **places}
        for entry in told.endpoints:
            if entry.state is EndpointState.REMOVED:
                self.places.pop(entry.endpoint_id, None)
            elif (
                entry.endpoint_id not in places and entry.endpoint_id in old
            ):  # no address that can be read: it drains
                self.places[entry.endpoint_id] = old[entry.endpoint_id]  # and what is open there goes on
        self.post(told)  # before what ends by it, so that nothing turns to another that drains as well
        for server, place in old.items():
            if self.places.get(server) != place:  # moved or gone
                self.pool.remove_endpoint(server)
        for entry in told.endpoints:
            if entry.state is not EndpointState.READY:
                self.pool.drain_endpoint(entry.endpoint_id)

    def unheard(self) -> None:
        """Discovery is silent: what is remembered must do. Until then it may name what has long gone."""
        self.list_known = self.list_known or bool(self.places)

    def recount(self, address: Address | None) -> None:
        """The counter has another address."""
        if self.counter is not None and address is not None:
            self.counter.move(address)

    def _overdue(self, number: int) -> None:
        """Its time is over. If we stood still the module was not yet told so: it has the first word."""
        self.post(TimerFired(0))
        self.loop.call_soon(self._unanswered, number)  # behind the turn

    def _unanswered(self, number: int) -> None:
        """The module has let a request's time pass: it is still owed an answer."""
        request = self.requests.get(number)
        if request is not None and not request.final:
            log.error("request %d was left unanswered", number)
            self._leave(number, lambda client: client.reply(500, b"failed\n"))

    def _leave(self, number: int, answer: Callable[[ClientRequest], None] = lambda _: None) -> None:
        """Its end is not the module's doing, so the module hears of it."""
        request = self.requests.get(number)
        if request is not None and not request.final:
            answer(request.client)
            self._final(request)
            if not request.out:
                self.closed.append(number)
            self.post(RequestEnded(number))

    def _final(self, request: Open) -> None:
        """The one place where a request ends. What is written goes on and counts; nothing new is written."""
        request.final = True
        if request.guard is not None:
            request.guard.cancel()
        for attempt in request.attempts:
            if not attempt.may_have_run():  # its connection still comes up, or takes no more for now
                attempt.finish(Outcome.NOT_SENT)
        self.unanswered -= 1

    def drain(self, by: int) -> None:
        """Answer all that is open, and all that still comes, until then."""
        self.drain_by = by
        self._after(by - self.clock.now(), self._end_all)

    def _end_all(self) -> None:
        for number in list(self.requests):
            self._leave(number, lambda client: client.reply(500, b"shutting down\n"))

    def _after(self, delay: int, call: Callable[..., None], *args: object) -> asyncio.TimerHandle:
        """A timer that is never early by its rounding: the loop's timers count whole milliseconds."""
        return self.loop.call_later(-(-max(0, delay) // 1000) / 1000, call, *args)

    # Actions out

    def _apply(self, action: Action) -> None:
        apply = self.actions.get(type(action))
        if apply is None:  # one that the gateway never asks for
            log.warning("no handler for action %s", type(action).__name__)
        else:
            apply(action)

    def _send(self, action: StartAttempt) -> None:
        request = self.requests.get(action.request_id)
        if request is None:
            return log.error("an attempt for request %d, which is not open", action.request_id)
        now = self.clock.now()
        attempt = Attempt(action.request_id, len(request.attempts), action.endpoint_id, now, self._ended)
        request.attempts.append(attempt)
        request.out += 1
        if not request.final:
            request.client.connection.close_if_client_left()
        place = self.places.get(action.endpoint_id)
        left = request.gives_up - now
        if action.timeout_us > 0:
            left = min(left, action.timeout_us)
        if request.final or place is None or left <= 0 or attempt.attempt_index >= self.settings.max_attempts:
            return attempt.finish(Outcome.NOT_SENT)
        client = request.client
        attempt.address, attempt.on_connected = place, client.connection.close_if_client_left
        parsed = request.parsed
        length = b"Content-Length: %d\r\n" % len(parsed.body) if parsed.is_write else b""
        attempt.request_bytes = b"".join(
            (parsed.head, length, b"X-Expires-In: %dm\r\n\r\n" % max(1, left // 1000), parsed.body)
        )
        attempt.deadline_timer = self._after(left, attempt.on_deadline)
        if action.begin_within_us:
            attempt.on_connected = partial(self._begin, attempt, client, now + action.begin_within_us)
            attempt.send_by_timer = self._after(action.begin_within_us, attempt.on_send_by)
        self.pool.send(attempt)

    def _begin(self, attempt: Attempt, client: ClientRequest, latest: int) -> None:
        """Its connection has come up. If we stood still, the timer may still be due."""
        if self.clock.now() > latest:
            attempt.on_send_by()
        else:
            client.connection.close_if_client_left()

    def _ended(self, attempt: Attempt, result: Outcome, answer: UpstreamResponse | None) -> None:
        """An attempt's one end. The first good answer goes to the client and is final."""
        number = attempt.request_id
        request = self.requests[number]
        request.out -= 1
        if result is Outcome.OK and answer is not None and not request.final:
            kind = answer.content_type
            request.client.reply(200, answer.body, b"Content-Type: " + kind + b"\r\n" if kind else b"")
            self._final(request)
        if request.final and not request.out:
            self.closed.append(number)
        self.post(
            AttemptEnded(
                number,
                attempt.attempt_index,
                attempt.endpoint_id,
                result,
                self.clock.now() - attempt.started_at_us,
                request.final,
                answer.usage_percent if answer else None,
                answer.load_report if answer else None,
            )
        )

    def _cancel(self, action: CancelAttempt) -> None:
        request = self.requests.get(action.request_id)
        if request is not None and 0 <= action.attempt_index < len(request.attempts):
            request.attempts[action.attempt_index].cancel()

    def _refuse(self, action: Reject) -> None:
        request = self.requests.get(action.request_id)
        if request is not None and not request.final:
            delay = (
                min(action.retry_after_us, self.settings.max_retry_after_us)
                if self.settings.may_send_retry_after
                else 0
            )
            status = 503 if request.attempts else 429
            request.client.reply(status, b"refused: try again\n", retry_after_line(delay))
            self._decided(action.request_id, request)

    def _fail(self, action: Fail) -> None:
        request = self.requests.get(action.request_id)
        if request is not None and not request.final:
            request.client.reply(502, b"failed\n")
            self._decided(action.request_id, request)

    def _decided(self, number: int, request: Open) -> None:
        """Its end is the module's own doing."""
        self._final(request)
        if not request.out:
            self.requests.pop(number, None)

    def _count(self, action: AddToCounter) -> None:
        if self.counter is None:
            return self.post(CounterResult(action.counter_key, Outcome.NOT_CONNECTED, 0.0, 0))
        self.counter.add(action)

    def _wake(self, action: SetTimer) -> None:
        self._woken(self.clock.now() + action.delay_us, TimerFired(action.token))

    def _woken(self, due: int, event: TimerFired) -> None:
        """The loop's timers may be a millisecond early, and one who is woken early does not ask again."""
        left = due - self.clock.now()
        if left > 0:
            self._after(left, self._woken, due, event)
        else:
            self.post(event)

"""The list of backends: one fetch of the whole, then the watch, for as long as the program runs."""

from __future__ import annotations

import asyncio
import json
import logging
import re
from collections.abc import Callable
from typing import Any, TypeVar, cast

import httptools

from yardlane.decisions.events import Endpoint, EndpointListUpdate, EndpointState, UpdateKind
from yardlane.config import Address, Config, address
from yardlane.errors import ConfigError

log = logging.getLogger("yardlane.proxy.discovery_client")

# µs after which a change counts as told, by the standing test's page: from when discovery had it and could be
# reached, or from when a watch fell silent; and after SIGHUP.
TOLD_AFTER, TOLD_AFTER_MOVE = 6_000_000, 4_000_000
# µs of that which are not for waiting: to read a list of the most bytes, to get the processor for the turns
# of two calls, and for the loop's timers, which count whole ms. `latest_news` stays under the rest.
OWN_TIME = 1_000_000
# ms that a watch may take: one whose peer has silently gone is found that late. Shorter than it could be by
# `latest_news`; a call more costs little, as the agent is on our own machine and answers at no cost.
WAIT = 3_000
# ms that the first watch after a failed call may take: what was missed meanwhile is there at once or not at
# all, and a second silence must not cost a whole watch again.
SHORT_WAIT = 1
PAUSE = 0.05  # s before a failed call is made again, doubled each time
# What discovery gets on its return from silence counts as told at once, and from then the grace for drains
# runs. So we must hear of it within a part of that grace, whichever state we are in:
PATIENCE_SHARE, PATIENCE_MOST = 0.4, 0.5  # for a connection or an answer that is due, and s at the most
PAUSE_SHARE, PAUSE_MOST = 0.2, 0.5  # for the longest pause, and s at the most
PATIENCE_LEAST = 0.05  # s: also where the grace is next to nothing, an agent that answers must be heard
MOST_LIST = 8_000_000
MOST_NUMBER = 2**53  # up to here JSON's numbers are exact; a later time is none
MOST_LOGGED = 200  # characters of what is told that go to the log
MOST_NAMES = 64  # of zones, and of kinds
STATES = {"Ready": EndpointState.READY, "Terminating": EndpointState.DRAINING, "Gone": EndpointState.REMOVED}
HOST = re.compile(r"[!-\-/-~]{1,63}(\.[!-\-/-~]{1,63})*")  # each label printable, and as long as it may be
READINESS = (EndpointState.REMOVED, EndpointState.DRAINING, EndpointState.READY)

T = TypeVar("T")

Found = Callable[[EndpointListUpdate, dict[bytes, Address]], None]


def patience(grace: int) -> float:
    """Seconds for a connection or an answer that is due, by the grace for drains in µs."""
    return max(PATIENCE_LEAST, min(PATIENCE_MOST, PATIENCE_SHARE * grace / 1e6))


def longest_pause(grace: int) -> float:
    """Seconds at the most between a failed call and the next, by the grace for drains in µs."""
    return max(PAUSE, min(PAUSE_MOST, PAUSE_SHARE * grace / 1e6))


def latest_news(grace: int) -> dict[str, int]:
    """Worst µs until a change is heard, for each state that we may be in as it comes; without our own time.

    They count from when discovery has the change and can be reached, or from when a watch fell silent: one
    call may still fail, as it was made before that; the next is answered as late as our patience allows.
    """
    due, pause = patience(grace), longest_pause(grace)
    call = due + due + SHORT_WAIT / 1000  # the connection and the answer
    # The calls before a watch that is as long as it may be went well: the pause after it is the first.
    watch = PAUSE + WAIT / 1000 + due + PAUSE + call
    states = {
        "silent watch": watch,
        "watch answered in part": watch,  # which then stalls, or drips without end
        "watch reset": PAUSE + call,
        "refused": pause + call,
        "never connected": due + pause + call,
        "slow answer": call + pause + call,  # also of the whole list; stalls and drips are no better
        "unreadable list": pause + call,
        "own error": pause + call,
        "moved": call + PAUSE + call,  # counted from SIGHUP
        "start": call,  # until what is remembered may serve
    }
    return {state: round(seconds * 1e6) for state, seconds in states.items()}


class Reader:
    """Lists in discovery's form to `ServerList`. Names get the settings' numbers, new ones further ones.

    An entry of which something cannot be read stands for a server that drains, unless it is gone: nothing new
    goes there. `unclear` tells that the last list had entries with no server, or two for one: only another
    list can tell whose news that was, or which holds.
    """

    def __init__(self, config: Config) -> None:
        self.zones = {name: n for n, name in enumerate(config.zones)}
        self.kinds = {name: n for n, name in enumerate(config.kinds)}
        self.unclear = False
        self.odd: list[str] = []  # what the last list had that cannot be read

    def read(
        self, told: object, kind: UpdateKind | None = None
    ) -> tuple[EndpointListUpdate, dict[bytes, Address]]:
        """The list and the addresses it tells; ValueError where it is none."""
        if not isinstance(told, dict) or not isinstance(told.get("members"), list):
            raise ValueError("no list of members")
        if kind is None:
            kind = UpdateKind.SNAPSHOT if told.get("complete") is True else UpdateKind.DELTA
        version, self.unclear, self.odd = _version(told), False, []
        entries: dict[bytes, Endpoint] = {}
        places: dict[bytes, Address] = {}
        for member in told["members"]:
            try:
                server = _server(member)
            except ValueError as error:
                self.unclear = True
                self.odd.append(str(error))
                continue
            entry, place = self._entry(server, member)
            other = entries.get(server)
            if other is not None and other != entry:
                self.unclear = True
                self.odd.append(f"two entries for {_shown(member['id'])}")
                if READINESS.index(other.state) < READINESS.index(entry.state):
                    continue  # the one that is less ready counts
            entries[server] = entry
            if place is not None:
                places[server] = place
            if entry.state is EndpointState.REMOVED:
                places.pop(server, None)
        if self.odd:  # one line: there may be many
            log.warning("list %d: odd at %d places, first: %.200s", version, len(self.odd), self.odd[0])
        told_of = (
            e for e in entries.values() if e.state is not EndpointState.REMOVED or kind is UpdateKind.DELTA
        )
        return EndpointListUpdate(kind, version, tuple(told_of)), places

    def _entry(self, server: bytes, member: dict[str, Any]) -> tuple[Endpoint, Address | None]:
        odd = len(self.odd)
        state = self._field(member, "phase", _state, EndpointState.DRAINING)
        gone = state is EndpointState.REMOVED
        place = None if gone else self._field(member, "host_port", _place, None)
        started = self._field(member, "up_since_ms", _whole, 0)
        weight = self._field(member, "size", _weight, 1.0)
        zone = self._field(member, "locality", lambda name: _number(self.zones, name), 0)
        cell = self._field(member, "cell", _whole, 0)
        kind = self._field(member, "flavor", lambda name: _number(self.kinds, name), 0)
        if len(self.odd) > odd and not gone:  # safe: nothing new goes there
            state = EndpointState.DRAINING
        return Endpoint(server, state, max(0, started) * 1000, weight, zone, cell, kind), place

    def _field(self, member: dict[str, Any], key: str, read: Callable[[object], T], otherwise: T) -> T:
        try:
            return read(member.get(key))
        except ValueError as error:
            self.odd.append(f"{key} is {_shown(member.get(key))}: {error}")
            return otherwise


def _shown(value: object) -> str:
    """A value for the log: its text may be long, and a list may be too deep to have one."""
    return f"{value!r:.60}" if isinstance(value, str | int | float) else type(value).__name__


def _server(member: object) -> bytes:
    name = member.get("id") if isinstance(member, dict) else None
    if not (isinstance(name, str) and name):
        raise ValueError("no id")
    return name.encode()


def _state(phase: object) -> EndpointState:
    if not (isinstance(phase, str) and phase in STATES):
        raise ValueError("no phase that is known")
    return STATES[phase]


def _place(text: object) -> Address:
    try:
        host, port = address(text if isinstance(text, str) else "", "host_port")
    except ConfigError as error:
        raise ValueError(str(error)) from None
    if not HOST.fullmatch(host):
        raise ValueError("no name of a host")  # which would be an error only as we connect there
    return host, port


def _whole(value: object) -> int:
    """A whole number; 0 where none is told."""
    if value is None:
        return 0
    if isinstance(value, bool) or not isinstance(value, int | float) or not abs(value) <= MOST_NUMBER:
        raise ValueError("wanted a number")
    return int(value)


def _weight(value: object) -> float:
    if value is None:
        return 1.0
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value <= MOST_NUMBER:
        raise ValueError("wanted a number over 0")
    return float(value)


def _number(names: dict[str, int], name: object) -> int:
    """The number of a name. Once there are many, new ones share one: the table must not grow all day."""
    if name is not None and not isinstance(name, str | int | float):
        raise ValueError("wanted a name")
    number = names.get(str(name))
    if number is None:
        number = len(names)
        if number < MOST_NAMES:
            names[str(name)] = number
    return number


def _version(told: dict[str, Any]) -> int:
    revision = told.get("revision")
    if not isinstance(revision, int) or isinstance(revision, bool) or revision < 0:
        raise ValueError(f"revision is {_shown(revision)}")
    return revision


class Call(asyncio.Protocol):
    """A connection to discovery that carries one call at a time."""

    def __init__(self, place: Address) -> None:
        self.host = f"{place[0]}:{place[1]}".encode()
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[bytearray] | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()  # one piece: a list of many small ones would take several times its size

    def get(self, path: bytes) -> asyncio.Future[bytearray]:
        if self.transport is None:  # it ended in the turn in which it came up
            raise ConnectionResetError("connection ended")
        self.body = bytearray()
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(b"GET " + path + b" HTTP/1.1\r\nHost: " + self.host + b"\r\n\r\n")
        return self.answer

    def usable(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _fail(self, error: Exception) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(error)
        self.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's is none by its type
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._fail(ConnectionResetError("connection ended"))

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(ValueError(f"odd answer: {error.__context__ or error}"))

    def on_body(self, body: bytes) -> None:
        if len(self.body) + len(body) > MOST_LIST:
            raise ValueError(f"list over {MOST_LIST} bytes")
        self.body += body

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status < 200:
            return
        if status != 200:
            return self._fail(ValueError(f"status {status}"))
        if self.answer is not None and not self.answer.done():
            self.answer.set_result(self.body)
        if not self.parser.should_keep_alive():
            self.close()


class Discovery:
    """Keeps the list: `found` hears of each news, in order, and `unheard` of each call that brought none."""

    def __init__(self, config: Config, found: Found, unheard: Callable[[], None]) -> None:
        self.place, self.found, self.reader = config.discovery, found, Reader(config)
        self.unheard = unheard
        self.version = -1  # of the list held; below 0 the whole is fetched
        self.call: Call | None = None
        self.task: asyncio.Task[None] | None = None
        self.known = config.known
        self.wait = WAIT  # ms for the next watch
        self.patience = patience(config.settings.drain_grace_us)
        self.longest_pause = longest_pause(config.settings.drain_grace_us)

    def remember(self) -> None:
        """Pass on the list that the configuration brought."""
        try:
            self.found(*self.reader.read(self.known, UpdateKind.CACHED))
        except ValueError as error:
            log.warning("known list passed over: %s", error)
            self.found(EndpointListUpdate(UpdateKind.CACHED, 0, ()), {})

    def refetch(self) -> None:
        """Make the next call one for the whole list."""
        self.version = -1
        if self.call is not None:
            self.call.close()

    def start(self) -> None:
        """Watch, until `stop`."""
        self.task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
        if self.call is not None:
            self.call.close()
            self.call = None

    def move(self, place: Address) -> None:
        """Ask another discovery, whose versions are its own; the list held stands until it answers."""
        self.stop()
        self.place, self.version = place, -1
        self.start()

    async def _run(self) -> None:
        pause = PAUSE
        while True:
            try:
                await self._next()
                pause, self.wait = PAUSE, WAIT
            except Exception as error:  # also one of ours must not end the watch
                if isinstance(error, OSError | TimeoutError | ValueError):
                    log.warning("discovery: %.200s", str(error) or "timed out")
                else:
                    log.exception("discovery")
                if not isinstance(error, OSError | TimeoutError):
                    self.version = -1  # what was told, or whether our version is known: start from the whole
                if self.call is not None:
                    self.call.close()
                self.call, self.wait = None, SHORT_WAIT
                self.unheard()
                await asyncio.sleep(pause)
                pause = min(self.longest_pause, 2 * pause)

    async def _next(self) -> None:
        """One call: asked again at once after the last, or what changes between counts as told unheard."""
        loop = asyncio.get_running_loop()
        asked = loop.time()
        if self.call is None or not self.call.usable():
            async with asyncio.timeout(self.patience):
                self.call = call = Call(self.place)
                await loop.create_connection(lambda: call, *self.place)
        held, wait = self.version, 0 if self.version < 0 else self.wait
        path = b"/catalog/members" + (b"?index=%d&wait=%d" % (held, wait) if wait else b"")
        async with asyncio.timeout(self.patience + wait / 1000):  # in all, however often a part of it comes
            text = await self.call.get(path)
        told, places = self.reader.read(_parsed(text))
        if told.kind is UpdateKind.DELTA and held < 0:
            raise ValueError("changes to a list that is not held")
        if told.version < held:
            raise ValueError(f"version {told.version} after {held}")  # old, or discovery began anew
        unclear = told.kind is UpdateKind.DELTA and self.reader.unclear
        self.version = -1 if unclear else told.version  # the whole list may tell; where it does not, so be it
        news = bool(told.endpoints) or told.kind is UpdateKind.SNAPSHOT
        if news:
            self.found(told, places)
        if (unclear or not news or told.version == held) and loop.time() < asked + PAUSE:
            await asyncio.sleep(PAUSE)  # one that answers each watch at once must not take the core


def _parsed(text: bytearray) -> object:
    try:
        return json.loads(text)
    except RecursionError:
        raise ValueError("list too deep") from None

"""The list and its watch go on through errors, silence and jumps."""

import asyncio
import json
import threading
import tracemalloc
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from yardlane.decisions.events import EndpointListUpdate, EndpointState, UpdateKind
from yardlane.config import Address
from yardlane.proxy.discovery_client import (
    MOST_LIST,
    MOST_NAMES,
    OWN_TIME,
    PAUSE,
    SHORT_WAIT,
    TOLD_AFTER,
    TOLD_AFTER_MOVE,
    WAIT,
    Call,
    Discovery,
    Reader,
    latest_news,
)
from tests.loopback import (
    LIMIT,
    Peer,
    Script,
    Streams,
    answer,
    as_json,
    ask,
    config,
    member,
    read_message,
    running,
    send_all,
    settings,
    socket_test,
    whole_list,
)


def changes(revision: int, *members: dict[str, object]) -> bytes:
    return answer(200, as_json({"revision": revision, "complete": False, "members": list(members)}))


def full(revision: int, *members: dict[str, object]) -> bytes:
    return answer(200, as_json(whole_list(*members, revision=revision)))


@socket_test
async def test_what_is_known_is_remembered_then_the_list_is_kept() -> None:
    script = Script(lambda event: [])
    known = whole_list(member("s-1", 9), revision=40)
    async with Peer() as discovery, running(script, discovery=f"127.0.0.1:{discovery.port}", known=known):
        reader, writer = await discovery.connection()
        await read_message(reader)
        writer.write(full(41, member("s-1", 9), member("s-2", 9, up_since_ms=1_700_000_000_123)))
        assert "index=41&" in (await read_message(reader))[0]
        writer.write(changes(43, member("s-1", 9, phase="Terminating"), {"id": "s-2", "phase": "Gone"}))
        assert "index=43&" in (await read_message(reader))[0]
        told = await script.wait_for(EndpointListUpdate, 3)
        assert [t.kind for t in told] == [UpdateKind.CACHED, UpdateKind.SNAPSHOT, UpdateKind.DELTA]
        assert [e.started_at_us for e in told[1].endpoints] == [0, 1_700_000_000_123_000]
        assert [e.state for e in told[2].endpoints] == [EndpointState.DRAINING, EndpointState.REMOVED]


@socket_test
async def test_oddities_lead_back_to_the_whole_list() -> None:
    odd = [
        answer(500),
        answer(200, b"{"),
        answer(200, b"[]"),
        answer(200, b'{"revision":"x","members":[]}'),
        answer(200, b"[" * 100_000),
        answer(200, b'{"revision":"\xff"}'),
        b"nonsense\r\n\r\n",
        changes(7),
        b"",
    ]
    script = Script(lambda event: [])
    async with Peer() as discovery, running(script, discovery=f"127.0.0.1:{discovery.port}"):
        for n, bad in enumerate(odd):
            reader, writer = await discovery.connection()
            assert (await read_message(reader))[0].startswith("GET /catalog/members HTTP")
            writer.write(full(50 + n, member("s-1", 9)))
            assert f"index={50 + n}&" in (await read_message(reader))[0]
            writer.write(bad or b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")
        reader, writer = await discovery.connection()
        await read_message(reader)
        writer.write(full(3, {"id": 5}, member("s-1", 9), member("s-2", 9, phase="Dancing")))
        assert "index=3&" in (await read_message(reader))[0]  # discovery began anew: its version counts
        last = (await script.wait_for(EndpointListUpdate, len(odd) + 2))[-1]
        assert [(e.endpoint_id, e.state) for e in last.endpoints] == [
            (b"s-1", EndpointState.READY),
            (b"s-2", EndpointState.DRAINING),
        ]


@socket_test
async def test_a_broken_watch_begins_again_where_it_was() -> None:
    async with Peer() as discovery, running(discovery=f"127.0.0.1:{discovery.port}"):
        reader, writer = await discovery.connection()
        await read_message(reader)
        writer.write(full(41, member("s-1", 9)))
        await read_message(reader)
        writer.transport.abort()
        reader, writer = await discovery.connection()
        assert "index=41&" in (await read_message(reader))[0]


@socket_test
async def test_an_old_list_after_a_new_one_is_not_taken_for_news() -> None:
    script = Script(lambda event: [])
    async with Peer() as discovery, running(script, discovery=f"127.0.0.1:{discovery.port}"):
        reader, writer = await discovery.connection()
        await read_message(reader)
        writer.write(full(41, member("s-1", 9, phase="Terminating")))
        assert "index=41&" in (await read_message(reader))[0]
        writer.write(full(40, member("s-1", 9)))
        reader, writer = await discovery.connection()  # asked again for the whole
        assert (await read_message(reader))[0].startswith("GET /catalog/members HTTP")
        writer.write(full(42, member("s-1", 9, phase="Terminating")))
        assert "index=42&" in (await read_message(reader))[0]
        told = [t for t in await script.wait_for(EndpointListUpdate, 3) if t.kind is UpdateKind.SNAPSHOT]
        assert [(t.version, t.endpoints[0].state) for t in told] == [
            (41, EndpointState.DRAINING),
            (42, EndpointState.DRAINING),
        ]


@socket_test
async def test_an_agent_that_is_back_from_silence_is_heard_within_the_grace_for_drains() -> None:
    # Each call that is made while it is silent must end in time for one that is answered.
    grace = 0.5
    safety = {**settings()["safety"], "drain_grace_us": int(grace * 1e6)}
    async with (
        Peer() as discovery,
        running(discovery=f"127.0.0.1:{discovery.port}", settings=settings(safety=safety)) as door,
    ):
        watch = door.program.discovery
        assert watch.patience + watch.longest_pause < grace
        for _ in range(4):  # calls that are never answered; the pause between them grows meanwhile
            reader, _ = await discovery.connection()
            await read_message(reader)
            assert await reader.read() == b""  # given up
        reader, writer = await discovery.connection()
        await read_message(reader)
        writer.write(full(41, member("s-1", 9)))
        assert "index=41&" in (await read_message(reader))[0]


@socket_test
async def test_what_is_remembered_serves_only_once_discovery_was_asked() -> None:
    health = b"GET /_health HTTP/1.1\r\nHost: svc\r\n\r\n"
    async with (
        Peer() as discovery,
        running(discovery=f"127.0.0.1:{discovery.port}", known=whole_list(member("s-1", 9))) as door,
    ):
        reader, _ = await discovery.connection()
        await read_message(reader)
        assert (await door.call(health))[0].split()[1] == "503"  # it may name what has long gone
        await discovery.connection()  # the first call has ended without an answer
        assert (await door.call(health))[0].split()[1] == "200"


@socket_test
async def test_an_address_that_changes_is_followed() -> None:
    script = Script(send_all)
    async with (
        Peer() as discovery,
        Peer() as old,
        Peer() as new,
        running(
            script, discovery=f"127.0.0.1:{discovery.port}", known=whole_list(member("s-1", old.port))
        ) as door,
    ):
        client, to_door = await door.client()
        to_door.write(ask())
        reader, writer = await old.connection()
        await read_message(reader)
        writer.write(answer())
        await read_message(client)
        to_agent, agent = await discovery.connection()
        await read_message(to_agent)
        agent.write(full(5, member("s-1", new.port)))
        await read_message(to_agent)
        assert await reader.read() == b""  # the connection to the old address is closed
        to_door.write(ask(trace="a2"))
        reader, writer = await new.connection()
        assert (await read_message(reader))[1]["x-trace-id"] == "a2"


def test_names_that_are_ever_new_do_not_fill_the_memory() -> None:
    reader = Reader(config())
    for n in range(1000):
        told, _ = reader.read(whole_list(member("s-1", 9, locality=f"z{n}", flavor=f"k{n}")))
        [entry] = told.endpoints
        assert (entry.zone, entry.hardware_kind) == (min(2 + n, MOST_NAMES), min(1 + n, MOST_NAMES))
    assert len(reader.zones) == len(reader.kinds) == MOST_NAMES


@socket_test
async def test_no_discovery_at_all_leaves_the_remembered_list() -> None:
    async with Peer() as backend, running(known=whole_list(member("s-1", backend.port))) as door:
        _, to_door = await door.client()
        to_door.write(ask())
        reader, _ = await backend.connection()
        assert (await read_message(reader))[1]["x-trace-id"] == "ab12"
        await asyncio.sleep(0)


GRACES = [0, 50_000, 1_000_000, 60_000_000]  # µs


@pytest.mark.parametrize("grace", GRACES)
def test_news_are_heard_before_they_count_as_told(grace: int) -> None:
    latest = latest_news(grace)
    assert latest.pop("moved") <= TOLD_AFTER_MOVE - OWN_TIME
    assert max(latest.values()) <= TOLD_AFTER - OWN_TIME


class StillClock(asyncio.SelectorEventLoop):
    """A loop whose clock only the test moves; a connection comes up once `up` is set."""

    def __init__(self) -> None:
        self.now = 0.0
        super().__init__()
        self.refused, self.asked, self.up = False, asyncio.Event(), asyncio.Event()
        self.up.set()

    def time(self) -> float:
        return self.now

    async def create_connection(self, *args: Any, **more: Any) -> Any:
        self.asked.set()
        if self.refused:
            raise ConnectionRefusedError
        await self.up.wait()
        return await super().create_connection(*args, **more)


def on_still_clock(test: Callable[[StillClock], Awaitable[None]]) -> None:
    with asyncio.Runner(loop_factory=StillClock) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, StillClock)

        async def limited() -> None:
            task = asyncio.current_task()
            assert task is not None
            hung = threading.Timer(LIMIT, lambda: loop.call_soon_threadsafe(task.cancel))
            hung.start()
            try:
                await test(loop)
            finally:
                hung.cancel()

        runner.run(limited())


class Watched:
    """A watch on a still clock. The test moves the clock to just before, or onto, each time that is due."""

    LEAST = 0.001  # s that what comes in time comes before the end of our patience

    def __init__(self, loop: StillClock, agent: Peer, grace: int) -> None:
        self.loop, self.agent = loop, agent
        safety = {**settings()["safety"], "drain_grace_us": grace}
        self.failed, self.heard, self.break_next = asyncio.Event(), asyncio.Event(), False
        self.watch = Discovery(
            config(discovery=f"127.0.0.1:{agent.port}", settings=settings(safety=safety)),
            self.found,
            self.failed.set,
        )
        self.due, self.pause, self.since = self.watch.patience, self.watch.longest_pause, 0.0

    def found(self, told: EndpointListUpdate, places: dict[bytes, Address]) -> None:
        if self.break_next:
            self.break_next = False
            raise RuntimeError("an error of ours")
        self.heard.set()

    async def late_connection(self, after: float) -> Streams:
        """The call that is made `after` so long comes up as late as it may; the call has been read."""
        self.loop.asked.clear()
        self.loop.up.clear()
        self.loop.now += after
        await self.loop.asked.wait()
        self.loop.now += self.due - self.LEAST
        self.loop.up.set()
        reader, writer = await self.agent.connection()
        await read_message(reader)
        return reader, writer

    async def fail(self) -> None:
        """Until the call has failed, whose time ends now."""
        await self.failed.wait()
        self.failed.clear()

    async def many_refused(self) -> None:
        """Until the pause is as long as it gets; the last call has just failed."""
        self.loop.refused = True
        for _ in range(9):
            self.loop.now += self.pause
            await self.fail()
        self.loop.refused = False

    async def established(self) -> Streams:
        """The whole list is told, and the watch asked."""
        self.watch.start()
        reader, writer = await self.agent.connection()
        await read_message(reader)
        writer.write(full(41, member("s-1", 9)))
        assert f"index=41&wait={WAIT} " in (await read_message(reader))[0]
        self.heard.clear()
        self.since = self.loop.now
        return reader, writer


# Each brings a watch into a state as its change comes and returns the pause that it is in.


async def silent_watch(w: Watched) -> float:
    await w.established()
    w.loop.now += WAIT / 1000 + w.due
    await w.fail()
    return PAUSE


async def watch_answered_in_part(w: Watched) -> float:
    _, writer = await w.established()
    writer.write(full(42, member("s-1", 9))[:-9])
    for _ in range(2):  # a byte more does not give it more time
        writer.write(b" ")
        w.loop.now += (WAIT / 1000 + w.due) / 2
        await asyncio.sleep(0)
    await w.fail()
    return PAUSE


async def watch_reset(w: Watched) -> float:
    _, writer = await w.established()
    writer.transport.abort()
    await w.fail()
    return PAUSE


async def refused(w: Watched) -> float:
    w.watch.start()
    await w.many_refused()
    w.since = w.loop.now
    return w.pause


async def never_connected(w: Watched) -> float:
    await refused(w)
    w.loop.asked.clear()
    w.loop.up.clear()
    w.loop.now += w.pause
    await w.loop.asked.wait()
    w.since = w.loop.now
    w.loop.now += w.due
    await w.fail()
    return w.pause


async def slow_answer(w: Watched) -> float:
    """Of the whole list, which drips."""
    w.since = await refused(w) + w.loop.now
    _, writer = await w.late_connection(w.pause)
    writer.write(full(42, member("s-1", 9))[:-9])
    for _ in range(2):
        writer.write(b" ")
        w.loop.now += w.due / 2
        await asyncio.sleep(0)
    await w.fail()
    return w.pause


async def slow_short_watch(w: Watched) -> float:
    _, writer = await w.established()
    writer.transport.abort()
    await w.fail()
    await w.many_refused()
    w.since = w.loop.now + w.pause
    await w.late_connection(w.pause)
    w.loop.now += w.due + SHORT_WAIT / 1000
    await w.fail()
    return w.pause


async def unreadable_list(w: Watched) -> float:
    await refused(w)
    _, writer = await w.late_connection(w.pause)
    w.since = w.loop.now
    writer.write(answer(200, b"{"))
    await w.fail()
    return w.pause


async def own_error(w: Watched) -> float:
    w.break_next = True
    await refused(w)
    _, writer = await w.late_connection(w.pause)
    w.since = w.loop.now
    writer.write(full(42, member("s-1", 9)))
    await w.fail()
    return w.pause


async def moved(w: Watched) -> float:
    await w.established()
    w.watch.move(w.watch.place)
    await w.late_connection(0)
    w.loop.now += w.due
    await w.fail()
    return PAUSE


STATES: list[tuple[str, Callable[[Watched], Awaitable[float]]]] = [
    ("silent watch", silent_watch),
    ("watch answered in part", watch_answered_in_part),
    ("watch reset", watch_reset),
    ("refused", refused),
    ("never connected", never_connected),
    ("slow answer", slow_answer),
    ("slow answer", slow_short_watch),
    ("unreadable list", unreadable_list),
    ("own error", own_error),
    ("moved", moved),
]


@pytest.mark.parametrize(("state", "bring"), STATES, ids=lambda of: getattr(of, "__name__", ""))
@pytest.mark.parametrize("grace", [GRACES[0], GRACES[-1]])
def test_a_change_is_heard_in_time_whichever_state_we_are_in(
    state: str, bring: Callable[[Watched], Awaitable[float]], grace: int
) -> None:
    async def body(loop: StillClock) -> None:
        async with Peer() as agent:
            w = Watched(loop, agent, grace)
            pause = await bring(w)
            _, writer = await w.late_connection(pause)
            loop.now += w.due + (0 if w.watch.version < 0 else SHORT_WAIT / 1000) - w.LEAST
            writer.write(full(43, member("s-1", 9, phase="Terminating")))
            await w.heard.wait()
            w.watch.stop()
            took, latest = loop.now - w.since, latest_news(grace)[state] / 1e6
            assert latest - PAUSE - 5 * w.LEAST <= took <= latest  # the sum is what it really takes
            assert took <= ((TOLD_AFTER_MOVE if state == "moved" else TOLD_AFTER) - OWN_TIME) / 1e6

    on_still_clock(body)


def test_the_states_are_all_of_the_table() -> None:
    assert {state for state, _ in STATES} | {"start"} == set(latest_news(0))


HEALTH = b"GET /_health HTTP/1.1\r\nHost: svc\r\n\r\n"
ENDLESS = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize("known", [whole_list(member("s-1", 9)), whole_list(), None])
@pytest.mark.parametrize("agent_does", ["refuses", "never comes up", "is silent", "drips", "sends too much"])
def test_a_new_process_is_ready_after_its_first_call(agent_does: str, known: dict[str, Any] | None) -> None:
    async def body(loop: StillClock) -> None:
        loop.refused = agent_does == "refuses"
        if agent_does == "never comes up":
            loop.up.clear()
        async with Peer() as agent, running(discovery=f"127.0.0.1:{agent.port}", known=known) as door:
            watch, ended = door.program.discovery, asyncio.Event()
            unheard = watch.unheard

            def heard_of() -> None:
                unheard()
                ended.set()

            watch.unheard = heard_of
            assert not door.program.door.can_serve()
            await loop.asked.wait()
            if agent_does == "never comes up":
                loop.now += watch.patience
            elif agent_does != "refuses":
                loop.now += watch.patience - Watched.LEAST if not loop.up.is_set() else 0
                reader, writer = await agent.connection()
                await read_message(reader)
                writer.write(ENDLESS if agent_does != "is silent" else b"")
                if agent_does == "sends too much":
                    writer.write(b"%x\r\n%b" % (MOST_LIST + 1, bytes(MOST_LIST + 1)))
                else:
                    for _ in range(4):
                        writer.write(b"1\r\n \r\n" if agent_does == "drips" else b"")
                        loop.now += watch.patience / 4
                        await asyncio.sleep(0)
            await ended.wait()
            assert loop.now <= latest_news(door.program.door.settings.drain_grace_us)["start"] / 1e6 <= 10
            loop.refused, ready = False, bool(known and known["members"])
            loop.up.set()
            assert door.program.door.can_serve() is ready  # with no backend that it could name, it is not
            assert (await door.call(HEALTH))[0].split()[1] == ("200" if ready else "503")

    on_still_clock(body)


def test_a_list_in_small_pieces_takes_no_more_than_its_size() -> None:
    call, pieces = Call(("127.0.0.1", 9)), 100_000
    call.data_received(ENDLESS)
    tracemalloc.start()
    try:
        for _ in range(10):
            call.data_received(b"2\r\nab\r\n" * (pieces // 10))
        assert tracemalloc.get_traced_memory()[1] < 5 * 2 * pieces
    finally:
        tracemalloc.stop()


ODD: list[dict[str, Any]] = [
    {"size": float("nan")},
    {"size": float("inf")},
    {"size": 0},
    {"size": -1},
    {"size": "1"},
    {"size": True},
    {"up_since_ms": 1e400},
    {"up_since_ms": "0"},
    {"up_since_ms": 10**4000},
    {"cell": [1]},
    {"cell": 1e300},
    {"locality": [[]]},
    {"flavor": {}},
    {"phase": []},
    {"phase": "Dancing"},
    {"phase": None},
    {"host_port": "x"},
    {"host_port": None},
    {"host_port": ["127.0.0.1:9"]},
    {"host_port": "a..b:9"},
    {"host_port": "\0:9"},
    {"host_port": "127.0.0.1:" + "9" * 5000},
    {"host_port": "\ud800:9"},
]


@pytest.mark.parametrize("odd", ODD, ids=lambda odd: str(odd)[:30])
def test_a_server_of_which_something_cannot_be_read_drains(
    odd: dict[str, Any], caplog: pytest.LogCaptureFixture
) -> None:
    reader = Reader(config())
    members = [member("s-1", 9), *(member(f"s-{n}", 9, **odd) for n in range(2, 50))]
    told, places = reader.read(json.loads(json.dumps(whole_list(*members))))
    assert [e.state for e in told.endpoints] == [EndpointState.READY] + 48 * [EndpointState.DRAINING]
    assert not reader.unclear and (b"s-2" in places) is ("host_port" not in odd)
    assert all(e.weight == 1.0 and e.started_at_us == 0 for e in told.endpoints)
    [line] = caplog.records
    assert len(line.getMessage()) < 300
    gone, _ = reader.read({"revision": 2, "members": [member("s-1", 9, **{**odd, "phase": "Gone"})]})
    assert [e.state for e in gone.endpoints] == [EndpointState.REMOVED]


@pytest.mark.parametrize(
    "text",
    [b"[" * 100_000, b'{"revision": "\xff"}', b'{"revision": ' + b"9" * 5000 + b"}", b'{"revision": 1e400}'],
)
def test_an_unreadable_list_gets_a_plain_line(text: bytes, caplog: pytest.LogCaptureFixture) -> None:
    async def body(loop: StillClock) -> None:
        async with Peer() as agent:
            w = Watched(loop, agent, GRACES[-1])
            _, writer = await w.established()
            writer.write(answer(200, text))
            await w.fail()
            w.watch.stop()

    on_still_clock(body)
    [line] = caplog.records
    assert line.exc_info is None and "\n" not in line.getMessage() and len(line.getMessage()) < 300


@pytest.mark.parametrize(
    ("phases", "state"),
    [
        (("Ready", "Terminating"), EndpointState.DRAINING),
        (("Terminating", "Ready"), EndpointState.DRAINING),
        (("Gone", "Ready"), EndpointState.REMOVED),
        (("Ready", "Gone"), EndpointState.REMOVED),
    ],
)
def test_of_two_entries_for_one_server_the_less_ready_counts(
    phases: tuple[str, str], state: EndpointState
) -> None:
    reader = Reader(config())
    told, places = reader.read({"revision": 2, "members": [member("s-1", 9, phase=p) for p in phases]})
    assert [e.state for e in told.endpoints] == [state]
    assert bool(places) is (state is not EndpointState.REMOVED)
    assert reader.unclear


@socket_test
async def test_news_of_nobody_is_looked_up_in_the_whole_list_once() -> None:
    script = Script(lambda event: [])
    async with Peer() as discovery, running(script, discovery=f"127.0.0.1:{discovery.port}") as door:
        reader, writer = await discovery.connection()
        await read_message(reader)
        writer.write(full(41, member("s-1", 9), member("s-2", 9)))
        assert "index=41&" in (await read_message(reader))[0]
        writer.write(changes(42, {"phase": "Terminating"}, member("s-2", 9, phase="Terminating")))
        assert (await read_message(reader))[0].startswith("GET /catalog/members HTTP")
        told = await script.wait_for(EndpointListUpdate, 3)
        assert [(e.endpoint_id, e.state) for e in told[2].endpoints] == [
            (b"s-2", EndpointState.DRAINING)
        ]  # at once
        writer.write(full(42, {"phase": "Ready"}, member("s-1", 9, phase="Terminating")))
        assert "index=42&" in (await read_message(reader))[0]  # what cannot be read for good holds up nothing
        assert door.program.discovery.version == 42


@socket_test
async def test_what_is_open_goes_on_at_a_server_whose_address_cannot_be_read() -> None:
    for news in (full, changes):
        async with (
            Peer() as discovery,
            Peer() as backend,
            running(Script(send_all), discovery=f"127.0.0.1:{discovery.port}") as door,
        ):
            to_agent, agent = await discovery.connection()
            await read_message(to_agent)
            agent.write(full(5, member("s-1", backend.port)))
            await read_message(to_agent)
            client, to_door = await door.client()
            to_door.write(ask())
            reader, writer = await backend.connection()
            await read_message(reader)
            agent.write(news(6, member("s-1", backend.port, host_port="?")))
            await read_message(to_agent)
            assert door.program.door.places == {b"s-1": ("127.0.0.1", backend.port)}
            writer.write(answer())
            assert (await read_message(client))[2] == b"done"

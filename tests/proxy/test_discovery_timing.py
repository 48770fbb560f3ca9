"""How late we learn of a change at worst: the sums of the table, and its states on a manual clock."""

import asyncio
import threading
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from tests.discovery_responses import ENDLESS_HEAD, snapshot
from tests.loopback import (
    TEST_TIMEOUT_S,
    FakeServer,
    Streams,
    endpoint_list_dict,
    make_config,
    make_response,
    member_dict,
    read_message,
    running_server,
    settings_dict,
)
from yardlane.config import Address
from yardlane.decisions.events import EndpointListUpdate
from yardlane.proxy.discovery_client import NO_VERSION, DiscoveryClient
from yardlane.proxy.discovery_connection import MAX_BODY_BYTES
from yardlane.proxy.discovery_timing import (
    INITIAL_BACKOFF_S,
    NOTIFIED_WITHIN_AFTER_RELOAD_US,
    NOTIFIED_WITHIN_US,
    PROCESSING_RESERVE_US,
    RECOVERY_WATCH_TIMEOUT_MS,
    WATCH_TIMEOUT_MS,
    worst_notification_delays_us,
)

DRAIN_GRACES_US = [0, 50_000, 1_000_000, 60_000_000]
WATCH_TIMEOUT_S = WATCH_TIMEOUT_MS / 1000
RECOVERY_WATCH_TIMEOUT_S = RECOVERY_WATCH_TIMEOUT_MS / 1000


@pytest.mark.parametrize("grace_us", DRAIN_GRACES_US)
def test_no_state_learns_of_a_change_later_than_the_bounds(grace_us: int) -> None:
    delays_us = worst_notification_delays_us(grace_us)
    assert delays_us.pop("moved") <= NOTIFIED_WITHIN_AFTER_RELOAD_US - PROCESSING_RESERVE_US
    assert max(delays_us.values()) <= NOTIFIED_WITHIN_US - PROCESSING_RESERVE_US


class ManualClockLoop(asyncio.SelectorEventLoop):
    """A loop whose clock only the test moves; a connection comes up once `may_connect` is set."""

    def __init__(self) -> None:
        self.now = 0.0
        super().__init__()
        self.refuses = False
        self.connecting = asyncio.Event()
        self.may_connect = asyncio.Event()
        self.may_connect.set()

    def time(self) -> float:
        return self.now

    async def create_connection(self, *args: Any, **more: Any) -> Any:
        self.connecting.set()
        if self.refuses:
            raise ConnectionRefusedError
        await self.may_connect.wait()
        return await super().create_connection(*args, **more)


def on_manual_clock(test: Callable[[ManualClockLoop], Awaitable[None]]) -> None:
    """Run a test on a `ManualClockLoop`; one that hangs is cancelled by real time."""
    with asyncio.Runner(loop_factory=ManualClockLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, ManualClockLoop)

        async def limited() -> None:
            task = asyncio.current_task()
            assert task is not None
            hung = threading.Timer(TEST_TIMEOUT_S, lambda: loop.call_soon_threadsafe(task.cancel))
            hung.start()
            try:
                await test(loop)
            finally:
                hung.cancel()

        runner.run(limited())


class WatchOnManualClock:
    """A discovery client on a manual clock, and the peer that is its discovery.

    The test moves the clock to just before each time that is due, or onto it. `changed_at` is when the change
    counts from, in s of that clock.
    """

    MARGIN_S = 0.001  # what comes in time comes so long before the timeout

    def __init__(self, loop: ManualClockLoop, discovery: FakeServer, grace_us: int) -> None:
        self.loop = loop
        self.discovery = discovery
        self.poll_failed = asyncio.Event()
        self.updated = asyncio.Event()
        self.fail_next_update = False
        self.changed_at = 0.0
        safety = {**settings_dict()["safety"], "drain_grace_us": grace_us}
        self.client = DiscoveryClient(
            make_config(discovery=f"127.0.0.1:{discovery.port}", settings=settings_dict(safety=safety)),
            self.on_update,
            self.poll_failed.set,
        )
        self.response_timeout_s = self.client.response_timeout_s
        self.max_backoff_s = self.client.max_backoff_s

    def on_update(self, update: EndpointListUpdate, addresses: dict[bytes, Address]) -> None:
        if self.fail_next_update:
            self.fail_next_update = False
            raise RuntimeError("an error of ours")
        self.updated.set()

    async def slow_poll(self, after_s: float) -> Streams:
        """The poll that is due in `after_s` gets its connection as late as it may; its request was read."""
        self.loop.connecting.clear()
        self.loop.may_connect.clear()
        self.loop.now += after_s
        await self.loop.connecting.wait()
        self.loop.now += self.response_timeout_s - self.MARGIN_S
        self.loop.may_connect.set()
        reader, writer = await self.discovery.accept_connection()
        await read_message(reader)
        return reader, writer

    async def until_poll_failed(self) -> None:
        """Until the poll has failed whose timeout is reached now."""
        await self.poll_failed.wait()
        self.poll_failed.clear()

    async def reach_max_backoff(self) -> None:
        """Refuse connections until the backoff is as long as it gets; the last poll has just failed."""
        self.loop.refuses = True
        for _ in range(9):
            self.loop.now += self.max_backoff_s
            await self.until_poll_failed()
        self.loop.refuses = False

    async def established(self) -> Streams:
        """The whole list has been sent, and the client watches."""
        self.client.start()
        reader, writer = await self.discovery.accept_connection()
        await read_message(reader)
        writer.write(snapshot(41, member_dict("s-1", 9)))
        assert f"index=41&wait={WATCH_TIMEOUT_MS} " in (await read_message(reader))[0]
        self.updated.clear()
        self.changed_at = self.loop.now
        return reader, writer

    async def drip_until(self, writer: asyncio.StreamWriter, timeout_s: float) -> None:
        """A byte in the middle of the time and one at its end, which do not give the response more of it."""
        for _ in range(2):
            writer.write(b" ")
            self.loop.now += timeout_s / 2
            await asyncio.sleep(0)


# Each brings a watch into a state as its change comes, and returns the backoff that it is in, in s.


async def silent_watch(watch: WatchOnManualClock) -> float:
    await watch.established()
    watch.loop.now += WATCH_TIMEOUT_S + watch.response_timeout_s
    await watch.until_poll_failed()
    return INITIAL_BACKOFF_S


async def partial_watch_response(watch: WatchOnManualClock) -> float:
    _, writer = await watch.established()
    writer.write(snapshot(42, member_dict("s-1", 9))[:-9])
    await watch.drip_until(writer, WATCH_TIMEOUT_S + watch.response_timeout_s)
    await watch.until_poll_failed()
    return INITIAL_BACKOFF_S


async def watch_reset(watch: WatchOnManualClock) -> float:
    _, writer = await watch.established()
    writer.transport.abort()
    await watch.until_poll_failed()
    return INITIAL_BACKOFF_S


async def refused(watch: WatchOnManualClock) -> float:
    watch.client.start()
    await watch.reach_max_backoff()
    watch.changed_at = watch.loop.now
    return watch.max_backoff_s


async def never_connected(watch: WatchOnManualClock) -> float:
    await refused(watch)
    watch.loop.connecting.clear()
    watch.loop.may_connect.clear()
    watch.loop.now += watch.max_backoff_s
    await watch.loop.connecting.wait()
    watch.changed_at = watch.loop.now
    watch.loop.now += watch.response_timeout_s
    await watch.until_poll_failed()
    return watch.max_backoff_s


async def slow_snapshot(watch: WatchOnManualClock) -> float:
    """The whole list drips in."""
    watch.changed_at = await refused(watch) + watch.loop.now
    _, writer = await watch.slow_poll(watch.max_backoff_s)
    writer.write(snapshot(42, member_dict("s-1", 9))[:-9])
    await watch.drip_until(writer, watch.response_timeout_s)
    await watch.until_poll_failed()
    return watch.max_backoff_s


async def slow_recovery_watch(watch: WatchOnManualClock) -> float:
    _, writer = await watch.established()
    writer.transport.abort()
    await watch.until_poll_failed()
    await watch.reach_max_backoff()
    watch.changed_at = watch.loop.now + watch.max_backoff_s
    await watch.slow_poll(watch.max_backoff_s)
    watch.loop.now += watch.response_timeout_s + RECOVERY_WATCH_TIMEOUT_S
    await watch.until_poll_failed()
    return watch.max_backoff_s


async def malformed_list(watch: WatchOnManualClock) -> float:
    await refused(watch)
    _, writer = await watch.slow_poll(watch.max_backoff_s)
    watch.changed_at = watch.loop.now
    writer.write(make_response(200, b"{"))
    await watch.until_poll_failed()
    return watch.max_backoff_s


async def internal_error(watch: WatchOnManualClock) -> float:
    watch.fail_next_update = True
    await refused(watch)
    _, writer = await watch.slow_poll(watch.max_backoff_s)
    watch.changed_at = watch.loop.now
    writer.write(snapshot(42, member_dict("s-1", 9)))
    await watch.until_poll_failed()
    return watch.max_backoff_s


async def moved(watch: WatchOnManualClock) -> float:
    await watch.established()
    watch.client.move(watch.client.address)
    await watch.slow_poll(0)
    watch.loop.now += watch.response_timeout_s
    await watch.until_poll_failed()
    return INITIAL_BACKOFF_S


STATES: list[tuple[str, Callable[[WatchOnManualClock], Awaitable[float]]]] = [
    ("silent watch", silent_watch),
    ("partial watch response", partial_watch_response),
    ("watch reset", watch_reset),
    ("refused", refused),
    ("never connected", never_connected),
    ("slow response", slow_snapshot),
    ("slow response", slow_recovery_watch),
    ("malformed list", malformed_list),
    ("internal error", internal_error),
    ("moved", moved),
]


@pytest.mark.parametrize(("state", "bring"), STATES, ids=lambda of: getattr(of, "__name__", ""))
@pytest.mark.parametrize("grace_us", [DRAIN_GRACES_US[0], DRAIN_GRACES_US[-1]])
def test_a_change_is_learned_of_in_time_in_every_state(
    state: str, bring: Callable[[WatchOnManualClock], Awaitable[float]], grace_us: int
) -> None:
    """An endpoint begins to drain while discovery is silent, refuses us, stalls or sends nonsense; discovery
    then returns. We must learn of it within the bound from then on, or we send to it after its grace.
    The table's sum must be what it really takes, or the bound would hold for the sum alone."""

    async def body(loop: ManualClockLoop) -> None:
        async with FakeServer() as discovery:
            watch = WatchOnManualClock(loop, discovery, grace_us)
            backoff_s = await bring(watch)
            _, writer = await watch.slow_poll(backoff_s)
            loop.now += watch.response_timeout_s - watch.MARGIN_S
            if watch.client.version != NO_VERSION:
                loop.now += RECOVERY_WATCH_TIMEOUT_S
            writer.write(snapshot(43, member_dict("s-1", 9, phase="Terminating")))
            await watch.updated.wait()
            watch.client.stop()
            took_s = loop.now - watch.changed_at
            worst_s = worst_notification_delays_us(grace_us)[state] / 1e6
            assert worst_s - INITIAL_BACKOFF_S - 5 * watch.MARGIN_S <= took_s <= worst_s
            bound_us = NOTIFIED_WITHIN_AFTER_RELOAD_US if state == "moved" else NOTIFIED_WITHIN_US
            assert took_s <= (bound_us - PROCESSING_RESERVE_US) / 1e6

    on_manual_clock(body)


def test_every_state_of_the_table_is_played() -> None:
    assert {state for state, _ in STATES} | {"start"} == set(worst_notification_delays_us(0))


HEALTH_REQUEST = b"GET /_health HTTP/1.1\r\nHost: svc\r\n\r\n"


async def misbehave(
    discovery: FakeServer, loop: ManualClockLoop, behaviour: str, response_timeout_s: float
) -> None:
    """Let the first poll run into its timeout, or fail, by what discovery does."""
    if behaviour == "refuses":
        return
    if behaviour == "never comes up":
        loop.now += response_timeout_s
        return
    reader, writer = await discovery.accept_connection()
    await read_message(reader)
    if behaviour != "is silent":
        writer.write(ENDLESS_HEAD)
    if behaviour == "sends too much":
        writer.write(b"%x\r\n%b" % (MAX_BODY_BYTES + 1, bytes(MAX_BODY_BYTES + 1)))
        return
    for _ in range(4):
        if behaviour == "drips":
            writer.write(b"1\r\n \r\n")
        loop.now += response_timeout_s / 4
        await asyncio.sleep(0)


@pytest.mark.parametrize(
    "cached_list", [endpoint_list_dict(member_dict("s-1", 9)), endpoint_list_dict(), None]
)
@pytest.mark.parametrize("behaviour", ["refuses", "never comes up", "is silent", "drips", "sends too much"])
def test_a_new_process_is_ready_after_its_first_poll(
    behaviour: str, cached_list: dict[str, Any] | None
) -> None:
    """A process starts while discovery is broken. It must not wait for ever: once its first poll has failed,
    it serves by the cached list, where that names an endpoint."""

    async def body(loop: ManualClockLoop) -> None:
        loop.refuses = behaviour == "refuses"
        if behaviour == "never comes up":
            loop.may_connect.clear()
        async with (
            FakeServer() as discovery,
            running_server(discovery=f"127.0.0.1:{discovery.port}", known=cached_list) as server,
        ):
            client = server.discovery
            poll_ended = asyncio.Event()
            on_poll_failed = client.on_poll_failed

            def note_failure() -> None:
                on_poll_failed()
                poll_ended.set()

            client.on_poll_failed = note_failure
            assert not server.proxy.is_ready()
            await loop.connecting.wait()
            await misbehave(discovery, loop, behaviour, client.response_timeout_s)
            await poll_ended.wait()
            grace_us = server.proxy.settings.drain_grace_us
            assert loop.now <= worst_notification_delays_us(grace_us)["start"] / 1e6 <= 10
            loop.refuses = False
            loop.may_connect.set()
            is_ready = bool(cached_list and cached_list["members"])
            assert server.proxy.is_ready() is is_ready
            assert (await server.fetch(HEALTH_REQUEST))[0].split()[1] == ("200" if is_ready else "503")

    on_manual_clock(body)


@pytest.mark.parametrize(
    "body",
    [b"[" * 100_000, b'{"revision": "\xff"}', b'{"revision": ' + b"9" * 5000 + b"}", b'{"revision": 1e400}'],
    ids=lambda body: repr(body[:24]),
)
def test_a_malformed_list_gets_a_plain_line(body: bytes, caplog: pytest.LogCaptureFixture) -> None:
    """Discovery sends what cannot be parsed. The log gets one short line of it, and no traceback."""

    async def play(loop: ManualClockLoop) -> None:
        async with FakeServer() as discovery:
            watch = WatchOnManualClock(loop, discovery, DRAIN_GRACES_US[-1])
            _, writer = await watch.established()
            writer.write(make_response(200, body))
            await watch.until_poll_failed()
            watch.client.stop()

    on_manual_clock(play)
    [line] = caplog.records
    assert line.exc_info is None and "\n" not in line.getMessage() and len(line.getMessage()) < 300

"""Tests of the worst-case delay until a change of the endpoint list is received.

For each state of the discovery client, the computed delay is compared with a simulated one. The simulations
run on an event loop whose clock the test advances. The module also tests the start of a process while
discovery is faulty.
"""

import asyncio
import threading
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from tests.discovery_responses import (
    CHUNKED_RESPONSE_HEAD,
    delta_body,
    response_without_length,
    snapshot_body,
    snapshot_response,
)
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
    MAX_NOTIFICATION_DELAY_AFTER_RELOAD_US,
    MAX_NOTIFICATION_DELAY_US,
    PROCESSING_RESERVE_US,
    RECOVERY_WATCH_TIMEOUT_MS,
    WATCH_TIMEOUT_MS,
    worst_case_notification_delays_us,
)

DRAIN_GRACES_US = [0, 50_000, 1_000_000, 60_000_000]
WATCH_TIMEOUT_S = WATCH_TIMEOUT_MS / 1000
RECOVERY_WATCH_TIMEOUT_S = RECOVERY_WATCH_TIMEOUT_MS / 1000
# A watch continues if the next call comes within this time of the last response (protocol page).
MAX_PAUSE_OF_A_WATCH_S = 0.2
EVENT_LOOP_TURNS = 20


@pytest.mark.parametrize("grace_us", DRAIN_GRACES_US)
def test_worst_case_delays_are_within_bounds(grace_us: int) -> None:
    delays_us = worst_case_notification_delays_us(grace_us)
    assert delays_us.pop("moved") <= MAX_NOTIFICATION_DELAY_AFTER_RELOAD_US - PROCESSING_RESERVE_US
    assert max(delays_us.values()) <= MAX_NOTIFICATION_DELAY_US - PROCESSING_RESERVE_US


class ManualClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock only the test advances.

    A connection is established once `may_connect` is set, or refused if `refuses_connections` is True.
    `connect_requested` is set when the client begins to connect.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        super().__init__()
        self.refuses_connections = False
        self.connect_requested = asyncio.Event()
        self.may_connect = asyncio.Event()
        self.may_connect.set()

    def time(self) -> float:
        return self.now_s

    async def create_connection(self, *args: Any, **kwargs: Any) -> Any:
        self.connect_requested.set()
        if self.refuses_connections:
            raise ConnectionRefusedError
        await self.may_connect.wait()
        return await super().create_connection(*args, **kwargs)


def run_on_manual_clock(test: Callable[[ManualClockLoop], Awaitable[None]]) -> None:
    """Run a test on a `ManualClockLoop`; cancel it if it takes longer than `TEST_TIMEOUT_S` of real time."""
    with asyncio.Runner(loop_factory=ManualClockLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, ManualClockLoop)

        async def run_with_time_limit() -> None:
            task = asyncio.current_task()
            assert task is not None
            hang_timer = threading.Timer(TEST_TIMEOUT_S, lambda: loop.call_soon_threadsafe(task.cancel))
            hang_timer.start()
            try:
                await test(loop)
            finally:
                hang_timer.cancel()

        runner.run(run_with_time_limit())


class ManualClockHarness:
    """A discovery client on a `ManualClockLoop`, together with its fake discovery.

    The methods advance the clock to a timeout, or to just before it. `changed_at_s` is the time on that clock
    from which the delay is measured until the change is received.
    """

    MARGIN_S = 0.001  # a step that must not time out ends this long before its timeout

    def __init__(self, loop: ManualClockLoop, discovery: FakeServer, grace_us: int) -> None:
        self.loop = loop
        self.discovery = discovery
        self.poll_failed = asyncio.Event()
        self.updated = asyncio.Event()
        self.fail_next_update = False
        self.changed_at_s = 0.0
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
            raise RuntimeError("simulated internal error")
        self.updated.set()

    async def accept_slow_poll(self, after_s: float) -> Streams:
        """Let the poll that is due in `after_s` connect just before its timeout, and read its request.

        Return the streams of its connection.
        """
        self.loop.connect_requested.clear()
        self.loop.may_connect.clear()
        self.loop.now_s += after_s
        await self.loop.connect_requested.wait()
        self.loop.now_s += self.response_timeout_s - self.MARGIN_S
        self.loop.may_connect.set()
        reader, writer = await self.discovery.accept_connection()
        await read_message(reader)
        return reader, writer

    async def wait_for_poll_failure(self) -> None:
        """Wait until the current poll has failed."""
        await self.poll_failed.wait()
        self.poll_failed.clear()

    async def reach_max_backoff(self) -> None:
        """Refuse connections until the backoff has reached its maximum; return just after a failed poll."""
        self.loop.refuses_connections = True
        for _ in range(9):
            self.loop.now_s += self.max_backoff_s
            await self.wait_for_poll_failure()
        self.loop.refuses_connections = False

    async def establish_watch(self) -> Streams:
        """Start the client, send it the complete list, and return the streams once its watch has arrived."""
        self.client.start()
        reader, writer = await self.discovery.accept_connection()
        await read_message(reader)
        writer.write(snapshot_response(41, member_dict("s-1", 9)))
        assert f"index=41&wait={WATCH_TIMEOUT_MS} " in (await read_message(reader))[0]
        self.updated.clear()
        self.changed_at_s = self.loop.now_s
        return reader, writer

    async def send_slowly(self, writer: asyncio.StreamWriter, timeout_s: float) -> None:
        """Write a response byte by byte until the timeout has elapsed; the bytes must not extend it."""
        for _ in range(2):
            writer.write(b" ")
            self.loop.now_s += timeout_s / 2
            await asyncio.sleep(0)


# Each of these functions brings the client into one of the states of `worst_case_notification_delays_us`. It
# sets `changed_at_s`, waits until the last poll that cannot receive the change has failed, and returns the
# backoff in seconds after which the next poll is due.


async def silent_watch(harness: ManualClockHarness) -> float:
    await harness.establish_watch()
    harness.loop.now_s += WATCH_TIMEOUT_S + harness.response_timeout_s
    await harness.wait_for_poll_failure()
    return INITIAL_BACKOFF_S


async def partial_watch_response(harness: ManualClockHarness) -> float:
    _, writer = await harness.establish_watch()
    writer.write(snapshot_response(42, member_dict("s-1", 9))[:-9])
    await harness.send_slowly(writer, WATCH_TIMEOUT_S + harness.response_timeout_s)
    await harness.wait_for_poll_failure()
    return INITIAL_BACKOFF_S


async def silent_watch_after_list_without_length(harness: ManualClockHarness) -> float:
    """The last response had nothing new and ended with its connection; the watch after it connects late."""
    _, writer = await harness.establish_watch()
    writer.write(response_without_length(delta_body(41)))
    writer.close()
    await harness.accept_slow_poll(INITIAL_BACKOFF_S)
    harness.changed_at_s = harness.loop.now_s - INITIAL_BACKOFF_S
    harness.loop.now_s += WATCH_TIMEOUT_S + harness.response_timeout_s
    await harness.wait_for_poll_failure()
    return INITIAL_BACKOFF_S


async def endless_watch_response_without_length(harness: ManualClockHarness) -> float:
    """The whole list arrives without a length, then single bytes, and the connection never ends."""
    _, writer = await harness.establish_watch()
    writer.write(response_without_length(snapshot_body(42, member_dict("s-1", 9))))
    await harness.send_slowly(writer, WATCH_TIMEOUT_S + harness.response_timeout_s)
    await harness.wait_for_poll_failure()
    return INITIAL_BACKOFF_S


async def watch_reset(harness: ManualClockHarness) -> float:
    _, writer = await harness.establish_watch()
    writer.transport.abort()
    await harness.wait_for_poll_failure()
    return INITIAL_BACKOFF_S


async def refused(harness: ManualClockHarness) -> float:
    harness.client.start()
    await harness.reach_max_backoff()
    harness.changed_at_s = harness.loop.now_s
    return harness.max_backoff_s


async def never_connected(harness: ManualClockHarness) -> float:
    await refused(harness)
    harness.loop.connect_requested.clear()
    harness.loop.may_connect.clear()
    harness.loop.now_s += harness.max_backoff_s
    await harness.loop.connect_requested.wait()
    harness.changed_at_s = harness.loop.now_s
    harness.loop.now_s += harness.response_timeout_s
    await harness.wait_for_poll_failure()
    return harness.max_backoff_s


async def slow_snapshot(harness: ManualClockHarness) -> float:
    """The complete list arrives byte by byte."""
    harness.changed_at_s = await refused(harness) + harness.loop.now_s
    _, writer = await harness.accept_slow_poll(harness.max_backoff_s)
    writer.write(snapshot_response(42, member_dict("s-1", 9))[:-9])
    await harness.send_slowly(writer, harness.response_timeout_s)
    await harness.wait_for_poll_failure()
    return harness.max_backoff_s


async def slow_recovery_watch(harness: ManualClockHarness) -> float:
    """After an outage, the connection for a watch is established late, and the watch is not answered."""
    _, writer = await harness.establish_watch()
    writer.transport.abort()
    await harness.wait_for_poll_failure()
    await harness.reach_max_backoff()
    harness.changed_at_s = harness.loop.now_s + harness.max_backoff_s
    await harness.accept_slow_poll(harness.max_backoff_s)
    harness.loop.now_s += harness.response_timeout_s + RECOVERY_WATCH_TIMEOUT_S
    await harness.wait_for_poll_failure()
    return harness.max_backoff_s


async def malformed_list(harness: ManualClockHarness) -> float:
    await refused(harness)
    _, writer = await harness.accept_slow_poll(harness.max_backoff_s)
    harness.changed_at_s = harness.loop.now_s
    writer.write(make_response(200, b"{"))
    await harness.wait_for_poll_failure()
    return harness.max_backoff_s


async def internal_error(harness: ManualClockHarness) -> float:
    harness.fail_next_update = True
    await refused(harness)
    _, writer = await harness.accept_slow_poll(harness.max_backoff_s)
    harness.changed_at_s = harness.loop.now_s
    writer.write(snapshot_response(42, member_dict("s-1", 9)))
    await harness.wait_for_poll_failure()
    return harness.max_backoff_s


async def moved(harness: ManualClockHarness) -> float:
    """The address of discovery changes."""
    await harness.establish_watch()
    harness.client.change_address(harness.client.address)
    await harness.accept_slow_poll(0)
    harness.loop.now_s += harness.response_timeout_s
    await harness.wait_for_poll_failure()
    return INITIAL_BACKOFF_S


SCENARIOS: list[tuple[str, Callable[[ManualClockHarness], Awaitable[float]]]] = [
    ("silent watch", silent_watch),
    ("silent watch", silent_watch_after_list_without_length),
    ("partial watch response", partial_watch_response),
    ("partial watch response", endless_watch_response_without_length),
    ("watch reset", watch_reset),
    ("refused", refused),
    ("never connected", never_connected),
    ("slow response", slow_snapshot),
    ("slow response", slow_recovery_watch),
    ("malformed list", malformed_list),
    ("internal error", internal_error),
    ("moved", moved),
]


@pytest.mark.parametrize(
    ("state", "enter_state"), SCENARIOS, ids=lambda value: getattr(value, "__name__", "")
)
@pytest.mark.parametrize("grace_us", [DRAIN_GRACES_US[0], DRAIN_GRACES_US[-1]])
def test_change_is_received_in_time_in_every_state(
    state: str, enter_state: Callable[[ManualClockHarness], Awaitable[float]], grace_us: int
) -> None:
    """An endpoint begins to drain while discovery hangs, refuses connections, stalls or sends malformed data.

    When discovery works again, the change must be received within the bound. Otherwise requests would be sent
    to the endpoint after its drain grace. The simulated delay must also match the computed one, so that the
    check of the computed delays holds for the real client.
    """

    async def run_scenario(loop: ManualClockLoop) -> None:
        async with FakeServer() as discovery:
            harness = ManualClockHarness(loop, discovery, grace_us)
            backoff_s = await enter_state(harness)
            _, writer = await harness.accept_slow_poll(backoff_s)
            loop.now_s += harness.response_timeout_s - harness.MARGIN_S
            if harness.client.version != NO_VERSION:
                loop.now_s += RECOVERY_WATCH_TIMEOUT_S
            writer.write(snapshot_response(43, member_dict("s-1", 9, phase="Terminating")))
            await harness.updated.wait()
            harness.client.stop()
            delay_s = loop.now_s - harness.changed_at_s
            worst_case_s = worst_case_notification_delays_us(grace_us)[state] / 1e6
            assert worst_case_s - INITIAL_BACKOFF_S - 5 * harness.MARGIN_S <= delay_s <= worst_case_s
            bound_us = (
                MAX_NOTIFICATION_DELAY_AFTER_RELOAD_US if state == "moved" else MAX_NOTIFICATION_DELAY_US
            )
            assert delay_s <= (bound_us - PROCESSING_RESERVE_US) / 1e6

    run_on_manual_clock(run_scenario)


@pytest.mark.parametrize("has_news", [True, False], ids=["news", "nothing new"])
def test_watch_follows_a_list_without_length_as_soon_as_one_with_a_length(has_news: bool) -> None:
    """Each response of discovery ends with its connection, so the next watch needs a new one.

    Discovery counts a watch that comes more than 200 ms after the last response as a new one.
    """

    async def run_scenario(loop: ManualClockLoop) -> None:
        async with FakeServer() as discovery:
            harness = ManualClockHarness(loop, discovery, DRAIN_GRACES_US[-1])
            _, writer = await harness.establish_watch()
            loop.connect_requested.clear()
            writer.write(
                response_without_length(delta_body(42, member_dict("s-1", 9)) if has_news else delta_body(41))
            )
            writer.close()
            if has_news:
                await loop.connect_requested.wait()
            else:
                for _ in range(EVENT_LOOP_TURNS):
                    await asyncio.sleep(0)
                assert not loop.connect_requested.is_set()
                loop.now_s += INITIAL_BACKOFF_S
                await loop.connect_requested.wait()
            delay_s = loop.now_s - harness.changed_at_s
            assert delay_s <= MAX_PAUSE_OF_A_WATCH_S
            reader, _ = await discovery.accept_connection()
            assert f"index={42 if has_news else 41}&" in (await read_message(reader))[0]
            harness.client.stop()

    run_on_manual_clock(run_scenario)


def test_every_state_has_a_scenario() -> None:
    assert {state for state, _ in SCENARIOS} | {"start"} == set(worst_case_notification_delays_us(0))


HEALTH_REQUEST = b"GET /_health HTTP/1.1\r\nHost: svc\r\n\r\n"


async def simulate_faulty_discovery(
    discovery: FakeServer, loop: ManualClockLoop, behaviour: str, response_timeout_s: float
) -> None:
    """Make the first poll time out or fail, in the way that `behaviour` says.

    "never comes up": connecting times out. "drips": the body arrives byte by byte until the response times
    out. "sends too much": the body is larger than `MAX_BODY_BYTES`.
    """
    if behaviour == "refuses":
        return
    if behaviour == "never comes up":
        loop.now_s += response_timeout_s
        return
    reader, writer = await discovery.accept_connection()
    await read_message(reader)
    if behaviour != "is silent":
        writer.write(CHUNKED_RESPONSE_HEAD)
    if behaviour == "sends too much":
        writer.write(b"%x\r\n%b" % (MAX_BODY_BYTES + 1, bytes(MAX_BODY_BYTES + 1)))
        return
    for _ in range(4):
        if behaviour == "drips":
            writer.write(b"1\r\n \r\n")
        loop.now_s += response_timeout_s / 4
        await asyncio.sleep(0)


@pytest.mark.parametrize(
    "cached_list", [endpoint_list_dict(member_dict("s-1", 9)), endpoint_list_dict(), None]
)
@pytest.mark.parametrize("behaviour", ["refuses", "never comes up", "is silent", "drips", "sends too much"])
def test_new_process_uses_cached_list_after_first_failed_poll(
    behaviour: str, cached_list: dict[str, Any] | None
) -> None:
    """A process starts while discovery is faulty, and must not wait for it indefinitely.

    Once the first poll has failed, the process must use the cached list. If that list has an endpoint, the
    process must be ready.
    """

    async def run_scenario(loop: ManualClockLoop) -> None:
        loop.refuses_connections = behaviour == "refuses"
        if behaviour == "never comes up":
            loop.may_connect.clear()
        async with (
            FakeServer() as discovery,
            running_server(discovery=f"127.0.0.1:{discovery.port}", known=cached_list) as server,
        ):
            client = server.discovery
            poll_failed = asyncio.Event()
            on_poll_failed = client.on_poll_failed

            def record_poll_failure() -> None:
                on_poll_failed()
                poll_failed.set()

            client.on_poll_failed = record_poll_failure
            assert not server.proxy.is_ready()
            await loop.connect_requested.wait()
            await simulate_faulty_discovery(discovery, loop, behaviour, client.response_timeout_s)
            await poll_failed.wait()
            grace_us = server.proxy.settings.drain_grace_us
            assert loop.now_s <= worst_case_notification_delays_us(grace_us)["start"] / 1e6 <= 10
            loop.refuses_connections = False
            loop.may_connect.set()
            is_ready = bool(cached_list and cached_list["members"])
            assert server.proxy.is_ready() is is_ready
            assert (await server.fetch(HEALTH_REQUEST))[0].split()[1] == ("200" if is_ready else "503")

    run_on_manual_clock(run_scenario)


@pytest.mark.parametrize(
    "body",
    [b"[" * 100_000, b'{"revision": "\xff"}', b'{"revision": ' + b"9" * 5000 + b"}", b'{"revision": 1e400}'],
    ids=lambda body: repr(body[:24]),
)
def test_malformed_list_is_logged_as_one_short_line(body: bytes, caplog: pytest.LogCaptureFixture) -> None:
    """Discovery sends a list that is not valid. The log must get a single short line without a traceback."""

    async def run_scenario(loop: ManualClockLoop) -> None:
        async with FakeServer() as discovery:
            harness = ManualClockHarness(loop, discovery, DRAIN_GRACES_US[-1])
            _, writer = await harness.establish_watch()
            writer.write(make_response(200, body))
            await harness.wait_for_poll_failure()
            harness.client.stop()

    run_on_manual_clock(run_scenario)
    [record] = caplog.records
    assert record.exc_info is None and "\n" not in record.getMessage() and len(record.getMessage()) < 300

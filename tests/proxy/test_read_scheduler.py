"""Tests how the time for parsing is divided among client connections."""

import pytest

from tests.client_side import ManualClock, connect_clients, only_connection
from tests.loopback import (
    HEALTH_CHECK,
    RunningServer,
    ScriptedDecider,
    leave_pending,
    make_request,
    read_message,
    read_status,
    read_until_closed,
    reject_all,
    running_server,
    uvloop_test,
    wait_until,
)
from yardlane.proxy.client_connection import REQUEST_TIMEOUT_S, ClientConnection
from yardlane.proxy.client_state import ClientState
from yardlane.proxy.read_backlog import ReadBacklog
from yardlane.proxy.read_scheduler import (
    MAX_COST_AT_ONCE,
    MAX_COST_PER_ITERATION,
    MAX_ENTRIES_PER_WAITING,
    SLICE_BYTES,
    ReadScheduler,
)

SHORT_FIELDS = b"a:\r\n" * 600
LARGE_READ = (make_request()[:-2] + SHORT_FIELDS + b"\r\n") * 60


class CountingRunner:
    """Runs slices of a fixed cost until none is left, and records them in a common list."""

    def __init__(self, name: str, slices: int, cost: int, scheduler: ReadScheduler, taken: list[str]) -> None:
        self.name = name
        self.slices = slices
        self.cost = cost
        self.scheduler = scheduler
        self.taken = taken
        self.fails = False

    def slice_priority(self) -> int:
        return self.slices * self.cost

    def run_slice(self) -> int:
        self.taken.append(self.name)
        self.slices -= 1
        if self.slices:
            self.scheduler.add(self)
        if self.fails:
            raise RuntimeError("a slice fails")
        return self.cost


class SteppingLoop:
    """Stands in for the event loop: runs the callbacks of one iteration at a time."""

    def __init__(self) -> None:
        self.callbacks: list[object] = []

    def call_soon(self, callback: object) -> None:
        self.callbacks.append(callback)

    def run_iteration(self) -> None:
        """Run the callbacks that have been scheduled so far."""
        callbacks, self.callbacks = self.callbacks, []
        for callback in callbacks:
            assert callable(callback)
            callback()


def make_scheduler() -> tuple[ReadScheduler, SteppingLoop]:
    loop = SteppingLoop()
    return ReadScheduler(loop), loop  # type: ignore[arg-type]


def test_slices_of_one_iteration_are_limited_and_the_rest_follows() -> None:
    """Hundreds of clients send large reads at once. One iteration parsed all of them, for up to seconds."""
    scheduler, loop = make_scheduler()
    taken: list[str] = []
    turns_per_iteration = MAX_COST_PER_ITERATION // SLICE_BYTES
    for number in range(100):
        scheduler.add(CountingRunner(str(number), 3, SLICE_BYTES, scheduler, taken))
    loop.run_iteration()
    assert len(taken) == turns_per_iteration
    while loop.callbacks:
        loop.run_iteration()
    assert len(taken) == 300


def test_connection_with_the_least_left_has_the_next_slice_and_is_finished_first() -> None:
    """A usual client waits behind clients that send very much. If these advanced together, they would also
    end together, and their next large reads would come in one burst."""
    scheduler, loop = make_scheduler()
    taken: list[str] = []
    for name in ("large 1", "large 2"):
        scheduler.add(CountingRunner(name, 5, SLICE_BYTES, scheduler, taken))
    loop.run_iteration()
    scheduler.add(CountingRunner("small", 1, 500, scheduler, taken))
    while loop.callbacks:
        loop.run_iteration()
    first = MAX_COST_PER_ITERATION // SLICE_BYTES
    assert taken[: first + 1] == ["large 1"] * first + ["small"]
    last_slice = {name: len(taken) - 1 - taken[::-1].index(name) for name in ("large 1", "large 2")}
    assert last_slice["large 2"] == len(taken) - 1 and last_slice["large 1"] <= 5 + len(taken) // 4


def test_large_request_gets_slices_while_there_are_always_smaller_ones() -> None:
    """Small requests arrive without an end. A large one was put off for as long as there are any."""
    scheduler, loop = make_scheduler()
    taken: list[str] = []
    scheduler.add(CountingRunner("large", 5, SLICE_BYTES, scheduler, taken))
    iterations = 0
    while taken.count("large") < 5:
        for _ in range(20):
            scheduler.add(CountingRunner("small", 1, 500, scheduler, taken))
        loop.run_iteration()
        iterations += 1
        assert iterations <= 500
    assert len(taken) <= 5 * 500


def test_connections_that_have_had_their_slice_are_not_kept() -> None:
    """Slices by arrival leave entries behind in the order of priority, and the other way round."""
    scheduler, loop = make_scheduler()
    taken: list[str] = []
    for _ in range(2000):
        scheduler.add(CountingRunner("large", 1, 10 * SLICE_BYTES, scheduler, taken))
        scheduler.add(CountingRunner("small", 3, 500, scheduler, taken))
        loop.run_iteration()
        kept = max(len(scheduler._by_priority), len(scheduler._by_arrival))
        assert kept <= MAX_ENTRIES_PER_WAITING * (scheduler._waiting_count + 1)
    while loop.callbacks:
        loop.run_iteration()
    assert not scheduler._by_priority and not scheduler._by_arrival


def test_small_reads_are_admitted_up_to_the_limit_of_a_tick() -> None:
    """Many clients send small requests that cost much, all in one iteration of the event loop."""
    scheduler, loop = make_scheduler()
    assert not scheduler.admits(MAX_COST_AT_ONCE + 1, now_s=1.0)
    for _ in range(MAX_COST_PER_ITERATION // SLICE_BYTES - 1):
        assert scheduler.admits(SLICE_BYTES, now_s=1.0)
    assert scheduler.admits(100, now_s=1.0)
    scheduler.spend(SLICE_BYTES - 100)
    assert not scheduler.admits(10, now_s=1.0)
    assert scheduler.admits(10, now_s=1.001)
    taken: list[str] = []
    scheduler.add(CountingRunner("waiting", 1, 10, scheduler, taken))
    assert not scheduler.admits(10, now_s=1.002)  # it would pass those that wait
    loop.run_iteration()
    assert scheduler.admits(10, now_s=1.002)


def test_slice_that_fails_does_not_end_the_slices_of_the_others() -> None:
    scheduler, loop = make_scheduler()
    taken: list[str] = []
    failing = CountingRunner("failing", 1, 10, scheduler, taken)
    failing.fails = True
    scheduler.add(failing)
    scheduler.add(CountingRunner("other", 1, 20, scheduler, taken))
    with pytest.raises(RuntimeError):
        loop.run_iteration()
    loop.run_iteration()
    assert taken == ["failing", "other"]


def test_backlog_returns_its_reads_in_order_and_never_two_in_one_part() -> None:
    backlog = ReadBacklog()
    backlog.add(b"abcde")
    backlog.add(b"fg")
    parts = []
    sizes = []
    while backlog:
        parts.append(bytes(backlog.take(3)))
        sizes.append((backlog.is_within_read(), backlog.left_bytes(), backlog.buffered_bytes))
    assert parts == [b"abc", b"de", b"fg"]
    assert sizes == [(True, 4, 7), (False, 2, 2), (False, 0, 0)]


@uvloop_test
async def test_usual_request_is_answered_before_a_large_read_has_been_parsed() -> None:
    """A client sends 100 requests of hundreds of header fields each at once, many times over. Other clients
    got their answers seconds late, as each of these reads was parsed to its end in one go."""
    async with running_server(ScriptedDecider(reject_all)) as server:
        [_, (usual, to_server)] = await connect_clients(server, 2)
        flooding, _ = server.clients.connections
        to_server.write(HEALTH_CHECK)
        flooding.data_received(LARGE_READ)
        assert await read_status(usual) == "503"
        assert flooding.reader.backlog
        to_server.write(make_request(trace="usual"))
        assert await read_status(usual) == "429"
        assert flooding.reader.backlog
        await wait_until(lambda: not flooding.reader.backlog)


@uvloop_test
async def test_reading_pauses_until_a_large_read_has_been_parsed() -> None:
    """A client goes on sending while its large read waits for slices. Reading on would fill the memory."""
    async with running_server(ScriptedDecider(reject_all)) as server:
        [(reader, _)] = await connect_clients(server, 1)
        connection = only_connection(server)
        assert connection.transport is not None
        connection.data_received(LARGE_READ)
        assert not connection.transport.is_reading()
        await wait_until(lambda: not connection.reader.backlog)
        assert connection.transport.is_reading()
        statuses = [await read_status(reader) for _ in range(60)]
        assert set(statuses) <= {"429", "409", "503"}


@uvloop_test
async def test_client_that_goes_on_sending_after_its_last_response_is_read_in_slices() -> None:
    """A connection closes after an error, and its client goes on sending at full speed. Reading all of it
    took as much processor time as the client could use; not reading would reset the connection."""
    async with running_server(ScriptedDecider(leave_pending)) as server:
        [(reader, _)] = await connect_clients(server, 1)
        connection = only_connection(server)
        assert connection.transport is not None
        connection.data_received(b"noise\r\n\r\n")
        assert connection.state is ClientState.CLOSING and connection.transport.is_reading()
        connection.data_received(bytes(SLICE_BYTES + 1))
        assert not connection.transport.is_reading()
        await wait_until(connection.transport.is_reading)
        assert (await read_until_closed(reader)).startswith(b"HTTP/1.1 400 ")


def parse_in_slices(server: RunningServer, connection: ClientConnection, data: bytes) -> None:
    """Let the connection receive `data` as a read that waits for slices."""
    connection.reader._defer(connection, data)


@uvloop_test
async def test_time_that_a_read_waits_for_slices_does_not_count_as_the_clients() -> None:
    """A request waits for slices longer than its request timeout, and its client then sends the rest."""
    async with running_server(ScriptedDecider(reject_all)) as server:
        [(reader, writer)] = await connect_clients(server, 1)
        connection = only_connection(server)
        clock = ManualClock(server.clients)
        request = make_request()
        connection.data_received(request[:20])
        clock.advance(0.5)
        parse_in_slices(server, connection, request[20:40])
        clock.advance(REQUEST_TIMEOUT_S)
        assert connection.state is ClientState.OPEN
        await wait_until(lambda: not connection.reader.backlog)
        clock.advance(REQUEST_TIMEOUT_S - 0.6)
        assert connection.state is ClientState.OPEN
        writer.write(request[40:])
        assert await read_status(reader) == "429"


@uvloop_test
async def test_waiting_for_slices_does_not_extend_a_slow_request() -> None:
    """A client sends its request in many reads that each wait for a slice. Its request timeout must still
    apply to the whole request."""
    async with running_server(ScriptedDecider(reject_all)) as server:
        [(reader, _)] = await connect_clients(server, 1)
        connection = only_connection(server)
        clock = ManualClock(server.clients)
        request = make_request()
        for position in range(4):
            parse_in_slices(server, connection, request[position : position + 1])
            await wait_until(lambda: not connection.reader.backlog)
            clock.advance(REQUEST_TIMEOUT_S / 4 + 0.01)
        assert (await read_message(reader))[0].split()[1] == "408"

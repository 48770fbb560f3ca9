"""Each attempt ends in exactly one outcome of the protocol's table."""

import asyncio
import gc
import os
import socket
import weakref
from collections.abc import Callable
from contextlib import ExitStack
from typing import Any, cast

import pytest
import uvloop

from yardlane.decisions.actions import Action, CancelAttempt, StartAttempt
from yardlane.decisions.events import AttemptEnded, Event, LoadReport, Outcome, RequestArrived, RequestEnded
from yardlane.proxy.attempt import Attempt
from yardlane.proxy.connection_reuse import MAX_SHARED_QUARANTINE_S, QUARANTINE_S
from yardlane.proxy.proxy import Proxy
from yardlane.proxy.upstream_connection import UpstreamConnection
from yardlane.proxy.upstream_pool import UpstreamPool
from tests.loopback import (
    Peer,
    RunningProxy,
    Script,
    answer,
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

CLOSE = b""  # the connection ends


@pytest.mark.parametrize(
    ("written", "result", "status"),
    [
        (answer(200, b"yes"), Outcome.OK, "200"),
        (answer(500), Outcome.ERROR, "502"),
        (answer(404), Outcome.ERROR, "502"),
        (answer(503, extra="X-Never-Ran: 1\r\n"), Outcome.REJECTED, "502"),
        (answer(504, extra="X-Never-Ran: 1\r\n"), Outcome.REJECTED, "502"),
        (answer(503), Outcome.ERROR, "502"),
        (answer(503, extra="X-Never-Ran: 0\r\n"), Outcome.ERROR, "502"),
        (answer(500, extra="X-Never-Ran: 1\r\n"), Outcome.ERROR, "502"),
        (CLOSE, Outcome.CONNECTION_LOST, "502"),
        (answer(200, b"yes")[:-1] + CLOSE, Outcome.CONNECTION_LOST, "502"),
        (b"HTTP/1.1 200 X\r\nContent-Length: 99999\r\n\r\n" + b"x" * 99_999, Outcome.CONNECTION_LOST, "502"),
        (b"nonsense\r\n\r\n", Outcome.CONNECTION_LOST, "502"),
        (b"HTTP/1.1 200 X\r\nA: " + b"x" * 20_000 + b"\r\n\r\n", Outcome.CONNECTION_LOST, "502"),
        (b"HTTP/1.1 102 X\r\n\r\n" + answer(200, b"yes"), Outcome.OK, "200"),
        (b"HTTP/1.1 200 X\r\nContent-Length: 3000000000\r\n\r\nabc", Outcome.CONNECTION_LOST, "502"),
        (b"HTTP/1.1 102 X\r\n\r\n" * 100, Outcome.CONNECTION_LOST, "502"),
        (answer(200, b"yes") + answer(200, b"yes"), Outcome.OK, "200"),
        (answer(200, b"yes") + b"\x00\xffnoise", Outcome.OK, "200"),
        (answer(200, b"yes", "Connection: close\r\n") + b"noise", Outcome.OK, "200"),
        (
            answer(extra="Endpoint-Load-Metrics: TEXT depth=x, , =3\r\nUsage-Percent: many\r\n"),
            Outcome.OK,
            "200",
        ),
    ],
)
def test_outcomes(written: bytes, result: Outcome, status: str) -> None:
    async def run() -> None:
        script = Script(send_all)
        async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
            client, to_door = await door.client()
            to_door.write(ask())
            reader, writer = await backend.connection()
            await read_message(reader)
            writer.write(written)
            if written in (CLOSE, answer(200, b"yes")[:-1]):
                writer.close()
            assert (await read_message(client))[0].split()[1] == status
            [ended] = await script.wait_for(AttemptEnded)
            assert (ended.attempt_index, ended.endpoint_id, ended.outcome) == (0, b"s-1", result)
            assert ended.request_ended is (result is Outcome.OK)
            assert backend.accepted.empty()  # nothing is sent again behind the module's back

    async def limited() -> None:
        async with asyncio.timeout(20):
            await run()

    uvloop.run(limited())


@socket_test
async def test_a_refused_connection_never_ran() -> None:
    async with Peer() as backend:
        port = backend.port
    script = Script(send_all)  # nobody listens any more
    async with running(script, known=whole_list(member("s-1", port))) as door:
        assert (await door.call(ask()))[0].split()[1] == "502"
        assert [e.outcome for e in await script.wait_for(AttemptEnded)] == [Outcome.NOT_CONNECTED]


@socket_test
async def test_a_connection_that_never_comes_up_never_ran() -> None:
    with socket.socket() as listener, ExitStack() as waiting:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)  # nobody accepts: once its line is full, the kernel lets further calls hang
        for _ in range(4):
            caller = waiting.enter_context(socket.socket())
            caller.setblocking(False)
            caller.connect_ex(listener.getsockname())
        script = Script(send_all)
        async with running(script, known=whole_list(member("s-1", listener.getsockname()[1]))) as door:
            # The client has time without end: only the connect time-out can end this.
            assert (await door.call(ask(X_Expires_In="3000000m")))[0].split()[1] == "502"
            [ended] = await script.wait_for(AttemptEnded)
            assert ended.outcome is Outcome.NOT_CONNECTED and not door.program.pool.connections


@socket_test
async def test_a_backend_never_named_gets_nothing() -> None:
    script = Script(lambda event: send_all(event, b"s-2"))
    async with running(script, known=whole_list(member("s-1", 9))) as door:
        assert (await door.call(ask()))[0].split()[1] == "502"
        assert [e.outcome for e in await script.wait_for(AttemptEnded)] == [Outcome.NOT_SENT]


@socket_test
async def test_load_and_usage_reach_the_module() -> None:
    script = Script(send_all)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        _, to_door = await door.client()
        to_door.write(ask())
        reader, writer = await backend.connection()
        await read_message(reader)
        writer.write(
            answer(
                extra="Endpoint-Load-Metrics: TEXT mean_ms=8.5, load_share=0.25, depth=3\r\n"
                "Usage-Percent: 140\r\n"
            )
        )
        [ended] = await script.wait_for(AttemptEnded)
        assert (ended.usage_percent, ended.load) == (140, LoadReport(queued=3.0, utilization=0.25))


@socket_test
async def test_the_attempts_time_out_ends_it_and_closes_its_connection() -> None:
    def short(event: Event) -> list[Action]:
        return (
            [StartAttempt(event.request_id, b"s-1", 1_000_000)]
            if isinstance(event, RequestArrived)
            else send_all(event)
        )

    script = Script(short)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        client, to_door = await door.client()
        to_door.write(ask())
        reader, _ = await backend.connection()
        await read_message(reader)
        assert (await read_message(client))[0].split()[1] == "502"
        [ended] = await script.wait_for(AttemptEnded)
        assert ended.outcome is Outcome.TIMED_OUT and not ended.request_ended
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await reader.readexactly(1)


@socket_test
async def test_an_attempt_never_outlives_its_clients_time() -> None:
    script = Script(
        lambda event: [StartAttempt(event.request_id, b"s-1")] if isinstance(event, RequestArrived) else []
    )
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        client, to_door = await door.client()
        to_door.write(ask(X_Expires_In="1000m"))
        reader, _ = await backend.connection()
        assert int((await read_message(reader))[1]["x-expires-in"].removesuffix("m")) <= 1000
        # The module stays silent: the door still owes the client one final answer.
        assert (await read_message(client))[0].split()[1] == "500"
        [ended] = await script.wait_for(AttemptEnded)
        assert ended.outcome is Outcome.TIMED_OUT
        await script.wait_for(RequestEnded)


@socket_test
async def test_the_first_good_answer_is_final_and_the_loser_is_drained() -> None:
    def twice(event: Event) -> list[Action]:
        return (
            [StartAttempt(event.request_id, b) for b in (b"s-1", b"s-2")]
            if isinstance(event, RequestArrived)
            else []
        )

    script = Script(twice)
    async with (
        Peer() as one,
        Peer() as two,
        running(script, known=whole_list(member("s-1", one.port), member("s-2", two.port))) as door,
    ):
        client, to_door = await door.client()
        to_door.write(ask())
        (first, to_first), (second, to_second) = await one.connection(), await two.connection()
        await read_message(first)
        await read_message(second)
        to_second.write(answer(200, b"second"))
        assert (await read_message(client))[2] == b"second"
        to_first.write(answer(200, b"first"))
        ended = await script.wait_for(AttemptEnded, 2)
        assert [(e.attempt_index, e.outcome, e.request_ended) for e in ended] == [
            (1, Outcome.OK, True),
            (0, Outcome.OK, True),
        ]
        to_door.write(b"GET /_health HTTP/1.1\r\nHost: svc\r\n\r\n")
        assert (await read_message(client))[2] == b"ready\n"  # the loser's body was never written
        assert not door.program.proxy.requests


@socket_test
async def test_a_cancel_closes_the_attempts_connection() -> None:
    def cancel(event: Event) -> list[Action]:
        return [CancelAttempt(event.request_id, 0)] if isinstance(event, RequestEnded) else send_all(event)

    script = Script(cancel)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        _, to_door = await door.client()
        to_door.write(ask())
        reader, _ = await backend.connection()
        await read_message(reader)
        to_door.transport.abort()
        [ended] = await script.wait_for(AttemptEnded)
        assert (ended.outcome, ended.request_ended) == (Outcome.CANCELLED, True)
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await reader.readexactly(1)


@socket_test
async def test_an_idle_connection_that_the_backend_closed_is_not_used() -> None:
    script = Script(send_all)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        client, to_door = await door.client()
        to_door.write(ask())
        reader, writer = await backend.connection()
        await read_message(reader)
        writer.write(answer())
        await read_message(client)
        writer.close()
        while door.program.pool.connections:
            await asyncio.sleep(0)
        to_door.write(ask(trace="a2"))
        reader, writer = await backend.connection()
        assert (await read_message(reader))[1]["x-trace-id"] == "a2"


class LateLoop:
    """The running loop, but each connection comes up just as its time runs out."""

    def __getattr__(self, name: str) -> Any:
        return getattr(asyncio.get_running_loop(), name)

    async def create_connection(self, *args: Any) -> None:
        await asyncio.get_running_loop().create_connection(*args)
        raise TimeoutError


@socket_test
async def test_a_connection_in_its_last_moment_may_have_carried_the_request() -> None:
    ends: list[Outcome] = []
    async with Peer() as backend:
        pool = UpstreamPool(config(), 8, cast(asyncio.AbstractEventLoop, LateLoop()))
        attempt = Attempt(1, 0, b"s-1", 0, lambda attempt, result, answer: ends.append(result))
        attempt.address = ("127.0.0.1", backend.port)
        attempt.request_bytes = ask()
        pool.send(attempt)
        await backend.connection()
        while not ends:
            await asyncio.sleep(0)
    assert ends == [Outcome.CONNECTION_LOST]


@socket_test
async def test_more_attempts_than_connections_are_not_sent_and_no_backends_fault() -> None:
    script = Script(
        lambda event: [StartAttempt(event.request_id, b"s-1")] if isinstance(event, RequestArrived) else []
    )
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        door.program.pool.max_connections = 1
        _, first = await door.client()
        first.write(ask())
        await backend.connection()
        _, second = await door.client()
        second.write(ask(trace="a2"))
        assert [e.outcome for e in await script.wait_for(AttemptEnded)] == [Outcome.NOT_SENT]


@pytest.mark.parametrize("behind", [answer(200, b"stale"), b"noise", answer(200, b"stale")[:20]])
def test_bytes_behind_an_answer_never_answer_the_next_request(behind: bytes) -> None:
    async def run() -> None:
        script = Script(send_all)
        async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
            pool = door.program.pool
            pool.reuse.quarantine_s = 0.0
            client, to_door = await door.client()
            for n, together in enumerate((True, False)):
                to_door.write(ask(trace=f"a{n}"))
                reader, writer = await backend.connection()
                await read_message(reader)
                writer.write(answer(200, b"good") + (behind if together else b""))
                assert (await read_message(client))[2] == b"good"
                if not together:
                    resting = pool.idle[b"s-1"][0]
                    assert resting.is_clean()
                    os.write(writer.get_extra_info("socket").fileno(), behind)
                    assert not resting.is_clean()  # it has come, and the loop has not read it yet
            to_door.write(ask(trace="b1"))
            reader, writer = await backend.connection()  # a new one, each time
            assert (await read_message(reader))[1]["x-trace-id"] == "b1"
            writer.write(answer(200, b"mine"))
            assert (await read_message(client))[2] == b"mine"

    async def limited() -> None:
        async with asyncio.timeout(20):
            await run()

    uvloop.run(limited())


@socket_test
async def test_a_connection_rests_before_it_is_used_again() -> None:
    async with (
        Peer() as backend,
        running(Script(send_all), known=whole_list(member("s-1", backend.port))) as door,
    ):
        door.program.pool.reuse.quarantine_s = 1e6
        client, to_door = await door.client()
        for trace in ("a1", "a2"):
            to_door.write(ask(trace=trace))
            reader, writer = await backend.connection()
            assert (await read_message(reader))[1]["x-trace-id"] == trace
            writer.write(answer())
            await read_message(client)


@socket_test
async def test_an_answer_that_stops_half_way_ends_its_attempt_long_before_the_clients_time() -> None:
    script = Script(send_all)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        door.program.pool.stall_timeout_s = 0.02
        client, to_door = await door.client()
        to_door.write(ask(X_Expires_In="3000000m"))  # time without end
        reader, writer = await backend.connection()
        await read_message(reader)
        writer.write(answer()[:10])
        assert (await read_message(client))[0].split()[1] == "502"
        assert [e.outcome for e in await script.wait_for(AttemptEnded)] == [Outcome.CONNECTION_LOST]


@socket_test
async def test_an_interim_answer_is_no_answer_that_stopped() -> None:
    async with (
        Peer() as backend,
        running(Script(send_all), known=whole_list(member("s-1", backend.port))) as door,
    ):
        door.program.pool.stall_timeout_s = 0.0
        client, to_door = await door.client()
        to_door.write(ask())
        reader, writer = await backend.connection()
        await read_message(reader)
        connection = next(iter(door.program.pool.connections))
        writer.write(b"HTTP/1.1 102 X\r\n\r\n")
        while connection.reader is None or not connection.reader.interim_count:
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        writer.write(answer(200, b"whole"))
        assert (await read_message(client))[2] == b"whole"


@socket_test
async def test_a_new_backend_at_an_old_address_gets_no_connection_of_the_old_one() -> None:
    async with (
        Peer() as backend,
        running(
            Script(lambda event: send_all(event, b"s-2" if getattr(event, "request_id", 0) > 1 else b"s-1")),
            known=whole_list(member("s-1", backend.port)),
        ) as door,
    ):
        door.program.pool.reuse.quarantine_s = 0.0
        client, to_door = await door.client()
        to_door.write(ask(trace="a1"))
        reader, writer = await backend.connection()
        await read_message(reader)
        decoded = door.program.discovery.decoder.decode(whole_list(member("s-2", backend.port)))
        door.program.proxy.apply_update(
            decoded.update, decoded.addresses
        )  # while the old one still has a request
        writer.write(answer(200, b"old"))
        assert (await read_message(client))[2] == b"old"
        assert await reader.read() == b""
        to_door.write(ask(trace="a2"))
        reader, writer = await backend.connection()
        assert (await read_message(reader))[1]["x-trace-id"] == "a2"


@socket_test
async def test_absurd_load_is_not_believed() -> None:
    script = Script(send_all)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        _, to_door = await door.client()
        to_door.write(ask())
        reader, writer = await backend.connection()
        await read_message(reader)
        writer.write(
            answer(
                extra="Endpoint-Load-Metrics: TEXT mean_ms=1e8, load_share=100000000, depth=1e8, tps=-1\r\n"
            )
        )
        [ended] = await script.wait_for(AttemptEnded)
        assert (ended.outcome, ended.load) == (Outcome.OK, None)


@socket_test
async def test_a_closed_connection_leaves_nothing_for_the_collector() -> None:
    async with (
        Peer() as backend,
        running(Script(send_all), known=whole_list(member("s-1", backend.port))) as door,
    ):
        gc.disable()
        try:
            client, to_door = await door.client()
            to_door.write(ask())
            reader, writer = await backend.connection()
            await read_message(reader)
            held = weakref.ref(next(iter(door.program.pool.connections)))
            writer.write(answer())
            await read_message(client)
            writer.close()
            while held() is not None:  # by counting references alone
                await asyncio.sleep(0)
        finally:
            gc.enable()


@socket_test
async def test_a_connection_found_dead_shortens_the_rest_of_the_others() -> None:
    async with (
        Peer() as backend,
        running(Script(send_all), known=whole_list(member("s-1", backend.port))) as door,
    ):
        pool = door.program.pool
        pool.reuse.quarantine_s = 0.0
        client, to_door = await door.client()
        to_door.write(ask(trace="a1"))
        reader, writer = await backend.connection()
        await read_message(reader)
        writer.write(answer())
        await read_message(client)
        pool.idle[b"s-1"][0].idle_since_s -= 5.0
        to_door.write(ask(trace="a2"))
        await read_message(reader)
        writer.transport.abort()  # as a peer that had forgotten the connection
        await read_message(client)
        assert 3.0 < pool.reuse.idle_limit_s < 5.0 < pool.reuse.max_idle_limit_s
        to_door.write(ask(trace="a3"))
        reader, writer = await backend.connection()
        await read_message(reader)
        writer.write(answer())
        await read_message(client)
        pool.idle[b"s-1"][0].idle_since_s -= 5.0
        to_door.write(ask(trace="a4"))
        reader, _ = await backend.connection()  # five seconds are too long by now
        assert (await read_message(reader))[1]["x-trace-id"] == "a4"
        for _ in range(1000):
            pool.reuse.on_reused(pool.reuse.idle_limit_s)
        assert pool.reuse.idle_limit_s == pool.reuse.max_idle_limit_s
        pool.reuse.on_found_dead(0.0)
        for _ in range(100):
            pool.reuse.recover()
        assert pool.reuse.idle_limit_s == pool.reuse.max_idle_limit_s


class SmallBuffers:
    """Backends that read nothing by themselves, on connections on which the kernel takes little at once."""

    def __init__(self, count: int = 1) -> None:
        self.loop = asyncio.get_running_loop()
        self.listeners = [socket.socket() for _ in range(count)]
        for listener in self.listeners:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1024)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
        self.known = whole_list(
            *(member(f"s-{n}", made.getsockname()[1]) for n, made in enumerate(self.listeners, 1))
        )

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, made: Callable[[], asyncio.Protocol], host: str, port: int) -> Any:
        up = socket.socket()
        up.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        up.setblocking(False)
        await self.loop.sock_connect(up, (host, port))
        return await self.loop.create_connection(made, sock=up)

    async def half_written(
        self, door: RunningProxy, peer: socket.socket | None = None
    ) -> tuple[UpstreamConnection, socket.socket]:
        """A client's request of 64 KiB: its connection to a backend, which stands, and the backend's end."""
        door.program.pool.loop = cast(asyncio.AbstractEventLoop, self)
        self.client, self.to_door = await door.client()
        self.to_door.write(ask("file", Content_Length="65536") + b"x" * 65_536)
        return await self.standing(door, peer or await self.accepted())

    async def accepted(self) -> socket.socket:
        accepts = [self.loop.create_task(self.loop.sock_accept(one)) for one in self.listeners]
        done, others = await asyncio.wait(accepts, return_when=asyncio.FIRST_COMPLETED)
        for accept in others:
            accept.cancel()
        return done.pop().result()[0]

    async def standing(
        self, door: RunningProxy, peer: socket.socket
    ) -> tuple[UpstreamConnection, socket.socket]:
        while not (found := [c for c in door.program.pool.connections if left(c)]):
            await asyncio.sleep(0)
        return found[0], peer


def left(connection: UpstreamConnection) -> int:
    return connection.transport.get_write_buffer_size() if connection.transport is not None else 0


def reset(peer: socket.socket) -> None:
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")  # close sends a reset
    peer.close()


async def take(peer: socket.socket, connection: UpstreamConnection) -> bytes:
    """What the backend reads until the kernel has taken the whole request."""
    got = b""
    while left(connection):
        got += await asyncio.get_running_loop().sock_recv(peer, 4096)
    return got


def take_all(peer: socket.socket) -> bytes:
    """What has come, in this turn."""
    got = b""
    try:
        while part := peer.recv(65_536):
            got += part
    except BlockingIOError:
        pass
    return got


def by_reset(door: Proxy, connection: UpstreamConnection, peer: socket.socket, buffers: SmallBuffers) -> None:
    reset(peer)


def by_time(door: Proxy, connection: UpstreamConnection, peer: socket.socket, buffers: SmallBuffers) -> None:
    assert connection.attempt is not None
    connection.attempt.on_deadline()


def by_cancel(
    door: Proxy, connection: UpstreamConnection, peer: socket.socket, buffers: SmallBuffers
) -> None:
    door.apply(CancelAttempt(1, 0))


def by_client(
    door: Proxy, connection: UpstreamConnection, peer: socket.socket, buffers: SmallBuffers
) -> None:
    buffers.to_door.transport.abort()


def by_answer(
    door: Proxy, connection: UpstreamConnection, peer: socket.socket, buffers: SmallBuffers
) -> None:
    peer.send(answer(200, b"to what?"))


Ending = Callable[[Proxy, UpstreamConnection, socket.socket, SmallBuffers], None]


@pytest.mark.parametrize(
    ("end", "half", "whole"),
    [
        (by_reset, Outcome.NOT_CONNECTED, Outcome.CONNECTION_LOST),
        (by_time, Outcome.NOT_CONNECTED, Outcome.TIMED_OUT),
        (by_cancel, Outcome.NOT_SENT, Outcome.CANCELLED),
        (by_client, Outcome.NOT_SENT, Outcome.OK),  # written whole, it goes on
        (
            by_answer,
            Outcome.NOT_CONNECTED,
            Outcome.OK,
        ),  # on a new connection only this request can have caused it
    ],
)
@pytest.mark.parametrize("is_half", [True, False])
def test_a_request_whose_last_byte_never_left_never_ran(
    end: Ending, half: Outcome, whole: Outcome, is_half: bool
) -> None:
    async def run() -> None:
        script, buffers = Script(send_all), SmallBuffers()
        async with running(script, known=buffers.known) as door:
            connection, peer = await buffers.half_written(door)
            door.program.pool.drain_endpoint(b"s-1")  # a drain: its first byte had left before
            got = b"" if is_half else await take(peer, connection)
            unsent = left(connection)
            end(door.program.proxy, connection, peer, buffers)
            if end is by_reset:
                return await ended_as(script, half if is_half else whole)
            if end is by_client:
                await script.wait_for(RequestEnded)
                if not is_half:
                    peer.send(answer())
            got += take_all(peer)  # there is room again, before the loop looks at its connections
            await ended_as(script, half if is_half else whole)
            while is_half and (part := await door.program.loop.sock_recv(peer, 65_536)):
                got += part
            head = got.index(b"\r\n\r\n") + 4
            assert is_half is (unsent > 0) and len(got) <= head + 65_536 - unsent  # none came after the end

    async def ended_as(script: Script, result: Outcome) -> None:
        assert [e.outcome for e in await script.wait_for(AttemptEnded)] == [result]

    socket_test(run)()


@pytest.mark.parametrize("is_half", [True, False])
def test_what_must_not_run_twice_goes_on_only_if_its_last_byte_never_left(is_half: bool) -> None:
    once = [{**rule, "repeat": "single_shot"} for rule in settings()["profiles"]]

    async def run() -> None:
        buffers = SmallBuffers(2)
        async with running(settings=settings(profiles=once), known=buffers.known) as door:
            connection, peer = await buffers.half_written(door)
            if not is_half:
                await take(peer, connection)
            reset(peer)
            if is_half:
                connection, peer = await buffers.standing(door, await buffers.accepted())
                await take(peer, connection)
                peer.send(answer())
            status = (await read_message(buffers.client))[0].split()[1]
            assert status == ("200" if is_half else "502")

    socket_test(run)()


@socket_test
async def test_a_request_written_to_a_connection_just_reset_never_ran() -> None:
    script = Script(send_all)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as door:
        pool = door.program.pool
        pool.reuse.quarantine_s = 0.0
        client, to_door = await door.client()
        to_door.write(ask())
        reader, writer = await backend.connection()
        await read_message(reader)
        writer.write(answer())
        await read_message(client)
        [resting] = pool.idle[b"s-1"]
        look = resting.is_clean

        def look_then_reset() -> bool:
            clean = look()
            with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as peer:
                peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                os.close(writer.get_extra_info("socket").fileno())
            return clean

        resting.is_clean = look_then_reset  # type: ignore[method-assign]
        to_door.write(ask(trace="a2"))
        assert [e.outcome for e in await script.wait_for(AttemptEnded, 2)] == [
            Outcome.OK,
            Outcome.NOT_CONNECTED,
        ]


@pytest.mark.parametrize("is_read", [True, False])
def test_connections_rest_longer_than_a_second_answer_was_late(is_read: bool) -> None:
    async def run() -> None:
        async with (
            Peer() as backend,
            running(Script(send_all), known=whole_list(member("s-1", backend.port))) as door,
        ):
            pool = door.program.pool
            client, to_door = await door.client()

            async def rested(trace: str, time: float) -> asyncio.StreamWriter:
                """Served on a new connection, which has rested for so long."""
                to_door.write(ask(trace=trace))
                reader, writer = await backend.connection()
                assert (await read_message(reader))[1]["x-trace-id"] == trace
                writer.write(answer())
                await read_message(client)
                pool.idle[b"s-1"][-1].idle_since_s -= time
                return writer

            writer = await rested("a1", 3.0)
            os.write(writer.get_extra_info("socket").fileno(), answer(200, b"stale"))
            while is_read and pool.connections:
                await asyncio.sleep(0)
            assert pool._take_idle(b"s-1") is None  # what the loop has not read, the look before use shows
            await rested("a2", 4.0)
            assert pool._take_idle(b"s-1") is None
            pool.idle[b"s-1"][0].idle_since_s -= 3.0
            assert pool._take_idle(b"s-1") is not None

    socket_test(run)()


@socket_test
async def test_a_backend_that_answers_to_nothing_costs_the_others_little_and_is_forgiven() -> None:
    pool = UpstreamPool(config(), 8, asyncio.get_running_loop())
    for _ in range(100):
        pool.reuse.on_stray_bytes(b"s-1", 5.0)
    assert pool.reuse.endpoint_quarantine_s == {b"s-1": 10.0} and pool.reuse.quarantine_s == 2 * QUARANTINE_S
    pool.reuse.on_stray_bytes(b"s-2", 3 * QUARANTINE_S)
    assert pool.reuse.quarantine_s == 4 * QUARANTINE_S
    for n in range(100):
        pool.reuse.on_stray_bytes(b"t-%d" % n, 1e6)
    assert (
        pool.reuse.quarantine_s == MAX_SHARED_QUARANTINE_S
        and max(pool.reuse.endpoint_quarantine_s.values()) == pool.reuse.max_idle_limit_s
    )
    pool.remove_endpoint(b"t-1")
    assert b"t-1" not in pool.reuse.endpoint_quarantine_s
    for _ in range(1000):
        pool.reuse.recover()
    assert pool.reuse.quarantine_s == QUARANTINE_S and not pool.reuse.endpoint_quarantine_s


@socket_test
async def test_an_answer_sent_before_the_request_had_arrived_is_not_its_answer() -> None:
    script, buffers = Script(send_all), SmallBuffers()
    async with running(script, known=buffers.known) as door:
        pool = door.program.pool
        pool.reuse.quarantine_s = 0.0
        pool.loop = cast(asyncio.AbstractEventLoop, buffers)
        client, to_door = await door.client()
        to_door.write(ask())
        peer = await buffers.accepted()
        await buffers.loop.sock_recv(peer, 4096)
        peer.send(answer())
        await read_message(client)
        connection, _ = await buffers.half_written(door, peer)
        pool.reuse.quarantine_s = 1e6  # while late bytes may show
        await take(peer, connection)  # the kernel has it all, and the backend not yet
        peer.send(answer(200, b"late"))
        assert (await read_message(buffers.client))[0].split()[1] == "502"
        assert (await script.wait_for(AttemptEnded, 2))[1].outcome is Outcome.CONNECTION_LOST
        assert pool.reuse.endpoint_quarantine_s

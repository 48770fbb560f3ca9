"""Tests a reload on SIGHUP: discovery and the counter get new addresses, and work in flight continues."""

import asyncio
import json
import os
import signal
from pathlib import Path
from typing import Any

import pytest

from tests.counter_calls import accept_first_call, add_to_counter, settings_with_counter
from tests.front_door_process import free_port, start_process
from tests.loopback import (
    FakeServer,
    ScriptedDecider,
    encode_json,
    endpoint_list_dict,
    leave_pending,
    make_response,
    member_dict,
    read_message,
    running_server,
    uvloop_test,
)
from yardlane.decisions.events import CounterResult, EndpointListUpdate, Outcome


def configuration_dict(discovery: FakeServer, counter: FakeServer, **changes: Any) -> dict[str, Any]:
    return {
        "listen": "127.0.0.1:9",
        "discovery": f"127.0.0.1:{discovery.port}",
        "counter": f"127.0.0.1:{counter.port}",
        "seed": "1f",
        "settings": settings_with_counter(),
        **changes,
    }


@uvloop_test
async def test_full_list_is_fetched_when_the_discovery_address_changes() -> None:
    """The address of discovery changes while a watch is open. Each discovery server numbers its versions
    itself, so the version of the old list is meaningless to the new server. The complete list must be fetched
    from the new server, and the old list must be kept until it arrives."""
    script = ScriptedDecider(leave_pending)
    async with (
        FakeServer() as old,
        FakeServer() as new,
        running_server(script, discovery=f"127.0.0.1:{old.port}") as server,
    ):
        reader, writer = await old.accept_connection()
        await read_message(reader)
        writer.write(make_response(200, encode_json(endpoint_list_dict(member_dict("s-1", 9), revision=41))))
        await read_message(reader)
        for _ in range(3):  # several changes in a row
            server.discovery.change_address(("127.0.0.1", new.port))
        assert await reader.read() == b""  # the watch at the old address is closed
        assert server.proxy.endpoint_addresses == {b"s-1": ("127.0.0.1", 9)}
        while True:  # the connections of the earlier changes are closed without a request
            to_new, new_writer = await new.accept_connection()
            if line := await to_new.readline():
                break
        assert line == b"GET /catalog/members HTTP/1.1\r\n"
        await to_new.readuntil(b"\r\n\r\n")
        new_writer.write(
            make_response(200, encode_json(endpoint_list_dict(member_dict("s-2", 9), revision=3)))
        )
        assert "index=3&" in (await read_message(to_new))[0]
        assert [e.endpoint_id for e in (await script.wait_for(EndpointListUpdate, 3))[-1].endpoints] == [
            b"s-2"
        ]


@uvloop_test
async def test_written_counter_call_ends_at_the_old_address() -> None:
    """The address of the counter changes after a call has been written and before its reply arrives. If the
    call were written again to the new address, its amount could be counted twice. Therefore its reply must be
    awaited from the old address, and only later calls must go to the new one."""
    script = ScriptedDecider(leave_pending)
    async with (
        FakeServer() as old,
        FakeServer() as new,
        running_server(script, settings=settings_with_counter(), counter=f"127.0.0.1:{old.port}") as server,
    ):
        add_to_counter(server)
        reader, writer = await accept_first_call(old)
        server.proxy.change_counter_address(("127.0.0.1", new.port))
        add_to_counter(server, amount=2.0)
        to_new, counter = await new.accept_connection()
        assert await to_new.readuntil(b"\r\n") == b"tally 1 2 1\r\n"
        writer.write(b"ok 1\r\n")
        assert await reader.read() == b""
        counter.write(b"ok 3\r\n")
        results = await script.wait_for(CounterResult, 2)
        assert [(r.outcome, r.total) for r in results] == [(Outcome.OK, 1.0), (Outcome.OK, 3.0)]


@uvloop_test
async def test_unwritten_counter_call_goes_to_the_new_address() -> None:
    """The address of the counter changes before the connection to it is established. The call that waits for
    the connection has not been written yet, so it must go to the new address."""
    script = ScriptedDecider(leave_pending)
    async with (
        FakeServer() as old,
        FakeServer() as new,
        running_server(script, settings=settings_with_counter(), counter=f"127.0.0.1:{old.port}") as server,
    ):
        add_to_counter(server)
        server.proxy.change_counter_address(("127.0.0.1", new.port))
        reader, writer = await new.accept_connection()
        assert await reader.readuntil(b"\r\n") == b"tally 1 1 1\r\n"
        writer.write(b"ok 1\r\n")
        assert [r.outcome for r in await script.wait_for(CounterResult)] == [Outcome.OK]


@uvloop_test
async def test_connection_to_a_silent_old_counter_is_closed() -> None:
    """The address of the counter changes, and the old counter never replies to a written call. The connection
    must be closed after a time limit, and the call must end as one that may have been added."""
    script = ScriptedDecider(leave_pending)
    async with (
        FakeServer() as old,
        FakeServer() as new,
        running_server(script, settings=settings_with_counter(), counter=f"127.0.0.1:{old.port}") as server,
    ):
        add_to_counter(server)
        reader, _ = await accept_first_call(old)
        server.proxy.change_counter_address(("127.0.0.1", new.port))
        assert await reader.read() == b""
        assert [r.outcome for r in await script.wait_for(CounterResult)] == [Outcome.TIMED_OUT]


def test_sighup_reloads_the_configuration_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The first SIGHUP finds a file that is not JSON, and the old configuration must be kept. The second
    finds another discovery address, which must be used. The third arrives during the graceful shutdown, which
    must still complete."""
    path = tmp_path / "config.json"

    async def run() -> None:
        async with FakeServer() as old, FakeServer() as new, FakeServer() as counter:
            monkeypatch.setitem(os.environ, "EDGE_DISCOVERY", f"127.0.0.1:{old.port}")
            listen = f"127.0.0.1:{await free_port()}"
            process = await start_process(path, configuration_dict(old, counter, listen=listen))
            assert process.stderr is not None
            await old.accept_connection()  # the process has started
            path.write_text("{")
            process.send_signal(signal.SIGHUP)
            while b"keeping the old configuration" not in await process.stderr.readline():
                pass
            path.write_text(json.dumps(configuration_dict(new, counter, listen=listen)))
            process.send_signal(signal.SIGHUP)
            # On a reload, the address in the file takes precedence over `EDGE_DISCOVERY`.
            reader, _ = await new.accept_connection()
            assert await reader.readline() == b"GET /catalog/members HTTP/1.1\r\n"
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGHUP)  # during the graceful shutdown
            await process.communicate()
            assert process.returncode == 0

    asyncio.run(run())

"""The process from its start to its end: what it still accepts once it drains."""

import asyncio

from tests.loopback import (
    Peer,
    Script,
    answer,
    ask,
    member,
    read_message,
    running,
    send_all,
    socket_test,
    whole_list,
)
from yardlane.server import ACCEPT_AFTER_SIGTERM_S

LATEST_NEW_CONNECTION_S = 0.4  # after SIGTERM, by the pages


def test_accepting_goes_on_for_as_long_as_new_connections_may_come() -> None:
    assert ACCEPT_AFTER_SIGTERM_S > LATEST_NEW_CONNECTION_S


@socket_test
async def test_a_connection_that_comes_after_sigterm_is_served() -> None:
    """Clients learn late that a front door drains, and connect to it for a while. Were the listener closed
    at once, their connections would be refused; their requests have to be answered like the others."""
    script = Script(send_all)
    async with Peer() as backend, running(script, known=whole_list(member("s-1", backend.port))) as proxy:
        proxy.program.shut_down()
        await asyncio.sleep(0.05)
        reader, writer = await proxy.client()
        writer.write(ask())
        from_proxy, to_proxy = await backend.connection()
        await read_message(from_proxy)
        to_proxy.write(answer())
        status_line, _, body = await read_message(reader)
        assert (status_line.split()[1], body) == ("200", b"done")
        await proxy.program.stopped.wait()

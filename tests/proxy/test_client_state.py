"""The connection follows the table of states and events that docs/design.md shows."""

import logging
import re
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from tests.loopback import (
    ScriptedDecider,
    leave_pending,
    running_server,
    uvloop_test,
)
from yardlane.proxy.client_connection import ClientConnection
from yardlane.proxy.client_request import ClientRequest
from yardlane.proxy.client_state import TRANSITIONS, ClientEvent, ClientState

# A row for each event, with the state after it; a dot is an event that the state never meets.
DESIGN = (Path(__file__).parent.parent.parent / "docs" / "design.md").read_text()
STATES = re.search(r"^\| \| (ACCEPTED .*) \|$", DESIGN, re.M)
ROWS = {name: row.split(" | ") for name, row in re.findall(r"^\| .* \((\w+)\) \| (.*) \|$", DESIGN, re.M)}
NEVER = "."


@contextmanager
def logged_by_connections() -> Iterator[list[str]]:
    """The lines that connections log meanwhile."""
    lines: list[str] = []
    handler = logging.Handler()
    handler.emit = lambda record: lines.append(record.getMessage())  # type: ignore[method-assign]
    logger = logging.getLogger("yardlane.proxy.client_connection")
    logger.addHandler(handler)
    try:
        yield lines
    finally:
        logger.removeHandler(handler)


def test_the_design_page_names_all_states_and_events() -> None:
    """A state or event is added to the code alone. Whoever reads the page by night would miss it, and
    the test below would not try it."""
    assert STATES is not None and STATES[1].split(" | ") == [state.name for state in ClientState]
    assert list(ROWS) == [event.name for event in ClientEvent]
    assert list(TRANSITIONS) == list(ClientState)


@uvloop_test
async def test_each_event_in_each_state_follows_the_table() -> None:
    """An event that the table does not have must be logged and change nothing.

    Wherever a connection comes to its end, its pending requests are given back.
    """
    async with running_server(ScriptedDecider(leave_pending)) as server:
        clients = server.clients
        with logged_by_connections() as lines:
            for event, row in zip(ClientEvent, ROWS.values(), strict=True):
                for before, cell in zip(ClientState, row, strict=True):
                    after = before if cell == NEVER else ClientState[cell]
                    connection = ClientConnection(clients)
                    connection.state = before
                    clients.connections[connection] = None
                    connection.pending.append(ClientRequest(connection))
                    assert connection._apply(event) is (after is not before)
                    assert connection.state is after
                    fault = f"unexpected event {event.name} in state {before.name} of a client connection"
                    assert lines == ([fault] if cell == NEVER else [])
                    lines.clear()
                    ends = after is not before and after in (ClientState.CLOSING, ClientState.CLOSED)
                    assert bool(connection.pending) is not ends
                    assert (connection in clients.connections) is not (ends and after is ClientState.CLOSED)
                    clients.connections.pop(connection, None)

"""Tests that a client's connection follows its transition table, as docs/design.md documents it."""

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

# The documented table: the state that follows each event. A dot marks an event that the state does not allow.
DESIGN_PAGE = (Path(__file__).parent.parent.parent / "docs" / "design.md").read_text()
STATE_ROW = re.search(r"^\| \| (ACCEPTED .*) \|$", DESIGN_PAGE, re.M)
EVENT_ROWS = {
    name: row.split(" | ") for name, row in re.findall(r"^\| .* \((\w+)\) \| (.*) \|$", DESIGN_PAGE, re.M)
}
NOT_ALLOWED = "."


@contextmanager
def capture_connection_logs() -> Iterator[list[str]]:
    """Collect the messages that client connections log within the context."""
    lines: list[str] = []
    handler = logging.Handler()
    handler.emit = lambda record: lines.append(record.getMessage())  # type: ignore[method-assign]
    logger = logging.getLogger("yardlane.proxy.client_connection")
    logger.addHandler(handler)
    try:
        yield lines
    finally:
        logger.removeHandler(handler)


def test_design_page_lists_all_states_and_events() -> None:
    """A state or event that is missing on the page would mislead an operator who relies on the page during an
    incident, and the test below would not cover it."""
    assert STATE_ROW is not None and STATE_ROW[1].split(" | ") == [state.name for state in ClientState]
    assert list(EVENT_ROWS) == [event.name for event in ClientEvent]
    assert list(TRANSITIONS) == list(ClientState)


@uvloop_test
async def test_each_event_in_each_state_follows_the_design_page() -> None:
    """An event that the table does not allow must be logged and change nothing. A connection that changes to
    CLOSING or CLOSED must release its pending requests; in CLOSED, the server must no longer count it."""
    async with running_server(ScriptedDecider(leave_pending)) as server:
        clients = server.clients
        with capture_connection_logs() as lines:
            for event, row in zip(ClientEvent, EVENT_ROWS.values(), strict=True):
                for old_state, cell in zip(ClientState, row, strict=True):
                    new_state = old_state if cell == NOT_ALLOWED else ClientState[cell]
                    connection = ClientConnection(clients)
                    connection.state = old_state
                    clients.connections[connection] = None
                    connection.pending.append(ClientRequest(connection))
                    assert connection._change_state(event) is (new_state is not old_state)
                    assert connection.state is new_state
                    expected_line = (
                        f"ignoring unexpected event {event.name} in state {old_state.name}"
                        " of a client connection"
                    )
                    assert lines == ([expected_line] if cell == NOT_ALLOWED else [])
                    lines.clear()
                    is_ending = new_state is not old_state and new_state in (
                        ClientState.CLOSING,
                        ClientState.CLOSED,
                    )
                    assert bool(connection.pending) is not is_ending
                    assert (connection in clients.connections) is not (
                        is_ending and new_state is ClientState.CLOSED
                    )
                    clients.connections.pop(connection, None)

"""A connection to an upstream follows one table; docs/design.md shows the same table to its readers."""

import asyncio
import re
from pathlib import Path

import pytest

from tests.loopback import make_config, uvloop_test
from yardlane.proxy.upstream_connection import UpstreamConnection
from yardlane.proxy.upstream_pool import UpstreamPool
from yardlane.proxy.upstream_state import MAY_HAVE_RUN, TRANSITIONS, UpstreamEvent, UpstreamState

# The state after each event; a dot is an event that the state never meets.
DESIGN = (Path(__file__).parent.parent.parent / "docs" / "design.md").read_text()
STATES = re.search(r"^\| \| (CONNECTING .*) \|$", DESIGN, re.M)
ROWS = {name: row.split(" | ") for name, row in re.findall(r"^\| (\w+): [^|]* \| (.*) \|$", DESIGN, re.M)}


def documented_state(event: UpstreamEvent, state: UpstreamState) -> UpstreamState | None:
    """The state after the event by docs/design.md; None where the event may not come."""
    cell = ROWS[event.name][list(UpstreamState).index(state)]
    return None if cell == "." else UpstreamState[cell]


def test_design_page_lists_all_states_and_events() -> None:
    """The design page shows the table to its readers. A state or event that it lacks would mislead whoever
    reads it at night."""
    assert STATES is not None and STATES[1].split(" | ") == [state.name for state in UpstreamState]
    assert list(ROWS) == [event.name for event in UpstreamEvent]
    assert all(len(row) == len(UpstreamState) for row in ROWS.values())
    assert set(TRANSITIONS) == set(UpstreamState)


def test_undefined_transition_is_logged_and_leaves_the_state_unchanged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A fault of this program brings an event that the state cannot have. If it moved the state all the same,
    a request could be reported as never run though a backend runs it."""

    @uvloop_test
    async def run() -> None:
        pool = UpstreamPool(make_config(), 8, asyncio.get_running_loop())
        for event in UpstreamEvent:
            for state in UpstreamState:
                connection = UpstreamConnection(pool, b"s-1", ("127.0.0.1", 9))
                connection.state = state
                expected = documented_state(event, state)
                assert connection._apply(event) is (expected is not None)
                assert connection.state is (state if expected is None else expected)
                error = f"unexpected event {event.name} in state {state.name} of an upstream connection"
                assert caplog.messages == [error] * (expected is None)
                caplog.clear()

    run()


def test_request_may_have_run_from_its_last_byte_until_its_connection_is_idle_or_closed() -> None:
    # A request whose last byte the kernel never took has not run, and may be sent to another upstream.
    may_not = {UpstreamState.CONNECTING, UpstreamState.IDLE, UpstreamState.SENDING, UpstreamState.CLOSED}
    assert set(UpstreamState) - may_not == MAY_HAVE_RUN
    sent = TRANSITIONS[UpstreamState.SENDING]
    assert set(sent.values()) == {UpstreamState.AWAITING, UpstreamState.CLOSED}
    assert [state for state, row in TRANSITIONS.items() if UpstreamState.IDLE in row.values()] == [
        UpstreamState.COMPLETE
    ]

"""Tests that a connection to an upstream follows its transition table, as docs/design.md documents it."""

import asyncio
import re
from pathlib import Path

import pytest

from tests.loopback import make_config, uvloop_test
from yardlane.proxy.upstream_connection import UpstreamConnection
from yardlane.proxy.upstream_pool import UpstreamPool
from yardlane.proxy.upstream_state import MAY_HAVE_RUN, TRANSITIONS, UpstreamEvent, UpstreamState

# The documented table: the state that follows each event. A dot marks an event that the state does not allow.
DESIGN = (Path(__file__).parent.parent.parent / "docs" / "design.md").read_text()
STATES = re.search(r"^\| \| (CONNECTING .*) \|$", DESIGN, re.M)
ROWS = {name: row.split(" | ") for name, row in re.findall(r"^\| (\w+): [^|]* \| (.*) \|$", DESIGN, re.M)}


def documented_state(event: UpstreamEvent, state: UpstreamState) -> UpstreamState | None:
    """Return the state that follows the event by docs/design.md, or None if the event is not allowed."""
    cell = ROWS[event.name][list(UpstreamState).index(state)]
    return None if cell == "." else UpstreamState[cell]


def test_design_page_lists_all_states_and_events() -> None:
    """The design page documents the transition table. A missing state or event would mislead an operator who
    relies on the page during an incident."""
    assert STATES is not None and STATES[1].split(" | ") == [state.name for state in UpstreamState]
    assert list(ROWS) == [event.name for event in UpstreamEvent]
    assert all(len(row) == len(UpstreamState) for row in ROWS.values())
    assert set(TRANSITIONS) == set(UpstreamState)


def test_undefined_transition_is_logged_and_leaves_the_state_unchanged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A bug in this program causes an event that the current state does not allow. If the event changed the
    state, a request could be reported as never run although a backend runs it."""

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
                error = (
                    f"ignoring unexpected event {event.name} in state {state.name} of an upstream connection"
                )
                assert caplog.messages == [error] * (expected is None)
                caplog.clear()

    run()


def test_request_may_have_run_from_its_last_byte_until_its_connection_is_idle_or_closed() -> None:
    # A request whose last byte the kernel never accepted has not run, and may be sent to another upstream.
    may_not = {UpstreamState.CONNECTING, UpstreamState.IDLE, UpstreamState.SENDING, UpstreamState.CLOSED}
    assert set(UpstreamState) - may_not == MAY_HAVE_RUN
    sent = TRANSITIONS[UpstreamState.SENDING]
    assert set(sent.values()) == {UpstreamState.AWAITING, UpstreamState.CLOSED}
    assert [state for state, row in TRANSITIONS.items() if UpstreamState.IDLE in row.values()] == [
        UpstreamState.COMPLETE
    ]

"""The tests that KNOWN-RED.txt names may fail; each of them must run and fail, and all others must pass.

An entry is one line of the file, at the root: `TEST | COMMAND AND SEED | SEEN | ISSUE`. TEST is the whole
id as pytest prints it (with the brackets of one that is parametrised), SEEN what its failure looked like,
and ISSUE where that is followed up. Blank lines are passed over; three entries at most. Without the file
all tests count.

A listed test is run like any other. A failure of its body shows as xfailed; a pass, a skip or an error
around it fails the run.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass
from pathlib import Path

import pytest

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
ENTRY_FORMAT = "TEST | COMMAND AND SEED | SEEN | ISSUE"
MAX_ENTRIES = 3


@dataclass(frozen=True)
class KnownFailure:
    """An entry of KNOWN-RED.txt."""

    test_id: str
    command: str
    seen: str
    issue: str

    def __str__(self) -> str:
        return " | ".join((self.test_id, self.command, self.seen, self.issue))


KNOWN_FAILURES = pytest.StashKey[dict[str, KnownFailure]]()


def parse_entry(line: str) -> KnownFailure:
    """The entry that a line holds; UsageError, which ends pytest with one line, where it is malformed."""
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != len(ENTRY_FORMAT.split("|")) or not all(fields):
        raise pytest.UsageError(f"{KNOWN_RED_FILE.name}: wanted {ENTRY_FORMAT}: {line}")
    return KnownFailure(*fields)


def parse_known_red(text: str) -> dict[str, KnownFailure]:
    """Each listed test's id and its entry; UsageError where the list is malformed."""
    entries: dict[str, KnownFailure] = {}
    for line in filter(None, map(str.strip, text.splitlines())):
        entry = parse_entry(line)
        if entry.test_id in entries:
            raise pytest.UsageError(f"{KNOWN_RED_FILE.name}: listed twice: {entry.test_id}")
        entries[entry.test_id] = entry
    if len(entries) > MAX_ENTRIES:
        raise pytest.UsageError(
            f"{KNOWN_RED_FILE.name}: {len(entries)} tests, at most {MAX_ENTRIES} may be listed"
        )
    return entries


def pytest_configure(config: pytest.Config) -> None:
    """Read the list before anything runs."""
    text = KNOWN_RED_FILE.read_text(errors="replace") if KNOWN_RED_FILE.exists() else ""
    config.stash[KNOWN_FAILURES] = parse_known_red(text)


def pytest_collection_finish(session: pytest.Session) -> None:
    """What is listed must be among what will run; where collecting failed, pytest ends by that."""
    missing = session.config.stash[KNOWN_FAILURES].keys() - {item.nodeid for item in session.items}
    if missing and not session.testsfailed:
        raise pytest.UsageError(
            f"{KNOWN_RED_FILE.name}: no such test in this run: {', '.join(sorted(missing))}"
        )


@pytest.hookimpl(wrapper=True, tryfirst=True)  # outermost: after marks have had their say
def pytest_runtest_makereport(item: pytest.Item) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Turn the failure of a listed test into xfailed, and any other end of it into a failure."""
    report = yield
    entry = item.config.stash[KNOWN_FAILURES].get(item.nodeid)
    if entry is None:
        return report
    if report.when == "call" and report.failed:
        report.outcome = "skipped"  # which pytest counts as xfailed
        report.wasxfail = str(entry)
    elif report.when == "call" or report.skipped:
        report.longrepr = f"{KNOWN_RED_FILE.name} lists it, but it did not fail: {report.outcome}"
        report.outcome = "failed"
        if hasattr(report, "wasxfail"):
            del report.wasxfail
    return report


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Name each listed test that failed."""
    known_failures = terminalreporter.config.stash[KNOWN_FAILURES]
    for report in terminalreporter.getreports("xfailed"):
        if report.nodeid in known_failures:
            terminalreporter.write_line(f"known red: {report.wasxfail}")

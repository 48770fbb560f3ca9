"""Pytest hooks that tolerate the failures of the tests listed in KNOWN-RED.txt.

Every listed test must run and fail, and all other tests must pass. The file is in the root directory of the
repository. Each line is one entry, `TEST | COMMAND AND SEED | SEEN | ISSUE`: TEST is the complete test id as
pytest prints it, including the brackets of a parametrized test. SEEN describes the failure, and ISSUE says
where it is being followed up. Blank lines are ignored, and at most three tests may be listed. Without the
file, every failure counts.

A listed test runs like any other. A failure of its body is reported as xfailed. If it passes, is skipped, or
has an error in its setup or teardown, the run fails.

An entry may also name what is run by hand, such as a long run. Its first field is `command:` and the command.
It is printed at the end of each run; nothing is run and no failure is tolerated for it.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass
from pathlib import Path

import pytest

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
ENTRY_FORMAT = "TEST | COMMAND AND SEED | SEEN | ISSUE"
MAX_ENTRIES = 3  # of tests; the same number of commands may be listed as well
COMMAND_PREFIX = "command:"


@dataclass(frozen=True)
class KnownFailure:
    """An entry of KNOWN-RED.txt."""

    test_id: str
    command: str
    seen: str
    issue: str

    def __str__(self) -> str:
        return " | ".join((self.test_id, self.command, self.seen, self.issue))


@dataclass(frozen=True)
class KnownFailures:
    """The entries of KNOWN-RED.txt, by test id or command."""

    tests: dict[str, KnownFailure]
    commands: dict[str, KnownFailure]


KNOWN_FAILURES = pytest.StashKey[KnownFailures]()


def parse_entry(line: str) -> KnownFailure:
    """Return the entry in a line.

    Raises UsageError, which makes pytest exit with a one-line message, if the line is malformed.
    """
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != len(ENTRY_FORMAT.split("|")) or not all(fields):
        raise pytest.UsageError(f"{KNOWN_RED_FILE.name}: expected {ENTRY_FORMAT}: {line}")
    return KnownFailure(*fields)


def parse_known_red(text: str) -> KnownFailures:
    """Return the entries. Raises UsageError if the list is malformed."""
    known = KnownFailures({}, {})
    for line in filter(None, map(str.strip, text.splitlines())):
        entry = parse_entry(line)
        entries = known.commands if entry.test_id.startswith(COMMAND_PREFIX) else known.tests
        if entry.test_id in entries:
            raise pytest.UsageError(f"{KNOWN_RED_FILE.name}: listed twice: {entry.test_id}")
        entries[entry.test_id] = entry
    for kind, entries in (("tests", known.tests), ("commands", known.commands)):
        if len(entries) > MAX_ENTRIES:
            raise pytest.UsageError(
                f"{KNOWN_RED_FILE.name}: {len(entries)} {kind} listed, at most {MAX_ENTRIES} allowed"
            )
    return known


def pytest_configure(config: pytest.Config) -> None:
    """Read KNOWN-RED.txt before any test runs."""
    text = KNOWN_RED_FILE.read_text(errors="replace") if KNOWN_RED_FILE.exists() else ""
    config.stash[KNOWN_FAILURES] = parse_known_red(text)


def pytest_collection_finish(session: pytest.Session) -> None:
    """Raise UsageError if a listed test is not part of this run.

    A failed collection may have lost listed tests and ends the run anyway, so the list is not checked then.
    """
    missing = session.config.stash[KNOWN_FAILURES].tests.keys() - {item.nodeid for item in session.items}
    if missing and not session.testsfailed:
        raise pytest.UsageError(
            f"{KNOWN_RED_FILE.name}: no such test in this run: {', '.join(sorted(missing))}"
        )


# `tryfirst` makes this the outermost wrapper: it sees reports to which marks such as xfail have been applied.
@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_runtest_makereport(item: pytest.Item) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Report the failure of a listed test as xfailed, and any other result of it as failed."""
    report = yield
    entry = item.config.stash[KNOWN_FAILURES].tests.get(item.nodeid)
    if entry is None:
        return report
    if report.when == "call" and report.failed:
        report.outcome = "skipped"  # pytest counts it as xfailed, as `wasxfail` is set
        report.wasxfail = str(entry)
    elif report.when == "call" or report.skipped:
        report.longrepr = f"{KNOWN_RED_FILE.name} lists it, but it did not fail: {report.outcome}"
        report.outcome = "failed"
        if hasattr(report, "wasxfail"):
            del report.wasxfail
    return report


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the entry of each listed test that failed as expected, and of each listed command."""
    known = terminalreporter.config.stash[KNOWN_FAILURES]
    for report in terminalreporter.getreports("xfailed"):
        if report.nodeid in known.tests:
            terminalreporter.write_line(f"known red: {report.wasxfail}")
    for entry in known.commands.values():
        terminalreporter.write_line(f"known red, not run: {entry}")

"""The tests that KNOWN-RED.txt names may fail; each of them must run and fail, and all others must pass.

A line of the file, at the root, is `TEST | CAUSE | ISSUE`: the test's whole id as pytest prints it (with the
brackets of one that is parametrised), why it fails, and where that is followed up. Blank lines are passed
over; three lines at most. Without the file all tests count. A listed test is run like any other. A failure of
its body shows as xfailed; a pass, a skip or an error around it fails the run.
"""

from __future__ import annotations

from collections.abc import Generator
from pathlib import Path

import pytest

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3
LISTED = pytest.StashKey[dict[str, str]]()


def read(text: str) -> dict[str, str]:
    """Each listed test's id and its whole line; UsageError, which ends pytest in a line, where it is odd."""
    listed: dict[str, str] = {}
    for line in filter(None, map(str.strip, text.splitlines())):
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 3 or not all(fields):
            raise pytest.UsageError(f"{LIST.name}: wanted TEST | CAUSE | ISSUE: {line}")
        if fields[0] in listed:
            raise pytest.UsageError(f"{LIST.name}: listed twice: {fields[0]}")
        listed[fields[0]] = line
    if len(listed) > MOST:
        raise pytest.UsageError(f"{LIST.name}: {len(listed)} tests, at most {MOST} may be listed")
    return listed


def pytest_configure(config: pytest.Config) -> None:
    config.stash[LISTED] = read(LIST.read_text(errors="replace")) if LIST.exists() else {}


def pytest_collection_finish(session: pytest.Session) -> None:
    """What is listed must be among what will run; where collecting failed, pytest ends by that."""
    missing = session.config.stash[LISTED].keys() - {item.nodeid for item in session.items}
    if missing and not session.testsfailed:
        raise pytest.UsageError(f"{LIST.name}: no such test in this run: {', '.join(sorted(missing))}")


@pytest.hookimpl(wrapper=True, tryfirst=True)  # outermost: after marks have had their say
def pytest_runtest_makereport(item: pytest.Item) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    report = yield
    line = item.config.stash[LISTED].get(item.nodeid)
    if line is None:
        return report
    if report.when == "call" and report.failed:
        report.outcome, report.wasxfail = "skipped", line  # which pytest counts as xfailed
    elif report.when == "call" or report.skipped:
        report.longrepr = f"{LIST.name} lists it, but it did not fail: {report.outcome}"
        report.outcome = "failed"
        if hasattr(report, "wasxfail"):
            del report.wasxfail
    return report


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for report in terminalreporter.getreports("xfailed"):
        if report.nodeid in terminalreporter.config.stash[LISTED]:
            terminalreporter.write_line(f"known red: {report.wasxfail}")

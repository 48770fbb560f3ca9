"""CI tolerates failures of the tests that KNOWN-RED.txt lists, and no others.

Each test runs `.ci/run` in a small temporary project.
"""

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
ENTRY_FORMAT = "TEST | COMMAND AND SEED | SEEN | ISSUE"
TESTS = """
import pytest
def test_good(): pass
@pytest.mark.parametrize("n", (1, 2))
def test_failing(n): assert n != 1
@pytest.mark.skip
def test_skipped(): assert False
@pytest.fixture
def broken(): raise OSError
def test_unready(broken): assert False
@pytest.mark.xfail
def test_expected(): assert False
@pytest.fixture
def untidy():
    yield
    raise OSError
def test_untidy(untidy): assert False
"""
FAILING = "tests/test_some.py::test_failing[1]"
SETUP_ERROR = "tests/test_some.py::test_unready"
TEARDOWN_ERROR = "tests/test_some.py::test_untidy"
WITHOUT_FIXTURE_ERRORS = "not unready and not untidy"


def run_ci(
    path: Path, listed: str | None, only: str = WITHOUT_FIXTURE_ERRORS, tests: str = TESTS
) -> tuple[int, str]:
    """Run `.ci/run` in a project that consists of `tests`; return its exit code and output.

    `listed` is the content of KNOWN-RED.txt, or None for no such file. `only` selects tests, as pytest's `-k`
    does. The project's pip, ruff and mypy do nothing.
    """
    for file in (".ci/run", "tests/conftest.py"):
        (path / file).parent.mkdir(exist_ok=True)
        (path / file).write_text((ROOT / file).read_text())
    (path / "tests" / "test_some.py").write_text(tests)
    (path / "pyproject.toml").write_text("[tool.pytest.ini_options]\ntestpaths = ['tests']\naddopts = '-q'\n")
    if listed is not None:
        (path / "KNOWN-RED.txt").write_text(listed)
    commands = path / ".venv-dev" / "bin"
    commands.mkdir(parents=True)
    for name in ("pip", "ruff", "mypy", "python"):
        script = f"exec {sys.executable}" if name == "python" else "true"
        (commands / name).write_text(f'#!/bin/sh\n{script} "$@"\n')
        (commands / name).chmod(0o755)
    completed = subprocess.run(
        ["bash", ".ci/run"],
        cwd=path,
        capture_output=True,
        text=True,
        check=False,
        env={**os.environ, "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1", "PYTEST_ADDOPTS": f"-k '{only}'"},
    )
    return completed.returncode, completed.stdout + completed.stderr


def last_line(output: str) -> str:
    """Return the last line of an output."""
    return output.strip().splitlines()[-1]


def test_failing_listed_test_passes_ci_and_is_reported(tmp_path: Path) -> None:
    """A listed test fails, as expected. CI passes, but prints the entry as a reminder of the known fault."""
    code, output = run_ci(tmp_path, f"\n{FAILING} | pytest, seed 5 | the clock | #7\n\n")
    assert code == 0, output
    assert last_line(output).startswith("2 passed, 1 skipped, 2 deselected, 2 xfailed in "), output
    assert f"known red: {FAILING} | pytest, seed 5 | the clock | #7" in output


COMMAND_ENTRY = "command: bash soak.sh | seed 5 | 20 of 48 lost | #33"


def test_listed_command_is_printed_and_not_run(tmp_path: Path) -> None:
    """A fault shows only in a long run by hand. It must be on the list, which took only tests of CI's run."""
    marker = tmp_path / "was_run"
    entry = COMMAND_ENTRY.replace("bash soak.sh", f"touch {marker}")
    code, output = run_ci(tmp_path, f"{FAILING} | pytest | seen | #1\n{entry}\n")
    assert code == 0 and f"known red, not run: {entry}" in output, output
    assert not marker.exists()


@pytest.mark.parametrize(
    "listed",
    [
        None,
        "",
        "tests/test_some.py::test_expected | pytest | seen | #1\n",
        COMMAND_ENTRY,
        f"command: {FAILING} | pytest | seen | #1",
    ],
)
def test_failing_unlisted_test_fails_ci(tmp_path: Path, listed: str | None) -> None:
    """A test fails that is not listed: there is no list, or it is empty, or it only has other tests.

    CI must fail, as otherwise the list would hide new faults.
    """
    code, output = run_ci(tmp_path, listed)
    assert code == 1 and f"FAILED {FAILING}" in output, output


@pytest.mark.parametrize("name", ["test_good", "test_failing[2]", "test_skipped", "test_expected"])
def test_listed_test_that_does_not_fail_fails_ci(tmp_path: Path, name: str) -> None:
    """A listed test passes again, or is skipped. If it stayed on the list, its next failure would be hidden.

    CI must therefore fail until the entry is removed.
    """
    code, output = run_ci(
        tmp_path, f"{FAILING} | pytest | seen | #1\ntests/test_some.py::{name} | pytest | seen | #1\n"
    )
    assert code == 1 and f"tests/test_some.py::{name} - KNOWN-RED.txt lists it" in output, output
    assert "1 failed, " in last_line(output) or ", 1 error" in last_line(output), output


@pytest.mark.parametrize("name", [SETUP_ERROR, TEARDOWN_ERROR])
def test_fixture_error_of_listed_test_fails_ci(tmp_path: Path, name: str) -> None:
    """A fixture of a listed test raises during setup or teardown.

    This is not the known failure of the test, so CI must report it.
    """
    code, output = run_ci(tmp_path, f"{name} | pytest | seen | #1\n", name.rpartition("_")[2])
    assert code == 1 and f"ERROR {name}" in output, output


@pytest.mark.parametrize(
    "listed, tests, expected_code",
    [(None, "", 5), (f"{FAILING} | pytest | seen | #1", "import nothing_of_the_kind\n", 2)],
)
def test_run_without_collected_tests_fails_ci(
    tmp_path: Path, listed: str | None, tests: str, expected_code: int
) -> None:
    """No test is found, or a test file cannot be imported.

    No test has failed, but nothing was checked either, so CI must not pass.
    """
    code, output = run_ci(tmp_path, listed, tests=tests)
    assert code == expected_code, output


@pytest.mark.parametrize(
    "listed, reason",
    [
        (
            "tests/test_some.py::test_failing | pytest | seen | #1",
            "no such test in this run: tests/test_some.py::test_failing",
        ),
        ("tests/test_some.py::test_unready | pytest | seen | #1", "no such test in this run"),  # not selected
        (f"{FAILING} | seen", f"expected {ENTRY_FORMAT}"),
        (f"{FAILING} | seen | #1", f"expected {ENTRY_FORMAT}"),
        (f"{FAILING} | pytest | seen | ", f"expected {ENTRY_FORMAT}"),
        (f"{FAILING} | pytest |  | #1", f"expected {ENTRY_FORMAT}"),
        (f"{FAILING} |  | seen | #1", f"expected {ENTRY_FORMAT}"),
        (f"{FAILING} | pytest | seen | #1 | more", f"expected {ENTRY_FORMAT}"),
        (f"{FAILING} | pytest | a | #1\n{FAILING} | pytest | b | #2", "listed twice"),
        ("\n".join(f"a.py::test_{n} | pytest | seen | #1" for n in range(4)), "4 tests listed, at most 3"),
        ("\n".join(f"command: {n} | seed | seen | #1" for n in range(4)), "4 commands listed, at most 3"),
        (f"{COMMAND_ENTRY}\n{COMMAND_ENTRY}", "listed twice"),
        ("command: bash soak.sh | seed 5 | seen", f"expected {ENTRY_FORMAT}"),
        (f"a.py::test_1 | pytest | seen | #1\n{COMMAND_ENTRY}", "no such test in this run: a.py::test_1"),
    ],
)
def test_malformed_list_fails_ci_with_one_line(tmp_path: Path, listed: str, reason: str) -> None:
    """An entry is incomplete, duplicated or one too many, or names no test of this run.

    CI must report this in one line and run no test, as it cannot tell which failures are known.
    """
    code, output = run_ci(tmp_path, listed)
    assert code != 0 and "Traceback" not in output, output
    assert last_line(output).startswith("ERROR: KNOWN-RED.txt: ") and reason in last_line(output), output
    assert " passed" not in output

"""What is promised of the files."""

import ast
import os
import re
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "yardlane"
MODULES = sorted(PACKAGE.rglob("*.py"))
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
POLICY = [ROOT / path for path in DEPLOY["policy"]]
FILES_OF_THE_MODELS = {"connection_pool.py", "connection.py", "http11.py", "commands.py"}  # in DEVELOPERS.md
DECISION_LIBRARIES = {
    "__future__",
    "abc",
    "collections",
    "collections.abc",
    "dataclasses",
    "enum",
    "heapq",
    "math",
    "operator",
    "random",
    "typing",
    "zlib",
}
# What each part of the package may import of the others: imports point down only.
MAY_IMPORT = {
    "decisions": {"decisions", "errors"},
    "proxy": {"proxy", "decisions", "errors", "config", "settings_reader", "descriptors", "log", "units"},
    "simulator": {"simulator", "decisions", "errors", "settings_reader"},
    "settings_reader": {"decisions", "errors"},
    "config": {"decisions", "errors", "settings_reader"},
    "descriptors": {"errors"},
    "errors": set(),
    "units": set(),
    "log": {"errors"},
    "server": {"proxy", "decisions", "errors", "config", "descriptors", "log", "units"},
    "__main__": {"proxy", "decisions", "errors", "config", "descriptors", "log", "server"},
    "__init__": set(),
}


def imported(path: Path) -> set[str]:
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{path}: a relative import"
            found.add(node.module or "")
            if node.module in ("yardlane", *(f"yardlane.{part}" for part in MAY_IMPORT)):
                found |= {f"{node.module}.{alias.name}" for alias in node.names}
    return found


def part_of(path: Path) -> str:
    """The part of the package that a module belongs to: its folder, or itself at the top."""
    return path.relative_to(PACKAGE).with_suffix("").parts[0]


def test_each_decision_file_is_short() -> None:
    for path in POLICY:
        lines = [line for line in path.read_text().splitlines() if line.strip()]
        assert len(lines) <= 400, path


def test_no_line_is_long() -> None:
    for path in [*MODULES, *ROOT.glob("tests/**/*.py")]:
        assert all(len(line) <= 110 for line in path.read_text().splitlines()), path


@pytest.mark.parametrize(
    "page",
    [
        "README.md",
        "DEVELOPERS.md",
        "docs/architecture.md",
        "docs/design.md",
        "docs/glossary.md",
        "docs/open.md",
        "docs/measurements.md",
    ],
)
def test_the_modules_that_a_page_names_exist(page: str) -> None:
    text = (ROOT / page).read_text()
    named = set(re.findall(r"`(?:yardlane/)?((?:\w+/)*\w+\.py)`", text))
    files = [*MODULES, *(ROOT / "tests").rglob("*.py")]
    existing = {path.name for path in files}
    existing |= {
        str(path.relative_to(base)) for base in (PACKAGE, ROOT) for path in files if base in path.parents
    }
    assert named <= existing | FILES_OF_THE_MODELS


def test_the_decisions_do_no_input_or_output() -> None:
    assert PACKAGE / "decisions" / "gateway.py" in POLICY
    for path in (PACKAGE / "decisions").glob("*.py"):
        outside = {name for name in imported(path) if not name.startswith("yardlane.decisions")}
        assert outside <= DECISION_LIBRARIES | {"yardlane.errors", "yardlane.errors.SettingsError"}, path


def test_every_module_that_decides_is_in_the_policy_of_the_deploy_file() -> None:
    interface = {"__init__", "actions", "decider", "events", "settings", "units"}
    modules = {path for path in (PACKAGE / "decisions").glob("*.py") if path.stem not in interface}
    assert set(POLICY) == modules


def test_the_policy_of_the_deploy_file_is_in_the_decisions() -> None:
    for path in POLICY:
        assert path.is_file() and path.parent == PACKAGE / "decisions"


def test_the_node_of_the_deploy_file_is_the_front_door_without_its_decisions() -> None:
    """A module of the front door that the deploy file does not list would not be looked at as one."""
    listed = [ROOT / path for path in DEPLOY["node"]]
    assert all(path.exists() for path in listed)
    elsewhere = {PACKAGE / "decisions", PACKAGE / "simulator"}
    for module in MODULES:
        if module == PACKAGE / "__init__.py" or elsewhere & set(module.parents):
            continue
        assert module in listed or set(module.parents) & set(listed), module


@pytest.mark.parametrize("path", MODULES, ids=lambda path: str(path.relative_to(ROOT)))
def test_imports_point_down_only(path: Path) -> None:
    names = {name.split(".")[1] for name in imported(path) if name.startswith("yardlane.")}
    assert names <= MAY_IMPORT[part_of(path)]


def test_no_other_module_decides() -> None:
    """Only who assembles a program knows the gateway: the proxy and the codec know its interface alone."""
    knows = {path for path in MODULES if "yardlane.decisions.gateway" in imported(path)}
    assert knows <= {PACKAGE / "__main__.py", PACKAGE / "server.py", PACKAGE / "simulator" / "adapter.py"}
    for name in ("events", "actions", "decider"):
        own = {f"yardlane.decisions.{part}" for part in ("events", "actions")}
        classes = {f"{module}.{one}" for module in own for one in ("Action", "Event")}
        allowed = {"__future__", "dataclasses", "enum", "typing"} | own | classes
        assert imported(PACKAGE / "decisions" / f"{name}.py") <= allowed


def test_what_the_build_compiles_stands_whatever_times_the_files_get(tmp_path: Path) -> None:
    shutil.copytree(PACKAGE, tmp_path / "yardlane", ignore=shutil.ignore_patterns("__pycache__"))
    build = DEPLOY["build"].rpartition("&& ")[2].replace(".venv/bin/python", sys.executable)
    subprocess.run(build, shell=True, cwd=tmp_path, check=True)
    for source in tmp_path.rglob("*.py"):
        os.utime(source, (1, 1))  # a copy of the root, or a fresh checkout
    told = subprocess.run(
        [sys.executable, "-v", "-c", "import yardlane.__main__"],
        cwd=tmp_path,
        check=True,
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"},
    ).stderr
    assert "yardlane/__main__.py\n" in told
    assert "bytecode is stale for 'yardlane" not in told

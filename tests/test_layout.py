"""Tests of the source files, their imports, the deploy file and the names on the documentation pages."""

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
PAGES = [
    "README.md",
    "DEVELOPERS.md",
    "docs/architecture.md",
    "docs/design.md",
    "docs/glossary.md",
    "docs/open.md",
    "docs/measurements.md",
    *sorted(str(path.relative_to(ROOT)) for path in ROOT.glob("docs/incidents/*.md")),
]
FILE_ENDINGS = (".py", ".md", ".json", ".toml", ".txt")
# Files of other projects, which DEVELOPERS.md names.
EXTERNAL_FILES = {"connection_pool.py", "connection.py", "http11.py", "commands.py"}
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
# The parts of the package that each part may import. Imports must only go to lower layers.
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


def imported_names(path: Path) -> set[str]:
    """Return the modules that a file imports, and the names that it imports from modules of the package."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{path} has a relative import in line {node.lineno}"
            found.add(node.module or "")
            if node.module in ("yardlane", *(f"yardlane.{part}" for part in MAY_IMPORT)):
                found |= {f"{node.module}.{alias.name}" for alias in node.names}
    return found


def layer_of(path: Path) -> str:
    """Return the part of the package that a module belongs to: its subpackage, or itself at the top level."""
    return path.relative_to(PACKAGE).with_suffix("").parts[0]


def test_policy_files_have_at_most_400_lines() -> None:
    for path in POLICY:
        lines = [line for line in path.read_text().splitlines() if line.strip()]
        assert len(lines) <= 400, path


def test_lines_have_at_most_110_characters() -> None:
    for path in [*MODULES, *ROOT.glob("tests/**/*.py")]:
        assert all(len(line) <= 110 for line in path.read_text().splitlines()), path


def defined_names() -> set[str]:
    """Return `Class.name` of each method and field, `module.name` of each function, class and constant."""
    names: set[str] = set()
    for path in MODULES:
        tree = ast.parse(path.read_text())
        for owner, body in [(path.stem, tree.body)] + [
            (node.name, node.body) for node in tree.body if isinstance(node, ast.ClassDef)
        ]:
            for node in body:
                if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
                    names.add(f"{owner}.{node.name}")
                elif isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
                    names.add(f"{owner}.{node.target.id}")
                elif isinstance(node, ast.Assign):
                    names |= {
                        f"{owner}.{target.id}" for target in node.targets if isinstance(target, ast.Name)
                    }
    return names


@pytest.mark.parametrize("page", PAGES)
def test_files_and_names_on_a_page_exist(page: str) -> None:
    """A page names a file or function that was renamed or removed.

    An engineer who follows the page during an incident would lose time searching for it.
    """
    text = (ROOT / page).read_text()
    referenced_files = set(re.findall(r"`(?:yardlane/)?((?:\w+/)*\w+\.py)`", text))
    files = [*MODULES, *(ROOT / "tests").rglob("*.py")]
    existing = {path.name for path in files}
    existing |= {
        str(path.relative_to(base)) for base in (PACKAGE, ROOT) for path in files if base in path.parents
    }
    assert referenced_files <= existing | EXTERNAL_FILES
    referenced_names = {name for name in re.findall(r"`(\w+\.\w+)`", text) if not name.endswith(FILE_ENDINGS)}
    assert referenced_names <= defined_names()


def test_decisions_import_no_io_library() -> None:
    assert PACKAGE / "decisions" / "gateway.py" in POLICY
    for path in (PACKAGE / "decisions").glob("*.py"):
        outside = {name for name in imported_names(path) if not name.startswith("yardlane.decisions")}
        assert outside <= DECISION_LIBRARIES | {"yardlane.errors", "yardlane.errors.SettingsError"}, path


def test_deploy_file_lists_every_decision_module_as_policy() -> None:
    non_deciding_modules = {"__init__", "actions", "decider", "events", "settings", "units"}
    modules = {path for path in (PACKAGE / "decisions").glob("*.py") if path.stem not in non_deciding_modules}
    assert set(POLICY) == modules


def test_policy_files_exist_in_the_decisions_package() -> None:
    for path in POLICY:
        assert path.is_file() and path.parent == PACKAGE / "decisions"


def test_deploy_file_lists_every_other_front_door_module_as_node() -> None:
    """A front door module is missing in the deploy file, so it is not treated as part of the front door."""
    listed = [ROOT / path for path in DEPLOY["node"]]
    assert all(path.exists() for path in listed)
    elsewhere = {PACKAGE / "decisions", PACKAGE / "simulator"}
    for module in MODULES:
        if module == PACKAGE / "__init__.py" or elsewhere & set(module.parents):
            continue
        assert module in listed or set(module.parents) & set(listed), module


@pytest.mark.parametrize("path", MODULES, ids=lambda path: str(path.relative_to(ROOT)))
def test_modules_import_only_lower_layers(path: Path) -> None:
    names = {name.split(".")[1] for name in imported_names(path) if name.startswith("yardlane.")}
    assert names <= MAY_IMPORT[layer_of(path)]


def test_only_entry_points_import_the_gateway() -> None:
    """Only modules that assemble a program import `Gateway`; the proxy and the codec use its interface."""
    importers = {path for path in MODULES if "yardlane.decisions.gateway" in imported_names(path)}
    assert importers <= {PACKAGE / "__main__.py", PACKAGE / "server.py", PACKAGE / "simulator" / "adapter.py"}
    for name in ("events", "actions", "decider"):
        interface_modules = {f"yardlane.decisions.{part}" for part in ("events", "actions")}
        classes = {f"{module}.{one}" for module in interface_modules for one in ("Action", "Event")}
        allowed = {"__future__", "dataclasses", "enum", "typing"} | interface_modules | classes
        assert imported_names(PACKAGE / "decisions" / f"{name}.py") <= allowed


def test_compiled_bytecode_stays_valid_when_file_times_change(tmp_path: Path) -> None:
    shutil.copytree(PACKAGE, tmp_path / "yardlane", ignore=shutil.ignore_patterns("__pycache__"))
    build = DEPLOY["build"].rpartition("&& ")[2].replace(".venv/bin/python", sys.executable)
    subprocess.run(build, shell=True, cwd=tmp_path, check=True)
    for source in tmp_path.rglob("*.py"):
        os.utime(source, (1, 1))  # as in a copy of the directory, or a fresh checkout
    import_log = subprocess.run(
        [sys.executable, "-v", "-c", "import yardlane.__main__"],
        cwd=tmp_path,
        check=True,
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"},
    ).stderr
    assert "yardlane/__main__.py\n" in import_log
    assert "bytecode is stale for 'yardlane" not in import_log

"""What is promised of the files."""

import ast
import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
CONTROL = ROOT / "cresspulley" / "control.py"
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
POLICY = [ROOT / path for path in DEPLOY["policy"]]


def imported(path: Path) -> set[str]:
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            found.add(node.module or "")
    return found


def test_each_decision_file_is_short() -> None:
    for path in POLICY:
        lines = [line for line in path.read_text().splitlines() if line.strip()]
        assert len(lines) <= 400, path


def test_no_line_is_long() -> None:
    for path in [*ROOT.glob("cresspulley/*.py"), *ROOT.glob("tests/*.py")]:
        assert all(len(line) <= 110 for line in path.read_text().splitlines()), path


def test_the_head_names_the_interface() -> None:
    assert "interface.py" in "".join(CONTROL.read_text().splitlines(keepends=True)[:3])


def test_the_decision_files_do_no_input_or_output() -> None:
    allowed = {
        "__future__", "collections", "collections.abc", "heapq", "math", "operator", "random", "typing",
        "zlib", "cresspulley.interface", *(f"cresspulley.{path.stem}" for path in POLICY),
    }
    assert CONTROL in POLICY
    for path in POLICY:
        assert imported(path) <= allowed, path


def test_no_other_module_decides() -> None:
    assert "cresspulley.control" not in imported(ROOT / "cresspulley" / "wire.py")
    assert imported(ROOT / "cresspulley" / "interface.py") == {"__future__", "dataclasses", "enum", "typing"}


def test_what_the_build_compiles_stands_whatever_times_the_files_get(tmp_path: Path) -> None:
    for package in ("cresspulley", "irisdeal"):
        shutil.copytree(ROOT / package, tmp_path / package, ignore=shutil.ignore_patterns("__pycache__"))
    build = DEPLOY["build"].rpartition("&& ")[2].replace(".venv/bin/python", sys.executable)
    subprocess.run(build, shell=True, cwd=tmp_path, check=True)
    for source in tmp_path.glob("*/*.py"):
        os.utime(source, (1, 1))  # a copy of the root, or a fresh checkout
    told = subprocess.run(
        [sys.executable, "-v", "-c", "import irisdeal.__main__"], cwd=tmp_path, check=True,
        capture_output=True, text=True, env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"}).stderr
    assert "irisdeal/__main__.py\n" in told
    assert "bytecode is stale for 'irisdeal" not in told and "bytecode is stale for 'cresspulley" not in told

"""Loading `Config` from the configuration file and the environment."""

import json
from pathlib import Path

import pytest

from tests.loopback import settings_dict
from yardlane.config import flatten, load_config, parse_address
from yardlane.errors import ConfigError


def test_too_deeply_nested_json_raises_config_error(tmp_path: Path) -> None:
    """Deep nesting makes the JSON parser raise RecursionError, which must be reported as an invalid file."""
    path = tmp_path / "config.json"
    path.write_text("[" * 100_000)
    with pytest.raises(ConfigError, match="invalid JSON"):
        load_config({"EDGE_CONFIG": str(path)})


def test_environment_variables_override_the_file(tmp_path: Path) -> None:
    """A variable that is set overrides its key in the file. All other keys keep the file's values."""
    path = tmp_path / "config.json"
    path.write_text(
        json.dumps({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": settings_dict()})
    )
    config = load_config({"EDGE_CONFIG": str(path), "EDGE_LISTEN": "127.0.0.1:3", "EDGE_NAME": "n7"})
    assert (config.listen[1], config.discovery[1]) == (3, 2)
    assert (config.request_class_names, config.quota_plan_names) == (("look", "file"), ("basic", "metered"))
    assert config.zones == ("north", "south")
    with pytest.raises(ConfigError, match="not set"):
        load_config({})


@pytest.mark.parametrize("is_reload", [False, True])
def test_discovery_address_of_the_file_wins_only_on_reload(is_reload: bool, tmp_path: Path) -> None:
    """Discovery moves: the file has its new address, but the environment still has the one from the start."""
    path = tmp_path / "config.json"
    path.write_text(
        json.dumps({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": settings_dict()})
    )
    config = load_config({"EDGE_CONFIG": str(path), "EDGE_DISCOVERY": "127.0.0.1:4"}, is_reload)
    assert config.discovery[1] == (2 if is_reload else 4)


@pytest.mark.parametrize(
    "text", ["", "x", ":9", "x:", "x:0", "x:65536", "x:-1", "x:\u0663", "x:" + "9" * 5000, None, ["x:9"]]
)
def test_invalid_address_raises_config_error(text: object) -> None:
    """An address has no port, a port out of range, or digits that are not ASCII.

    The error must name the value, so that the process can exit with one line instead of a traceback.
    """
    with pytest.raises(ConfigError, match=r"here is .*must be host:port"):
        parse_address(text, "here")


def test_flatten_returns_the_paths_of_the_settings_text() -> None:
    nested = {
        "rank": 0,
        "safety": {"fall_us": 7},
        "zones": ["a", "b"],
        "profiles": [{"name": "x"}],
        "on": True,
    }
    assert dict(flatten(nested)) == {
        "rank": "0",
        "safety.fall_us": "7",
        "zones": "a,b",
        "profiles.count": "1",
        "profiles.0.name": "x",
        "on": "true",
    }

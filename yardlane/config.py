"""From the environment and the JSON file that it names to `Config`.

This is the one place that knows the names in that file. The names inside its `settings` are known by
`yardlane.settings_reader`, all but those that the proxy alone uses: `parse_config` reads these itself.
Whatever is wrong raises ConfigError, whose text names the value.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from yardlane.decisions.settings import Settings
from yardlane.errors import ConfigError, SettingsError
from yardlane.settings_reader import SettingsReader, read_settings

Address = tuple[str, int]

MAX_PORT = 65_535
DEFAULT_DESCRIPTORS = 1_024
DEFAULT_CONNECT_TIMEOUT_US = "250000"
DEFAULT_KEEPALIVE_US = "30000000"

# The key in the file, and the variable that overrides it. `EDGE_NAME` and `name` are accepted and not read.
ENVIRONMENT_OVERRIDES = {
    "listen": "EDGE_LISTEN",
    "discovery": "EDGE_DISCOVERY",
}


@dataclass(frozen=True, slots=True)
class Config:
    """All that a front door is configured with."""

    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    descriptors: int
    """How many file descriptors the process may hold."""
    cached_endpoint_list: object | None
    """The endpoint list as an earlier process had it, in discovery's JSON."""
    settings: Settings
    request_class_names: tuple[str, ...]
    """In the order of the settings, whose indices stand for them; so are the three below."""
    quota_plan_names: tuple[str, ...]
    zones: tuple[str, ...]
    hardware_kinds: tuple[str, ...]
    connect_timeout_us: int
    keepalive_us: int
    """How long an upstream keeps an idle connection."""


def load_config(environ: Mapping[str, str], is_reload: bool = False) -> Config:
    """Read the file that `EDGE_CONFIG` names; the variables of `ENVIRONMENT_OVERRIDES` override it.

    On a reload its discovery overrides `EDGE_DISCOVERY`, which still has the address of the start.
    """
    path = environ.get("EDGE_CONFIG", "")
    if not path:
        raise ConfigError("EDGE_CONFIG is not set")
    document = _read_json(path)
    for key, variable in ENVIRONMENT_OVERRIDES.items():
        if not environ.get(variable):
            continue
        if is_reload and key == "discovery" and document.get(key):
            continue
        document[key] = environ[variable]
    try:
        return parse_config(document)
    except SettingsError as error:
        raise ConfigError(f"EDGE_CONFIG: {path}: {error}") from None


def parse_config(document: Mapping[str, Any]) -> Config:
    """The configuration from its JSON object. ConfigError, or SettingsError for its settings."""
    settings_json = document.get("settings")
    if not isinstance(settings_json, dict):
        raise ConfigError("settings are missing")
    values = dict(flatten(settings_json))
    settings, _ = read_settings(values)
    reader = SettingsReader(values)
    counter = document.get("counter")
    if settings.has_shared_counter and not counter:
        raise ConfigError("counter is missing, though the settings tell of one")
    descriptors = _parse_descriptors(document.get("limits") or {})
    seed = _parse_seed(document.get("seed") or "0")
    return Config(
        listen=parse_address(document.get("listen"), "listen"),
        discovery=parse_address(document.get("discovery"), "discovery"),
        counter=parse_address(counter, "counter") if counter else None,
        seed=seed,
        descriptors=descriptors,
        cached_endpoint_list=document.get("known"),
        settings=settings,
        request_class_names=_read_names(reader, "profiles", len(settings.request_classes)),
        quota_plan_names=_read_names(reader, "packages", len(settings.quota_plans)),
        zones=_parse_list(settings_json.get("zones")),
        hardware_kinds=_parse_list(settings_json.get("kinds")),
        connect_timeout_us=reader.positive_integer(
            "permissions.connect_timeout_us", DEFAULT_CONNECT_TIMEOUT_US
        ),
        keepalive_us=reader.positive_integer("permissions.keepalive_us", DEFAULT_KEEPALIVE_US),
    )


def parse_address(text: object, name: str) -> Address:
    """`host:port` in its two parts. ConfigError calls the value by its `name`."""
    host, _, port_text = str(text).rpartition(":")
    port = _parse_port(port_text)
    if not host or port is None:
        raise ConfigError(f"{name} is {text!r}: wanted host:port")
    return host, port


def flatten(value: object, path: str = "") -> Iterable[tuple[str, str]]:
    """Nested JSON as the paths and texts of the settings text.

    A list of objects gets a count and a number for each, as in `profiles.count` and `profiles.0.name`; any
    other list is joined by commas.
    """
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from flatten(inner, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list) and value and all(isinstance(inner, dict) for inner in value):
        yield f"{path}.count", str(len(value))
        for index, inner in enumerate(value):
            yield from flatten(inner, f"{path}.{index}")
    elif isinstance(value, list):
        yield path, ",".join(_to_text(inner) for inner in value)
    else:
        yield path, _to_text(value)


def _read_json(path: str) -> dict[str, Any]:
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except OSError as error:
        raise ConfigError(f"EDGE_CONFIG: {path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"EDGE_CONFIG: {path}: no JSON: {error}") from None
    if not isinstance(document, dict):
        raise ConfigError(f"EDGE_CONFIG: {path}: wanted an object")
    return document


def _parse_port(text: str) -> int | None:
    if not (text.isascii() and text.isdigit()):
        return None
    try:
        port = int(text)
    except ValueError:  # more digits than int() takes
        return None
    return port if 0 < port <= MAX_PORT else None


def _parse_descriptors(limits: object) -> int:
    if not isinstance(limits, dict):
        raise ConfigError(f"limits are {limits!r}: wanted an object")
    value = limits.get("sockets") or DEFAULT_DESCRIPTORS
    try:
        descriptors = int(value)
    except (ValueError, TypeError, OverflowError):
        raise ConfigError(f"limits.sockets is {value!r}: wanted a number") from None
    if descriptors <= 0:
        raise ConfigError(f"limits.sockets is {descriptors}: wanted more than 0")
    return descriptors


def _parse_seed(value: object) -> int:
    try:
        return int(str(value), 16)
    except ValueError:
        raise ConfigError(f"seed is {value!r}: wanted hex digits") from None


def _read_names(reader: SettingsReader, path: str, count: int) -> tuple[str, ...]:
    return tuple(reader.text(f"{path}.{index}.name") for index in range(count))


def _parse_list(value: object) -> tuple[str, ...]:
    items = value if isinstance(value, list) else str(value or "").split(",")
    return tuple(str(item) for item in items if item)


def _to_text(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else str(value)

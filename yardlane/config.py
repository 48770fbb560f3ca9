"""Loads `Config` from the JSON configuration file and the environment variables that override it.

This module defines all names of the configuration file outside its `settings` object, and the few inside it
that only the proxy uses. `yardlane.settings_reader` reads the other settings. If the configuration is
invalid, `load_config` raises ConfigError with a message that names the value.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from yardlane.decisions.settings import Settings
from yardlane.errors import ConfigError, SettingsError
from yardlane.settings_reader import SettingsReader, read_settings

Address = tuple[str, int]

MAX_PORT = 65_535
DEFAULT_DESCRIPTORS = 1_024  # also used if limits.sockets is 0 or null
DEFAULT_MEMORY_MB = 192  # also used if limits.memory_mb is 0 or null
# These defaults are texts, as `SettingsReader` takes them.
DEFAULT_CONNECT_TIMEOUT_US = "250000"
DEFAULT_KEEPALIVE_US = "30000000"

# Keys of the configuration file, and the environment variables that override them.
# `EDGE_NAME` and the key `name` are accepted but not read.
ENVIRONMENT_OVERRIDES = {
    "listen": "EDGE_LISTEN",
    "discovery": "EDGE_DISCOVERY",
}


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of a front door."""

    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    """The seed of the decider's random choices."""
    max_descriptors: int
    """The maximum number of file descriptors that the process may hold."""
    memory_limit_mb: int
    """The memory that the process may use; with more, the platform kills it."""
    cached_endpoint_list: object | None
    """The endpoint list that an earlier process had, as decoded JSON in discovery's format, or None."""
    settings: Settings
    request_class_names: tuple[str, ...]
    """Ordered by index in the settings, as are the next three fields."""
    quota_plan_names: tuple[str, ...]
    zones: tuple[str, ...]
    hardware_kinds: tuple[str, ...]
    connect_timeout_us: int
    keepalive_us: int
    """How long an upstream keeps an idle connection open."""


class ProcessLimits(NamedTuple):
    """The limits of the process from the configuration file."""

    descriptors: int
    memory_mb: int


def load_config(environ: Mapping[str, str], is_reload: bool = False) -> Config:
    """Load the file that `EDGE_CONFIG` names, and apply the variables of `ENVIRONMENT_OVERRIDES`.

    On a reload, discovery's address in the file takes precedence over `EDGE_DISCOVERY`, which still has its
    value from the start of the process. Raises ConfigError if the configuration is invalid.
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
    """Parse decoded JSON. Raises SettingsError if a value in `settings` is invalid, else ConfigError."""
    settings_json = document.get("settings")
    if not isinstance(settings_json, dict):
        raise ConfigError("settings is missing or not a JSON object")
    values = dict(flatten(settings_json))
    settings, _ = read_settings(values)
    reader = SettingsReader(values)
    counter = document.get("counter")
    if settings.has_shared_counter and not counter:
        raise ConfigError("counter is missing, but settings.family_info.shared_counter is true")
    limits = _parse_limits(document.get("limits") or {})
    seed = _parse_seed(document.get("seed") or "0")
    return Config(
        listen=parse_address(document.get("listen"), "listen"),
        discovery=parse_address(document.get("discovery"), "discovery"),
        counter=parse_address(counter, "counter") if counter else None,
        seed=seed,
        max_descriptors=limits.descriptors,
        memory_limit_mb=limits.memory_mb,
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
    """Return host and port of a `host:port` text.

    Raises ConfigError if the text is invalid; `name` is what the message calls the value.
    """
    host, _, port_text = str(text).rpartition(":")
    port = _parse_port(port_text)
    if not host or port is None:
        raise ConfigError(f"{name} is {text!r}: must be host:port with a port from 1 to {MAX_PORT}")
    return host, port


def flatten(value: object, path: str = "") -> Iterable[tuple[str, str]]:
    """Yield the path and the text of each value of nested JSON, as `settings_reader` takes them.

    A list of objects becomes a count and one numbered path per object, as in `profiles.count` and
    `profiles.0.name`. The items of any other list are joined by commas.
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
        raise ConfigError(f"EDGE_CONFIG: {path}: invalid JSON: {error}") from None
    if not isinstance(document, dict):
        raise ConfigError(f"EDGE_CONFIG: {path}: must contain a JSON object")
    return document


def _parse_port(text: str) -> int | None:
    if not (text.isascii() and text.isdigit()):
        return None
    try:
        port = int(text)
    except ValueError:  # more digits than int() accepts
        return None
    return port if 0 < port <= MAX_PORT else None


def _parse_limits(limits: object) -> ProcessLimits:
    if not isinstance(limits, dict):
        raise ConfigError(f"limits is {limits!r}: must be a JSON object")
    return ProcessLimits(
        _parse_limit(limits, "sockets", DEFAULT_DESCRIPTORS),
        _parse_limit(limits, "memory_mb", DEFAULT_MEMORY_MB),
    )


def _parse_limit(limits: Mapping[str, Any], name: str, default: int) -> int:
    """Return the limit `name` of the configuration, or the default if it is missing, 0 or null."""
    value = limits.get(name) or default
    try:
        limit = int(value)
    except (ValueError, TypeError, OverflowError):
        raise ConfigError(f"limits.{name} is {value!r}: must be an integer") from None
    if limit <= 0:
        raise ConfigError(f"limits.{name} is {limit}: must be greater than 0")
    return limit


def _parse_seed(value: object) -> int:
    try:
        return int(str(value), 16)
    except ValueError:
        raise ConfigError(f"seed is {value!r}: must be a hexadecimal number") from None


def _read_names(reader: SettingsReader, path: str, count: int) -> tuple[str, ...]:
    return tuple(reader.text(f"{path}.{index}.name") for index in range(count))


def _parse_list(value: object) -> tuple[str, ...]:
    """Return the items of a JSON list or of a text with commas, without the empty ones."""
    items = value if isinstance(value, list) else str(value or "").split(",")
    return tuple(str(item) for item in items if item)


def _to_text(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else str(value)

"""Reads `Settings` from text values by path.

The values come from a settings text, which has one line `path=value` for each setting, or from the front
door's configuration, whose nested JSON `yardlane.config` flattens to the same paths.

All external names and values of the settings are defined here, except those that only the proxy uses.
`yardlane.config` reads these itself: `permissions.connect_timeout_us`, `permissions.keepalive_us` and the
names of `profiles` and `packages` through `SettingsReader`, and `zones` and `kinds` from the nested JSON.

Missing or invalid settings raise SettingsError. The message names the path of the value, unless `Settings`
checks its range. Then it names the field: for the path `peers_total` it is `gateway_count is 0`.
"""

from __future__ import annotations

import math
from typing import TypeVar

from yardlane.decisions.settings import DeduplicationScope, Idempotency, QuotaPlan, RequestClass, Settings
from yardlane.errors import SettingsError

T = TypeVar("T")

LOAD_REPORT_FIELDS = {
    "concurrent": "in_flight",
    "depth": "queued",
    "load_share": "utilization",
}
"""The metrics of a load report that are read: their names (columns, in the settings), and their fields in
`LoadReport`."""

IDEMPOTENCY = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.KEYED,
    "single_shot": Idempotency.NON_IDEMPOTENT,
}
DISCOVERY_MODES = {
    "pushed": True,
    "on_request": False,
}
"""Whether discovery pushes the endpoint list, by the value of the setting `discovery`."""
DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
    "": DeduplicationScope.CELL,
}
FLAG_VALUES = {
    "true": True,
    "false": False,
}


class SettingsReader:
    """Looks up typed values by path.

    Each method takes an optional default in text form, which is used if the setting is missing. All raise
    SettingsError if the setting is missing without a default, or if its value is invalid.
    """

    def __init__(self, values: dict[str, str]) -> None:
        self.values = values

    def text(self, path: str, default: str | None = None) -> str:
        """Return the value unparsed."""
        value = self.values.get(path, default)
        if value is None:
            raise SettingsError(f"setting {path} is missing")
        return value

    def number(self, path: str, default: str | None = None) -> float:
        """Return a finite number. Infinities and NaN are refused, as they invalidate sums and comparisons."""
        text = self.text(path, default)
        try:
            number = float(text)
        except ValueError:
            raise SettingsError(f"setting {path} is not a number: {text!r}") from None
        if not math.isfinite(number):
            raise SettingsError(f"setting {path} is not finite: {text!r}")
        return number

    def integer(self, path: str, default: str | None = None) -> int:
        """Return the integer part of a number in any notation that `number` accepts, such as `1e6`."""
        return int(self.number(path, default))

    def positive_integer(self, path: str, default: str | None = None) -> int:
        """Return an integer greater than 0."""
        number = self.integer(path, default)
        if number <= 0:
            raise SettingsError(f"setting {path} is {number}: must be greater than 0")
        return number

    def flag(self, path: str, default: str | None = None) -> bool:
        """Return True for `true`, and False for `false`. Other spellings are invalid."""
        text = self.text(path, default)
        if text not in FLAG_VALUES:
            raise SettingsError(f"setting {path} is neither true nor false: {text!r}")
        return FLAG_VALUES[text]

    def one_of(self, path: str, choices: dict[str, T], default: str | None = None) -> T:
        """Return the item of `choices` for the value."""
        text = self.text(path, default)
        if text not in choices:
            raise SettingsError(f"setting {path} has an unknown value: {text!r}")
        return choices[text]


def parse_settings(text: bytes) -> tuple[Settings, tuple[str, ...]]:
    """Return the settings in a settings text, and the column names of the load report in their order.

    Raises SettingsError if the text is invalid.
    """
    try:
        lines = text.decode("utf-8").split("\n")
    except UnicodeDecodeError as error:
        raise SettingsError(f"settings text is not valid UTF-8 at byte {error.start}") from None
    values: dict[str, str] = {}
    for line_number, raw_line in enumerate(lines, 1):
        line = raw_line.strip()
        if not line:
            continue
        path, separator, value = line.partition("=")
        if not separator:
            raise SettingsError(f"settings line {line_number} has no '=': {line!r}")
        values[path] = value
    return read_settings(values)


def read_settings(values: dict[str, str]) -> tuple[Settings, tuple[str, ...]]:
    """Return settings and load report columns. Raises SettingsError if a value is missing or invalid."""
    reader = SettingsReader(values)
    endpoint_list_is_pushed = reader.one_of("discovery", DISCOVERY_MODES)
    columns = tuple(column for column in reader.text("report.columns", "").split(",") if column)
    request_classes = tuple(
        _read_request_class(reader, f"profiles.{n}.") for n in range(reader.integer("profiles.count"))
    )
    quota_plans = tuple(
        _read_quota_plan(reader, f"packages.{n}.") for n in range(reader.integer("packages.count", "0"))
    )
    settings = Settings(
        gateway_count=reader.integer("peers_total"),
        rank=reader.integer("rank"),
        zone=reader.integer("locality"),
        request_classes=request_classes,
        quota_plans=quota_plans,
        tick_us=reader.integer("round_us"),
        answer_grace_us=reader.integer("safety.grace_to_answer_us"),
        drain_grace_us=reader.integer("safety.drain_grace_us"),
        initial_capacity_share=reader.number("safety.start_capacity"),
        warm_up_us=reader.integer("safety.warm_up_us"),
        overload_multiple=reader.number("safety.tip_multiple"),
        overload_window_us=reader.integer("safety.fall_us"),
        max_attempts=reader.positive_integer("permissions.max_attempts"),
        may_hedge=reader.flag("permissions.parallel_tries"),
        may_cancel=reader.flag("permissions.cancel"),
        may_send_retry_after=reader.flag("permissions.retry_after"),
        max_retry_after_us=reader.integer("permissions.max_retry_after_us", "0"),
        endpoint_list_is_pushed=endpoint_list_is_pushed,
        has_shared_counter=reader.flag("family_info.shared_counter", "false"),
        counter_timeout_us=reader.integer("family_info.count_wait_us", "0"),
        cross_zone_cost=reader.number("costs.cross_zone", "0"),
    )
    return settings, columns


def _read_request_class(reader: SettingsReader, prefix: str) -> RequestClass:
    idempotency = reader.one_of(prefix + "repeat", IDEMPOTENCY)
    is_keyed = idempotency is Idempotency.KEYED
    scope = DeduplicationScope.CELL
    if is_keyed:
        scope = reader.one_of(prefix + "group", DEDUPLICATION_SCOPES)
    return RequestClass(
        latency_objective_us=reader.integer(prefix + "slo_us"),
        deadline_us=reader.integer(prefix + "deadline_us"),
        idempotency=idempotency,
        deduplication_scope=scope,
        idempotency_window_us=reader.integer(prefix + "window_us", None if is_keyed else "0"),
        priority_weight=reader.number(prefix + "worth"),
    )


def _read_quota_plan(reader: SettingsReader, prefix: str) -> QuotaPlan:
    return QuotaPlan(
        rate_per_s=reader.number(prefix + "refill"),
        burst=reader.number(prefix + "burst"),
        concurrency_limit=reader.integer(prefix + "concurrency"),
        hard_rate_per_s=reader.number(prefix + "hard_rate"),
        hard_rate_depth=reader.number(prefix + "never_over_depth"),
        hard_rate_slack=reader.number(prefix + "cap_slack"),
    )

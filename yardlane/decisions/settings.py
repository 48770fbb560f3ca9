"""The settings of a gateway, fixed while it runs.

Fields end in their unit: `_us` for whole microseconds, `_per_s` for a rate, `_share` for a fraction. The
names that the settings text has for them are in `yardlane.settings_reader`, and nowhere else.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from yardlane.errors import SettingsError


class Idempotency(Enum):
    """Whether a request of a class may take effect more than once."""

    IDEMPOTENT = "idempotent"
    KEYED = "keyed"
    """Backends of one `DeduplicationScope` drop a repeat of its idempotency key."""
    NON_IDEMPOTENT = "non-idempotent"


class DeduplicationScope(Enum):
    """The backends that share their record of idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One kind of request: its latency objective, and whether it may be repeated.

    `priority_weight` is what one answer in time is worth, relative to the other classes. A repeat of a
    `KEYED` request has to be sent within `idempotency_window_us` of the first attempt that may have run.
    """

    latency_objective_us: int
    deadline_us: int
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    idempotency_window_us: int
    priority_weight: float


@dataclass(frozen=True, slots=True)
class QuotaPlan:
    """What every tenant of a plan may use over all gateways together; 0 means that there is no such limit.

    The quota is a token bucket (`rate_per_s`, `burst` units) or a limit on attempts in flight; use beyond it
    is allowed but worth less. The hard rate is a second token bucket, which must never be overdrawn by more
    than `hard_rate_slack` units.
    """

    rate_per_s: float
    burst: float
    concurrency_limit: int
    hard_rate_per_s: float
    hard_rate_depth: float
    hard_rate_slack: float


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one gateway. SettingsError where a value cannot be."""

    gateway_count: int
    rank: int
    """The number of this gateway among all, from 0."""
    zone: int
    request_classes: tuple[RequestClass, ...]
    quota_plans: tuple[QuotaPlan, ...]
    tick_us: int
    """How late a timer of the gateway may fire."""
    answer_grace_us: int
    """How long after its deadline a request may still get its final answer; no rule reads it."""
    drain_grace_us: int
    """How long after a gateway was notified that an endpoint drains it may still send to it."""
    initial_capacity_share: float
    """The share of its capacity that an endpoint has as it starts."""
    warm_up_us: int
    overload_multiple: float
    """A warming endpoint fails when sent more than this multiple of its capacity in `overload_window_us`."""
    overload_window_us: int
    max_attempts: int
    may_hedge: bool
    """Whether two attempts of one request may be in flight at once."""
    may_cancel: bool
    may_send_retry_after: bool
    max_retry_after_us: int
    endpoint_list_is_pushed: bool
    has_shared_counter: bool
    counter_timeout_us: int
    cross_zone_cost: float
    """The price of an attempt in another zone; only whether there is one counts here."""

    def __post_init__(self) -> None:
        _require(self.gateway_count >= 1, "gateway_count", self.gateway_count, "at least 1")
        _require(
            0 <= self.rank < self.gateway_count, "rank", self.rank, f"from 0 to {self.gateway_count - 1}"
        )
        _require(bool(self.request_classes), "request_classes", self.request_classes, "at least one class")
        for field in (
            "tick_us",
            "answer_grace_us",
            "drain_grace_us",
            "warm_up_us",
            "overload_window_us",
            "counter_timeout_us",
        ):
            _require(getattr(self, field) >= 0, field, getattr(self, field), "no negative time")
        share = self.initial_capacity_share
        _require(0.0 < share <= 1.0, "initial_capacity_share", share, "a share over 0")
        for n, request_class in enumerate(self.request_classes):
            for field in ("latency_objective_us", "deadline_us"):
                value = getattr(request_class, field)
                _require(value > 0, f"request_classes[{n}].{field}", value, "a time over 0")
        for n, plan in enumerate(self.quota_plans):
            for field in QuotaPlan.__slots__:
                value = getattr(plan, field)
                _require(value >= 0, f"quota_plans[{n}].{field}", value, "no negative limit")

    def require_known(self, request_class: int, quota_plan: int) -> None:
        """Raise SettingsError where a request names a class or plan that these settings do not have."""
        _require(0 <= request_class < len(self.request_classes), "request_class", request_class, "known")
        _require(0 <= quota_plan < len(self.quota_plans), "quota_plan", quota_plan, "known")


def _require(is_valid: bool, field: str, value: object, requirement: str) -> None:
    if not is_valid:
        raise SettingsError(f"{field} is {value!r}: wanted {requirement}")

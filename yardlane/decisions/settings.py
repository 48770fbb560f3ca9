"""The settings of a gateway, which do not change while it runs.

Some field names end in a unit or a kind of value: `_us` for whole microseconds, `_per_s` for a rate per
second, `_share` for a fraction. The settings text has other names for the fields; only
`yardlane.settings_reader` maps one to the other.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from yardlane.errors import SettingsError


class Idempotency(Enum):
    """Whether a request of a class may be sent again after it may have run."""

    IDEMPOTENT = "idempotent"
    KEYED = "keyed"
    """Requests have an idempotency key, and the endpoints of one `DeduplicationScope` drop duplicates."""
    NON_IDEMPOTENT = "non-idempotent"


class DeduplicationScope(Enum):
    """Which endpoints share one store of idempotency keys: all, those of a zone, or those of a cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its latency objective, and whether its requests may be sent again.

    `priority_weight` is the value of one timely response, relative to the other classes. A retry of a `KEYED`
    request must be sent within `idempotency_window_us` of the first attempt that may have run.
    """

    latency_objective_us: int
    deadline_us: int
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    idempotency_window_us: int
    priority_weight: float


@dataclass(frozen=True, slots=True)
class QuotaPlan:
    """The limits on what each tenant of a plan may use over all gateways together; 0 means no such limit.

    The quota is a token bucket (`rate_per_s`, `burst` units) or a limit on attempts in flight. Requests
    beyond the quota are allowed, but a response to them is worth less. The hard rate is a second token
    bucket, which must never be overdrawn by more than `hard_rate_slack` units.
    """

    rate_per_s: float
    burst: float
    concurrency_limit: int
    hard_rate_per_s: float
    hard_rate_depth: float
    hard_rate_slack: float


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one gateway. The constructor raises SettingsError if a value is out of its range."""

    gateway_count: int
    rank: int
    """The index of this gateway among all gateways, from 0."""
    zone: int
    request_classes: tuple[RequestClass, ...]
    quota_plans: tuple[QuotaPlan, ...]
    tick_us: int
    """The longest time by which a timer of the gateway may fire late."""
    answer_grace_us: int
    """How long after its deadline a request may still get its final answer. The decisions do not use it."""
    drain_grace_us: int
    """How long a gateway may still send to an endpoint after being notified that the endpoint drains."""
    initial_capacity_share: float
    """The share of its full capacity that an endpoint has when it starts."""
    warm_up_us: int
    overload_multiple: float
    """The multiple of its capacity above which an endpoint fails while it is warming up.

    The work that is sent to it within `overload_window_us` is compared with the work that it can do in that
    time.
    """
    overload_window_us: int
    max_attempts: int
    may_hedge: bool
    """Whether several attempts of one request may be in flight at once."""
    may_cancel: bool
    may_send_retry_after: bool
    max_retry_after_us: int
    endpoint_list_is_pushed: bool
    has_shared_counter: bool
    counter_timeout_us: int
    cross_zone_cost: float
    """The cost of an attempt in another zone. The decisions use only whether it is 0."""

    def __post_init__(self) -> None:
        _require(self.gateway_count >= 1, "gateway_count", self.gateway_count, "at least 1")
        _require(
            0 <= self.rank < self.gateway_count, "rank", self.rank, f"between 0 and {self.gateway_count - 1}"
        )
        _require(
            bool(self.request_classes),
            "request_classes",
            self.request_classes,
            "a tuple of at least one class",
        )
        for field in (
            "tick_us",
            "answer_grace_us",
            "drain_grace_us",
            "warm_up_us",
            "overload_window_us",
            "counter_timeout_us",
        ):
            _require(getattr(self, field) >= 0, field, getattr(self, field), "at least 0")
        share = self.initial_capacity_share
        _require(0.0 < share <= 1.0, "initial_capacity_share", share, "more than 0 and at most 1")
        for n, request_class in enumerate(self.request_classes):
            for field in ("latency_objective_us", "deadline_us"):
                value = getattr(request_class, field)
                _require(value > 0, f"request_classes[{n}].{field}", value, "more than 0")
        for n, plan in enumerate(self.quota_plans):
            for field in QuotaPlan.__slots__:
                value = getattr(plan, field)
                _require(value >= 0, f"quota_plans[{n}].{field}", value, "at least 0")

    def require_known(self, request_class: int, quota_plan: int) -> None:
        """Raise SettingsError if these settings do not contain the class or the plan of a request."""
        _require(
            0 <= request_class < len(self.request_classes),
            "request_class",
            request_class,
            "the index of a known request class",
        )
        _require(
            0 <= quota_plan < len(self.quota_plans),
            "quota_plan",
            quota_plan,
            "the index of a known quota plan",
        )


def _require(is_valid: bool, field: str, value: object, requirement: str) -> None:
    if not is_valid:
        raise SettingsError(f"{field} is {value!r}: must be {requirement}")

"""The state that one gateway keeps about one endpoint, shared by the rules that concern endpoints."""

from __future__ import annotations

from yardlane.decisions.events import Endpoint, LoadReport
from yardlane.decisions.settings import QuotaPlan
from yardlane.decisions.work_window import WorkWindow


class EndpointRecord:
    """The state of one endpoint since its start. An endpoint that restarts gets a new record.

    Times are microseconds of the gateway's clock; they are 0 until the event happens.

    - `entry`: the endpoint's latest entry in the endpoint list.
    - `subset_rank`: the position of this gateway in the endpoint's order of the gateways (`endpoints.py`).
    - `failure_rates`, `latency_ratio`: moving averages (`outliers.py`). `failure_rates` has one rate for each
      quota plan; the key None is for the rate over all plans.
    - `sent_work`: the work that this gateway sent to the endpoint during its warm-up, as expected service
      time in microseconds (`slow_start.py`).
    - `last_sent_at_us`, `last_success_at_us`: when this gateway last sent an attempt to the endpoint, and
      when it last got a successful response from it.
    - `in_flight`: the number of attempts that this gateway has in flight at the endpoint.
    - `remote_in_flight`: the number that all other gateways have in flight there, according to the endpoint's
      last load report, which arrived at `load_reported_at_us`.
    """

    __slots__ = (
        "entry",
        "failure_rates",
        "in_flight",
        "last_sent_at_us",
        "last_success_at_us",
        "latency_ratio",
        "load_reported_at_us",
        "remote_in_flight",
        "sent_work",
        "subset_rank",
    )

    def __init__(self, entry: Endpoint, subset_rank: int, overload_window_us: int) -> None:
        self.entry = entry
        self.subset_rank = subset_rank
        self.in_flight = 0
        self.remote_in_flight = 0.0
        self.load_reported_at_us = 0
        self.last_sent_at_us = 0
        self.last_success_at_us = 0
        self.latency_ratio = 1.0
        self.failure_rates: dict[QuotaPlan | None, float] = {None: 0.0}
        self.sent_work = WorkWindow(overload_window_us)

    def record_load(self, load: LoadReport, now_us: int) -> None:
        """Set `remote_in_flight` to the reported load, minus this gateway's own attempts in flight.

        If the endpoint does not report its requests in flight, `queued` plus `utilization` is taken as load.
        """
        reported = load.in_flight
        if reported is None:
            reported = (load.queued or 0.0) + (load.utilization or 0.0)
        self.remote_in_flight = max(0.0, reported - self.in_flight)
        self.load_reported_at_us = now_us

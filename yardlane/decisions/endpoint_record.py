"""What one gateway knows of one endpoint: state that the rules on endpoints share."""

from __future__ import annotations

from yardlane.decisions.events import Endpoint, LoadReport
from yardlane.decisions.settings import QuotaPlan
from yardlane.decisions.work_window import WorkWindow


class EndpointRecord:
    """One endpoint, from its start on: a restart begins a new record.

    `entry` is its newest entry of the endpoint list. `subset_rank` is how many gateways come before this one
    in the endpoint's order of them (`endpoints.py`). `failure_rates` and `latency_ratio` are averages
    (`outliers.py`); `sent_work` is what it was sent while warming up, as expected service time in
    microseconds (`slow_start.py`). `in_flight` counts attempts of this gateway, `remote_in_flight` those of
    all others by the endpoint's last load report.
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
        """Take over a load report; what is not ours of it was sent by other gateways."""
        reported = load.in_flight
        if reported is None:
            reported = (load.queued or 0.0) + (load.utilization or 0.0)
        self.remote_in_flight = max(0.0, reported - self.in_flight)
        self.load_reported_at_us = now_us

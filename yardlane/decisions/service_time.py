"""Mean service times, as the responses of the endpoints show them. Times are microseconds.

There is a mean for each request class and one over all requests. Before any response, a class is taken to
need `INITIAL_SERVICE_TIME_SHARE` of its latency objective: rather too much than too little, as a warming
endpoint is sent requests by this figure (`slow_start.py`). A sample counts as at most `LONGEST_SAMPLE` means,
so that one slow response does not stand for a change.

`relative_value` compares classes: the priority weight that a response earns for its service time, in means of
that over all arrivals.
"""

from __future__ import annotations

from yardlane.decisions.settings import Settings

INITIAL_SERVICE_TIME_SHARE = 1 / 6
SAMPLE_WEIGHT = 0.1
ARRIVAL_SAMPLE_WEIGHT = SAMPLE_WEIGHT / 10
LONGEST_SAMPLE = 5  # in means of the class


class ServiceTimes:
    """The mean service time of each request class and of all."""

    __slots__ = ("_classes", "_mean_value", "_overall_sample_weight", "mean_us", "overall_mean_us")

    def __init__(self, settings: Settings) -> None:
        self._classes = settings.request_classes
        self.mean_us = [c.latency_objective_us * INITIAL_SERVICE_TIME_SHARE for c in self._classes]
        self.overall_mean_us = max(self.mean_us)
        self._overall_sample_weight = 1.0
        values = [c.priority_weight / c.latency_objective_us for c in self._classes]
        self._mean_value = sum(values) / len(values) / INITIAL_SERVICE_TIME_SHARE

    def record_arrival(self, class_index: int) -> None:
        """Count an arrival of this class in the mean value of all."""
        value = self._classes[class_index].priority_weight / self.mean_us[class_index]
        self._mean_value += ARRIVAL_SAMPLE_WEIGHT * (value - self._mean_value)

    def relative_value(self, class_index: int) -> float:
        """The priority weight of this class for its service time; 1.0 is the mean of all arrivals."""
        return self._classes[class_index].priority_weight / self.mean_us[class_index] / self._mean_value

    def record_response(self, class_index: int, elapsed_us: int) -> None:
        """Take over the time of a response. In the mean of all, the first samples count most."""
        mean_us = self.mean_us[class_index]
        sample_us = min(elapsed_us, LONGEST_SAMPLE * mean_us)
        self.mean_us[class_index] = mean_us + SAMPLE_WEIGHT * (sample_us - mean_us)
        weight = self._overall_sample_weight
        self._overall_sample_weight = max(SAMPLE_WEIGHT, weight / (1.0 + weight))
        self.overall_mean_us += self._overall_sample_weight * (sample_us - self.overall_mean_us)

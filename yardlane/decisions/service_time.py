"""Mean service times, as the responses of the endpoints show them. Times are microseconds.

There is a mean for each request class and one over all requests. Before any response, a class is taken to
need `INITIAL_SERVICE_TIME_SHARE` of its latency objective: rather too much than too little, as a warming
endpoint is sent requests by this figure (`slow_start.py`). A sample counts as at most `MAX_SAMPLE_MULTIPLE`
means, so that one slow response does not stand for a change.

`relative_weight_per_time` compares classes: priority weight / mean service time, relative to the mean of that
ratio over all arrivals.
"""

from __future__ import annotations

from yardlane.decisions.settings import Settings

INITIAL_SERVICE_TIME_SHARE = 1 / 6
SAMPLE_WEIGHT = 0.1
ARRIVAL_SAMPLE_WEIGHT = SAMPLE_WEIGHT / 10  # so that a short run of one class moves the mean little
MAX_SAMPLE_MULTIPLE = 5  # in means of the class


class ServiceTimes:
    """The mean service time of each request class and of all."""

    __slots__ = ("_classes", "_mean_weight_per_time", "_overall_sample_weight", "mean_us", "overall_mean_us")

    def __init__(self, settings: Settings) -> None:
        self._classes = settings.request_classes
        self.mean_us = [c.latency_objective_us * INITIAL_SERVICE_TIME_SHARE for c in self._classes]
        self.overall_mean_us = max(self.mean_us)
        self._overall_sample_weight = 1.0
        weights_per_time = [c.priority_weight / c.latency_objective_us for c in self._classes]
        self._mean_weight_per_time = (
            sum(weights_per_time) / len(weights_per_time) / INITIAL_SERVICE_TIME_SHARE
        )

    def record_arrival(self, class_index: int) -> None:
        """Count an arrival of this class in the mean weight per time of all arrivals."""
        weight_per_time = self._classes[class_index].priority_weight / self.mean_us[class_index]
        self._mean_weight_per_time += ARRIVAL_SAMPLE_WEIGHT * (weight_per_time - self._mean_weight_per_time)

    def relative_weight_per_time(self, class_index: int) -> float:
        """The priority weight of this class per service time; 1.0 is the mean of all arrivals."""
        weight_per_time = self._classes[class_index].priority_weight / self.mean_us[class_index]
        return weight_per_time / self._mean_weight_per_time

    def record_response(self, class_index: int, elapsed_us: int) -> None:
        """Take over the time of a response.

        The sample weight of the overall mean starts at 1 and becomes 1/2, 1/3 and so on, which makes it the
        plain mean of the first samples. From `SAMPLE_WEIGHT` on it is a moving average, as the means of the
        classes are at once.
        """
        mean_us = self.mean_us[class_index]
        sample_us = min(elapsed_us, MAX_SAMPLE_MULTIPLE * mean_us)
        self.mean_us[class_index] = mean_us + SAMPLE_WEIGHT * (sample_us - mean_us)
        last_weight = self._overall_sample_weight
        self._overall_sample_weight = max(SAMPLE_WEIGHT, last_weight / (1.0 + last_weight))
        self.overall_mean_us += self._overall_sample_weight * (sample_us - self.overall_mean_us)

"""Mean service times, measured from the successful responses of the endpoints. Times are in microseconds.

There is one mean for each request class, and one over all requests. Before the first response, the mean of a
class is assumed to be `INITIAL_SERVICE_TIME_SHARE` of its latency objective, and the mean over all requests
to be the highest of these. This estimate errs on the high side, because the number of requests that a warming
endpoint gets depends on it (`slow_start.py`). A sample counts as at most `MAX_SAMPLE_MULTIPLE` times the mean
of its class, so that one slow response is not mistaken for a lasting change.

`relative_weight_per_time` compares classes: it is the priority weight divided by the mean service time,
relative to the mean of that quotient over all arrivals.
"""

from __future__ import annotations

from yardlane.decisions.settings import Settings

INITIAL_SERVICE_TIME_SHARE = 1 / 6
SAMPLE_WEIGHT = 0.1
# Small, so that a few arrivals of one class in a row change the mean only slightly.
ARRIVAL_SAMPLE_WEIGHT = SAMPLE_WEIGHT / 10
MAX_SAMPLE_MULTIPLE = 5  # a sample counts as at most this many mean service times of its class


class ServiceTimes:
    """The mean service time of each request class, and the mean over all requests."""

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
        """Count an arrival of this class in the mean weight per time over all arrivals."""
        weight_per_time = self._classes[class_index].priority_weight / self.mean_us[class_index]
        self._mean_weight_per_time += ARRIVAL_SAMPLE_WEIGHT * (weight_per_time - self._mean_weight_per_time)

    def relative_weight_per_time(self, class_index: int) -> float:
        """Return the priority weight per service time of this class; 1.0 is the mean over all arrivals."""
        weight_per_time = self._classes[class_index].priority_weight / self.mean_us[class_index]
        return weight_per_time / self._mean_weight_per_time

    def record_response(self, class_index: int, elapsed_us: int) -> None:
        """Update the means with the service time of a successful response.

        The sample weight of the overall mean is 1/2 for the first response, then 1/3, 1/4 and so on. So at
        first, the overall mean is the arithmetic mean of its initial value and the samples. Once the weight
        has fallen to `SAMPLE_WEIGHT`, the overall mean is an exponential moving average. The means of the
        classes are exponential moving averages from the start.
        """
        mean_us = self.mean_us[class_index]
        sample_us = min(elapsed_us, MAX_SAMPLE_MULTIPLE * mean_us)
        self.mean_us[class_index] = mean_us + SAMPLE_WEIGHT * (sample_us - mean_us)
        last_weight = self._overall_sample_weight
        self._overall_sample_weight = max(SAMPLE_WEIGHT, last_weight / (1.0 + last_weight))
        self.overall_mean_us += self._overall_sample_weight * (sample_us - self.overall_mean_us)

"""Estimates the remaining run time of bulk job items.

Items can wait for a long time before they run, and their run time can't be derived
from their requests: the length of an output is known only when the item is done.
So the estimate for all items comes from those that have finished.
"""

# Weight of a new measurement in the moving averages.
MEAN_WEIGHT = 0.1
# Runs with fewer events are ignored: their seconds per event are too inaccurate.
MIN_EVENTS = 10


class RunTimeEstimator:
    """Estimates run times by moving averages over earlier runs and items.

    >>> estimator = RunTimeEstimator()
    >>> estimator.estimate(0)
    0.0
    >>> estimator.record_run(100, 2.0)
    >>> estimator.record_item(200)
    >>> estimator.estimate(50)
    3.0
    """

    def __init__(self):
        self._seconds_per_event = 0.0
        self._events_per_item = 0.0

    def record_run(self, events: int, seconds: float) -> None:
        """Record that one run produced `events` events in `seconds` seconds."""
        if events >= MIN_EVENTS:
            pace = seconds / events
            self._seconds_per_event = _update_mean(self._seconds_per_event, pace)

    def record_item(self, events: int) -> None:
        """Record the total number of events that a finished item produced."""
        self._events_per_item = _update_mean(self._events_per_item, float(events))

    def estimate(self, events: int) -> float:
        """Return the remaining seconds of an item that has produced `events` events."""
        remaining = max(self._events_per_item - events, 0.0)
        return remaining * self._seconds_per_event


def _update_mean(mean: float, value: float) -> float:
    return mean + (value - mean) * (MEAN_WEIGHT if mean else 1.0)

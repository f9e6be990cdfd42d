"""Foretell how long an item of a lot still has to run.

This answers lots that wait for long and then run for a time that can't be read
off them: how much an item puts out is known only once it is done. What finished
items took is the best guess for those that wait.
"""

# Share of a new measurement in the running means.
MEAN_SHARE = 0.1
# A run of fewer events says little of its pace.
LEAST_EVENTS = 10


class RunTimeEstimator:
    """Learn from runs how long items take.

    >>> forecast = RunTimeEstimator()
    >>> forecast.estimate(0)
    0.0
    >>> forecast.record_run(100, 2.0)
    >>> forecast.record_item(200)
    >>> forecast.estimate(50)
    3.0
    """

    def __init__(self):
        self._seconds_per_event = 0.0
        self._events_per_item = 0.0

    def record_run(self, events: int, seconds: float) -> None:
        """Take in that one run put out so many events in so many seconds."""
        if events >= LEAST_EVENTS:
            pace = seconds / events
            self._seconds_per_event = _average(self._seconds_per_event, pace)

    def record_item(self, events: int) -> None:
        """Take in how many events a finished item put out in all."""
        self._events_per_item = _average(self._events_per_item, float(events))

    def estimate(self, events: int) -> float:
        """Return the seconds that an item with so many events still runs for."""
        left = max(self._events_per_item - events, 0.0)
        return left * self._seconds_per_event


def _average(mean: float, value: float) -> float:
    return mean + (value - mean) * (MEAN_SHARE if mean else 1.0)

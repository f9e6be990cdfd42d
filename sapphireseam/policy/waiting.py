"""Estimates how long a caller that retries has already waited.

A caller that retries after a refusal or a lost connection sends how long it will
still wait, but not how long it has waited. All callers of one customer and route are
assumed to wait equally long in total. So the longest remaining wait that was received
from them recently belongs to a caller that has only just begun to wait.
"""

from collections.abc import Hashable

# Shortest time for which the longest remaining wait of a group is remembered.
MEMORY_SECONDS = 30.0


class WaitEstimator:
    """Estimates waits from the longest remaining wait of each group of callers.

    >>> waits = WaitEstimator()
    >>> waits.update_estimate("r", 5.0, 0.0), waits.update_estimate("r", 3.5, 1.0)
    (0.0, 1.5)
    """

    def __init__(self):
        self._window_start = 0.0
        self._current: dict[Hashable, float] = {}
        self._previous: dict[Hashable, float] = {}

    def update_estimate(self, group: Hashable, remaining: float, now: float) -> float:
        """Record a caller that waits for `remaining` and return its wait so far.

        All times are in seconds, `now` on a monotonic clock.
        """
        if now - self._window_start > MEMORY_SECONDS:
            self._window_start = now
            self._previous, self._current = self._current, {}
        longest = max(self._current.get(group, 0.0), remaining)
        self._current[group] = longest
        return max(longest, self._previous.get(group, 0.0)) - remaining

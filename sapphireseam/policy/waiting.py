"""Estimates how long a caller that retries has already waited.

A caller that retries after a refusal or a lost connection sends how long it will
still wait, but not how long it has waited. All callers of a route are assumed to
wait equally long in total. So the longest remaining wait that was received
recently belongs to a caller that has only just begun to wait.
"""

# Shortest time for which the longest remaining wait of a route is remembered.
MEMORY_SECONDS = 30.0


class WaitEstimator:
    """Estimates waits from the longest remaining wait of each route's callers.

    >>> waits = WaitEstimator()
    >>> waits.update_estimate("r", 5.0, 0.0), waits.update_estimate("r", 3.5, 1.0)
    (0.0, 1.5)
    """

    def __init__(self):
        self._window_start = 0.0
        self._current: dict[str, float] = {}
        self._previous: dict[str, float] = {}

    def update_estimate(self, route: str, remaining: float, now: float) -> float:
        """Record a caller that waits for `remaining` and return its wait so far.

        All times are in seconds, `now` on a monotonic clock.
        """
        if now - self._window_start > MEMORY_SECONDS:
            self._window_start = now
            self._previous, self._current = self._current, {}
        longest = max(self._current.get(route, 0.0), remaining)
        self._current[route] = longest
        return max(longest, self._previous.get(route, 0.0)) - remaining

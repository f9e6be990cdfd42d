"""Tell how long a caller has waited already when it comes again.

This answers callers that come back after a refusal or a lost connection: they say
how long they still wait, and not how long they did. Callers of one route are taken
to have the same patience, so the longest that was heard lately is that of a caller
which has just begun to wait.
"""

# For how long the longest patience of a route is remembered at least, in seconds.
MEMORY_SECONDS = 30.0


class WaitEstimator:
    """Remember the longest patience of each route's callers.

    >>> watch = WaitEstimator()
    >>> watch.update_estimate("r", 5.0, 0.0), watch.update_estimate("r", 3.5, 1.0)
    (0.0, 1.5)
    """

    def __init__(self):
        self._since = 0.0
        self._longest: dict[str, float] = {}
        self._before: dict[str, float] = {}

    def update_estimate(self, route: str, patience: float, now: float) -> float:
        """Return how long a caller with so much patience left has waited.

        All times are in seconds, `now` on a monotonic clock.
        """
        if now - self._since > MEMORY_SECONDS:
            self._since = now
            self._before, self._longest = self._longest, {}
        known = max(self._longest.get(route, 0.0), patience)
        self._longest[route] = known
        return max(known, self._before.get(route, 0.0)) - patience

"""Measure how many requests of each service came lately.

This answers load that changes from one second to the next: what came in the last
second is the best guess for the next one.
"""

from collections import deque

# How far back requests count, in seconds.
SPAN_SECONDS = 1.0
# A shorter time than this since the beginning says little, in seconds.
LEAST_SECONDS = 0.2


class ArrivalMeter:
    """Count requests by service.

    >>> demand = ArrivalMeter()
    >>> for number in range(20):
    ...     demand.note("llm", number * 0.1)
    >>> demand.measure("llm", 1.95), demand.measure("llm", 9.0)
    (10.0, 0.0)
    """

    def __init__(self):
        self._begun_at: float | None = None
        self._came: dict[str, deque[float]] = {}

    def record(self, service: str, now: float) -> None:
        """Take in that a request came; `now` is on a monotonic clock."""
        if self._begun_at is None:
            self._begun_at = now
        self._came.setdefault(service, deque()).append(now)
        self._forget(service, now)

    def is_known(self, now: float) -> bool:
        """Say whether requests were counted for long enough to go by."""
        return self._begun_at is not None and now - self._begun_at >= SPAN_SECONDS

    def measure(self, service: str, now: float) -> float:
        """Return how many requests come in a second."""
        if self._begun_at is None or service not in self._came:
            return 0.0
        self._forget(service, now)
        span = min(max(now - self._begun_at, LEAST_SECONDS), SPAN_SECONDS)
        return len(self._came[service]) / span

    def _forget(self, service: str, now: float) -> None:
        came = self._came[service]
        while came and came[0] <= now - SPAN_SECONDS:
            came.popleft()

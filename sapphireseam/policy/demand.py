"""Measures the recent arrival rate of requests for each service.

The load can change from one second to the next, so the arrivals of the last
second are the best estimate for the next one.
"""

from collections import deque

# Length of the sliding window.
WINDOW_SECONDS = 1.0
# The rate is computed over at least this time. Right after the start a shorter
# time would turn a few arrivals into a far too high rate.
MIN_SPAN_SECONDS = 0.2


class ArrivalMeter:
    """Measures arrivals per second by service, over a sliding window.

    >>> meter = ArrivalMeter()
    >>> for number in range(20):
    ...     meter.record("llm", number * 0.1)
    >>> meter.measure_rate("llm", 1.95), meter.measure_rate("llm", 9.0)
    (10.0, 0.0)
    """

    def __init__(self):
        self._started_at: float | None = None
        self._arrivals: dict[str, deque[float]] = {}

    def record(self, service: str, now: float) -> None:
        """Record an arrival at `now`, in seconds of a monotonic clock."""
        if self._started_at is None:
            self._started_at = now
        self._arrivals.setdefault(service, deque()).append(now)
        self._drop_old(service, now)

    def has_full_window(self, now: float) -> bool:
        """Return whether arrivals were recorded for at least a whole window."""
        return self._started_at is not None and now - self._started_at >= WINDOW_SECONDS

    def measure_rate(self, service: str, now: float) -> float:
        """Return the arrivals per second."""
        if self._started_at is None or service not in self._arrivals:
            return 0.0
        self._drop_old(service, now)
        span = min(max(now - self._started_at, MIN_SPAN_SECONDS), WINDOW_SECONDS)
        return len(self._arrivals[service]) / span

    def _drop_old(self, service: str, now: float) -> None:
        arrivals = self._arrivals[service]
        while arrivals and arrivals[0] <= now - WINDOW_SECONDS:
            arrivals.popleft()

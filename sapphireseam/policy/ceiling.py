"""Spreads the requests to an upstream that names a ceiling evenly over time.

A small token bucket bounds any window: at most the ceiling's rate times the window, and
the bucket's size, are sent. It starts empty, since the upstream is already loaded when
it names a ceiling. Batch work takes a token only from a full bucket, so an online
request that comes next still finds one. To a cold upstream no second has more than its
rate: its bucket is smaller, and taken off the rate.

Times are monotonic readings in seconds.
"""

# Time for which unused requests may be sent later, and the smallest bucket in requests.
BURST_SECONDS = 0.25
MIN_BURST = 2.0
COLD_BURST_SECONDS = 0.1
# A cold upstream gets at least this part of its rate beside the bucket.
MIN_COLD_SHARE = 0.5
# Without any request, nobody would hear that a ceiling has ended.
MIN_RATE = 0.2
# Tolerance for rounding errors.
ROUNDING = 1e-9


class CeilingBucket:
    """The requests that may be sent to one run of an upstream now."""

    def __init__(
        self, rate: float, now: float, share: float = 1.0, is_cold: bool = False
    ):
        self.level = 0.0
        # How many requests were sent.
        self.taken = 0
        self._updated = now
        self.configure(rate, now, share, is_cold)

    def configure(
        self, rate: float, now: float, share: float = 1.0, is_cold: bool = False
    ) -> None:
        """Set the ceiling and the share of it that this process may use.

        Nothing may be sent with a share of 0.
        """
        self._refill(now)
        self.is_cold = is_cold
        if is_cold:
            self._burst = max(COLD_BURST_SECONDS * rate, 1.0)
            rest = max(rate - self._burst, MIN_COLD_SHARE * rate)
            self.rate = max(rest, MIN_RATE) * share
        else:
            self.rate = max(rate, MIN_RATE) * share
            self._burst = max(BURST_SECONDS * self.rate, MIN_BURST * share, 1.0)
        self.level = min(self.level, self._burst)

    def _refill(self, now: float) -> None:
        if now > self._updated:
            elapsed = now - self._updated
            self._updated = now
            self.level = min(self.level + elapsed * self.rate, self._burst)

    def drain(self, now: float) -> None:
        """Remove all tokens."""
        self._updated = max(now, self._updated)
        self.level = 0.0

    def can_take(self, now: float, is_batch: bool = False) -> bool:
        """Return whether a request may be sent."""
        self._refill(now)
        if not self.rate:
            return False
        return self.level + ROUNDING >= (self._burst if is_batch else 1.0)

    def take(self, now: float) -> None:
        """Count a request that is sent; without a token, a later one waits longer."""
        self._refill(now)
        self.taken += 1
        self.level = max(self.level - 1.0, -self._burst)

    def compute_wait(self, now: float, ahead: int = 0) -> float:
        """Return the seconds until the request after `ahead` others may be sent."""
        self._refill(now)
        return max(ahead + 1 - self.level, 0.0) / self.rate

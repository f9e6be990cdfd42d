"""Decides whether and when a failed attempt is retried.

A budget per route limits retries to a share of recent requests, so that retries
don't multiply the load during a failure of the fleet. The upper bound of the delay
doubles with each attempt, with full jitter. No attempt is made that could not start
before the caller's deadline.
"""

import math
import random

# Time constant of the decay of the counted requests and retries.
BUDGET_SECONDS = 10.0

# Upper bounds of the first delay and of all delays.
BASE_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 2.0

# A request fails after this many attempts.
MAX_ATTEMPTS = 4


class RetryBudget:
    """Limits retries to a share of a route's recent requests.

    About `ratio` retries per request of the last `BUDGET_SECONDS` are allowed, and
    `minimum` retries in addition, so that routes with few requests can retry too.
    """

    def __init__(self, ratio: float = 0.1, minimum: float = 3.0):
        self._ratio = ratio
        self._minimum = minimum
        self._requests = 0.0
        self._retries = 0.0
        self._updated = -math.inf

    def _decay(self, now: float) -> None:
        elapsed = now - self._updated
        if elapsed <= 0.0:
            return
        factor = math.exp(-elapsed / BUDGET_SECONDS)
        self._requests *= factor
        self._retries *= factor
        self._updated = now

    def record(self, now: float) -> None:
        """Count one request, not its retries."""
        self._decay(now)
        self._requests += 1.0

    def spend(self, now: float) -> bool:
        """Take one retry from the budget; return false if none is left."""
        self._decay(now)
        allowed = self._ratio * self._requests + self._minimum
        if self._retries + 1.0 > allowed:
            return False
        self._retries += 1.0
        return True


class Planner:
    """Plans retries with jitter from a random generator."""

    def __init__(self, rng: random.Random):
        self._rng = rng

    def plan(
        self, attempt: int, now: float, deadline: float, budget: RetryBudget
    ) -> float | None:
        """Return the delay in seconds before the next attempt, or None to give up.

        `attempt` is the number of attempts made, from 1. A retry is taken from the
        budget only if a delay is returned.
        """
        if attempt >= MAX_ATTEMPTS:
            return None
        ceiling = min(BASE_DELAY_SECONDS * 2 ** (attempt - 1), MAX_DELAY_SECONDS)
        delay = self._rng.uniform(0.0, ceiling)
        if now + delay >= deadline:
            return None
        return delay if budget.spend(now) else None

"""Decide whether and when a failed attempt is made again.

A budget per route bounds retries to a share of recent traffic, so that a
fault of the fleet isn't multiplied by them. Delays grow by powers of two with
full jitter, and nothing is retried that could not end before the caller's
deadline.
"""

import math
import random

# The decay time of the traffic that a budget is a share of.
BUDGET_SECONDS = 10.0

# The first delay's upper end, and the longest.
FIRST_DELAY_SECONDS = 0.05
LONGEST_DELAY_SECONDS = 2.0

# Attempts after which a request is given up.
MAX_ATTEMPTS = 4


class RetryBudget:
    """Allow retries up to a share of a route's recent requests.

    Within `BUDGET_SECONDS` about `ratio` retries a request are allowed, and
    `minimum` retries in any case, so that a quiet route can retry at all.
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
        """Take one retry from the budget, or return false."""
        self._decay(now)
        allowed = self._ratio * self._requests + self._minimum
        if self._retries + 1.0 > allowed:
            return False
        self._retries += 1.0
        return True


class Planner:
    """Plan retries with jitter from one generator."""

    def __init__(self, rng: random.Random):
        self._rng = rng

    def plan(
        self, attempt: int, now: float, deadline: float, budget: RetryBudget
    ) -> float | None:
        """Return the delay in seconds before the next attempt, or nothing.

        `attempt` counts those made, from 1. Nothing means give up now. Only a
        delay that is returned takes from the budget.
        """
        if attempt >= MAX_ATTEMPTS:
            return None
        ceiling = min(FIRST_DELAY_SECONDS * 2 ** (attempt - 1), LONGEST_DELAY_SECONDS)
        delay = self._rng.uniform(0.0, ceiling)
        if now + delay >= deadline:
            return None
        return delay if budget.spend(now) else None

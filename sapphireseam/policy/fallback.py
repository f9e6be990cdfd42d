"""Limits each customer's rate in each process while the limits have no owner.

After the owner of the limits fails, it takes a second or two until the next one is
elected. The next owner adds no tokens to a customer's bucket for that time. So the
processes that receive requests may grant the customer's rate during it, each an
equal part. Each process also has a part of the slack that the deployment allows. The
slack covers processes that are cut off from an owner that continues to grant.

Callers aren't spread evenly: most of a customer's requests may come to one of many
processes, and its equal part is then used up at once. With `by_use`, a process grants
mainly what the owner granted it lately. These grants were within the limit in sum, so
the processes that go on like that stay within it, too. With many processes and
customers, a process's part of the slack is less than one request. It is then rounded at
random, up as often as down, so that the parts are used in sum.
"""

import math
import random
from typing import NamedTuple

from sapphireseam.core import fleet


class Slack(NamedTuple):
    """The excess over its limit that a customer is allowed in `window` seconds.

    It is `requests` plus a `share` of the requests that the contract allows then.
    """

    requests: float = 0.0
    share: float = 0.0
    window: float = 1.0

    def compute_requests(self, contract: fleet.Contract) -> float:
        """Return the slack of a contract in requests per window."""
        allowed = contract.rate * self.window + contract.burst
        return self.requests + self.share * allowed


# Share of the slack that the processes use. The rest covers processes that start or
# stop meanwhile.
USED_SHARE = 0.6


# Time constant of the mean rate at which the owner granted a customer's requests.
USE_SECONDS = 5.0
# Share of the rate that the processes grant in equal parts, whoever used it before.
EQUAL_SHARE = 0.15
# Time for which a process may grant its recent rate at once.
BURST_SECONDS = 0.2


class FallbackLimiter:
    """Grants one process's part of each customer's rate and slack."""

    def __init__(
        self,
        slack: Slack,
        by_use: bool = False,
        rng: random.Random | None = None,
    ):
        self._slack = slack
        self._by_use = by_use
        self._rng = rng or random.Random()
        self._levels: dict[str, tuple[float, float]] = {}
        # The owner's recent grants of each customer, and the time of the last one.
        self._uses: dict[str, tuple[float, float]] = {}

    def record_use(self, customer: str, now: float) -> None:
        """Record a request that the owner granted this process."""
        if self._by_use:
            self._uses[customer] = (self._count_uses(customer, now) + 1.0, now)

    def _count_uses(self, customer: str, now: float) -> float:
        count, updated = self._uses.get(customer, (0.0, now))
        return count * math.exp(-max(now - updated, 0.0) / USE_SECONDS)

    def _compute_rate(
        self,
        customer: str,
        contract: fleet.Contract,
        processes: int,
        known_at: float,
    ) -> float:
        """Return the requests per second that this process grants a customer."""
        equal_part = contract.rate / max(processes, 1)
        if not self._by_use:
            return equal_part
        # In sum, the processes may have used the burst in this time, too.
        burst_rate = contract.burst / USE_SECONDS
        used = self._count_uses(customer, known_at) / USE_SECONDS
        used *= contract.rate / (contract.rate + burst_rate)
        return EQUAL_SHARE * equal_part + (1.0 - EQUAL_SHARE) * used

    def _choose_level(self, capacity: float) -> float:
        """Return the requests that are admitted at first."""
        if not self._by_use:
            return capacity
        whole = math.floor(capacity)
        return whole + (self._rng.random() < capacity - whole)

    def spend(
        self,
        customer: str,
        contract: fleet.Contract,
        processes: int,
        now: float,
        known_at: float | None = None,
    ) -> float:
        """Admit a request and return 0, or return the seconds until one is admitted.

        The owner was last heard of at `known_at`.
        """
        heard_at = now if known_at is None else known_at
        capacity = (
            USED_SHARE * self._slack.compute_requests(contract) / max(processes, 1)
        )
        rate = self._compute_rate(customer, contract, processes, heard_at)
        if self._by_use:
            capacity += BURST_SECONDS * rate
        if customer not in self._levels:
            self._levels[customer] = (self._choose_level(capacity), now)
        level, updated = self._levels[customer]
        level = min(level + (now - updated) * rate, max(capacity, 1.0))
        if known_at is not None and known_at > updated:
            # The owner granted the rate meanwhile, so only the slack is left.
            level = min(level, self._choose_level(capacity))
        if level < 1.0:
            self._levels[customer] = (level, now)
            # The contract's rate is positive, but a part of it may be rounded to 0.
            parts = 1.0 / rate if rate else max(processes, 1) / contract.rate
            return (1.0 - level) * parts
        self._levels[customer] = (level - 1.0, now)
        return 0.0

"""Limits each customer's rate in each process while the limits have no owner.

After the owner of the limits fails, it takes a second or two until the next one is
elected. The next owner adds no tokens to a customer's bucket for that time. So the
processes that receive requests may grant the customer's rate during it, each an
equal part. Each process also has a part of the slack that the deployment allows. The
slack covers processes that are cut off from an owner that continues to grant.
"""

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


class FallbackLimiter:
    """Grants one process's part of each customer's rate and slack."""

    def __init__(self, slack: Slack):
        self._slack = slack
        self._levels: dict[str, tuple[float, float]] = {}

    def spend(
        self, customer: str, contract: fleet.Contract, processes: int, now: float
    ) -> float:
        """Admit a request and return 0, or return the seconds until one is admitted."""
        capacity = (
            USED_SHARE * self._slack.compute_requests(contract) / max(processes, 1)
        )
        rate = contract.rate / max(processes, 1)
        level, updated = self._levels.get(customer, (capacity, now))
        level = min(level + (now - updated) * rate, max(capacity, 1.0))
        if level < 1.0:
            self._levels[customer] = (level, now)
            # The contract's rate is positive, but a part of it may be rounded to 0.
            return (1.0 - level) * max(processes, 1) / contract.rate
        self._levels[customer] = (level - 1.0, now)
        return 0.0

"""Admit requests while nobody can say what a customer has left.

This answers the second or two in which the limits have no owner: it has failed
and the next isn't elected yet. No time is credited to a customer by the next
owner for that span, so the processes that take requests may grant the
customer's rate in it, each an equal part. Beside that each has a part of the
slack that the deployment allows, for those that are cut off from an owner that
goes on granting.
"""

from typing import NamedTuple

from sapphireseam.core import fleet


class Slack(NamedTuple):
    """Say by how much a customer may pass its limit in a window of seconds.

    It is `requests` and a `share` of what its contract allows in the window.
    """

    requests: float = 0.0
    share: float = 0.0
    window: float = 1.0

    def measure(self, contract: fleet.Contract) -> float:
        """Return the slack of one contract in requests a window."""
        allowed = contract.rate * self.window + contract.burst
        return self.requests + self.share * allowed


# Part of the slack that is used; the rest is for processes that come and go.
USED_SHARE = 0.6


class FallbackLimiter:
    """Grant one process's part of each customer's rate and slack."""

    def __init__(self, slack: Slack):
        self._slack = slack
        self._levels: dict[str, tuple[float, float]] = {}

    def spend(
        self, customer: str, contract: fleet.Contract, sharers: int, now: float
    ) -> float:
        """Take one request; return 0, or the seconds until there is one."""
        most = USED_SHARE * self._slack.measure(contract) / max(sharers, 1)
        rate = contract.rate / max(sharers, 1)
        level, since = self._levels.get(customer, (most, now))
        level = min(level + (now - since) * rate, max(most, 1.0))
        if level < 1.0:
            self._levels[customer] = (level, now)
            return (1.0 - level) / rate
        self._levels[customer] = (level - 1.0, now)
        return 0.0

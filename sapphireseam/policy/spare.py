"""Admit a few requests while nobody can say what a customer has left.

This answers the seconds in which the limits have no owner. The deployment says
how much all of a customer's requests may go over its limit in a window; each of
so many processes may use an equal part of that, and no more, so that together
they stay within it.
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


class SpareLimiter:
    """Grant one process's part of the slack to each customer."""

    def __init__(self, slack: Slack):
        self._slack = slack
        self._levels: dict[str, tuple[float, float]] = {}

    def spend(
        self, customer: str, contract: fleet.Contract, sharers: int, now: float
    ) -> float:
        """Take one request; return 0, or the seconds until there is one."""
        part = self._slack.measure(contract) / max(sharers, 1)
        # Half of the part may go at once, and half comes back in a window.
        most = part / 2.0
        rate = most / self._slack.window
        level, since = self._levels.get(customer, (most, now))
        level = min(level + (now - since) * rate, most)
        if level < 1.0:
            self._levels[customer] = (level, now)
            return (1.0 - level) / rate if rate else self._slack.window
        self._levels[customer] = (level - 1.0, now)
        return 0.0

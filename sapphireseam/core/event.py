"""Record what happened, in one form for every program.

An event carries a hybrid logical clock: wall time, pushed ahead by whatever
the process has heard, so that an effect never sorts before its cause even
when clocks disagree. Events name requests, jobs, customers, key ids and
revisions; they never hold a key or a customer's text.
"""

from typing import NamedTuple


class Event(NamedTuple):
    """Say who did what, when, about which request, job or revision."""

    clock: float
    node: str
    name: str
    subject: str = ""
    customer: str = ""
    key: str = ""
    revision: int = 0
    detail: str = ""


# The smallest step of the clock in seconds; it orders events of one instant.
TICK = 1e-6


class Clock:
    """Keep a hybrid logical clock for one process."""

    def __init__(self):
        self._last = 0.0

    def tick(self, wall: float) -> float:
        """Return the time of a new event."""
        self._last = max(wall, self._last + TICK)
        return self._last

    def hear(self, clock: float) -> None:
        """Move past the clock of a message that came in."""
        self._last = max(self._last, clock)

    @property
    def last(self) -> float:
        """Return the time of the latest event or message."""
        return self._last

"""Defines the events that every program records, and the clock that orders them.

An event carries the time of a hybrid logical clock. This is the wall time, moved past
the clock of every message that the process has received. So an effect never sorts
before its cause, even if the VMs' clocks differ. Events name requests, jobs,
customers, key ids and revisions. They never contain a key or a customer's text.
"""

from typing import NamedTuple


class Event(NamedTuple):
    """One event: the process, the time, and the request, job or revision concerned."""

    clock: float
    node: str
    name: str
    subject: str = ""
    customer: str = ""
    key: str = ""
    revision: int = 0
    detail: str = ""


# Smallest step of the clock; it orders events that have the same wall time.
TICK_SECONDS = 1e-6


class Clock:
    """The hybrid logical clock of one process."""

    def __init__(self):
        self._last = 0.0

    def tick(self, wall: float) -> float:
        """Return the time of a new event."""
        self._last = max(wall, self._last + TICK_SECONDS)
        return self._last

    def update(self, clock: float) -> None:
        """Advance to the clock of a received message."""
        self._last = max(self._last, clock)

    @property
    def last(self) -> float:
        """Return the latest time that an event or a message had."""
        return self._last

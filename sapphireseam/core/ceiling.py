"""Defines the limit of an upstream, its ceiling.

It is how many requests a second the upstream takes from all senders together. One that
the upstream names holds as long as its answers name it. That of a cold upstream ends
with time.
"""

import re
from typing import NamedTuple

# A higher ceiling limits nothing, so it is taken for a mistake.
MAX_RATE = 1_000_000.0
# Longest text of a ceiling, in characters.
MAX_TEXT_LENGTH = 32
# An upstream that says that it stays cold for longer is mistaken.
MAX_COLD_SECONDS = 3600.0

_DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")


class Ceiling(NamedTuple):
    """The ceiling of one run of an upstream, in requests per second.

    It has been named since `since`, in seconds of the wall clock. That of a run that
    `is_cold` ends `seconds` after a process learned of it, at the latest. A run may
    have one of each kind.
    """

    upstream: str
    run: str
    rate: float
    since: float = 0.0
    is_cold: bool = False
    seconds: float = 0.0

    @property
    def key(self) -> str:
        """Return the name that this ceiling has among all."""
        return make_key(self.run, self.is_cold)


def make_key(run: str, is_cold: bool) -> str:
    """Return the name of a run's ceiling of one kind; that which it names has its own.

    >>> make_key("i-1/7", False), make_key("i-1/7", True)
    ('i-1/7', 'i-1/7 cold')
    """
    return f"{run} cold" if is_cold else run


def parse_rate(text: str) -> float | None:
    """Return the requests per second that a text names, None if it isn't valid.

    >>> parse_rate(" 2.5 "), parse_rate("0"), parse_rate("-1"), parse_rate("1e9")
    (2.5, None, None, None)
    """
    text = text.strip()
    if len(text) > MAX_TEXT_LENGTH or not _DECIMAL.fullmatch(text):
        return None
    rate = float(text)
    return rate if 0.0 < rate <= MAX_RATE else None

"""Defines the limit that an upstream names for itself, its ceiling.

It is how many requests a second the upstream takes from all senders together, for as
long as its answers name it.
"""

import re
from typing import NamedTuple

# A higher ceiling limits nothing, so it is taken for a mistake.
MAX_RATE = 1_000_000.0
# Longest text of a ceiling, in characters.
MAX_TEXT_LENGTH = 32

_DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")


class Ceiling(NamedTuple):
    """The ceiling of one run of an upstream, in requests per second.

    It has been named since `since`, in seconds of the wall clock.
    """

    upstream: str
    run: str
    rate: float
    since: float = 0.0


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

"""Defines the verdicts on traits of requests under which upstreams crashed.

Requests with a cause are refused for a time. Of the requests with a suspect, one at
a time may run in the fleet; such a run is a trial.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple


class Verdict(NamedTuple):
    """The verdict on one trait.

    A cause is refused until `until`, in seconds of the wall clock, and is a suspect
    from then on. A suspect is one until `until`. Only requests that have all traits of
    `company` beside the cause are refused; it is a suspect in others.
    """

    trait: str
    is_cause: bool
    until: float = 0.0
    company: tuple[str, ...] = ()


def find_cause(
    verdicts: Mapping[str, Verdict], traits: Iterable[str], now: float
) -> Verdict | None:
    """Return the cause for which a request with these traits is refused longest."""
    owned = frozenset(traits)
    found = [
        each
        for each in (verdicts[name] for name in owned if name in verdicts)
        if each.is_cause and now < each.until and owned.issuperset(each.company)
    ]
    return max(found, key=lambda each: (each.until, each.trait), default=None)


def list_suspects(
    verdicts: Mapping[str, Verdict], traits: Iterable[str], now: float
) -> tuple[str, ...]:
    """Return the traits of which only one request at a time may run.

    Causes count among them, since `find_cause` is asked first.
    """
    found = (verdicts[name] for name in traits if name in verdicts)
    return tuple(each.trait for each in found if each.is_cause or now < each.until)

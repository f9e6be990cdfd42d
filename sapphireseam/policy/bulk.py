"""Order the items of lots for the places that online requests leave free.

This answers many lots at once, some of one customer, and more work than there is
room for. Lots that are due earliest go first, and among those that are due
together the customers take turns. An item that can't be done any more when it is
due makes way for those that can: run in order of their due times alone, all would
be done a little late. It isn't forgotten: halfway between due and given up it goes
before all others.
"""

from collections.abc import Iterable
from enum import IntEnum
from typing import Protocol

# Lots due within the same span of this many seconds count as due together.
SPAN_SECONDS = 2.0


class BulkJob(Protocol):
    """Say when a lot is due, when it is given up, and whose it is."""

    customer: str
    due: float
    abandon: float


class Urgency(IntEnum):
    """Say which items go first, the lowest number before the others."""

    EXPIRING = 0
    ON_TIME = 1
    LATE = 2


def classify_item(lot: BulkJob, left: float, now: float) -> Urgency:
    """Return the urgency of an item that still has to run for `left` seconds.

    >>> from collections import namedtuple
    >>> lot = namedtuple("Lot", "customer due abandon")("a", 20.0, 60.0)
    >>> classify_item(lot, 5.0, 14.0).name, classify_item(lot, 5.0, 16.0).name
    ('ON_TIME', 'LATE')
    >>> classify_item(lot, 5.0, 36.0).name
    'EXPIRING'
    """
    if now + left <= lot.due:
        return Urgency.ON_TIME
    halfway = (lot.due + lot.abandon) / 2
    return Urgency.LATE if now + left < halfway else Urgency.EXPIRING


def list_urgencies(lot: BulkJob, longest: float, now: float) -> tuple[Urgency, ...]:
    """Return the urgencies of items that run for up to `longest` seconds.

    >>> from collections import namedtuple
    >>> lot = namedtuple("Lot", "customer due abandon")("a", 20.0, 60.0)
    >>> [urgency.name for urgency in list_urgencies(lot, 5.0, 16.0)]
    ['ON_TIME', 'LATE']
    """
    first, last = classify_item(lot, 0.0, now), classify_item(lot, longest, now)
    # More time left makes an item late first and then almost lost.
    order = (Urgency.ON_TIME, Urgency.LATE, Urgency.EXPIRING)
    return order[order.index(first) : order.index(last) + 1]


def order_jobs(lots: Iterable) -> list:
    """Return lots in the order in which their items are to start.

    >>> from collections import namedtuple
    >>> Lot = namedtuple("Lot", "customer due")
    >>> lots = [Lot("a", 9.1), Lot("a", 8.9), Lot("b", 9.0), Lot("c", 2.0)]
    >>> [(lot.customer, lot.due) for lot in order_jobs(lots)]
    [('c', 2.0), ('a', 8.9), ('b', 9.0), ('a', 9.1)]
    """
    seen: dict[tuple[int, str], int] = {}
    ranked = []
    for lot in sorted(lots, key=lambda lot: lot.due):
        span = int(lot.due // SPAN_SECONDS)
        turn = seen.get((span, lot.customer), 0)
        seen[span, lot.customer] = turn + 1
        ranked.append(((span, turn, lot.due), lot))
    ranked.sort(key=lambda pair: pair[0])
    return [lot for _, lot in ranked]

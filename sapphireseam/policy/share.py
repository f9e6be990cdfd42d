"""Order lots for the places that online requests leave free.

This answers many lots at once, some of one customer: the earliest due go first,
and among those that are due together the customers take turns.
"""

from collections.abc import Iterable
from typing import Protocol

# Lots due within the same span of this many seconds count as due together.
SPAN_SECONDS = 2.0


class Lot(Protocol):
    """Say when a lot is due and whose it is."""

    customer: str
    due: float


def order_lots(lots: Iterable) -> list:
    """Return lots in the order in which their items are to start.

    >>> from collections import namedtuple
    >>> Lot = namedtuple("Lot", "customer due")
    >>> lots = [Lot("a", 9.1), Lot("a", 8.9), Lot("b", 9.0), Lot("c", 2.0)]
    >>> [(lot.customer, lot.due) for lot in order_lots(lots)]
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

"""Decides whose bytes go when a process has no memory left for its clients.

Load: clients that nobody controls hold bytes here, each within its own limit: bodies
that stop just short of their end, many large bodies at once, heads that never end,
answers that nobody reads. Callers with small requests that come in one go must go on.

    victims = choose(holders, needed=4096, size=8192, now=clock())
"""

from collections import OrderedDict
from collections.abc import Hashable, Iterable
from typing import NamedTuple

# A holder from whom nothing has come for this long, in seconds, has stalled.
STALL_SECONDS = 1.0
# What ordinary requests hold; one that goes on is never evicted with less.
LARGE_BYTES = 64 * 1024
# A request of which at most this share is missing is nearly whole.
NEARLY_SHARE = 0.1


class Holder(NamedTuple):
    """One client's bytes.

    `progressed` is when something last came from the client. `missing` is how many
    bytes its request lacks, or None if that isn't known.
    """

    key: Hashable
    size: int
    progressed: float
    missing: int | None = None

    def has_stalled(self, now: float) -> bool:
        """Return whether the client has made no progress for a while."""
        return now - self.progressed >= STALL_SECONDS

    def is_nearly_whole(self) -> bool:
        """Return whether little of the request is missing."""
        return self.missing is not None and self.missing <= self.size * NEARLY_SHARE


def choose(
    holders: Iterable[Holder], needed: int, size: int, now: float
) -> list[Hashable]:
    """Return the keys of holders that have `needed` bytes together, or none.

    Those that have stalled go first, then those that aren't nearly whole, then the
    others; the largest first in each group. Who goes on is spared if it holds no more
    than the `size` of the one who asks, or less than `LARGE_BYTES`.
    """
    floor = max(size, LARGE_BYTES)
    ranked = sorted(
        (
            (
                holder.has_stalled(now),
                not holder.is_nearly_whole(),
                holder.size,
                index,
                holder.key,
            )
            for index, holder in enumerate(holders)
            if holder.has_stalled(now) or holder.size > floor
        ),
        reverse=True,
    )
    victims: list[Hashable] = []
    for _, _, freed, _, key in ranked:
        if needed <= 0:
            break
        victims.append(key)
        needed -= freed
    return victims if needed <= 0 else []


class ConnectionLimit:
    """Bounds the connections of a process.

    Load: crowds that open connections and leave them silent. New connections displace
    those that have been without a request for longest; one with a request stays.
    """

    def __init__(self, limit: int):
        self._limit = limit
        self._busy: set[Hashable] = set()
        # Those without a request, the one that rests for longest first.
        self._resting: OrderedDict[Hashable, None] = OrderedDict()

    @property
    def count(self) -> int:
        """Return how many connections are open."""
        return len(self._busy) + len(self._resting)

    def add(self, key: Hashable) -> bool:
        """Add a connection; return whether there are too many now."""
        self._resting[key] = None
        return self.count > self._limit

    def trim(self) -> list[Hashable]:
        """Return those that must go, so that no more than the limit stay.

        They count no more. Between `add` and `trim` the requests that came with new
        connections should be read, since many may be opened at the same moment.
        """
        excess = min(self.count - self._limit, len(self._resting))
        return [self._resting.popitem(last=False)[0] for _ in range(excess)]

    def remove(self, key: Hashable) -> None:
        """Remove a connection that has ended."""
        self._busy.discard(key)
        self._resting.pop(key, None)

    def begin(self, key: Hashable) -> None:
        """Record that a connection has a request."""
        if key in self._resting:
            del self._resting[key]
            self._busy.add(key)

    def rest(self, key: Hashable) -> None:
        """Record that a connection has no request any more."""
        if key in self._busy:
            self._busy.remove(key)
            self._resting[key] = None

"""Decides in which order received bytes are parsed.

Load: clients whose bytes are expensive to parse: chunks of one byte, very many fields,
requests sent ahead. They keep a few slices of bytes ready at all times. A request that
comes in one go must not wait until all of them are parsed.

The connection whose request has the fewest bytes so far goes first; of equal ones the
one that came first.
"""

import heapq
from typing import Generic, TypeVar

T = TypeVar("T")

# Bytes that are parsed of one connection in one turn.
SLICE_BYTES = 4 * 1024
# Bytes that are parsed in one step of the event loop, and how long that may take.
STEP_BYTES = 64 * 1024
STEP_SECONDS = 0.001


class TurnQueue(Generic[T]):
    """Orders connections that have bytes to parse, and counts a step's bytes."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, T]] = []
        self._number = 0
        self._bytes_left = STEP_BYTES
        self._seconds_left = STEP_SECONDS

    def __bool__(self) -> bool:
        return bool(self._heap)

    @property
    def has_room(self) -> bool:
        """Return whether more bytes may be parsed in this step."""
        return self._bytes_left > 0 and self._seconds_left > 0.0

    def begin_step(self) -> None:
        """Begin a step of the event loop."""
        self._bytes_left = STEP_BYTES
        self._seconds_left = STEP_SECONDS

    def spend(self, count: int, seconds: float) -> None:
        """Record that bytes were parsed in this step, and how long it took."""
        self._bytes_left -= count
        self._seconds_left -= seconds

    def add(self, item: T, received: int) -> None:
        """Add a connection whose request has `received` bytes so far."""
        self._number += 1
        heapq.heappush(self._heap, (received, self._number, item))

    def take(self) -> T | None:
        """Return the connection whose turn it is, or None."""
        if not self._heap or not self.has_room:
            return None
        return heapq.heappop(self._heap)[2]

"""Keeps the requests that wait for a slot of one service in order of precedence.

Continued streams go first, then the lowest rank, then those that can still be on time.
Among these, requests of the customer with fewer running requests go first, then those
that arrived first.

Requests that differ only in their customer and rank form a line: if the first of them
can't be placed, none of the line can. Finding the next request takes time in the
number of lines, which is small, and not in the number of waiting requests. It grows
only with the sets of upstreams that some waiting requests exclude.
"""

import itertools
from collections.abc import Callable, Set
from typing import NamedTuple, Protocol

from sortedcontainers import SortedList

from sapphireseam.policy.slot import SlotRequest


class LineKey(NamedTuple):
    """What requests share if none of them can be placed."""

    is_resumed: bool
    is_late: bool
    version: str
    excluded: frozenset[str]
    held: str
    returns_to: str
    is_overdue: bool


class Precedence(NamedTuple):
    """The order of requests, whatever their customers; the lowest goes first."""

    is_new: bool
    rank: int
    is_late: bool
    is_on_time: bool = True


def get_line_key(request: SlotRequest) -> LineKey:
    """Return the key of the line in which a request waits."""
    return LineKey(
        request.is_resumed,
        request.is_late,
        request.version,
        request.excluded,
        request.held,
        request.returns_to,
        request.is_overdue,
    )


def get_precedence(request: SlotRequest) -> Precedence:
    """Return the part of a request's order that doesn't change while it waits."""
    return Precedence(
        not request.is_resumed, request.rank, request.is_late, not request.is_overdue
    )


def _is_tied(request: SlotRequest) -> bool:
    """Return whether a request can't be placed at some upstreams."""
    ties = (request.version, request.held, request.returns_to, request.excluded)
    return any(ties)


class Overtaking(NamedTuple):
    """The newcomers that go before a request.

    They arrive at a `rate` per second until its customer has given back this `share` of
    the slots that it holds. All requests arrive at `arrival_rate`.
    """

    rate: float = 0.0
    share: float = 0.0
    arrival_rate: float = 0.0


class Line(Protocol):
    """The requests of one line and rank.

    Their order may follow from a position that each has, or that its customer has.
    """

    def add(self, number: int, request: SlotRequest, position: float) -> None:
        """Add a request, which is numbered by its arrival."""

    def remove(self, number: int, request: SlotRequest, position: float) -> None:
        """Remove a request."""

    def place(self, customer: str, position: float) -> None:
        """Update the position of a customer, if any of its requests waits here."""

    def find_first(self) -> tuple[float, int, SlotRequest] | None:
        """Return the first request behind its sort key, or None."""


class _CustomerLine:
    """The requests of one line and rank, by their customers' running requests."""

    def __init__(self):
        # Each customer's requests by their number, the first to arrive first.
        self._requests: dict[str, dict[int, SlotRequest]] = {}
        # The position of each customer: its running requests, then the number of its
        # first waiting one.
        self._positions: dict[str, tuple[float, int, str]] = {}
        self._order: SortedList = SortedList()

    def add(self, number: int, request: SlotRequest, position: float) -> None:
        self._requests.setdefault(request.customer, {})[number] = request
        self.place(request.customer, position)

    def remove(self, number: int, request: SlotRequest, position: float) -> None:
        del self._requests[request.customer][number]
        self.place(request.customer, position)

    def place(self, customer: str, position: float) -> None:
        """Update the position of a customer, if any of its requests waits here."""
        requests = self._requests.get(customer)
        if requests is None:
            return
        former = self._positions.pop(customer, None)
        if former is not None:
            self._order.remove(former)
        if not requests:
            del self._requests[customer]
            return
        place = (position, next(iter(requests)), customer)
        self._positions[customer] = place
        self._order.add(place)

    def find_first(self) -> tuple[float, int, SlotRequest] | None:
        """Return the first request behind its sort key, or None."""
        if not self._order:
            return None
        running, number, customer = self._order[0]
        return running, number, self._requests[customer][number]


class Waitlist:
    """The requests that wait for a slot of one service."""

    def __init__(self):
        self._numbers = itertools.count()
        # All requests with their numbers, in order of arrival.
        self._requests: dict[str, tuple[int, SlotRequest]] = {}
        self._lines: dict[tuple[LineKey, int], Line] = {}
        self._counts: dict[Precedence, int] = {}
        # How many of them can't use each slot.
        self._tied_count = 0

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def has_untied(self) -> bool:
        """Whether requests wait that could use any slot."""
        return len(self) > self._tied_count

    def get(self, key: str) -> SlotRequest | None:
        """Return the waiting request with a key, or None."""
        _, request = self._requests.get(key, (0, None))
        return request

    def _make_line(self) -> Line:
        return _CustomerLine()

    def add(self, request: SlotRequest, running: int) -> None:
        """Add a request of a customer with so many running requests."""
        self._add(request, running)

    def _add(self, request: SlotRequest, position: float) -> int:
        """Add a request at a position in its line, and return its number."""
        number = next(self._numbers)
        self._requests[request.key] = (number, request)
        self._tied_count += _is_tied(request)
        line_name = (get_line_key(request), request.rank)
        line = self._lines.get(line_name)
        if line is None:
            line = self._lines[line_name] = self._make_line()
        line.add(number, request, position)
        precedence = get_precedence(request)
        self._counts[precedence] = self._counts.get(precedence, 0) + 1
        return number

    def remove(self, key: str, running: int) -> None:
        """Remove a request."""
        self._remove(key, running)

    def _remove(self, key: str, position: float) -> None:
        number, request = self._requests.pop(key)
        self._tied_count -= _is_tied(request)
        line_name = (get_line_key(request), request.rank)
        line = self._lines[line_name]
        line.remove(number, request, position)
        if line.find_first() is None:
            del self._lines[line_name]
        precedence = get_precedence(request)
        self._counts[precedence] -= 1
        if not self._counts[precedence]:
            del self._counts[precedence]

    def update_running(self, customer: str, running: int) -> None:
        """Record how many requests of a customer are running."""
        self._place(customer, running)

    def _place(self, customer: str, position: float) -> None:
        """Update the position of a customer in all lines."""
        for line in self._lines.values():
            line.place(customer, position)

    def record_arrival(self, request: SlotRequest, now: float) -> None:
        """Record that a request arrives, before it is placed or added."""

    def estimate_overtaking(self, request: SlotRequest, now: float) -> Overtaking:
        """Return which newcomers are expected to go before a new request."""
        return Overtaking()

    def exceeds_share(self, customer: str) -> bool:
        """Return whether a customer uses more than its share of the service."""
        return False

    def compute_share(self, customer: str) -> float:
        """Return a customer's share of the service."""
        return 1.0

    def find_largest(self) -> str:
        """Return the customer that is furthest above its share, or ""."""
        return ""

    def count_ahead(self, request: SlotRequest) -> int:
        """Return how many waiting requests go before a new one."""
        precedence = get_precedence(request)
        return sum(
            count for other, count in self._counts.items() if other <= precedence
        )

    def list_firsts(self) -> list[SlotRequest]:
        """Return the first request of each line, the one that is placed next first."""
        firsts = []
        for line in self._lines.values():
            running, number, request = line.find_first()
            firsts.append((get_precedence(request), running, number, request))
        # No two requests have the same number.
        return [request for *_, request in sorted(firsts)]

    def list_requests(self) -> list[SlotRequest]:
        """Return all waiting requests in order of arrival."""
        return [request for _, request in self._requests.values()]

    def find_overtaken(self, place_seconds: float, now: float) -> SlotRequest | None:
        """Return a request whose turn comes after the end of its patience, if any.

        The order moves up by one place in `place_seconds`.
        """
        return None

    def promote_overdue(self, now: float) -> None:
        """Put requests that were overtaken for too long before the others."""

    def list_versions(self) -> set[str]:
        """Return the versions for which requests wait; an empty one means any."""
        return {line_key.version for line_key, _ in self._lines}

    def list_expired(
        self,
        now: float,
        gone: Set[str],
        has_choice: Callable[[SlotRequest], bool] = lambda request: True,
    ) -> list[SlotRequest]:
        """Return the requests that have waited for too long.

        Those for a version that is gone have, too, and those without a choice.
        """
        return [
            request
            for request in self.list_requests()
            if request.wait_until <= now
            or request.version in gone
            or not has_choice(request)
        ]

"""Order the work that waits beside an engine.

The engine runs whatever arrives, so its order is decided here. Online tickets
go before batch tickets without exception: `pop` never returns batch work while
an online ticket waits. Batch work that is nearly due, or has waited very long,
has its guaranteed share by another way: `pop_due` feeds one stream beyond the
admission limit, a slot that online work never has, so no online request waits
behind it.

Among customers the order is start-time fair queueing by cost. A customer's
wait for its first ticket is bounded by about one ticket of each other customer,
whatever these send. Within a customer online tickets go by arrival and batch
tickets by due time.
"""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Mapping
from typing import NamedTuple, Protocol

# Batch work due within this time gets the guaranteed share.
DUE_SOON_SECONDS = 600.0

# Batch work that has waited this long gets it whatever its due time.
AGED_SECONDS = 1800.0


class Ticket(NamedTuple):
    """Stand for one request or item in the queue.

    `cost` is in tokens, an estimate. `deadline` and `arrived` are monotonic
    seconds; the deadline of a batch ticket is its job's due time.
    """

    id: str
    customer: str
    batch: bool
    cost: float
    arrived: float
    deadline: float


class Queue(Protocol):
    """Order waiting tickets; ids are unique among those that wait."""

    def push(self, ticket: Ticket, now: float) -> None:
        """Let a ticket wait."""

    def pop(self, now: float) -> Ticket | None:
        """Return the next ticket to hand to the engine, online before batch."""

    def pop_due(self, now: float) -> Ticket | None:
        """Return a batch ticket that is due soon, for the slot beyond the limit."""

    def remove(self, id: str) -> bool:
        """Take a ticket out; false if it doesn't wait here."""

    def correct_cost(self, ticket: Ticket, actual_cost: float, now: float) -> None:
        """Correct the customer's account once a popped ticket's cost is known."""

    def expire(self, now: float) -> list[Ticket]:
        """Take out and return online tickets that can't make their deadline.

        Batch tickets stay: a late lot is still wanted, and its job decides.
        """

    def __len__(self) -> int: ...

    def count(self, batch: bool) -> int:
        """Return how many tickets of one kind wait."""


def is_due(ticket: Ticket, now: float) -> bool:
    """Tell whether a batch ticket has a claim to the guaranteed share."""
    if not ticket.batch:
        return False
    near = ticket.deadline - now <= DUE_SOON_SECONDS
    return near or now - ticket.arrived >= AGED_SECONDS


class _Line:
    """Hold one customer's tickets of one kind and its place among customers."""

    def __init__(self, start: float):
        self.start = start
        self.tickets: list[tuple[float, int, Ticket]] = []


class _Lane:
    """Order all customers' tickets of one kind by start-time fair queueing.

    A customer's start tag says how much it has been served, in cost by
    weight. The lowest is next; its tag becomes the virtual time, and it grows
    by what the ticket costs. Whoever comes back after a pause starts at the
    virtual time, so a pause saves nothing up.
    """

    def __init__(self, weights: Mapping[str, float]):
        self._weights = weights
        self._lines: dict[str, _Line] = {}
        self._virtual = 0.0
        self._order = itertools.count()
        self._waiting: dict[str, Ticket] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def tickets(self) -> list[Ticket]:
        return list(self._waiting.values())

    def _weigh(self, customer: str, cost: float) -> float:
        return cost / self._weights.get(customer, 1.0)

    def push(self, ticket: Ticket) -> None:
        line = self._lines.get(ticket.customer)
        if line is None:
            line = self._lines[ticket.customer] = _Line(self._virtual)
        self._clean(line)
        if not line.tickets:
            line.start = max(line.start, self._virtual)
        rank = ticket.deadline if ticket.batch else ticket.arrived
        heapq.heappush(line.tickets, (rank, next(self._order), ticket))
        self._waiting[ticket.id] = ticket

    def _clean(self, line: _Line) -> None:
        """Drop tickets from the head that were removed or popped otherwise."""
        tickets = line.tickets
        while tickets and self._waiting.get(tickets[0][2].id) is not tickets[0][2]:
            heapq.heappop(tickets)

    def pop(self) -> Ticket | None:
        first = None
        for line in self._lines.values():
            self._clean(line)
            if line.tickets and (first is None or line.start < first.start):
                first = line
        if first is None:
            return None
        ticket = heapq.heappop(first.tickets)[2]
        self._virtual = max(self._virtual, first.start)
        self._charge(first, ticket)
        return ticket

    def _charge(self, line: _Line, ticket: Ticket) -> None:
        del self._waiting[ticket.id]
        line.start += self._weigh(ticket.customer, ticket.cost)
        self._forget()

    def _forget(self) -> None:
        """Drop customers who wait for nothing and owe nothing."""
        gone = []
        for customer, line in self._lines.items():
            self._clean(line)
            if not line.tickets and line.start <= self._virtual:
                gone.append(customer)
        for customer in gone:
            del self._lines[customer]

    def pop_due(self, now: float) -> Ticket | None:
        """Return the due ticket of the customer served least."""
        best = None
        for line in self._lines.values():
            self._clean(line)
            if not line.tickets or not is_due(line.tickets[0][2], now):
                continue
            if best is None or line.start < best.start:
                best = line
        if best is None:
            return None
        ticket = heapq.heappop(best.tickets)[2]
        self._charge(best, ticket)
        return ticket

    def remove(self, id: str) -> bool:
        return self._waiting.pop(id, None) is not None

    def correct_cost(self, ticket: Ticket, actual_cost: float) -> None:
        line = self._lines.get(ticket.customer)
        extra = self._weigh(ticket.customer, actual_cost - ticket.cost)
        if line is not None:
            line.start += extra
        elif extra > 0.0:
            self._lines[ticket.customer] = _Line(self._virtual + extra)


class FairQueue:
    """Serve customers fairly by cost, online first.

    `weights` gives a customer's share, 1 where it isn't named; it is read at
    each use, so a publish may change it. `least_seconds`
    is the shortest time in which the engine answers anything: an online ticket
    with less left can't make its deadline.
    """

    def __init__(
        self,
        weights: Mapping[str, float] | None = None,
        min_service_seconds: float = 0.0,
    ):
        shares = {} if weights is None else weights
        self._online = _Lane(shares)
        self._batch = _Lane(shares)
        self._least_seconds = min_service_seconds

    def _lane(self, batch: bool) -> _Lane:
        return self._batch if batch else self._online

    def push(self, ticket: Ticket, now: float) -> None:
        """Let a ticket wait."""
        self._lane(ticket.batch).push(ticket)

    def pop(self, now: float) -> Ticket | None:
        """Return the next ticket, online before batch without exception."""
        if len(self._online):
            return self._online.pop()
        return self._batch.pop()

    def pop_due(self, now: float) -> Ticket | None:
        """Return a batch ticket that is due soon, for the slot beyond the limit."""
        return self._batch.pop_due(now)

    def remove(self, id: str) -> bool:
        """Take a ticket out; false if it doesn't wait here."""
        return self._online.remove(id) or self._batch.remove(id)

    def correct_cost(self, ticket: Ticket, actual_cost: float, now: float) -> None:
        """Correct the customer's account by the true cost, in tokens."""
        self._lane(ticket.batch).correct_cost(ticket, actual_cost)

    def expire(self, now: float) -> list[Ticket]:
        """Take out and return online tickets that can't make their deadline."""
        latest = now + self._least_seconds
        late = [each for each in self._online.tickets() if each.deadline <= latest]
        for ticket in late:
            self._online.remove(ticket.id)
        return late

    def __len__(self) -> int:
        return len(self._online) + len(self._batch)

    def count(self, batch: bool) -> int:
        """Return how many tickets of one kind wait."""
        return len(self._lane(batch))


class FirstComeQueue:
    """Serve in the order of arrival, whatever the kind (the baseline).

    It takes what `FairQueue` takes and uses none of it.
    """

    def __init__(
        self, weights: Mapping[str, float] | None = None, least_seconds: float = 0.0
    ):
        self._waiting: OrderedDict[str, Ticket] = OrderedDict()

    def push(self, ticket: Ticket, now: float) -> None:
        """Let a ticket wait behind all others."""
        self._waiting[ticket.id] = ticket

    def pop(self, now: float) -> Ticket | None:
        """Return the ticket that came first."""
        if not self._waiting:
            return None
        return self._waiting.popitem(last=False)[1]

    def pop_due(self, now: float) -> Ticket | None:
        """Return nothing: batch work has its turn like any other."""
        return None

    def remove(self, id: str) -> bool:
        """Take a ticket out; false if it doesn't wait here."""
        return self._waiting.pop(id, None) is not None

    def correct_cost(self, ticket: Ticket, actual_cost: float, now: float) -> None:
        """Do nothing: no account is kept."""

    def expire(self, now: float) -> list[Ticket]:
        """Take out and return online tickets whose deadline has passed."""
        waiting = self._waiting.values()
        late = [each for each in waiting if not each.batch and each.deadline <= now]
        for ticket in late:
            del self._waiting[ticket.id]
        return late

    def __len__(self) -> int:
        return len(self._waiting)

    def count(self, batch: bool) -> int:
        """Return how many tickets of one kind wait."""
        return sum(1 for each in self._waiting.values() if each.batch == batch)

"""Orders the requests and items that wait for an engine.

The engine runs every request that it gets, so the order is decided here. Online
tickets always go before batch tickets: `pop` never returns batch work while an
online ticket waits. Batch work that is nearly due or has waited very long gets a
guaranteed share through `pop_due`, which fills one slot beyond the admission limit.
Online work never uses that slot, so no online request waits behind batch work.

Customers are served by start-time fair queueing by cost. The first ticket of a
customer waits for about one ticket of each other customer at most, however many
they send. Within a customer, online tickets are ordered by arrival and batch
tickets by due time.
"""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Mapping
from typing import NamedTuple, Protocol

# Batch work that is due within this time gets the guaranteed share.
DUE_SOON_SECONDS = 600.0

# Batch work that has waited this long gets the guaranteed share, whenever it is due.
AGED_SECONDS = 1800.0


class Ticket(NamedTuple):
    """One request or item in the queue.

    `cost` is an estimate in tokens. `deadline` and `arrived` are times in seconds
    on a monotonic clock. The deadline of a batch ticket is its job's due time.
    """

    id: str
    customer: str
    batch: bool
    cost: float
    arrived: float
    deadline: float


class Queue(Protocol):
    """Orders waiting tickets; ids are unique among waiting tickets."""

    def push(self, ticket: Ticket, now: float) -> None:
        """Add a ticket to the queue."""

    def pop(self, now: float) -> Ticket | None:
        """Remove and return the next ticket for the engine, online before batch."""

    def pop_due(self, now: float) -> Ticket | None:
        """Remove and return a batch ticket for the slot beyond the limit.

        Only a ticket that is due soon or has waited very long is returned.
        """

    def remove(self, id: str) -> bool:
        """Remove a ticket; return false if it isn't in the queue."""

    def correct_cost(self, ticket: Ticket, actual_cost: float, now: float) -> None:
        """Correct the customer's account once a popped ticket's cost is known."""

    def expire(self, now: float) -> list[Ticket]:
        """Remove and return the online tickets that can't meet their deadline.

        Batch tickets stay, because late results are still wanted. Their job decides
        whether they still run.
        """

    def __len__(self) -> int: ...

    def count(self, batch: bool) -> int:
        """Return the number of waiting tickets, of batch or of online work."""


def is_due(ticket: Ticket, now: float) -> bool:
    """Return whether a ticket is batch work that gets the guaranteed share."""
    if not ticket.batch:
        return False
    is_due_soon = ticket.deadline - now <= DUE_SOON_SECONDS
    return is_due_soon or now - ticket.arrived >= AGED_SECONDS


class _CustomerQueue:
    """The tickets of one customer in a priority class, with its start tag."""

    def __init__(self, start_tag: float):
        self.start_tag = start_tag
        self.tickets: list[tuple[float, int, Ticket]] = []


class _PriorityClass:
    """Orders the online or the batch tickets by start-time fair queueing.

    A customer's start tag is the cost that it has been served, divided by its
    weight. The customer with the lowest tag is served next. Its tag becomes the
    virtual time and then grows by the cost of the ticket divided by the weight. A
    customer that returns after a pause starts at the virtual time, so it gains no
    credit from the pause.
    """

    def __init__(self, weights: Mapping[str, float]):
        self._weights = weights
        self._queues: dict[str, _CustomerQueue] = {}
        self._virtual_time = 0.0
        self._sequence = itertools.count()
        self._waiting: dict[str, Ticket] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def list_tickets(self) -> list[Ticket]:
        return list(self._waiting.values())

    def _normalize(self, customer: str, cost: float) -> float:
        return cost / self._weights.get(customer, 1.0)

    def push(self, ticket: Ticket) -> None:
        queue = self._queues.get(ticket.customer)
        if queue is None:
            queue = self._queues[ticket.customer] = _CustomerQueue(self._virtual_time)
        self._prune(queue)
        if not queue.tickets:
            queue.start_tag = max(queue.start_tag, self._virtual_time)
        rank = ticket.deadline if ticket.batch else ticket.arrived
        heapq.heappush(queue.tickets, (rank, next(self._sequence), ticket))
        self._waiting[ticket.id] = ticket

    def _prune(self, queue: _CustomerQueue) -> None:
        """Drop tickets from the head that have already been removed or popped."""
        tickets = queue.tickets
        while tickets and self._waiting.get(tickets[0][2].id) is not tickets[0][2]:
            heapq.heappop(tickets)

    def pop(self) -> Ticket | None:
        first = None
        for queue in self._queues.values():
            self._prune(queue)
            if queue.tickets and (first is None or queue.start_tag < first.start_tag):
                first = queue
        if first is None:
            return None
        ticket = heapq.heappop(first.tickets)[2]
        self._virtual_time = max(self._virtual_time, first.start_tag)
        self._charge(first, ticket)
        return ticket

    def _charge(self, queue: _CustomerQueue, ticket: Ticket) -> None:
        del self._waiting[ticket.id]
        queue.start_tag += self._normalize(ticket.customer, ticket.cost)
        self._remove_idle()

    def _remove_idle(self) -> None:
        """Drop customers without tickets whose tag the virtual time has reached."""
        idle = []
        for customer, queue in self._queues.items():
            self._prune(queue)
            if not queue.tickets and queue.start_tag <= self._virtual_time:
                idle.append(customer)
        for customer in idle:
            del self._queues[customer]

    def pop_due(self, now: float) -> Ticket | None:
        """Remove and return the due ticket of the customer with the lowest tag."""
        best = None
        for queue in self._queues.values():
            self._prune(queue)
            if not queue.tickets or not is_due(queue.tickets[0][2], now):
                continue
            if best is None or queue.start_tag < best.start_tag:
                best = queue
        if best is None:
            return None
        ticket = heapq.heappop(best.tickets)[2]
        self._charge(best, ticket)
        return ticket

    def remove(self, id: str) -> bool:
        return self._waiting.pop(id, None) is not None

    def correct_cost(self, ticket: Ticket, actual_cost: float) -> None:
        queue = self._queues.get(ticket.customer)
        correction = self._normalize(ticket.customer, actual_cost - ticket.cost)
        if queue is not None:
            queue.start_tag += correction
        elif correction > 0.0:
            self._queues[ticket.customer] = _CustomerQueue(
                self._virtual_time + correction
            )


class FairQueue:
    """Serves customers fairly by cost, with online work first.

    `weights` maps customers to their weights; other customers have weight 1. It is
    read at each use, so a published configuration may change it.
    `min_service_seconds` is the shortest time in which the engine answers a
    request. An online ticket with no more time left can't meet its deadline.
    """

    def __init__(
        self,
        weights: Mapping[str, float] | None = None,
        min_service_seconds: float = 0.0,
    ):
        customer_weights = {} if weights is None else weights
        self._online = _PriorityClass(customer_weights)
        self._batch = _PriorityClass(customer_weights)
        self._min_service_seconds = min_service_seconds

    def _get_priority_class(self, batch: bool) -> _PriorityClass:
        return self._batch if batch else self._online

    def push(self, ticket: Ticket, now: float) -> None:
        """Add a ticket to the queue."""
        self._get_priority_class(ticket.batch).push(ticket)

    def pop(self, now: float) -> Ticket | None:
        """Remove and return the next ticket, always online before batch."""
        if len(self._online):
            return self._online.pop()
        return self._batch.pop()

    def pop_due(self, now: float) -> Ticket | None:
        """Remove and return a batch ticket for the slot beyond the limit."""
        return self._batch.pop_due(now)

    def remove(self, id: str) -> bool:
        """Remove a ticket; return false if it isn't in the queue."""
        return self._online.remove(id) or self._batch.remove(id)

    def correct_cost(self, ticket: Ticket, actual_cost: float, now: float) -> None:
        """Correct the customer's account by the actual cost in tokens."""
        self._get_priority_class(ticket.batch).correct_cost(ticket, actual_cost)

    def expire(self, now: float) -> list[Ticket]:
        """Remove and return the online tickets that can't meet their deadline."""
        latest = now + self._min_service_seconds
        late = [each for each in self._online.list_tickets() if each.deadline <= latest]
        for ticket in late:
            self._online.remove(ticket.id)
        return late

    def __len__(self) -> int:
        return len(self._online) + len(self._batch)

    def count(self, batch: bool) -> int:
        """Return the number of waiting tickets, of batch or of online work."""
        return len(self._get_priority_class(batch))


class FirstComeQueue:
    """Serves online and batch tickets in order of arrival (the baseline).

    It accepts the arguments of `FairQueue` and ignores them.
    """

    def __init__(
        self,
        weights: Mapping[str, float] | None = None,
        min_service_seconds: float = 0.0,
    ):
        self._waiting: OrderedDict[str, Ticket] = OrderedDict()

    def push(self, ticket: Ticket, now: float) -> None:
        """Add a ticket at the end of the queue."""
        self._waiting[ticket.id] = ticket

    def pop(self, now: float) -> Ticket | None:
        """Remove and return the ticket that arrived first."""
        if not self._waiting:
            return None
        return self._waiting.popitem(last=False)[1]

    def pop_due(self, now: float) -> Ticket | None:
        """Return None: batch tickets are served in order of arrival like all others."""
        return None

    def remove(self, id: str) -> bool:
        """Remove a ticket; return false if it isn't in the queue."""
        return self._waiting.pop(id, None) is not None

    def correct_cost(self, ticket: Ticket, actual_cost: float, now: float) -> None:
        """Do nothing, since customers have no accounts here."""

    def expire(self, now: float) -> list[Ticket]:
        """Remove and return the online tickets whose deadline has passed."""
        waiting = self._waiting.values()
        late = [each for each in waiting if not each.batch and each.deadline <= now]
        for ticket in late:
            del self._waiting[ticket.id]
        return late

    def __len__(self) -> int:
        return len(self._waiting)

    def count(self, batch: bool) -> int:
        """Return the number of waiting tickets, of batch or of online work."""
        return sum(1 for each in self._waiting.values() if each.batch == batch)

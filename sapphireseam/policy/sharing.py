"""Orders waiting requests so that customers share the slots of a service by weight.

Load: more requests arrive than there are slots, and one customer sends several times
what it usually does. It is to wait and to be refused for that, and not the others.

Within a precedence the request of the customer with the fewest running requests by
weight goes first, then the one that arrived first. Since customers are compared by the
slots that they hold, long answers count for more than short ones.

The level of a waiting request says when its turn comes: the running requests of its
customer and those of the customer that wait before it, divided by the weight. Requests
are placed in order of their levels as long as no newcomer has a lower one. So the wait
of a request follows from the number of lower levels and, while more requests arrive
than slots become free, from the newcomers of customers that use less of their share.

Newcomers overtake a request only until shortly after the time that it was promised.
Then it goes before all of its precedence: an estimate that was too low harms nobody for
long.

The levels of one customer are evenly spaced. When one more of its requests runs, or one
less, only one of its levels changes. So a decision takes time in the logarithm of the
number of waiting requests.

>>> shares = Shares({"small": 1.0, "large": 3.0})
>>> shares.compute_level("small", 2), shares.compute_level("large", 3)
(1.0, 1.0)
"""

import bisect
import itertools
import math
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from sortedcontainers import SortedList

from sapphireseam.core import fleet
from sapphireseam.policy.demand import ArrivalMeter
from sapphireseam.policy.slot import SlotRequest
from sapphireseam.policy.waitlist import (
    Overtaking,
    Precedence,
    Waitlist,
    get_precedence,
)

# A request is overtaken for at most this long after the time that it was promised.
OVERTAKING_SECONDS = 0.2
# Newcomers are counted by these multiples of their customer's share.
EXCESS_BOUNDS = (0.5, 1.0, 1.5, 2.0, 3.0)


class ShareSettings(NamedTuple):
    """The names of the services that customers share, and the customers' weights."""

    services: frozenset[str]
    weights: Mapping[str, float]


def read_shares(current: fleet.Fleet) -> ShareSettings:
    """Return what a configuration says about shares."""
    services = {name for name, service in current.services.items() if service.fair}
    weights = {
        name: current.contracts[customer.contract].weight
        for name, customer in current.customers.items()
        if customer.contract in current.contracts
    }
    return ShareSettings(frozenset(services), weights)


class Shares:
    """Compares what the customers of a service use with their shares.

    `weights` are the weights by customer. Others have the mean weight. Customers with
    less have it, too: their share may be a part of a slot, and they are not to wait
    behind all others with a second request.
    """

    def __init__(self, weights: Mapping[str, float]):
        self._weights = weights
        self._mean_weight = _compute_mean_weight(weights)
        self._running: Counter[str] = Counter()
        self._running_total = 0
        self._waiting: Counter[str] = Counter()
        # The customers that have a running or a waiting request, with their weights.
        self._active: dict[str, float] = {}
        self._active_weight = 0.0

    def get_weight(self, customer: str) -> float:
        """Return a customer's weight."""
        return max(self._weights.get(customer, 0.0), self._mean_weight)

    def get_running(self, customer: str) -> int:
        """Return how many requests of a customer are running."""
        return self._running.get(customer, 0)

    def compute_level(self, customer: str, count: int) -> float:
        """Return the level of a request with so many of its customer before it."""
        return count / self.get_weight(customer)

    def set_running(self, customer: str, count: int) -> None:
        """Set how many requests of a customer are running."""
        self._running_total += count - self._running.pop(customer, 0)
        if count:
            self._running[customer] = count
        self._update_active(customer)

    def change_waiting(self, customer: str, change: int) -> None:
        """Count requests of a customer that begin or cease to wait."""
        self._waiting[customer] += change
        if not self._waiting[customer]:
            del self._waiting[customer]
        self._update_active(customer)

    def _update_active(self, customer: str) -> None:
        is_active = customer in self._running or customer in self._waiting
        if is_active == (customer in self._active):
            return
        if is_active:
            self._active[customer] = self.get_weight(customer)
            self._active_weight += self._active[customer]
        else:
            self._active_weight -= self._active.pop(customer)
        if not self._active:
            # Rounding errors of the sum end here.
            self._active_weight = 0.0

    def compute_share(self, customer: str) -> float:
        """Return a customer's share among those that have requests, with this one."""
        weight = self.get_weight(customer)
        others = self._active_weight - self._active.get(customer, 0.0)
        return weight / (max(others, 0.0) + weight)

    def compute_excess(self, customer: str) -> float:
        """Return the requests of a customer as a multiple of its share of the slots."""
        count = self._running[customer] + self._waiting[customer]
        share = self.compute_share(customer) * self._running_total
        return count / share if share else 0.0


class SharedWaitlist(Waitlist):
    """The requests that wait for a slot of a service that customers share by weight.

    `arrivals` are the recent arrivals by the excess of their customers.
    """

    def __init__(
        self, weights: Mapping[str, float], arrivals: ArrivalMeter | None = None
    ):
        super().__init__()
        self.weights = weights
        self.arrivals = arrivals or ArrivalMeter()
        self._shares = Shares(weights)
        # The levels of the waiting requests, each with its customer, by precedence.
        self._levels: dict[Precedence, SortedList] = {}
        # The keys of each customer's waiting requests by precedence, the first to
        # arrive first.
        self._keys: dict[str, dict[Precedence, dict[str, None]]] = {}
        # When requests were promised a slot, the first to be placed first.
        self._dues: SortedList[tuple[float, str]] = SortedList()
        # The counts of the customer's requests before each of these, by customer and
        # precedence, as their levels are filed.
        self._filed: dict[str, dict[Precedence, range]] = {}

    def add(self, request: SlotRequest, running: int) -> None:
        """Add a request of a customer with so many running requests."""
        customer, precedence = request.customer, get_precedence(request)
        self._add(request, self._shares.compute_level(customer, running))
        keys = self._keys.setdefault(customer, {})
        keys.setdefault(precedence, {})[request.key] = None
        if not request.is_overdue:
            self._dues.add((request.due, request.key))
        self._shares.change_waiting(customer, 1)
        self._file_levels(customer)

    def remove(self, key: str, running: int) -> None:
        """Remove a request."""
        _, request = self._requests[key]
        customer, precedence = request.customer, get_precedence(request)
        self._remove(key, self._shares.compute_level(customer, running))
        del self._keys[customer][precedence][key]
        if not request.is_overdue:
            self._dues.remove((request.due, key))
        self._shares.change_waiting(customer, -1)
        self._file_levels(customer)

    def update_running(self, customer: str, running: int) -> None:
        """Record how many requests of a customer are running."""
        self._shares.set_running(customer, running)
        if customer in self._keys:
            self._place(customer, self._shares.compute_level(customer, running))
            self._file_levels(customer)

    def promote_overdue(self, now: float) -> None:
        """Put requests that were overtaken for too long before the others."""
        while self._dues and self._dues[0][0] + OVERTAKING_SECONDS <= now:
            request = self.get(self._dues[0][1])
            running = self._shares.get_running(request.customer)
            self.remove(request.key, running)
            self.add(request._replace(is_overdue=True), running)

    def _file_levels(self, customer: str) -> None:
        """Bring the levels of a customer's waiting requests up to date."""
        groups = self._keys[customer]
        filed = self._filed.setdefault(customer, {})
        start = self._shares.get_running(customer)
        for precedence in sorted(groups):
            former = filed.get(precedence, range(0))
            current = range(start, start + len(groups[precedence]))
            start = current.stop
            levels = self._levels.setdefault(precedence, SortedList())
            for count in _subtract(former, current):
                levels.remove((self._shares.compute_level(customer, count), customer))
            for count in _subtract(current, former):
                levels.add((self._shares.compute_level(customer, count), customer))
            filed[precedence] = current
            if not current:
                del filed[precedence], groups[precedence]
            if not levels:
                del self._levels[precedence]
        if not groups:
            del self._keys[customer], self._filed[customer]

    def count_ahead(self, request: SlotRequest) -> int:
        """Return how many waiting requests go before a new one."""
        precedence = get_precedence(request)
        ahead = sum(
            len(levels) for other, levels in self._levels.items() if other < precedence
        )
        levels = self._levels.get(precedence)
        if levels is None:
            return ahead
        groups = self._keys.get(request.customer, {})
        waiting = sum(len(keys) for each, keys in groups.items() if each <= precedence)
        count = self._shares.get_running(request.customer) + waiting
        level = self._shares.compute_level(request.customer, count)
        # Those with the same level arrived before.
        return ahead + levels.bisect_left((math.nextafter(level, math.inf),))

    def record_arrival(self, request: SlotRequest, now: float) -> None:
        """Record that a request arrives, before it is placed or added."""
        excess = self._shares.compute_excess(request.customer)
        self.arrivals.record(_find_group(excess), now)

    def estimate_overtaking(self, request: SlotRequest, now: float) -> Overtaking:
        """Return which newcomers are expected to go before a new request.

        At first none are: callers that return to a new leader all at once don't show
        what comes after them.
        """
        if not self.arrivals.has_full_window(now):
            return Overtaking()
        excess = self._shares.compute_excess(request.customer)
        # Late requests have slots of their own, and continued streams go first.
        if excess <= 1.0 or request.is_late or request.is_resumed:
            return Overtaking()
        rates = [
            self.arrivals.measure_rate(group, now)
            for group in range(len(EXCESS_BOUNDS) + 1)
        ]
        rate = sum(rates[: _find_group(excess)])
        return Overtaking(rate, 1.0 - 1.0 / excess, sum(rates))

    def exceeds_share(self, customer: str) -> bool:
        """Return whether a customer uses more than its share of the service."""
        return self._shares.compute_excess(customer) > 1.0

    def compute_share(self, customer: str) -> float:
        """Return a customer's share of the service."""
        return self._shares.compute_share(customer)

    def find_largest(self) -> str:
        """Return the customer of the last request in order, or "" if none waits."""
        if not self._levels:
            return ""
        _, customer = self._levels[max(self._levels)][-1]
        return customer

    def find_overtaken(self, place_seconds: float, now: float) -> SlotRequest | None:
        """Return a request whose turn comes after the end of its patience, if any.

        It is one of the customer that is last in the order of requests that can be on
        time. The order moves up by one place in `place_seconds`. A request is returned
        only if it is too late by a place, since estimates vary a little and it was
        accepted by one of them. Requests that need certain upstreams aren't returned,
        since some of those before them wait for others.
        """
        ahead = 0
        for precedence in sorted(self._levels):
            levels = self._levels[precedence]
            if precedence.is_new and not precedence.is_late:
                _, customer = levels[-1]
                counts = self._filed[customer][precedence]
                keys = self._keys[customer][precedence]
                for count, key in zip(counts, keys, strict=True):
                    level = self._shares.compute_level(customer, count)
                    before = ahead + levels.bisect_left((level,))
                    _, request = self._requests[key]
                    is_tied = request.version or request.held or request.returns_to
                    wait = before * place_seconds
                    if not is_tied and now + wait >= request.wait_until:
                        return request
            ahead += len(levels)
        return None


def _subtract(numbers: range, others: range) -> Iterable[int]:
    """Return the numbers that aren't among the others."""
    if not others:
        return numbers
    before = range(numbers.start, min(numbers.stop, others.start))
    return itertools.chain(before, range(max(numbers.start, others.stop), numbers.stop))


def _find_group(excess: float) -> int:
    """Return how many of the bounds an excess has reached."""
    return bisect.bisect(EXCESS_BOUNDS, excess)


def _compute_mean_weight(weights: Mapping[str, float]) -> float:
    return sum(weights.values()) / len(weights) if weights else 1.0

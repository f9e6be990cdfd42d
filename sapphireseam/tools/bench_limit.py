"""Simulates one customer's requests at several entries, to compare rate limiters.

Messages between an entry and the limits' owner take a fixed time. The reference
for false refusals is a single token bucket that every request debits without
delay.
"""

import heapq
import itertools
import random
from typing import NamedTuple

from sapphireseam.policy import leasing, limit

CUSTOMER = "north"
RATE = 8000.0
BURST = 16000.0
MESSAGE_SECONDS = 0.001
COLLECT_SECONDS = 0.1

# The time between the old owner's last grant and the election of a new owner.
ELECTION_SECONDS = 2.0


class Case(NamedTuple):
    """The parameters of one run.

    `demand` is in multiples of the rate, `mean_cost` in tokens a request.
    """

    mode: str
    entries: int
    demand: float
    mean_cost: float
    skewed: bool
    loses_entries: bool
    changes_owner: bool


class Outcome(NamedTuple):
    """The counts of one run.

    `false_refusals` counts the refusals beyond those of the reference bucket, and
    `refused_tokens` the tokens that the reference bucket admitted beyond this
    limiter. `over_admission` is the largest excess, in tokens, of any time window
    over its burst and rate.
    """

    requests: int
    false_refusals: int
    refused_tokens: float
    over_admission: float
    messages: int


class Simulation:
    """Simulates the entries and the limits' owner on one event queue."""

    def __init__(self, case: Case, seed: int, seconds: float):
        self.case = case
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.sequence = itertools.count()
        self.events: list[tuple] = []
        self.owner = self.make_owner(start_empty=False, opens_at=0.0)
        self.reference = self.make_owner(start_empty=False, opens_at=0.0)
        self.split_limiters = []
        for _ in range(case.entries):
            limiter = limit.StaticSplitLimiter(case.entries, start_empty=False)
            limiter.configure(CUSTOMER, RATE, BURST, 0.0)
            self.split_limiters.append(limiter)
        self.entry_numbers = itertools.count()
        self.lease_managers = [self.make_lease_manager() for _ in range(case.entries)]
        self.admitted = self.reference_admitted = 0.0
        self.refused = self.reference_refused = self.requests = self.messages = 0
        self.level, self.level_at, self.over_admission = 0.0, 0.0, 0.0

    def make_owner(self, start_empty: bool, opens_at: float) -> limit.OwnerLimiter:
        """Return an owner with the customer configured."""
        owner = limit.OwnerLimiter(start_empty, opens_at)
        owner.configure(CUSTOMER, RATE, BURST, opens_at)
        return owner

    def make_lease_manager(self) -> leasing.LeaseManager:
        """Return the lease manager of a newly started entry."""
        return leasing.LeaseManager(f"entry.{next(self.entry_numbers)}")

    def call_at(self, time: float, action, *args) -> None:
        """Schedule an action for a time."""
        heapq.heappush(self.events, (time, next(self.sequence), action, args))

    def admit(self, cost: float, now: float) -> None:
        """Count an admission and update the largest excess over any window's bound."""
        self.admitted += cost
        drained = RATE * (now - self.level_at)
        self.level = max(self.level - drained, 0.0) + cost
        self.level_at = now
        self.over_admission = max(self.over_admission, self.level - BURST)

    def run(self) -> Outcome:
        """Process all events up to the end and return the counts."""
        self.schedule()
        while self.events and self.events[0][0] < self.seconds:
            now, _, action, args = heapq.heappop(self.events)
            action(now, *args)
        return Outcome(
            self.requests,
            max(self.refused - self.reference_refused, 0),
            max(self.reference_admitted - self.admitted, 0.0),
            self.over_admission if self.over_admission > 1e-6 else 0.0,
            self.messages,
        )

    def schedule(self) -> None:
        """Schedule the arrivals, the collections of unused tokens and the failures."""
        now, weights = 0.0, [1.0] * self.case.entries
        mean = self.case.mean_cost
        if self.case.skewed:
            weights = [1.0 / (each + 1) for each in range(self.case.entries)]
        while now < self.seconds:
            now += self.rng.expovariate(self.case.demand * RATE / mean)
            entry = self.rng.choices(range(self.case.entries), weights)[0]
            cost = min(self.rng.expovariate(1.0 / mean), 4096.0)
            self.call_at(now, self.request, entry, cost)
        for entry in range(self.case.entries):
            self.call_at(COLLECT_SECONDS * self.rng.random(), self.collect, entry)
        if self.case.loses_entries:
            for each in range(1, int(self.seconds // 10)):
                self.call_at(each * 10.0, self.lose_entry, each % self.case.entries)
        if self.case.changes_owner:
            self.call_at(self.seconds / 2.0, self.lose_owner)

    def request(self, now: float, entry: int, cost: float) -> None:
        """Process one request at an entry."""
        self.requests += 1
        if self.reference.debit(CUSTOMER, cost, now).granted:
            self.reference_admitted += cost
        else:
            self.reference_refused += 1
        if self.case.mode == "static_split":
            self.record_answer(
                now, self.split_limiters[entry].debit(CUSTOMER, cost, now), cost
            )
            return
        manager = self.lease_managers[entry]
        if self.case.mode == "allowance":
            if manager.spend(CUSTOMER, cost, now):
                self.admit(cost, now)
            else:
                self.send(now, self.debit, cost)
            lease_request = manager.plan(CUSTOMER, now)
            if lease_request is not None:
                self.send(now, self.lease, manager, lease_request)
            return
        self.send(now, self.debit, cost)

    def send(self, now: float, action, *args) -> None:
        """Send a message to the owner."""
        self.messages += 1
        self.call_at(now + MESSAGE_SECONDS, action, *args)

    def record_answer(self, now: float, grant: limit.Grant, cost: float) -> None:
        """Count the answer to a request."""
        if grant.granted:
            self.admit(cost, now)
        else:
            self.refused += 1

    def debit(self, now: float, cost: float) -> None:
        """Debit a request at the owner."""
        self.record_answer(now, self.owner.debit(CUSTOMER, cost, now), cost)

    def lease(self, now: float, manager: leasing.LeaseManager, lease_request) -> None:
        """Lease tokens at the owner and send its answer back."""
        grant = self.owner.lease(
            CUSTOMER, lease_request.holder, lease_request.wanted, now
        )
        self.call_at(now + MESSAGE_SECONDS, self.accept, manager, lease_request, grant)

    def accept(self, now: float, manager, lease_request, grant) -> None:
        """Pass the answer to a lease request to the entry."""
        manager.accept(lease_request, grant, now)

    def collect(self, now: float, entry: int) -> None:
        """Return an entry's unused tokens to the owner."""
        for each in self.lease_managers[entry].collect(now):
            self.send(now, self.release, each)
        self.call_at(now + COLLECT_SECONDS, self.collect, entry)

    def release(self, now: float, returned: leasing.LeaseReturn) -> None:
        """Return tokens to the bucket at the owner."""
        self.owner.release(CUSTOMER, returned.holder, returned.amount, now)

    def lose_entry(self, now: float, entry: int) -> None:
        """Restart an entry, with an empty bucket in the static split."""
        self.lease_managers[entry] = self.make_lease_manager()
        limiter = limit.StaticSplitLimiter(self.case.entries)
        limiter.configure(CUSTOMER, RATE, BURST, now)
        self.split_limiters[entry] = limiter

    def lose_owner(self, now: float) -> None:
        """Elect a new owner, which waits until the old owner's leases have expired."""
        opens_at = now + ELECTION_SECONDS + limit.LEASE_SECONDS
        self.owner = self.make_owner(start_empty=True, opens_at=opens_at)

"""Model one customer's requests over several entries, to measure limiters.

Messages between an entry and the owner take a fixed time. What an ideal
bucket, asked without delay, would have admitted is the reference for false
refusals.
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

# The time from the last grant of an old owner to a new one's election.
ELECTION_SECONDS = 2.0


class Case(NamedTuple):
    """Describe one run.

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
    """Count requests, refusals beyond the ideal's, tokens over, and messages.

    `refused_tokens` is what the ideal bucket admitted beyond this limiter;
    `over` the most by which any window exceeded burst and rate.
    """

    requests: int
    false_refusals: int
    refused_tokens: float
    over: float
    messages: int


class Fleet:
    """Run entries and an owner on one event list."""

    def __init__(self, case: Case, seed: int, seconds: float):
        self.case = case
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.order = itertools.count()
        self.events: list[tuple] = []
        self.owner = self.make_owner(start_empty=False, opens_at=0.0)
        self.ideal = self.make_owner(start_empty=False, opens_at=0.0)
        self.parts = []
        for _ in range(case.entries):
            part = limit.StaticSplitLimiter(case.entries, start_empty=False)
            part.configure(CUSTOMER, RATE, BURST, 0.0)
            self.parts.append(part)
        self.starts = itertools.count()
        self.books = [self.make_book() for _ in range(case.entries)]
        self.admitted = self.ideal_admitted = 0.0
        self.refused = self.ideal_refused = self.requests = self.messages = 0
        self.level, self.level_at, self.over = 0.0, 0.0, 0.0

    def make_owner(self, start_empty: bool, opens_at: float) -> limit.OwnerLimiter:
        """Return an owner that knows the customer."""
        owner = limit.OwnerLimiter(start_empty, opens_at)
        owner.configure(CUSTOMER, RATE, BURST, opens_at)
        return owner

    def make_book(self) -> leasing.LeaseManager:
        """Return the allowances of a newly started entry."""
        return leasing.LeaseManager(f"entry.{next(self.starts)}")

    def at(self, time: float, action, *args) -> None:
        """Run an action at a time."""
        heapq.heappush(self.events, (time, next(self.order), action, args))

    def admit(self, cost: float, now: float) -> None:
        """Count an admission and by how much it exceeds any window's bound."""
        self.admitted += cost
        drained = RATE * (now - self.level_at)
        self.level = max(self.level - drained, 0.0) + cost
        self.level_at = now
        self.over = max(self.over, self.level - BURST)

    def run(self) -> Outcome:
        """Run to the end and return the counts."""
        self.schedule()
        while self.events and self.events[0][0] < self.seconds:
            now, _, action, args = heapq.heappop(self.events)
            action(now, *args)
        return Outcome(
            self.requests,
            max(self.refused - self.ideal_refused, 0),
            max(self.ideal_admitted - self.admitted, 0.0),
            self.over if self.over > 1e-6 else 0.0,
            self.messages,
        )

    def schedule(self) -> None:
        """Put arrivals, collections and failures on the event list."""
        now, weights = 0.0, [1.0] * self.case.entries
        mean = self.case.mean_cost
        if self.case.skewed:
            weights = [1.0 / (each + 1) for each in range(self.case.entries)]
        while now < self.seconds:
            now += self.rng.expovariate(self.case.demand * RATE / mean)
            entry = self.rng.choices(range(self.case.entries), weights)[0]
            cost = min(self.rng.expovariate(1.0 / mean), 4096.0)
            self.at(now, self.request, entry, cost)
        for entry in range(self.case.entries):
            self.at(COLLECT_SECONDS * self.rng.random(), self.collect, entry)
        if self.case.loses_entries:
            for each in range(1, int(self.seconds // 10)):
                self.at(each * 10.0, self.lose_entry, each % self.case.entries)
        if self.case.changes_owner:
            self.at(self.seconds / 2.0, self.lose_owner)

    def request(self, now: float, entry: int, cost: float) -> None:
        """Have an entry serve one request."""
        self.requests += 1
        if self.ideal.debit(CUSTOMER, cost, now).granted:
            self.ideal_admitted += cost
        else:
            self.ideal_refused += 1
        if self.case.mode == "static_split":
            self.settle(now, self.parts[entry].debit(CUSTOMER, cost, now), cost)
            return
        book = self.books[entry]
        if self.case.mode == "allowance":
            if book.spend(CUSTOMER, cost, now):
                self.admit(cost, now)
            else:
                self.send(now, self.debit, cost)
            ask = book.plan(CUSTOMER, now)
            if ask is not None:
                self.send(now, self.lease, book, ask)
            return
        self.send(now, self.debit, cost)

    def send(self, now: float, action, *args) -> None:
        """Send a message to the owner."""
        self.messages += 1
        self.at(now + MESSAGE_SECONDS, action, *args)

    def settle(self, now: float, grant: limit.Grant, cost: float) -> None:
        """Count a request's answer."""
        if grant.granted:
            self.admit(cost, now)
        else:
            self.refused += 1

    def debit(self, now: float, cost: float) -> None:
        """Have the owner debit a request."""
        self.settle(now, self.owner.debit(CUSTOMER, cost, now), cost)

    def lease(self, now: float, book: leasing.LeaseManager, ask) -> None:
        """Have the owner lease, and its answer travel back."""
        grant = self.owner.lease(CUSTOMER, ask.holder, ask.wanted, now)
        self.at(now + MESSAGE_SECONDS, self.accept, book, ask, grant)

    def accept(self, now: float, book, ask, grant) -> None:
        """Have an entry take a lease's answer."""
        book.accept(ask, grant, now)

    def collect(self, now: float, entry: int) -> None:
        """Have an entry give back what it has to."""
        for each in self.books[entry].collect(now):
            self.send(now, self.release, each)
        self.at(now + COLLECT_SECONDS, self.collect, entry)

    def release(self, now: float, back: leasing.LeaseReturn) -> None:
        """Have the owner take tokens back."""
        self.owner.release(CUSTOMER, back.holder, back.amount, now)

    def lose_entry(self, now: float, entry: int) -> None:
        """Start an entry anew, with a static part that starts empty."""
        self.books[entry] = self.make_book()
        part = limit.StaticSplitLimiter(self.case.entries)
        part.configure(CUSTOMER, RATE, BURST, now)
        self.parts[entry] = part

    def lose_owner(self, now: float) -> None:
        """Elect a new owner, which waits for the old one's leases to end."""
        opens = now + ELECTION_SECONDS + limit.LEASE_SECONDS
        self.owner = self.make_owner(start_empty=True, opens_at=opens)

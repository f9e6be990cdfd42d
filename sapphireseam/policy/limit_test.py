"""Test that no sequence of failures lets a customer exceed its rate and burst."""

import math
import random
import unittest

from hypothesis import given, settings, strategies as st

from sapphireseam.policy import leasing, limit

CUSTOMER = "north"
OPTIONS = {"derandomize": True, "deadline": None, "database": None}

# Each step is the name of a Fleet method and its two arguments.
COMMON = ["request"] * 6 + ["deliver"] * 9 + ["advance"] * 5 + ["drain"] * 3
RARE = ["collect"] * 3 + ["drop", "repeat", "lose_entry", "step_back", "change_owner"]
KINDS = COMMON + RARE + ["configure", "remove"]
STEPS = st.lists(
    st.tuples(st.sampled_from(KINDS), st.integers(0, 99), st.integers(0, 99)),
    min_size=20,
    max_size=120,
)


class Fleet:
    """One owner and several entries on a network with arbitrary failures.

    Each clock has its own origin, and all clocks except the owner's run at the true
    rate. Messages wait until a step delivers, repeats or drops them, in any order.
    """

    ENTRIES = 3

    def __init__(self):
        self.time = 0.0
        self.starts = 0
        self.owner_origin = 500.0
        self.origins = [0.0, 1e4, 2e4]
        self.owner = limit.OwnerLimiter(start_empty=False)
        self.contracts = []
        self.admitted = []
        self.messages = []
        self.entries = [self.start_entry() for _ in range(self.ENTRIES)]
        self.configure(0, 0)

    def start_entry(self):
        self.starts += 1
        return leasing.LeaseManager(f"entry.{self.starts}")

    def clock(self, entry):
        return self.time + self.origins[self.entries.index(entry)]

    def owner_clock(self):
        self.owner_reading = self.time + self.owner_origin
        return self.owner_reading

    def admit(self, amount):
        """Record the admitted amount, one sum for each moment."""
        if self.admitted and self.admitted[-1][0] == self.time:
            amount += self.admitted.pop()[1]
        self.admitted.append((self.time, amount))

    def run(self, steps):
        for kind, first, second in steps:
            getattr(self, kind)(first, second)
            self.time += 0.001

    def advance(self, first, second):
        self.time += (0.05, 0.2, 0.5, 1.0, 3.0)[first % 5] * (1 + second % 3)

    def request(self, first, second):
        """Have an entry serve enough small requests that it requests a lease."""
        entry = self.entries[first % self.ENTRIES]
        for _ in range(32):
            if entry.spend(CUSTOMER, 0.25, self.clock(entry)):
                self.admit(0.25)
        self.messages.append(("debit", entry, 1.0))
        lease = entry.plan(CUSTOMER, self.clock(entry))
        if lease is not None:
            self.messages.append(("lease", entry, lease))

    def drain(self, first, second):
        """Admit everything that the entries and the owner grant at this moment."""
        for entry in self.entries:
            while entry.spend(CUSTOMER, 0.25, self.clock(entry)):
                self.admit(0.25)
        while grant := self.owner.debit(CUSTOMER, 1.0, self.owner_clock()).granted:
            self.admit(grant)

    def collect(self, first, second):
        entry = self.entries[first % self.ENTRIES]
        for each in entry.collect(self.clock(entry)):
            self.messages.append(("release", entry, each))

    def deliver(self, first, second):
        """Deliver one message out of order, or all waiting messages."""
        if second < 30 and self.messages:
            self.receive(*self.messages.pop(first % len(self.messages)))
        elif second >= 60:
            while self.messages:
                self.receive(*self.messages.pop(0))

    def repeat(self, first, second):
        leases = [each for each in self.messages if each[0] in ("lease", "release")]
        if leases:
            self.receive(*leases[first % len(leases)])

    def drop(self, first, second):
        if self.messages:
            self.messages.pop(first % len(self.messages))

    def receive(self, kind, entry, body):
        if kind == "grant":
            if entry in self.entries:
                entry.accept(*body, self.clock(entry))
            return
        now = self.owner_clock()
        if kind == "debit":
            # A debit counts at the moment at which the owner makes it.
            self.admit(self.owner.debit(CUSTOMER, body, now).granted)
        elif kind == "lease":
            grant = self.owner.lease(CUSTOMER, body.holder, body.wanted, now)
            self.messages.append(("grant", entry, (body, grant)))
        else:
            self.owner.release(CUSTOMER, body.holder, body.amount, now)

    def lose_entry(self, first, second):
        self.entries[first % self.ENTRIES] = self.start_entry()

    def step_back(self, first, second):
        """Step the owner's clock back for one reading, and an entry's for good."""
        earlier = self.owner_reading - 0.1 * (first + 1)
        self.admit(self.owner.debit(CUSTOMER, 1.0, earlier).granted)
        self.origins[first % self.ENTRIES] -= 20.0
        self.collect(first, second)

    def change_owner(self, first, second):
        self.owner_origin = 100.0 * first
        opens = self.owner_clock() + limit.LEASE_SECONDS
        self.owner = limit.OwnerLimiter(start_empty=True, opens_at=opens)
        _, rate, burst = self.contracts[-1]
        self.owner.configure(CUSTOMER, rate, burst, self.owner_clock())

    def configure(self, first, second):
        rate, burst = (20.0, 10.0, 5.0)[first % 3], 20.0 + 10.0 * (second % 2)
        self.owner.configure(CUSTOMER, rate, burst, self.owner_clock())
        self.contracts.append((self.time, rate, burst))

    def remove(self, first, second):
        self.owner.remove(CUSTOMER)
        _, rate, burst = self.contracts[-1]
        self.owner.configure(CUSTOMER, rate, burst, self.owner_clock())

    def compute_allowed(self, start, end):
        """Return the largest amount that may be admitted from start to end."""
        total, max_burst = 0.0, 0.0
        ends = [contract[0] for contract in self.contracts[1:]] + [math.inf]
        for (begins, rate, burst), stops in zip(self.contracts, ends, strict=True):
            total += rate * max(min(end, stops) - max(start, begins), 0.0)
            if begins <= end and stops >= start - limit.LEASE_SECONDS:
                max_burst = max(max_burst, burst)
        return max_burst + total

    def find_excess(self):
        """Return the largest excess over any window between two admissions."""
        worst = -math.inf
        for first, (start, _) in enumerate(self.admitted):
            total = 0.0
            for end, amount in self.admitted[first:]:
                total += amount
                worst = max(worst, total - self.compute_allowed(start, end))
        return worst


class WindowTest(unittest.TestCase):
    @settings(max_examples=150, **OPTIONS)
    @given(steps=STEPS)
    def test_any_window_over_any_failures_is_bounded(self, steps):
        fleet = Fleet()
        fleet.run(steps)
        self.assertLessEqual(fleet.find_excess(), 1e-6)

    def test_long_random_schedules_are_bounded(self):
        for seed in range(60):
            rng = random.Random(seed)
            steps = [
                (rng.choice(KINDS), rng.randrange(100), rng.randrange(100))
                for _ in range(300)
            ]
            fleet = Fleet()
            fleet.run(steps)
            with self.subTest(seed=seed):
                self.assertLessEqual(fleet.find_excess(), 1e-6)


class LeaseManagerTest(unittest.TestCase):
    def test_lease_is_void_once_the_entry_clock_stepped_back(self):
        for back, spendable in ((0.0, True), (20.0, False)):
            manager = leasing.LeaseManager("entry.1")
            for _ in range(64):
                manager.spend(CUSTOMER, 1.0, 100.0)
            lease = manager.plan(CUSTOMER, 100.0)
            manager.accept(lease, limit.Grant(5.0, 0.0), 100.0)
            with self.subTest(back=back):
                spent = manager.spend(CUSTOMER, 1.0, 100.1 - back)
                self.assertEqual(spent, spendable)


class GrantTest(unittest.TestCase):
    def test_retry_after_is_the_time_until_the_amount_is_available(self):
        owner = limit.OwnerLimiter(start_empty=True, opens_at=5.0)
        owner.configure(CUSTOMER, 10.0, 50.0, 0.0)
        grant = owner.debit(CUSTOMER, 20.0, 1.0)
        self.assertEqual(grant, limit.Grant(0.0, 6.0))
        self.assertEqual(owner.debit(CUSTOMER, 20.0, 7.0).granted, 20.0)

    def test_amount_over_the_burst_is_never_granted(self):
        owner = limit.OwnerLimiter(start_empty=False)
        owner.configure(CUSTOMER, 10.0, 50.0, 0.0)
        self.assertEqual(owner.debit(CUSTOMER, 51.0, 0.0).retry_after, math.inf)

    def test_late_repeated_or_misdirected_release_adds_nothing(self):
        owner = limit.OwnerLimiter(start_empty=False)
        owner.configure(CUSTOMER, 1e-9, 100.0, 0.0)
        for serial, now in enumerate((0.0, 0.5)):
            owner.lease(CUSTOMER, f"entry.1/{serial}", 10.0, now)
        owner.release(CUSTOMER, "entry.1/0", 10.0, limit.LEASE_SECONDS + 0.1)
        owner.release(CUSTOMER, "entry.2/0", 10.0, limit.LEASE_SECONDS + 0.1)
        for _ in range(2):
            owner.release(CUSTOMER, "entry.1/1", 10.0, limit.LEASE_SECONDS + 0.1)
        self.assertEqual(owner.debit(CUSTOMER, 91.0, 2.0).granted, 0.0)
        self.assertEqual(owner.debit(CUSTOMER, 90.0, 2.0).granted, 90.0)

    def test_customer_at_its_rate_is_not_refused_by_a_returned_lease(self):
        owner = limit.OwnerLimiter(start_empty=False)
        owner.configure(CUSTOMER, 1.0, 100.0, 0.0)
        lease = owner.lease(CUSTOMER, "entry.1/1", 25.0, 0.0)
        owner.release(CUSTOMER, "entry.1/1", lease.granted, 0.0)
        self.assertEqual(owner.debit(CUSTOMER, 100.0, 0.0).granted, 100.0)

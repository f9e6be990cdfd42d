"""Test that a customer never exceeds rate and burst across changes of the owner.

The schedules of `sapphireseam.policy.limit_test` run with owners of the rate limits
that commit records to the real state machine. A record may be committed late, never,
or after its owner was deposed, and snapshots are restored in between.
"""

import random
import unittest
from unittest import mock

from hypothesis import given, settings, strategies as st

from sapphireseam.control.machine import StateMachine
from sapphireseam.core import command, outcome
from sapphireseam.policy import limit, limit_test, reserve

CUSTOMER = limit_test.CUSTOMER
KINDS = ["request", "deliver", "drain", "write", "commit", "confirm", "skip"] * 3
KINDS += ["advance", "settle", "configure", "change_owner", "hand_over"] * 2
KINDS += ["rush", "take_over", "take_over", "remove", "collect", "repeat", "drop"]
KINDS += ["lose_entry", "step_back", "come_late", "publish_less"]
KINDS += ["borrow"] * 2
# Reserves in these schedules are larger than the tokens that flow in while a new
# owner waits. Otherwise the inflow would hide a grant that is made twice.
RESERVE_SECONDS = 8.0
BURST_SHARE = 0.5
STEPS = st.lists(
    st.tuples(st.sampled_from(KINDS), st.integers(0, 99), st.integers(0, 99)),
    min_size=20,
    max_size=160,
)


class RecordingLimiter(reserve.ReservedLimiter):
    """Refuse debits that have to wait for a record, and add up their amounts."""

    def __init__(self, opens_at, inherited):
        super().__init__(opens_at, inherited)
        self.waiting = {}

    def debit(self, customer, amount, now):
        grant = super().debit(customer, amount, now)
        if grant is not None:
            return grant
        self.waiting[customer] = self.waiting.get(customer, 0.0) + amount
        return limit.Grant(0.0, 0.0)


class RecordFleet(limit_test.Fleet):
    """Let each owner commit its records to one state machine over one log.

    A command may be delayed, be refused by the log, or come from a deposed owner.
    The commands of one owner keep their order, as in the log.
    """

    def __init__(self):
        self.machine = StateMachine()
        self.term = 0
        self.index = 0
        self.log = []
        self.late = []
        self.unconfirmed = []
        super().__init__()
        self.change_owner(0, 0)

    def apply(self, item):
        self.index += 1
        return self.machine.apply(self.index, command.REGISTRY.encode(item))

    def change_owner(self, first, second):
        for _ in range(min(second % 3, len(self.log))):
            self.apply(self.log.pop(0)[1])
        self.late += [item for _, item in self.log]
        self.log, self.unconfirmed = [], []
        self.term += 1
        self.apply(command.RecordReserves(self.term))
        self.machine.restore(self.machine.encode())
        self.owner_origin = 100.0 * first
        opens = self.owner_clock() + limit.LEASE_SECONDS
        self.owner = RecordingLimiter(opens, self.machine.state.reserves)
        _, rate, burst = self.contracts[-1]
        self.owner.configure(CUSTOMER, rate, burst, self.owner_clock())

    def configure(self, first, second):
        rate, burst = (4.0, 2.0, 1.0)[first % 3], 20.0 + 10.0 * (second % 2)
        self.owner.configure(CUSTOMER, rate, burst, self.owner_clock())
        self.contracts.append((self.time, rate, burst))

    def settle(self, first, second):
        """Fill the bucket and commit a record of it."""
        self.time += 30.0
        self.write(first, second)
        for _ in range(second % 4):
            self.commit(first, second)

    def rush(self, first, second):
        """Grant as much as possible, with new records in between."""
        for _ in range(first % 5):
            self.drain(first, second)
            self.write(first, second)
            while self.log:
                self.commit(first, second)

    def hand_over(self, first, second):
        """Change the owner right after grants and wait until the new one is ready."""
        self.drain(first, second)
        self.change_owner(first, second)
        self.time += limit.LEASE_SECONDS
        self.write(first, second)
        self.rush(second, first)

    def take_over(self, first, second):
        """Commit a deposed owner's command right before a change of owner."""
        self.come_late(first, second)
        self.hand_over(first, second)

    def borrow(self, first, second):
        """Lease before or after the reserve is spent, then change the owner."""
        self.settle(first, 3)
        if first % 2:
            self.drain(first, second)
        self.request(first, second)
        self.deliver(first, 99)
        self.deliver(first, 99)
        self.hand_over(first, second)

    def publish_less(self, first, second):
        """Lower the burst after the bucket was full, then change the owner."""
        self.configure(first, 1)
        self.settle(first, second)
        self.configure(first, 0)
        self.time += 2.0 * limit.LEASE_SECONDS
        self.hand_over(first, second)

    def write(self, first, second):
        draft = self.owner.plan(self.owner_clock(), self.owner.waiting)
        self.owner.waiting = {}
        if draft.records:
            reserves = tuple(
                command.Reserve(name, *each) for name, each in draft.records.items()
            )
            item = command.RecordReserves(self.term, reserves)
            self.log.append((draft.number, item))

    def commit(self, first, second):
        """Commit the oldest command; its owner gets the confirmation now or later."""
        if not self.log:
            return
        number, item = self.log.pop(0)
        self.apply(item)
        self.unconfirmed.append(number)
        if second < 70:
            self.confirm(first, second)

    def confirm(self, first, second):
        if self.unconfirmed:
            self.owner.confirm(self.unconfirmed.pop(0))

    def skip(self, first, second):
        if self.log:
            self.log.pop(first % len(self.log))

    def come_late(self, first, second):
        """Commit a deposed owner's command in a newer term."""
        if self.late:
            self.apply(self.late.pop(first % len(self.late)))


@mock.patch.object(reserve, "RESERVE_SECONDS", RESERVE_SECONDS)
@mock.patch.object(reserve, "BURST_SHARE", BURST_SHARE)
class WindowTest(unittest.TestCase):
    @settings(max_examples=150, **limit_test.OPTIONS)
    @given(steps=STEPS)
    def test_any_window_over_any_owners_and_records_is_bounded(self, steps):
        fleet = RecordFleet()
        fleet.run(steps)
        self.assertLessEqual(fleet.find_excess(), 1e-6)

    def test_long_random_schedules_are_bounded(self):
        for seed in range(120):
            rng = random.Random(seed)
            steps = [
                (rng.choice(KINDS), rng.randrange(100), rng.randrange(100))
                for _ in range(300)
            ]
            fleet = RecordFleet()
            fleet.run(steps)
            with self.subTest(seed=seed):
                self.assertLessEqual(fleet.find_excess(), 1e-6)


class ReserveTest(unittest.TestCase):
    def test_older_term_changes_nothing_and_snapshot_keeps_records(self):
        machine = StateMachine()
        newer = command.Reserve(CUSTOMER, 9.0, 5.0)
        older = command.Reserve(CUSTOMER, 90.0, 5.0)
        for index, (term, each) in enumerate(((2, newer), (1, older)), 1):
            item = command.RecordReserves(term, (each,))
            answer = machine.apply(index, command.REGISTRY.encode(item))
            self.assertEqual(isinstance(answer, outcome.Done), term == 2)
        machine.restore(machine.encode())
        expected = {CUSTOMER: limit.Reserve(9.0, 5.0)}
        self.assertEqual(machine.state.reserves, expected)
        self.assertEqual(
            machine.state.reserves[CUSTOMER].compute_initial_level(8.0), 3.0
        )


if __name__ == "__main__":
    unittest.main()

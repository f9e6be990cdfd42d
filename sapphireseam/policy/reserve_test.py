"""Test that a new owner refuses no customer within its rate, at a low cost."""

import unittest

from sapphireseam.policy import limit, reserve

CUSTOMER = "north"
RATE = 10.0
BURST = 2.0 * RATE
AMOUNT = 0.25
# The customer sends at half its rate.
PERIOD = AMOUNT / (0.5 * RATE)
# Time from the loss of an owner to the moment at which the next one may grant.
OUTAGE_SECONDS = 2.0
# Time from the draft of a record to its commit.
COMMIT_SECONDS = 2 * PERIOD


class Log:
    """A log that commits one draft at a time, after a delay."""

    def __init__(self):
        self.records = {}
        self.pending = None
        self.sent = 0

    def write(self, owner, now, wanted):
        if self.pending is None:
            draft = owner.plan(now, wanted)
            if draft.records:
                self.sent += 1
                self.pending = (now + COMMIT_SECONDS, draft)
        if self.pending is not None and self.pending[0] <= now:
            self.records.update(self.pending[1].records)
            owner.confirm(self.pending[1].number)
            self.pending = None

    def begin_owner(self, now):
        """Return an owner that may grant once its first records are committed."""
        self.pending = None
        owner = reserve.ReservedLimiter(now, self.records)
        owner.configure(CUSTOMER, RATE, BURST, now)
        self.write(owner, now - OUTAGE_SECONDS, {})
        self.write(owner, now, {})
        return owner


class Customer:
    """A customer that sends at half its rate and retries waiting debits."""

    def __init__(self, test):
        self.test = test
        self.backlog = 0

    def send(self, owner, log, now):
        """Debit all waiting requests; a refusal fails the test."""
        while self.backlog:
            grant = owner.debit(CUSTOMER, AMOUNT, now)
            if grant is None:
                break
            self.test.assertEqual(grant.granted, AMOUNT, "refused within the rate")
            self.backlog -= 1
        wanted = {CUSTOMER: self.backlog * AMOUNT} if self.backlog else {}
        log.write(owner, now, wanted)


class HandoverTest(unittest.TestCase):
    def test_customer_at_half_its_rate_is_never_refused_by_a_new_owner(self):
        for requests in range(80, 130):
            log, customer = Log(), Customer(self)
            now = 100.0
            owner = log.begin_owner(now)
            now += BURST / RATE
            for _ in range(5):
                for _ in range(requests):
                    now += PERIOD
                    customer.backlog += 1
                    customer.send(owner, log, now)
                self.assertEqual(customer.backlog, 0)
                now += OUTAGE_SECONDS
                owner = log.begin_owner(now)
                # Requests of the meantime are sent as soon as the owner may grant.
                customer.backlog += round(OUTAGE_SECONDS / PERIOD)
                customer.send(owner, log, now)

    def test_steady_use_costs_at_most_three_commands_in_two_seconds(self):
        log, customer = Log(), Customer(self)
        owner = log.begin_owner(100.0)
        now = 102.0
        seconds = 60.0
        for _ in range(round(seconds / PERIOD)):
            now += PERIOD
            customer.backlog += 1
            customer.send(owner, log, now)
            self.assertEqual(customer.backlog, 0, "a debit waits for a record")
        self.assertLessEqual(log.sent, 1.5 * seconds)

    def test_inherited_record_allows_nothing_until_it_is_replaced(self):
        inherited = {CUSTOMER: limit.Reserve(20.0, 5.0)}
        owner = reserve.ReservedLimiter(100.0, inherited)
        owner.configure(CUSTOMER, RATE, BURST, 99.0)
        self.assertIsNone(owner.debit(CUSTOMER, 1.0, 100.0))
        draft = owner.plan(100.0, {CUSTOMER: 1.0})
        self.assertIsNone(owner.debit(CUSTOMER, 1.0, 100.0))
        owner.confirm(draft.number)
        self.assertEqual(owner.debit(CUSTOMER, 1.0, 100.0).granted, 1.0)


if __name__ == "__main__":
    unittest.main()

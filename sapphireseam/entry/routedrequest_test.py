"""Test what is read of a caller's request."""

import unittest

from sapphireseam.entry import routedrequest
from sapphireseam.policy import queue


class CostTest(unittest.TestCase):
    def test_no_declared_length_disturbs_the_shares_of_the_customers(self):
        declared = routedrequest.estimate_cost({"max_tokens": 10**299}, 100)
        fair = queue.FairQueue()
        for number in range(2):
            self.push(fair, f"long-{number}", "a", declared)
        for ticket in [fair.pop(0.0), fair.pop(0.0)]:
            fair.correct_cost(ticket, 100.0, 0.0)
        for number in range(4):
            self.push(fair, f"a-{number}", "a", 100.0)
        for number in range(4):
            self.push(fair, f"b-{number}", "b", 100.0)
        first = [fair.pop(0.0).customer for _ in range(4)]
        self.assertEqual(sorted(first), ["a", "a", "b", "b"])

    def push(self, fair, name, customer, cost):
        fair.push(queue.Ticket(name, customer, False, cost, 0.0, 1e9), 0.0)


if __name__ == "__main__":
    unittest.main()

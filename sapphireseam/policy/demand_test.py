"""Test how the load of a service is measured."""

import doctest
import unittest

from sapphireseam.policy import demand


class DemandTest(unittest.TestCase):
    def test_examples(self):
        self.assertEqual(doctest.testmod(demand).failed, 0)

    def test_services_are_counted_apart(self):
        held = demand.ArrivalMeter()
        held.record("llm", 0.0)
        self.assertEqual(held.measure("other", 0.1), 0.0)

    def test_the_first_requests_are_no_flood(self):
        held = demand.ArrivalMeter()
        held.record("llm", 5.0)
        self.assertEqual(held.measure("llm", 5.0), 1 / demand.LEAST_SECONDS)
        self.assertFalse(held.is_known(5.1))
        self.assertTrue(held.is_known(5.0 + demand.SPAN_SECONDS))


if __name__ == "__main__":
    unittest.main()

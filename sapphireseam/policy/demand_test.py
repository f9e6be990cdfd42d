"""Test how the arrival rate of a service is measured."""

import doctest
import unittest

from sapphireseam.policy import demand


class ArrivalMeterTest(unittest.TestCase):
    def test_examples(self):
        self.assertEqual(doctest.testmod(demand).failed, 0)

    def test_services_are_counted_separately(self):
        meter = demand.ArrivalMeter()
        meter.record("llm", 0.0)
        self.assertEqual(meter.measure_rate("other", 0.1), 0.0)

    def test_first_requests_do_not_give_a_high_rate(self):
        meter = demand.ArrivalMeter()
        meter.record("llm", 5.0)
        self.assertEqual(meter.measure_rate("llm", 5.0), 1 / demand.MIN_SPAN_SECONDS)
        self.assertFalse(meter.has_full_window(5.1))
        self.assertTrue(meter.has_full_window(5.0 + demand.WINDOW_SECONDS))


if __name__ == "__main__":
    unittest.main()

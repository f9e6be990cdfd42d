"""Test how the wait of a retrying caller is estimated."""

import doctest
import unittest

from sapphireseam.policy import waiting


class WaitEstimatorTest(unittest.TestCase):
    def test_examples(self):
        self.assertEqual(doctest.testmod(waiting).failed, 0)

    def test_routes_are_estimated_separately(self):
        estimator = waiting.WaitEstimator()
        estimator.update_estimate("slow", 60.0, 0.0)
        self.assertEqual(estimator.update_estimate("quick", 1.0, 0.0), 0.0)

    def test_longest_wait_that_is_no_longer_received_is_forgotten(self):
        estimator = waiting.WaitEstimator()
        estimator.update_estimate("r", 15.0, 0.0)
        later = 2 * waiting.MEMORY_SECONDS
        self.assertEqual(estimator.update_estimate("r", 5.0, later / 2 + 1), 10.0)
        self.assertEqual(estimator.update_estimate("r", 5.0, later + 2), 0.0)


if __name__ == "__main__":
    unittest.main()

"""Test what is learned of callers' patience."""

import doctest
import unittest

from sapphireseam.policy import waiting


class PatienceWatchTest(unittest.TestCase):
    def test_examples(self):
        self.assertEqual(doctest.testmod(waiting).failed, 0)

    def test_routes_are_kept_apart(self):
        watch = waiting.WaitEstimator()
        watch.update_estimate("slow", 60.0, 0.0)
        self.assertEqual(watch.update_estimate("quick", 1.0, 0.0), 0.0)

    def test_a_patience_that_is_heard_no_more_is_forgotten(self):
        watch = waiting.WaitEstimator()
        watch.update_estimate("r", 15.0, 0.0)
        later = 2 * waiting.MEMORY_SECONDS
        self.assertEqual(watch.update_estimate("r", 5.0, later / 2 + 1), 10.0)
        self.assertEqual(watch.update_estimate("r", 5.0, later + 2), 0.0)


if __name__ == "__main__":
    unittest.main()

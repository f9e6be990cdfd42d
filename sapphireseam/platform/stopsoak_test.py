"""Test that a short soak of stops finds no fault."""

import unittest

from sapphireseam.platform import stopsoak
from sapphireseam.utils import loop

SEEDS = (1, 2)


class StopSoakTest(unittest.TestCase):
    def test_a_stop_under_load_leaves_no_request_without_an_answer(self):
        for seed in SEEDS:
            with self.subTest(seed):
                soak = stopsoak.StopSoak(seed)
                loop.run(soak.run())
                self.assertEqual(soak.faults, [])
                self.assertGreater(soak.outcomes["200"], 0)


if __name__ == "__main__":
    unittest.main()

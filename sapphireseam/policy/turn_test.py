"""Test the order in which received bytes are parsed, with loads that cost much."""

import unittest

from sapphireseam.policy import turn

# What a slice of chunks of one byte takes on a slow VM, in seconds.
SLICE_SECONDS = 0.0009


class TurnTest(unittest.TestCase):
    def test_a_small_request_waits_for_no_second_slice_of_sixty_bodies(self):
        turns = turn.TurnQueue()
        for number in range(60):
            turns.add(number, turn.SLICE_BYTES)
        turns.add("small", 0)
        self.assertEqual(turns.take(), "small")

    def test_expensive_slices_end_a_step_early(self):
        turns = turn.TurnQueue()
        for number in range(60):
            turns.add(number, 0)
        parsed = []
        for _ in range(3):
            turns.begin_step()
            while (item := turns.take()) is not None:
                parsed.append(item)
                turns.spend(turn.SLICE_BYTES, SLICE_SECONDS)
        self.assertEqual(parsed, list(range(6)))

    def test_a_step_ends_even_if_the_clock_stands(self):
        turns = turn.TurnQueue()
        turns.begin_step()
        while turns.has_room:
            turns.spend(turn.SLICE_BYTES, 0.0)
        turns.add("next", 0)
        self.assertIsNone(turns.take())
        turns.begin_step()
        self.assertEqual(turns.take(), "next")


if __name__ == "__main__":
    unittest.main()

"""Test that the work for one decision doesn't grow with the fleet."""

import unittest
from unittest import mock

from sapphireseam.policy import occupancy, upstreampool
from sapphireseam.tools import bench_allocator


class CostTest(unittest.TestCase):
    def count_scores(self, upstreams):
        """Return how many upstreams are compared for 50 placements."""
        fleet = bench_allocator.Fleet(upstreams)
        fleet.fill(100)
        scored = mock.Mock(wraps=occupancy.compute_score)
        with mock.patch.object(upstreampool, "compute_score", scored):
            for _ in range(50):
                fleet.place(0.0)
        return scored.call_count

    def test_a_hundred_times_the_upstreams_take_at_most_three_times_the_work(self):
        self.assertLessEqual(self.count_scores(2800), 3 * self.count_scores(28))

    def test_what_is_logged_of_the_load_does_not_grow_with_the_fleet(self):
        sizes = []
        for upstreams in (28, 2800):
            fleet = bench_allocator.Fleet(upstreams)
            fleet.fill(100)
            sizes.append(len(str(fleet.allocator.describe("llm"))))
        self.assertLess(sizes[1], 2 * sizes[0])


if __name__ == "__main__":
    unittest.main()

"""Test what upstreams get from entries that place alone, in simulated time."""

import statistics
import unittest

from sapphireseam.tools import bench_evenload
from sapphireseam.tools.bench_evenload import Case


class EvenLoadTest(unittest.TestCase):
    def test_the_benchmark_shows_what_one_order_does(self):
        loads = bench_evenload.play_burst("one order", Case(29, 29), 1)
        self.assertEqual((max(loads.values()), len(loads)), (8, 4))

    def test_spread_entries_fill_the_upstreams_evenly(self):
        for case, each in ((Case(29, 29), 1), (Case(29, 29), 4), (Case(19, 20), 4)):
            loads = bench_evenload.play_burst("spread", case, each)
            even = case.entries * each / case.upstreams
            self.assertLessEqual(max(loads.values()), 1.3 * even)
            self.assertEqual(len(loads), case.upstreams)

    def test_fewer_requests_wait_in_the_second_after_the_loss_of_a_leader(self):
        """Half of the slots are in use, then most; then there is a new leader soon."""
        for load, attach in ((0.5, 0.0), (0.8, 0.0), (0.8, 0.5)):
            means = {}
            for way in ("one order", "spread"):
                case = Case(29, 29, load, attach=attach)
                plays = [
                    bench_evenload.Simulation(way, case, seed).play()
                    for seed in range(4)
                ]
                means[way] = [
                    statistics.fmean(each) for each in zip(*plays, strict=True)
                ]
            with self.subTest(load=load, attach=attach):
                before, after = means["one order"], means["spread"]
                for number in (0, 2, 3, 4):
                    self.assertLess(after[number], before[number])
                if not attach:
                    self.assertEqual(after[1], 0.0)


if __name__ == "__main__":
    unittest.main()

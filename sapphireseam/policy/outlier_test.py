"""Test how long failing upstreams rest, and what their callers get meanwhile."""

import random
import unittest

from hypothesis import given, strategies as st

from sapphireseam.policy import outlier


class OutlierDetectorTest(unittest.TestCase):
    def setUp(self):
        self.detector = outlier.OutlierDetector()

    def report(self, now, source="e1", run="r", **fields):
        return self.detector.record_failure(run, source, now, **fields)

    def test_each_failure_in_a_row_doubles_the_rest(self):
        now = 0.0
        rests = []
        for _ in range(7):
            rests.append(self.report(now))
            now += rests[-1] + 0.11
        self.assertEqual([round(rest, 6) for rest in rests[:3]], [0.0, 0.8, 1.6])
        self.assertAlmostEqual(rests[-1], outlier.MAX_SECONDS)

    def test_failures_during_a_rest_belong_to_it(self):
        self.report(0.0)
        self.report(0.5)
        for number in range(8):
            self.report(0.7, source=f"e{number}")
        self.assertEqual(self.detector.count_failures("r"), 2)

    def test_one_broken_link_is_one_failure(self):
        for now in (0.0, 0.05, 0.09):
            self.report(now)
        self.assertEqual(self.detector.count_failures("r"), 1)

    def test_one_event_that_many_sources_see_is_one_failure(self):
        rests = [self.report(0.01 * n, source=f"e{n}") for n in range(8)]
        self.assertEqual(rests, [0.0] * 8)
        self.assertEqual(self.detector.count_failures("r"), 1)

    def test_a_rare_failure_costs_no_rest(self):
        for now in range(10):
            self.assertEqual(self.report(float(now)), 0.0)
            for _ in range(outlier.FORGIVING_SUCCESSES):
                self.detector.record_success("r")

    def test_refusals_rest_for_a_short_time(self):
        now = 0.0
        for _ in range(9):
            now += self.report(now, is_refusal=True) + 0.2
        rest = self.report(now, is_refusal=True)
        self.assertLess(rest, outlier.MAX_REFUSAL_SECONDS + 1e-6)

    def test_successes_in_a_row_end_it(self):
        self.report(0.0)
        for _ in range(outlier.FORGIVING_SUCCESSES - 1):
            self.detector.record_success("r")
        self.report(1.0)
        self.assertEqual(self.detector.count_failures("r"), 2)
        for _ in range(outlier.FORGIVING_SUCCESSES):
            self.detector.record_success("r")
        self.assertEqual(self.detector.count_failures("r"), 0)

    def test_nobody_rests_while_many_fail(self):
        for now in (0.0, 0.5):
            for number in range(6):
                self.report(now, run=f"r{number}")
        runs = {f"r{number}" for number in range(6)}
        self.assertEqual(self.detector.choose_returning(runs, 20, 0.6), runs)
        self.assertEqual(self.detector.choose_returning(runs, 24, 0.6), set())
        self.assertEqual(self.detector.choose_returning(runs, 24, 1.4), runs)

    @given(st.lists(st.tuples(st.floats(0.0, 5.0), st.booleans()), max_size=60))
    def test_every_rest_ends(self, steps):
        detector = outlier.OutlierDetector()
        now = 0.0
        for pause, is_refusal in steps:
            now += pause
            rest = detector.record_failure("r", "e", now, is_refusal)
            self.assertLess(rest, outlier.MAX_SECONDS + 1e-6)
            self.assertTrue(detector.may_return("r", now + rest + 1e-6))


class LoadTest(unittest.TestCase):
    """Plays 4 of 20 upstreams that fail every second request, for 10 seconds."""

    FAILING = 4
    TOTAL = 20

    def count_failed(self, has_rests):
        """Return how many requests fail if the least used upstream gets the next."""
        rng = random.Random(1)
        detector = outlier.OutlierDetector()
        ejected = set()
        served = dict.fromkeys(range(self.TOTAL), 0)
        failed = 0
        for step in range(4000):
            now = step / 400
            if step % 160 == 0:
                returning = {
                    int(run)
                    for run in detector.choose_returning(
                        map(str, ejected), self.TOTAL, now
                    )
                }
                ejected -= returning if has_rests else set(ejected)
            chosen = min(served.keys() - ejected, key=lambda each: (served[each], each))
            if chosen < self.FAILING and rng.random() < 0.5:
                failed += 1
                ejected.add(chosen)
                detector.record_failure(str(chosen), f"e{step}", now)
            else:
                served[chosen] += 1
                detector.record_success(str(chosen))
        return failed

    def test_rests_halve_the_failed_requests_at_least(self):
        self.assertLess(self.count_failed(True), self.count_failed(False) / 2)


if __name__ == "__main__":
    unittest.main()

"""Tests the computation of the measures from the load reports."""

import unittest

from sapphireseam.tools import bench_comparison, engine, layout


def make_report(p99: float, worst: float = 1.0, false_refusals: int = 0) -> dict:
    limit = {"false_refusals": false_refusals, "over_admission": 0.0}
    return {
        "latencies": {bench_comparison.FIRST_TOKEN: {"p99": p99}},
        "customers": {"a": {"limit": limit}, "b": {"limit": limit}},
        "batch": {
            "tokens_per_second": 50.0,
            "batch_tokens_per_second": 30.0,
            "jobs_late": 1,
        },
        "worst_of_fair_share": worst,
        "faults": 2,
    }


class MeasureTest(unittest.TestCase):
    def test_row_and_summary(self):
        reports = (make_report(100.0), make_report(150.0, 0.9, 3))
        row = bench_comparison.make_row("policy", 1, 100.0, *reports)
        self.assertEqual((row.used, row.harm, row.worst), (0.5, 1.5, 0.9))
        self.assertEqual((row.false_refusals, row.faults), (6, 4))
        other = row._replace(seed=2, harm=1.1)
        lines = {line[0]: line[1:] for line in bench_comparison.summarize([row, other])}
        self.assertEqual(lines["policy harm"], [1.3, 1.1, 1.5])

    def test_capacity_counts_engines_only(self):
        speeds = engine.Speeds(max_running=10, step_base=0.05, step_per_sequence=0.005)
        shape = layout.SHANNONSIDE
        self.assertAlmostEqual(bench_comparison.compute_capacity(shape, speeds), 500.0)

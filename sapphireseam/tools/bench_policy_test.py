"""Tests that the policies stay within their bounds in the simulations.

They use simulated time and a fixed seed, so the figures never vary.
"""

import unittest
from random import Random

from sapphireseam.tools import bench_engine, bench_limit, bench_policy

SECONDS = 60.0
FIRST_COME, FAIR_FIXED, ADAPTIVE, TAIL = bench_policy.POLICIES


class EngineTest(unittest.TestCase):
    def run_both(self, policy, load):
        shares = {f"c{each}": 1.0 for each in range(load.customers)}
        arrivals = bench_engine.make_arrivals(Random(1), load, shares, SECONDS)
        runs = [
            bench_policy.run_engine(policy, load, 1, arrivals, batch, SECONDS)
            for batch in (False, True)
        ]
        idle = bench_policy.find_capacity(load, 1, SECONDS) * runs[1].seconds
        idle -= runs[1].online_tokens
        waits = bench_policy.find_quantile(runs[1].first_token_waits, 0.99)
        return runs[1].batch_tokens / idle, waits

    def test_batch_fills_idle_capacity_and_online_waits_less_than_with_baselines(self):
        for name, load in bench_policy.LOADS.items():
            with self.subTest(load=name):
                _, first_come = self.run_both(FIRST_COME, load)
                _, fixed = self.run_both(FAIR_FIXED, load)
                share, adaptive = self.run_both(ADAPTIVE, load)
                self.assertGreater(share, 0.85)
                self.assertLess(adaptive, fixed)
                self.assertLess(adaptive, first_come / 2.0)

    def test_worst_served_customer_gets_its_share_beside_a_greedy_one(self):
        for name in ("Shannonside", "Bureau"):
            load = bench_policy.LOADS[name]
            with self.subTest(load=name):
                served = bench_policy.measure_fairness(ADAPTIVE, load, 1, SECONDS)
                self.assertGreaterEqual(served, 0.95)


class LimitTest(unittest.TestCase):
    def test_steady_customer_has_no_false_refusals_and_no_over_admission(self):
        for entries in (2, 8):
            for demand in (0.5, 0.9):
                case = bench_limit.Case(
                    "allowance", entries, demand, 16.0, True, False, False
                )
                with self.subTest(case=case):
                    outcome = bench_limit.Simulation(case, 1, 30.0).run()
                    self.assertEqual(outcome.false_refusals, 0)
                    self.assertEqual(outcome.over_admission, 0.0)
                    self.assertLess(outcome.messages, outcome.requests / 2.0)

    def test_no_over_admission_after_an_owner_change_and_lost_entries(self):
        case = bench_limit.Case("allowance", 4, 10.0, 16.0, True, True, True)
        self.assertEqual(
            bench_limit.Simulation(case, 1, 40.0).run().over_admission, 0.0
        )

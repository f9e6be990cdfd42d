"""Test that retries stay within their budget and the caller's deadline."""

import random
import unittest

from hypothesis import given, settings, strategies as st

from sapphireseam.policy import retry

OPTIONS = {"derandomize": True, "deadline": None, "database": None}


class BudgetTest(unittest.TestCase):
    @settings(max_examples=200, **OPTIONS)
    @given(
        steps=st.lists(
            st.tuples(st.integers(0, 5), st.integers(0, 10), st.floats(0.0, 20.0)),
            max_size=60,
        )
    )
    def test_retries_are_a_share_of_requests_and_a_minimum(self, steps):
        budget = retry.RetryBudget(ratio=0.2, minimum=2.0)
        planner = retry.Planner(random.Random(1))
        now, requests, retries = 0.0, 0, 0
        for arrived, failed, pause in steps:
            for _ in range(arrived):
                budget.record(now)
            requests += arrived
            for _ in range(failed):
                delay = planner.plan(1, now, now + 60.0, budget)
                retries += delay is not None
            quiet = 2.0 * (1.0 + now / retry.BUDGET_SECONDS)
            self.assertLessEqual(retries, 0.2 * requests + quiet + 1e-6)
            now += pause

    def test_nothing_is_retried_past_the_deadline_or_the_last_attempt(self):
        budget = retry.RetryBudget(minimum=1e9)
        planner = retry.Planner(random.Random(1))
        for attempt in range(1, retry.MAX_ATTEMPTS):
            for _ in range(200):
                delay = planner.plan(attempt, 10.0, 10.02, budget)
                self.assertTrue(delay is None or 0.0 <= delay < 0.02)
        self.assertIsNone(planner.plan(retry.MAX_ATTEMPTS, 0.0, 99.0, budget))

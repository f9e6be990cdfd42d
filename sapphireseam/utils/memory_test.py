"""Test how the bytes that a process may buffer are shared."""

import unittest

from hypothesis import HealthCheck, given, settings, strategies as st

from sapphireseam.core import error
from sapphireseam.utils import memory


class MemoryBudgetTest(unittest.TestCase):
    # The health check measures the speed of the machine.
    @settings(
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 60))))
    def test_the_sum_stays_below_twice_the_limit(self, changes):
        limit = memory.MemoryBudget(100)
        shares = [limit.open() for _ in range(10)]
        sizes = [0] * 10
        for number, growth in changes:
            try:
                shares[number].resize(sizes[number] + growth)
                sizes[number] += growth
            except memory.BudgetError:
                shares[number].close()
                sizes[number] = 0
            self.assertLess(sum(sizes), 200)

    def test_a_small_buffer_grows_beside_a_large_one(self):
        limit = memory.MemoryBudget(100)
        large, small = limit.open(), limit.open()
        large.resize(100)
        small.resize(50)
        with self.assertRaises(memory.BudgetError):
            large.resize(101)
        large.close()
        small.resize(100)

    def test_stalled_bodies_are_evicted_and_the_sum_stays_bounded(self):
        evicted = []
        budget = memory.MemoryBudget(100, lambda: 10.0)
        for number in range(9):
            share = budget.open(lambda number=number: evicted.append(number))
            share.resize(11)
        small = budget.open()
        small.resize(5)
        self.assertEqual(len(evicted), 1)
        # What was evicted counts until its owner has let it go.
        self.assertEqual(budget.used_bytes, 104)
        large = budget.open()
        with self.assertRaises(memory.BudgetError):
            large.resize(50)

    def test_a_vm_without_enough_memory_is_found_at_the_start(self):
        with self.assertRaises(error.SettingsError):
            memory.make_budget(20, lambda: 0.0)


if __name__ == "__main__":
    unittest.main()

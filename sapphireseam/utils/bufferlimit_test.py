"""Test how the bytes that a process may buffer are shared."""

import unittest

from hypothesis import HealthCheck, given, settings, strategies as st

from sapphireseam.utils import bufferlimit


class BufferLimitTest(unittest.TestCase):
    # The health check measures the speed of the machine.
    @settings(
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 60))))
    def test_the_sum_stays_below_twice_the_limit(self, changes):
        limit = bufferlimit.BufferLimit(100)
        shares = [limit.open() for _ in range(10)]
        sizes = [0] * 10
        for number, growth in changes:
            try:
                shares[number].resize(sizes[number] + growth)
                sizes[number] += growth
            except bufferlimit.BufferLimitError:
                shares[number].close()
                sizes[number] = 0
            self.assertLess(sum(sizes), 200)

    def test_a_small_buffer_grows_beside_a_large_one(self):
        limit = bufferlimit.BufferLimit(100)
        large, small = limit.open(), limit.open()
        large.resize(100)
        small.resize(50)
        with self.assertRaises(bufferlimit.BufferLimitError):
            large.resize(101)
        large.close()
        small.resize(100)


if __name__ == "__main__":
    unittest.main()

"""Test whose bytes and connections go, with the loads of clients that misbehave."""

import unittest

from sapphireseam.policy import eviction
from sapphireseam.policy.eviction import Holder

NOW = 100.0
MEBIBYTE = 1024 * 1024


def stalled(key, size, missing=1):
    return Holder(key, size, NOW - eviction.STALL_SECONDS, missing)


class ChooseTest(unittest.TestCase):
    def test_bodies_that_stop_short_of_their_end_go_before_one_that_goes_on(self):
        holders = [stalled(number, 4 * MEBIBYTE) for number in range(5)]
        going_on = Holder("slow", 6 * MEBIBYTE, NOW, 3 * MEBIBYTE)
        chosen = eviction.choose([going_on, *holders], 5 * MEBIBYTE, 4096, NOW)
        self.assertEqual(len(chosen), 2)
        self.assertNotIn("slow", chosen)

    def test_a_small_request_displaces_the_largest_that_goes_on(self):
        holders = [Holder(size, size * MEBIBYTE, NOW, 9 * MEBIBYTE) for size in (1, 3)]
        self.assertEqual(eviction.choose(holders, 100, 4096, NOW), [3])

    def test_an_ordinary_request_stays_beside_many_that_are_nearly_whole(self):
        ordinary = Holder("ordinary", 24 * 1024, NOW, 2000)
        nearly = Holder("nearly", 4 * MEBIBYTE, NOW, 1)
        self.assertEqual(
            eviction.choose([ordinary, nearly], 16_384, 16_384, NOW), ["nearly"]
        )
        self.assertEqual(eviction.choose([ordinary], 16_384, 16_384, NOW), [])

    def test_a_request_that_is_nearly_whole_goes_after_the_others(self):
        nearly = Holder("nearly", 4 * MEBIBYTE, NOW, 4096)
        far = Holder("far", MEBIBYTE, NOW, MEBIBYTE)
        self.assertEqual(eviction.choose([nearly, far], 100, 4096, NOW), ["far"])

    def test_a_large_request_displaces_no_smaller_ones(self):
        holders = [Holder(number, 4096, NOW) for number in range(900)]
        self.assertEqual(eviction.choose(holders, 4096, MEBIBYTE, NOW), [])

    def test_nobody_goes_if_that_would_not_be_enough(self):
        self.assertEqual(eviction.choose([stalled(1, 4096)], MEBIBYTE, 9, NOW), [])


class ConnectionLimitTest(unittest.TestCase):
    def test_silent_crowds_displace_no_caller_even_in_one_moment(self):
        limit = eviction.ConnectionLimit(100)
        for number in range(1000):
            limit.add(number)
        limit.begin(0)
        self.assertEqual(limit.trim(), list(range(1, 901)))
        limit.rest(0)
        limit.begin(0)
        self.assertEqual((limit.count, limit.trim()), (100, []))

    def test_idle_connections_go_in_the_order_in_which_they_became_idle(self):
        limit = eviction.ConnectionLimit(2)
        limit.add("a")
        limit.add("b")
        limit.begin("a")
        limit.rest("a")
        self.assertTrue(limit.add("c"))
        self.assertEqual(limit.trim(), ["b"])

    def test_a_new_connection_goes_if_all_have_requests(self):
        limit = eviction.ConnectionLimit(1)
        limit.add("a")
        limit.begin("a")
        limit.add("b")
        self.assertEqual(limit.trim(), ["b"])


if __name__ == "__main__":
    unittest.main()

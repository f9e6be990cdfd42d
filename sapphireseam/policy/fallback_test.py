"""Test which requests are admitted while the limits have no owner."""

import random
import unittest

from hypothesis import given, settings, strategies as st

from sapphireseam.core import error, fleet
from sapphireseam.policy import fallback

SLACK = fallback.Slack(20, 0.1, 5.0)
CONTRACT = fleet.Contract(22.0, 22.0)


def simulate(limiters, seconds, step=0.01):
    """Return the number of requests granted to a customer that keeps sending."""
    granted = 0
    for tick in range(int(seconds / step)):
        for limiter in limiters:
            wait = limiter.spend("c", CONTRACT, len(limiters), tick * step)
            granted += wait == 0.0
    return granted


class FallbackLimiterTest(unittest.TestCase):
    def test_all_processes_together_stay_within_rate_and_slack(self):
        for count in (1, 2, 8, 28):
            limiters = [fallback.FallbackLimiter(SLACK) for _ in range(count)]
            granted = simulate(limiters, 5.0)
            allowed = CONTRACT.rate * 5.0 + SLACK.compute_requests(CONTRACT)
            self.assertLessEqual(granted, allowed, count)

    def test_a_customer_within_its_rate_is_rarely_refused_for_a_second(self):
        limiters = [fallback.FallbackLimiter(SLACK) for _ in range(8)]
        sent = granted = 0
        for tick in range(14):
            sent += 1
            limiter = limiters[tick % 8]
            granted += limiter.spend("c", CONTRACT, 8, tick / 14) == 0.0
        self.assertGreaterEqual(granted, 0.95 * sent)

    def use(self, limiters, shares, seconds=10.0):
        """Let the owner grant the customer's whole rate, unevenly over processes."""
        debt = [0.0] * len(limiters)
        step = 0.01
        for tick in range(int(seconds / step)):
            for number, share in enumerate(shares):
                debt[number] += share * CONTRACT.rate * step
                if debt[number] >= 1.0:
                    debt[number] -= 1.0
                    limiters[number].record_use("c", tick * step)
        return seconds

    def test_uneven_callers_go_on_while_the_limits_have_no_owner(self):
        """Two of 29 processes have all requests; an election takes 1.3 seconds."""
        served = {}
        for by_use in (False, True):
            rng = random.Random(5)
            limiters = [fallback.FallbackLimiter(SLACK, by_use, rng) for _ in range(29)]
            shares = [0.5, 0.5] + [0.0] * 27
            begin = self.use(limiters, shares)
            sent = granted = 0
            for tick in range(int(1.3 * CONTRACT.rate)):
                now = begin + tick / CONTRACT.rate
                wait = limiters[tick % 2].spend("c", CONTRACT, 29, now, begin)
                sent += 1
                granted += wait == 0.0
            served[by_use] = granted / sent
        self.assertLess(served[False], 0.3)
        self.assertGreater(served[True], 0.6)

    def test_small_parts_are_used_in_sum(self):
        """88 customers send one request each to some of 29 processes."""
        rng = random.Random(3)
        granted = {}
        for by_use in (False, True):
            limiters = [fallback.FallbackLimiter(SLACK, by_use, rng) for _ in range(29)]
            waits = [
                rng.choice(limiters).spend(f"c{customer}", CONTRACT, 29, 0.0)
                for customer in range(88)
                for _ in range(5)
            ]
            granted[by_use] = waits.count(0.0) / len(waits)
        self.assertEqual(granted[False], 0.0)
        self.assertGreater(granted[True], 0.5)

    @settings(max_examples=25, deadline=None)
    @given(st.lists(st.floats(0.0, 1.0), min_size=1, max_size=29))
    def test_grants_by_use_stay_within_rate_and_slack(self, shares):
        total = sum(shares) or 1.0
        rng = random.Random(7)
        limiters = [fallback.FallbackLimiter(SLACK, True, rng) for _ in shares]
        begin = self.use(limiters, [share / total for share in shares], 2.0)
        granted = 0
        for tick in range(500):
            for limiter in limiters:
                now = begin + tick / 100
                wait = limiter.spend("c", CONTRACT, len(shares), now, begin)
                granted += wait == 0.0
        allowed = CONTRACT.rate * 5.0 + SLACK.compute_requests(CONTRACT)
        self.assertLessEqual(granted, allowed)

    def test_each_time_without_an_owner_keeps_within_the_slack(self):
        """Each of 200 processes gets one request in each of two elections."""
        for by_use in (False, True):
            rng = random.Random(9)
            limiters = [
                fallback.FallbackLimiter(SLACK, by_use, rng) for _ in range(200)
            ]
            for begin in (0.0, 100.0):
                waits = [
                    limiter.spend("c", CONTRACT, 200, begin + 0.1, begin)
                    for limiter in limiters
                ]
                with self.subTest(by_use=by_use, begin=begin):
                    allowed = SLACK.compute_requests(CONTRACT)
                    self.assertLessEqual(waits.count(0.0), allowed)

    def test_smallest_rate_is_refused_with_a_wait_that_can_be_sent(self):
        limiter = fallback.FallbackLimiter(SLACK._replace(requests=0.0))
        waits = [limiter.spend("c", fleet.Contract(5e-324, 1.0), 3, 0.0) for _ in "ab"]
        failure = error.CapacityError("limited", retry_after=waits[1])
        self.assertEqual(failure.retry_after, error.MAX_RETRY_AFTER_SECONDS)

    def test_a_refusal_returns_the_time_until_a_request_is_admitted(self):
        limiter = fallback.FallbackLimiter(SLACK)
        now = 0.0
        while (wait := limiter.spend("c", CONTRACT, 8, now)) == 0.0:
            pass
        self.assertEqual(limiter.spend("c", CONTRACT, 8, now + wait + 1e-6), 0.0)


if __name__ == "__main__":
    unittest.main()

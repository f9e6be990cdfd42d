"""Test which requests are admitted while the limits have no owner."""

import unittest

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

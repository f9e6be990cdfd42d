"""Tests the client-side checks of limits and shares, and encoded histograms."""

import unittest

from hdrh.histogram import HdrHistogram
from hypothesis import given, settings, strategies as st

from sapphireseam.tools import check, check_test, client, measure, plan

settings.register_profile("repo", derandomize=True, deadline=None, database=None)
settings.load_profile("repo")

RATE = 10.0
BURST = 5.0
CUSTOMER = plan.Customer("c", RATE, BURST, 1.0, {})

# Gap before each request and delay of the admission decision on it, in seconds.
ARRIVALS = st.lists(
    st.tuples(st.floats(0, 0.3), st.floats(0, measure.LIMIT_SLACK)), max_size=80
)


def limit(arrivals, rate, burst):
    """Return the outcomes of a fleet that enforces the given rate and burst."""
    request = check_test.make_request("oak")
    sent = 0.0
    decisions = []
    for gap, delay in arrivals:
        sent += gap
        decisions.append((sent + delay, sent))
    bucket = measure.Bucket(rate, burst)
    outcomes = []
    for decided, sent in sorted(decisions):
        reply = client.Reply(sent, sent, sent)
        if bucket.compute_level(decided) >= 1:
            bucket.debit(decided)
            outcomes.append(
                check.Outcome(request, reply._replace(status=200), check.Verdict.RIGHT)
            )
        else:
            refusal = reply._replace(status=429, code="rate_limited")
            outcomes.append(check.Outcome(request, refusal, check.Verdict.REFUSED))
    return outcomes


class LimitTest(unittest.TestCase):
    @given(ARRIVALS)
    def test_exact_limit_has_no_findings(self, arrivals):
        found = measure.check_limit(CUSTOMER, limit(arrivals, RATE, BURST))
        self.assertEqual((found.false_refusals, found.over_admission), (0, 0.0))

    def test_twice_the_rate_is_over(self):
        arrivals = [(0.02, 0.0)] * 200
        found = measure.check_limit(CUSTOMER, limit(arrivals, 2 * RATE, BURST))
        self.assertGreater(found.over_admission, 10)

    def test_twice_the_burst_is_over(self):
        found = measure.check_limit(CUSTOMER, limit([(0.0, 0.0)] * 20, RATE, 2 * BURST))
        self.assertGreaterEqual(found.over_admission, BURST - 1)

    def test_half_the_rate_refuses_falsely(self):
        arrivals = [(0.11, 0.0)] * 200
        found = measure.check_limit(CUSTOMER, limit(arrivals, RATE / 2, BURST))
        self.assertGreater(found.false_refusals, 50)


class ShareTest(unittest.TestCase):
    @given(ARRIVALS)
    def test_exactly_limited_customer_gets_its_whole_demand(self, arrivals):
        arrivals = [(gap, 0.0) for gap, _ in arrivals]
        outcomes = limit(arrivals, RATE, BURST)
        item = measure.summarize_customer(CUSTOMER, outcomes, 10.0)
        self.assertEqual(item["tokens_demanded"], item["tokens_served"])

    def test_worst_share_is_zero_if_a_customer_got_nothing(self):
        customers = {
            "served": {"tokens_demanded": 10, "tokens_served": 10},
            "starved": {"tokens_demanded": 10, "tokens_served": 0},
            "silent": {"tokens_demanded": 0, "tokens_served": 0},
        }
        self.assertEqual(measure.add_shares(customers), 0.0)
        self.assertEqual(customers["served"]["of_fair_share"], 2.0)
        self.assertIsNone(customers["silent"]["of_fair_share"])
        customers["served"]["tokens_served"] = 0
        self.assertEqual(measure.add_shares(customers), 0.0)
        self.assertEqual(customers["served"]["of_fair_share"], 0.0)

    @given(
        st.dictionaries(st.text(max_size=3), st.floats(0, 100), min_size=1),
        st.floats(0, 500),
    )
    def test_fair_shares(self, demands, capacity):
        shares = measure.compute_fair_shares(demands, capacity)
        given_out = sum(shares.values())
        self.assertAlmostEqual(given_out, min(capacity, sum(demands.values())), 6)
        most = max(shares.values())
        for name, share in shares.items():
            # A customer with less than the largest share gets its whole demand.
            self.assertTrue(share >= most - 1e-6 or share >= demands[name] - 1e-6)


class LatencyTest(unittest.TestCase):
    def test_encoded_histogram_gives_the_same_percentiles(self):
        latency = measure.Latency()
        for number in range(1, 1001):
            latency.add(number / 1000)
        document = latency.render()
        decoded = HdrHistogram.decode(document["hdr"])
        self.assertEqual(decoded.get_total_count(), 1000)
        value = decoded.get_value_at_percentile(99) / measure.MICROSECONDS_PER_SECOND
        self.assertAlmostEqual(value * 1000, document["p99"], 3)
        self.assertAlmostEqual(document["p50"], 500, delta=1)

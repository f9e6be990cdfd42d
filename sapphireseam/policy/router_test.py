"""Test that routers avoid forbidden replicas and spread the load evenly."""

import random
import unittest
from collections import Counter

from hypothesis import given, settings, strategies as st

from sapphireseam.policy import router

OPTIONS = {"derandomize": True, "deadline": None, "database": None}
NAMES = ["a", "b", "c", "d"]
CANDIDATES = st.lists(
    st.builds(
        router.Candidate,
        name=st.sampled_from(NAMES),
        failure_domain=st.just("east"),
        distance=st.sampled_from([0.0, 0.001]),
        running=st.integers(0, 9),
        queued=st.integers(0, 9),
        limit=st.integers(1, 9),
        in_flight=st.integers(0, 9),
        in_flight_at_report=st.integers(0, 9),
        reported_at=st.just(0.0),
        latency=st.sampled_from([0.0, 0.1, 9.0]),
        leaving=st.booleans(),
        suspect=st.booleans(),
    ),
    unique_by=lambda each: each.name,
    max_size=4,
)


def make_query(prefix=(), exclude=(), isolate=False):
    return router.Query("north", tuple(prefix), frozenset(exclude), isolate)


def make_replica(name, **fields):
    values = {
        "failure_domain": "east",
        "distance": 0.0,
        "running": 0,
        "queued": 0,
        "limit": 16,
        "in_flight": 0,
        "in_flight_at_report": 0,
        "reported_at": 0.0,
        "latency": 0.1,
        "leaving": False,
        "suspect": False,
    }
    return router.Candidate(name=name, **{**values, **fields})


def send(chooser, replicas, query, sent, now=1.0):
    """Send one request based on the reports (of time 0 by default) and count it."""
    seen = [each._replace(in_flight=sent[each.name]) for each in replicas]
    name = chooser.choose(query, seen, now)
    chooser.record(query, name, now)
    sent[name] += 1
    return name


class ChoiceTest(unittest.TestCase):
    @settings(max_examples=300, **OPTIONS)
    @given(
        candidates=CANDIDATES,
        exclude=st.sets(st.sampled_from(NAMES)),
        held=st.sampled_from(NAMES),
        isolate=st.booleans(),
        kind=st.sampled_from(
            [router.PrefixRouter, router.RoundRobinRouter, router.LeastLoadedRouter]
        ),
    )
    def test_never_a_leaving_or_excluded_one_and_never_none_without_need(
        self, candidates, exclude, held, isolate, kind
    ):
        chooser = kind(random.Random(1))
        chooser.apply_cache_events(held, [1, 2], [], 0.0)
        query = make_query([1, 2], exclude, isolate)
        name = chooser.choose(query, candidates, 1.0)
        allowed = {
            each.name: each
            for each in candidates
            if not each.leaving and each.name not in exclude
        }
        if name is None:
            self.assertFalse(allowed)
            return
        self.assertIn(name, allowed)
        trusted = [each for each in allowed.values() if not each.suspect]
        self.assertFalse(allowed[name].suspect and trusted)


class SpreadTest(unittest.TestCase):
    def measure_spread(self, prefixes, entries=16, requests=20, replicas=8):
        """Return the busiest replica's load over the mean load, with stale reports."""
        loads = Counter()
        names = [f"r{each}" for each in range(replicas)]
        fleet = [
            make_replica(name, running=each % 2) for each, name in enumerate(names)
        ]
        for entry in range(entries):
            chooser = router.PrefixRouter(random.Random(entry))
            sent = Counter()
            for number in range(requests):
                prefix = prefixes[number % len(prefixes)]
                loads[send(chooser, fleet, make_query(prefix), sent)] += 1
        return max(loads.values()) * replicas / (entries * requests)

    def test_no_herd_to_replicas_that_are_idle_in_a_stale_report(self):
        self.assertLess(self.measure_spread([()]), 1.5)
        self.assertLess(self.measure_spread([()], entries=400, requests=1), 2.2)

    def test_one_hot_prefix_spreads_once_its_holder_is_loaded(self):
        chooser, sent = router.PrefixRouter(random.Random(1)), Counter()
        fleet = [make_replica(f"r{each}") for each in range(4)]
        for _ in range(64):
            send(chooser, fleet, make_query([7]), sent)
        self.assertLessEqual(max(sent.values()), 24)

    def test_prefix_goes_to_its_holder_while_that_has_room(self):
        chooser, sent = router.PrefixRouter(random.Random(1)), Counter()
        fleet = [make_replica(f"r{each}") for each in range(4)]
        chooser.apply_cache_events("r2", [5, 6], [], 0.0)
        names = {send(chooser, fleet, make_query([5, 6]), sent) for _ in range(8)}
        self.assertEqual(names, {"r2"})

    def test_entries_agree_on_a_new_prefix(self):
        fleet = [make_replica(f"r{each}") for each in range(8)]
        names = {
            send(
                router.PrefixRouter(random.Random(seed)),
                fleet,
                make_query([9]),
                Counter(),
            )
            for seed in range(8)
        }
        self.assertEqual(len(names), 1)

    def test_slow_replica_is_avoided_and_still_probed(self):
        chooser, counts = router.PrefixRouter(random.Random(1)), Counter()
        fleet = [
            make_replica("slow", latency=5.0),
            make_replica("a"),
            make_replica("b"),
        ]
        for _ in range(2000):
            counts[chooser.choose(make_query(), fleet, 1.0)] += 1
        self.assertTrue(0 < counts["slow"] < 100, counts)

    def test_state_of_a_replaced_replica_is_dropped(self):
        chooser, sent = router.PrefixRouter(random.Random(1)), Counter()
        for day in range(50):
            fleet = [make_replica(f"r{day}")]
            send(chooser, fleet, make_query([1, 2]), sent, now=100.0 * day)
        held = chooser._holder_index._holders
        self.assertLessEqual(max(len(names) for names in held.values()), 2)
        for state in (chooser._smoothed_loads, chooser._seen, chooser._last_choices):
            self.assertLessEqual(len(state), 2)

    def test_far_domain_serves_once_the_near_one_is_full(self):
        chooser = router.PrefixRouter(random.Random(1))
        far = make_replica("far", distance=0.002)
        near = make_replica("near", distance=0.001)
        full = near._replace(running=16)
        self.assertEqual(chooser.choose(make_query(), [far, near], 1.0), "near")
        self.assertEqual(chooser.choose(make_query(), [far, full], 1.0), "far")

    def test_distance_and_wait_are_compared_in_seconds(self):
        def choose(*fleet):
            chooser = router.PrefixRouter(random.Random(1))
            chooser.apply_cache_events("near", [7], [], 0.0)
            chooser.apply_cache_events("far", [7], [], 0.0)
            return chooser.choose(query, fleet, 1.0)

        near = make_replica("near", limit=8, running=4)
        far = make_replica("far", limit=8, distance=0.001)
        remote = far._replace(distance=0.5)
        for prefix in ((), (7,)):
            query = make_query(prefix)
            with self.subTest(prefix=prefix):
                self.assertEqual(choose(near, far), "far")
                self.assertEqual(choose(near, remote), "near")
                idle = near._replace(running=0)
                self.assertEqual(choose(idle, far), "near")

    def test_burst_spreads_over_domains_a_millisecond_apart(self):
        """Between two reports, two entries send half as much as the fleet can run."""
        names = ["a1", "b1", "c1", "a2", "b2"]
        for seed in range(20):
            sent = Counter()
            for domain in "ab":
                chooser = router.PrefixRouter(random.Random(f"{seed}{domain}"))
                entry_sent = Counter()
                fleet = [
                    make_replica(name, limit=8, distance=0.001 * (name[0] != domain))
                    for name in names
                ]
                for _ in range(10):
                    send(chooser, fleet, make_query(), entry_sent)
                sent += entry_sent
            self.assertLessEqual(max(sent.values()), 6, sent)
            self.assertGreaterEqual(min(sent[name] for name in names), 2, sent)

    def test_one_entry_fills_equal_replicas_evenly(self):
        """The numbers of requests at two replicas never differ by more than one."""
        for seed in range(20):
            chooser, sent = router.PrefixRouter(random.Random(seed)), Counter()
            fleet = [make_replica(f"r{each}", limit=8) for each in range(9)]
            for _ in range(63):
                send(chooser, fleet, make_query(), sent)
                counts = [sent[each.name] for each in fleet]
                self.assertLessEqual(max(counts) - min(counts), 1, counts)

    def test_late_report_of_a_short_burst_does_not_divert_requests(self):
        chooser, sent = router.PrefixRouter(random.Random(1)), Counter()
        early = [make_replica(f"r{each}", limit=16, running=2) for each in range(4)]
        for _ in range(8):
            send(chooser, early, make_query(), sent)
        late = [each._replace(reported_at=0.25) for each in early]
        late[0] = late[0]._replace(running=8)
        for _ in range(8):
            send(chooser, late, make_query(), sent)
        self.assertGreaterEqual(sent["r0"], 3, sent)

    def test_lasting_load_diverts_requests(self):
        chooser, sent = router.PrefixRouter(random.Random(1)), Counter()
        for number in range(40):
            fleet = [
                make_replica(f"r{each}", limit=8, reported_at=0.25 * number)
                for each in range(4)
            ]
            fleet[0] = fleet[0]._replace(running=6 if number else 0)
            chooser.choose(make_query(), fleet, 0.25 * number)
        for _ in range(12):
            send(chooser, fleet, make_query(), sent)
        self.assertEqual(sent["r0"], 0, sent)

    def test_own_requests_in_a_report_count_once(self):
        chooser = router.PrefixRouter(random.Random(1))
        own = make_replica("own", running=4, in_flight=4, in_flight_at_report=4)
        ended = own._replace(name="ended", in_flight=1)
        self.assertAlmostEqual(chooser.estimate_load(own), 4 / 16)
        self.assertAlmostEqual(chooser.estimate_load(ended), 1 / 16)

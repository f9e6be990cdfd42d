"""Test who is cold, and that no second has more requests than a cold upstream takes."""

import unittest

from hypothesis import given, settings, strategies as st

from sapphireseam.core.fleet import Service
from sapphireseam.core.instance import Instance, get_run_name
from sapphireseam.policy import allocator, coldstart

FAST = settings(derandomize=True, deadline=None, database=None, max_examples=60)
SERVICES = {"llm": Service(cold_rate=20.0, cold_seconds=3.0), "store": Service()}
STEP = 0.01
ENTRIES = 19


def make_instance(name, domain="z", service="llm", born=1):
    return Instance(name, service, "10.0.0.1:80", domain, 8, born=born)


def make_request(key, now, wait=0.0):
    return allocator.SlotRequest(key, "llm", "c", 0, "z", now, now + wait)


A, B = make_instance("a"), make_instance("b", "y")


class ColdTrackerTest(unittest.TestCase):
    def setUp(self):
        self.tracker = coldstart.ColdTracker()

    def record(self, instances, now, **left):
        self.tracker.record_list(
            instances, {f"{name}/1": each for name, each in left.items()}, SERVICES, now
        )

    def list_cold(self, now):
        self.tracker.expire(now)
        return {each.upstream for each in self.tracker.read_cold().values()}

    def test_the_first_list_makes_only_those_cold_that_it_calls_so(self):
        self.record((A, B), 0.0, a=2.0)
        self.assertEqual(self.list_cold(1.9), {"a"})
        self.assertEqual(self.list_cold(2.0), set())

    def test_a_run_that_is_new_and_unknown_is_cold_for_a_start(self):
        self.record((A,), 0.0)
        again, other = A._replace(born=2), make_instance("s", service="store")
        self.record((again, B, other), 1.0, b=0.0)
        self.assertEqual(self.list_cold(3.9), {"a"})
        self.assertEqual(self.list_cold(4.0), set())
        self.tracker.begin()
        self.record((make_instance("c"),), 5.0)
        self.assertEqual(self.list_cold(5.0), set())

    def test_a_late_list_neither_ends_nor_moves_what_was_said(self):
        self.tracker.record_answer(A, 3.0, SERVICES, 0.0)
        self.record((A,), 0.5, a=0.0)
        self.record((A,), 1.0, a=2.9)
        self.assertEqual(self.list_cold(2.9), {"a"})
        self.assertEqual(self.list_cold(3.0), set())
        self.record((A,), 4.0, a=3.0)
        self.record((A,), 4.5, a=4.5)
        self.assertEqual(self.list_cold(8.9), {"a"})
        self.tracker.record_answer(A, 0.0, SERVICES, 8.9)
        self.assertEqual(self.list_cold(8.9), set())

    def test_a_domain_that_returns_is_presumed_cold_briefly(self):
        self.record((A, B), 0.0)
        self.tracker.record_returned("y", SERVICES, 1.0)
        self.assertEqual(self.list_cold(2.9), {"b"})
        self.record((A, B), 2.9, b=2.0)
        self.assertEqual(self.list_cold(4.8), {"b"})
        self.assertEqual(self.list_cold(4.9), set())

    def test_a_new_leader_presumes_the_same(self):
        self.tracker.record_returned("y", SERVICES, 1.0)
        self.record((A, B), 2.0)
        self.assertEqual(self.list_cold(2.9), {"b"})
        self.assertEqual(self.list_cold(3.0), set())

    def test_each_end_is_told_once(self):
        self.record((A,), 0.0, a=2.0)
        self.assertEqual(set(self.tracker.list_untold()), {"a/1"})
        self.tracker.mark_told("a/1")
        self.tracker.learn("a", "a/1", 20.0, 2.0, 0.1)
        for now, left in ((0.5, 1.9), (1.0, 1.2)):
            self.record((A,), now, a=left)
            self.assertEqual(self.tracker.list_untold(), {})
        self.record((A,), 1.5, a=3.0)
        self.assertEqual(set(self.tracker.list_untold()), {"a/1"})

    def test_a_former_run_is_forgotten_and_never_told_again(self):
        for is_listed in (True, False):
            with self.subTest(is_listed=is_listed):
                self.tracker = coldstart.ColdTracker()
                self.record((A,), 0.0, a=2.0)
                if is_listed:
                    self.record((A._replace(born=2),), 0.5)
                else:
                    self.tracker.learn("a", "a/2", 20.0, 3.0, 0.5)
                    self.record((A,), 0.6)
                self.assertEqual(set(self.tracker.read_cold()), {"a/2"})
                self.assertNotIn("a/1", self.tracker.list_untold())

    def test_a_later_end_replaces_one_that_another_process_presumed(self):
        for is_told in (True, False):
            with self.subTest(is_told=is_told):
                self.tracker = coldstart.ColdTracker()
                self.tracker.learn("a", "a/1", 20.0, 2.0, 0.0)
                if is_told:
                    self.tracker.learn("a", "a/1", 20.0, 2.9, 0.0)
                else:
                    self.record((A,), 0.0, a=2.9)
                self.assertEqual(self.list_cold(2.8), {"a"})
                self.assertEqual(self.list_cold(2.9), set())

    def test_a_run_that_has_crashed_is_presumed_cold_until_the_next_is_listed(self):
        self.record((A, B), 0.0)
        self.tracker.record_crash("a/1", SERVICES, 1.0)
        self.assertEqual(self.list_cold(0.9 + coldstart.CRASHED_SECONDS), {"a"})
        self.record((A._replace(born=2), B), 2.0)
        self.assertEqual(set(self.tracker.read_cold()), {"a/2"})

    def test_without_a_rate_nothing_is_cold(self):
        store = make_instance("s", service="store")
        self.record((store,), 0.0, s=5.0)
        self.tracker.record_returned("z", SERVICES, 0.0)
        self.tracker.record_answer(store, 5.0, SERVICES, 0.0)
        self.assertEqual(self.list_cold(0.0), set())


def count_most(sent, seconds=1.0):
    """Return the most requests in any window."""
    return max((sum(s <= at < s + seconds for at in sent) for s in sent), default=0)


class AnySecondTest(unittest.TestCase):
    @FAST
    @given(
        st.floats(0.6, 60.0),
        st.lists(
            st.tuples(
                st.sampled_from(["leader", "alone", "same"]),
                st.floats(0.1, 1.2),
                st.integers(1, 400),
                st.booleans(),
            ),
            min_size=1,
            max_size=8,
        ),
    )
    def test_no_second_holds_more_than_the_rate(self, rate, phases):
        """Leaders change and restart; between them all entries place alone."""
        entries = [allocator.SlotAllocator() for _ in range(ENTRIES)]
        now, sent, number, leader = 0.0, [], 0, allocator.SlotAllocator()
        instance = A._replace(slots=400)
        for kind, seconds, load, is_batch in phases:
            if kind == "leader":
                leader = allocator.SlotAllocator()
            leader.drain_ceilings(now)
            placing = entries if kind == "alone" else [leader]
            for each in placing:
                share = 0.0 if kind == "alone" else 1.0
                each.set_cold({get_run_name(instance): rate}, now, share)
                each.update((instance,), now)
            end = now + seconds
            while now < end:
                now += 1 / load
                number += 1
                request = make_request(f"r{number}", now)
                for each in placing:
                    grant = each.place(request, now)
                    if grant is None and is_batch:
                        grant = each.place_batch(request)
                    if isinstance(grant, allocator.Grant):
                        sent.append(now)
                        each.release(request.key, now)
        self.assertLessEqual(count_most(sent), max(rate, 1.0) + 1e-6)


class PreferenceTest(unittest.TestCase):
    def test_equally_loaded_upstreams_come_before_cold_ones(self):
        tested = allocator.SlotAllocator()
        tested.set_cold({"a/1": 20.0}, 0.0)
        tested.update((A, B._replace(domain="z")), 0.0)
        names = [
            tested.place(make_request(f"r{number}", 1.0), 1.0).instance.id
            for number in range(3)
        ]
        self.assertEqual(names, ["b", "a", "b"])


class ReturnTest(unittest.TestCase):
    """A domain of four cold upstreams comes back while eight others are nearly full."""

    RATE, LOAD, SECONDS, SLOT_SECONDS = 20.0, 700.0, 4.0, 0.1

    def play(self, others):
        """Return the sent times by cold upstream, the outcomes and the longest wait."""
        cold = [make_instance(f"c{n}", "y") for n in range(4)]
        warm = [make_instance(f"w{n}") for n in range(others)]
        tested, tracker = allocator.SlotAllocator(), coldstart.ColdTracker()
        tracker.record_list(cold + warm, {}, SERVICES, 0.0)
        tracker.record_returned("y", SERVICES, 0.0)
        tracker.record_list(
            cold + warm, {get_run_name(c): 3.0 for c in cold}, SERVICES, 0.1
        )
        tested.set_cold(tracker.read_rates(), 0.0)
        tested.update((*cold, *warm), 0.0)
        sent = {each.id: [] for each in cold}
        ends, arrived, waits, refused = {}, {}, [], 0
        due = number = 0
        for tick in range(int(self.SECONDS / STEP)):
            now = tick * STEP
            tracker.expire(now)
            grants = tested.set_cold(tracker.read_rates(), now)
            for key in [key for key, end in ends.items() if end <= now]:
                del ends[key]
                grants += tested.release(key, now)
            due += self.LOAD * STEP
            while due >= 1.0:
                due -= 1.0
                number += 1
                arrived[f"r{number}"] = now
                grants.append(tested.place(make_request(f"r{number}", now, 0.18), now))
            grants += tested.expire(now)
            for each in filter(None, grants):
                wait = now - arrived[each.request.key]
                if isinstance(each, allocator.Refusal):
                    refused += 1
                    waits.append(wait if wait > STEP else 0.0)
                    continue
                ends[each.request.key] = now + self.SLOT_SECONDS
                if each.instance.id in sent:
                    sent[each.instance.id].append(now)
        return sent, number, refused, waits

    def test_others_take_what_cold_upstreams_are_spared(self):
        sent, number, refused, _ = self.play(others=10)
        for times in sent.values():
            while_cold = [at for at in times if at < 3.1]
            self.assertLessEqual(count_most(while_cold), self.RATE)
            self.assertGreater(len([at for at in times if at >= 3.1]), self.RATE)
        self.assertLess(refused, 0.02 * number)

    def test_without_others_the_rest_is_refused_at_once(self):
        sent, number, refused, waits = self.play(others=0)
        for times in sent.values():
            while_cold = [at for at in times if at < 3.1]
            self.assertLessEqual(count_most(while_cold), self.RATE)
            self.assertGreater(len(while_cold), 0.8 * 3.1 * self.RATE)
        self.assertGreater(refused, 0.5 * number)
        self.assertGreater(sum(wait == 0.0 for wait in waits), 0.95 * len(waits))


if __name__ == "__main__":
    unittest.main()

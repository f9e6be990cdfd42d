"""Test that no window holds more requests than a ceiling allows."""

import unittest

from hypothesis import given, settings, strategies as st

from sapphireseam.core.instance import Instance
from sapphireseam.policy import allocator, ceiling

FAST = settings(derandomize=True, deadline=None, database=None, max_examples=100)
WINDOW_SECONDS = 4.0


class CeilingBucketTest(unittest.TestCase):
    @FAST
    @given(
        st.floats(0.5, 50.0),
        st.lists(st.tuples(st.floats(0.0, 0.5), st.integers(1, 20)), max_size=60),
    )
    def test_no_window_exceeds_the_rate_by_more_than_the_bucket(self, rate, arrivals):
        bucket, now, sent = ceiling.CeilingBucket(rate, 0.0), 0.0, []
        for pause, count in arrivals:
            now += pause
            for _ in range(count):
                if bucket.can_take(now):
                    bucket.take(now)
                    sent.append(now)
        burst = max(ceiling.BURST_SECONDS * rate, ceiling.MIN_BURST)
        for begin in sent:
            count = sum(begin <= at < begin + WINDOW_SECONDS for at in sent)
            self.assertLessEqual(count, rate * WINDOW_SECONDS + burst + 1e-6)

    def test_batch_work_leaves_a_request_for_online_work(self):
        bucket = ceiling.CeilingBucket(2.0, 0.0)
        self.assertFalse(bucket.can_take(0.9, is_batch=True))
        self.assertTrue(bucket.can_take(1.0, is_batch=True))
        bucket.take(1.0)
        self.assertTrue(bucket.can_take(1.0))
        self.assertFalse(bucket.can_take(1.0, is_batch=True))


def make_request(key, now, wait=0.0):
    return allocator.SlotRequest(key, "llm", "c", 0, "z", now, now + wait)


class AllocatorTest(unittest.TestCase):
    def setUp(self):
        self.allocator = allocator.SlotAllocator()
        self.instances = tuple(
            Instance(name, "llm", "10.0.0.1:80", "z", 4, born=1) for name in ("a", "b")
        )
        self.allocator.update(self.instances, 0.0)

    def place(self, key, now, wait=0.0):
        return self.allocator.place(make_request(key, now, wait), now)

    def test_the_other_upstream_takes_the_load(self):
        self.allocator.set_ceilings({"a/1": 1.0}, 0.0)
        grants = [self.place(f"r{number}", 0.0) for number in range(4)]
        self.assertEqual([each.instance.id for each in grants], ["b"] * 4)

    def test_what_no_upstream_can_take_is_refused_with_a_time_to_come_back(self):
        self.allocator.set_ceilings({"a/1": 1.0, "b/1": 1.0}, 0.0)
        refusal = self.place("r", 0.0)
        self.assertIsInstance(refusal, allocator.Refusal)
        self.assertGreaterEqual(refusal.retry_after, 0.5)
        self.assertLessEqual(refusal.retry_after, allocator.MAX_RETRY_SECONDS)
        self.assertFalse(refusal.has_no_upstream)

    def test_a_waiting_request_is_placed_once_the_ceiling_has_room(self):
        self.allocator.set_ceilings({"a/1": 2.0, "b/1": 2.0}, 0.0)
        self.assertIsNone(self.place("r", 0.0, wait=1.0))
        self.assertEqual(self.allocator.retry_waiting(0.4), [])
        self.assertEqual(len(self.allocator.retry_waiting(0.5)), 1)

    def test_batch_work_evicted_for_an_online_request_counts_below_the_ceiling(self):
        self.allocator.set_ceilings({"a/1": 1.0, "b/1": 1.0}, 0.0)
        for number in range(20):
            self.allocator.place_batch(make_request(f"b{number}", 2.0 + number))
        counts = [load.batch_count for load in self.allocator._loads.values()]
        self.assertEqual(counts, [4, 4])
        placed = [self.place(f"r{number}", 30.0) for number in range(8)]
        grants = [each for each in placed if isinstance(each, allocator.Grant)]
        self.assertEqual(len(grants), 2 * ceiling.MIN_BURST)

    def test_a_new_run_of_an_upstream_has_no_ceiling(self):
        self.allocator.set_ceilings({"a/1": 1.0}, 0.0)
        self.assertEqual(set(self.allocator.read_ceilings()), {"a"})
        again = self.instances[0]._replace(born=2)
        self.allocator.update((again, self.instances[1]), 1.0)
        self.assertEqual(self.allocator.read_ceilings(), {})


class LimitedFleetTest(unittest.TestCase):
    """Seven of ten upstreams name half of their pace; batch work fills free slots."""

    SECONDS = 10.0
    STEP = 0.005
    SLOTS = 8
    SLOT_SECONDS = 0.35
    PACE = SLOTS / SLOT_SECONDS

    def play(self, load):
        """Return the requests sent, and those served at limited and other upstreams.

        `load` is the traffic as a share of what the fleet can take.
        """
        tested = allocator.SlotAllocator()
        names = [f"i{number}" for number in range(10)]
        limited = set(names[:7])
        instances = [
            Instance(name, "llm", "10.0.0.1:80", "z", self.SLOTS, born=1)
            for name in names
        ]
        tested.update(tuple(instances), 0.0)
        limits = {f"{name}/1": self.PACE / 2 for name in limited}
        tested.set_ceilings(limits, 0.0)
        rate = load * self.PACE * (3 + 7 / 2)
        ends, served, number, due = {}, {True: 0, False: 0}, 0, 0.0
        for tick in range(int(self.SECONDS / self.STEP)):
            now = tick * self.STEP
            grants = []
            for key in [key for key, end in ends.items() if end <= now]:
                del ends[key]
                grants += tested.release(key, now)
            due += rate * self.STEP
            while due >= 1.0:
                due -= 1.0
                number += 1
                request = make_request(f"r{number}", now, 0.18)
                grants.append(tested.place(request, now))
            if not tick % 4:
                grants += tested.retry_waiting(now)
                tested.expire(now)
                while grant := tested.place_batch(make_request(f"b{tick}", now)):
                    ends[grant.request.key] = now + 2.0
                    break
            for grant in grants:
                if isinstance(grant, allocator.Grant):
                    ends.pop(grant.evicted, None)
                    ends[grant.request.key] = now + self.SLOT_SECONDS
                    served[grant.instance.id in limited] += 1
        return number, served[True], served[False]

    def test_all_requests_are_served_below_what_the_fleet_can_take(self):
        sent, limited, others = self.play(0.85)
        self.assertGreaterEqual(limited + others, sent - 2)

    def test_an_overloaded_fleet_uses_its_limits_and_all_other_slots(self):
        _, limited, others = self.play(1.3)
        self.assertGreater(limited, 0.95 * 7 * self.PACE / 2 * self.SECONDS)
        self.assertGreater(others, 0.95 * 3 * self.PACE * self.SECONDS)


if __name__ == "__main__":
    unittest.main()

"""Test what callers get while a failure domain is evacuated."""

import unittest

from hypothesis import given, strategies as st

from sapphireseam.policy import allocator
from sapphireseam.policy.allocator_test import make_instance, make_request

DOMAINS = ("a", "b", "c")
NAMES = tuple(f"i{number}" for number in range(3))


def make_fleet(versions=("v", "v", "v"), slots=4):
    """Return an allocator with an upstream in each domain."""
    tested = allocator.SlotAllocator()
    rows = zip(NAMES, DOMAINS, versions, strict=True)
    instances = [
        make_instance(name, slots, domain, version=version)
        for name, domain, version in rows
    ]
    tested.update(tuple(instances), 0.0)
    return tested


class EvacuationLoadTest(unittest.TestCase):
    def test_load_that_fits_elsewhere_is_served_and_nothing_new_begins(self):
        """12 slots of 0.1 s take 120 requests a second; 70 come, 80 fit without a."""
        tested = make_fleet()
        ends, refused, begun, late = {}, 0, [], []
        for tick in range(600):
            now = tick / 100
            grants = []
            if tick == 200:
                grants += tested.set_evacuated(frozenset("a"), now)
            if tick == 400:
                grants += tested.set_evacuated(frozenset(), now)
            for key in [key for key, end in ends.items() if end <= now]:
                del ends[key]
                grants += tested.release(key, now)
            refused += len(tested.expire(now))
            if tick % 10 < 7:
                outcome = tested.place(make_request(f"r{tick}", now=now), now)
                refused += isinstance(outcome, allocator.Refusal)
                grants += [outcome] if isinstance(outcome, allocator.Grant) else []
            for grant in grants:
                ends[grant.request.key] = now + 0.1
                late.append(now - grant.request.arrived)
                if grant.instance.domain == "a":
                    begun.append(tick)
        self.assertEqual(refused, 0)
        self.assertLess(max(late), 0.1)
        self.assertFalse([tick for tick in begun if 200 <= tick < 400])
        self.assertTrue([tick for tick in begun if tick >= 400])

    def test_requests_without_another_upstream_are_refused_at_once(self):
        tested = make_fleet(("v1", "v2", "v2"), slots=1)
        tested.place(make_request("r", version="v1"), 0.0)
        waiting = make_request("w", version="v1", patience=9.0, is_resumed=True)
        self.assertIsNone(tested.place(waiting, 0.0))
        self.assertEqual(tested.set_evacuated(frozenset("a"), 0.1), [])
        self.assertEqual([each.request.key for each in tested.expire(0.1)], ["w"])
        for fields in ({"version": "v1"}, {"returns_to": "i0"}):
            outcome = tested.place(make_request("o", patience=9.0, **fields), 0.1)
            self.assertIsInstance(outcome, allocator.Refusal)
        tested.place(make_request("any", patience=9.0, held="i1"), 0.1)
        tested.place(make_request("any2", patience=9.0), 0.1)
        self.assertIsNone(tested.place(make_request("any3", patience=9.0), 0.1))
        tested.set_evacuated(frozenset(DOMAINS), 0.2)
        (refusal,) = tested.expire(0.2)
        self.assertTrue(refusal.has_no_upstream)

    def test_work_that_runs_there_stays_and_a_return_places_who_waits(self):
        tested = make_fleet(slots=1)
        for number in range(3):
            tested.place_batch(make_request(f"b{number}"))
        tested.set_evacuated(frozenset("ab"), 0.1)
        self.assertEqual(tested.count_evacuated(), {"a": 1, "b": 1})
        grant = tested.place(make_request("o1", patience=9.0), 0.1)
        self.assertEqual(grant.instance.id, "i2")
        self.assertIsNone(tested.place(make_request("o2", patience=9.0), 0.1))
        self.assertIsNone(tested.find_least_loaded("llm", "i2"))
        (grant,) = tested.set_evacuated(frozenset("a"), 0.2)
        self.assertEqual((grant.request.key, grant.instance.id), ("o2", "i1"))

    def test_an_ejected_upstream_that_is_evacuated_is_not_awaited(self):
        tested = make_fleet()
        tested.set_evacuated(frozenset("bc"), 0.0)
        tested.eject("i0")
        self.assertEqual([each.id for each in tested.list_awaited("i0")], ["i0"])
        tested.set_evacuated(frozenset(DOMAINS), 0.0)
        self.assertEqual(tested.list_awaited("i0"), [])
        tested.restore("i0", 0.0)
        self.assertIsInstance(tested.place(make_request("r"), 0.0), allocator.Refusal)


class EvacuationPropertyTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 7)), max_size=80))
    def test_nothing_is_ever_granted_in_an_evacuated_domain(self, steps):
        tested = make_fleet(("v1", "v1", "v2"), slots=2)
        evacuated = set()
        for now, (kind, number) in enumerate(steps):
            key, name = f"k{now}", NAMES[number % 3]
            request = make_request(key, now=now, patience=9)
            match kind:
                case 0:
                    evacuated ^= {DOMAINS[number % 3]}
                    grants = tested.set_evacuated(frozenset(evacuated), now)
                case 1:
                    tested.eject(name)
                    grants = []
                case 2:
                    grants = tested.restore(name, now)
                case 3:
                    grants = tested.release(f"k{now - number - 1}", now)
                case 4:
                    grants = [tested.place_batch(request)]
                case 5:
                    grants = tested.update(tested.instances[::-1], now)
                case _:
                    fields = {"returns_to": name} if kind == 6 else {}
                    fields |= {"held": name} if kind == 7 else {}
                    fields |= {"version": "v1", "is_resumed": True} if kind == 8 else {}
                    grants = [tested.place(request._replace(**fields), now)]
            for grant in grants:
                if isinstance(grant, allocator.Grant):
                    self.assertNotIn(grant.instance.domain, evacuated)


if __name__ == "__main__":
    unittest.main()

"""Play entries that place alone at the same moment, and check what upstreams get."""

import math
import unittest
from collections import Counter

from hypothesis import given, settings, strategies as st

from sapphireseam.core.instance import Instance
from sapphireseam.policy import allocator, spread
from sapphireseam.policy.upstreampool import NO_DOMAIN

SLOTS = 8


def make_instances(count, domains="abcd"):
    return tuple(
        Instance(f"i{n}", "llm", f"10.0.0.{n}:80", domains[n % len(domains)], SLOTS)
        for n in range(count)
    )


class Entry:
    """Place by the requests of this entry alone."""

    def __init__(self, instances, position):
        self.allocator = allocator.SlotAllocator()
        self.allocator.update(spread.order_instances(instances, position), 0.0)
        self.count = 0

    def place(self):
        """Return the name of the upstream, or an empty string."""
        self.count += 1
        request = allocator.SlotRequest(
            f"r{self.count}", "llm", "c", 0, NO_DOMAIN, 0.0, 0.0
        )
        grant = self.allocator.place(request, 0.0)
        return grant.instance.id if isinstance(grant, allocator.Grant) else ""


def place_all(instances, positions, each):
    entries = [Entry(instances, position) for position in positions]
    return Counter(entry.place() for entry in entries for _ in range(each))


def number(entries):
    return [spread.Position(n, entries) for n in range(entries)]


class SpreadTest(unittest.TestCase):
    def test_equal_entries_fill_the_upstreams_evenly(self):
        for entries, upstreams, each in (
            (29, 29, 1),
            (29, 29, 4),
            (29, 29, 8),
            (19, 20, 4),
        ):
            loads = place_all(make_instances(upstreams), number(entries), each)
            even = entries * each / upstreams
            with self.subTest(entries=entries, each=each):
                self.assertLessEqual(max(loads.values()), math.ceil(even))
                self.assertEqual(len(loads), upstreams)

    @settings(max_examples=60, deadline=None)
    @given(
        st.integers(1, 350),
        st.integers(1, 60),
        st.integers(1, 2),
        st.text("abcd", min_size=1, max_size=9),
    )
    def test_no_drawn_fleet_is_far_from_even(self, entries, upstreams, each, domains):
        """The failure domains of the upstreams needn't be those of the entries."""
        each = min(each, upstreams)
        if entries * each > upstreams * SLOTS:
            return
        loads = place_all(make_instances(upstreams, domains), number(entries), each)
        even = entries * each / upstreams
        spare = 0 if each == 1 else 1
        self.assertLessEqual(max(loads.values()), math.ceil(even) + spare)

    def test_requests_of_one_domain_of_entries_do_not_meet(self):
        loads = place_all(make_instances(29), number(29)[:7], 4)
        self.assertLessEqual(max(loads.values()), 2)

    def test_an_order_has_each_instance_once_whatever_the_order_of_the_list(self):
        instances = make_instances(12) + tuple(
            each._replace(id=f"a{each.id}", service="app") for each in make_instances(5)
        )
        for position in number(7):
            ordered = spread.order_instances(instances, position)
            self.assertEqual(sorted(ordered), sorted(instances))
            again = spread.order_instances(instances[::-1], position)
            self.assertEqual(ordered, again)

    def test_entries_with_old_views_meet_no_more_than_twice(self):
        """Half of the entries don't know yet of an added entry and upstream."""
        instances = make_instances(30)
        old = [Entry(instances[:29], position) for position in number(29)[::2]]
        new = [Entry(instances, position) for position in number(30)[1::2]]
        loads = Counter(entry.place() for entry in old + new)
        self.assertLessEqual(max(loads.values()), 2)


if __name__ == "__main__":
    unittest.main()

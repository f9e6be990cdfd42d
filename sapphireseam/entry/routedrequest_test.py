"""Test what is read of a caller's request."""

import unittest

from hypothesis import given, settings, strategies as st

from sapphireseam.core import fleet, lint
from sapphireseam.entry import routedrequest
from sapphireseam.policy import queue

locations = st.tuples(
    st.sampled_from(["", "g", "h"]), st.text("/a", max_size=5).map("/{}".format)
)


class RouteTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, database=None)
    @given(st.lists(locations, min_size=1, max_size=5, unique=True))
    def test_warned_of_are_just_the_routes_that_lose_their_own_path(self, found):
        routes = {
            f"r{number}": fleet.Route(path, "s", host)
            for number, (host, path) in enumerate(found)
        }
        chosen, reverse = [
            {
                name: routedrequest.find_route(current, route.path, route.host)[0]
                for name, route in routes.items()
            }
            for current in (
                fleet.Fleet(routes=routes),
                fleet.Fleet(routes=dict(reversed(routes.items()))),
            )
        ]
        self.assertEqual(chosen, reverse)
        findings = lint.list_warnings(fleet.Fleet(routes=routes))
        self.assertEqual({item.rule for item in findings} - {"hidden-route"}, set())
        warned = [item.source.split(".")[1] for item in findings]
        self.assertEqual(warned, [name for name in routes if chosen[name] != name])

    def test_host_wins_over_none_in_every_order_of_the_routes(self):
        pairs = [("a", fleet.Route("/x", "s", "h")), ("b", fleet.Route("/x", "s"))]
        for routes in (dict(pairs), dict(reversed(pairs))):
            current = fleet.Fleet(routes=routes)
            found = [routedrequest.find_route(current, "/x/1", h)[0] for h in "hg"]
            self.assertEqual(found, ["a", "b"])


class CostTest(unittest.TestCase):
    def test_no_declared_length_disturbs_the_shares_of_the_customers(self):
        declared = routedrequest.estimate_cost({"max_tokens": 10**299}, 100)
        fair = queue.FairQueue()
        for number in range(2):
            self.push(fair, f"long-{number}", "a", declared)
        for ticket in [fair.pop(0.0), fair.pop(0.0)]:
            fair.correct_cost(ticket, 100.0, 0.0)
        for number in range(4):
            self.push(fair, f"a-{number}", "a", 100.0)
        for number in range(4):
            self.push(fair, f"b-{number}", "b", 100.0)
        first = [fair.pop(0.0).customer for _ in range(4)]
        self.assertEqual(sorted(first), ["a", "a", "b", "b"])

    def push(self, fair, name, customer, cost):
        fair.push(queue.Ticket(name, customer, False, cost, 0.0, 1e9), 0.0)


if __name__ == "__main__":
    unittest.main()

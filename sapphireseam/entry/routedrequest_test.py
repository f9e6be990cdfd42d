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
        chosen = [
            {
                name: routedrequest.find_route(current, route.path, route.host)[0]
                for name, route in routes.items()
            }
            for current in (
                fleet.Fleet(routes=routes),
                fleet.Fleet(routes=dict(reversed(routes.items()))),
            )
        ]
        warned = {"hidden-route": set(), "tied-route": set()}
        for item in lint.list_warnings(fleet.Fleet(routes=routes)):
            warned[item.rule].add(item.source.split(".")[1])
        lost = [{n for n in routes if names[n] != n} for names in chosen]
        self.assertLessEqual(warned["hidden-route"], lost[0] & lost[1])
        self.assertEqual(
            warned["hidden-route"] | warned["tied-route"], lost[0] | lost[1]
        )


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

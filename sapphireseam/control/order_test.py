"""Tests the order in which orders are begun, and the limit of parallel loads."""

import json
import unittest

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sapphireseam.control import order, record
from sapphireseam.core import command, error, outcome

LOADS = 2


class OrderMachine(RuleBasedStateMachine):
    """Issue, begin and finish orders to three upstreams in any sequence."""

    def __init__(self):
        super().__init__()
        self.state = record.create()
        document = json.dumps({"policy": {"parallel_loads": LOADS}}).encode()
        self.state.history[1] = record.Revision(1, document, 0.0, "", "")
        self.state.numbers["revision"] = 1
        self.index = 10
        self.newest_begun: dict[str, int] = {}

    @rule(upstream=st.sampled_from("abc"), action=st.sampled_from(["load", "role"]))
    def issue(self, upstream, action):
        self.index += 1
        item = command.IssueOrder("", upstream, action, "m", 1.0)
        order.issue(self.state, item, self.index)

    def _pick(self, number: int) -> int:
        return sorted(self.state.orders)[number % len(self.state.orders)]

    @precondition(lambda self: self.state.orders)
    @rule(number=st.integers(0, 20), agent=st.sampled_from("xy"))
    def begin(self, number, agent):
        fence = self._pick(number)
        answer = order.begin(self.state, command.BeginOrder(fence, agent, 1.0))
        if isinstance(answer, outcome.Done):
            upstream = self.state.orders[fence].upstream
            assert fence >= self.newest_begun.get(upstream, 0), (
                "an order was begun after a newer one"
            )
            assert self.state.orders[fence].agent == agent, (
                "two runs of an agent hold the order"
            )
            self.newest_begun[upstream] = fence

    @precondition(lambda self: self.state.orders)
    @rule(number=st.integers(0, 20))
    def finish(self, number):
        order.finish(self.state, command.FinishOrder(self._pick(number), "", 1.0))

    @invariant()
    def runs_one_order_per_upstream_and_limits_loads(self):
        open_orders = [
            found
            for found in self.state.orders.values()
            if found.begun and not found.finished
        ]
        upstreams = [found.upstream for found in open_orders]
        assert len(upstreams) == len(set(upstreams))
        loads = [found for found in open_orders if found.action == "load"]
        assert len(loads) <= LOADS


OrderMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=100,
    stateful_step_count=30,
)
OrderMachineTest = OrderMachine.TestCase


class OrderTest(unittest.TestCase):
    def test_ended_order_is_evicted_unless_newest_of_its_upstream(self):
        state = record.create()
        for index in range(order.ORDER_LIMIT):
            item = command.IssueOrder("", "a", "role", "m", 1.0)
            order.issue(state, item, index + 1)
        refused = order.issue(state, item, 99_999)
        self.assertEqual(refused.kind, error.Kind.OVERLOADED)
        order.finish(state, command.FinishOrder(1, "", 1.0))
        self.assertEqual(order.issue(state, item, 99_999).number, 99_999)
        self.assertNotIn(1, state.orders)

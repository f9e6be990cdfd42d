"""Test that the queue orders tickets, is fair to customers and bounds waits."""

import random
import unittest

from hypothesis import given, settings, strategies as st

from sapphireseam.policy import queue

OPTIONS = {"derandomize": True, "deadline": None, "database": None}
COSTS = st.lists(st.integers(1, 50), min_size=40, max_size=40)


def make_ticket(id, customer="north", batch=False, cost=1.0, deadline=1e9):
    return queue.Ticket(str(id), customer, batch, float(cost), 0.0, deadline)


class OrderTest(unittest.TestCase):
    @settings(max_examples=200, **OPTIONS)
    @given(
        steps=st.lists(
            st.tuples(
                st.sampled_from(["online", "batch", "pop", "pop", "remove", "settle"]),
                st.integers(0, 3),
                st.integers(1, 50),
            ),
            max_size=80,
        )
    )
    def test_no_batch_ticket_pops_while_an_online_one_waits(self, steps):
        line = queue.FairQueue()
        waiting, popped = {}, None
        for number, (kind, customer, cost) in enumerate(steps):
            if kind in ("online", "batch"):
                ticket = make_ticket(number, f"c{customer}", kind == "batch", cost)
                line.push(ticket, number)
                waiting[ticket.id] = ticket
            elif kind == "remove" and waiting:
                id = sorted(waiting)[cost % len(waiting)]
                self.assertTrue(line.remove(id))
                del waiting[id]
            elif kind == "settle" and popped:
                line.correct_cost(popped, cost, number)
            elif kind == "pop":
                popped = line.pop(number)
                online = [each for each in waiting.values() if not each.batch]
                if popped is None:
                    self.assertFalse(waiting)
                    continue
                self.assertEqual(waiting.pop(popped.id), popped)
                self.assertFalse(popped.batch and online)
            self.assertEqual(len(line), len(waiting))

    def test_expire_removes_late_online_tickets_and_keeps_batch(self):
        line = queue.FairQueue(min_service_seconds=1.0)
        late, batch = make_ticket(1, deadline=5.0), make_ticket(2, batch=True)
        for each in (late, batch._replace(deadline=1.0), make_ticket(3)):
            line.push(each, 0.0)
        self.assertEqual(line.expire(4.5), [late])
        self.assertEqual((line.count(False), line.count(True)), (1, 1))


class FairTest(unittest.TestCase):
    @settings(max_examples=100, **OPTIONS)
    @given(
        weights=st.lists(st.integers(1, 4), min_size=2, max_size=5),
        costs=COSTS,
        actual=COSTS,
        batch=st.booleans(),
    )
    def test_share_by_cost_while_one_sends_ten_times(
        self, weights, costs, actual, batch
    ):
        """Each customer that keeps one ticket waiting gets its share or more."""
        shares = {f"c{each}": float(value) for each, value in enumerate(weights)}
        line = queue.FairQueue(shares)
        for number in range(len(costs) * 10):
            cost = costs[number % len(costs)]
            line.push(make_ticket(f"f{number}", "c0", batch, cost), 0.0)
        for customer in list(shares)[1:]:
            line.push(make_ticket(customer, customer, batch, costs[0]), 0.0)
        served = dict.fromkeys(shares, 0.0)
        for number, true_cost in enumerate(actual):
            ticket = line.pop(0.0)
            line.correct_cost(ticket, true_cost, 0.0)
            served[ticket.customer] += true_cost
            if ticket.customer != "c0":
                cost = costs[number]
                again = make_ticket(f"n{number}", ticket.customer, batch, cost)
                line.push(again, 0.0)
            level = sum(served.values()) / sum(shares.values())
            for customer, cost in served.items():
                self.assertGreaterEqual(
                    cost / shares[customer], level - max(actual) - 1e-6
                )

    @settings(max_examples=100, **OPTIONS)
    @given(costs=COSTS, flood=st.integers(1, 30), customers=st.integers(1, 5))
    def test_first_ticket_waits_for_one_of_each_other_customer(
        self, costs, flood, customers
    ):
        line = queue.FairQueue()
        for number in range(40):
            for other in range(customers):
                id = f"{other}/{number}"
                line.push(make_ticket(id, f"c{other}", cost=costs[number]), 0.0)
        for _ in range(flood):
            line.pop(0.0)
        line.push(make_ticket("new", "new", cost=50), 0.0)
        before = 0
        while line.pop(0.0).id != "new":
            before += 1
        self.assertLessEqual(before, customers)

    def test_refund_during_a_pause_gives_no_credit(self):
        line = queue.FairQueue()
        away = make_ticket("away", "away", cost=100)
        line.push(away, 0.0)
        self.assertEqual(line.pop(0.0), away)
        for number in range(60):
            line.push(make_ticket(number), 0.0)
        for _ in range(50):
            line.pop(0.0)
        line.correct_cost(away, 1.0, 0.0)
        for number in range(10):
            line.push(make_ticket(f"back{number}", "away"), 0.0)
        first = [line.pop(0.0).customer for _ in range(8)]
        self.assertLessEqual(abs(first.count("away") - 4), 1)

    def test_batch_is_ordered_by_due_time_within_a_customer(self):
        line = queue.FairQueue()
        due = list(range(20))
        random.Random(1).shuffle(due)
        for each in due:
            line.push(make_ticket(each, batch=True, deadline=float(each)), 0.0)
        self.assertEqual([line.pop(0.0).deadline for _ in due], sorted(due))

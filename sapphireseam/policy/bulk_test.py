"""Test the order in which lots get free places."""

import doctest
import unittest
from typing import NamedTuple

from sapphireseam.policy import bulk

# How long a lot's results are due after it came, and when it is given up.
DUE_SECONDS = 18.0
ABANDON_SECONDS = 60.0


class Lot(NamedTuple):
    customer: str
    due: float
    abandon: float = 0.0


class Outcome(NamedTuple):
    """Count what became of items."""

    on_time: int
    late: int
    lost: int


def play(arrivals, places, seconds, judge):
    """Run items of so many seconds each in so many places, by order of `judge`.

    `arrivals` are moments at which lots of ten items come.
    """
    waiting = []
    for at in arrivals:
        waiting += [Lot("a", at + DUE_SECONDS, at + ABANDON_SECONDS)] * 10
    free = [0.0] * places
    on_time = late = lost = 0
    while waiting:
        now = min(free)
        here = [lot for lot in waiting if lot.due - DUE_SECONDS <= now]
        if not here:
            free[free.index(now)] = min(lot.due for lot in waiting) - DUE_SECONDS
            continue
        lot = min(here, key=lambda lot: (judge(lot, seconds, now), lot.due))
        waiting.remove(lot)
        if now > lot.abandon:
            lost += 1
            continue
        free[free.index(now)] = now + seconds
        on_time += now + seconds <= lot.due
        late += now + seconds > lot.due
    return Outcome(on_time, late, lost)


def judge_by_due_time(lot, left, now):
    """Rank nothing before anything else, so the due time alone decides."""
    return bulk.Urgency.ON_TIME


class OrderTest(unittest.TestCase):
    def test_examples(self):
        self.assertEqual(doctest.testmod(bulk).failed, 0)

    def test_a_customer_with_many_lots_does_not_hold_up_the_others(self):
        lots = [Lot("big", 10.0 + n / 100) for n in range(9)] + [Lot("small", 11.0)]
        self.assertLess(bulk.order_jobs(lots).index(Lot("small", 11.0)), 2)

    def test_what_is_due_earlier_goes_first(self):
        lots = [Lot("a", 30.0), Lot("b", 10.0), Lot("a", 20.0)]
        self.assertEqual([lot.due for lot in bulk.order_jobs(lots)], [10, 20, 30])

    def test_after_a_loss_most_items_are_on_time_again_and_none_is_given_up(self):
        """Nothing ran for 12 s, and the places don't suffice for what comes."""
        arrivals = [n / 2 for n in range(120)]
        missed = [at for at in arrivals if at < 12.0]
        backlog = [12.0 + n / 10 for n in range(len(missed))]
        load = sorted(backlog + [at for at in arrivals if at >= 12.0])
        plain = play(load, 90, 5.0, judge_by_due_time)
        ours = play(load, 90, 5.0, bulk.classify_item)
        self.assertGreater(ours.on_time, plain.on_time * 1.5)
        self.assertEqual(ours.lost, 0)

    def test_what_is_almost_given_up_goes_before_what_is_on_time(self):
        """More comes than there is room for, without an end."""
        load = [n / 2 for n in range(200)]
        ours = play(load, 80, 5.0, bulk.classify_item)
        self.assertEqual(ours.lost, 0)


if __name__ == "__main__":
    unittest.main()

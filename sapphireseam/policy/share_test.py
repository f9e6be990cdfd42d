"""Test the order in which lots get free places."""

import doctest
import unittest
from typing import NamedTuple

from sapphireseam.policy import share


class Lot(NamedTuple):
    customer: str
    due: float


class OrderTest(unittest.TestCase):
    def test_examples(self):
        self.assertEqual(doctest.testmod(share).failed, 0)

    def test_a_customer_with_many_lots_does_not_hold_up_the_others(self):
        lots = [Lot("big", 10.0 + n / 100) for n in range(9)] + [Lot("small", 11.0)]
        self.assertLess(share.order_lots(lots).index(Lot("small", 11.0)), 2)

    def test_what_is_due_earlier_goes_first(self):
        lots = [Lot("a", 30.0), Lot("b", 10.0), Lot("a", 20.0)]
        self.assertEqual([lot.due for lot in share.order_lots(lots)], [10, 20, 30])


if __name__ == "__main__":
    unittest.main()

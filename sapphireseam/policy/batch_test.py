"""Test that customers get their shares even if all items of one job fail."""

import unittest

from hypothesis import given, settings, strategies as st

from sapphireseam.policy import batch

OPTIONS = {"derandomize": True, "deadline": None, "database": None}


def make_job(name, customer, due=1e6, fresh=1000, failed=0, received=0.0, cost=1.0):
    return batch.Job(name, customer, 1.0, due, received, fresh, failed, cost, 0.5)


class SelectTest(unittest.TestCase):
    @settings(max_examples=200, **OPTIONS)
    @given(
        free=st.lists(st.integers(1, 8), min_size=30, max_size=30),
        costs=st.lists(st.integers(1, 30), min_size=3, max_size=3),
        poison=st.integers(1, 50),
    )
    def test_poison_job_takes_no_more_than_its_customers_share(
        self, free, costs, poison
    ):
        """The items of one job always fail; the other customers get their share."""
        received = dict.fromkeys("abc", 0.0)
        largest = max(costs) * batch.CHUNK_ITEMS
        for streams in free:
            jobs = [
                make_job("good a", "a", 5.0, received=received["a"], cost=costs[0]),
                make_job("poison", "b", 0.0, 0, poison, received["b"], costs[1]),
                make_job("good c", "c", 9.0, received=received["c"], cost=costs[2]),
            ]
            selections = batch.select(jobs, streams, 0.0)
            customers = {job.name: job for job in jobs}
            for each in selections:
                job = customers[each.job]
                self.assertLessEqual(each.fresh, job.fresh)
                self.assertLessEqual(each.failed, min(job.failed, 1))
                received[job.customer] += (each.fresh + each.failed) * job.item_cost
            self.assertTrue(selections)
        gap = abs(received["a"] - received["c"])
        self.assertLessEqual(gap, largest)
        self.assertLessEqual(received["b"], received["a"] + largest)

    def test_one_selection_is_shared_among_customers(self):
        jobs = [make_job(name, name, due) for due, name in enumerate("abc")]
        selections = batch.select(jobs, 6, 0.0)
        self.assertEqual([each.fresh for each in selections], [8, 8, 8])

    def test_earlier_due_job_of_a_customer_goes_first(self):
        jobs = [make_job("late", "a", 9.0), make_job("early", "a", 5.0, fresh=3)]
        selections = batch.select(jobs, 2, 0.0)
        self.assertEqual(
            [(each.job, each.fresh) for each in selections], [("early", 3), ("late", 4)]
        )

    def test_busy_agent_gets_one_item_of_a_due_job_only(self):
        jobs = [make_job("far", "a", 1e6), make_job("near", "b", 60.0)]
        self.assertEqual(batch.select(jobs, 0, 0.0), [batch.Selection("near", 1, 0)])
        self.assertEqual(batch.select(jobs[:1], 0, 0.0), [])

"""Test the order in which the items of bulk jobs get free slots."""

import doctest
import unittest
from typing import NamedTuple

from sapphireseam.policy import bulk

# Times from the arrival of a job until it is due and until it is abandoned.
DUE_SECONDS = 18.0
ABANDON_SECONDS = 60.0


class Job(NamedTuple):
    customer: str
    due: float
    abandon: float = 0.0


class Outcome(NamedTuple):
    """The number of items that ended on time, ended late, or were abandoned."""

    on_time: int
    late: int
    abandoned: int


def simulate(arrivals, slots, seconds, classify):
    """Run items of `seconds` each in a number of slots, ordered by `classify`.

    `arrivals` are the times at which jobs of ten items arrive.
    """
    waiting = []
    for at in arrivals:
        waiting += [Job("a", at + DUE_SECONDS, at + ABANDON_SECONDS)] * 10
    free = [0.0] * slots
    on_time = late = abandoned = 0
    while waiting:
        now = min(free)
        arrived = [job for job in waiting if job.due - DUE_SECONDS <= now]
        if not arrived:
            free[free.index(now)] = min(job.due for job in waiting) - DUE_SECONDS
            continue
        job = min(arrived, key=lambda job: (classify(job, seconds, now), job.due))
        waiting.remove(job)
        if now > job.abandon:
            abandoned += 1
            continue
        free[free.index(now)] = now + seconds
        on_time += now + seconds <= job.due
        late += now + seconds > job.due
    return Outcome(on_time, late, abandoned)


def classify_by_due_time(job, remaining, now):
    """Return the same urgency for all items, so that only the due time counts."""
    return bulk.Urgency.ON_TIME


class OrderTest(unittest.TestCase):
    def test_examples(self):
        self.assertEqual(doctest.testmod(bulk).failed, 0)

    def test_a_customer_with_many_jobs_does_not_delay_the_others(self):
        jobs = [Job("big", 10.0 + n / 100) for n in range(9)] + [Job("small", 11.0)]
        self.assertLess(bulk.order_jobs(jobs).index(Job("small", 11.0)), 2)

    def test_jobs_due_earlier_go_first(self):
        jobs = [Job("a", 30.0), Job("b", 10.0), Job("a", 20.0)]
        self.assertEqual([job.due for job in bulk.order_jobs(jobs)], [10, 20, 30])

    def test_after_an_outage_most_items_are_on_time_and_none_is_abandoned(self):
        """No item runs for 12 s, and the slots don't suffice for the arrivals."""
        arrivals = [n / 2 for n in range(120)]
        missed = [at for at in arrivals if at < 12.0]
        backlog = [12.0 + n / 10 for n in range(len(missed))]
        arrival_times = sorted(backlog + [at for at in arrivals if at >= 12.0])
        by_due_time = simulate(arrival_times, 90, 5.0, classify_by_due_time)
        by_urgency = simulate(arrival_times, 90, 5.0, bulk.classify_item)
        self.assertGreater(by_urgency.on_time, by_due_time.on_time * 1.5)
        self.assertEqual(by_urgency.abandoned, 0)

    def test_items_about_to_be_abandoned_go_before_items_on_time(self):
        """More items arrive than the slots can run, and they keep arriving."""
        arrival_times = [n / 2 for n in range(200)]
        by_urgency = simulate(arrival_times, 80, 5.0, bulk.classify_item)
        self.assertEqual(by_urgency.abandoned, 0)


if __name__ == "__main__":
    unittest.main()

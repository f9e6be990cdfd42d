"""Test that batch work fills idle slots, delays no online work and isn't starved."""

import unittest

from hypothesis import given, settings, strategies as st

from sapphireseam.policy import admission, dispatch, queue

OPTIONS = {"derandomize": True, "deadline": None, "database": None}
LIMIT = 3


class Agent:
    """Schedules work as the agent does, at an engine that the tests drive."""

    def __init__(self):
        self.waiting = queue.FairQueue()
        self.limit = admission.AdaptiveAdmission(LIMIT)
        self.running = {}
        self.started = []

    def count(self):
        kinds = [start.ticket.batch + start.due for start in self.running.values()]
        return dispatch.StreamCounts(kinds.count(0), kinds.count(1), kinds.count(2))

    def push(self, id, batch, deadline, now):
        ticket = queue.Ticket(id, f"c{len(id) % 2}", batch, 1.0, now, deadline)
        self.waiting.push(ticket, now)

    def step(self, now):
        count = self.count()
        wanted = self.limit.count_preemptions(
            self.waiting.count(False), count.online, count.batch
        )
        batch = [
            (start.ticket, 0.0)
            for start in self.running.values()
            if start.ticket.batch and not start.due
        ]
        for ticket in dispatch.choose_preempted(batch, wanted):
            del self.running[ticket.id]
            self.waiting.push(ticket, now)
        while start := dispatch.choose_start(
            self.waiting, self.limit, self.count(), now
        ):
            self.running[start.ticket.id] = start
            self.started.append((now, start.ticket.id, start.ticket.batch))

    def end(self, batch, number):
        kind = [id for id, each in self.running.items() if each.ticket.batch == batch]
        if kind:
            del self.running[kind[number % len(kind)]]


class DispatchTest(unittest.TestCase):
    @settings(max_examples=200, **OPTIONS)
    @given(
        steps=st.lists(
            st.tuples(
                st.sampled_from(["online", "batch", "due", "end", "end_batch"]),
                st.integers(0, 5),
            ),
            max_size=80,
        )
    )
    def test_online_starts_are_the_same_with_and_without_batch(self, steps):
        with_batch, without = Agent(), Agent()
        for now, (kind, number) in enumerate(steps):
            if kind == "online":
                for agent in (with_batch, without):
                    agent.push(f"{now}{'x' * number}", False, 1e9, now)
            elif kind in ("batch", "due"):
                deadline = now + (1.0 if kind == "due" else 1e6)
                with_batch.push(f"b{now}", True, deadline, now)
            else:
                for agent in (with_batch, without):
                    agent.end(kind == "end_batch", number)
            with_batch.step(now)
            without.step(now)
            started = [each for each in with_batch.started if not each[2]]
            self.assertEqual(started, without.started)
            count = with_batch.count()
            self.assertLessEqual(count.online + count.batch, LIMIT)
            self.assertLessEqual(count.due, 1)
            if with_batch.waiting.count(True) and not count.online:
                self.assertEqual(count.batch, LIMIT)

    def test_due_batch_work_starts_while_online_requests_always_wait(self):
        agent = Agent()
        for now in range(40):
            agent.push(f"o{now}", False, 1e9, now)
        for item in range(10):
            agent.push(f"b{item}", True, 30.0, 0)
            agent.push(f"z{item}", True, 1e6, 0)
        for now in range(12):
            agent.step(now)
            agent.end(True, 0)
        batch = [id for _, id, is_batch in agent.started if is_batch]
        self.assertEqual(batch, [f"b{item}" for item in range(10)])

"""Test the isolation of suspects, preemption, deadlines and stops."""

import asyncio
import unittest

from sapphireseam.agent.scheduler import (
    OVERDUE_SECONDS,
    PREFILL_SECONDS,
    Completion,
    Scheduler,
)
from sapphireseam.core import error, verdict
from sapphireseam.policy import admission, ceiling, queue
from sapphireseam.utils.timer import FakeTimer


class FakeVerdictSource:
    def __init__(self):
        self.verdicts: dict[str, verdict.Verdict] = {}

    def add(self, trait, is_cause=False):
        self.verdicts[trait] = verdict.Verdict(trait, is_cause, 3000.0)


class FakeAdmission(admission.FixedAdmission):
    """Admit work up to the limit; online work preempts batch work."""

    def count_preemptions(self, waiting_online, running_online, running_batch):
        wanted = min(running_online + waiting_online, int(self.limit))
        excess = wanted + running_batch - int(self.limit)
        return max(min(excess, running_batch), 0)


class FakeWork:
    def __init__(self, name, batch=False, alone=False, deadline=2000.0):
        self.ticket = queue.Ticket(name, "c", batch, 1.0, 1000.0, deadline)
        self.alone = alone
        self.traits = (name, "part:shared")
        self.refused: list[error.SeamError] = []
        self.running = 0
        self.runs = 0
        self.done = asyncio.Event()
        self.answered = True

    async def run(self):
        self.running += 1
        self.runs += 1
        try:
            await self.done.wait()
            return Completion(1.0, self.answered)
        finally:
            self.running -= 1

    def refuse(self, failure):
        self.refused.append(failure)

    def is_preemptible(self):
        return self.ticket.batch


class SchedulerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = FakeTimer()
        self.verdict_source = FakeVerdictSource()
        self.scheduler = Scheduler(
            queue.FairQueue(),
            FakeAdmission(4),
            self.verdict_source,
            self.timer,
        )
        self.scheduler.slots = 4
        self.scheduler.queue_limit = 9
        await self.scheduler.start()
        self.addAsyncCleanup(self.scheduler.stop)

    async def submit(self, *items):
        for work in items:
            self.scheduler.submit(work)
        await self.timer.settle()

    async def finish(self, work):
        work.done.set()
        await self.timer.settle()

    async def test_trial_runs_alone(self):
        self.verdict_source.add("x")
        first, suspect, last = FakeWork("a"), FakeWork("x", alone=True), FakeWork("b")
        await self.submit(first, suspect, last)
        self.assertEqual((first.running, suspect.running, last.running), (1, 0, 0))
        await self.finish(first)
        self.assertEqual((suspect.running, last.running), (1, 0))
        await self.finish(suspect)
        self.assertEqual(last.running, 1)

    async def test_waiting_copy_is_refused_as_not_run_once_suspected(self):
        """A request that becomes a suspect while it waits needs a trial to run."""
        for trait in ("x", "part:shared"):
            await self.asyncSetUp()
            fill = [FakeWork(f"f{number}") for number in range(4)]
            copy = FakeWork("x")
            await self.submit(*fill, copy)
            self.verdict_source.add(trait)
            for work in fill:
                await self.finish(work)
            self.assertEqual(copy.refused[0].kind, error.Kind.OVERLOADED)
            self.assertTrue(copy.refused[0].not_run)
            self.assertEqual(copy.runs, 0)

    async def test_waiting_copy_is_refused_as_not_run_once_quarantined(self):
        fill = [FakeWork(f"f{number}") for number in range(4)]
        copy = FakeWork("x")
        await self.submit(*fill, copy)
        self.verdict_source.add("x", is_cause=True)
        await self.finish(fill[0])
        self.assertEqual(copy.refused[0].kind, error.Kind.REQUEST_QUARANTINED)
        self.assertGreater(copy.refused[0].retry_after, 0)
        self.assertTrue(copy.refused[0].not_run)
        self.assertEqual(copy.runs, 0)

    async def test_an_item_is_never_isolated_or_refused_for_crashes(self):
        online = FakeWork("a")
        await self.submit(online)
        self.verdict_source.add("item", is_cause=True)
        self.verdict_source.add("part:shared")
        item, other = FakeWork("item", batch=True), FakeWork("other", batch=True)
        await self.submit(item, other)
        await self.timer.advance(2 * PREFILL_SECONDS)
        self.assertEqual((item.running, other.running, online.running), (1, 1, 1))
        self.assertEqual(item.refused, [])

    async def test_online_work_preempts_an_item_that_is_suspected(self):
        self.verdict_source.add("item")
        item = FakeWork("item", batch=True)
        await self.submit(item)
        self.assertEqual(item.running, 1)
        online = [FakeWork(f"o{number}") for number in range(4)]
        await self.submit(*online)
        self.assertEqual((item.running, online[-1].running), (0, 1))
        await self.finish(online[0])
        self.assertEqual((item.running, item.runs), (1, 2))

    async def test_online_suspect_preempts_batch(self):
        item, suspect = FakeWork("item", batch=True), FakeWork("x", alone=True)
        await self.submit(item)
        await self.submit(suspect)
        self.assertEqual((item.running, suspect.running), (0, 1))

    async def test_work_cancelled_before_its_first_step_frees_its_slot(self):
        work, suspect = FakeWork("a"), FakeWork("x", alone=True)
        self.scheduler.submit(work)
        self.scheduler.remove("a")
        await self.submit(suspect)
        self.assertEqual(self.scheduler.list_running(), {"x"})
        self.assertEqual(suspect.running, 1)

    async def test_item_removed_while_it_is_preempted_is_not_queued_again(self):
        items = [FakeWork(f"item{number}", batch=True) for number in range(4)]
        await self.submit(*items)
        # Batch items start one by one, each after the last one's assumed prefill.
        await self.timer.advance(4 * PREFILL_SECONDS)
        online = [FakeWork(f"o{number}") for number in range(4)]
        for work in online:
            self.scheduler.submit(work)
        for item in items:
            self.scheduler.remove(item.ticket.id)
        await self.timer.settle()
        for work in online:
            await self.finish(work)
        self.assertEqual([item.running for item in items], [0] * 4)
        self.assertEqual([item.runs for item in items], [1] * 4)

    async def test_suspect_past_its_deadline_is_refused_as_not_run(self):
        first = FakeWork("a")
        suspect = FakeWork("x", alone=True, deadline=1005.0)
        await self.submit(first, suspect)
        await self.timer.advance(6.0)
        self.assertEqual(suspect.refused[0].kind, error.Kind.DEADLINE_EXCEEDED)
        self.assertTrue(suspect.refused[0].not_run)

    async def test_refusal_covers_all_waiting_work_and_a_final_one_is_permanent(self):
        first, suspect = FakeWork("a"), FakeWork("x", alone=True)
        await self.submit(first, suspect)
        self.scheduler.refuse_all("leaving")
        late = FakeWork("b")
        await self.submit(late)
        self.assertTrue(suspect.refused[0].not_run and late.refused[0].not_run)
        self.assertEqual(first.running, 1)
        self.scheduler.refuse_all("stopping", final=True)
        self.scheduler.accept_again()
        again = FakeWork("c")
        await self.submit(again)
        self.assertEqual(again.runs, 0)

    async def test_no_work_starts_during_a_stop(self):
        fill = [FakeWork(f"f{number}") for number in range(4)]
        waiting = FakeWork("w")
        await self.submit(*fill, waiting)
        await self.scheduler.stop()
        await self.timer.settle()
        self.assertEqual(waiting.runs, 0)

    async def test_items_start_before_earlier_answers_are_complete(self):
        self.scheduler.set_policy(queue.FairQueue(), admission.AdaptiveAdmission(4))
        items = [FakeWork(f"item{number}", batch=True) for number in range(3)]
        await self.submit(*items)
        await self.timer.advance(1.0)
        self.assertEqual([item.running for item in items], [1] * 3)

    async def test_work_of_a_lost_entry_ends_after_its_deadline(self):
        """An entry whose VM was lost sends no revoke, so the agent must cancel."""
        work = FakeWork("a", deadline=1005.0)
        await self.submit(work)
        await self.timer.advance(5.0 + OVERDUE_SECONDS + 1.0)
        self.assertEqual((work.running, self.scheduler.count_running()), (0, 0))


class CeilingTest(unittest.IsolatedAsyncioTestCase):
    asyncSetUp = SchedulerTest.asyncSetUp
    submit = SchedulerTest.submit

    async def start_under_ceiling(self, rate):
        self.scheduler.find_ceiling = lambda: rate
        self.scheduler.schedule()
        await self.timer.advance(2.0)

    async def test_work_starts_no_faster_than_the_ceiling_of_its_upstream(self):
        await self.start_under_ceiling(4.0)
        works = [FakeWork(f"w{number}") for number in range(8)]
        await self.submit(*works)
        self.assertEqual(sum(work.runs for work in works), ceiling.MIN_BURST)
        refusals = [work.refused[0] for work in works if work.refused]
        self.assertEqual(len(refusals), 5)
        self.assertTrue(all(each.retry_after > 0.0 for each in refusals))
        await self.timer.advance(0.5)
        self.assertEqual(sum(work.runs for work in works), ceiling.MIN_BURST + 1)

    async def test_batch_work_leaves_the_ceiling_to_online_work(self):
        await self.start_under_ceiling(4.0)
        items = [FakeWork(f"b{number}", batch=True) for number in range(4)]
        await self.submit(*items)
        self.assertEqual(sum(item.runs for item in items), 1)
        online = FakeWork("o")
        await self.submit(online)
        self.assertEqual(online.runs, 1)

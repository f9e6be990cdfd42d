"""Test that each crash is reported once, and other failures are not reported."""

import asyncio
import unittest

from sapphireseam.agent import crash
from sapphireseam.core import command
from sapphireseam.tools import fake
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import FakeTimer


class CrashDetectorTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = FakeTimer()
        self.control = fake.FakeControl(self.timer)
        self.mirror = fake.FakeMirror()
        self.detector = crash.CrashDetector(
            "u", self.mirror, self.control, Timeline("a", self.timer), self.timer
        )
        self.running = {"1", "2", "3"}
        self.detector.list_running = lambda: frozenset(self.running)
        self.addAsyncCleanup(self.detector.stop)

    def detect_crash(self, work_id):
        task = asyncio.create_task(self.detector.detect_crash(work_id, f"f{work_id}"))
        task.add_done_callback(lambda _: self.running.discard(work_id))
        return task

    def list_reports(self):
        requests = self.control.asked
        return [item for item in requests if isinstance(item, command.ReportDeath)]

    async def test_simultaneous_breaks_are_one_crash(self):
        tasks = [self.detect_crash(work_id) for work_id in "123"]
        await self.timer.advance(1.0)
        self.assertEqual([task.result() for task in tasks], [True] * 3)
        (report,) = self.list_reports()
        self.assertEqual(report.fingerprints, ("f1", "f2", "f3"))
        self.assertFalse(report.alone)

    async def test_late_break_belongs_to_the_same_crash(self):
        first = self.detect_crash("1")
        await self.timer.advance(crash.COLLECT_SECONDS / 2)
        rest = [self.detect_crash(work_id) for work_id in "23"]
        await self.timer.advance(1.0)
        self.assertTrue(first.result() and rest[0].result() and rest[1].result())
        self.assertEqual(len(self.list_reports()), 1)

    async def test_break_is_no_crash_while_other_work_still_runs(self):
        task = self.detect_crash("1")
        await self.timer.advance(1.0)
        self.assertFalse(task.result())
        self.assertEqual(self.list_reports(), [])

    async def test_work_answered_before_classification_is_not_suspected(self):
        task = self.detect_crash("1")
        await self.timer.settle()
        self.running -= {"2", "3"}
        await self.timer.advance(1.0)
        self.assertTrue(task.result())
        (report,) = self.list_reports()
        self.assertEqual((report.fingerprints, report.alone), (("f1",), False))

    async def test_work_running_alone_is_reported_as_alone(self):
        self.running = {"1"}
        self.detect_crash("1")
        await self.timer.advance(1.0)
        self.assertTrue(self.list_reports()[0].alone)

    async def test_lone_suspect_is_quarantined_before_the_mirror_has_it(self):
        for _ in range(2):
            self.running = {"1"}
            self.detect_crash("1")
            await self.timer.advance(1.0)
        self.assertTrue(self.detector.is_quarantined("f1"))
        self.assertEqual(self.control.machine.state.deaths, {"f1": 2})

    async def test_next_crash_is_reported_again(self):
        self.running = {"1"}
        self.detect_crash("1")
        await self.timer.advance(1.0)
        self.running = {"2"}
        self.detect_crash("2")
        await self.timer.advance(1.0)
        self.assertEqual(len(self.list_reports()), 2)

    async def test_lost_report_is_sent_until_it_is_accepted(self):
        self.running = {"1"}
        self.control.lose = lambda request: "question"
        task = self.detect_crash("1")
        await self.timer.advance(10.0)
        self.assertTrue(task.result())
        self.assertTrue(self.detector.is_suspect("f1"))
        self.control.lose = lambda request: ""
        await self.timer.advance(2.0)
        self.assertEqual(len(self.list_reports()), 1)
        self.assertEqual(self.control.machine.state.deaths, {"f1": 1})

    async def test_report_with_a_lost_answer_counts_once(self):
        self.running = {"1"}
        lost = ["answer", ""]
        self.control.lose = lambda request: lost.pop(0)
        self.detect_crash("1")
        await self.timer.advance(10.0)
        self.assertEqual(len(self.list_reports()), 2)
        self.assertEqual(self.control.machine.state.deaths, {"f1": 1})

"""Tests the gate that refuses causes and admits suspects one at a time."""

import asyncio
import unittest

from sapphireseam.core import command, error
from sapphireseam.entry import quarantine
from sapphireseam.policy import blame
from sapphireseam.tools.fake import FakeControl, FakeMirror
from sapphireseam.utils.timer import FakeTimer

BAD = "part:bad"


class QuarantineGateTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = FakeTimer()
        self.control = FakeControl(self.timer)
        self.mirror = FakeMirror()
        self.control.machine.subscribe(self.copy_verdicts)
        self.gate = quarantine.QuarantineGate(self.mirror, self.control, self.timer)
        await self.gate.start()
        self.addAsyncCleanup(self.gate.stop)

    def copy_verdicts(self, item, answer):
        self.mirror.verdicts = dict(self.control.machine.state.verdicts)
        self.mirror.notify()

    async def crash(self, *requests):
        """Report a crash under requests, a second after the last one."""
        now = self.timer.read_wall_clock()
        item = command.ReportCrash("", "u", f"u/{now}", requests, now)
        await self.control.propose(item)
        await self.timer.advance(1.0)

    async def crash_under_bad_part(self, count):
        for number in range(count):
            await self.crash((f"f{number}", BAD))

    def list_sent(self, kind):
        return [item for item in self.control.asked if isinstance(item, kind)]

    async def get_refusal(self, traits, holder):
        with self.assertRaises(error.CapacityError) as caught:
            await self.gate.admit(traits, holder)
        return caught.exception

    async def test_request_that_nobody_suspects_costs_no_command(self):
        self.assertFalse(await self.gate.admit(("f", "part:a"), "r"))
        self.gate.record_sound(("f", "part:a"))
        self.gate.release("r")
        await self.timer.advance(1.0)
        self.assertEqual(self.control.asked, [])

    async def test_cause_is_refused_as_not_run_for_the_rest_of_its_time(self):
        await self.crash_under_bad_part(3)
        failure = await self.get_refusal(("new", BAD), "r")
        self.assertEqual(failure.kind, error.Kind.REQUEST_QUARANTINED)
        self.assertEqual((failure.answer.status, failure.not_run), (503, True))
        # Found with the third crash, a second ago.
        left = blame.FIRST_REFUSAL_SECONDS - 1.0
        self.assertAlmostEqual(failure.retry_after, left)

    async def test_one_suspect_at_a_time_is_admitted(self):
        await self.crash_under_bad_part(2)
        self.assertTrue(await self.gate.admit(("a", BAD), "first"))
        waiting = asyncio.create_task(self.gate.admit(("b", BAD), "second"))
        await self.timer.advance(0.5)
        self.assertFalse(waiting.done())
        self.gate.release("first")
        await self.timer.advance(quarantine.CLAIM_PAUSE_SECONDS)
        self.assertTrue(await waiting)

    async def test_suspect_is_refused_if_its_trial_stays_taken(self):
        await self.crash_under_bad_part(2)
        now = self.timer.read_wall_clock()
        await self.control.propose(command.ClaimTrial("", (BAD,), "elsewhere", now))
        waiting = asyncio.create_task(self.get_refusal(("b", BAD), "r"))
        await self.timer.advance(quarantine.TRIAL_WAIT_SECONDS + 0.5)
        failure = await waiting
        self.assertTrue(failure.not_run)
        self.assertEqual(failure.retry_after, quarantine.TRIAL_RETRY_SECONDS)

    async def test_later_attempt_of_a_request_keeps_its_trial(self):
        await self.crash_under_bad_part(2)
        for _ in range(2):
            self.assertTrue(await self.gate.admit(("a", BAD), "r"))

    async def test_sound_trial_admits_those_that_wait(self):
        await self.crash_under_bad_part(2)
        self.assertTrue(await self.gate.admit(("a", BAD), "first"))
        waiting = asyncio.create_task(self.gate.admit(("b", BAD), "second"))
        await self.timer.advance(0.1)
        self.gate.record_sound(("a", BAD))
        await self.timer.advance(0.0)
        self.assertFalse(await waiting)

    async def test_part_proven_sound_before_is_cleared_once_it_is_suspected(self):
        self.gate.record_sound(("f", "part:shared"))
        await self.crash(("a", "part:shared"), ("b",))
        await self.crash(("c", "part:shared"), ("d",))
        self.assertNotIn("part:shared", self.mirror.verdicts)
        for name in "ghi":
            await self.crash((name, "part:shared"))
        self.assertEqual(len(self.list_sent(command.ClearTraits)), 1)

    async def test_retry_after_a_crash_is_a_trial_before_the_mirror_has_the_verdict(
        self,
    ):
        await self.crash(("f", BAD))
        self.mirror.verdicts = {}
        self.assertTrue(await self.gate.admit(("f", BAD), "r", has_crashed=True))

    async def test_without_control_vms_only_suspects_are_held_back(self):
        await self.crash_under_bad_part(2)
        self.control.lose = lambda request: "question"
        self.assertFalse(await self.gate.admit(("f",), "r", has_crashed=True))
        waiting = asyncio.create_task(self.get_refusal(("b", BAD), "r"))
        await self.timer.advance(quarantine.TRIAL_WAIT_SECONDS + 0.5)
        self.assertTrue((await waiting).not_run)

    async def test_end_of_a_request_releases_its_trial_for_other_entries(self):
        await self.crash_under_bad_part(2)
        self.assertTrue(await self.gate.admit(("a", BAD), "r"))
        self.gate.release("r")
        await self.timer.advance(0.0)
        self.assertEqual(self.control.machine.state.trials, {})

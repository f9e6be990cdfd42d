"""Test where an entry reads bulk jobs, and what happens if a near VM fails."""

import unittest

from sapphireseam.core import error, message
from sapphireseam.entry import bulk
from sapphireseam.policy.nearby import NearbyReaders
from sapphireseam.utils import client, metric
from sapphireseam.utils.timer import FakeTimer

VIEW = message.LotView(1, (("i", False, b"out"),))


class FakeClient:
    """Answers reads at the leader, and at members until they fail."""

    def __init__(self):
        self.leader = "c1"
        self.failure = None
        self.asked = []

    async def call_member(self, address, request, seconds):
        self.asked.append(address)
        if self.failure is not None:
            await self.timer.advance(seconds)
            raise self.failure
        return VIEW

    async def call(self, request, seconds):
        self.asked.append(self.leader)
        self.left = request.wait, seconds
        return VIEW


class BulkJobClientTest(unittest.IsolatedAsyncioTestCase):
    def make(self, readers):
        self.client = FakeClient()
        self.client.timer = timer = FakeTimer()
        meter = metric.Meter("e")
        self.addAsyncCleanup(meter.stop)
        return bulk.BulkJobClient(self.client, timer, meter, readers)

    def make_near(self):
        readers = NearbyReaders("a")
        readers.update(("a1", "c1"), ("a", "c"))
        return self.make(readers)

    async def test_results_are_read_in_the_failure_domain(self):
        self.assertEqual(await self.make_near().read("j", "c", 0, 1.0), VIEW)
        self.assertEqual(self.client.asked, ["a1"])

    async def test_without_the_setting_the_leader_is_read(self):
        await self.make(None).read("j", "c", 0, 1.0)
        self.assertEqual(self.client.asked, ["c1"])

    async def test_a_failed_vm_is_replaced_by_the_leader_and_left_out(self):
        jobs = self.make_near()
        self.client.failure = client.MemberError("silent")
        for _ in range(2):
            self.assertEqual(await jobs.read("j", "c", 0, 1.0), VIEW)
        self.assertEqual(self.client.asked, ["a1", "c1", "c1"])

    async def test_the_leader_waits_only_for_what_a_silent_vm_has_left(self):
        jobs = self.make_near()
        self.client.failure = client.MemberError("silent")
        for expected in (0.0, 1.0):
            await jobs.read("j", "c", 0, 1.0)
            wait, seconds = self.client.left
            self.assertEqual((wait, seconds), (expected, expected + bulk.READ_SECONDS))

    async def test_an_answer_that_there_is_no_job_is_final(self):
        jobs = self.make_near()
        unknown = error.RequestError("no bulk job", error.Kind.OBJECT_UNKNOWN)
        self.client.failure = unknown
        with self.assertRaises(error.RequestError):
            await jobs.read("j", "c", 0, 1.0)
        self.assertEqual(self.client.asked, ["a1"])


if __name__ == "__main__":
    unittest.main()

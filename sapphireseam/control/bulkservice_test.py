"""Test that a control VM that lags answers no read with what it has."""

import asyncio
import unittest

from sapphireseam.control.bulk_test import make_job
from sapphireseam.control.bulkservice import BulkService
from sapphireseam.control.machine import StateMachine
from sapphireseam.core import command, error, message
from sapphireseam.utils.timer import FakeTimer


class LaggingReplica:
    """Confirms reads, but applies nothing until it is told to."""

    def __init__(self):
        self.applied = asyncio.Event()
        self.has_leader = True

    async def read_index(self):
        if not self.has_leader:
            raise error.NotLeaderError("no leader is known")
        await self.applied.wait()


class BulkServiceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer, self.replica = FakeTimer(), LaggingReplica()
        self.machine = StateMachine()
        self.service = BulkService(self.replica, self.machine, self.timer)
        self.apply(1, make_job())

    def apply(self, index, item):
        self.machine.apply(index, command.REGISTRY.encode(item))

    def add_result(self, index):
        result = command.LotResult("l1", index - 2, False, b"out")
        self.apply(index, command.ListResults((result,)))

    def read(self, after, wait=0.0):
        request = message.ReadLot("l1", "c", after, wait)
        return asyncio.create_task(self.service._answer_job(request, frozenset()))

    async def test_a_read_waits_until_its_vm_has_applied_what_was_read_before(self):
        reading = self.read(0)
        await self.timer.settle()
        self.assertFalse(reading.done())
        self.add_result(2)
        self.replica.applied.set()
        self.assertEqual(len((await reading).results), 1)

    async def test_a_wait_ends_in_time_and_its_answer_is_confirmed_again(self):
        self.replica.applied.set()
        reading = self.read(0, 1.0)
        await self.timer.advance(0.9)
        self.replica.applied.clear()
        await self.timer.advance(0.2)
        self.assertFalse(reading.done())
        self.add_result(2)
        self.replica.applied.set()
        self.assertEqual(len((await reading).results), 1)

    async def test_a_vm_that_loses_its_leader_while_a_read_waits_refuses_it(self):
        self.replica.applied.set()
        reading = self.read(0, 1.0)
        await self.timer.advance(0.5)
        self.replica.has_leader = False
        await self.timer.advance(0.6)
        with self.assertRaises(error.NotLeaderError):
            await reading


if __name__ == "__main__":
    unittest.main()

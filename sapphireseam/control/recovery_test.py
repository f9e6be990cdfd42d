"""Tests control VMs as processes that are killed, are frozen or lose a disk."""

import asyncio
import shutil
import signal
import tempfile
import unittest
from pathlib import Path

import aiohttp

from sapphireseam.core import error, message
from sapphireseam.ops import session
from sapphireseam.tools import fleet, layout
from sapphireseam.utils.timer import SystemTimer

SHAPE = layout.Shape("ie-south", (), ("grower-1", "grower-2"), entries=0)
CALL_SECONDS = 2.0


class RecoveryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.timer = SystemTimer()
        self.plan = layout.lay_out(Path(folder.name), SHAPE)
        self.processes = fleet.Processes(self.plan.folder)
        self.addAsyncCleanup(self.processes.stop)
        http = aiohttp.ClientSession()
        self.addAsyncCleanup(http.close)
        self.client = await fleet.start_fleet(self.processes, self.plan, http)
        self.addAsyncCleanup(self.client.stop)
        self.document = dict(self.plan.configuration)

    def settings(self, node):
        return next(item for item in self.plan.processes if item.node == node)

    def address(self, node):
        number = int(node.rsplit("-", 1)[1]) - 1
        return self.plan.controls[number]

    async def call(self, node, request):
        channel = self.client.get_channel(self.address(node))
        return await channel.call(request, CALL_SECONDS)

    async def wait_for(self, condition):
        """Call the condition until its result is true; return the result."""
        async with asyncio.timeout(fleet.STEP_SECONDS):
            while True:
                try:
                    if answer := await condition():
                        return answer
                except error.SeamError:
                    pass
                await asyncio.sleep(fleet.POLL_SECONDS)

    async def find_leader(self):
        async def read():
            for item in self.plan.processes:
                try:
                    status = await self.call(item.node, message.ReadStatus())
                except error.SeamError:
                    continue
                if status.leader:
                    return status.leader

        return await self.wait_for(read)

    async def kill(self, node):
        self.processes.signal(node, signal.SIGKILL)
        await self.processes.running[node].wait()

    async def publish(self, rate):
        self.document["contracts"] = {"standard": {"rate": rate, "burst": rate}}
        base = (await session.read_fleet(self.client)).revision
        now = self.timer.read_wall_clock()
        answer = await session.publish(self.client, self.document, base, now)
        return answer.number

    async def issue(self):
        now = self.timer.read_wall_clock()
        return (await session.issue_key(self.client, "grower-1", now)).id

    async def read(self):
        view = await session.read_fleet(self.client)
        keys = await self.client.call(message.ListKeys())
        return view.revision, {item.id for item in keys.keys}

    async def test_all_killed_after_the_answer(self):
        revision, key = await self.publish(7), await self.issue()
        for item in self.plan.processes:
            await self.kill(item.node)
        for item in self.plan.processes:
            await self.processes.start(item)
        self.assertEqual(await self.read(), (revision, {key}))

    async def test_frozen_leader_answers_nothing_old(self):
        old = await self.find_leader()
        await self.publish(7)
        self.processes.signal(old, signal.SIGSTOP)
        revision = await self.publish(8)
        self.processes.signal(old, signal.SIGCONT)
        try:
            view = await self.call(old, message.ReadFleet())
            self.assertEqual(view.revision, revision)
        except error.SeamError as failure:
            self.assertTrue(failure.not_run)

        async def has_caught_up():
            view = await self.call(old, message.ReadFleet())
            return view.revision == revision

        await self.wait_for(has_caught_up)

    async def test_second_vm_lost_right_after_a_repair(self):
        revision, key = await self.publish(7), await self.issue()
        leader = await self.find_leader()
        others = [p.node for p in self.plan.processes if p.node != leader]
        lost, second = others
        await self.kill(lost)
        shutil.rmtree(self.plan.folder / lost)
        await self.processes.start(self.settings(lost))

        async def is_voter():
            status = await self.call(lost, message.ReadStatus())
            voters = [member.name for member in status.members if member.voter]
            return status.applied and lost in voters

        await self.wait_for(is_voter)
        await self.kill(second)
        shutil.rmtree(self.plan.folder / second)
        self.assertEqual(await self.read(), (revision, {key}))
        await self.kill(leader)
        shutil.rmtree(self.plan.folder / leader)
        await self.processes.start(self.settings(leader))
        await self.processes.start(self.settings(second))
        # Only the repaired VM holds the state now. Without a quorum of the old
        # members it may not answer, and an empty VM may not answer in its place.
        with self.assertRaises(error.SeamError):
            await self.client.call(message.ReadFleet(), deadline=3.0)

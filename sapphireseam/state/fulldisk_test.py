"""Tests that members whose disks are full in turn take changes afterwards."""

import asyncio
import logging
import random
import unittest

from sapphireseam.core import error
from sapphireseam.state import cluster

SEEDS = 12
TURNS = 5
ACK_SECONDS = 4.0
RESTART_SECONDS = 0.5
STEP_SECONDS = 0.1


class FullDisks:
    """Play a cluster whose members are rebuilt, as a program does it."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        names = "abc" if seed % 2 else "abcd"
        self.sim = cluster.Cluster(
            "abc", seed, voters=3, snapshot_entries=8, trailing_entries=2
        )
        self.names = names
        self.full = ""
        self.ready_at = {}
        self.count = 0
        self.rebuilt = 0

    async def rebuild(self, name):
        """Start a member again, or try it again later if its disk is still full."""
        if name in self.sim.replicas:
            self.rebuilt += 1
            await self.sim.kill(name)
        self.ready_at[name] = self.sim.timer.read_clock() + RESTART_SECONDS

    async def try_start(self, name):
        del self.ready_at[name]
        self.sim.disks[name].is_full = self.full == name
        try:
            await self.sim.start(name)
        except error.StorageError:
            self.sim.disks[name] = self.sim.disks[name].reopen()
            await self.rebuild(name)

    async def step(self):
        now = self.sim.timer.read_clock()
        for name in self.names:
            member = self.sim.replicas.get(name)
            if member is not None and member.fatal is not None:
                await self.rebuild(name)
            elif self.ready_at.get(name, now + 1) <= now:
                await self.try_start(name)
            if name in self.sim.disks:
                self.sim.disks[name].is_full = self.full == name
                self.sim.blob_fetchers[name].is_failing = self.full == name
        leader = self.sim.find_leader()
        if leader:
            self.announce(self.sim.replicas[leader])
        await self.sim.advance(STEP_SECONDS)

    def announce(self, leader):
        members = {member.name for member in leader.members}
        for name in set(self.sim.replicas) - members:
            self.sim.spawn(leader.add_member(name, name))

    async def advance(self, seconds, storm=False):
        end = self.sim.timer.read_clock() + seconds
        while self.sim.timer.read_clock() < end:
            if storm and (leader := self.sim.find_leader()):
                self.count += 1
                self.sim.spawn(self.sim.propose(leader, b"s%d" % self.count))
            await self.step()

    async def disturb(self):
        kind = self.rng.choice(("nothing", "restart", "freeze"))
        name = self.rng.choice(sorted(self.sim.replicas))
        if kind == "restart":
            await self.rebuild(name)
        elif kind == "freeze":
            self.sim.gates[name].freeze()
            await self.advance(1.0, storm=True)
            self.sim.gates[name].thaw()

    async def change(self):
        """Propose at the leader until it is acknowledged; return the seconds."""
        begin = self.sim.timer.read_clock()
        self.count += 1
        command = b"c%d" % self.count
        work = None
        while command not in self.sim.acknowledged:
            if self.sim.timer.read_clock() - begin > ACK_SECONDS:
                return False
            leader = self.sim.find_leader()
            if leader and (work is None or work.done()):
                work = self.sim.spawn(self.sim.propose(leader, command))
            await self.step()
        return True

    async def play(self):
        for name in "abc":
            await self.sim.start(name)
        await self.sim.wait_leader()
        if "d" in self.names:
            await self.sim.start("d")
        await self.advance(1.0, storm=True)
        for _ in range(TURNS):
            self.full = self.rng.choice(self.names)
            if self.rng.random() < 0.5:
                self.full = self.sim.find_leader() or self.full
            await self.advance(self.rng.uniform(0.3, 4.0), storm=True)
            self.full = ""
            await self.advance(self.rng.uniform(0.2, 1.5), storm=True)
            await self.disturb()
        await self.advance(6.0)


class FullDiskTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def play(self, seed):
        play = FullDisks(seed)
        sim = play.sim
        try:
            await play.play()
            for _ in range(3):
                self.assertTrue(await play.change(), "no change was acknowledged")
            for name in play.names:
                self.assertIn(name, sim.replicas)
                await sim.run(sim.confirm(name, is_local=True), ACK_SECONDS)
            await sim.wait_converged()
            self.assertEqual(sim.violations, [])
            self.assertGreater(play.rebuilt, 0)
            final = sim.machines[sim.find_leader()].entries
            for command, index in sim.acknowledged.items():
                self.assertIn((index, command), final)
        finally:
            await sim.close()

    def test_members_whose_disks_were_full_in_turn_take_changes_afterwards(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                asyncio.run(self.play(seed))


if __name__ == "__main__":
    unittest.main()

"""Test that members join, take others' places and leave by themselves."""

import asyncio
import functools
import logging
import unittest

from sapphireseam.core import error
from sapphireseam.state import cluster


def drive(test):
    """Run a test on a plain loop; the usual one's debug mode is slow."""

    @functools.wraps(test)
    def run(self):
        asyncio.run(test(self))

    return run


class SelfKeepingTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def form(self, seed=0):
        held = cluster.Cluster("abc", seed, voters=3)
        await held.start_all()
        return held

    def list_voters(self, held):
        leader = held.replicas[held.find_leader()]
        return sorted(member.name for member in leader.members if member.voter)

    async def announce(self, held, name):
        """Have a member taken in, as its announcements would."""
        while True:
            leader = held.replicas[await held.wait_leader()]
            if any(member.name == name for member in leader.members):
                return
            try:
                await held.run(leader.add_member(name, name), 5.0)
            except (error.SeamError, TimeoutError):
                await held.advance(0.1)

    async def propose(self, held, count):
        leader = await held.wait_leader()
        start = len(held.acknowledged)
        for number in range(start, start + count):
            await held.run(held.propose(leader, b"%d" % number))

    async def wait_voters(self, held, expected, seconds):
        limit = held.timer.read_clock() + seconds
        while not held.find_leader() or self.list_voters(held) != expected:
            self.assertLess(held.timer.read_clock(), limit, "too late")
            await held.advance(0.05)

    def check(self, held):
        self.assertEqual(held.violations, [])
        final = held.machines[held.find_leader()].entries
        for command, index in held.acknowledged.items():
            self.assertIn((index, command), final)

    @drive
    async def test_a_newcomer_waits_while_all_voters_are_there(self):
        held = await self.form()
        await held.start("d")
        await self.announce(held, "d")
        await held.advance(8.0)
        self.assertEqual(self.list_voters(held), ["a", "b", "c"])
        await held.close()

    @drive
    async def test_a_newcomer_takes_the_place_of_a_lost_voter(self):
        for lost in "abc":
            held = await self.form()
            await self.propose(held, 5)
            await held.lose_disk(lost)
            await held.wait_leader()
            await held.start("d")
            await self.announce(held, "d")
            rest = sorted({"a", "b", "c", "d"} - {lost})
            await self.wait_voters(held, rest, 4.5)
            await self.propose(held, 3)
            self.check(held)
            await held.close()

    @drive
    async def test_the_next_loss_after_a_replacement_loses_nothing(self):
        held = await self.form()
        await self.propose(held, 5)
        await held.lose_disk("a")
        await held.wait_leader()
        await held.start("d")
        await self.announce(held, "d")
        await self.wait_voters(held, ["b", "c", "d"], 4.5)
        await self.propose(held, 5)
        await held.lose_disk("b")
        await self.propose(held, 5)
        self.check(held)
        await held.close()

    @drive
    async def test_a_member_that_is_to_leave_goes_once_another_is_ready(self):
        held = await self.form()
        await self.propose(held, 3)
        for member in held.replicas.values():
            member.set_leaving(frozenset({"b"}))
        await held.advance(5.0)
        self.assertIn("b", self.list_voters(held))
        await held.start("d")
        held.replicas["d"].set_leaving(frozenset({"b"}))
        await self.announce(held, "d")
        await self.wait_voters(held, ["a", "c", "d"], 4.5)
        await self.propose(held, 3)
        self.check(held)
        await held.close()

    @drive
    async def test_a_voter_whose_disk_was_wiped_comes_back_by_itself(self):
        held = await self.form()
        await self.propose(held, 5)
        await held.lose_disk("c")
        await held.start("c")
        await self.wait_voters(held, ["a", "b", "c"], 4.5)
        self.check(held)
        await held.close()

    @drive
    async def test_a_silent_voter_stays_while_nobody_can_take_its_place(self):
        held = await self.form()
        await held.kill("c")
        await held.advance(20.0)
        self.assertEqual(self.list_voters(held), ["a", "b", "c"])
        await held.start("c")
        await self.propose(held, 2)
        self.check(held)
        await held.close()

    @drive
    async def test_a_learner_that_is_gone_is_forgotten(self):
        held = await self.form()
        await held.start("d")
        await self.announce(held, "d")
        await held.kill("d")
        await held.advance(held.options.forget_after + 3.0)
        leader = held.replicas[held.find_leader()]
        self.assertNotIn("d", [member.name for member in leader.members])
        await held.close()


if __name__ == "__main__":
    unittest.main()

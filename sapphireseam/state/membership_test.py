"""Tests that the leader replaces and removes members without an operator."""

import asyncio
import functools
import logging
import unittest

from sapphireseam.core import error
from sapphireseam.state import cluster, message, option


def async_test(test):
    """Run a test in `asyncio.run`; IsolatedAsyncioTestCase's debug mode is slow."""

    @functools.wraps(test)
    def run(self):
        asyncio.run(test(self))

    return run


class VoterCountTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def make_cluster(self, seed=0, **options):
        sim = cluster.Cluster("abc", seed, voters=3, **options)
        await sim.start_all()
        return sim

    def list_voters(self, sim):
        leader = sim.replicas[sim.find_leader()]
        return sorted(member.name for member in leader.members if member.voter)

    async def announce(self, sim, name):
        """Add a member, retrying as a member's announcements do."""
        while True:
            leader = sim.replicas[await sim.wait_leader()]
            if any(member.name == name for member in leader.members):
                return
            try:
                await sim.run(leader.add_member(name, name), 5.0)
            except (error.SeamError, TimeoutError):
                await sim.advance(0.1)

    async def propose(self, sim, count):
        leader = await sim.wait_leader()
        start = len(sim.acknowledged)
        for number in range(start, start + count):
            await sim.run(sim.propose(leader, b"%d" % number))

    async def wait_voters(self, sim, expected, seconds):
        limit = sim.timer.read_clock() + seconds
        while not sim.find_leader() or self.list_voters(sim) != expected:
            self.assertLess(sim.timer.read_clock(), limit, "too late")
            await sim.advance(0.05)

    def check(self, sim):
        self.assertEqual(sim.violations, [])
        final = sim.machines[sim.find_leader()].entries
        for command, index in sim.acknowledged.items():
            self.assertIn((index, command), final)

    @async_test
    async def test_member_removed_as_its_folder_is_recorded_ends_no_maintenance(self):
        sim = await self.make_cluster()
        leader = sim.replicas[await sim.wait_leader()]
        members = leader.members
        await sim.run(leader._membership.record_folder("removed", "folder"))
        self.assertEqual(leader.members, members)
        await sim.close()

    @async_test
    async def test_learner_is_not_promoted_while_all_voters_respond(self):
        sim = await self.make_cluster()
        await sim.start("d")
        await self.announce(sim, "d")
        await sim.advance(8.0)
        self.assertEqual(self.list_voters(sim), ["a", "b", "c"])
        await sim.close()

    @async_test
    async def test_learner_replaces_a_lost_voter(self):
        for lost in "abc":
            sim = await self.make_cluster()
            await self.propose(sim, 5)
            await sim.lose_disk(lost)
            await sim.wait_leader()
            await sim.start("d")
            await self.announce(sim, "d")
            rest = sorted({"a", "b", "c", "d"} - {lost})
            await self.wait_voters(sim, rest, 4.5)
            await self.propose(sim, 3)
            self.check(sim)
            await sim.close()

    @async_test
    async def test_second_loss_after_a_replacement_loses_nothing(self):
        sim = await self.make_cluster()
        await self.propose(sim, 5)
        await sim.lose_disk("a")
        await sim.wait_leader()
        await sim.start("d")
        await self.announce(sim, "d")
        await self.wait_voters(sim, ["b", "c", "d"], 4.5)
        await self.propose(sim, 5)
        await sim.lose_disk("b")
        await self.propose(sim, 5)
        self.check(sim)
        await sim.close()

    @async_test
    async def test_leaving_voter_is_removed_once_a_learner_can_replace_it(self):
        sim = await self.make_cluster()
        await self.propose(sim, 3)
        for member in sim.replicas.values():
            member.set_leaving(frozenset({"b"}))
        await sim.advance(5.0)
        self.assertIn("b", self.list_voters(sim))
        await sim.start("d")
        sim.replicas["d"].set_leaving(frozenset({"b"}))
        await self.announce(sim, "d")
        await self.wait_voters(sim, ["a", "c", "d"], 4.5)
        await self.propose(sim, 3)
        self.check(sim)
        await sim.close()

    @async_test
    async def test_voter_with_a_wiped_disk_becomes_a_voter_again(self):
        sim = await self.make_cluster()
        await self.propose(sim, 5)
        await sim.lose_disk("c")
        await sim.start("c")
        await self.wait_voters(sim, ["a", "b", "c"], 4.5)
        self.check(sim)
        await sim.close()

    @async_test
    async def test_silent_voter_stays_without_a_replacement(self):
        sim = await self.make_cluster()
        await sim.kill("c")
        await sim.advance(20.0)
        self.assertEqual(self.list_voters(sim), ["a", "b", "c"])
        await sim.start("c")
        await self.propose(sim, 2)
        self.check(sim)
        await sim.close()

    async def count_requests(self, learners):
        """Return how many requests the leader sends for 100 commands and reads."""
        sim = await self.make_cluster()
        for name in "defghijklmnopqr"[:learners]:
            await sim.start(name)
            await self.announce(sim, name)
        await sim.advance(2.0)
        leader = await sim.wait_leader()
        sent = []
        record_request = sim.record_request

        def count_request(source, request):
            if source == leader and not isinstance(request, message.VoteRequest):
                sent.append(request)
            record_request(source, request)

        sim.record_request = count_request
        begin = sim.timer.read_clock()
        for number in range(100):
            await sim.run(sim.propose(leader, b"%d" % number))
            await sim.run(sim.replicas[leader].confirm_leadership())
        seconds = sim.timer.read_clock() - begin
        await sim.wait_converged()
        self.check(sim)
        await sim.close()
        return len(sent), seconds

    @async_test
    async def test_requests_of_the_leader_grow_little_with_the_learners(self):
        """Each learner gets one batch in each interval, and sometimes a heartbeat."""
        few, _ = await self.count_requests(1)
        many, seconds = await self.count_requests(15)
        intervals = seconds / option.Options().learner_interval + 1
        self.assertLess(many - few, 14 * 1.5 * intervals)

    @async_test
    async def test_heartbeats_grow_little_with_the_members_that_read(self):
        """Each process that watches a member makes it read twice a second."""
        options = option.Options(read_pause=0.04)
        sim = await self.make_cluster(read_pause=options.read_pause)
        sim.link_delay_max = 0.001
        learners = "defghijk"
        for name in learners:
            await sim.start(name)
            await self.announce(sim, name)
        await sim.advance(2.0)
        leader = await sim.wait_leader()
        sent = []
        record_request = sim.record_request

        def count_request(source, request):
            if source == leader and isinstance(request, message.HeartbeatRequest):
                sent.append(request)
            record_request(source, request)

        async def read(name):
            for _ in range(20):
                await sim.timer.sleep(sim.rng.uniform(0.05, 0.15))
                await sim.replicas[name].read_index()

        sim.record_request = count_request
        begin = sim.timer.read_clock()
        await sim.run(asyncio.gather(*(read(name) for name in learners)))
        seconds = sim.timer.read_clock() - begin
        voters = 2 * (1 / options.read_pause + 1 / options.heartbeat) * seconds
        paced = len(learners) / options.learner_interval * seconds
        self.assertLess(len(sent), 1.1 * (voters + paced))
        self.check(sim)
        await sim.close()

    @async_test
    async def test_reads_go_on_with_a_voter_that_was_promoted_under_load(self):
        """A quorum needs the new voter, which gets entries all the time."""
        sim = await self.make_cluster(learner_interval=0.3)
        await sim.start("d")
        await self.announce(sim, "d")
        await sim.advance(1.0)
        leader = await sim.wait_leader()
        first, second = sorted({"a", "b", "c"} - {leader})

        async def propose_forever():
            number = 0
            while True:
                number += 1
                await sim.propose(leader, b"%d" % number)

        sim.link_delay_max = 0.001
        work = sim.spawn(propose_forever())
        await sim.kill(first)
        await self.wait_voters(sim, sorted({leader, second, "d"}), 6.0)
        await sim.kill(second)
        for _ in range(5):
            await sim.run(sim.replicas[leader].confirm_leadership(), 0.5)
        work.cancel()
        self.check(sim)
        await sim.close()

    @async_test
    async def test_learner_applies_a_command_within_three_intervals(self):
        sim = await self.make_cluster()
        await sim.start("d")
        await self.announce(sim, "d")
        await sim.advance(2.0)
        leader = await sim.wait_leader()
        index = await sim.run(sim.propose(leader, b"late"))
        begin = sim.timer.read_clock()
        while sim.replicas["d"].applied < index:
            await sim.advance(0.01)
        interval = option.Options().learner_interval
        delays = 4 * cluster.DISK_DELAY_MAX + 4 * sim.link_delay_max
        self.assertLess(sim.timer.read_clock() - begin, 3 * interval + delays)
        await sim.close()

    @async_test
    async def test_silent_learner_is_removed(self):
        sim = await self.make_cluster()
        await sim.start("d")
        await self.announce(sim, "d")
        await sim.kill("d")
        await sim.advance(sim.options.forget_after + 3.0)
        leader = sim.replicas[sim.find_leader()]
        self.assertNotIn("d", [member.name for member in leader.members])
        await sim.close()


if __name__ == "__main__":
    unittest.main()

"""Tests a lost disk while all other members lose power at the same moment."""

import asyncio
import logging
import unittest

from hypothesis import Phase, given, settings, strategies as st

from sapphireseam.core import error
from sapphireseam.state import cluster

NAMES = "abc"
# Longest time between the starts of two members, in seconds.
START_SPREAD_SECONDS = 0.3
# The members must acknowledge again this long after all have started, in seconds.
RECOVERY_SECONDS = 8.0


class PowerLossTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def propose(self, sim, command):
        try:
            await sim.propose(sim.find_leader(), command)
        except (error.SeamError, KeyError):
            return

    async def load(self, sim, count, seconds):
        """Propose commands, a few of them at once, and leave the last unanswered."""
        for number in range(count):
            sim.spawn(self.propose(sim, b"%d-%d" % (len(sim.applied_commands), number)))
            if sim.rng.random() < 0.5:
                await sim.advance(sim.rng.uniform(0, 0.03))
        await sim.advance(seconds)

    async def lose_power(self, sim, wiped):
        """Stop all members at one moment; only synced data and parts are left."""
        members = list(sim.replicas.values())
        for name in list(sim.replicas):
            sim.disks[name] = sim.disks[name].crash(sim.rng)
            sim.end_times[name] = sim.timer.read_clock()
        sim.replicas.clear()
        del sim.disks[wiped]
        sim.blob_fetchers[wiped].stored.clear()
        for member in members:
            await member.stop()

    async def start(self, sim, name, delay, is_wiped):
        await sim.timer.sleep(delay)
        options = sim.options
        if is_wiped:
            sim.options = options._replace(bootstrap=())
        member = sim.make(name)
        sim.options = options
        sim.replicas[name] = member
        await member.start()
        sim.folders[name] = member._node.identity.folder

    async def restart(self, sim, wiped, delays):
        starts = [
            sim.spawn(self.start(sim, name, delay, name == wiped))
            for name, delay in zip(NAMES, delays, strict=True)
        ]
        await sim.run(asyncio.gather(*starts))

    def check_wiped(self, sim, wiped, first):
        """Check that the wiped member joins its cluster and leads only as a voter."""
        node = sim.replicas[wiped]._node
        self.assertIn(node.identity.cluster, ("", first))
        others = [sim.replicas[name] for name in NAMES if name != wiped]
        is_voter = any(
            item.name == wiped and item.voter and item.folder == node.identity.folder
            for other in others
            for item in other.members
        )
        if not is_voter:
            self.assertFalse(sim.replicas[wiped].is_leader)
            self.assertIn(node.vote, ("",))

    async def play(self, seed, wiped, earlier, count, moment, delays, passes_end):
        sim = cluster.Cluster(
            NAMES, seed, voters=3, snapshot_entries=8, trailing_entries=3,
            chunk_bytes=64, segment_bytes=200,
        )  # fmt: skip
        sim.passes_predecessor_end = passes_end
        await sim.start_all()
        first = sim.replicas["a"]._node.identity.cluster
        if earlier:
            await self.load(sim, 10, 0.5)
            await sim.lose_disk(earlier)
            await sim.start(earlier)
            # Until its membership is committed, the member counts as lost.
            while not sim.is_repaired():
                await sim.advance(0.05)
        await self.load(sim, count, moment)
        await self.lose_power(sim, wiped)
        await self.restart(sim, wiped, delays)
        end = sim.timer.read_clock() + RECOVERY_SECONDS
        while not (sim.find_leader() and sim.is_repaired()):
            self.check_wiped(sim, wiped, first)
            self.assertLess(sim.timer.read_clock(), end, "too late")
            await sim.advance(0.05)
        await sim.run(sim.confirm(sim.find_leader()))
        await sim.run(sim.propose(sim.find_leader(), b"last"))
        await sim.wait_converged()
        final = sim.machines[sim.find_leader()].entries
        for command, index in sim.acknowledged.items():
            self.assertEqual(final.count((index, command)), 1, command)
        self.assertEqual(sim.violations, [])
        await sim.close()

    @settings(
        derandomize=True,
        deadline=None,
        database=None,
        max_examples=60,
        # Shrinking takes minutes.
        phases=[Phase.generate],
    )
    @given(
        seed=st.integers(0, 1 << 16),
        wiped=st.sampled_from(NAMES),
        earlier=st.sampled_from(["", "", *NAMES]),
        count=st.integers(1, 30),
        moment=st.floats(0, 0.1),
        delays=st.tuples(*[st.floats(0, START_SPREAD_SECONDS)] * 3),
        passes_end=st.booleans(),
    )
    def test_no_acknowledged_command_is_lost_with_one_disk_and_all_power(self, **play):
        asyncio.run(self.play(**play))


if __name__ == "__main__":
    unittest.main()

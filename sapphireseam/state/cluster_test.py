"""Tests the cluster's guarantees under random sequences of faults."""

import asyncio
import logging
import unittest

from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from sapphireseam.core import error
from sapphireseam.state import cluster

NAMES = ("a", "b", "c", "d", "e")
# The member that membership changes add to the first ones.
EXTRA_NAME = "x"
PICK = st.integers(0, 9)


class Faults(RuleBasedStateMachine):
    """Run random operations and faults on a cluster and check its guarantees."""

    @initialize(
        size=st.sampled_from([3, 3, 5]),
        seed=st.integers(0, 1 << 16),
        drop_probability=st.sampled_from([0.0, 0.05]),
        waits_for_leader=st.booleans(),
        passes_predecessor_end=st.booleans(),
    )
    def start_cluster(
        self, size, seed, drop_probability, waits_for_leader, passes_predecessor_end
    ):
        logging.disable(logging.CRITICAL)
        self.loop = asyncio.new_event_loop()
        self.count = 0
        self.size = size
        self.lost: set[str] = set()
        self.change: asyncio.Task | None = None
        self.cluster = cluster.Cluster(
            NAMES[:size], seed, snapshot_entries=8, trailing_entries=3, chunk_bytes=64
        )
        self.cluster.link_delay_max = 0.05
        self.cluster.passes_predecessor_end = passes_predecessor_end
        self.cluster.duplicate_probability = 0.1
        self.cluster.drop_probability = drop_probability
        for name in NAMES[:size]:
            self.do(self.cluster.start(name))
        if waits_for_leader:
            self.do(self.cluster.wait_leader())

    def do(self, work):
        return self.loop.run_until_complete(work)

    def pick(self, names, number):
        names = sorted(names)
        return names[number % len(names)] if names else None

    def pick_leader(self, number):
        return self.pick(self.list_claimed_leaders(), number)

    async def ignore_failure(self, work):
        try:
            return await work
        except error.SeamError:
            return None

    def list_claimed_leaders(self):
        """Return the members whose own state names them leader, even when cut off."""
        replicas = self.cluster.replicas
        return [name for name in sorted(replicas) if replicas[name].leader == name]

    async def send_load(self, count):
        """Propose and read on every member that may accept it."""
        sim = self.cluster
        for name in self.list_claimed_leaders():
            for _ in range(count):
                self.count += 1
                work = sim.propose(name, b"command %d" % self.count)
                sim.spawn(self.ignore_failure(work))
            sim.spawn(self.ignore_failure(sim.confirm(name)))
        for name in sorted(sim.replicas):
            sim.spawn(self.ignore_failure(sim.confirm(name, is_local=True)))

    @rule(seconds=st.sampled_from([0.7, 2.0, 2.0, 5.0]))
    def advance(self, seconds):
        self.do(self.cluster.advance(seconds))

    @rule(number=PICK, both=st.booleans(), leader=st.booleans())
    def cut(self, number, both, leader):
        name = leader and self.pick_leader(number) or self.pick(NAMES, number)
        others = [other for other in self.cluster.gates if other != name]
        self.cluster.cut_links |= {(name, other) for other in others}
        if both:
            self.cluster.cut_links |= {(other, name) for other in others}

    @rule(count=st.integers(1, 15))
    def depose(self, count):
        """Cut off a leader, which then appends entries that no other member has.

        The links stay cut while another leader is elected.
        """
        name = self.cluster.find_leader()
        if not name:
            return
        self.cluster.cut(name)
        for _ in range(3):
            self.do(self.send_load(count))
            self.do(self.cluster.advance(0.2))
        self.do(self.cluster.advance(2.5))

    @rule()
    def heal(self):
        self.cluster.cut_links.clear()

    @rule(number=PICK, leader=st.booleans(), keeps_page_cache=st.booleans())
    def kill(self, number, leader, keeps_page_cache):
        name = leader and self.pick_leader(number)
        name = name or self.pick(self.cluster.replicas, number)
        if name:
            self.do(self.cluster.kill(name, keeps_page_cache))

    @rule()
    def lose_power(self):
        """Cut the power of all members at once, so that only synced data is left."""
        for name in list(self.cluster.replicas):
            self.do(self.cluster.kill(name, keeps_page_cache=False))
        self.restart()

    @rule()
    def restart(self):
        for name in sorted(set(self.cluster.gates) - set(self.cluster.replicas)):
            self.do(self.cluster.start(name))

    @rule(number=PICK, leader=st.booleans())
    def freeze(self, number, leader):
        name = leader and self.pick_leader(number)
        name = name or self.pick(self.cluster.replicas, number)
        if name:
            self.cluster.gates[name].freeze()

    @rule()
    def thaw(self):
        for gate in self.cluster.gates.values():
            gate.thaw()

    @rule(number=PICK)
    def break_disk(self, number):
        name = self.pick(self.cluster.replicas, number)
        if name:
            self.cluster.disks[name].fails_sync = True

    @rule(number=PICK, leader=st.booleans())
    def lose_disk(self, number, leader):
        """Delete a minority's folders, and no more until the members are repaired."""
        if self.cluster.is_repaired():
            self.lost.clear()
        name = leader and self.pick_leader(number)
        name = name or self.pick(self.cluster.replicas, number)
        is_first = not self.lost and self.cluster.is_repaired()
        is_second = self.size == 5 and len(self.lost) == 1
        if name and (is_first or is_second):
            self.lost.add(name)
            self.do(self.cluster.lose_disk(name))
            self.do(self.cluster.start(name))

    @rule()
    def transfer(self):
        name = self.cluster.find_leader()

        async def spawn():
            work = self.cluster.replicas[name].transfer_leadership()
            self.cluster.spawn(self.ignore_failure(work))

        if name:
            self.do(spawn())

    def start_change(self, work):
        async def spawn():
            self.change = self.cluster.spawn(self.ignore_failure(work))

        self.do(spawn())

    def can_change_members(self):
        is_busy = self.change is not None and not self.change.done()
        return not is_busy and not self.lost and self.cluster.is_repaired()

    @rule()
    def add_member(self):
        """Add a member with a fresh folder as a voter."""
        if not self.can_change_members() or EXTRA_NAME in self.cluster.gates:
            return
        member = self.cluster.replicas[self.cluster.find_leader()]
        self.do(self.cluster.start(EXTRA_NAME))

        async def work():
            await member.add_member(EXTRA_NAME, "")
            await member.promote(EXTRA_NAME)

        self.start_change(work())

    @rule(number=PICK)
    def remove_member(self, number):
        """Remove a voter, maybe the leader, if there are more than at the start."""
        if not self.can_change_members():
            return
        member = self.cluster.replicas[self.cluster.find_leader()]
        voters = [item.name for item in member.members if item.voter]
        if len(voters) > self.size:
            self.start_change(member.remove_member(voters[number % len(voters)]))

    @invariant()
    def check_guarantees(self):
        """Check the guarantees after each step, under load.

        The last requests are still in flight when the next step begins.
        """
        if not hasattr(self, "cluster"):
            return
        sim = self.cluster
        self.do(self.send_load(sim.rng.choice([0, 1, 2, 10])))
        self.do(sim.advance(sim.rng.choice([0.03, 0.3, 1.0])))
        self.do(self.send_load(1))
        self.do(sim.advance(sim.rng.uniform(0, 0.1)))
        sim.check_leases()
        assert not sim.violations, sim.violations

    def teardown(self):
        if not hasattr(self, "cluster"):
            return
        try:
            self.do(self.recover())
        finally:
            self.do(self.cluster.close())
            self.loop.close()
            logging.disable(logging.NOTSET)

    async def recover(self):
        """End all faults and check that each acknowledged command was applied once."""
        sim = self.cluster
        sim.cut_links.clear()
        sim.drop_probability = 0.0
        for gate in sim.gates.values():
            gate.thaw()
        for name in list(sim.gates):
            if name in sim.replicas and sim.disks[name].fails_sync:
                await sim.kill(name, keeps_page_cache=False)
            if name not in sim.replicas:
                await sim.start(name)
        await sim.advance(5.0)
        await sim.wait_converged()
        index = await sim.run(sim.propose(sim.find_leader(), b"last"))
        await sim.wait_converged()
        await sim.run(sim.confirm(sim.find_leader()))
        final = sim.machines[sim.find_leader()].entries
        assert final[-1] == (index, b"last")
        for command, index in sim.acknowledged.items():
            assert final.count((index, command)) == 1, f"lost {command!r}"
        assert not sim.violations, sim.violations


FaultsTest = Faults.TestCase
FaultsTest.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
    # Shrinking takes minutes, and the shrunk example is still long.
    phases=[Phase.generate],
)


if __name__ == "__main__":
    unittest.main()

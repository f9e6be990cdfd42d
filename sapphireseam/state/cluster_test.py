"""Bring every failure about in any order and check what must always hold."""

import asyncio
import logging
import unittest

from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from sapphireseam.core import error
from sapphireseam.state import cluster

NAMES = ("a", "b", "c", "d", "e")
# A member beyond the first ones, for changes of membership.
SPARE = "x"
PICK = st.integers(0, 9)


class Faults(RuleBasedStateMachine):
    """Drive a cluster; `Cluster.violations` collects broken promises."""

    @initialize(
        size=st.sampled_from([3, 3, 5]),
        seed=st.integers(0, 1 << 16),
        drops=st.sampled_from([0.0, 0.05]),
        formed=st.booleans(),
        passes_predecessor_end=st.booleans(),
    )
    def form(self, size, seed, drops, formed, passes_predecessor_end):
        logging.disable(logging.CRITICAL)
        self.loop = asyncio.new_event_loop()
        self.count = 0
        self.size = size
        self.lost: set[str] = set()
        self.change: asyncio.Task | None = None
        self.cluster = cluster.Cluster(
            NAMES[:size], seed, snapshot_entries=8, trailing_entries=3, chunk_bytes=64
        )
        self.cluster.delay = 0.05
        self.cluster.passes_predecessor_end = passes_predecessor_end
        self.cluster.duplicates = 0.1
        self.cluster.drops = drops
        for name in NAMES[:size]:
            self.do(self.cluster.start(name))
        if formed:
            self.do(self.cluster.wait_leader())

    def do(self, work):
        return self.loop.run_until_complete(work)

    def pick(self, names, number):
        names = sorted(names)
        return names[number % len(names)] if names else None

    def pick_leader(self, number):
        return self.pick(self.find_claims(), number)

    async def expect(self, work):
        try:
            return await work
        except error.SeamError:
            return None

    def find_claims(self):
        """Return all that think they lead, cut-off ones included."""
        held = self.cluster.replicas
        return [name for name in sorted(held) if held[name].leader == name]

    async def put_load(self, count):
        """Propose and read wherever somebody may answer."""
        held = self.cluster
        for name in self.find_claims():
            for _ in range(count):
                self.count += 1
                work = held.propose(name, b"command %d" % self.count)
                held.spawn(self.expect(work))
            held.spawn(self.expect(held.confirm(name)))
        for name in sorted(held.replicas):
            held.spawn(self.expect(held.confirm(name, is_local=True)))

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
        """Let a leader collect entries that only it has, and another follow."""
        name = self.cluster.find_leader()
        if not name:
            return
        self.cluster.cut(name)
        for _ in range(3):
            self.do(self.put_load(count))
            self.do(self.cluster.advance(0.2))
        self.do(self.cluster.advance(2.5))

    @rule()
    def heal(self):
        self.cluster.cut_links.clear()

    @rule(number=PICK, leader=st.booleans(), power=st.booleans())
    def kill(self, number, leader, power):
        name = leader and self.pick_leader(number)
        name = name or self.pick(self.cluster.replicas, number)
        if name:
            self.do(self.cluster.kill(name, power))

    @rule()
    def black_out(self):
        """All lose power at one moment; only what was synced is left."""
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
        """Lose one folder of each quorum, and none more before it is repaired."""
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
            self.cluster.spawn(self.expect(work))

        if name:
            self.do(spawn())

    def start_change(self, work):
        async def spawn():
            self.change = self.cluster.spawn(self.expect(work))

        self.do(spawn())

    def may_change(self):
        is_busy = self.change is not None and not self.change.done()
        return not is_busy and not self.lost and self.cluster.is_repaired()

    @rule()
    def grow(self):
        """Add a fresh member, on any leader."""
        if not self.may_change() or SPARE in self.cluster.gates:
            return
        member = self.cluster.replicas[self.cluster.find_leader()]
        self.do(self.cluster.start(SPARE))

        async def work():
            await member.add_member(SPARE, "")
            await member.promote(SPARE)

        self.start_change(work())

    @rule(number=PICK)
    def shrink(self, number):
        """Remove a member, the leader too, while enough of them are left."""
        if not self.may_change():
            return
        member = self.cluster.replicas[self.cluster.find_leader()]
        voters = [item.name for item in member.members if item.voter]
        if len(voters) > self.size:
            self.start_change(member.remove_member(voters[number % len(voters)]))

    @invariant()
    def keep_promises(self):
        """Check after each step, and let some time go by under load.

        The last of the load is still on its way when the next step begins.
        """
        if not hasattr(self, "cluster"):
            return
        held = self.cluster
        self.do(self.put_load(held.rng.choice([0, 1, 2, 10])))
        self.do(held.advance(held.rng.choice([0.03, 0.3, 1.0])))
        self.do(self.put_load(1))
        self.do(held.advance(held.rng.uniform(0, 0.1)))
        held.check_leases()
        assert not held.violations, held.violations

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
        """End the faults; everything that was acknowledged must be there."""
        held = self.cluster
        held.cut_links.clear()
        held.drops = 0.0
        for gate in held.gates.values():
            gate.thaw()
        for name in list(held.gates):
            if name in held.replicas and held.disks[name].fails_sync:
                await held.kill(name, keeps_page_cache=False)
            if name not in held.replicas:
                await held.start(name)
        await held.advance(5.0)
        await held.wait_converged()
        index = await held.run(held.propose(held.find_leader(), b"last"))
        await held.wait_converged()
        await held.run(held.confirm(held.find_leader()))
        final = held.machines[held.find_leader()].entries
        assert final[-1] == (index, b"last")
        for command, index in held.acknowledged.items():
            assert final.count((index, command)) == 1, f"lost {command!r}"
        assert not held.violations, held.violations


FaultsTest = Faults.TestCase
FaultsTest.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
    # A failing example is long either way; shrinking it takes minutes.
    phases=[Phase.generate],
)


if __name__ == "__main__":
    unittest.main()

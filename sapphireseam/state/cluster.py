"""Run several members in one process for tests, and watch what they promise.

Links cut, drop, delay, reorder and duplicate; clocks run at slightly different
rates; a frozen member's timers, disk and links stand still and then go on.
Whatever breaks a promise is collected in `violations`, since an exception
inside a member's task would only end that task.
"""

import asyncio
import random
from collections.abc import Sequence
from contextlib import AbstractAsyncContextManager
from typing import Any, NamedTuple

import msgspec

from sapphireseam.core import error
from sapphireseam.state import fake, link, message, replica
from sapphireseam.utils import timer as timers

# A clock may run this much fast or slow.
CLOCK_RATE_ERROR = 0.04
SYNC_DELAY_MAX = 0.03
_LEADER_REQUESTS = (message.HeartbeatRequest, message.AppendRequest)


class Timer(timers.FakeTimer):
    """Settle exactly: until no task is ready to run."""

    async def settle(self) -> None:
        """Let every task that can run do so."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(0)
        # No public call tells whether the loop is idle.
        while loop._ready:  # noqa: ASYNC110
            await asyncio.sleep(0)


class Gate:
    """Hold up a frozen member."""

    def __init__(self):
        self._event = asyncio.Event()
        self._event.set()

    @property
    def is_open(self) -> bool:
        """Say whether the member runs."""
        return self._event.is_set()

    def freeze(self) -> None:
        """Hold up everything until `thaw`."""
        self._event.clear()

    def thaw(self) -> None:
        """Let everything go on."""
        self._event.set()

    async def wait(self) -> None:
        """Return once the member runs."""
        await self._event.wait()


class MemberTimer:
    """Read time at a member's own rate, and stand still with its gate."""

    def __init__(self, timer: timers.FakeTimer, gate: Gate, rate: float):
        self._timer = timer
        self._gate = gate
        self._rate = rate

    def read_clock(self) -> float:
        """Return the member's time."""
        return self._timer.read_clock() * self._rate

    def read_wall_clock(self) -> float:
        """Return the member's time."""
        return self.read_clock()

    async def sleep(self, seconds: float) -> None:
        """Sleep by the member's clock."""
        await self._timer.sleep(seconds / self._rate)
        await self._gate.wait()

    def limit(self, seconds: float) -> AbstractAsyncContextManager:
        """Limit a body by the member's clock."""
        return timers.limit_by_sleep(self, seconds)


class Machine:
    """Keep the list of commands, and check each against all other members."""

    def __init__(self, cluster: "Cluster", name: str):
        self._cluster = cluster
        self._name = name
        self.entries: list[tuple[int, bytes]] = []

    def apply(self, index: int, command: bytes) -> object:
        """Note the command; the result is its index."""
        self._cluster.note_applied(self._name, index, command)
        if self.entries and self.entries[-1][0] >= index:
            self._cluster.violations.append(f"{self._name} went back to {index}")
        self.entries.append((index, command))
        return index

    def encode(self) -> bytes:
        """Return all entries."""
        return msgspec.msgpack.encode(self.entries)

    def restore(self, data: bytes) -> None:
        """Take the entries of a snapshot, which must hold all that is here."""
        entries = msgspec.msgpack.decode(data, type=list[tuple[int, bytes]])
        if entries[: len(self.entries)] != self.entries:
            self._cluster.violations.append(f"{self._name} was put back")
        for index, command in entries:
            self._cluster.note_applied(self._name, index, command)
        self.entries = entries


class FakeBlobFetcher:
    """Hold the commands whose files a member has, as its disk would."""

    def __init__(self, cluster: "Cluster"):
        self._cluster = cluster
        self.held: set[bytes] = set()
        self.is_failing = False

    async def prepare(self, commands: Sequence[bytes], source: str) -> None:
        """Fetch from a source that must have them."""
        if self.is_failing or not set(commands) <= self._cluster.guards[source].held:
            raise link.LinkError(f"{source} doesn't have the files")
        self.held.update(commands)

    async def prepare_snapshot(self, data: bytes, source: str) -> None:
        """Fetch all that the snapshot's entries name."""
        entries = msgspec.msgpack.decode(data, type=list[tuple[int, bytes]])
        await self.prepare([command for _, command in entries], source)


class FakeLink:
    """Carry calls from one member to another through the cluster's faults."""

    def __init__(self, cluster: "Cluster", source: str, target: str):
        self._cluster = cluster
        self._source = source
        self._target = target

    async def call(self, request: NamedTuple) -> NamedTuple:
        """Return the reply, or hang where a message is lost."""
        cluster = self._cluster
        cluster.note_request(self._source, request)
        await self._travel(self._source, self._target)
        if cluster.rng.random() < cluster.duplicates:
            cluster.spawn(self._repeat(request))
        reply = await self._deliver(request)
        await self._travel(self._target, self._source)
        return reply

    async def _repeat(self, request: NamedTuple) -> None:
        await self._cluster.timer.sleep(self._cluster.rng.uniform(0, 3))
        try:
            await self._deliver(request)
        except error.SeamError:
            return

    async def _travel(self, source: str, target: str) -> None:
        cluster = self._cluster
        await cluster.gates[source].wait()
        is_lost = cluster.rng.random() < cluster.drops
        if is_lost or (source, target) in cluster.cut_links:
            await asyncio.get_running_loop().create_future()
        await cluster.timer.sleep(cluster.rng.uniform(0, cluster.delay))
        await cluster.gates[target].wait()

    async def _deliver(self, request: NamedTuple) -> NamedTuple:
        cluster = self._cluster
        server = cluster.replicas.get(self._target)
        if server is None:
            raise link.LinkError("down")
        disk = cluster.disks[self._target]
        try:
            reply = await server.answer(_copy(request))
        except error.SeamError as failure:
            raise link.LinkError(failure.message) from None
        if disk.has_failed:
            cluster.violations.append(f"{self._target} answered after a failure")
        return _copy(reply)


def _copy(value: NamedTuple) -> Any:
    """Return the message as it comes out of the codec."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(value), type=type(value))


class Cluster:
    """Own the members, what passes between them and what they promised."""

    def __init__(self, names: Sequence[str], seed: int = 0, **options: Any):
        self.rng = random.Random(seed)
        self.timer = Timer()
        self.options = replica.Options(
            bootstrap=tuple(message.Member(name) for name in names), **options
        )
        self.replicas: dict[str, replica.Replica] = {}
        self.machines: dict[str, Machine] = {}
        self.blob_fetchers: dict[str, FakeBlobFetcher] = {}
        self.disks: dict[str, fake.FakeDisk] = {}
        self.gates: dict[str, Gate] = {}
        self.folders: dict[str, str] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.delay = 0.01
        self.drops = 0.0
        self.duplicates = 0.0
        # Whether members are told when their predecessors ended, and when that was.
        self.passes_predecessor_end = False
        self.ends: dict[str, float] = {}
        self.violations: list[str] = []
        self.history: dict[int, bytes] = {}
        self.acknowledged: dict[bytes, int] = {}
        self.leaders: dict[int, str] = {}
        self._tasks: set[asyncio.Task] = set()

    # What was promised.

    def note_applied(self, name: str, index: int, command: bytes) -> None:
        """Check an applied command against what others applied there."""
        if self.history.setdefault(index, command) != command:
            self.violations.append(f"{name} applied another command at {index}")
        if command not in self.blob_fetchers[name].held:
            self.violations.append(f"{name} lacks the files of {command!r}")

    def note_request(self, source: str, request: NamedTuple) -> None:
        """Check that a term has one leader and time one lease."""
        if isinstance(request, _LEADER_REQUESTS):
            if self.leaders.setdefault(request.term, source) != source:
                self.violations.append(f"two leaders in term {request.term}")
        self.check_leases()

    def check_leases(self) -> None:
        """Check that at most one member believes in its lease."""
        holders = [name for name, held in self.replicas.items() if held.is_leader]
        if len(holders) > 1:
            self.violations.append(f"leases overlap: {holders}")

    # Life of members.

    def make(self, name: str) -> replica.Replica:
        """Return a member on its disk, a fresh one if it has none."""
        gate = self.gates.setdefault(name, Gate())
        self.blob_fetchers.setdefault(name, FakeBlobFetcher(self))
        disk = self.disks.setdefault(name, fake.FakeDisk())
        disk.pause = lambda: self._pause(gate)
        rate = 1 + self.rng.uniform(-CLOCK_RATE_ERROR, CLOCK_RATE_ERROR)
        self.machines[name] = Machine(self, name)
        options = self.options
        if self.passes_predecessor_end and name in self.ends:
            options = options._replace(predecessor_ended=self.ends[name] * rate)
        return replica.Replica(
            name,
            lambda peer: FakeLink(self, name, peer),
            disk,
            MemberTimer(self.timer, gate, rate),
            self.machines[name],
            self.blob_fetchers[name],
            options,
            random.Random(self.rng.getrandbits(32)),
        )

    async def start(self, name: str) -> None:
        """Start a member."""
        member = self.make(name)
        await self.run(member.start())
        self.replicas[name] = member
        self.folders[name] = member._node.identity.folder

    async def _pause(self, gate: Gate) -> None:
        await gate.wait()
        await self.timer.sleep(self.rng.uniform(0, SYNC_DELAY_MAX))
        await gate.wait()

    async def start_all(self) -> None:
        """Start the first members and wait for a leader."""
        for member in self.options.bootstrap:
            await self.start(member.name)
        await self.wait_leader()

    async def kill(self, name: str, keeps_page_cache: bool = True) -> None:
        """End a process; unless `keeps_page_cache`, unsynced data may be lost."""
        self.gates[name].thaw()
        member = self.replicas.pop(name)
        self.ends[name] = self.timer.read_clock()
        disk = self.disks[name]
        self.disks[name] = disk.reopen() if keeps_page_cache else disk.crash(self.rng)
        await member.stop()

    async def lose_disk(self, name: str) -> None:
        """End a process together with all it has stored."""
        await self.kill(name)
        del self.disks[name]
        self.blob_fetchers[name].held.clear()

    async def close(self) -> None:
        """End every member and every task."""
        for name in list(self.replicas):
            await self.kill(name)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self, *names: str) -> None:
        """Cut the members off from all others, both ways."""
        for name in names:
            for other in self.gates:
                if other not in names:
                    self.cut_links |= {(name, other), (other, name)}

    # Time and work.

    def spawn(self, work) -> asyncio.Task:
        """Run a task until the cluster closes."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def advance(self, seconds: float) -> None:
        """Move time forward."""
        await self.timer.advance(seconds)

    async def run(self, work, seconds: float = 60.0) -> Any:
        """Move time forward until the work is done, and return its result."""
        task = self.spawn(work)
        limit = self.timer.read_clock() + seconds
        await self.timer.settle()
        while not task.done() and self.timer.read_clock() < limit:
            await self.timer.advance(0.05)
        if not task.done():
            raise AssertionError(f"not done after {seconds} s")
        return task.result()

    def find_leader(self) -> str:
        """Return who has the lease, or nothing."""
        holders = [name for name, held in self.replicas.items() if held.is_leader]
        return holders[0] if holders else ""

    async def wait_leader(self, seconds: float = 60.0) -> str:
        """Move time forward until a member has the lease."""
        limit = self.timer.read_clock() + seconds
        while not self.find_leader():
            if self.timer.read_clock() > limit:
                raise AssertionError("no leader")
            await self.timer.advance(0.1)
        return self.find_leader()

    async def propose(self, name: str, command: bytes) -> int:
        """Propose, and note what was acknowledged."""
        self.blob_fetchers[name].held.add(command)
        index = await self.replicas[name].propose(command)
        self.acknowledged[command] = index
        return index

    async def confirm(self, name: str, is_local: bool = False) -> int:
        """Ask for a read index, and check that it covers what was promised."""
        known = max(self.acknowledged.values(), default=0)
        member = self.replicas[name]
        index = await (member.read_index() if is_local else member.confirm_leadership())
        if index < known or member.applied < known:
            self.violations.append(f"{name} confirmed {index} with {known} known")
        return index

    async def wait_converged(self) -> None:
        """Wait until every member has applied the same, whatever it was."""
        leader = await self.wait_leader()
        limit = self.timer.read_clock() + 60
        while not self.has_converged():
            if self.timer.read_clock() > limit:
                raise AssertionError("members don't come level")
            await self.timer.advance(0.1)
            leader = self.find_leader() or leader

    def is_repaired(self) -> bool:
        """Say whether a committed membership names every member's own folder."""
        leader = self.find_leader()
        if not leader:
            return False
        held = self.replicas[leader]._node
        return held.commit >= held.roster.index and all(
            item.folder == self.folders.get(item.name) and not item.returning
            for item in held.members
        )

    def has_converged(self) -> bool:
        """Say whether all members hold and applied the same and are repaired."""
        leader = self.find_leader()
        if not leader:
            return False
        members = self.replicas[leader].members
        if any(item.name not in self.replicas for item in members):
            return False
        nodes = [self.replicas[item.name]._node for item in members]
        seen = {(held.members, held.applied, held.log.last_index) for held in nodes}
        return len(seen) == 1 and all(
            item.folder == held.identity.folder and not item.returning
            for item, held in zip(members, nodes, strict=True)
        )

"""Simulates a cluster in one process for tests and checks its guarantees.

Links can be cut; they lose, delay, reorder and duplicate messages. Clocks run
at slightly different rates. The timers, disk and links of a frozen member block
until it is thawed. Broken guarantees are collected in `violations`, since an
exception inside a member's task would end only that task.
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

# Largest relative error of a member's clock rate.
CLOCK_RATE_ERROR_MAX = 0.04
# Longest delay of a disk operation, in seconds.
DISK_DELAY_MAX = 0.03
_LEADER_REQUESTS = (message.HeartbeatRequest, message.AppendRequest)


class Timer(timers.FakeTimer):
    """Move time by hand; `settle` runs until the event loop is idle."""

    async def settle(self) -> None:
        """Run the event loop until no task is ready."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(0)
        # asyncio has no public method that says whether the loop is idle.
        while loop._ready:  # noqa: ASYNC110
            await asyncio.sleep(0)


class Gate:
    """Block the operations of a member while it is frozen."""

    def __init__(self):
        self._event = asyncio.Event()
        self._event.set()

    @property
    def is_open(self) -> bool:
        """Return whether the member is running, not frozen."""
        return self._event.is_set()

    def freeze(self) -> None:
        """Block all operations until `thaw`."""
        self._event.clear()

    def thaw(self) -> None:
        """Let the blocked operations continue."""
        self._event.set()

    async def wait(self) -> None:
        """Return once the member isn't frozen."""
        await self._event.wait()


class MemberTimer:
    """Run time at a member's own rate; no sleep ends while its gate is closed."""

    def __init__(self, timer: timers.FakeTimer, gate: Gate, rate: float):
        self._timer = timer
        self._gate = gate
        self._rate = rate

    def read_clock(self) -> float:
        """Return the time of the member's clock."""
        return self._timer.read_clock() * self._rate

    def read_wall_clock(self) -> float:
        """Return the same time as `read_clock`."""
        return self.read_clock()

    async def sleep(self, seconds: float) -> None:
        """Sleep for a time measured by the member's clock."""
        await self._timer.sleep(seconds / self._rate)
        await self._gate.wait()

    def limit(self, seconds: float) -> AbstractAsyncContextManager:
        """Return a context with a timeout measured by the member's clock."""
        return timers.limit_by_sleep(self, seconds)


class RecordingStateMachine:
    """Record the applied commands and check that all members apply the same."""

    def __init__(self, cluster: "Cluster", name: str):
        self._cluster = cluster
        self._name = name
        self.entries: list[tuple[int, bytes]] = []

    def apply(self, index: int, command: bytes) -> object:
        """Record the command and return its index."""
        self._cluster.record_applied(self._name, index, command)
        if self.entries and self.entries[-1][0] >= index:
            self._cluster.violations.append(
                f"{self._name} applied {index} out of order"
            )
        self.entries.append((index, command))
        return index

    def encode(self) -> bytes:
        """Return all entries."""
        return msgspec.msgpack.encode(self.entries)

    def restore(self, data: bytes) -> None:
        """Replace the entries with those of a snapshot, which must extend them."""
        entries = msgspec.msgpack.decode(data, type=list[tuple[int, bytes]])
        if entries[: len(self.entries)] != self.entries:
            self._cluster.violations.append(f"{self._name} lost entries at a restore")
        for index, command in entries:
            self._cluster.record_applied(self._name, index, command)
        self.entries = entries


class FakeBlobFetcher:
    """Record the commands whose blobs are on a member's disk."""

    def __init__(self, cluster: "Cluster"):
        self._cluster = cluster
        self.stored: set[bytes] = set()
        self.is_failing = False

    async def prepare(self, commands: Sequence[bytes], source: str) -> None:
        """Fetch the blobs of commands; raise if the source lacks one."""
        if (
            self.is_failing
            or not set(commands) <= self._cluster.blob_fetchers[source].stored
        ):
            raise link.LinkError(f"{source} doesn't have the blobs")
        self.stored.update(commands)

    async def prepare_snapshot(self, data: bytes, source: str) -> None:
        """Fetch the blobs of all commands in a snapshot."""
        entries = msgspec.msgpack.decode(data, type=list[tuple[int, bytes]])
        await self.prepare([command for _, command in entries], source)


class FakeLink:
    """Send calls from one member to another, subject to the cluster's faults."""

    def __init__(self, cluster: "Cluster", source: str, target: str):
        self._cluster = cluster
        self._source = source
        self._target = target

    async def call(self, request: NamedTuple) -> NamedTuple:
        """Return the reply; if a message is lost, never return."""
        cluster = self._cluster
        cluster.record_request(self._source, request)
        await self._transmit(self._source, self._target)
        if cluster.rng.random() < cluster.duplicate_probability:
            cluster.spawn(self._deliver_again(request))
        reply = await self._deliver(request)
        await self._transmit(self._target, self._source)
        return reply

    async def _deliver_again(self, request: NamedTuple) -> None:
        await self._cluster.timer.sleep(self._cluster.rng.uniform(0, 3))
        try:
            await self._deliver(request)
        except error.SeamError:
            return

    async def _transmit(self, source: str, target: str) -> None:
        cluster = self._cluster
        await cluster.gates[source].wait()
        is_lost = cluster.rng.random() < cluster.drop_probability
        if is_lost or (source, target) in cluster.cut_links:
            await asyncio.get_running_loop().create_future()
        await cluster.timer.sleep(cluster.rng.uniform(0, cluster.link_delay_max))
        await cluster.gates[target].wait()

    async def _deliver(self, request: NamedTuple) -> NamedTuple:
        cluster = self._cluster
        member = cluster.replicas.get(self._target)
        if member is None:
            raise link.LinkError("down")
        disk = cluster.disks[self._target]
        try:
            reply = await member.answer(_copy(request))
        except error.SeamError as failure:
            raise link.LinkError(failure.message) from None
        if disk.has_failed:
            cluster.violations.append(f"{self._target} replied after its disk failed")
        return _copy(reply)


def _copy(value: NamedTuple) -> Any:
    """Return the message as the receiver decodes it."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(value), type=type(value))


class Cluster:
    """Run the members and their links, and check what they apply and acknowledge."""

    def __init__(self, names: Sequence[str], seed: int = 0, **options: Any):
        self.rng = random.Random(seed)
        self.timer = Timer()
        self.options = replica.Options(
            bootstrap=tuple(message.Member(name) for name in names), **options
        )
        self.replicas: dict[str, replica.Replica] = {}
        self.machines: dict[str, RecordingStateMachine] = {}
        self.blob_fetchers: dict[str, FakeBlobFetcher] = {}
        self.disks: dict[str, fake.FakeDisk] = {}
        self.gates: dict[str, Gate] = {}
        self.folders: dict[str, str] = {}
        self.cut_links: set[tuple[str, str]] = set()
        # Longest delay of a message, in seconds.
        self.link_delay_max = 0.01
        self.drop_probability = 0.0
        self.duplicate_probability = 0.0
        # Whether a restarted member gets the time at which its previous process
        # ended, as the option `predecessor_ended`.
        self.passes_predecessor_end = False
        self.end_times: dict[str, float] = {}
        self.violations: list[str] = []
        self.applied_commands: dict[int, bytes] = {}
        self.acknowledged: dict[bytes, int] = {}
        self.leaders: dict[int, str] = {}
        self._tasks: set[asyncio.Task] = set()

    # Checks.

    def record_applied(self, name: str, index: int, command: bytes) -> None:
        """Record an applied command and check it against the other members'."""
        if self.applied_commands.setdefault(index, command) != command:
            self.violations.append(f"{name} applied another command at {index}")
        if command not in self.blob_fetchers[name].stored:
            self.violations.append(f"{name} lacks the blobs of {command!r}")

    def record_request(self, source: str, request: NamedTuple) -> None:
        """Check that each term has one leader and that leases don't overlap."""
        if isinstance(request, _LEADER_REQUESTS):
            if self.leaders.setdefault(request.term, source) != source:
                self.violations.append(f"two leaders in term {request.term}")
        self.check_leases()

    def check_leases(self) -> None:
        """Check that at most one member's lease is valid by its own clock."""
        holders = [name for name, item in self.replicas.items() if item.is_leader]
        if len(holders) > 1:
            self.violations.append(f"leases overlap: {holders}")

    # Start and stop of members.

    def make(self, name: str) -> replica.Replica:
        """Create a member on its disk, or on an empty one if it has none."""
        gate = self.gates.setdefault(name, Gate())
        self.blob_fetchers.setdefault(name, FakeBlobFetcher(self))
        disk = self.disks.setdefault(name, fake.FakeDisk())
        disk.pause = lambda: self._delay_disk(gate)
        rate = 1 + self.rng.uniform(-CLOCK_RATE_ERROR_MAX, CLOCK_RATE_ERROR_MAX)
        self.machines[name] = RecordingStateMachine(self, name)
        options = self.options
        if self.passes_predecessor_end and name in self.end_times:
            options = options._replace(predecessor_ended=self.end_times[name] * rate)
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
        """Create a member and start it."""
        member = self.make(name)
        await self.run(member.start())
        self.replicas[name] = member
        self.folders[name] = member._node.identity.folder

    async def _delay_disk(self, gate: Gate) -> None:
        await gate.wait()
        await self.timer.sleep(self.rng.uniform(0, DISK_DELAY_MAX))
        await gate.wait()

    async def start_all(self) -> None:
        """Start the bootstrap members and wait for a leader."""
        for member in self.options.bootstrap:
            await self.start(member.name)
        await self.wait_leader()

    async def kill(self, name: str, keeps_page_cache: bool = True) -> None:
        """Kill a member; unless `keeps_page_cache`, unsynced data may be lost."""
        self.gates[name].thaw()
        member = self.replicas.pop(name)
        self.end_times[name] = self.timer.read_clock()
        disk = self.disks[name]
        self.disks[name] = disk.reopen() if keeps_page_cache else disk.crash(self.rng)
        await member.stop()

    async def lose_disk(self, name: str) -> None:
        """Kill a member and delete all that it has stored."""
        await self.kill(name)
        del self.disks[name]
        self.blob_fetchers[name].stored.clear()

    async def close(self) -> None:
        """Kill all members and cancel all tasks."""
        for name in list(self.replicas):
            await self.kill(name)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self, *names: str) -> None:
        """Cut the links between these members and all others, both ways."""
        for name in names:
            for other in self.gates:
                if other not in names:
                    self.cut_links |= {(name, other), (other, name)}

    # Time, proposals and reads.

    def spawn(self, awaitable) -> asyncio.Task:
        """Start a task, which `close` cancels if it still runs."""
        task = asyncio.ensure_future(awaitable)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def advance(self, seconds: float) -> None:
        """Move time forward."""
        await self.timer.advance(seconds)

    async def run(self, awaitable, seconds: float = 60.0) -> Any:
        """Move time forward until the awaitable is done, and return its result."""
        task = self.spawn(awaitable)
        limit = self.timer.read_clock() + seconds
        await self.timer.settle()
        while not task.done() and self.timer.read_clock() < limit:
            await self.timer.advance(0.05)
        if not task.done():
            raise AssertionError(f"the awaitable is not done after {seconds} s")
        return task.result()

    def find_leader(self) -> str:
        """Return the name of the member that has the lease, or an empty string."""
        holders = [name for name, item in self.replicas.items() if item.is_leader]
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
        """Propose a command and record its acknowledgement."""
        self.blob_fetchers[name].stored.add(command)
        index = await self.replicas[name].propose(command)
        self.acknowledged[command] = index
        return index

    async def confirm(self, name: str, is_local: bool = False) -> int:
        """Request a read index; it must cover every acknowledged command.

        With `is_local` any member can answer, otherwise only the leader.
        """
        acknowledged = max(self.acknowledged.values(), default=0)
        member = self.replicas[name]
        index = await (member.read_index() if is_local else member.confirm_leadership())
        if index < acknowledged or member.applied < acknowledged:
            self.violations.append(
                f"{name} confirmed {index} after {acknowledged} was acknowledged"
            )
        return index

    async def wait_converged(self) -> None:
        """Move time forward until `has_converged` is true."""
        leader = await self.wait_leader()
        limit = self.timer.read_clock() + 60
        while not self.has_converged():
            if self.timer.read_clock() > limit:
                raise AssertionError("the members did not converge")
            await self.timer.advance(0.1)
            leader = self.find_leader() or leader

    def is_repaired(self) -> bool:
        """Return whether the newest member list is committed and up to date.

        It is up to date if it has every member's current folder and no member is
        still returning.
        """
        leader = self.find_leader()
        if not leader:
            return False
        node = self.replicas[leader]._node
        return node.commit >= node.roster.index and all(
            item.folder == self.folders.get(item.name) and not item.returning
            for item in node.members
        )

    def has_converged(self) -> bool:
        """Return whether all members run, with equal logs and with recorded folders."""
        leader = self.find_leader()
        if not leader:
            return False
        members = self.replicas[leader].members
        if any(item.name not in self.replicas for item in members):
            return False
        nodes = [self.replicas[item.name]._node for item in members]
        seen = {(node.members, node.applied, node.log.last_index) for node in nodes}
        return len(seen) == 1 and all(
            item.folder == node.identity.folder and not item.returning
            for item, node in zip(members, nodes, strict=True)
        )

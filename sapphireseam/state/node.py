"""Holds one member's Raft state and the methods that change it.

The election, peer, receiver and applier tasks share the `Node` and run on one
event loop, so a method without `await` is atomic. The methods enforce the rules
of the Raft paper: terms only increase, a member votes once per term, and only
entries of the leader's own term are committed by counting replicas.
"""

import asyncio
import enum
import logging
import math
import random
from collections.abc import Awaitable, Callable, Coroutine, Mapping, Sequence
from typing import Any, Protocol, TypeVar

from sapphireseam.core import error
from sapphireseam.state import (
    disk as disks,
    link,
    log as logs,
    message,
    option,
    roster as rosters,
    store as stores,
)
from sapphireseam.utils import application, broadcast, timer as timers

logger = logging.getLogger(__name__)

T = TypeVar("T")
Members = rosters.Members


class StateMachine(Protocol):
    """Apply commands to the replicated state, identically on every member."""

    def apply(self, index: int, command: bytes) -> object:
        """Apply one command and return its result; it never raises."""

    def encode(self) -> bytes:
        """Return the whole state for a snapshot."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state with that of a snapshot."""


class BlobFetcher(Protocol):
    """Make the blobs that commands name durable before their acknowledgement."""

    async def prepare(self, commands: Sequence[bytes], source: str) -> None:
        """Fetch the blobs that the commands name from member `source`, or raise."""

    async def prepare_snapshot(self, data: bytes, source: str) -> None:
        """Fetch the blobs that the snapshot names from member `source`, or raise."""


class Role(enum.Enum):
    """List the roles of a member in its current term."""

    FOLLOWER = enum.auto()
    CANDIDATE = enum.auto()
    LEADER = enum.auto()


class Progress(Protocol):
    """Report the replication progress of one peer to the leader."""

    member: message.Member
    match: int
    acked_at: float
    acked_round: int
    silence: float

    def wake(self) -> None:
        """Make the sending tasks check again whether there is something to send."""


def count_quorum(voters: int) -> int:
    """Return the size of a quorum among this number of voters."""
    return voters // 2 + 1


class Node:
    """The state that a member's tasks share; times are of the local clock."""

    def __init__(
        self,
        name: str,
        links: Callable[[str], link.Link] | Mapping[str, link.Link],
        disk: disks.Disk,
        timer: timers.TimerService,
        machine: StateMachine,
        blob_fetcher: BlobFetcher,
        options: option.Options,
        rng: random.Random,
    ):
        self.name = name
        self.links = links
        self.disk = disk
        self.timer = timer
        self.machine = machine
        self.blob_fetcher = blob_fetcher
        self.options = options
        self.rng = rng
        self.store = stores.Store(disk)
        self.log = logs.Log(disk, options)
        self.tasks = application.TaskGroup()
        self.identity = stores.Identity("")
        self.snapshot = stores.Mark()
        # Only one snapshot at a time is written or installed.
        self.snapshot_lock = asyncio.Lock()
        self.term = 0
        self.vote = ""
        self.role = Role.FOLLOWER
        self.leader = ""
        self.last_leader_contact = -math.inf
        # The election timeout counts from the later of this time and the last leader
        # contact.
        self.election_timer_start = -math.inf
        self.commit = 0
        self.applied = 0
        # Bytes of the entries applied since the newest snapshot.
        self.applied_bytes = 0
        # The log matches that of this term's leader up to this index.
        self.leader_match = 0
        # Index of the first entry that this member appends as leader of its term.
        self.term_start = 0
        self.leader_since = -math.inf
        self.heartbeat_round = 0
        self.is_transferring = False
        self.fatal: error.StorageError | None = None
        # The member answers no request before its folder has been read.
        self.is_loaded = False
        self.is_stopped = False
        self.peers: dict[str, Progress] = {}
        self.log_grew = broadcast.Broadcast()
        self.commit_grew = broadcast.Broadcast()
        self.changed = broadcast.Broadcast()
        self.on_become_leader: Callable[[], None] = lambda: None
        self.on_members_changed: Callable[[], None] = lambda: None
        self.roster = rosters.Roster()
        self._waiters: dict[int, asyncio.Future] = {}
        self._saved_vote = stores.Vote()
        self._save_lock = asyncio.Lock()

    # Membership.

    @property
    def members(self) -> Members:
        """Return the members of the log's newest member list, committed or not."""
        return self.roster.members

    @property
    def voters(self) -> list[message.Member]:
        """Return the members that count towards a quorum."""
        return [member for member in self.members if member.voter]

    def find_member(self, name: str) -> message.Member | None:
        """Return the member with this name, or None."""
        return next((item for item in self.members if item.name == name), None)

    @property
    def is_voter(self) -> bool:
        """Return whether this member and its current folder count towards a quorum."""
        member = self.find_member(self.name)
        return (
            member is not None
            and member.voter
            and member.folder == self.identity.folder
        )

    def load_members(self, index: int, members: Members) -> None:
        """Set the member list as of an index and read later ones from the log."""
        self.roster.load(index, members, self.log)
        self.on_members_changed()

    # Terms and votes.

    async def load(self) -> None:
        """Restore the state from the data folder."""
        await self.disk.open()
        self.identity = await self.store.load_identity(self.rng)
        self._saved_vote = await self.store.load_vote()
        self.term, self.vote = self._saved_vote
        self.snapshot, state = await self.store.load_snapshot()
        members = self.snapshot.members if state else self.identity.genesis
        await self.log.load(self.snapshot.index, self.snapshot.term)
        self.load_members(self.snapshot.index, members)
        if state is not None:
            self.restore(state)
        self.commit = self.applied = self.snapshot.index
        if self.identity.cluster:
            # The previous process may have extended a leader's lease.
            ended = self.options.predecessor_ended
            self.last_leader_contact = (
                self.timer.read_clock() if ended is None else ended
            )
        self.is_loaded = True

    async def save(self) -> None:
        """Return once the current term and vote are durable."""
        while self._saved_vote != (self.term, self.vote):
            async with self._save_lock:
                vote = stores.Vote(self.term, self.vote)
                if self._saved_vote != vote:
                    await self.run_storage(self.store.save_vote(vote))
                    self._saved_vote = vote

    async def join(self, cluster: str, genesis: Members = ()) -> None:
        """Record durably which cluster a fresh folder belongs to, at most once."""
        async with self._save_lock:
            if self.identity.cluster:
                return
            identity = self.identity._replace(cluster=cluster, genesis=genesis)
            await self.run_storage(self.store.save_identity(identity))
            self.identity = identity
            self.load_members(0, genesis)
            self.election_timer_start = self.timer.read_clock()

    async def run_storage(self, operation: Awaitable[T]) -> T:
        """Await a storage operation; if it fails, stop this member permanently.

        Every failure is raised as a `StorageError`: after an unforeseen one, too, it is
        unknown what the folder and the memory hold. A call that comes after the stop,
        when the folder is closed, raises a `ControlError`.
        """
        try:
            return await operation
        except error.StorageError as failure:
            self.fail(failure)
            raise
        except Exception as failure:
            if self.is_stopped:
                raise _make_stopped_error() from failure
            raise self._fail_unexpectedly(failure) from failure

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot; if this fails, stop this member."""
        try:
            self.machine.restore(data)
        except Exception as failure:
            raise self._fail_unexpectedly(failure) from failure

    def spawn_vital(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a task without which the member would only seem to run.

        If it fails, the member stops permanently, so that another can lead.
        """
        self.tasks.spawn(self._run_vital(work))

    async def _run_vital(self, work: Coroutine[Any, Any, None]) -> None:
        try:
            await work
        except error.StorageError as failure:
            self.fail(failure)
        except Exception as failure:
            self._fail_unexpectedly(failure)

    def _fail_unexpectedly(self, failure: Exception) -> error.StorageError:
        logger.error("unexpected error in a member", exc_info=failure)
        text = f"the member's state is unknown: {type(failure).__name__}: {failure}"
        stopped = error.StorageError(text)
        self.fail(stopped)
        return stopped

    def adopt_term(self, term: int) -> None:
        """Move to a higher term, as a follower that has not voted in it."""
        if term > self.term:
            self.term = term
            self.vote = ""
            self.leader_match = 0
            self.step_down()

    def record_leader_contact(self, name: str, term: int) -> None:
        """Follow the leader of this term and record the time of its message."""
        if self.role is not Role.FOLLOWER:
            self.step_down()
        if self.leader != name:
            self.leader = name
            self.changed.notify()
        self.last_leader_contact = self.timer.read_clock()

    # Leadership.

    def become_leader(self) -> None:
        """Become leader of the current term."""
        self.role = Role.LEADER
        self.leader = self.name
        self.leader_since = self.timer.read_clock()
        self.is_transferring = False
        self.peers = {}
        self.term_start = self.log.last_index + 1
        logger.info("leads", extra={"member": self.name, "term": self.term})
        if self.log.last_index == 0:
            # The first entry records the members and their folders.
            self.append(message.MEMBERS, rosters.encode(self.members))
        else:
            self.append(message.NOOP, b"")
        self.on_become_leader()
        self.changed.notify()

    def step_down(self) -> None:
        """Become a follower without a known leader.

        The outcome of pending proposals is then unknown.
        """
        if self.role is Role.LEADER:
            logger.info(
                "lost leadership", extra={"member": self.name, "term": self.term}
            )
            self.election_timer_start = self.timer.read_clock()
        self.role = Role.FOLLOWER
        self.leader = ""
        self.is_transferring = False
        for peer in self.peers.values():
            peer.wake()
        self.peers = {}
        self._fail_waiters(
            error.OutcomeError("leadership was lost while the proposal was pending")
        )
        self.changed.notify()

    def _fail_waiters(self, failure: Exception) -> None:
        waiters, self._waiters = self._waiters, {}
        for waiter in waiters.values():
            if not waiter.done():
                waiter.set_exception(failure)
                # Mark the exception as retrieved: the caller may no longer wait.
                waiter.exception()

    @property
    def acked_at(self) -> float:
        """Return the send time of the newest messages that a quorum has accepted."""
        now = self.timer.read_clock()
        return self._find_quorum_value(lambda peer: peer.acked_at, now, -math.inf)

    @property
    def lease_start(self) -> float:
        """Return the start of the lease, or minus infinity without one."""
        if self.role is not Role.LEADER or self.is_transferring:
            return -math.inf
        return self.acked_at

    @property
    def confirmed_round(self) -> int:
        """Return the newest heartbeat round that a quorum has accepted."""
        return self._find_quorum_value(
            lambda peer: peer.acked_round, self.heartbeat_round, 0
        )

    def _find_quorum_value(self, read, own, missing):
        """Return the highest value that a quorum of voters has reached.

        `own` is this member's value, `read` returns that of a peer, and `missing`
        is used for a voter that has no peer with its current folder.
        """
        values = []
        for member in self.voters:
            peer = self.peers.get(member.name)
            if member.name == self.name:
                values.append(own)
            elif peer is not None and peer.member.folder == member.folder:
                values.append(read(peer))
            else:
                values.append(missing)
        values.sort(reverse=True)
        return values[count_quorum(len(values)) - 1] if values else missing

    @property
    def has_lease(self) -> bool:
        """Return whether the lease rules out that another member has become leader."""
        now = self.timer.read_clock()
        return now - self.lease_start < self.options.lease

    @property
    def has_lost_quorum(self) -> bool:
        """Return whether the leader had no quorum for the shortest election timeout."""
        last_quorum = max(self.acked_at, self.leader_since)
        return self.timer.read_clock() - last_quorum >= self.options.election_min

    def check_leading(self) -> None:
        """Raise unless this member is leader and accepts proposals."""
        self.check_running()
        if self.role is Role.LEADER and self.has_lost_quorum:
            self.step_down()
        if self.role is not Role.LEADER or self.is_transferring:
            known = "" if self.leader == self.name else self.leader
            raise error.NotLeaderError("this member isn't the leader", known)

    def check_running(self) -> None:
        """Raise unless this member is running and its storage works."""
        if self.fatal is not None:
            raise self.fatal
        if self.is_stopped or not self.is_loaded:
            raise _make_stopped_error()

    def fail(self, failure: error.StorageError) -> None:
        """Stop this member permanently; it acknowledges nothing afterwards."""
        if self.fatal is None:
            logger.error(
                "member stopped: %s", failure.message, extra={"member": self.name}
            )
            self.fatal = failure
            self.step_down()
            self.log_grew.notify()
            self.commit_grew.notify()

    # The log.

    def append(self, kind: int, data: bytes) -> asyncio.Future:
        """Append an entry as leader; return a future for its result."""
        entry = message.Entry(self.log.last_index + 1, self.term, kind, data)
        self.log.append(entry)
        future = asyncio.get_running_loop().create_future()
        self._waiters[entry.index] = future
        if kind == message.MEMBERS:
            self.roster.add_entry(entry)
            self.on_members_changed()
        self.log_grew.notify()
        for peer in self.peers.values():
            peer.wake()
        return future

    def merge(self, entries: Sequence[message.Entry]) -> None:
        """Add a leader's entries; the first conflict truncates the local log."""
        for entry in entries:
            if entry.index <= self.log.base_index:
                continue
            local_term = self.log.read_term(entry.index)
            if local_term == entry.term:
                continue
            if local_term is not None:
                self._truncate(entry.index)
            self.log.append(entry)
            self.roster.add_entry(entry)
        self.log_grew.notify()

    def _truncate(self, index: int) -> None:
        if index <= self.commit:
            raise AssertionError(f"committed entry {index} can't be replaced")
        self.log.truncate(index)
        self.roster.truncate(index)

    async def wait_synced(self, index: int) -> None:
        """Wait until the log is durable up to the index."""

        def is_synced() -> bool:
            self.check_running()
            return self.log.synced >= index

        await self.changed.wait_until(is_synced)

    def advance_commit(self) -> None:
        """Commit the entries that a quorum has synced, if of the leader's term."""
        if self.role is not Role.LEADER:
            return
        index = self._find_quorum_value(lambda peer: peer.match, self.log.synced, 0)
        if index > self.commit and self.log.read_term(index) == self.term:
            self.set_commit(index)
            for peer in self.peers.values():
                peer.wake()

    def set_commit(self, index: int) -> None:
        """Raise the commit index, so that entries up to it are applied."""
        if index <= self.commit:
            return
        self.commit = index
        self.commit_grew.notify()
        is_removed = self.find_member(self.name) is None
        if self.role is Role.LEADER and is_removed and self.roster.index <= index:
            self._finish_removal()

    def _finish_removal(self) -> None:
        waiter = self._waiters.pop(self.roster.index, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
        self.step_down()

    def resolve_proposal(self, index: int, result: object) -> None:
        """Set the result of a proposal made on this member."""
        waiter = self._waiters.pop(index, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(result)

    @property
    def pending(self) -> int:
        """Return the number of proposals that wait for their result."""
        return len(self._waiters)

    async def call(self, name: str, request, seconds: float):
        """Return a peer's reply, or None if the call fails or times out."""
        try:
            peer = self._find_link(name)
            return await timers.wait_for(self.timer, peer.call(request), seconds)
        except (TimeoutError, KeyError, error.SeamError):
            return None
        except Exception:
            # An unexpected transport error must not end the task that serves the peer.
            logger.exception("call to a peer failed", extra={"peer": name})
            return None

    def _find_link(self, name: str) -> link.Link:
        if isinstance(self.links, Mapping):
            return self.links[name]
        return self.links(name)


def _make_stopped_error() -> error.ControlError:
    return error.ControlError("the member isn't running", error.Kind.SHUTTING_DOWN)

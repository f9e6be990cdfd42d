"""Replicates a state machine's commands over the members with Raft.

One `Replica` runs on each control VM. Its parts run as tasks that share one
`Node`: elections (election.py), two tasks for each peer on the leader
(peer.py), the handling of requests (receiver.py), membership changes
(membership.py), the cluster's creation (bootstrap.py), and writing, applying
and compacting the log (applier.py). This module starts them and is the
interface for other modules.

    replica = Replica(name, links, disk, timer, machine, blob_fetcher, options, rng)
    await replica.start()
    result = await replica.propose(command)   # on the leader
    index = await replica.read_index()        # on any member, before a read
"""

import asyncio
import logging
import math
import random
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from sapphireseam.core import error
from sapphireseam.state import (
    applier,
    bootstrap,
    disk as disks,
    election,
    link,
    membership,
    message,
    node as nodes,
    option,
    receiver,
)
from sapphireseam.utils import broadcast, timer as timers

logger = logging.getLogger(__name__)

BlobFetcher = nodes.BlobFetcher
StateMachine = nodes.StateMachine
Member = message.Member
Options = option.Options


class Replica:
    """Run one member of the replicated log."""

    def __init__(
        self,
        name: str,
        links: Callable[[str], link.Link] | Mapping[str, link.Link],
        disk: disks.Disk,
        timer: timers.TimerService,
        machine: StateMachine,
        blob_fetcher: BlobFetcher,
        options: Options,
        rng: random.Random,
    ):
        self._node = nodes.Node(
            name, links, disk, timer, machine, blob_fetcher, options, rng
        )
        self._applier = applier.Applier(self._node)
        self._election = election.ElectionManager(self._node)
        self._bootstrapper = bootstrap.Bootstrapper(self._node)
        self._membership = membership.Membership(self._node)
        self._receiver = receiver.Receiver(self._node)
        self._read_index_calls = broadcast.Coalescer(
            self._fetch_read_index, self._node.tasks
        )
        # The reads on all other members share heartbeat rounds, so that the leader's
        # work doesn't grow with the members and the processes that watch them.
        self._confirm_calls = broadcast.Coalescer(
            self._confirm_index,
            self._node.tasks,
            lambda: timer.sleep(options.read_pause),
        )
        self._node.on_become_leader = self._membership.refresh_peers
        self._node.on_members_changed = self._membership.refresh_peers

    async def start(self) -> None:
        """Read the data folder and start; raise `StorageError` if it is damaged."""
        node = self._node
        try:
            await node.load()
        except error.StorageError as failure:
            node.fail(failure)
            await node.disk.close()
            raise
        for coroutine in (
            self._applier.run_writes(),
            self._applier.run_applies(),
            self._applier.run_snapshots(),
        ):
            node.tasks.spawn(coroutine)
        for work in (
            self._election.run,
            self._bootstrapper.run,
            self._membership.run,
        ):
            node.tasks.keep(work)

    async def stop(self) -> None:
        """Cancel every task and close the data folder."""
        node = self._node
        if node.is_stopped:
            return
        node.is_stopped = True
        node.step_down()
        await node.tasks.cancel()
        await node.disk.close()

    async def answer(self, request: NamedTuple) -> NamedTuple:
        """Return the reply to a peer's request, or raise `SeamError`.

        Handling continues if the caller is cancelled, so that it is never interrupted
        between the change in memory and the write to disk.
        """
        self._node.check_running()
        task = self._node.tasks.spawn(self._try_answer(request))
        await asyncio.wait({task})
        if task.cancelled():
            raise link.LinkError("the member is stopping")
        result = task.result()
        if isinstance(result, Exception):
            raise result
        return result

    async def _try_answer(self, request: NamedTuple) -> Any:
        try:
            if isinstance(request, message.ReadIndexRequest):
                return await self._answer_read_index()
            if isinstance(request, message.CampaignRequest):
                return self._answer_campaign(request)
            return await self._receiver.answer(request)
        except error.SeamError as failure:
            return failure
        except Exception as failure:
            logger.exception("handling a peer's request failed")
            return link.LinkError(f"{type(failure).__name__}: {failure}")

    async def propose(self, command: bytes) -> object:
        """Return the state machine's result after the command is applied.

        Blobs that the command names must already be durable on this member.
        Raises `NotLeaderError` if the command was not appended, `OutcomeError`
        if it was but leadership was lost, so that it may or may not be applied
        later, and `StorageError` if this member's storage has failed.
        """
        node = self._node
        node.check_leading()
        if node.pending >= node.options.max_pending:
            raise error.CapacityError("too many proposals wait for commit")
        return await node.append(message.COMMAND, command)

    async def confirm_leadership(self) -> int:
        """Return an applied index that covers every command acknowledged so far.

        A quorum has to accept a heartbeat round started after this call;
        otherwise this raises `NotLeaderError`.
        """
        index = await self._confirm_index()
        await self.wait_applied(index)
        return index

    async def _confirm_index(self) -> int:
        node = self._node
        node.check_leading()
        term = node.term
        node.heartbeat_round += 1
        wanted = node.heartbeat_round
        for peer in node.peers.values():
            peer.wake()

        def is_confirmed() -> bool:
            node.check_leading()
            if node.term != term:
                raise error.NotLeaderError("the term changed", node.leader)
            return node.confirmed_round >= wanted and node.commit >= node.term_start

        await node.changed.wait_until(is_confirmed)
        return node.commit

    async def read_index(self) -> int:
        """Return an index as `confirm_leadership` does; followers ask the leader."""
        node = self._node
        node.check_running()
        if node.role is nodes.Role.LEADER:
            return await self.confirm_leadership()
        index = await self._read_index_calls.run()
        await self.wait_applied(index)
        return index

    async def _fetch_read_index(self) -> int:
        node = self._node
        node.check_running()
        leader = node.leader
        if not leader or leader == node.name:
            raise error.NotLeaderError("no leader is known")
        request = message.ReadIndexRequest(node.identity.cluster, node.name)
        reply = await node.call(leader, request, node.options.election_min)
        if reply is None or not reply.confirmed:
            known = reply.leader if reply else ""
            raise error.NotLeaderError(
                "the leader didn't confirm its leadership", known
            )
        return reply.index

    async def _answer_read_index(self) -> message.ReadIndexReply:
        try:
            index = await self._confirm_calls.run()
        except error.NotLeaderError as failure:
            return message.ReadIndexReply(False, 0, failure.leader)
        return message.ReadIndexReply(True, index, self._node.name)

    async def wait_applied(self, index: int) -> None:
        """Wait until this member has applied all entries up to the index."""
        node = self._node

        def is_applied() -> bool:
            node.check_running()
            return node.applied >= index

        await node.changed.wait_until(is_applied)

    def subscribe(self, callback: applier.Subscriber) -> None:
        """Register a callback that gets each applied command's index and result.

        Commands contained in an installed snapshot are not reported.
        """
        self._applier.subscribers.append(callback)

    @property
    def leader(self) -> str:
        """Return the leader's name, or an empty string if unknown."""
        return self._node.leader

    @property
    def is_leader(self) -> bool:
        """Return whether this member is leader with a valid lease."""
        return self._node.role is nodes.Role.LEADER and self._node.has_lease

    @property
    def has_caught_up(self) -> bool:
        """Return whether a leader has applied all that was committed before its term.

        Until then its state may lack commands that its predecessor acknowledged.
        """
        return self._node.applied >= self._node.term_start

    async def wait_caught_up(self) -> None:
        """Wait until `has_caught_up`; raise `NotLeaderError` if leadership ends."""
        if self.has_caught_up:
            return
        node = self._node

        def has_caught_up() -> bool:
            node.check_leading()
            return self.has_caught_up

        await node.changed.wait_until(has_caught_up)

    @property
    def applied(self) -> int:
        """Return the index of the last entry applied by this member."""
        return self._node.applied

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._node.term

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the newest member list in the log."""
        return self._node.members

    @property
    def fatal(self) -> error.StorageError | None:
        """Return the error that stopped this member permanently, or None."""
        return self._node.fatal

    @property
    def lease_start(self) -> float:
        """Return the local time at which the leader's lease starts.

        This is the send time of the newest messages that a quorum has accepted.
        It is minus infinity on a member that isn't leader or is transferring
        its leadership.
        """
        return self._node.lease_start

    async def add_member(self, name: str, address: str) -> None:
        """Add a learner; `promote` makes it a voter."""
        await self._membership.add(name, address)

    async def promote(self, name: str) -> None:
        """Make a learner a voter once it has caught up."""
        await self._membership.promote(name)

    async def remove_member(self, name: str) -> None:
        """Remove a member."""
        await self._membership.remove(name)

    def set_leaving(self, names: frozenset[str]) -> None:
        """Set the members to remove once others can replace them."""
        self._membership.leaving = names

    def measure_silence(self, name: str) -> float:
        """Return the seconds since the leader's last contact with a member.

        It is infinite if there is no such member, or if this member isn't leader.
        """
        peer = self._node.peers.get(name)
        return peer.silence if peer is not None else math.inf

    @property
    def folder(self) -> str:
        """Return the id of this member's data folder."""
        return self._node.identity.folder

    async def transfer_leadership(self) -> None:
        """Transfer leadership to a voter that has the whole log, and step down."""
        node = self._node
        if node.role is not nodes.Role.LEADER:
            return
        node.is_transferring = True
        term = node.term
        try:
            target = await timers.wait_for(
                node.timer, self._find_transfer_target(term), node.options.election_min
            )
        except TimeoutError:
            target = None
        if target is not None:
            request = message.CampaignRequest(
                node.identity.cluster, node.name, target.folder, term
            )
            await node.call(target.name, request, node.options.call_timeout)
        # The target may start its election even if its reply was lost. Voters then
        # disregard this leader's lease, so it must step down.
        if node.role is nodes.Role.LEADER and node.term == term:
            node.step_down()

    async def _find_transfer_target(self, term: int) -> Member | None:
        """Wait for a voter that has the whole log; return it, or None."""
        node = self._node
        candidates: list[Member] = []

        def is_found() -> bool:
            if node.role is not nodes.Role.LEADER or node.term != term:
                return True
            candidates[:] = [
                peer.member
                for peer in node.peers.values()
                if peer.member.voter and peer.match == node.log.last_index
            ]
            return bool(candidates) and node.pending == 0

        await node.changed.wait_until(is_found)
        return candidates[-1] if candidates else None

    def _answer_campaign(
        self, request: message.CampaignRequest
    ) -> message.CampaignReply:
        node = self._node
        is_accepted = (request.cluster, request.target, request.term) == (
            node.identity.cluster,
            node.identity.folder,
            node.term,
        )
        if is_accepted and node.is_voter:
            node.tasks.spawn(self._election.start_election(transfer=True))
        return message.CampaignReply(node.identity.folder, is_accepted)

"""Replicate a machine's commands over the members: Raft as published.

One `Replica` runs on each control VM. Its parts are tasks that share one
`Node`: the election (election.py), two tasks for each peer on the leader
(peer.py), the answering side (receiver.py), changes of members
(membership.py), the cluster's forming (formation.py), and writing, applying and
compacting the log (applier.py). This module starts them and is what other
modules call.

    replica = Replica(name, links, disk, timer, machine, guard, options, rng)
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
    """Keep one member of the replicated log."""

    def __init__(
        self,
        member: str,
        peers: Callable[[str], link.Link] | Mapping[str, link.Link],
        disk: disks.Disk,
        timer: timers.TimerService,
        machine: StateMachine,
        guard: BlobFetcher,
        options: Options,
        rng: random.Random,
    ):
        self._node = nodes.Node(
            member, peers, disk, timer, machine, guard, options, rng
        )
        self._applier = applier.Applier(self._node)
        self._elector = election.ElectionManager(self._node)
        self._former = bootstrap.Bootstrapper(self._node)
        self._membership = membership.Membership(self._node)
        self._receiver = receiver.Receiver(self._node)
        self._reads = broadcast.Coalescer(self._fetch_read_index, self._node.tasks)
        self._node.on_become_leader = self._membership.refresh_peers
        self._node.on_members = self._membership.refresh_peers

    async def start(self) -> None:
        """Read the folder and begin; raise `StorageError` for a damaged one."""
        node = self._node
        try:
            await node.load()
        except error.StorageError as failure:
            node.fail(failure)
            await node.disk.close()
            raise
        for work in (
            self._applier.run_writes(),
            self._applier.run_applies(),
            self._applier.run_snapshots(),
            self._elector.run(),
            self._former.run(),
            self._membership.run(),
        ):
            node.tasks.spawn(work)

    async def stop(self) -> None:
        """End every task and close the folder."""
        node = self._node
        if node.is_stopped:
            return
        node.is_stopped = True
        node.step_down()
        await node.tasks.cancel()
        await node.disk.close()

    async def answer(self, request: NamedTuple) -> NamedTuple:
        """Serve a peer's `Link.call`; raise `SeamError` where it can't be.

        The work goes on when the caller gives up, so that none stops half-way
        between memory and disk.
        """
        self._node.check_running()
        task = self._node.tasks.spawn(self._try_answer(request))
        await asyncio.wait({task})
        if task.cancelled():
            raise link.LinkError("the member stops")
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
            logger.exception("a request failed")
            return link.LinkError(f"{type(failure).__name__}: {failure}")

    async def propose(self, command: bytes) -> object:
        """Return the machine's result once the command is committed and applied.

        Files that the command names must be durable here before. Raises
        `NotLeaderError` (not appended), `OutcomeError` (appended, but
        leadership went: it may yet be applied or never) or `StorageError`.
        """
        node = self._node
        node.check_leading()
        if node.pending >= node.options.max_pending:
            raise error.CapacityError("too many proposals wait for the log")
        return await node.append(message.COMMAND, command)

    async def confirm_leadership(self) -> int:
        """Return an index, applied here, that covers all acknowledged so far.

        A quorum answers a round begun after this call; `NotLeaderError` if not.
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
        """Do as `confirm_leadership` on any member, by asking the leader if need be."""
        node = self._node
        node.check_running()
        if node.role is nodes.Role.LEADER:
            return await self.confirm_leadership()
        index = await self._reads.run()
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
            raise error.NotLeaderError("the leader didn't confirm", known)
        return reply.index

    async def _answer_read_index(self) -> message.ReadIndexReply:
        try:
            index = await self._confirm_index()
        except error.NotLeaderError as failure:
            return message.ReadIndexReply(False, 0, failure.leader)
        return message.ReadIndexReply(True, index, self._node.name)

    async def wait_applied(self, index: int) -> None:
        """Return once this member has applied everything up to the index."""
        node = self._node

        def is_applied() -> bool:
            node.check_running()
            return node.applied >= index

        await node.changed.wait_until(is_applied)

    def subscribe(self, callback: applier.Subscriber) -> None:
        """Call back after each applied command, with its index and result.

        Commands that a snapshot brought are not called for.
        """
        self._applier.subscribers.append(callback)

    @property
    def leader(self) -> str:
        """Return the leader's name as far as known, or nothing."""
        return self._node.leader

    @property
    def is_leader(self) -> bool:
        """Say whether this member leads and its lease still runs."""
        return self._node.role is nodes.Role.LEADER and self._node.has_lease

    @property
    def applied(self) -> int:
        """Return the index of the newest entry applied here."""
        return self._node.applied

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._node.term

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the newest members in the log."""
        return self._node.members

    @property
    def fatal(self) -> error.StorageError | None:
        """Return what stopped this member for ever, or None."""
        return self._node.fatal

    @property
    def lease_start(self) -> float:
        """Return the local time from which the leader's lease runs.

        It is when the newest round was sent that a quorum has answered, and
        minus infinity on a member that doesn't lead or hands over.
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
        """Name the members that are to leave as soon as others take their place."""
        self._membership.leaving = names

    def measure_silence(self, name: str) -> float:
        """Return for how many seconds the leader has heard nothing of a member.

        It is infinite for one that isn't a member, and on a member that doesn't
        lead.
        """
        peer = self._node.peers.get(name)
        return peer.silence if peer is not None else math.inf

    @property
    def folder(self) -> str:
        """Return the id of this member's data folder."""
        return self._node.identity.folder

    async def transfer_leadership(self) -> None:
        """Hand leadership to the most advanced voter, and follow."""
        node = self._node
        if node.role is not nodes.Role.LEADER:
            return
        node.is_transferring = True
        term = node.term
        try:
            heir = await timers.wait_for(
                node.timer, self._find_heir(term), node.options.election_min
            )
        except TimeoutError:
            heir = None
        if heir is not None:
            request = message.CampaignRequest(
                node.identity.cluster, node.name, heir.folder, term
            )
            await node.call(heir.name, request, node.options.call_timeout)
        # The heir may stand even if its answer was lost, so the lease is gone.
        if node.role is nodes.Role.LEADER and node.term == term:
            node.step_down()

    async def _find_heir(self, term: int) -> Member | None:
        """Return a voter that has the whole log, once there is one."""
        node = self._node
        heirs: list[Member] = []

        def is_found() -> bool:
            if node.role is not nodes.Role.LEADER or node.term != term:
                return True
            heirs[:] = [
                peer.member
                for peer in node.peers.values()
                if peer.member.voter and peer.match == node.log.last_index
            ]
            return bool(heirs) and node.pending == 0

        await node.changed.wait_until(is_found)
        return heirs[-1] if heirs else None

    def _answer_campaign(
        self, request: message.CampaignRequest
    ) -> message.CampaignReply:
        node = self._node
        is_meant = (request.cluster, request.target, request.term) == (
            node.identity.cluster,
            node.identity.folder,
            node.term,
        )
        if is_meant and node.is_voter:
            node.tasks.spawn(self._elector.start_election(transfer=True))
        return message.CampaignReply(node.identity.folder, is_meant)

"""Handles the requests of peers: votes, heartbeats, entries and snapshots.

A reply is sent only after the term and vote that it reports are durable, and an
acknowledgement only after the entries are. Each request runs in its own task,
so that a cancelled caller never interrupts one between the change in memory and
the write to disk.
"""

import asyncio
from typing import NamedTuple

from sapphireseam.state import link, message, node as nodes, store as stores


class _IncomingSnapshot:
    """The chunks of a snapshot that one leader is sending."""

    def __init__(self, request: message.SnapshotRequest):
        self.key = (request.sender, request.term, request.index, request.total)
        self.data = bytearray()


class Receiver:
    """Handle the requests that one member receives."""

    def __init__(self, node: nodes.Node):
        self._node = node
        # Requests with entries or snapshots change the log one at a time.
        self._log_lock = asyncio.Lock()
        self._incoming: _IncomingSnapshot | None = None
        self._answers = {
            message.IdentifyRequest: self._answer_identify,
            message.FormRequest: self._answer_form,
            message.VoteRequest: self._answer_vote,
            message.HeartbeatRequest: self._answer_heartbeat,
            message.AppendRequest: self._answer_append,
            message.SnapshotRequest: self._answer_snapshot,
        }

    async def answer(self, request: NamedTuple) -> NamedTuple:
        """Return the reply, or raise `LinkError` for another cluster's request."""
        self._node.check_running()
        reply = await self._answers[type(request)](request)
        self._node.check_running()
        return reply

    # Bootstrap.

    async def _answer_identify(self, request) -> message.IdentifyReply:
        node = self._node
        names = tuple(sorted(item.name for item in node.options.bootstrap))
        return message.IdentifyReply(node.identity.folder, node.identity.cluster, names)

    async def _answer_form(self, request: message.FormRequest) -> message.FormReply:
        node = self._node
        is_named = any(
            item.name == node.name and item.folder == node.identity.folder
            for item in request.members
        )
        if is_named:
            await node.join(request.cluster, request.members)
        return message.FormReply(node.identity.folder, node.identity.cluster)

    def _check_cluster(self, request) -> None:
        own = self._node.identity.cluster
        if own and own != request.cluster:
            raise link.LinkError(f"{self._node.name} belongs to another cluster")

    async def _join_if_named(self, request) -> bool:
        """Return whether the request names this folder; join if it is fresh.

        A leader that names this folder has it in its member list, so a fresh
        folder joins the leader's cluster.
        """
        node = self._node
        self._check_cluster(request)
        if request.target != node.identity.folder:
            return False
        await node.join(request.cluster)
        self._check_cluster(request)
        return True

    # Elections.

    async def _answer_vote(self, request: message.VoteRequest) -> message.VoteReply:
        node = self._node
        self._check_cluster(request)
        granted = False
        # A member with a fresh folder may have voted in this term before it lost its
        # previous folder, so it doesn't vote.
        if node.identity.cluster and request.target == node.identity.folder:
            granted = self._decide_vote(request)
        await node.save()
        return message.VoteReply(node.identity.folder, node.term, granted)

    def _decide_vote(self, request: message.VoteRequest) -> bool:
        node = self._node
        if not request.transfer and self._has_leader_contact():
            return False
        if request.pre:
            return request.term > node.term and self._is_candidate_current(request)
        node.adopt_term(request.term)
        if request.term < node.term or node.vote not in ("", request.sender):
            return False
        if not self._is_candidate_current(request):
            return False
        node.vote = request.sender
        # Give the candidate time to win and to send its first heartbeat.
        node.election_timer_start = node.timer.read_clock()
        return True

    def _has_leader_contact(self) -> bool:
        """Return whether a leader may still rely on this member's refusal to vote."""
        node = self._node
        if node.role is nodes.Role.LEADER:
            return not node.has_lost_quorum
        silence = node.timer.read_clock() - node.last_leader_contact
        return silence < node.options.election_min

    def _is_candidate_current(self, request: message.VoteRequest) -> bool:
        log = self._node.log
        candidate_log = (request.last_term, request.last_index)
        return candidate_log >= (log.last_term, log.last_index)

    # Heartbeats and entries.

    def _follow_sender(self, request) -> bool:
        """Follow the sender as leader unless its term is over."""
        node = self._node
        node.adopt_term(request.term)
        if request.term < node.term:
            return False
        node.record_leader_contact(request.sender, request.term)
        return True

    async def _answer_heartbeat(self, request: message.HeartbeatRequest):
        node = self._node
        accepted = await self._join_if_named(request) and self._follow_sender(request)
        if accepted:
            node.set_commit(min(request.commit, node.leader_match))
        await node.save()
        return message.HeartbeatReply(
            node.identity.folder, node.term, accepted, node.leader_match
        )

    async def _answer_append(self, request: message.AppendRequest):
        node = self._node
        match, next_index = 0, 0
        if await self._join_if_named(request) and self._follow_sender(request):
            async with self._log_lock:
                match, next_index = await self._append_entries(request)
        await node.save()
        return message.AppendReply(
            node.identity.folder, node.term, match > 0, match, next_index
        )

    async def _append_entries(self, request: message.AppendRequest) -> tuple[int, int]:
        """Return the synced index and 0, or 0 and the next index to send."""
        node = self._node
        if request.term != node.term:
            return 0, 0
        if not self._matches_log(request):
            return 0, self._find_next_index(request.prev_index)
        await self._fetch_blobs(request)
        if request.term != node.term:
            return 0, 0
        node.merge(request.entries)
        last = request.prev_index + len(request.entries)
        await node.wait_synced(last)
        await node.save()
        if request.term != node.term:
            return 0, 0
        node.leader_match = max(node.leader_match, last)
        node.set_commit(min(request.commit, node.leader_match))
        return last, 0

    def _matches_log(self, request: message.AppendRequest) -> bool:
        log = self._node.log
        if request.prev_index < log.base_index:
            # A snapshot holds committed entries only, which every leader has.
            return True
        return log.read_term(request.prev_index) == request.prev_term

    def _find_next_index(self, previous: int) -> int:
        log = self._node.log
        if previous > log.last_index:
            return log.last_index + 1
        return max(log.find_term_start(previous), self._node.commit + 1)

    async def _fetch_blobs(self, request: message.AppendRequest) -> None:
        log = self._node.log
        commands = [
            entry.data
            for entry in request.entries
            if entry.kind == message.COMMAND
            and entry.index > log.base_index
            and log.read_term(entry.index) != entry.term
        ]
        if commands:
            await self._node.blob_fetcher.prepare(commands, request.sender)

    # Snapshots.

    async def _answer_snapshot(self, request: message.SnapshotRequest):
        node = self._node
        offset, match = 0, 0
        accepted = await self._join_if_named(request) and self._follow_sender(request)
        if accepted:
            async with self._log_lock:
                offset, match = await self._receive_chunk(request)
        await node.save()
        accepted = accepted and request.term == node.term
        return message.SnapshotReply(
            node.identity.folder, node.term, accepted, offset, match
        )

    async def _receive_chunk(self, request: message.SnapshotRequest) -> tuple[int, int]:
        """Add a chunk; return the next offset and, once installed, the index."""
        node = self._node
        if request.term != node.term:
            return 0, 0
        if request.index <= node.commit:
            return request.total, request.index
        incoming = _IncomingSnapshot(request)
        if self._incoming is None or self._incoming.key != incoming.key:
            self._incoming = incoming
        received = self._incoming.data
        if request.offset == len(received):
            received += request.data
        if len(received) < request.total:
            return len(received), 0
        data, self._incoming = bytes(received), None
        await node.blob_fetcher.prepare_snapshot(data, request.sender)
        if request.term != node.term:
            return 0, 0
        await self._install_snapshot(request, data)
        return request.total, request.index

    async def _install_snapshot(
        self, request: message.SnapshotRequest, data: bytes
    ) -> None:
        node = self._node
        mark = stores.Mark(request.index, request.index_term, request.members)
        async with node.snapshot_lock:
            if mark.index <= node.applied:
                return
            await node.run_storage(node.store.save_snapshot(mark, data))
            if mark.index > node.applied:
                node.restore(data)
                node.applied = mark.index
                node.set_commit(mark.index)
            node.snapshot = mark
            if node.log.read_term(mark.index) != mark.term:
                await node.run_storage(node.log.reset(mark.index, mark.term))
            node.load_members(mark.index, mark.members)
            node.leader_match = max(node.leader_match, mark.index)
        node.changed.notify()

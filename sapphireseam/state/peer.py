"""Replicates the log from the leader to one peer and sends it heartbeats.

Heartbeats are sent by a task of their own: a follower acknowledges entries only
after their blobs are fetched and synced, which may take longer than an election
timeout. Replies of either kind count only if they come from the peer's recorded
folder.
"""

import asyncio
import math

from sapphireseam.state import message, node as nodes
from sapphireseam.utils import broadcast, timer as timers


class Peer:
    """Track and serve one peer during one term of this leader."""

    def __init__(self, node: nodes.Node, member: message.Member):
        self.member = member
        self.match = 0
        # Whether the newest reply covered all entries committed when its request was
        # sent.
        self.is_caught_up = False
        self.acked_at = -math.inf
        self.acked_round = 0
        self.created_at = node.timer.read_clock()
        # The folder id in a reply, if it differs from the recorded one.
        self.reported_folder = ""
        self._node = node
        self._term = node.term
        self._next_index = max(node.log.last_index, 1)
        self._sent_round = 0
        self._sent_commit = 0
        # Whether the peer has restarted, so that an append request must find how far
        # its log matches.
        self._is_probe_due = False
        self._heartbeat_due = broadcast.Broadcast()
        self._entries_due = broadcast.Broadcast()
        self._inflight: asyncio.Task | None = None

    def start(self) -> None:
        """Start the peer's two tasks, which end with the leadership."""
        self._node.tasks.keep(self._run_heartbeats)
        self._node.tasks.keep(self._run_entries)

    def wake(self) -> None:
        """Make both tasks check again whether there is something to send."""
        self._heartbeat_due.notify()
        self._entries_due.notify()

    @property
    def silence(self) -> float:
        """Return the seconds since this leader's last contact with the peer."""
        last_contact = max(self.acked_at, self.created_at)
        return self._node.timer.read_clock() - last_contact

    @property
    def is_active(self) -> bool:
        """Return whether this member is still the term's leader and serves the peer."""
        node = self._node
        is_leading = node.role is nodes.Role.LEADER and node.term == self._term
        return is_leading and node.peers.get(self.member.name) is self

    @property
    def _is_paced(self) -> bool:
        """Return whether the peer is a learner that no promotion waits for."""
        return not (self.member.voter or self.member.returning)

    async def _run_heartbeats(self) -> None:
        missed = False
        while self.is_active:
            is_answered = await self._send_heartbeat()
            if is_answered and missed and self._inflight is not None:
                # The link works again; a request sent before may never be answered.
                self._inflight.cancel()
            missed = not is_answered
            await self._wait_for_heartbeat(missed)

    async def _send_heartbeat(self) -> bool:
        node = self._node
        self._sent_round, self._sent_commit = node.heartbeat_round, node.commit
        request = message.HeartbeatRequest(
            node.identity.cluster,
            node.name,
            self.member.folder,
            self._term,
            node.commit,
        )
        sent_at = node.timer.read_clock()
        sent_round = node.heartbeat_round
        reply = await node.call(self.member.name, request, node.options.call_timeout)
        if reply is None or not self._process_reply(reply, sent_at, sent_round):
            return False
        if reply.match < self.match:
            self._is_probe_due = True
            self._entries_due.notify()
        return True

    async def _wait_for_heartbeat(self, missed: bool) -> None:
        node = self._node

        def is_due() -> bool:
            is_behind = (
                self._sent_round < node.heartbeat_round
                or self._sent_commit < node.commit
            )
            return not self.is_active or is_behind

        if missed:
            await node.timer.sleep(node.options.heartbeat)
            return
        if self._is_paced:
            await self._wait_for_pace()
            return
        try:
            due = self._heartbeat_due.wait_until(is_due)
            await timers.wait_for(node.timer, due, node.options.heartbeat)
        except TimeoutError:
            pass

    async def _wait_for_pace(self) -> None:
        """Wait until a learner has acknowledged nothing for an interval.

        A batch of entries reports the leader and its commit index as a heartbeat does.
        """
        node = self._node
        interval = node.options.learner_interval
        await node.timer.sleep(interval)
        while (
            self.is_active
            and self._is_paced
            and node.timer.read_clock() - self.acked_at < interval
        ):
            await node.timer.sleep(interval)

    def _process_reply(self, reply, sent_at: float, sent_round: int) -> bool:
        """Record a reply's term and folder; return whether it accepts this leader."""
        node = self._node
        if reply.term > node.term:
            node.adopt_term(reply.term)
        if not self.is_active:
            return False
        if reply.folder != self.member.folder:
            self.reported_folder = reply.folder
            return False
        if not reply.accepted or reply.term != self._term:
            return False
        self.acked_at = max(self.acked_at, sent_at)
        self.acked_round = max(self.acked_round, sent_round)
        node.changed.notify()
        return True

    async def _run_entries(self) -> None:
        node = self._node
        while self.is_active:
            if not self.member.folder:
                await node.timer.sleep(node.options.heartbeat)
                continue
            await self._entries_due.wait_until(self._has_entries_due)
            if self._is_paced and self.is_caught_up:
                await node.timer.sleep(node.options.learner_interval)
            if self.is_active and not await self._send_next():
                await node.timer.sleep(node.options.heartbeat)

    def _has_entries_due(self) -> bool:
        is_behind = self._next_index <= self._node.log.last_index
        return not self.is_active or is_behind or self._is_probe_due

    async def _send_next(self) -> bool:
        self._is_probe_due = False
        if self._next_index <= self._node.log.base_index:
            return await self._send_snapshot()
        return await self._send_entries()

    async def _call(self, request):
        """Call with a long timeout, cancelled when heartbeats are answered again."""
        node = self._node
        coroutine = node.call(self.member.name, request, node.options.append_timeout)
        self._inflight = asyncio.ensure_future(coroutine)
        try:
            await asyncio.wait({self._inflight})
            return None if self._inflight.cancelled() else self._inflight.result()
        finally:
            self._inflight.cancel()
            self._inflight = None

    async def _send_entries(self) -> bool:
        node = self._node
        entries = tuple(node.log.read_batch(self._next_index, node.options.batch_bytes))
        previous = self._next_index - 1
        request = message.AppendRequest(
            node.identity.cluster,
            node.name,
            self.member.folder,
            self._term,
            previous,
            node.log.read_term(previous),
            node.commit,
            entries,
        )
        sent_at = node.timer.read_clock()
        reply = await self._call(request)
        if reply is None:
            return False
        if self._process_reply(reply, sent_at, 0):
            self._record_match(reply.match, request.commit)
            return True
        is_rejected = reply.folder == self.member.folder and reply.next_index > 0
        return (
            is_rejected and self.is_active and self._lower_next_index(reply.next_index)
        )

    def _lower_next_index(self, index: int) -> bool:
        """Lower the next index to send; return whether it became lower."""
        lowered = max(self.match + 1, min(self._next_index - 1, index))
        is_lower = lowered < self._next_index
        self._next_index = lowered
        return is_lower

    def _record_match(self, match: int, commit: int) -> None:
        """Record the index synced by the peer; `commit` is that of the request."""
        self.match = max(self.match, match)
        self.is_caught_up = self.match >= commit
        self._next_index = self.match + 1
        self._node.advance_commit()
        self._node.changed.notify()

    async def _send_snapshot(self) -> bool:
        node = self._node
        mark, data = await node.run_storage(node.store.load_snapshot())
        if data is None:
            return False
        offset = 0
        while self.is_active:
            commit = node.commit
            reply = await self._send_chunk(mark, data, offset)
            if reply is None:
                return False
            if reply.match:
                self._record_match(reply.match, commit)
                return True
            offset = min(reply.offset, len(data))
        return False

    async def _send_chunk(self, mark, data: bytes, offset: int):
        node = self._node
        request = message.SnapshotRequest(
            node.identity.cluster,
            node.name,
            self.member.folder,
            self._term,
            mark.index,
            mark.term,
            mark.members,
            offset,
            len(data),
            data[offset : offset + node.options.chunk_bytes],
        )
        sent_at = node.timer.read_clock()
        reply = await self._call(request)
        if reply is None or not self._process_reply(reply, sent_at, 0):
            return None
        return reply

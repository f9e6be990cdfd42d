"""Runs elections when the leader is silent; a leader without a quorum steps down.

A pre-vote first checks whether an election could be won, so that a member that
was partitioned away doesn't depose the leader when it returns. Voters refuse
to vote while they are in contact with a leader; the leader's lease depends on
that.
"""

import asyncio

from sapphireseam.state import message, node as nodes

# Delay before a failed pre-vote is retried, as a share of the shortest election
# timeout. It is short because a pre-vote deposes no leader and the voters that
# didn't answer may still be starting.
RETRY_SHARE_MIN = 0.25
RETRY_SHARE_MAX = 0.5


class ElectionManager:
    """Start elections for one member after an election timeout."""

    def __init__(self, node: nodes.Node):
        self._node = node
        self._timeout = self._draw_timeout()

    def _draw_timeout(self) -> float:
        options = self._node.options
        return self._node.rng.uniform(options.election_min, options.election_max)

    def _draw_retry_delay(self) -> float:
        share = self._node.rng.uniform(RETRY_SHARE_MIN, RETRY_SHARE_MAX)
        return self._node.options.election_min * share

    async def run(self) -> None:
        """Check the timeout at random intervals, so that votes are rarely split."""
        node = self._node
        while True:
            delay = node.options.heartbeat * node.rng.uniform(0.5, 1.0)
            await node.timer.sleep(delay)
            if node.fatal is None:
                await self._check_timeout()

    async def _check_timeout(self) -> None:
        node = self._node
        if node.role is nodes.Role.LEADER:
            if node.has_lost_quorum:
                node.step_down()
            return
        now = node.timer.read_clock()
        if (
            now - max(node.last_leader_contact, node.election_timer_start)
            >= self._timeout
        ):
            self._timeout = self._draw_timeout()
            if now - node.last_leader_contact >= node.options.election_max:
                self._forget_leader()
            await self.start_election()

    def _forget_leader(self) -> None:
        if self._node.leader:
            self._node.leader = ""
            self._node.changed.notify()

    async def start_election(self, transfer: bool = False) -> None:
        """Try to become leader; `transfer` says that the leader requested it."""
        node = self._node
        if not node.is_voter or not node.identity.cluster:
            return
        node.election_timer_start = node.timer.read_clock()
        state = (node.term, node.last_leader_contact)
        if not transfer and not await self._collect_votes(node.term + 1, True, False):
            self._timeout = self._draw_retry_delay()
            return
        if state != (node.term, node.last_leader_contact) or not node.is_voter:
            return
        await self._campaign(transfer)

    async def _campaign(self, transfer: bool) -> None:
        node = self._node
        node.adopt_term(node.term + 1)
        term = node.term
        node.vote = node.name
        node.role = nodes.Role.CANDIDATE
        await node.save()
        is_won = self._is_candidate(term) and await self._collect_votes(
            term, False, transfer
        )
        if not self._is_candidate(term):
            return
        if is_won:
            node.become_leader()
        else:
            node.step_down()

    def _is_candidate(self, term: int) -> bool:
        node = self._node
        is_candidate = node.role is nodes.Role.CANDIDATE
        return is_candidate and node.term == term and node.fatal is None

    async def _collect_votes(self, term: int, pre: bool, transfer: bool) -> bool:
        """Request votes from the other voters; return True once a quorum is reached."""
        node = self._node
        voters = node.voters
        needed = nodes.count_quorum(len(voters)) - 1
        pending = {
            asyncio.ensure_future(self._request_vote(voter, term, pre, transfer))
            for voter in voters
            if voter.name != node.name
        }
        try:
            while needed > 0 and pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                needed -= sum(task.result() for task in done)
        finally:
            for task in pending:
                task.cancel()
        return needed <= 0

    async def _request_vote(
        self, voter: message.Member, term: int, pre: bool, transfer: bool
    ) -> bool:
        node = self._node
        request = message.VoteRequest(
            node.identity.cluster,
            node.name,
            voter.folder,
            term,
            node.log.last_index,
            node.log.last_term,
            pre,
            transfer,
        )
        reply = await node.call(voter.name, request, node.options.call_timeout)
        if reply is None:
            return False
        if not reply.granted:
            node.adopt_term(reply.term)
        return reply.granted and reply.folder == voter.folder

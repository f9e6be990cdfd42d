"""Stand for election when no leader is heard, and step down without a quorum.

A pre-vote asks first whether an election could be won, so that a member that
was cut off doesn't depose a leader on its return. Voters refuse while they
hear a leader, which is what the leader's lease rests on.
"""

import asyncio

from sapphireseam.state import message, node as nodes

# Parts of the shortest election timeout after which a lost poll is repeated: polls
# depose nobody, and the voters that didn't answer may be starting.
SHORTEST_REPEAT = 0.25
LONGEST_REPEAT = 0.5


class ElectionManager:
    """Watch for silence on behalf of one member."""

    def __init__(self, node: nodes.Node):
        self._node = node
        self._timeout = self._draw_timeout()

    def _draw_timeout(self) -> float:
        options = self._node.options
        return self._node.rng.uniform(options.election_min, options.election_max)

    def _draw_repeat(self) -> float:
        share = self._node.rng.uniform(SHORTEST_REPEAT, LONGEST_REPEAT)
        return self._node.options.election_min * share

    async def run(self) -> None:
        """Look now and then, at no fixed beat so that members rarely tie."""
        node = self._node
        while True:
            beat = node.options.heartbeat * node.rng.uniform(0.5, 1.0)
            await node.timer.sleep(beat)
            if node.fatal is None:
                await self._look()

    async def _look(self) -> None:
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
        """Try to become leader; `transfer` when the leader asked for it."""
        node = self._node
        if not node.is_voter or not node.identity.cluster:
            return
        node.election_timer_start = node.timer.read_clock()
        before = (node.term, node.last_leader_contact)
        if not transfer and not await self._poll(node.term + 1, True, False):
            self._timeout = self._draw_repeat()
            return
        if before != (node.term, node.last_leader_contact) or not node.is_voter:
            return
        await self._campaign(transfer)

    async def _campaign(self, transfer: bool) -> None:
        node = self._node
        node.adopt_term(node.term + 1)
        term = node.term
        node.vote = node.name
        node.role = nodes.Role.CANDIDATE
        await node.save()
        is_won = self._is_standing(term) and await self._poll(term, False, transfer)
        if not self._is_standing(term):
            return
        if is_won:
            node.become_leader()
        else:
            node.step_down()

    def _is_standing(self, term: int) -> bool:
        node = self._node
        is_candidate = node.role is nodes.Role.CANDIDATE
        return is_candidate and node.term == term and node.fatal is None

    async def _poll(self, term: int, pre: bool, transfer: bool) -> bool:
        """Ask every voter; return as soon as a quorum has granted."""
        node = self._node
        voters = node.voters
        needed = nodes.count_quorum(len(voters)) - 1
        work = {
            asyncio.ensure_future(self._ask(voter, term, pre, transfer))
            for voter in voters
            if voter.name != node.name
        }
        try:
            while needed > 0 and work:
                done, work = await asyncio.wait(
                    work, return_when=asyncio.FIRST_COMPLETED
                )
                needed -= sum(task.result() for task in done)
        finally:
            for task in work:
                task.cancel()
        return needed <= 0

    async def _ask(
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

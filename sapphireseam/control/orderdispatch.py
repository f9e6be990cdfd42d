"""Grant orders to agents, while this control VM leads.

A grant lasts for a while from when the agent asked and is renewed while the
order is carried out. The order of an agent that falls silent is ended as
failed, later than the agent's own count has run out, and only then may the
next one of its upstream begin. A new leader gives every grant a whole term.
"""

import logging

from sapphireseam.control import order
from sapphireseam.control.machine import StateMachine
from sapphireseam.core import command, error, message, outcome
from sapphireseam.state.replica import Replica
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import TimerService, run_periodically

logger = logging.getLogger(__name__)

# An agent may give its upstream an order for this long after it asked.
GRANT_SECONDS = 3.0
# The leader waits this much longer before it ends the order.
MARGIN_SECONDS = 0.5
REVIEW_SECONDS = 0.5


class OrderDispatcher:
    """Give out orders one at a time for each upstream."""

    def __init__(
        self,
        replica: Replica,
        machine: StateMachine,
        timeline: Timeline,
        timer: TimerService,
    ):
        self._replica = replica
        self._machine = machine
        self._timeline = timeline
        self._timer = timer
        self._term = -1
        self._heard: dict[int, float] = {}
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Begin to look after silent agents."""
        self._tasks.spawn(run_periodically(self._timer, REVIEW_SECONDS, self.review))

    async def stop(self) -> None:
        """Leave the grants to the next leader."""
        await self._tasks.cancel()

    def _require_leader(self) -> None:
        if not self._replica.is_leader:
            raise error.NotLeaderError("this control VM doesn't lead")
        if self._replica.term != self._term:
            self._term = self._replica.term
            self._heard.clear()

    async def pull(self, request: message.PullOrder) -> message.OrderGrant:
        """Grant an upstream's next order, or renew the grant of one."""
        self._require_leader()
        now = self._timer.read_clock()
        fence = request.holding or order.find_next(
            self._machine.state, request.upstream
        )
        if not fence:
            return message.OrderGrant(0)
        item = command.BeginOrder(fence, request.agent, self._timer.read_wall_clock())
        # Committing it again renews the grant by a quorum's word.
        answer = await self._replica.propose(command.REGISTRY.encode(item))
        if isinstance(answer, outcome.Refused):
            return message.OrderGrant(0)
        self._heard[fence] = max(now, self._heard.get(fence, now))
        found = self._machine.state.orders[fence]
        return message.OrderGrant(fence, found.action, found.argument)

    async def review(self) -> None:
        """End the orders of agents that fell silent."""
        if not self._replica.is_leader:
            return
        self._require_leader()
        now = self._timer.read_clock()
        for fence, found in list(self._machine.state.orders.items()):
            if not found.begun or found.finished:
                self._heard.pop(fence, None)
                continue
            heard = self._heard.setdefault(fence, now)
            if now - heard > GRANT_SECONDS + MARGIN_SECONDS:
                await self._end(fence, found.upstream)

    async def _end(self, fence: int, upstream: str) -> None:
        at = self._timer.read_wall_clock()
        item = command.FinishOrder(fence, "the agent fell silent", at)
        try:
            await self._replica.propose(command.REGISTRY.encode(item))
        except error.SeamError as failure:
            logger.info("order not ended", extra={"cause": failure.message})
            return
        self._timeline.record("order_ended", upstream, detail=str(fence))

"""Grants orders to agents, and ends the orders of silent agents.

Only the leader does so. A grant is valid for GRANT_SECONDS from the time of the
agent's request, and the agent renews it while it carries the order out. If the agent
doesn't renew its grant, the leader ends the order as failed. It does so only after
the grant has expired by the agent's own clock, and only then may the next order to
that upstream begin. A new leader assumes that every grant was just renewed.
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

# How long after its request an agent may send the granted order to its upstream.
GRANT_SECONDS = 3.0
# Additional time that the leader waits before it ends the order.
MARGIN_SECONDS = 0.5
EXPIRY_CHECK_SECONDS = 0.5


class OrderDispatcher:
    """Grants orders one at a time for each upstream."""

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
        self._last_contact: dict[int, float] = {}
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Start to check for silent agents."""
        self._tasks.spawn(
            run_periodically(self._timer, EXPIRY_CHECK_SECONDS, self.expire_grants)
        )

    async def stop(self) -> None:
        """Stop the check; the next leader continues it."""
        await self._tasks.cancel()

    def _require_leader(self) -> None:
        if not self._replica.is_leader:
            raise error.NotLeaderError("this control VM is not the leader")
        if self._replica.term != self._term:
            self._term = self._replica.term
            self._last_contact.clear()

    async def pull(self, request: message.PullOrder) -> message.OrderGrant:
        """Grant the next order to an upstream, or renew the grant of its order."""
        self._require_leader()
        now = self._timer.read_clock()
        fence = request.holding or order.find_next(
            self._machine.state, request.upstream
        )
        if not fence:
            return message.OrderGrant(0)
        item = command.BeginOrder(fence, request.agent, self._timer.read_wall_clock())
        # A renewal commits `BeginOrder` again, so that a quorum confirms it.
        answer = await self._replica.propose(command.REGISTRY.encode(item))
        if isinstance(answer, outcome.Refused):
            return message.OrderGrant(0)
        self._last_contact[fence] = max(now, self._last_contact.get(fence, now))
        found = self._machine.state.orders[fence]
        return message.OrderGrant(fence, found.action, found.argument)

    async def expire_grants(self) -> None:
        """End the orders whose agents haven't renewed their grants."""
        if not self._replica.is_leader:
            return
        self._require_leader()
        now = self._timer.read_clock()
        for fence, found in list(self._machine.state.orders.items()):
            if not found.begun or found.finished:
                self._last_contact.pop(fence, None)
                continue
            last_contact = self._last_contact.setdefault(fence, now)
            if now - last_contact > GRANT_SECONDS + MARGIN_SECONDS:
                await self._end(fence, found.upstream)

    async def _end(self, fence: int, upstream: str) -> None:
        at = self._timer.read_wall_clock()
        item = command.FinishOrder(fence, "the agent fell silent", at)
        try:
            await self._replica.propose(command.REGISTRY.encode(item))
        except error.SeamError as failure:
            logger.info(
                "can't end the order of a silent agent",
                extra={"cause": failure.message},
            )
            return
        self._timeline.record("order_ended", upstream, detail=str(fence))

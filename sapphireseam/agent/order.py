"""Carry out the operators' orders to the upstream: load, unload, change role.

Not every upstream checks fencing numbers, so the agent does. It gives an order
only while its grant lasts, counted from when it asked; each grant is committed
by a quorum, which never begins an order after a newer one. So an agent that
was restarted, or frozen, gives no order that another run may have overtaken.
"""

import asyncio
import logging
import secrets

from sapphireseam.agent import engine
from sapphireseam.core import command, error, message
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import TimerService, run_periodically

logger = logging.getLogger(__name__)

PULL_SECONDS = 1.0
RENEW_SECONDS = 0.5
CALL_SECONDS = 2.0
# An order may be given for this long after the agent asked for it. The leader
# waits longer, see `control.orderdispatch`.
GRANT_SECONDS = 3.0


class OrderRunner:
    """Pull orders for one upstream and carry them out one by one."""

    def __init__(
        self,
        node: str,
        upstream: engine.UpstreamClient,
        client: ControlClient,
        timeline: Timeline,
        timer: TimerService,
    ):
        self._agent = f"{node}/{secrets.token_hex(8)}"
        self._upstream = upstream
        self._client = client
        self._timeline = timeline
        self._timer = timer
        self._highest = 0
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Begin to pull."""
        self._tasks.spawn(run_periodically(self._timer, PULL_SECONDS, self._attempt))

    async def stop(self) -> None:
        """Give up what is under way; the leader ends it."""
        await self._tasks.cancel()

    async def _attempt(self) -> None:
        try:
            await self.pull()
        except error.SeamError as failure:
            logger.info("orders put off", extra={"cause": failure.message})

    async def _ask(self, holding: int = 0) -> message.OrderGrant:
        request = message.PullOrder(self._agent, self._upstream.name, holding)
        return await self._client.call(request, CALL_SECONDS)

    async def pull(self) -> None:
        """Carry out the next order, if there is one."""
        if not self._upstream.healthy:
            return
        sent = self._timer.read_clock()
        grant = await self._ask()
        if not grant.fence:
            return
        late = self._timer.read_clock() >= sent + GRANT_SECONDS
        if late or grant.fence < self._highest:
            return
        self._highest = grant.fence
        failure = await self._carry_out(grant)
        if failure is not None:
            await self._finish(grant, failure)

    async def _carry_out(self, grant: message.OrderGrant) -> str | None:
        """Return how the order failed, empty if it didn't, None if it was lost."""
        work = asyncio.ensure_future(
            self._upstream.send_order(grant.action, grant.argument, grant.fence)
        )
        renewal = asyncio.ensure_future(self._renew(grant.fence))
        try:
            await asyncio.wait({work, renewal}, return_when=asyncio.FIRST_COMPLETED)
            return work.result() if work.done() else None
        finally:
            work.cancel()
            renewal.cancel()

    async def _renew(self, fence: int) -> None:
        """Renew the grant; return once it is lost."""
        until = self._timer.read_clock() + GRANT_SECONDS
        while self._timer.read_clock() < until:
            await self._timer.sleep(RENEW_SECONDS)
            sent = self._timer.read_clock()
            try:
                grant = await self._ask(fence)
            except error.SeamError:
                continue
            if not grant.fence:
                return
            until = sent + GRANT_SECONDS

    async def _finish(self, grant: message.OrderGrant, failure: str) -> None:
        at = self._timer.read_wall_clock()
        await self._client.propose(command.FinishOrder(grant.fence, failure, at))
        self._timeline.record("order_done", self._upstream.name, detail=grant.action)

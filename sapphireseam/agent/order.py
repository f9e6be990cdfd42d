"""Carries out operators' orders to the upstream: load, unload, change role.

Not every upstream checks fencing numbers, so the agent does. It sends an order
only while the grant of the order is valid. A grant is valid for a fixed time after
the agent sent its request. Each grant is committed by a quorum, which never begins
an order after a newer one. An agent that was restarted or frozen therefore sends no
order once another process of the agent may have sent a newer one.
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
# A grant is valid for this long after the agent sent its request. The leader waits
# longer before it ends the order, see `control.orderdispatch`.
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
        self._highest_fence = 0
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Start to pull orders."""
        self._tasks.spawn(
            run_periodically(self._timer, PULL_SECONDS, self._pull_or_log)
        )

    async def stop(self) -> None:
        """Cancel the running order; the leader ends it."""
        await self._tasks.cancel()

    async def _pull_or_log(self) -> None:
        try:
            await self.pull()
        except error.SeamError as failure:
            logger.info(
                "order call to the leader failed; retrying",
                extra={"cause": failure.message},
            )

    async def _request(self, holding: int = 0) -> message.OrderGrant:
        request = message.PullOrder(self._agent, self._upstream.name, holding)
        return await self._client.call(request, CALL_SECONDS)

    async def pull(self) -> None:
        """Request the next order and carry it out, if there is one."""
        if not self._upstream.healthy:
            return
        sent_at = self._timer.read_clock()
        grant = await self._request()
        if not grant.fence:
            return
        is_late = self._timer.read_clock() >= sent_at + GRANT_SECONDS
        if is_late or grant.fence < self._highest_fence:
            return
        self._highest_fence = grant.fence
        failure = await self._carry_out(grant)
        if failure is not None:
            await self._finish(grant, failure)

    async def _carry_out(self, grant: message.OrderGrant) -> str | None:
        """Send an order to the upstream; cancel it if the grant is lost.

        Return why the order failed, an empty string on success, or None if the
        grant was lost.
        """
        sending = asyncio.ensure_future(
            self._upstream.send_order(grant.action, grant.argument, grant.fence)
        )
        renewal = asyncio.ensure_future(self._renew(grant.fence))
        try:
            await asyncio.wait({sending, renewal}, return_when=asyncio.FIRST_COMPLETED)
            return sending.result() if sending.done() else None
        finally:
            sending.cancel()
            renewal.cancel()

    async def _renew(self, fence: int) -> None:
        """Renew the grant; return once it is lost."""
        expires_at = self._timer.read_clock() + GRANT_SECONDS
        while self._timer.read_clock() < expires_at:
            await self._timer.sleep(RENEW_SECONDS)
            sent_at = self._timer.read_clock()
            try:
                grant = await self._request(fence)
            except error.SeamError:
                continue
            if not grant.fence:
                return
            expires_at = sent_at + GRANT_SECONDS

    async def _finish(self, grant: message.OrderGrant, failure: str) -> None:
        at = self._timer.read_wall_clock()
        await self._client.propose(command.FinishOrder(grant.fence, failure, at))
        self._timeline.record("order_done", self._upstream.name, detail=grant.action)

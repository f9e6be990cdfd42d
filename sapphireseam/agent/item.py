"""Pull batch items while the upstream is idle, run them and return results.

Items come in leased chunks. The lease is kept by heartbeats and counts on this
agent's clock from when a heartbeat was sent; once it lapses, its items are
cancelled here before the leader may give them to another agent. What has a
result by then is still sent: the leader takes it if the lease stands there.
Results are sent in groups.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from sapphireseam.agent import engine
from sapphireseam.agent.crash import CrashDetector
from sapphireseam.agent.itemwork import ItemLease, ItemWork
from sapphireseam.agent.scheduler import Scheduler
from sapphireseam.core import command, error, message
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.mirror import Mirror
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import TimerService, run_periodically

logger = logging.getLogger(__name__)

PULL_SECONDS = 0.25
HEARTBEAT_SECONDS = 0.5
FLUSH_SECONDS = 0.2
# Leased items may run for this long after a heartbeat was sent. The leader
# waits longer, see `control.dispatch`.
LEASE_SECONDS = 3.0
CALL_SECONDS = 2.0
# How long a stop goes on trying to hand results and items back.
STOP_SECONDS = 10.0
# Items that may wait here for each slot of the upstream.
ITEMS_PER_SLOT = 2


class ItemRunner:
    """Pull, run and return batch items for one upstream."""

    def __init__(
        self,
        node: str,
        upstream: engine.UpstreamClient,
        scheduler: Scheduler,
        crash_detector: CrashDetector,
        mirror: Mirror,
        client: ControlClient,
        timeline: Timeline,
        timer: TimerService,
    ):
        self.upstream = upstream
        self.crash_detector = crash_detector
        self.timer = timer
        self._node = node
        self._scheduler = scheduler
        self._mirror = mirror
        self._client = client
        self._timeline = timeline
        self._leases: dict[int, ItemLease] = {}
        self._tasks = TaskGroup()
        self._flushing = asyncio.Lock()
        self._pulling = asyncio.Lock()
        self._stopping = False
        self._beats = 0

    async def start(self) -> None:
        """Begin to pull."""
        for period, callback in (
            (PULL_SECONDS, self.pull),
            (HEARTBEAT_SECONDS, self.renew_leases),
            (FLUSH_SECONDS, self.flush),
            (FLUSH_SECONDS, self._drop_lapsed),
        ):
            self._tasks.spawn(self._repeat(period, callback))

    async def stop(self) -> None:
        """Send the last results and give back, unblamed, what wasn't run."""
        self._stopping = True
        end = self.timer.read_clock() + STOP_SECONDS
        async with self._pulling:
            for lease in self._leases.values():
                self._release(lease)
        while self._leases and self.timer.read_clock() < end:
            try:
                await self.flush()
            except error.SeamError as failure:
                logger.info("items not given back", extra={"cause": failure.message})
                await self.timer.sleep(FLUSH_SECONDS)
        await self._tasks.cancel()

    async def _repeat(
        self, period: float, callback: Callable[[], Awaitable[None]]
    ) -> None:
        async def attempt() -> None:
            try:
                await callback()
            except error.SeamError as failure:
                logger.info("batch work put off", extra={"cause": failure.message})

        await run_periodically(self.timer, period, attempt)

    def _count_free(self) -> int:
        """Return how many items the upstream's idle slots can take."""
        scheduler = self._scheduler
        if self._stopping or scheduler.draining or not self.upstream.healthy:
            return 0
        if scheduler.count_waiting(False):
            return 0
        waiting = scheduler.count_waiting(True) + scheduler.count_running(True)
        room = scheduler.slots - scheduler.count_running(False)
        return max(room * ITEMS_PER_SLOT - waiting, 0)

    async def pull(self) -> None:
        """Lease items for the upstream's idle slots, if it has any."""
        async with self._pulling:
            free = self._count_free()
            target = self._mirror.fleet.upstreams.get(self.upstream.name)
            if not free or target is None or self.upstream.name in self._mirror.leaving:
                return
            model = find_model(self._mirror, target.version)
            if model or target.service:
                await self._pull(model, target.service, free)

    async def _pull(self, model: str, service: str, free: int) -> None:
        sent = self.timer.read_clock()
        work = await self._client.call(
            message.Pull(self._node, self.upstream.name, model, service, free),
            CALL_SECONDS,
        )
        if not work.lease:
            return
        lease = ItemLease(work, sent + LEASE_SECONDS)
        self._leases[work.lease] = lease
        if self._stopping or self.timer.read_clock() >= lease.expires_at:
            self._release(lease)
            return
        for number, line in work.items:
            self._scheduler.submit(ItemWork(lease, number, line, self))

    async def renew_leases(self) -> None:
        """Renew the leases and drop those that the leader names."""
        leases = tuple(self._leases)
        if not leases:
            return
        sent = self.timer.read_clock()
        self._beats += 1
        reply = await self._client.call(
            message.Heartbeat(self._node, leases, self._beats), CALL_SECONDS
        )
        for lease_id in leases:
            lease = self._leases.get(lease_id)
            if lease is None:
                continue
            if lease_id in reply.dropped:
                self._drop(lease_id)
            else:
                lease.expires_at = sent + LEASE_SECONDS

    async def _drop_lapsed(self) -> None:
        now = self.timer.read_clock()
        for lease in list(self._leases.values()):
            if lease.expires_at <= now and lease.open_items:
                self._release(lease)
                self._timeline.record("lease_lapsed", lease.work.job)

    def _drop(self, lease_id: int) -> None:
        """Stop all items of a lease that ends; the leader waits for its items."""
        lease = self._leases[lease_id]
        if not lease.open_items:
            return
        self._release(lease)
        self._timeline.record("lease_dropped", lease.work.job, detail=str(lease_id))

    def _release(self, lease: ItemLease) -> None:
        """Stop the items of a lease and give them back, unblamed."""
        for number in sorted(lease.open_items):
            self._scheduler.remove(f"item/{lease.work.lease}/{number}")
            lease.return_item(number)

    async def mark_started(self, lease: ItemLease, item: int) -> bool:
        """Have a non-idempotent item marked before it is handed over.

        Without the mark's commit, or with a lease that lapsed meanwhile, the
        item isn't run here.
        """
        mark = command.StartItems(lease.work.lease, (item,))
        try:
            await self._client.propose(mark, CALL_SECONDS)
        except error.SeamError:
            return False
        return lease.expires_at > self.timer.read_clock()

    async def flush(self) -> None:
        """Send results and returned items of every lease."""
        async with self._flushing:
            failure = None
            for lease_id, lease in list(self._leases.items()):
                try:
                    await self._send(lease_id, lease)
                except error.SeamError as caught:
                    failure = caught
                if lease.is_empty():
                    self._leases.pop(lease_id, None)
            if failure is not None:
                raise failure

    async def _send(self, lease_id: int, lease: ItemLease) -> None:
        await self._send_results(lease_id, lease)
        returned = list(lease.returned)
        if not returned:
            return
        item = command.ReturnItems(
            lease_id,
            tuple(returned),
            tuple(lease.blamed & set(returned)),
            self.timer.read_wall_clock(),
            tuple(lease.not_run & set(returned)),
        )
        try:
            await self._client.propose(item, CALL_SECONDS)
        except error.SeamError as failure:
            if failure.kind is not error.Kind.CONFLICT:
                raise
        del lease.returned[: len(returned)]

    async def _send_results(self, lease_id: int, lease: ItemLease) -> None:
        results = list(lease.results)
        if not results:
            return
        lines = b"\n".join(result.line for result in results)
        described = tuple(
            (result.item, place, result.failed) for place, result in enumerate(results)
        )
        try:
            await self._client.call(message.CompleteChunk(lease_id, lines, described))
        except error.SeamError as failure:
            if failure.kind is not error.Kind.CONFLICT:
                raise
            # The job is cancelled, or the lease is over: others run the items,
            # or the results came in with a call whose answer was lost.
            lease.returned.extend(result.item for result in results)
        del lease.results[: len(results)]


def find_model(mirror: Mirror, version: str) -> str:
    """Return the model that a version serves now, or an empty string."""
    for name, model in mirror.fleet.models.items():
        if version and model.version == version:
            return name
    return ""

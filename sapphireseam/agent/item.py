"""Runs batch items in the upstream's idle slots and returns their results.

The agent pulls items in chunks. Each chunk is leased to it, and heartbeats renew
the lease. A lease expires on this agent's clock a fixed time after the pull, or the
last successful heartbeat, was sent. Its items are then cancelled here before the
leader may lease them to another agent. Results that exist by then are still sent,
and the leader accepts them if the lease is still valid there. Results are sent in
groups.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from sapphireseam.agent import engine
from sapphireseam.agent.itemwork import ItemLease, ItemWork
from sapphireseam.agent.scheduler import Scheduler
from sapphireseam.core import command, error, jsontext, message
from sapphireseam.utils import crash, memory
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.grace import Grace
from sapphireseam.utils.mirror import Mirror
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import TimerService, run_periodically

logger = logging.getLogger(__name__)

PULL_SECONDS = 0.25
HEARTBEAT_SECONDS = 0.5
FLUSH_SECONDS = 0.2
# Leased items may run for this long after their pull or the last heartbeat was
# sent. The leader waits longer before it ends the lease, see `control.dispatch`.
LEASE_SECONDS = 3.0
CALL_SECONDS = 2.0
# A stop tries for at most this long to send the last results and return items, and
# not longer than this share of the grace allows.
STOP_SECONDS = 10.0
STOP_SHARE = 0.96
# Most batch items to hold, running or waiting, per slot not used by online work.
ITEMS_PER_SLOT = 2
# Budget for the bytes of unfinished answers, if it is given none.
MAX_BUFFERED_BYTES = 32 * 1024 * 1024


class ItemRunner:
    """Pull, run and return batch items for one upstream."""

    def __init__(
        self,
        node: str,
        upstream: engine.UpstreamClient,
        scheduler: Scheduler,
        crash_detector: crash.CrashDetector,
        mirror: Mirror,
        client: ControlClient,
        timeline: Timeline,
        timer: TimerService,
        grace: Grace | None = None,
        budget: memory.MemoryBudget | None = None,
    ):
        self._grace = grace or Grace(timer=timer)
        self.upstream = upstream
        self.crash_detector = crash_detector
        self.timer = timer
        self.buffers = budget or memory.MemoryBudget(MAX_BUFFERED_BYTES)
        self._node = node
        self._scheduler = scheduler
        self._mirror = mirror
        self._client = client
        self._timeline = timeline
        self._leases: dict[int, ItemLease] = {}
        self._tasks = TaskGroup()
        self._flush_lock = asyncio.Lock()
        self._pull_lock = asyncio.Lock()
        self._stopping = False
        self._heartbeat_number = 0

    async def start(self) -> None:
        """Start to pull items, renew leases and send results."""
        for period, callback in (
            (PULL_SECONDS, self.pull),
            (HEARTBEAT_SECONDS, self.renew_leases),
            (FLUSH_SECONDS, self.flush),
            (FLUSH_SECONDS, self._drop_expired),
        ):
            self._tasks.spawn(self._repeat(period, callback))

    async def stop(self) -> None:
        """Send the last results and return the other items.

        Returned items are not counted as failed attempts.
        """
        self._stopping = True
        self._grace.begin()
        seconds = min(STOP_SECONDS, self._grace.read_remaining(STOP_SHARE))
        end = self.timer.read_clock() + seconds
        async with self._pull_lock:
            for lease in self._leases.values():
                self._release(lease)
        while self._leases and self.timer.read_clock() < end:
            try:
                await self.flush()
            except error.SeamError as failure:
                logger.info(
                    "returning items failed; retrying",
                    extra={"cause": failure.message},
                )
                await self.timer.sleep(FLUSH_SECONDS)
        await self._tasks.cancel()

    async def _repeat(
        self, period: float, callback: Callable[[], Awaitable[None]]
    ) -> None:
        async def attempt() -> None:
            try:
                await callback()
            except error.SeamError as failure:
                logger.info(
                    "batch call to the leader failed; retrying",
                    extra={"cause": failure.message},
                )

        await run_periodically(self.timer, period, attempt)

    def _count_items_to_pull(self) -> int:
        """Return how many more items to lease for the upstream's idle slots."""
        scheduler = self._scheduler
        if self._stopping or scheduler.draining or not self.upstream.healthy:
            return 0
        if scheduler.count_waiting(False):
            return 0
        leased = scheduler.count_waiting(True) + scheduler.count_running(True)
        free_slots = scheduler.slots - scheduler.count_running(False)
        return max(free_slots * ITEMS_PER_SLOT - leased, 0)

    async def pull(self) -> None:
        """Lease items for the upstream's idle slots, if there are any."""
        async with self._pull_lock:
            count = self._count_items_to_pull()
            target = self._mirror.fleet.upstreams.get(self.upstream.name)
            if (
                not count
                or target is None
                or self.upstream.name in self._mirror.leaving
            ):
                return
            model = find_model(self._mirror, target.version)
            if model or target.service:
                await self._pull(model, target.service, count)

    async def _pull(self, model: str, service: str, count: int) -> None:
        sent_at = self.timer.read_clock()
        served = self.upstream.served
        work = await self._client.call(
            message.Pull(self._node, self.upstream.name, model, service, count),
            CALL_SECONDS,
        )
        if not work.lease:
            return
        lease = ItemLease(work, sent_at + LEASE_SECONDS, served)
        self._leases[work.lease] = lease
        if self._stopping or self.timer.read_clock() >= lease.expires_at:
            self._release(lease)
            return
        for number, line in work.items:
            try:
                item = ItemWork(lease, number, line, self)
            except (jsontext.JsonError, KeyError, TypeError):
                logger.warning("an item can't be read", extra={"job": work.job})
                lease.return_item(number, blamed=True)
            else:
                self._scheduler.submit(item)

    async def renew_leases(self) -> None:
        """Renew the leases; drop those that the leader reports as dropped."""
        leases = tuple(self._leases)
        if not leases:
            return
        sent_at = self.timer.read_clock()
        self._heartbeat_number += 1
        reply = await self._client.call(
            message.Heartbeat(self._node, leases, self._heartbeat_number), CALL_SECONDS
        )
        for lease_id in leases:
            lease = self._leases.get(lease_id)
            if lease is None:
                continue
            if lease_id in reply.dropped:
                self._drop(lease_id)
            else:
                lease.expires_at = sent_at + LEASE_SECONDS

    async def _drop_expired(self) -> None:
        now = self.timer.read_clock()
        for lease in list(self._leases.values()):
            if lease.expires_at <= now and lease.open_items:
                self._release(lease)
                self._timeline.record("lease_lapsed", lease.work.job)

    def _drop(self, lease_id: int) -> None:
        """Stop and return the open items of a lease that the leader dropped.

        The leader ends a cancelled job only after its items are returned or their
        leases have expired.
        """
        lease = self._leases[lease_id]
        if not lease.open_items:
            return
        self._release(lease)
        self._timeline.record("lease_dropped", lease.work.job, detail=str(lease_id))

    def _release(self, lease: ItemLease) -> None:
        """Stop and return a lease's open items, not counted as failed attempts."""
        for number in sorted(lease.open_items):
            self._scheduler.remove(f"item/{lease.work.lease}/{number}")
            lease.return_item(number)

    async def mark_started(self, lease: ItemLease, item: int) -> bool:
        """Record the start of a non-idempotent item before it is sent.

        Return whether the item may run, which requires that the record is committed
        and the lease has not expired in the meantime.
        """
        start = command.StartItems(lease.work.lease, (item,))
        try:
            await self._client.propose(start, CALL_SECONDS)
        except error.SeamError:
            return False
        return lease.expires_at > self.timer.read_clock()

    async def flush(self) -> None:
        """Send the results and returned items of every lease."""
        async with self._flush_lock:
            failure = None
            for lease_id, lease in list(self._leases.items()):
                try:
                    await self._flush_lease(lease_id, lease)
                except error.SeamError as caught:
                    failure = caught
                if lease.is_empty():
                    self._leases.pop(lease_id, None)
            if failure is not None:
                raise failure

    async def _flush_lease(self, lease_id: int, lease: ItemLease) -> None:
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
        summaries = tuple(
            (result.item, position, result.failed)
            for position, result in enumerate(results)
        )
        try:
            await self._client.call(message.CompleteChunk(lease_id, lines, summaries))
        except error.SeamError as failure:
            if failure.kind is not error.Kind.CONFLICT:
                raise
            # The job is cancelled or the lease has ended. Either another agent
            # runs the items, or an earlier call whose answer was lost has stored
            # the results.
            lease.returned.extend(result.item for result in results)
        del lease.results[: len(results)]


def find_model(mirror: Mirror, version: str) -> str:
    """Return the model that a version serves now, or an empty string."""
    for name, model in mirror.fleet.models.items():
        if version and model.version == version:
            return name
    return ""

"""Tests a control VM whose process ends at once and starts again on its disk."""

import asyncio
import contextlib
import json
import random
import unittest

from sapphireseam.control import bulkrunner, machine as machines, placement
from sapphireseam.control.bulkrunner_test import DOCUMENT, FakeRateLimitService
from sapphireseam.core import command
from sapphireseam.state import fake, replica as replicas
from sapphireseam.utils import fakeupstream, outbound
from sapphireseam.utils.timer import SystemTimer

ITEMS = 6
# Longer than the period of the runner's review.
DISK_SECONDS = 2 * bulkrunner.REVIEW_SECONDS
WAIT_SECONDS = 10.0


class FakeBlobFetcher:
    async def prepare(self, commands, source):
        """Do nothing; the commands name no blobs."""

    async def prepare_snapshot(self, data, source):
        """Do nothing; the snapshot names no blobs."""


def make_job():
    items = tuple(
        command.LotItem(f"i{number}", "/b/x", (), b"body", 10)
        for number in range(ITEMS)
    )
    now = SystemTimer().read_wall_clock()
    return command.AcceptLot("l", "c", "r", items, 0, now, now + 18, now + 60)


class Process(contextlib.AsyncExitStack):
    """Run the only control VM of a fleet on a disk."""

    def __init__(self, disk, upstream, snapshot_entries=1000):
        super().__init__()
        timer = SystemTimer()
        self.machine = machines.StateMachine()
        options = replicas.Options(
            bootstrap=(replicas.Member("a"),),
            election_min=0.05,
            election_max=0.1,
            lease=0.04,
            heartbeat=0.01,
            snapshot_entries=snapshot_entries,
        )
        self.replica = replicas.Replica(
            "a",
            {},
            disk,
            timer,
            self.machine,
            FakeBlobFetcher(),
            options,
            random.Random(0),
        )

        async def probe(instance, path, seconds):
            return placement.ProbeResult(())

        async def stop_run(instance, request, other):
            """Do nothing; no other leader runs items."""

        self.placement = placement.PlacementServer(
            self.replica, self.machine, FakeRateLimitService(), probe, stop_run, timer
        )
        self.upstreams = outbound.ConnectionPool(fakeupstream.FakeDialect())
        self.runner = bulkrunner.BulkRunner(
            self.replica, self.machine, self.placement, self.upstreams, timer
        )
        self.placement.update_instances((upstream.instance,) if upstream else ())

    async def start(self):
        for part in (self.upstreams, self.replica, self.placement, self.runner):
            await part.start()
            self.push_async_callback(part.stop)

    async def lead(self):
        await self.start()
        await self.wait_until(lambda: self.replica.is_leader)

    async def propose(self, item):
        return await self.replica.propose(command.REGISTRY.encode(item))

    def has_results(self):
        return not self.machine.state.lots["l"].is_open

    async def wait_until(self, condition):
        async with asyncio.timeout(WAIT_SECONDS):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.001)


class RestartTest(unittest.IsolatedAsyncioTestCase):
    async def test_restarted_leader_sends_no_item_that_has_a_result(self):
        upstream = fakeupstream.FakeUpstream("u1")
        await upstream.start()
        self.addAsyncCleanup(upstream.stop)
        disk = fake.FakeDisk()
        # The only snapshot has the configuration and the job, but no result.
        async with Process(disk, None, snapshot_entries=1) as process:
            await process.lead()
            await process.propose(
                command.PublishNumbered(1, json.dumps(DOCUMENT).encode(), b"", 1.0)
            )
            await process.propose(make_job())
        disk = disk.crash()
        async with Process(disk, upstream) as process:
            await process.lead()
            await process.wait_until(process.has_results)
        disk = disk.crash()
        count = len(upstream.runs)
        async with Process(disk, upstream) as process:
            await process.start()
            disk.pause = lambda: asyncio.sleep(DISK_SECONDS)
            self.assertFalse(process.has_results())
            await process.wait_until(process.has_results)
            await asyncio.sleep(2 * bulkrunner.REVIEW_SECONDS)
        self.assertEqual((count, upstream.runs[count:]), (ITEMS, []))

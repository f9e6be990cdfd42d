"""Test orders against the real dispatcher with restarted and frozen agents."""

import asyncio
import unittest

from sapphireseam.agent import order
from sapphireseam.control import orderdispatch
from sapphireseam.core import command
from sapphireseam.tools import fake
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import FakeTimer


class FakeUpstreamClient:
    """Accept orders without a check of fencing numbers, as some upstreams do."""

    def __init__(self, name):
        self.name = name
        self.healthy = True
        self.sent_fences: list[int] = []
        self.running = 0
        self.finish = asyncio.Event()

    async def send_order(self, action, argument, fence):
        self.sent_fences.append(fence)
        self.running += 1
        try:
            await self.finish.wait()
        finally:
            self.running -= 1
        return ""


class OrderRunnerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = FakeTimer()
        self.control = fake.FakeControl(self.timer)
        self.orders = self.control.machine.state.orders
        await self.control.orders.start()
        self.addAsyncCleanup(self.control.orders.stop)

    async def issue(self, upstream="u", action="load", count=1):
        fences = []
        for number in range(count):
            name = f"{upstream}-{len(self.orders)}-{number}"
            item = command.IssueOrder(name, upstream, action, "m", 1.0)
            fences.append((await self.control.propose(item)).number)
        return fences

    async def start(self, name="u", upstream=None):
        upstream = upstream or FakeUpstreamClient(name)
        timeline = Timeline("a", self.timer)
        runner = order.OrderRunner("a", upstream, self.control, timeline, self.timer)
        await runner.start()
        self.addAsyncCleanup(runner.stop)
        return runner, upstream

    async def test_orders_are_carried_out_in_turn(self):
        fences = await self.issue(count=3)
        _, upstream = await self.start()
        await self.timer.advance(10.0)
        self.assertEqual(upstream.sent_fences, fences[:1])
        upstream.finish.set()
        await self.timer.advance(5.0)
        self.assertEqual(upstream.sent_fences, fences)
        self.assertTrue(all(found.finished for found in self.orders.values()))

    async def test_concurrent_loads_in_the_fleet_are_limited(self):
        upstreams = []
        for name in "abcd":
            await self.issue(name)
            upstreams.append((await self.start(name))[1])
        await self.timer.advance(5.0)
        self.assertEqual(sum(each.running for each in upstreams), 2)
        for each in upstreams:
            each.finish.set()
        await self.timer.advance(5.0)
        self.assertEqual([len(each.sent_fences) for each in upstreams], [1] * 4)

    async def test_grant_that_arrives_too_late_is_not_used(self):
        """The agent may be frozen between its request and the grant."""
        await self.issue()
        runner, upstream = await self.start()
        call = self.control.call

        async def call_late(request, deadline=0.0):
            answer = await call(request)
            self.timer._now += order.GRANT_SECONDS
            return answer

        self.control.call = call_late
        await runner.pull()
        self.assertEqual(upstream.sent_fences, [])

    async def test_restarted_agent_waits_and_sends_no_older_order(self):
        """Two processes of one agent must not carry out orders concurrently.

        The first process is frozen while it has an order, and a second one starts
        at the same upstream.
        """
        fences = await self.issue(count=2)
        frozen, upstream = await self.start()
        await self.timer.advance(1.5)
        await frozen._tasks.cancel()
        await self.start(upstream=upstream)
        await self.timer.advance(orderdispatch.GRANT_SECONDS)
        self.assertEqual(upstream.sent_fences, fences[:1])
        upstream.finish.set()
        await self.timer.advance(5.0)
        self.assertEqual(upstream.sent_fences, fences)
        # The frozen process resumes; its order has ended at the leader.
        grant = await frozen._request(fences[0])
        self.assertEqual(grant.fence, 0)

    async def test_new_leader_waits_for_earlier_grants_to_expire(self):
        """A new leader must not end orders whose grants a previous leader renewed.

        The replica is leader, loses the leadership and becomes leader again.
        """
        (fence,) = await self.issue()
        runner, _ = await self.start()
        await self.timer.advance(1.5)
        await runner._tasks.cancel()
        self.control.replica.is_leader = False
        await self.timer.advance(10.0)
        self.control.replica.is_leader = True
        self.control.replica.term += 1
        await self.timer.advance(orderdispatch.GRANT_SECONDS - 0.5)
        self.assertFalse(self.orders[fence].finished)
        await self.timer.advance(2.0)
        self.assertTrue(self.orders[fence].finished)

    async def test_order_is_cancelled_when_the_grant_is_lost(self):
        await self.issue()
        _, upstream = await self.start()
        await self.timer.advance(1.5)
        self.assertEqual(upstream.running, 1)
        self.control.lose = lambda request: "question"
        await self.timer.advance(order.GRANT_SECONDS + 1.0)
        self.assertEqual(upstream.running, 0)

"""Test debits across a change of leader, and the number of commits they need."""

import asyncio
import json
import unittest

from sapphireseam.control import application, ratelimit
from sapphireseam.control.machine import StateMachine
from sapphireseam.core import command, error, message
from sapphireseam.utils.timer import FakeTimer

RATE = 10.0
DOCUMENT = {
    "contracts": {"small": {"rate": RATE, "burst": 20.0}},
    "customers": {"grower": {"contract": "small"}},
}


class FakeReplica:
    def __init__(self):
        self.is_leader = False
        self.term = 1
        self.proposal_count = 0
        self.is_stuck = False

    async def propose(self, data):
        self.proposal_count += 1
        if self.is_stuck:
            await asyncio.Event().wait()
        return self.machine.apply(1000 + self.proposal_count, data)


class RateLimitServiceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = FakeTimer()
        self.replica = FakeReplica()
        self.machine = self.replica.machine = StateMachine()
        self.service = ratelimit.RateLimitService(
            self.replica, self.machine, self.timer
        )
        await self.service.start()
        self.addAsyncCleanup(self.service.stop)

    def publish(self, base, customers=None):
        document = DOCUMENT if customers is None else {"customers": customers}
        packed = json.dumps(document).encode()
        item = command.Publish(f"publish-{base}", base, packed, 0.0)
        self.machine.apply(base + 1, command.REGISTRY.encode(item))

    async def count_granted(self, count):
        request = message.Debit("entry", (("grower", 1.0),) * count)
        reply = await self.service.debit(request)
        return sum(granted for granted, _ in reply.grants)

    async def test_first_debit_after_idle_leadership_is_granted(self):
        self.publish(0)
        self.replica.is_leader = True
        await self.timer.advance(5.0)
        self.assertEqual(await self.count_granted(20), 20.0)

    async def test_publish_before_old_grants_expire_fills_no_bucket_early(self):
        self.replica.is_leader = True
        await self.timer.advance(ratelimit.POLL_SECONDS)
        self.publish(0)
        await self.timer.advance(ratelimit.GRANT_SECONDS + ratelimit.MARGIN_SECONDS)
        self.assertEqual(await self.count_granted(20), 0.0)
        await self.timer.advance(1.0)
        self.assertEqual(await self.count_granted(20), RATE)

    async def test_next_leader_grants_what_was_left(self):
        self.publish(0)
        self.replica.is_leader = True
        await self.timer.advance(5.0)
        self.assertEqual(await self.count_granted(12), 12.0)
        await self.timer.advance(ratelimit.POLL_SECONDS)
        # The first leader's last records say level 9 of 20, reserve 5.
        self.replica.term = 2
        await self.timer.advance(ratelimit.POLL_SECONDS)
        with self.assertRaises(error.CapacityError):
            await self.count_granted(1)
        await self.timer.advance(ratelimit.GRANT_SECONDS + ratelimit.MARGIN_SECONDS)
        self.assertEqual(await self.count_granted(20), 4.0)

    async def test_next_leader_that_places_grants_what_was_left_at_once(self):
        self.publish(0)
        self.replica.is_leader = True
        await self.timer.advance(5.0)
        self.assertEqual(await self.count_granted(12), 12.0)
        await self.timer.advance(ratelimit.POLL_SECONDS)
        self.service._wait_seconds = application.PLACEMENT_WAIT_SECONDS
        self.replica.term = 2
        await self.timer.advance(ratelimit.POLL_SECONDS)
        self.assertEqual(await self.count_granted(20), 4.0)

    async def test_debit_past_the_reserve_waits_for_one_record(self):
        self.publish(0)
        self.replica.is_leader = True
        await self.timer.advance(5.0)
        await self.count_granted(1)
        await self.timer.advance(ratelimit.POLL_SECONDS)
        count_before = self.replica.proposal_count
        self.assertEqual(await self.count_granted(10), 10.0)
        self.assertEqual(self.replica.proposal_count, count_before + 1)

    async def test_stop_refuses_a_debit_that_waits_for_a_record(self):
        self.publish(0)
        self.replica.is_leader = True
        await self.timer.advance(5.0)
        await self.count_granted(1)
        await self.timer.advance(ratelimit.POLL_SECONDS)
        self.replica.is_stuck = True
        waiting = asyncio.create_task(self.count_granted(10))
        await self.timer.settle()
        self.assertFalse(waiting.done())
        await self.service.stop()
        await self.timer.settle()
        self.assertTrue(waiting.done(), "the debit still waits")
        with self.assertRaises(error.NotLeaderError):
            await waiting

    async def test_a_customer_that_loses_its_contract_has_no_limit(self):
        self.publish(0)
        self.replica.is_leader = True
        await self.timer.advance(5.0)
        self.publish(1, {"grower": {"contract": ""}})
        self.assertEqual(await self.count_granted(100), 100.0)
        self.publish(2, {})
        self.assertEqual(await self.count_granted(1), 0.0)

    async def test_steady_use_commits_about_one_command_a_second(self):
        self.publish(0)
        self.replica.is_leader = True
        await self.timer.advance(5.0)
        count_before = self.replica.proposal_count
        for _ in range(100):
            self.assertEqual(await self.count_granted(1), 1.0)
            await self.timer.advance(0.2)
        self.assertLessEqual(self.replica.proposal_count - count_before, 30)


if __name__ == "__main__":
    unittest.main()

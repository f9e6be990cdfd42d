import json
import unittest

from sapphireseam.control import owner
from sapphireseam.control.machine import StateMachine
from sapphireseam.core import command, message
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


class LimitOwnerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = FakeTimer()
        self.replica = FakeReplica()
        self.machine = StateMachine()
        self.owner = owner.LimitOwner(self.replica, self.machine, self.timer)
        await self.owner.start()
        self.addAsyncCleanup(self.owner.stop)

    def publish(self, base):
        packed = json.dumps(DOCUMENT).encode()
        item = command.Publish(f"publish-{base}", base, packed, 0.0)
        self.machine.apply(base + 1, command.REGISTRY.encode(item))

    async def count_granted(self, wanted):
        request = message.Debit("entry", (("grower", 1.0),) * wanted)
        reply = await self.owner.debit(request)
        return sum(granted for granted, _ in reply.grants)

    async def test_first_question_after_idle_leadership_is_granted(self):
        self.publish(0)
        self.replica.is_leader = True
        await self.timer.advance(5.0)
        self.assertEqual(await self.count_granted(20), 20.0)

    async def test_publish_while_old_grants_run_fills_no_bucket_early(self):
        self.replica.is_leader = True
        await self.timer.advance(owner.LOOK_SECONDS)
        self.publish(0)
        await self.timer.advance(owner.GRANT_SECONDS + owner.MARGIN_SECONDS)
        self.assertEqual(await self.count_granted(20), 0.0)
        await self.timer.advance(1.0)
        self.assertEqual(await self.count_granted(20), RATE)


if __name__ == "__main__":
    unittest.main()

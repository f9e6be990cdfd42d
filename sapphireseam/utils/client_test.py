"""Test how the client reports an unanswered call and follows a leader change."""

import asyncio
import unittest

from sapphireseam.core import error, message
from sapphireseam.utils import client, rpc
from sapphireseam.utils.timer import FakeTimer, SystemTimer


class FakeChannel:
    def __init__(self, failures):
        self.failures = failures

    async def call(self, request, timeout):
        if len(self.failures) > 1:
            raise self.failures.pop(0)
        raise self.failures[0]


class ControlClientTest(unittest.IsolatedAsyncioTestCase):
    async def get_failure(self, *failures):
        timer = FakeTimer()
        caller = client.ControlClient(("a", "b"), ("x", "y"), timer)
        channel = FakeChannel(list(failures))
        caller.get_channel = lambda address: channel
        call = caller.call(message.Empty(), 1.0)
        running = asyncio.ensure_future(call)
        await timer.advance(5.0)
        return running.exception()

    async def test_call_without_a_known_control_vm_is_refused(self):
        caller = client.ControlClient((), ("x", "y"), FakeTimer())
        with self.assertRaises(error.ControlError):
            await caller.call(message.Empty(), 1.0)

    async def test_call_refused_at_every_attempt_is_not_run(self):
        failure = await self.get_failure(error.NotLeaderError("no"))
        self.assertTrue(failure.not_run)

    async def test_call_with_a_lost_answer_may_have_run(self):
        lost = rpc.LinkError("lost")
        failure = await self.get_failure(lost, error.NotLeaderError("no"))
        self.assertFalse(failure.not_run)

    async def test_call_to_a_member_that_starts_is_sent_again(self):
        starting = error.ControlError("not running", error.Kind.SHUTTING_DOWN)
        failure = await self.get_failure(starting, error.NotLeaderError("no"))
        self.assertIsNot(failure, starting)
        self.assertFalse(failure.not_run)


class HangingChannel:
    async def call(self, request, timeout):
        await asyncio.sleep(3600)


class AnsweringChannel:
    async def call(self, request, timeout):
        return message.Empty()


class LeaderChangeTest(unittest.IsolatedAsyncioTestCase):
    async def test_call_to_a_frozen_leader_is_sent_to_the_next_leader(self):
        caller = client.ControlClient(("a", "b"), ("x", "y"), SystemTimer())
        channels = {"a": HangingChannel(), "b": AnsweringChannel()}
        caller.get_channel = channels.__getitem__
        caller.record_leader("a")
        running = asyncio.create_task(caller.call(message.Empty(), 5.0))
        await asyncio.sleep(0.05)
        self.assertFalse(running.done())
        caller.record_leader("b")
        async with asyncio.timeout(0.5):
            self.assertEqual(await running, message.Empty())


if __name__ == "__main__":
    unittest.main()

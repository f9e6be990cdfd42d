"""Check what a client says of a call that no control VM answered."""

import asyncio
import unittest

from sapphireseam.core import error, message
from sapphireseam.utils import client, rpc
from sapphireseam.utils.timer import FakeTimer


class FakeChannel:
    def __init__(self, failures):
        self.failures = failures

    async def call(self, request, timeout):
        if len(self.failures) > 1:
            raise self.failures.pop(0)
        raise self.failures[0]


class ControlClientTest(unittest.IsolatedAsyncioTestCase):
    async def fail(self, *failures):
        timer = FakeTimer()
        caller = client.ControlClient(("a", "b"), ("x", "y"), timer)
        channel = FakeChannel(list(failures))
        caller.reach = lambda address: channel
        call = caller.call(message.Empty(), 1.0)
        running = asyncio.ensure_future(call)
        await timer.advance(5.0)
        return running.exception()

    async def test_call_that_was_refused_each_time_is_not_run(self):
        failure = await self.fail(error.NotLeaderError("no"))
        self.assertTrue(failure.not_run)

    async def test_call_with_a_lost_answer_is_not_called_not_run(self):
        lost = rpc.LinkError("lost")
        failure = await self.fail(lost, error.NotLeaderError("no"))
        self.assertFalse(failure.not_run)

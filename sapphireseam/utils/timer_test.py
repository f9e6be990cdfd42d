"""Test the timer service that the other tests run on."""

import asyncio
import unittest

from sapphireseam.utils import timer


class WaitForTest(unittest.IsolatedAsyncioTestCase):
    async def test_result_in_time(self):
        fake = timer.FakeTimer()
        self.assertEqual(await timer.wait_for(fake, asyncio.sleep(0, 7), 1.0), 7)

    async def test_timeout_in_fake_time_only(self):
        fake = timer.FakeTimer()
        task = asyncio.create_task(timer.wait_for(fake, asyncio.Event().wait(), 2.0))
        await fake.advance(1.9)
        self.assertFalse(task.done())
        await fake.advance(0.2)
        with self.assertRaises(TimeoutError):
            await task

    async def test_periodic_calls_at_their_moments(self):
        fake = timer.FakeTimer(start=0.0)
        moments = []

        async def note():
            moments.append(fake.read_clock())

        subscription = fake.subscribe(0.5, note)
        await fake.advance(1.6)
        subscription.cancel()
        await fake.advance(1.0)
        self.assertEqual(moments, [0.5, 1.0, 1.5])

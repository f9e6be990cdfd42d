"""Test the fake timer that the other tests use."""

import asyncio
import unittest

from sapphireseam.utils import timer


class FakeTimerTest(unittest.IsolatedAsyncioTestCase):
    async def test_returns_result_before_timeout(self):
        fake = timer.FakeTimer()
        self.assertEqual(await timer.wait_for(fake, asyncio.sleep(0, 7), 1.0), 7)

    async def test_timeout_follows_fake_time(self):
        fake = timer.FakeTimer()
        task = asyncio.create_task(timer.wait_for(fake, asyncio.Event().wait(), 2.0))
        await fake.advance(1.9)
        self.assertFalse(task.done())
        await fake.advance(0.2)
        with self.assertRaises(TimeoutError):
            await task

    async def test_a_periodic_task_goes_on_after_an_error(self):
        fake = timer.FakeTimer(start=0.0)
        call_times = []

        async def fail():
            call_times.append(fake.read_clock())
            raise ValueError("odd input")

        subscription = fake.subscribe(0.5, fail)
        await fake.advance(1.6)
        subscription.cancel()
        self.assertEqual(call_times, [0.5, 1.0, 1.5])

    async def test_periodic_calls_at_their_times(self):
        fake = timer.FakeTimer(start=0.0)
        call_times = []

        async def record_time():
            call_times.append(fake.read_clock())

        subscription = fake.subscribe(0.5, record_time)
        await fake.advance(1.6)
        subscription.cancel()
        await fake.advance(1.0)
        self.assertEqual(call_times, [0.5, 1.0, 1.5])

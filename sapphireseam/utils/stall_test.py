"""Test that a process that stood still says so."""

import unittest

from sapphireseam.utils import stall
from sapphireseam.utils.timer import FakeTimer


class SuspendedTimer(FakeTimer):
    """Add a time in which nothing ran to the clock."""

    lost = 0.0

    def read_clock(self):
        return super().read_clock() + self.lost


class StallTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = SuspendedTimer()
        self.watch = stall.StallDetector(self.timer)
        await self.watch.start()
        self.addAsyncCleanup(self.watch.stop)

    async def test_a_suspension_is_logged_with_its_length(self):
        await self.timer.advance(0.1)
        self.timer.lost = 6.0
        with self.assertLogs(stall.logger, "WARNING") as logs:
            await self.timer.advance(1.0)
        self.assertEqual(logs.records[0].seconds, 6.0)

    async def test_a_process_that_runs_says_nothing(self):
        with self.assertNoLogs(stall.logger):
            await self.timer.advance(20.0)


if __name__ == "__main__":
    unittest.main()

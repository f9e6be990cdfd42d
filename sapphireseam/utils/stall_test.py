"""Test that a stall of the process is logged."""

import unittest

from sapphireseam.utils import stall
from sapphireseam.utils.timer import FakeTimer


class SuspendedTimer(FakeTimer):
    """Add a suspension of the machine to the clock."""

    suspended_seconds = 0.0

    def read_clock(self):
        return super().read_clock() + self.suspended_seconds


class StallTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = SuspendedTimer()
        self.detector = stall.StallDetector(self.timer)
        await self.detector.start()
        self.addAsyncCleanup(self.detector.stop)

    async def test_a_suspension_is_logged_with_its_length(self):
        await self.timer.advance(0.1)
        self.timer.suspended_seconds = 6.0
        with self.assertLogs(stall.logger, "WARNING") as logs:
            await self.timer.advance(1.0)
        self.assertEqual(logs.records[0].seconds, 6.0)

    async def test_a_running_process_logs_nothing(self):
        with self.assertNoLogs(stall.logger):
            await self.timer.advance(20.0)


if __name__ == "__main__":
    unittest.main()

"""Test that processes agree on the limits that upstreams name."""

import unittest

from sapphireseam.core import command, error
from sapphireseam.core.ceiling import Ceiling
from sapphireseam.utils import ceiling
from sapphireseam.utils.timer import FakeTimer


class CeilingMonitorTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = FakeTimer()
        self.known = {}
        self.reports = []
        self.has_leader = True
        self.monitor = ceiling.CeilingMonitor(
            lambda: self.known, self.propose, self.timer
        )
        self.addAsyncCleanup(self.monitor.stop)

    async def propose(self, item):
        if not self.has_leader:
            raise error.ControlError("no leader")
        self.reports.append(item)
        self.known.pop(item.run, None)
        if item.rate:
            self.known[item.run] = Ceiling(*item)

    async def hear(self, text, rate_at_sending=None):
        if rate_at_sending is None:
            rate_at_sending = self.monitor.find_rate("u/1")
        self.monitor.record_answer("u", "u/1", text, rate_at_sending)
        await self.timer.settle()

    def list_rates(self):
        return [each.rate for each in self.reports]

    async def test_a_limit_is_used_at_once_and_reported_once(self):
        for _ in range(3):
            await self.hear("2.5")
            self.assertEqual(self.monitor.read_rates(), {"u/1": 2.5})
        self.assertEqual(self.list_rates(), [2.5])
        self.assertIsInstance(self.reports[0], command.ReportCeiling)

    async def test_a_changed_limit_is_followed_and_its_end_heard(self):
        for text, rate in (("2.5", 2.5), ("4", 4.0), ("", 0.0), ("1", 1.0)):
            await self.hear(text)
            self.assertEqual(self.monitor.find_rate("u/1"), rate)
            await self.timer.advance(2.0)
            self.assertEqual(self.monitor.find_rate("u/1"), rate)
        self.assertEqual(self.list_rates(), [2.5, 4.0, 0.0, 1.0])

    async def test_a_limit_that_changes_at_once_is_reported_at_once(self):
        for text in ("2.5", "4", "3"):
            await self.hear(text)
            await self.timer.advance(0.1)
        self.assertEqual(self.list_rates(), [2.5, 4.0, 3.0])

    async def test_an_answer_from_before_the_limit_does_not_end_it(self):
        await self.hear("2.5")
        await self.hear("", rate_at_sending=0.0)
        self.assertEqual(self.monitor.find_rate("u/1"), 2.5)

    async def test_invalid_limits_are_logged_and_change_nothing(self):
        await self.hear("2.5")
        for text in ("x", "nan", "inf", "-3", "0", "0.0", "1e400", "9" * 400, "1_0"):
            with self.assertLogs(ceiling.logger, "WARNING"):
                await self.hear(text)
            with self.assertNoLogs(ceiling.logger, "WARNING"):
                await self.hear(text)
            self.assertEqual(self.monitor.find_rate("u/1"), 2.5)

    async def test_a_limit_heard_without_a_leader_is_reported_to_the_next(self):
        self.has_leader = False
        await self.hear("2.5")
        await self.timer.advance(2.0)
        self.assertEqual(self.monitor.find_rate("u/1"), 2.5)
        self.has_leader = True
        await self.timer.advance(2.0)
        self.assertEqual(self.list_rates(), [2.5])


if __name__ == "__main__":
    unittest.main()

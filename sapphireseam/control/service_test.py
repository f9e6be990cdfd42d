"""Tests how a control VM answers the calls of processes."""

import unittest

from sapphireseam.control.service import ControlService
from sapphireseam.core import command, message
from sapphireseam.tools.fake import FakeControl
from sapphireseam.utils.rpc import Role
from sapphireseam.utils.timer import FakeTimer


class ProposeTest(unittest.IsolatedAsyncioTestCase):
    async def test_times_of_crashes_are_the_leaders_whatever_the_clocks_of_entries(
        self,
    ):
        timer = FakeTimer()
        control = FakeControl(timer)
        service = ControlService(
            "control-1",
            control.replica,
            control.machine,
            control.store,
            control.dispatcher,
            control.orders,
            None,
            None,
            control.timeline,
            timer,
        )
        for number, skew in enumerate((-5.0, 5.0)):
            at = timer.read_wall_clock() + skew
            item = command.ReportCrash("", "u", f"u/{number}", (("f",),), at)
            packed = message.Propose(command.REGISTRY.encode(item))
            await service._propose(packed, frozenset({Role.FLEET}))
        times = {crash.at for crash in control.machine.state.crashes.values()}
        self.assertEqual(times, {timer.read_wall_clock()})


if __name__ == "__main__":
    unittest.main()

"""Tests how a control VM answers the calls of processes."""

import unittest

from sapphireseam.control.service import ControlService
from sapphireseam.core import command, message, outcome
from sapphireseam.tools.fake import FakeControl
from sapphireseam.utils.rpc import Role
from sapphireseam.utils.timer import FakeTimer


def make_service(control, timer):
    return ControlService(
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


class ProposeTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_late_ceiling_ends_none_of_a_later_run(self):
        timer = FakeTimer()
        control = FakeControl(timer)
        service = make_service(control, timer)
        service.is_late = lambda item: item.run == "u/5"
        later = command.ReportCeiling("u", "u/7", 4.0, 0.0, True, 3.0)
        for item in (later, command.ReportCeiling("u", "u/5", 2.5, 0.0)):
            packed = message.Propose(command.REGISTRY.encode(item))
            answer = await service._propose(packed, frozenset({Role.FLEET}))
            self.assertEqual(outcome.REGISTRY.decode(answer.outcome).subject, "u")
        self.assertEqual(set(control.machine.state.ceilings), {"u/7 cold"})

    async def test_times_of_crashes_are_the_leaders_whatever_the_clocks_of_entries(
        self,
    ):
        timer = FakeTimer()
        control = FakeControl(timer)
        service = make_service(control, timer)
        for number, skew in enumerate((-5.0, 5.0)):
            at = timer.read_wall_clock() + skew
            item = command.ReportCrash("", "u", f"u/{number}", (("f",),), at)
            packed = message.Propose(command.REGISTRY.encode(item))
            await service._propose(packed, frozenset({Role.FLEET}))
        times = {crash.at for crash in control.machine.state.crashes.values()}
        self.assertEqual(times, {timer.read_wall_clock()})


if __name__ == "__main__":
    unittest.main()

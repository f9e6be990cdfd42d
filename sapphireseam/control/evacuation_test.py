"""Test orders that evacuate failure domains, and what is left of them after faults."""

import asyncio
import json
import unittest

import msgspec

from sapphireseam.control import admin, machine as machines, record, restart_test
from sapphireseam.core import command, error, outcome
from sapphireseam.core.evacuation import Evacuated
from sapphireseam.state import fake
from sapphireseam.tools.fake import FakeControl
from sapphireseam.utils.timer import SystemTimer

DOCUMENT = {
    "failure_domains": {"a": {"region": "r"}, "b": {"region": "r"}},
    "services": {"s": {}},
    "upstreams": {
        f"u{host}": {
            "failure_domain": domain,
            "address": f"10.0.0.{host}:80",
            "agent": f"10.0.0.{host}:81",
            "service": "s",
        }
        for host, domain in enumerate("ab")
    },
}
PUBLISH = command.PublishNumbered(1, json.dumps(DOCUMENT).encode(), b"", 0.0)


def make_order(domain="a", is_evacuated=True, number=0, **fields):
    return command.SetEvacuation(f"r{number}", domain, is_evacuated, 5.0, **fields)


class EvacuationTest(unittest.TestCase):
    def setUp(self):
        self.machine = machines.StateMachine()
        self.index = 0
        self.assertEqual(self.apply(PUBLISH).number, 1)

    def apply(self, item):
        self.index += 1
        return self.machine.apply(self.index, command.REGISTRY.encode(item))

    def read(self):
        return record.read_evacuated(self.machine.state)

    def test_an_order_changes_nothing_again_and_outlives_a_snapshot(self):
        for number in range(3):
            answer = self.apply(make_order(number=number))
            self.assertEqual(answer, outcome.Done("a", 1))
        self.machine.restore(self.machine.encode())
        self.assertEqual(self.read(), Evacuated(1, ("a",)))
        self.apply(make_order(is_evacuated=False, number=4))
        # The first order arrives once more, after it was taken back.
        self.assertEqual(self.apply(make_order()), outcome.Done("a", 1))
        late = make_order(number=5, base=1)
        self.assertEqual(self.apply(late).kind, error.Kind.CONFLICT)
        self.assertEqual(self.read(), Evacuated(2, ()))

    def test_a_snapshot_of_a_former_program_has_no_evacuations(self):
        fields = msgspec.msgpack.decode(self.machine.encode())
        for _ in range(2):
            self.machine.restore(msgspec.msgpack.encode(fields[:-1]))
            self.assertEqual(self.read(), Evacuated())
            self.assertEqual(self.apply(make_order()), outcome.Done("a", 1))

    def test_an_order_that_probably_harms_is_refused_unless_its_sender_insists(self):
        unknown = self.apply(make_order("c"))
        self.assertEqual(unknown.kind, error.Kind.OBJECT_UNKNOWN)
        self.assertIn("a, b", unknown.message)
        self.apply(make_order("a", number=1))
        last = self.apply(make_order("b", number=2))
        self.assertEqual(last.kind, error.Kind.CONFLICT)
        self.assertIn("s", last.message)
        for number, domain in enumerate("bc", 3):
            self.apply(make_order(domain, number=number, is_forced=True))
        self.assertEqual(self.read().domains, ("a", "b", "c"))


class AdminTest(unittest.IsolatedAsyncioTestCase):
    """Two control VMs take orders; the fake leader may be lost before it answers."""

    def setUp(self):
        self.control = FakeControl(SystemTimer())
        replica = self.control.replica
        replica.read_index = replica.confirm_leadership
        self.admins = [
            admin.AdminService(
                replica, self.control.machine, self.control, SystemTimer()
            )
            for _ in range(2)
        ]

    async def order(self, number, is_evacuated=True, is_wanted=lambda: True):
        await self.admins[number].set_evacuation("a", is_evacuated, is_wanted)
        return record.read_evacuated(self.control.machine.state)

    async def test_an_order_whose_leader_is_lost_is_sent_again_to_another_vm(self):
        # The leader is lost before the commit, or after it.
        for lost, number in (("question", 1), ("answer", 3)):
            with self.subTest(lost=lost):
                self.control.lose = lambda item, lost=lost: lost
                with self.assertRaises(error.ControlError):
                    await self.order(0)
                self.control.lose = lambda item: ""
                found = await self.order(1)
                self.assertEqual(found, Evacuated(number, ("a",)))
                await self.order(0, is_evacuated=False)

    async def test_an_order_that_is_sent_to_two_vms_at_once_counts_once(self):
        found = await asyncio.gather(self.order(0), self.order(1))
        self.assertEqual(found, [Evacuated(1, ("a",))] * 2)

    async def test_an_order_that_was_held_up_does_not_undo_a_later_one(self):
        with self.assertRaises(error.ControlError):
            await self.order(0, is_wanted=lambda: False)
        orders = [make_order(number=1, is_forced=True), make_order("a", False, 2)]

        def change_meanwhile(item):
            while orders:
                self.control.machine.apply(1, command.REGISTRY.encode(orders.pop(0)))
            return ""

        self.control.lose = change_meanwhile
        answers = [False, True]
        with self.assertRaises(error.ControlError):
            await self.order(0, is_wanted=answers.pop)
        found = record.read_evacuated(self.control.machine.state)
        self.assertEqual(found, Evacuated(2, ()))


class PowerLossTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_acknowledged_order_outlives_a_loss_of_all_power(self):
        for entries in (1, 1000):
            with self.subTest(snapshot_entries=entries):
                disk = fake.FakeDisk()
                async with restart_test.Process(disk, None, entries) as process:
                    await process.lead()
                    await process.propose(make_order(is_forced=True))
                async with restart_test.Process(disk.crash(), None) as process:
                    await process.lead()
                    await process.replica.wait_caught_up()
                    self.assertEqual(
                        record.read_evacuated(process.machine.state),
                        Evacuated(1, ("a",)),
                    )
                    self.assertEqual(
                        process.placement.allocator.count_evacuated(), {"a": 0}
                    )


if __name__ == "__main__":
    unittest.main()

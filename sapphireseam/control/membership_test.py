"""Tests which control VMs are added as members and which may be retired."""

import math
import unittest

from sapphireseam.control import machine as machines, membership
from sapphireseam.core import command, error, message
from sapphireseam.state.message import Member
from sapphireseam.utils.timer import FakeTimer

CALLER = frozenset()


class FakeReplica:
    def __init__(self, machine):
        self.is_leader = True
        self.has_caught_up = True
        self.leader = "a"
        self.members = tuple(Member(name, name) for name in "abc")
        self.leaving = frozenset()
        self._machine = machine
        self._index = 0

    async def read_index(self):
        return 0

    async def add_member(self, name, address):
        self.members += (Member(name, address, voter=False),)

    def set_leaving(self, names):
        self.leaving = names

    def measure_silence(self, name):
        return math.inf

    async def propose(self, data):
        self._index += 1
        return self._machine.apply(self._index, data)


class MembershipServiceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = FakeTimer()
        self.machine = machines.StateMachine()
        self.replica = FakeReplica(self.machine)
        self.service = membership.MembershipService(
            self.replica, self.machine, 3, self.timer
        )

    async def announce(self, *names):
        for name in names:
            request = message.Announce(name, f"vm-{name}")
            answer = await self.service._answer_announce(request, CALLER)
        return answer.members

    async def retire(self, name):
        request = message.Retire(f"vm-{name}")
        return await self.service._answer_retire(request, CALLER)

    async def read_retired(self, name):
        request = message.ReadRetired(f"vm-{name}")
        return await self.service._answer_read_retired(request, CALLER)

    async def test_a_vm_that_announces_itself_is_added_once(self):
        self.assertEqual(await self.announce("a", "d", "d"), ("a", "b", "c", "d"))

    async def test_a_follower_refers_the_caller_to_the_leader(self):
        self.replica.is_leader = False
        with self.assertRaises(error.NotLeaderError) as caught:
            await self.announce("d")
        self.assertEqual(caught.exception.leader, "a")

    async def test_new_leader_adds_no_vm_before_it_knows_which_are_retired(self):
        self.replica.has_caught_up = False
        with self.assertRaises(error.NotLeaderError):
            await self.announce("d")
        self.assertEqual(len(self.replica.members), 3)

    async def test_retiring_is_refused_if_too_few_would_remain(self):
        await self.announce("a", "b", "c")
        with self.assertRaises(error.RequestError) as caught:
            await self.retire("b")
        self.assertEqual(caught.exception.kind, error.Kind.CONFLICT)

    async def test_a_silent_vm_does_not_count_as_remaining(self):
        await self.announce("d")
        await self.timer.advance(membership.SILENCE_SECONDS + 0.1)
        await self.announce("a", "b", "c")
        with self.assertRaises(error.RequestError):
            await self.retire("b")

    async def test_retiring_an_unknown_vm_is_refused(self):
        with self.assertRaises(error.RequestError) as caught:
            await self.retire("x")
        self.assertEqual(caught.exception.kind, error.Kind.OBJECT_UNKNOWN)

    async def test_a_retired_vm_leaves_and_is_never_added_again(self):
        await self.announce("a", "b", "c", "d")
        await self.retire("b")
        await self.retire("b")
        self.assertEqual(self.replica.leaving, frozenset({"b"}))
        view = await self.read_retired("b")
        self.assertEqual((view.is_known, view.is_empty), (True, False))
        self.replica.members = tuple(Member(name, name) for name in "acd")
        self.assertTrue((await self.read_retired("b")).is_empty)
        self.assertNotIn("b", await self.announce("b"))

    async def test_a_retired_vm_is_not_empty_before_another_replaces_it_as_voter(self):
        await self.announce("a", "b", "c", "d")
        await self.retire("b")
        voters = tuple(Member(name, name) for name in "ac")
        self.replica.members = (*voters, Member("d", "d", voter=False))
        self.assertFalse((await self.read_retired("b")).is_empty)

    async def test_retired_vms_leave_after_a_restore_from_a_snapshot(self):
        await self.announce("a", "b", "c", "d")
        await self.retire("b")
        self.replica.leaving = frozenset()
        self.machine.restore(self.machine.encode())
        self.assertEqual(self.replica.leaving, frozenset({"b"}))

    async def test_a_retirement_is_a_command(self):
        item = command.RetireMember("addr", "vm")
        self.machine.apply(1, command.REGISTRY.encode(item))
        self.assertEqual(self.machine.state.retired, {"vm": "addr"})


if __name__ == "__main__":
    unittest.main()

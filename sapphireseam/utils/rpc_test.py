"""Check calls over a kept stream against a real server on loopback."""

import asyncio
import socket
import unittest

from sapphireseam.core import error, message
from sapphireseam.utils import client, rpc
from sapphireseam.utils.rpc import Role
from sapphireseam.utils.timer import FakeTimer

# A ceiling for a step that ends with an event, in seconds.
STEP_SECONDS = 30.0
CREDENTIAL = (rpc.FLEET_HEADER, "secret")


def find_address():
    """Return a loopback address that nobody listens on."""
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{found.getsockname()[1]}"


def ask(amount):
    return message.Debit("entry", (("grower", amount),))


async def authorize(metadata):
    is_fleet = metadata.get(rpc.FLEET_HEADER) == "secret"
    return frozenset({Role.FLEET}) if is_fleet else frozenset()


class KeptCallTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.address = find_address()
        self.held = asyncio.Event()
        self.held.set()
        self.arrived = asyncio.Event()
        await self.serve()
        self.channel = self.reach(CREDENTIAL)

    async def serve(self):
        self.server = rpc.Server(self.address, authorize)
        self.server.add_call(message.Debit, frozenset({Role.FLEET}), self.debit)
        roles = frozenset({Role.OPERATOR})
        self.server.add_call(message.ListKeys, roles, self.debit)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    def reach(self, credential):
        channel = rpc.Channel(self.address, credential)
        self.addAsyncCleanup(channel.close)
        return channel

    async def debit(self, request, caller):
        self.arrived.set()
        await self.held.wait()
        if not request.wanted:
            raise error.NotLeaderError("not here", "control-2")
        return message.Debited(tuple((amount, 0.0) for _, amount in request.wanted))

    async def test_answers_go_to_their_own_calls(self):
        calls = [self.channel.call_on_stream(ask(float(n))) for n in range(20)]
        answers = await asyncio.gather(*calls)
        granted = [answer.grants[0][0] for answer in answers]
        self.assertEqual(granted, [float(n) for n in range(20)])

    async def test_refusal_arrives_as_the_error_that_it_is(self):
        with self.assertRaises(error.NotLeaderError) as caught:
            await self.channel.call_on_stream(message.Debit("entry", ()))
        self.assertEqual(caught.exception.leader, "control-2")

    async def test_stream_without_the_secret_is_refused(self):
        with self.assertRaises(error.SeamError) as caught:
            await self.reach((rpc.FLEET_HEADER, "wrong")).call_on_stream(ask(1.0))
        self.assertIs(caught.exception.kind, error.Kind.KEY_INVALID)
        self.assertFalse(self.arrived.is_set())

    async def test_call_of_another_role_is_refused(self):
        with self.assertRaises(error.SeamError) as caught:
            await self.channel.call_on_stream(message.ListKeys())
        self.assertIs(caught.exception.kind, error.Kind.KEY_INVALID)
        self.assertFalse(self.arrived.is_set())

    async def test_late_answer_reaches_no_other_call(self):
        self.held.clear()
        late = asyncio.ensure_future(self.channel.call_on_stream(ask(1.0)))
        await self.arrived.wait()
        late.cancel()
        await asyncio.gather(late, return_exceptions=True)
        following = asyncio.ensure_future(self.channel.call_on_stream(ask(2.0)))
        self.held.set()
        answer = await asyncio.wait_for(following, STEP_SECONDS)
        self.assertEqual(answer.grants[0][0], 2.0)

    async def test_lost_stream_fails_its_call_and_the_next_opens_another(self):
        self.held.clear()
        lost = asyncio.ensure_future(self.channel.call_on_stream(ask(1.0)))
        await self.arrived.wait()
        await self.server.stop()
        with self.assertRaises(rpc.LinkError):
            await asyncio.wait_for(lost, STEP_SECONDS)
        self.held.set()
        await self.serve()
        for _ in range(100):
            try:
                answer = await self.channel.call_on_stream(ask(2.0))
                break
            except rpc.LinkError:
                await asyncio.sleep(0.1)
        self.assertEqual(answer.grants[0][0], 2.0)

    async def test_call_without_answer_in_time_has_unknown_outcome(self):
        self.held.clear()
        timer = FakeTimer()
        control = client.ControlClient((self.address,), CREDENTIAL, timer)
        self.addAsyncCleanup(control.stop)
        call = asyncio.ensure_future(control.call_on_stream(ask(1.0), 1.0))
        await self.arrived.wait()
        await timer.advance(5.0)
        with self.assertRaises(error.ControlError) as caught:
            await asyncio.wait_for(call, STEP_SECONDS)
        self.assertFalse(caught.exception.not_run)
        self.held.set()

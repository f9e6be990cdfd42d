"""Test calls over a call stream against a real server on loopback."""

import asyncio
import socket
import unittest

from sapphireseam.core import error, message
from sapphireseam.utils import client, rpc
from sapphireseam.utils.rpc import Role
from sapphireseam.utils.timer import FakeTimer

# Timeout for a step that waits for an event, in seconds.
STEP_SECONDS = 30.0
CREDENTIAL = (rpc.FLEET_HEADER, "secret")


def find_free_address():
    """Return a loopback address with a free port."""
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{found.getsockname()[1]}"


def make_debit(amount):
    return message.Debit("entry", (("grower", amount),))


async def authorize(metadata):
    is_fleet = metadata.get(rpc.FLEET_HEADER) == "secret"
    return frozenset({Role.FLEET}) if is_fleet else frozenset()


class CallStreamTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.address = find_free_address()
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.received = asyncio.Event()
        await self.serve()
        self.channel = self.open_channel(CREDENTIAL)

    async def serve(self):
        self.server = rpc.Server(self.address, authorize)
        self.server.add_call(message.Debit, frozenset({Role.FLEET}), self.debit)
        roles = frozenset({Role.OPERATOR})
        self.server.add_call(message.ListKeys, roles, self.debit)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    def open_channel(self, credential):
        channel = rpc.Channel(self.address, credential)
        self.addAsyncCleanup(channel.close)
        return channel

    async def debit(self, request, caller):
        self.received.set()
        await self.may_answer.wait()
        if not request.wanted:
            raise error.NotLeaderError("not here", "control-2")
        return message.Debited(tuple((amount, 0.0) for _, amount in request.wanted))

    async def test_each_call_gets_its_own_answer(self):
        calls = [self.channel.call_on_stream(make_debit(float(n))) for n in range(20)]
        answers = await asyncio.gather(*calls)
        granted = [answer.grants[0][0] for answer in answers]
        self.assertEqual(granted, [float(n) for n in range(20)])

    async def test_error_of_the_handler_is_raised_at_the_caller(self):
        with self.assertRaises(error.NotLeaderError) as caught:
            await self.channel.call_on_stream(message.Debit("entry", ()))
        self.assertEqual(caught.exception.leader, "control-2")

    async def test_stream_with_a_wrong_secret_is_refused(self):
        with self.assertRaises(error.SeamError) as caught:
            await self.open_channel((rpc.FLEET_HEADER, "wrong")).call_on_stream(
                make_debit(1.0)
            )
        self.assertIs(caught.exception.kind, error.Kind.KEY_INVALID)
        self.assertFalse(self.received.is_set())

    async def test_call_reserved_for_another_role_is_refused(self):
        with self.assertRaises(error.SeamError) as caught:
            await self.channel.call_on_stream(message.ListKeys())
        self.assertIs(caught.exception.kind, error.Kind.KEY_INVALID)
        self.assertFalse(self.received.is_set())

    async def test_answer_to_a_cancelled_call_is_dropped(self):
        self.may_answer.clear()
        late = asyncio.ensure_future(self.channel.call_on_stream(make_debit(1.0)))
        await self.received.wait()
        late.cancel()
        await asyncio.gather(late, return_exceptions=True)
        following = asyncio.ensure_future(self.channel.call_on_stream(make_debit(2.0)))
        self.may_answer.set()
        answer = await asyncio.wait_for(following, STEP_SECONDS)
        self.assertEqual(answer.grants[0][0], 2.0)

    async def test_broken_stream_fails_its_call_and_the_next_call_reconnects(self):
        self.may_answer.clear()
        lost = asyncio.ensure_future(self.channel.call_on_stream(make_debit(1.0)))
        await self.received.wait()
        await self.server.stop()
        with self.assertRaises(rpc.LinkError):
            await asyncio.wait_for(lost, STEP_SECONDS)
        self.may_answer.set()
        await self.serve()
        for _ in range(100):
            try:
                answer = await self.channel.call_on_stream(make_debit(2.0))
                break
            except rpc.LinkError:
                await asyncio.sleep(0.1)
        self.assertEqual(answer.grants[0][0], 2.0)

    async def test_call_that_timed_out_has_unknown_outcome(self):
        self.may_answer.clear()
        timer = FakeTimer()
        control = client.ControlClient((self.address,), CREDENTIAL, timer)
        self.addAsyncCleanup(control.stop)
        call = asyncio.ensure_future(control.call_on_stream(make_debit(1.0), 1.0))
        await self.received.wait()
        # Closing the call stream takes real time before the next wait on the timer.
        async with asyncio.timeout(STEP_SECONDS):
            while not call.done():
                await timer.advance(1.0)
                await asyncio.sleep(0.01)
        with self.assertRaises(error.ControlError) as caught:
            call.result()
        self.assertFalse(caught.exception.not_run)
        self.may_answer.set()

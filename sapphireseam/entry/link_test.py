"""Test that answers reach only their own attempt and that late ones are dropped."""

import unittest

from sapphireseam.agent.fake import FakeStream
from sapphireseam.core import error, exchange
from sapphireseam.entry import link
from sapphireseam.utils import rpc
from sapphireseam.utils.timer import FakeTimer

LOAD = exchange.Load("u", 0, 0, 8, False, True)


class FakeChannel:
    def __init__(self):
        self.streams: list[FakeStream] = []

    async def open(self, first):
        stream = FakeStream()

        async def close():
            stream.inbox.put_nowait(rpc.LinkError("closed"))

        stream.close = close
        stream.inbox.put_nowait(LOAD)
        self.streams.append(stream)
        return stream

    async def close(self):
        pass


class AgentLinkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = FakeTimer()
        self.link = link.AgentLink("e", "u", "127.0.0.1:1", ("a", "b"), self.timer)
        await self.link._channel.close()
        self.channel = self.link._channel = FakeChannel()
        await self.link.start()
        self.addAsyncCleanup(self.link.stop)
        await self.timer.settle()

    async def receive(self, *items):
        for item in items:
            self.channel.streams[-1].inbox.put_nowait(item)
        await self.timer.settle()

    def read(self, attempt):
        items = []
        while not attempt._queue.empty():
            items.append(attempt._queue.get_nowait())
        return items

    async def test_each_answer_reaches_its_own_attempt(self):
        first, second = self.link.open_attempt(), self.link.open_attempt()
        answers = [exchange.Data(a.number, b"%d" % a.number) for a in (second, first)]
        await self.receive(*answers)
        self.assertEqual(self.read(first), [answers[1]])
        self.assertEqual(self.read(second), [answers[0]])

    async def test_late_answer_to_a_closed_attempt_is_dropped(self):
        first = self.link.open_attempt()
        first.close(revoke=True)
        second = self.link.open_attempt()
        await self.receive(exchange.Data(first.number, b"late"))
        self.assertEqual((self.read(first), self.read(second)), ([], []))
        self.assertIn(exchange.Revoke(first.number), self.channel.streams[-1].sent)

    async def test_attempts_at_a_silent_agent_are_lost_for_good(self):
        """Freeze the agent; the messages that it sends afterwards come too late."""
        first = self.link.open_attempt()
        old = self.channel.streams[-1]
        await self.timer.advance(link.SILENCE_SECONDS + 0.1)
        self.assertEqual(self.read(first), [link.LinkLost(first.number)])
        with self.assertRaises(error.CapacityError):
            self.link.open_attempt()
        await self.timer.advance(1.0)
        self.assertIsNot(self.channel.streams[-1], old)
        second = self.link.open_attempt()
        old.inbox.put_nowait(exchange.Data(second.number, b"old"))
        await self.timer.settle()
        self.assertEqual(self.read(second), [])

    async def test_numbers_of_two_processes_differ(self):
        other = link.AgentLink("e", "u", "127.0.0.1:1", ("a", "b"), self.timer)
        self.addAsyncCleanup(other._channel.close)
        self.assertNotEqual(next(other._numbers), next(self.link._numbers))

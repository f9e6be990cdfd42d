"""Test how connections to upstreams are kept, left and closed."""

import asyncio
import unittest

from sapphireseam.utils import fakeupstream, outbound


class OutboundTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.upstream = fakeupstream.FakeUpstream("u1")
        await self.upstream.start()
        self.addAsyncCleanup(self.upstream.stop)
        self.outbound = outbound.ConnectionPool(fakeupstream.FakeDialect())
        self.addAsyncCleanup(self.outbound.stop)

    async def read(self, id="r1", patience=None):
        request = outbound.Outgoing(id, "c", "h", "POST", "/x", (), b"body")
        sending = self.outbound.send(request, self.upstream.instance, patience)
        async with sending as answer:
            return await answer.read_all(1 << 20, patience)

    async def test_an_upstream_that_left_the_list_finishes_what_it_has(self):
        self.upstream.event_delay = 0.05
        reading = asyncio.create_task(self.read())
        await asyncio.sleep(0.08)
        await self.outbound.keep_only(frozenset())
        self.assertEqual((await reading).count(b"data"), 4)
        self.assertEqual(self.outbound._sessions, {})

    async def test_idle_connections_to_who_left_are_closed(self):
        await self.read()
        await self.outbound.keep_only(frozenset({"elsewhere:1"}))
        self.assertEqual(self.outbound._sessions, {})

    async def test_connections_to_who_stays_are_kept(self):
        await self.read()
        await self.outbound.keep_only(frozenset({self.upstream.instance.address}))
        await self.read("r2")
        self.assertEqual(self.upstream.connections, 1)

    async def test_a_silent_upstream_is_told_apart_from_a_broken_one(self):
        self.upstream.behaviours = ["silent", "drop"]
        with self.assertRaises(outbound.AnswerTimeoutError):
            await self.read(patience=0.1)
        with self.assertRaises(outbound.OutboundError) as caught:
            await self.read()
        self.assertNotIsInstance(caught.exception, outbound.AnswerTimeoutError)
        self.assertFalse(caught.exception.is_not_run)

    async def test_who_does_not_listen_has_not_run_anything(self):
        instance = self.upstream.instance
        await self.upstream.stop()
        request = outbound.Outgoing("r1", "c", "h", "POST", "/x", (), b"body")
        with self.assertRaises(outbound.OutboundError) as caught:
            async with self.outbound.send(request, instance):
                self.fail("nobody listens")
        self.assertTrue(caught.exception.is_not_run)

    async def test_an_order_is_answered_or_not(self):
        self.upstream.behaviours = ["fail"]
        address = self.upstream.instance.address
        reply = await self.outbound.order(address, "GET", "/x", b"", 1.0)
        self.assertEqual((reply.status, reply.is_success), (500, False))
        self.upstream.behaviours = ["silent"]
        self.assertIsNone(await self.outbound.order(address, "GET", "/x", b"", 0.1))


if __name__ == "__main__":
    unittest.main()

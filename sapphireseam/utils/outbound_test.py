"""Test when connections to upstreams are reused and closed, and how errors differ."""

import asyncio
import unittest

from sapphireseam.utils import fakeupstream, framing, outbound


class OutboundTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.upstream = fakeupstream.FakeUpstream("u1")
        await self.upstream.start()
        self.addAsyncCleanup(self.upstream.stop)
        self.pool = outbound.ConnectionPool(fakeupstream.FakeDialect())
        self.addAsyncCleanup(self.pool.stop)

    async def read(self, id="r1", timeout=None):
        request = outbound.Outgoing(id, "c", "h", "POST", "/x", (), b"body")
        sending = self.pool.send(request, self.upstream.instance, timeout)
        async with sending as answer:
            return await answer.read_all(1 << 20, timeout)

    async def test_unlisted_upstream_finishes_its_requests(self):
        self.upstream.event_delay = 0.05
        reading = asyncio.create_task(self.read())
        await asyncio.sleep(0.08)
        await self.pool.keep_only(frozenset())
        self.assertEqual((await reading).count(b"data"), 4)
        self.assertEqual(self.pool._sessions, {})

    async def test_idle_connections_to_unlisted_upstreams_are_closed(self):
        await self.read()
        await self.pool.keep_only(frozenset({"elsewhere:1"}))
        self.assertEqual(self.pool._sessions, {})

    async def test_connections_to_listed_upstreams_are_reused(self):
        await self.read()
        await self.pool.keep_only(frozenset({self.upstream.instance.address}))
        await self.read("r2")
        self.assertEqual(self.upstream.connections, 1)

    async def test_timeout_and_broken_connection_raise_different_errors(self):
        self.upstream.behaviours = ["silent", "drop"]
        with self.assertRaises(outbound.AnswerTimeoutError):
            await self.read(timeout=0.1)
        with self.assertRaises(outbound.OutboundError) as caught:
            await self.read()
        self.assertNotIsInstance(caught.exception, outbound.AnswerTimeoutError)
        self.assertFalse(caught.exception.is_not_run)

    async def test_unframed_answer_whose_connection_is_reset_is_not_complete(self):
        self.upstream.event_delay = 0.01
        self.upstream.behaviours = ["unframed", "unframed-reset"]
        self.assertEqual((await self.read()).count(b"data"), 4)
        with self.assertRaises(outbound.OutboundError) as caught:
            await self.read()
        self.assertFalse(caught.exception.is_not_run)

    async def read_raw(self, answer, resets=False, timeout=None):
        """Read the events of an answer that a server sends before it ends."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await writer.drain()
            if timeout is not None:
                await reader.read()
            if resets:
                await asyncio.sleep(0.01)
                framing.break_off(writer.transport)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        instance = self.upstream.instance._replace(address=address)
        request = outbound.Outgoing("r1", "c", "h", "GET", "/x", (), b"")
        with self.assertRaises(outbound.OutboundError) as caught:
            async with self.pool.send(request, instance, timeout) as received:
                async for _ in received.read_events(timeout):
                    pass
        return isinstance(caught.exception, outbound.BrokenError)

    async def test_only_an_end_of_the_connection_by_the_upstream_is_a_break(self):
        head = b"HTTP/1.1 200 OK\r\nFake-Id: r1\r\n"
        length = head + b"Content-Length: 19\r\n\r\n"
        chunks = head + b"Transfer-Encoding: chunked\r\n\r\n"
        for answer in (
            b"",
            b"HTTP/1.1 200",
            length + b"id: 0\n",
            chunks,
            chunks + b"6\r\nid: 0\n\r\n",
            chunks + b"6\r\nid:",
            head + b"\r\n",
            head + b"\r\nid: 0\ndata: x\n",
        ):
            for resets in (False, True):
                with self.subTest(answer=answer, resets=resets):
                    self.assertTrue(await self.read_raw(answer, resets))
        for answer in (
            b"HTTP/1.1 zero\r\n\r\n",
            b"what is this\r\n\r\n",
            chunks + b"zz\r\nid: 0\n\r\n",
            length + b"id: 0\ndata: unended",
        ):
            with self.subTest(answer=answer):
                self.assertFalse(await self.read_raw(answer))
        for answer in (b"", chunks):
            with self.subTest(answer=answer, is_silent=True):
                self.assertFalse(await self.read_raw(answer, timeout=0.05))

    async def test_refused_connection_means_not_run(self):
        instance = self.upstream.instance
        await self.upstream.stop()
        request = outbound.Outgoing("r1", "c", "h", "POST", "/x", (), b"body")
        with self.assertRaises(outbound.OutboundError) as caught:
            async with self.pool.send(request, instance):
                self.fail("the upstream has stopped")
        self.assertTrue(caught.exception.is_not_run)

    async def test_leaving_upstream_gets_nothing_more_until_it_runs_anew(self):
        leaving = []
        self.pool.on_leaving = leaving.append
        self.upstream.is_leaving = True
        await self.read()
        with self.assertRaises(outbound.LeavingError) as caught:
            await self.read("r2")
        self.assertTrue(caught.exception.is_not_run)
        self.assertEqual(leaving, [self.upstream.instance])
        self.upstream.is_leaving = False
        self.upstream.born = 7
        await self.read("r3")
        self.assertEqual([run.id for run in self.upstream.runs], ["r1", "r3"])

    async def test_order_returns_the_answer_or_none(self):
        self.upstream.behaviours = ["fail"]
        instance = self.upstream.instance
        reply = await self.pool.send_order(instance, "GET", "/x", b"", 1.0)
        self.assertEqual((reply.status, reply.is_success), (500, False))
        self.upstream.behaviours = ["silent"]
        self.assertIsNone(await self.pool.send_order(instance, "GET", "/x", b"", 0.1))

    async def test_an_answer_to_an_order_that_says_leaving_is_heeded(self):
        leaving = []
        self.pool.on_leaving = leaving.append
        self.upstream.is_leaving = True
        await self.pool.send_order(self.upstream.instance, "GET", "/x", b"", 1.0)
        self.assertEqual(leaving, [self.upstream.instance])
        with self.assertRaises(outbound.LeavingError):
            await self.read()


if __name__ == "__main__":
    unittest.main()

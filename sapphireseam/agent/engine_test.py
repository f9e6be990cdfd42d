"""Test when the agent's upstream client takes an answer as complete."""

import asyncio
import unittest
from unittest import mock

import uvloop

from sapphireseam.agent import engine
from sapphireseam.core import exchange, message
from sapphireseam.utils import crash, fakeflood, fakeupstream
from sapphireseam.utils.timer import SystemTimer


class UpstreamClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.upstream = fakeupstream.FakeUpstream("u1")
        self.upstream.event_delay = 0.01
        await self.upstream.start()
        self.addAsyncCleanup(self.upstream.stop)
        self.client = engine.UpstreamClient("u1", SystemTimer())
        self.client.set_address(self.upstream.instance.address)
        await self.client.start()
        self.addAsyncCleanup(self.client.stop)

    async def read(self, behaviour, method="POST"):
        await asyncio.sleep(0.05)
        self.upstream.behaviours = [behaviour]
        answer = self.client.run(method, "/x", (), b"b")
        parts = [item async for item in answer]
        return b"".join(item.body for item in parts if isinstance(item, exchange.Data))

    async def test_an_unframed_answer_ends_with_its_connection(self):
        self.assertEqual((await self.read("unframed")).count(b"data"), 4)

    async def test_an_upstream_that_pauses_is_waited_for(self):
        for behaviour in ("pause-head", "pause-start", "pause"):
            self.assertEqual((await self.read(behaviour)).count(b"data"), 4)

    async def test_an_unframed_answer_whose_connection_is_reset_is_not_complete(self):
        with self.assertRaises(engine.UpstreamError) as caught:
            await self.read("unframed-reset")
        self.assertTrue(caught.exception.broken)
        self.assertFalse(caught.exception.not_run)

    async def test_an_upstream_that_has_crashed_is_back_once_it_answers_a_check(self):
        self.upstream.has_sidecar, self.upstream.down_seconds = True, 0.3
        self.upstream._crash(fakeupstream.Run("r", "/x", {}, b""))
        self.assertTrue(await self.client.has_ended(crash.Run("u1")))
        self.assertTrue(self.client.has_crashed)
        await asyncio.sleep(0.3 + 2 * engine.HEALTH_SECONDS)
        self.assertFalse(self.client.has_crashed)

    async def test_a_check_that_began_before_a_crash_does_not_hide_it(self):
        client = engine.UpstreamClient("u1", SystemTimer())
        client.set_address(self.upstream.instance.address)
        answered = asyncio.Event()
        with mock.patch.object(client, "probe", answered.wait):
            checking = asyncio.create_task(client._check_health())
            await asyncio.sleep(0)
            self.upstream.has_sidecar, self.upstream.down_seconds = True, 9.0
            self.upstream._crash(fakeupstream.Run("r", "/x", {}, b""))
            self.assertTrue(await client.has_ended(crash.Run("u1")))
            answered.set()
            await checking
        self.assertTrue(client.has_crashed)

    async def test_a_request_whose_connection_breaks_is_never_sent_again(self):
        for method in ("PUT", "DELETE", "GET"):
            before = len(self.upstream.runs)
            with self.assertRaises(engine.UpstreamError):
                await self.read("drop", method)
            self.assertEqual(len(self.upstream.runs), before + 1)

    async def test_a_header_that_is_not_utf_8_can_be_sent_to_the_entry(self):
        raw = fakeupstream.make_raw(b"x", extra=b"H: a\xff\r\n")
        self.upstream.behaviours = [raw]
        head = await anext(self.client.run("GET", "/x", (), b""))
        self.assertIn(("H", "a\ufffd"), head.headers)
        message.REGISTRY.encode(head)

    async def test_a_repeated_refusal_reaches_no_other_request(self):
        self.assertEqual(await self.read("refuse"), b"no")
        self.assertEqual((await self.read("repeat")).count(b"data"), 4)

    async def test_a_cut_head_is_a_broken_answer(self):
        for raw in fakeupstream.list_cut_heads():
            with self.subTest(raw), self.assertRaises(engine.UpstreamError) as caught:
                await self.read(raw)
            self.assertEqual(
                (caught.exception.broken, caught.exception.not_run), (True, False)
            )

    async def test_bytes_without_end_are_a_failure_but_no_crash(self):
        head = b"HTTP/1.1 200 OK\r\n"
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
        for start, repeated in (
            (head, b"A: b\r\n"),
            (b"", b"\r\n"),
            (chunked, b"0"),
            (chunked + b"1;", b"x"),
        ):
            flood = fakeflood.FakeFlood(start, repeated)
            await flood.start()
            self.addAsyncCleanup(flood.stop)
            self.client.set_address(flood.address)
            with self.assertRaises(engine.UpstreamError) as caught:
                await asyncio.wait_for(self.read("well"), 3.0)
            self.assertEqual(
                (caught.exception.broken, caught.exception.not_run), (False, False)
            )
            await asyncio.wait_for(flood.has_closed.wait(), 1.0)


class UpstreamClientOnUvloopTest(UpstreamClientTest):
    """The programs run on uvloop, which reports the end of a connection differently."""

    @classmethod
    def setUpClass(cls):
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
        cls.addClassCleanup(asyncio.set_event_loop_policy, None)


if __name__ == "__main__":
    unittest.main()

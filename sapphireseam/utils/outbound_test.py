"""Test when connections to upstreams are reused and closed, and how errors differ."""

import asyncio
import contextlib
import time
import tracemalloc
import types
import unittest
from unittest import mock

from sapphireseam.utils import fakeflood, fakeupstream, framing, outbound

HEAD = b"HTTP/1.1 200 OK\r\nFake-Id: r1\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# What a caller may receive before it closes a connection: its own bounds and the
# buffers of the sockets.
ACCEPTED_BYTES = 8 * 1024 * 1024


class OutboundTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.upstream = fakeupstream.FakeUpstream("u1")
        await self.upstream.start()
        self.addAsyncCleanup(self.upstream.stop)
        self.pool = outbound.ConnectionPool(fakeupstream.FakeDialect())
        self.addAsyncCleanup(self.pool.stop)

    async def read(self, id="r1", timeout=None):
        request = outbound.Outgoing(id, "c", "h", "POST", "/x", (), b"body")
        sending = self.pool.send(
            request, self.upstream.instance, outbound.limit_silence(timeout)
        )
        async with sending as answer:
            return await answer.read_all(1 << 20, outbound.limit_silence(timeout))

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

    async def test_an_answer_whose_connection_is_closed_here_ends_early(self):
        request = outbound.Outgoing("r1", "c", "h", "POST", "/x", (), b"body")
        for waits in (True, False):
            pool = outbound.ConnectionPool(fakeupstream.FakeDialect())
            self.upstream.behaviours = ["stall"]
            async with pool.send(request, self.upstream.instance) as answer:
                await answer.read_some()
                reading = asyncio.create_task(answer.read_all(1 << 20))
                await asyncio.sleep(0.05 * waits)
                await pool.stop()
                with self.assertRaises(outbound.OutboundError):
                    await asyncio.wait_for(reading, 1.0)

    async def test_an_upstream_is_not_blamed_for_a_pool_that_stops(self):
        self.upstream.behaviours = ["silent", "stall"]
        for _ in range(2):
            self.pool = outbound.ConnectionPool(fakeupstream.FakeDialect())
            reading = asyncio.create_task(self.read())
            await asyncio.sleep(0.1)
            await self.pool.stop()
            with self.assertRaises(outbound.RefusalError) as caught:
                await asyncio.wait_for(reading, 1.0)
            self.assertFalse(caught.exception.is_not_run)

    async def test_nothing_is_sent_by_a_pool_that_stops(self):
        await self.read()
        instance = self.upstream.instance
        stopping = asyncio.create_task(self.pool.stop())
        await asyncio.sleep(0)
        with self.assertRaises(outbound.OutboundError) as caught:
            await self.read("r2")
        self.assertTrue(caught.exception.is_not_run)
        await stopping
        order = await self.pool.send_order(instance, "POST", "/x", b"", 1.0)
        self.assertIsNone(order)
        self.assertEqual([run.id for run in self.upstream.runs], ["r1"])
        self.assertEqual(self.pool._sessions, {})

    async def test_unframed_answer_whose_connection_is_reset_is_not_complete(self):
        self.upstream.event_delay = 0.01
        self.upstream.behaviours = ["unframed", "unframed-reset"]
        self.assertEqual((await self.read()).count(b"data"), 4)
        with self.assertRaises(outbound.OutboundError) as caught:
            await self.read()
        self.assertFalse(caught.exception.is_not_run)

    async def test_a_cut_head_is_no_answer_to_an_order_or_a_probe(self):
        for raw in fakeupstream.list_cut_heads():
            self.upstream.behaviours = [raw]
            instance = self.upstream.instance
            reply = await self.pool.send_order(instance, "POST", "/x", b"", 1.0)
            with self.subTest(raw):
                self.assertIsNone(reply)

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
        wait_scope = outbound.limit_silence(timeout)
        with self.assertRaises(outbound.OutboundError) as caught:
            async with self.pool.send(request, instance, wait_scope) as received:
                async for _ in received.read_events(wait_scope):
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

    async def test_refusal_of_another_request_does_not_mean_not_run(self):
        self.upstream.behaviours = ["stale-refuse", "refuse"]
        with self.assertRaises(outbound.OutboundError) as caught:
            await self.read()
        self.assertFalse(caught.exception.is_not_run)
        self.assertEqual(await self.read(), b"no")

    async def test_connection_never_carries_a_request_again_that_it_refused(self):
        self.upstream.behaviours = ["refuse", "well", "refuse", "refuse"]
        for id in ("r1", "r2", "r3", "r1"):
            await self.read(id)
        self.assertEqual(self.upstream.connections, 2)
        self.upstream.behaviours = ["repeat"]
        self.assertEqual((await self.read("r1")).count(b"data"), 4)
        self.assertEqual(self.upstream.connections, 3)

    async def test_few_connections_are_enough_if_requests_are_refused_again(self):
        self.upstream.behaviours = ["refuse"] * 150
        for number in range(50):
            for _ in range(3):
                await self.read(f"r{number}")
        self.assertEqual(self.upstream.connections, 3)

    async def test_connection_that_is_kept_for_others_expires_as_if_it_were_not(self):
        self.upstream.behaviours = ["refuse"] * 2
        with mock.patch.object(outbound, "IDLE_SECONDS", 1.0):
            for _ in range(2):
                await self.read("r1")
                await asyncio.sleep(0.6)
            await self.read("r2")
        self.assertEqual(self.upstream.connections, 2)
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.upstream._connections), 1)

    async def test_connections_that_refused_many_requests_are_closed(self):
        self.upstream.behaviours = ["refuse"] * framing.MAX_FAILED_IDS
        for number in range(framing.MAX_FAILED_IDS + 1):
            await self.read(f"r{number}")
        self.assertEqual(self.upstream.connections, 2)

    async def test_refusal_without_an_id_is_believed_only_on_a_new_connection(self):
        self.upstream.behaviours = ["unnamed-refusal", "well", "unnamed-refusal"]
        self.assertEqual(await self.read(), b"no")
        await self.read("r2")
        with self.assertRaises(outbound.OutboundError) as caught:
            await self.read("r3")
        self.assertFalse(caught.exception.is_not_run)
        for addresses in ((), (self.upstream.instance.address,)):
            await self.pool.keep_only(frozenset(addresses))
        await self.pool.send_order(self.upstream.instance, "GET", "/x", b"", 1.0)
        self.upstream.behaviours = ["unnamed-refusal"]
        with self.assertRaises(outbound.OutboundError) as caught:
            await self.read("r4")
        self.assertFalse(caught.exception.is_not_run)

    async def start_script(self, *answers):
        """Answer requests in turn, each with bytes and with pauses in seconds."""
        remaining = iter(answers)

        async def serve(reader, writer):
            self.addCleanup(writer.close)
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    await reader.readuntil(b"\r\n\r\n")
                    for part in next(remaining):
                        if isinstance(part, float):
                            await asyncio.sleep(part)
                        else:
                            writer.write(part)
                            await writer.drain()
                    await reader.readexactly(len(b"body"))

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.upstream = types.SimpleNamespace(
            instance=self.upstream.instance._replace(address=address)
        )

    async def test_copy_of_a_refusal_is_never_taken_for_the_next_answer(self):
        for status in (400, 421, 429, 503):
            refusal = (
                f"HTTP/1.1 {status} X\r\nFake-Id: r1\r\nFake-Not-Run: 1\r\n"
                "Content-Length: 2\r\n\r\nno"
            ).encode()
            first, last = refusal[:30], refusal[30:]
            for answer, pause in (
                ((refusal + refusal,), 0.0),
                ((refusal, refusal), 0.0),
                ((refusal, 0.01, refusal), 0.0),
                ((refusal, 0.01, refusal), 0.03),
                ((refusal, 0.01, first, 0.02, last), 0.0),
                ((refusal, 0.01, first, 0.02, last), 0.02),
                ((refusal + first, 0.02, last), 0.0),
            ):
                for id in ("r1", "r2"):
                    with self.subTest(status=status, answer=answer, id=id):
                        await self.check_second_answer(answer, pause, id)

    async def check_second_answer(self, first_answer, pause, id):
        """Send a request after one that was refused, with a pause between them."""
        second = b"HTTP/1.1 200 OK\r\nFake-Id: %s\r\nContent-Length: 2\r\n\r\nab"
        await self.start_script(first_answer, (second % id.encode(),))
        self.assertEqual(await self.read(), b"no")
        await asyncio.sleep(pause)
        try:
            self.assertEqual(await self.read(id), b"ab")
        except outbound.OutboundError as failure:
            self.assertFalse(failure.is_not_run)

    async def test_connection_that_brought_anothers_answer_is_closed(self):
        whole = HEAD + b"Content-Length: 2\r\n\r\nab"
        stale = whole.replace(b"r1", b"r0")
        await self.start_script((stale, 0.02, whole), (whole.replace(b"r1", b"r2"),))
        with self.assertRaises(outbound.OutboundError) as caught:
            await self.read()
        self.assertFalse(caught.exception.is_not_run)
        self.assertEqual(await self.read("r2"), b"ab")

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

    async def test_order_with_a_path_that_cannot_be_sent_has_no_answer(self):
        instance = self.upstream.instance
        for path in ("/\x01", "x:y"):
            reply = await self.pool.send_order(instance, "GET", path, b"", 1.0)
            self.assertIsNone(reply, path)

    async def test_an_order_never_takes_the_answer_to_a_request_for_its_own(self):
        self.upstream.behaviours = ["refuse", "repeat"]
        await self.read()
        instance = self.upstream.instance
        self.assertIsNone(await self.pool.send_order(instance, "GET", "/x", b"", 1.0))

    async def test_an_answer_to_an_order_that_says_leaving_is_heeded(self):
        leaving = []
        self.pool.on_leaving = leaving.append
        self.upstream.is_leaving = True
        await self.pool.send_order(self.upstream.instance, "GET", "/x", b"", 1.0)
        self.assertEqual(leaving, [self.upstream.instance])
        with self.assertRaises(outbound.LeavingError):
            await self.read()

    async def flood(self, start, repeated, pause=0.0, timeout=3.0):
        """Read an endless answer; return its error, the flood and the seconds."""
        flood = fakeflood.FakeFlood(start, repeated, pause)
        await flood.start()
        self.addAsyncCleanup(flood.stop)
        self.upstream = flood
        began = time.monotonic()
        with self.assertRaises(outbound.OutboundError) as caught:
            await asyncio.wait_for(self.read(timeout=timeout), 6.0)
        self.assertFalse(caught.exception.is_not_run)
        seconds = time.monotonic() - began
        await asyncio.wait_for(flood.has_closed.wait(), 2.0)
        return caught.exception, flood, seconds

    async def test_a_body_that_turns_malformed_fails_at_once(self):
        for garbage in (b"zz\r\n", b"1;\0\r\na\r\n", b"0\r\nA: " + bytes(9000)):
            with self.subTest(garbage=garbage[:8]):
                failure, _, seconds = await self.flood(
                    CHUNKED + b"1\r\na\r\n", garbage, 0.05
                )
                self.assertNotIsInstance(failure, outbound.AnswerTimeoutError)
                self.assertLess(seconds, 1.0)

    async def test_bytes_around_the_body_do_not_go_on_without_end(self):
        cases = {
            "blank lines": (b"", b"\r\n"),
            "status line": (b"HTTP/1.1 200 ", b"x"),
            "informational answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            "headers": (HEAD, b"A: b\r\n"),
            "header name": (HEAD, b"A"),
            "header value": (HEAD + b"A: ", b"b"),
            "spaces of a header": (HEAD + b"A:", b" "),
            "chunk size": (CHUNKED, b"0"),
            "chunk extension": (CHUNKED + b"1;", b"x"),
            "chunk extensions": (CHUNKED, b"1;%s\r\na\r\n" % (b"x" * 9000)),
            "chunks of one byte": (CHUNKED, b"1\r\na\r\n"),
            "trailers": (CHUNKED + b"0\r\n", b"A: b\r\n"),
        }
        for name, (start, repeated) in cases.items():
            with self.subTest(name):
                failure, flood, seconds = await self.flood(start, repeated)
                self.assertNotIsInstance(failure, outbound.AnswerTimeoutError)
                self.assertLess(flood.sent, ACCEPTED_BYTES)
                self.assertLess(seconds, 1.0)

    async def test_a_head_that_trickles_ends_with_the_timeout(self):
        failure, _, _ = await self.flood(HEAD, b"A: b\r\n", 0.05, timeout=0.5)
        self.assertIsInstance(failure, outbound.AnswerTimeoutError)

    async def test_bytes_after_a_whole_answer_close_its_connection(self):
        whole = HEAD + b"Content-Length: 2\r\n\r\nab"
        for start, repeated, pause in (
            (whole, whole, 0.0),
            (whole, whole, 0.05),
            (whole, b"\r\n", 0.05),
            (whole[:-1], b"b" + whole, 0.05),
            (CHUNKED + b"2\r\nab\r\n", b"0\r\n\r\n" + whole, 0.05),
        ):
            flood = fakeflood.FakeFlood(start, repeated, pause)
            await flood.start()
            self.addAsyncCleanup(flood.stop)
            self.upstream = flood
            with self.subTest(start=start, repeated=repeated, pause=pause):
                self.assertEqual(await self.read(), b"ab")
                await asyncio.wait_for(flood.has_closed.wait(), 1.0)
                self.assertLess(flood.sent, ACCEPTED_BYTES)

    async def read_events(self, id="r1", timeout=None):
        request = outbound.Outgoing(id, "c", "h", "POST", "/x", (), b"body")
        sending = self.pool.send(
            request, self.upstream.instance, outbound.limit_silence(timeout)
        )
        async with sending as answer:
            return [
                item
                async for item in answer.read_events(outbound.limit_silence(timeout))
            ]

    async def test_an_event_without_end_fails_its_answer(self):
        self.read = self.read_events
        for repeated in (b"x", b"\n", b"\r\n", b"data: x\n"):
            with self.subTest(repeated=repeated):
                failure, flood, seconds = await self.flood(HEAD + b"\r\n", repeated)
                self.assertNotIsInstance(failure, outbound.AnswerTimeoutError)
                self.assertLess(flood.sent, ACCEPTED_BYTES)
                self.assertLess(seconds, 1.0)

    async def test_an_event_that_trickles_counts_as_silence(self):
        self.read = self.read_events
        start = HEAD + b"\r\nid: 0\ndata: a\n\n"
        for repeated in (b"x", b"\n"):
            failure, _, _ = await self.flood(start, repeated, 0.05, timeout=0.5)
            self.assertIsInstance(failure, outbound.AnswerTimeoutError)

    async def test_many_bodies_without_end_share_one_bound_of_memory(self):
        flood = fakeflood.FakeFlood(HEAD + b"\r\n", b"x")
        flood.max_sent = 20 * fakeflood.MAX_SENT_BYTES
        await flood.start()
        self.addAsyncCleanup(flood.stop)
        self.upstream = flood
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

        async def read():
            request = outbound.Outgoing("r1", "c", "h", "POST", "/x", (), b"")
            async with self.pool.send(request, flood.instance) as answer:
                await answer.read_all(16 * 1024 * 1024)

        results = await asyncio.gather(
            *(read() for _ in range(20)), return_exceptions=True
        )
        kinds = {type(result) for result in results}
        self.assertLessEqual(kinds, {outbound.OutboundError, outbound.RefusalError})
        bound = 2 * outbound.MAX_BUFFERED_BYTES
        self.assertLess(tracemalloc.get_traced_memory()[1], bound)

    async def test_an_endless_answer_to_an_order_is_no_answer(self):
        flood = fakeflood.FakeFlood(HEAD + b"\r\n", b"x")
        await flood.start()
        self.addAsyncCleanup(flood.stop)
        order = self.pool.send_order(flood.instance, "GET", "/x", b"", 3.0)
        self.assertIsNone(await order)
        await asyncio.wait_for(flood.has_closed.wait(), 1.0)
        self.assertLess(flood.sent, ACCEPTED_BYTES)


if __name__ == "__main__":
    unittest.main()

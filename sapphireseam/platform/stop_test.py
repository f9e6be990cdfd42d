"""Test what clients see of a planned stop, from its request to the end of its grace."""

import asyncio
import types
import unittest

import uvloop

from sapphireseam.platform import front
from sapphireseam.platform.fake import (
    Client,
    FakeAuthorizer,
    SlowBulkJobs,
    SlowForwarder,
)
from sapphireseam.tools import layout
from sapphireseam.utils.application import Application
from sapphireseam.utils.grace import Grace
from sapphireseam.utils.timer import SystemTimer

GRACE_SECONDS = 2.0


class StuckForwarder(SlowForwarder):
    """Never answers, not even at the deadline."""

    async def serve(self, request, sink):
        self.requests.append(request)
        await asyncio.sleep(60.0)


class FullForwarder(SlowForwarder):
    """Answers with a stream whose last part the client's machine can't take."""

    async def serve(self, request, sink):
        await sink.begin(200, ())
        transport = sink._request.transport
        size = 0
        while not size:
            await sink.write(bytes(32 * 1024))
            await asyncio.sleep(0.002)
            size = transport.get_write_buffer_size()
        await sink.finish()


class StopTest(unittest.IsolatedAsyncioTestCase):
    @classmethod
    def setUpClass(cls):
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
        cls.addClassCleanup(asyncio.set_event_loop_policy, None)

    async def start(self, forwarder=None, seconds=GRACE_SECONDS, bulk_seconds=60.0):
        self.timer = SystemTimer()
        self.grace = Grace(seconds, self.timer)
        self.forwarder = forwarder or SlowForwarder()
        context = types.SimpleNamespace(
            authorizer=FakeAuthorizer(),
            forwarder=self.forwarder,
            bulk_jobs=SlowBulkJobs(bulk_seconds),
            timer=self.timer,
            grace=self.grace,
        )
        self.port, ready = layout.find_ports(2)
        self.application = Application("front", self.grace)
        self.application.add(
            front.Front(context, f"127.0.0.1:{self.port}", f"127.0.0.1:{ready}")
        )
        await self.application.start()

    async def connect(self):
        """Return a client whose connection has served a request."""
        client = Client(self.port)
        await client.open()
        self.addCleanup(client.writer.close)
        self.assertEqual((await client.ask("/safe/0"))[0], 200)
        return client

    def stop(self):
        self.application.request_stop()
        self.stopping = asyncio.create_task(self.application.stop())

    async def ask_at(self, share, client, path, **options):
        """Send a request when a share of the grace has passed."""
        await asyncio.sleep(share * GRACE_SECONDS)
        status, headers, body, is_whole = await client.ask(path, **options)
        return status, headers, body, is_whole, self.grace.read_remaining()

    async def gather(self, *cases):
        """Stop the front, and return the answers to (share, path, options)."""
        clients = [await self.connect() for _ in cases]
        self.forwarder.requests.clear()
        self.stop()
        pairs = zip(clients, cases, strict=True)
        async with asyncio.timeout(2 * GRACE_SECONDS):
            return await asyncio.gather(
                *(self.ask_at(at, c, path, **o) for c, (at, path, o) in pairs)
            )

    async def assert_stops_in_time(self):
        """Check that the stop ends before its grace."""
        await self.stopping
        self.assertGreater(self.grace.read_remaining(), 0.0)

    async def test_every_request_of_the_notice_has_an_answer_within_the_grace(self):
        await self.start()
        cases = [
            (at, f"/safe/{needs}", {})
            for at in (0.0, 0.2, 0.4, 0.48)
            for needs in (0.1, 0.8, 1.2, 3.0)
        ]
        for (at, path, _), got in zip(cases, await self.gather(*cases), strict=True):
            status, headers, _, is_whole, remaining = got
            with self.subTest(at=at, path=path):
                needs = at + float(path.split("/")[-1]) / GRACE_SECONDS
                if abs(needs - 0.85) > 0.1:
                    self.assertEqual(status, 200 if needs < 0.85 else 504)
                self.assertTrue(is_whole)
                self.assertEqual(headers["connection"], "close")
                self.assertGreater(remaining, 0.0)
        await self.assert_stops_in_time()

    async def test_what_may_not_be_repeated_is_refused_unless_it_surely_ends(self):
        await self.start()
        answers = await self.gather(
            (0.2, "/unsafe/0.1", {}),
            (0.2, "/unsafe/0.1", {"deadline": 1.0}),
            (0.4, "/unsafe/0.1", {"deadline": 1.0}),
            (0.4, "/stream/0.1", {"deadline": 60.0}),
        )
        self.assertEqual([status for status, *_ in answers], [503, 200, 503, 503])
        self.assertEqual(len(self.forwarder.requests), 1)
        for status, headers, *_ in answers:
            if status == 503:
                self.assertGreater(float(headers["retry-after"]), 0.0)
        await self.assert_stops_in_time()

    async def test_the_deadline_of_a_request_that_is_passed_on_lies_in_the_grace(self):
        await self.start()
        await self.gather((0.1, "/safe/0.1", {}), (0.4, "/safe/0.1", {}))
        for request in self.forwarder.requests:
            now = self.timer.read_clock()
            end = now + self.grace.read_remaining()
            self.assertLess(request.deadline, end)
        await self.assert_stops_in_time()

    async def test_a_kept_connection_gets_a_refusal_after_the_notice(self):
        await self.start()
        answers = await self.gather(
            (0.4, "/safe/0.7", {}),
            (0.55, "/safe/0.1", {}),
            (0.6, "/unsafe/0.1", {}),
            (0.65, "/lots/a", {"method": "GET"}),
            (0.7, "/batch/a", {}),
        )
        self.assertEqual([status for status, *_ in answers], [200] + 4 * [503])
        self.assertEqual(len(self.forwarder.requests), 1)
        for _, headers, *_ in answers[1:]:
            self.assertGreater(float(headers["retry-after"]), 0.0)
            self.assertEqual(headers["connection"], "close")
        await self.assert_stops_in_time()

    async def test_a_request_from_before_the_stop_has_the_whole_grace(self):
        await self.start()
        client = await self.connect()
        client.send(f"/unsafe/{0.85 * GRACE_SECONDS}")
        await asyncio.sleep(0.05)
        self.stop()
        status, _, body, _ = await client.receive()
        self.assertEqual((status, body), (200, b"whole"))
        await self.assert_stops_in_time()

    async def test_requests_that_outlast_the_grace_are_answered_before_it_ends(self):
        await self.start(StuckForwarder())
        clients = [Client(self.port) for _ in range(2)]
        for client, path in zip(clients, ("/unsafe/9", "/safe/9"), strict=True):
            await client.open()
            client.send(path)
        await asyncio.sleep(0.05)
        self.stop()
        for client in clients:
            self.assertEqual((await client.receive())[0], 504)
            client.writer.close()
        await self.assert_stops_in_time()

    async def test_a_begun_stream_that_outlasts_the_grace_is_aborted_in_time(self):
        await self.start()
        client = await self.connect()
        client.send("/stream/9")
        await asyncio.sleep(0.05)
        self.stop()
        status, _, body, is_whole = await client.receive()
        self.assertEqual((status, is_whole), (200, False))
        self.assertIn(b"id: 0", body)
        await self.assert_stops_in_time()

    async def test_a_body_that_does_not_end_is_refused_within_the_grace(self):
        await self.start()
        client = await self.connect()
        client.send("/safe/0", length=9)
        self.forwarder.requests.clear()
        await asyncio.sleep(0.05)
        self.stop()
        status, headers, _, _ = await client.receive()
        self.assertEqual((status, headers["connection"]), (503, "close"))
        self.assertEqual(self.forwarder.requests, [])
        await self.assert_stops_in_time()

    async def test_a_request_whose_body_ends_after_the_notice_is_taken_if_it_ends(self):
        await self.start()
        clients = [await self.connect() for _ in range(2)]
        self.forwarder.requests.clear()
        self.stop()
        await asyncio.sleep(0.4 * GRACE_SECONDS)
        for client, deadline in zip(clients, (60.0, 0.4 * GRACE_SECONDS), strict=True):
            client.send("/safe/0", length=2, deadline=deadline)
        await asyncio.sleep(0.2 * GRACE_SECONDS)
        for client in clients:
            client.writer.write(b"b")
        self.assertEqual([(await c.receive())[0] for c in clients], [503, 200])
        self.assertEqual(len(self.forwarder.requests), 1)
        await self.assert_stops_in_time()

    async def test_calls_about_batch_jobs_that_take_too_long_are_answered(self):
        await self.start()
        job = b'{"requests":[{"id":"i1","path":"/s/1","body":"eA==","tokens":3}]}'
        answers = await self.gather(
            (0.0, "/lots/a", {"method": "GET"}),
            (0.1, "/lots/a", {"method": "DELETE"}),
            (0.2, "/batch/a", {"body": job}),
        )
        # Only a call that changes nothing may promise that it has not run.
        self.assertEqual([status for status, *_ in answers], [503, 504, 504])
        await self.assert_stops_in_time()

    async def test_an_idle_connection_is_closed_without_a_reset(self):
        await self.start()
        clients = [await self.connect() for _ in range(3)]
        self.stop()
        # A reset would raise here.
        self.assertEqual([await c.reader.read() for c in clients], 3 * [b""])
        await self.assert_stops_in_time()

    async def test_a_request_that_crosses_the_close_is_not_passed_on(self):
        await self.start()
        client = await self.connect()
        self.forwarder.requests.clear()
        self.stop()
        self.assertEqual(await client.reader.read(), b"")
        client.send("/unsafe/0")
        await self.assert_stops_in_time()
        self.assertEqual(self.forwarder.requests, [])

    async def test_the_end_of_an_answer_that_a_slow_client_has_not_read_is_sent(self):
        await self.start(FullForwarder())
        client = Client(self.port)
        await client.open()
        client.send("/stream/0")
        # The whole answer must not fit into the reader's buffer.
        await client.reader.readuntil(b"\r\n\r\n")
        client.writer.transport.pause_reading()
        await asyncio.sleep(0.1)
        self.stop()
        await asyncio.sleep(0.7 * GRACE_SECONDS)
        self.assertFalse(self.stopping.done())
        client.writer.transport.resume_reading()
        body = await client.reader.read()
        self.assertTrue(body.endswith(b"\r\n0\r\n\r\n"))
        client.writer.close()
        await self.assert_stops_in_time()

    async def test_a_second_signal_changes_nothing(self):
        await self.start()
        client = await self.connect()
        client.send("/unsafe/1.2")
        await asyncio.sleep(0.05)
        self.stop()
        for _ in range(3):
            await asyncio.sleep(0.2)
            self.application.request_stop()
        self.assertEqual((await client.receive())[0], 200)
        await self.assert_stops_in_time()

    async def test_a_stop_without_open_requests_ends_after_the_notice(self):
        await self.start()
        await self.connect()
        self.stop()
        await self.stopping
        self.assertGreater(self.grace.read_remaining(0.6), 0.0)


if __name__ == "__main__":
    unittest.main()

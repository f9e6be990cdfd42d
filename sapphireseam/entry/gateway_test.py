"""Test the entry's HTTP server with real sockets on loopback and fake time."""

import asyncio
import unittest

import aiohttp
import uvloop
from aiohttp import web

from sapphireseam.core import error, fleet, key
from sapphireseam.entry import claim, gateway
from sapphireseam.tools import fake, layout
from sapphireseam.utils import grace
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import FakeTimer

# Longest wait for an event. A test that waits longer fails.
CEILING_SECONDS = 20.0
DOCUMENT = {
    "failure_domains": {"d": {"region": "r"}},
    "contracts": {"s": {"rate": 1, "burst": 1}},
    "customers": {"c": {"contract": "s"}},
    "routes": {"post": {"path": "/post", "service": "s"}},
    "upstreams": {
        "u": {
            "failure_domain": "d",
            "address": "127.0.0.1:1",
            "agent": "127.0.0.1:2",
            "service": "s",
        }
    },
}


class FakeRateLimits:
    async def debit(self, customer):
        pass


class FakeBatchApi:
    """Serve a resource that answers after the test has set `go`."""

    def __init__(self):
        self.go = asyncio.Event()
        self.begun = asyncio.Event()

    def list_handlers(self):
        return [("POST", "/v1/files", self.serve)]

    async def serve(self, request, caller):
        self.begun.set()
        await self.go.wait()
        return web.json_response({"id": "file"})


class FakeForwarder:
    """Record each request and answer it with a function of the test."""

    def __init__(self):
        self.requests = []
        self.begun = asyncio.Event()

    async def serve(self, request, sink, stopped):
        self.requests.append(request)
        self.begun.set()
        await self.answer(request, sink, stopped)

    async def answer(self, request, sink, stopped):
        await sink.begin(200, ())
        await sink.write(b"whole")
        await sink.finish()


class GatewayTestCase(unittest.IsolatedAsyncioTestCase):
    """Set up a gateway whose requests are answered by `forwarder`."""

    async def asyncSetUp(self):
        self.timer = FakeTimer()
        self.mirror = fake.FakeMirror(DOCUMENT)
        self.secret = key.generate()
        self.mirror.keys[self.secret.id] = key.Key(
            self.secret.id, "c", key.digest(self.secret.text), 0.0
        )
        self.forwarder = FakeForwarder()
        self.batch_api = FakeBatchApi()
        (port,) = layout.find_ports(1)
        self.port = port
        control = fake.FakeControl(self.timer)
        self.gateway = gateway.Gateway(
            f"127.0.0.1:{port}",
            self.mirror,
            FakeRateLimits(),
            claim.IdempotentForwarder(control, self.timer),
            self.forwarder,
            self.batch_api,
            Timeline("e", self.timer),
            self.timer,
        )
        await self.gateway.start()
        self.stopping = None
        self.addAsyncCleanup(self.end)
        self.base = f"http://127.0.0.1:{port}"
        self.headers = {"Authorization": f"Bearer {self.secret.text}"}
        self.http = aiohttp.ClientSession(headers=self.headers)
        self.addAsyncCleanup(self.http.close)

    async def end(self):
        if self.stopping is None:
            self.stop()
        await self.wait(self.stopping.done)

    def stop(self):
        self.stopping = asyncio.create_task(self.gateway.stop())

    async def wait(self, condition):
        """Advance fake time until the condition is true."""
        async with asyncio.timeout(CEILING_SECONDS):
            while not condition():
                await self.timer.advance(0.1)
                await asyncio.sleep(0.005)

    async def post(self, path="/post/x", **options):
        async with self.http.post(self.base + path, **options) as response:
            return response, await response.read()

    async def send_raw(self, data):
        """Return everything that is received on a new connection."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        try:
            async with asyncio.timeout(CEILING_SECONDS):
                return await reader.read()
        finally:
            writer.close()


class GatewayTest(GatewayTestCase):
    async def test_route_that_was_just_published_is_served(self):
        published = self.mirror.fleet
        path = next(iter(published.routes.values())).path
        self.mirror.fleet = published._replace(routes={})

        async def refresh():
            self.mirror.fleet = published

        self.mirror.refresh = refresh
        async with self.http.post(self.base + path, json={"model": "m"}) as answer:
            self.assertNotEqual(answer.status, 404)

    async def test_caller_without_chunks_detects_a_broken_stream(self):
        async def break_off(request, sink, stopped):
            await sink.begin(200, (("Content-Type", "text/event-stream"),))
            await sink.write(b"data: 1\n\n")
            raise error.OutcomeError("cut")

        self.forwarder.answer = break_off
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        key_line = f"Authorization: Bearer {self.secret.text}\r\n".encode()
        writer.write(
            b"POST /post HTTP/1.0\r\n" + key_line + b"Content-Length: 0\r\n\r\n"
        )
        with self.assertRaises(ConnectionResetError):
            await reader.read()

    async def test_keys_in_trailers_and_elsewhere_are_not_forwarded(self):
        text = self.secret.text
        request = (
            f"POST /post/x?api_key={text}&a=1 HTTP/1.1\r\nHost: h\r\n"
            f"Authorization: Bearer {text}\r\nX-Other: {text}\r\n"
            "Connection: close\r\nTrailer: X-Late\r\n"
            "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n"
            f"X-Late: {text}\r\n\r\n"
        )
        answer = await self.send_raw(request.encode())
        self.assertIn(b"whole", answer)
        (routed,) = self.forwarder.requests
        self.assertEqual((routed.target, routed.body), ("/post/x?a=1", b"hi"))
        self.assertNotIn(text, str(routed.headers))

    async def test_a_body_that_cannot_be_read_is_the_callers_error(self):
        routes = {"chat": {"path": "/v1/chat/completions"}}
        self.mirror.fleet = fleet.require(DOCUMENT | {"routes": routes})
        for body in (
            b"[" * 200_000,
            b'{"model":' * 200_000,
            b'{"model":"m","seed":' + b"9" * 5000 + b"}",
            b'{"model":"\\ud800"}',
            b'{"model":"\xff"}',
            b'{"model":"m","temperature":NaN}',
            '{"model":"m"}'.encode("utf-16"),
        ):
            response, _ = await self.post("/v1/chat/completions", data=body)
            self.assertEqual(response.status, 400, body[:40])

    async def test_text_that_is_not_utf_8_is_the_callers_error(self):
        for path, header in (
            (b"/post/x", b"Idempotency-Key: \xff"),
            (b"/post/x", b"X-Api-Key: \xff"),
            (b"/post/\xff", b"X-Other: a"),
            (b"/v1/batches", b"Idempotency-Key: \xff"),
        ):
            answer = await self.send_raw(
                b"POST %b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" % path
                + b"Authorization: Bearer %b\r\n" % self.secret.text.encode()
                + header
                + b"\r\nContent-Length: 0\r\n\r\n"
            )
            self.assertIn(b" 400 ", answer.split(b"\r\n")[0], header)

    async def test_errors_contain_no_key(self):
        text = self.secret.text
        for path in (f"/nowhere/{text}", f"/post/{text}", f"/nowhere?q={text}"):
            _, body = await self.post(path)
            self.assertNotIn(text.encode(), body)

        async def fail(request, sink, stopped):
            raise error.OutcomeError(f"upstream said {text}")

        self.forwarder.answer = fail
        _, body = await self.post()
        self.assertIn(b"upstream said", body)
        self.assertNotIn(text.encode(), body)

    async def test_answer_stops_at_once_when_its_key_is_withdrawn(self):
        """No periodic check runs between the withdrawal and the next write."""
        go = asyncio.Event()

        async def answer(request, sink, stopped):
            await sink.begin(200, ())
            await sink.write(b"first")
            await go.wait()
            await sink.write(b"second")
            await sink.finish()

        self.forwarder.answer = answer
        async with self.http.post(self.base + "/post/x") as response:
            self.assertEqual(await response.content.readany(), b"first")
            found = self.mirror.keys[self.secret.id]
            self.mirror.keys[self.secret.id] = found._replace(withdrawn=True)
            go.set()
            with self.assertRaises(aiohttp.ClientError):
                await response.read()

    async def test_answer_outlives_its_route_and_its_customer(self):
        published = self.mirror.fleet

        async def answer(request, sink, stopped):
            await sink.begin(200, ())
            self.mirror.fleet = published._replace(routes={}, customers={})
            self.mirror.notify()
            await sink.write(b"whole")
            await sink.finish()

        self.forwarder.answer = answer
        for _ in range(2):
            response, body = await self.post()
            self.assertEqual((response.status, body), (200, b"whole"))
            self.assertNotEqual(response.headers.get("Connection"), "close")
            self.mirror.fleet = published

    async def test_key_withdrawn_during_a_run_is_not_reported_as_not_run(self):
        async def answer(request, sink, stopped):
            found = self.mirror.keys[self.secret.id]
            self.mirror.keys[self.secret.id] = found._replace(withdrawn=True)
            self.mirror.notify()
            await sink.begin(200, ())

        self.forwarder.answer = answer
        response, _ = await self.post()
        self.assertEqual(response.status, 401)
        self.assertNotIn("X-Seam-Not-Run", response.headers)

    async def test_stop_finishes_open_requests_and_closes_connections(self):
        go = asyncio.Event()

        async def answer(request, sink, stopped):
            await sink.begin(200, ())
            await sink.write(b"first ")
            await go.wait()
            await sink.write(b"last")
            await sink.finish()

        self.forwarder.answer = answer
        task = asyncio.create_task(self.post())
        await self.wait(self.forwarder.begun.is_set)
        self.stop()
        await self.wait(lambda: self.gateway._drain.is_refusing)
        # The refused request did not run, and its connection is closed.
        response, _ = await self.post()
        self.assertEqual(response.status, 503)
        self.assertEqual(response.headers["X-Seam-Not-Run"], "true")
        self.assertEqual(response.headers["Connection"], "close")
        await self.timer.advance(5.0)
        self.assertFalse(self.stopping.done())
        go.set()
        _, body = await task
        self.assertEqual(body, b"first last")
        await self.wait(self.stopping.done)

    async def test_stop_still_serves_after_the_health_check_fails(self):
        self.stop()
        await self.timer.settle()
        async with self.http.get(self.base + "/health") as response:
            self.assertEqual(response.status, 503)
        response, body = await self.post()
        self.assertEqual((response.status, body), (200, b"whole"))
        self.assertEqual(response.headers["Connection"], "close")

    async def test_stop_waits_for_a_body_that_is_incomplete(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        head = (
            f"POST /post/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
            f"{self.secret.text}\r\nContent-Length: 4\r\n\r\nab"
        )
        writer.write(head.encode())
        await self.wait(lambda: self.gateway._open_requests)
        self.stop()
        await self.wait(lambda: self.gateway._drain.is_refusing)
        await self.timer.advance(5.0)
        self.assertFalse(self.stopping.done())
        writer.write(b"cd")
        async with asyncio.timeout(CEILING_SECONDS):
            answer = await reader.read()
        self.assertIn(b"whole", answer)
        writer.close()

    async def test_stop_waits_for_requests_for_the_entrys_own_resources(self):
        task = asyncio.create_task(self.post("/v1/files"))
        await self.wait(self.batch_api.begun.is_set)
        self.stop()
        await self.wait(lambda: self.gateway._drain.is_refusing)
        await self.timer.advance(5.0)
        # The entry still listens, so it has not begun to close connections.
        async with self.http.get(self.base + "/health") as response:
            self.assertEqual(response.status, 503)
        self.batch_api.go.set()
        _, body = await task
        self.assertIn(b"file", body)

    def publish(self, **fields):
        post = {"path": "/post", "service": "s"} | fields
        self.mirror.fleet = fleet.require(DOCUMENT | {"routes": {"post": post}})

    async def test_every_open_call_is_answered_before_the_grace_ends(self):
        never = asyncio.Event()

        async def follow(request, sink, stopped):
            raise await stopped

        async def ignore(request, sink, stopped):
            await never.wait()

        incomplete = (
            "POST /post/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
            f"{self.secret.text}\r\nContent-Length: 4\r\n\r\nab"
        )
        tasks = []
        for answer in (follow, ignore):
            self.forwarder.answer = answer
            self.forwarder.begun.clear()
            tasks.append(asyncio.create_task(self.post()))
            await self.wait(self.forwarder.begun.is_set)
        tasks.append(asyncio.create_task(self.post("/v1/files")))
        await self.wait(self.batch_api.begun.is_set)
        body = asyncio.create_task(self.send_raw(incomplete.encode()))
        await self.wait(lambda: len(self.gateway._open_requests) == 4)
        self.gateway._grace.seconds = 10.0
        end = self.timer.read_clock() + 10.0
        self.stop()
        await self.wait(lambda: all(task.done() for task in (*tasks, body)))
        self.assertLess(self.timer.read_clock(), end)
        self.assertEqual([(await task)[0].status for task in tasks], 3 * [504])
        self.assertIn(b" 503 ", (await body).split(b"\r\n")[0])

    async def test_what_may_outlast_the_grace_is_not_taken_unless_it_is_idempotent(
        self,
    ):
        self.stop()
        await self.timer.settle()
        for timeout, is_idempotent, status in (
            (20.0, False, 200),
            (100.0, False, 503),
            (100.0, True, 200),
        ):
            self.publish(timeout=timeout, idempotent=is_idempotent)
            response, _ = await self.post()
            self.assertEqual(response.status, status)
            self.assertEqual(response.headers["Connection"], "close")
        self.assertEqual(len(self.forwarder.requests), 2)
        end = self.timer.read_clock() + grace.DEFAULT_SECONDS
        self.assertLess(self.forwarder.requests[-1].deadline, end)

    async def test_a_kept_connection_gets_a_refusal_once_the_notice_is_over(self):
        go = asyncio.Event()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        head = (
            "POST /post/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
            f"{self.secret.text}\r\nContent-Length: 0\r\n\r\n"
        )

        async def answer(request, sink, stopped):
            await go.wait()
            await sink.begin(200, ())
            await sink.finish()

        self.forwarder.answer = answer
        task = asyncio.create_task(self.post())
        await self.wait(self.forwarder.begun.is_set)
        self.stop()
        await self.wait(lambda: self.gateway._drain.is_refusing)
        writer.write(head.encode())
        async with asyncio.timeout(CEILING_SECONDS):
            received = await reader.read()
        self.assertIn(b" 503 ", received.split(b"\r\n")[0])
        self.assertIn(b"X-Seam-Not-Run: true", received)
        self.assertEqual(len(self.forwarder.requests), 1)
        go.set()
        self.assertEqual((await task)[0].status, 200)

    async def test_caller_that_stops_reading_is_disconnected(self):
        ended = asyncio.Event()

        async def answer(request, sink, stopped):
            try:
                await sink.begin(200, ())
                while True:
                    await sink.write(bytes(256 * 1024))
            finally:
                ended.set()

        self.forwarder.answer = answer
        _, writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1024)
        head = (
            f"POST /post/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
            f"{self.secret.text}\r\nContent-Length: 0\r\n\r\n"
        )
        writer.write(head.encode())
        await self.wait(ended.is_set)
        writer.close()


class AbortTest(GatewayTestCase):
    async def test_aborted_event_stream_ends_with_an_error_event(self):
        async def answer(request, sink, stopped):
            await sink.begin(200, (("Content-Type", "text/event-stream"),))
            await sink.write(b"data: 1\n\n")
            raise error.OutcomeError("lost")

        self.forwarder.answer = answer
        got = b""
        with self.assertRaises(aiohttp.ClientError):
            async with self.http.post(self.base + "/post/x") as response:
                async for piece in response.content.iter_any():
                    got += piece
        self.assertIn(b"outcome_unknown", got)
        self.assertNotIn(b"[DONE]", got)

    async def test_no_answer_has_two_heads(self):
        async def answer(request, sink, stopped):
            for _ in range(2):
                await sink.begin(200, (("Content-Type", "text/event-stream"),))
                await sink.write(b"data: 1\n\n")
            await sink.finish()

        self.forwarder.answer = answer
        auth = f"Authorization: Bearer {self.secret.text}\r\n"
        lines = f"Host: h\r\n{auth}Connection: close\r\nContent-Length: 0\r\n\r\n"
        received = await self.send_raw(f"POST /post/x HTTP/1.1\r\n{lines}".encode())
        self.assertEqual(received.count(b"HTTP/1."), 1)
        self.assertFalse(received.endswith(b"0\r\n\r\n"))


class AbortOnUvloopTest(AbortTest):
    """The programs run on uvloop, which sends what is written a moment later."""

    @classmethod
    def setUpClass(cls):
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
        cls.addClassCleanup(asyncio.set_event_loop_policy, None)

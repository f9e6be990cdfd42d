"""Test the answers to the platform's clients and to its readiness checks."""

import asyncio
import types
import unittest

import aiohttp

from sapphireseam.core import command, error, fleet, message
from sapphireseam.entry.authorizer import Authorization
from sapphireseam.platform import front
from sapphireseam.tools import layout
from sapphireseam.utils.grace import Grace
from sapphireseam.utils.timer import SystemTimer

ROUTE = fleet.Route("/s/", "llm", streamed=True, timeout=5.0)
SIGNED = (("X-Response-Signature", "sig"), ("X-Attempt-Id", "a1"), ("Connection", "x"))


class FakeAuthorizer:
    def __init__(self):
        self.is_ready = True
        self.bounds = fleet.Bounds(body_bytes=1000)
        self.failure = None
        self.route = ROUTE
        self.customer = "t1"

    async def authorize(self, host, path, key_text):
        if self.failure is not None:
            raise self.failure
        return Authorization("r", self.route, self.customer, 0)

    async def identify_with_refresh(self, key_text):
        return "t1"


class FakeForwarder:
    """Records requests and gives the answers that the test sets."""

    def __init__(self):
        self.requests = []
        self.failure = None
        self.breaks = False
        self.status = 200
        # Raised once the answer has begun, before anything is written.
        self.fault = None
        self.begins_twice = False
        self.gate = asyncio.Event()
        self.gate.set()
        self.ended = 0

    async def serve(self, request, sink):
        self.requests.append(request)
        try:
            await self.gate.wait()
            if self.failure is not None:
                raise self.failure
            await sink.begin(self.status, SIGNED)
            if self.fault is not None:
                raise self.fault
            await sink.write(b"id: 0\n\n")
            if self.begins_twice:
                await sink.begin(200, SIGNED)
            if self.breaks:
                raise error.OutcomeError("cut")
            await sink.finish()
        finally:
            self.ended += 1


class FakeBulkJobs:
    def __init__(self):
        self.accepted = []
        self.failure = None

    async def accept(self, job, customer, route_name, route, items):
        if self.failure is not None:
            raise self.failure
        self.accepted.append((job, customer, items))

    async def read(self, job, customer, after, wait):
        if self.failure is not None:
            raise self.failure
        return message.LotView(2, (("i1", False, b"x"),))

    async def read_item(self, job, customer, item):
        return b"bytes"

    async def end(self, job, customer):
        self.accepted.append(("end", job))


class FrontTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.authorizer = FakeAuthorizer()
        self.forwarder = FakeForwarder()
        self.bulk_jobs = FakeBulkJobs()
        context = types.SimpleNamespace(
            authorizer=self.authorizer,
            forwarder=self.forwarder,
            bulk_jobs=self.bulk_jobs,
            timer=SystemTimer(),
            grace=Grace(2.0),
        )
        callers, ready = layout.find_ports(2)
        self.base = f"http://127.0.0.1:{callers}"
        self.ready = f"http://127.0.0.1:{ready}/readyz"
        self.front = front.Front(context, f"127.0.0.1:{callers}", f"127.0.0.1:{ready}")
        await self.front.start()
        self.addAsyncCleanup(self.front.stop)
        self.http = aiohttp.ClientSession()
        self.addAsyncCleanup(self.http.close)

    async def post(self, path="/s/x", data=b"b", **headers):
        sent = {"X-Attempt-Id": "a1", "Authorization": "Token k"} | {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        async with self.http.post(self.base + path, data=data, headers=sent) as answer:
            return answer.status, await answer.read(), answer.headers

    async def test_a_shorter_deadline_shows_how_long_a_client_has_waited(self):
        await self.post(X_Deadline_Ms="4000")
        await self.post(X_Deadline_Ms="3000")
        waited = [request.waited for request in self.forwarder.requests]
        self.assertEqual(waited, [0.0, 1.0])

    async def test_an_odd_deadline_makes_no_other_customers_requests_late(self):
        await self.post(X_Deadline_Ms="1e300")
        self.authorizer.customer = "t2"
        await self.post(X_Deadline_Ms="4000")
        self.assertEqual(self.forwarder.requests[1].waited, 0.0)

    async def test_a_shorter_timeout_of_the_route_does_not_count_as_waiting(self):
        await self.post(X_Deadline_Ms="4000")
        self.authorizer.route = ROUTE._replace(timeout=1.0)
        await self.post(X_Deadline_Ms="4000")
        await self.post()
        waited = [request.waited for request in self.forwarder.requests]
        self.assertEqual(waited, [0.0, 0.0, 0.0])

    async def test_no_answer_has_two_heads(self):
        self.forwarder.begins_twice = True
        for is_streamed, status in ((True, b"200"), (False, b"500")):
            self.authorizer.route = ROUTE._replace(streamed=is_streamed)
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", int(self.base.rpartition(":")[2])
            )
            writer.write(
                b"GET /s/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n"
                b"Connection: close\r\n\r\n"
            )
            received = await reader.read()
            writer.close()
            with self.subTest(is_streamed):
                self.assertEqual(received.count(b"HTTP/1."), 1)
                self.assertTrue(received.startswith(b"HTTP/1.1 " + status))
                self.assertFalse(received.endswith(b"0\r\n\r\n"))

    async def test_a_fault_in_a_begun_stream_aborts_it_without_another_answer(self):
        for fault in (RuntimeError("fault"), error.OutcomeError("cut")):
            self.forwarder.fault = fault
            with self.subTest(fault), self.assertRaises(aiohttp.ClientError):
                await self.post()

    async def test_a_stream_keeps_its_signature(self):
        status, body, headers = await self.post(X_Deadline_Ms="1500")
        self.assertEqual((status, body), (200, b"id: 0\n\n"))
        self.assertEqual(headers["X-Response-Signature"], "sig")
        (request,) = self.forwarder.requests
        self.assertEqual(
            (request.id, request.customer, request.body), ("a1", "t1", b"b")
        )
        self.assertAlmostEqual(request.deadline - request.arrived, 1.5)
        names = [name.lower() for name, _ in request.headers]
        self.assertNotIn("authorization", names)

    async def test_a_replicas_status_never_says_not_run_for_a_request_that_ran(self):
        for status in (408, 421, 429, 503):
            self.forwarder.status = status
            for is_streamed in (False, True):
                with self.subTest(status=status, is_streamed=is_streamed):
                    self.authorizer.route = ROUTE._replace(
                        streamed=is_streamed, idempotent=False
                    )
                    answered, _, headers = await self.post()
                    self.assertEqual(answered, 502)
                    self.assertNotIn("X-Response-Signature", headers)

    async def test_a_replicas_failure_reaches_the_client_unchanged(self):
        for status, is_idempotent in ((503, True), (500, False), (504, False)):
            self.authorizer.route = ROUTE._replace(idempotent=is_idempotent)
            self.forwarder.status = status
            answered, _, headers = await self.post()
            self.assertEqual(answered, status)
            self.assertIn("X-Response-Signature", headers)

    async def test_a_client_names_the_attempt_that_began_its_stream(self):
        await self.post(Last_Event_Id="4", Resumes="a0")
        (request,) = self.forwarder.requests
        self.assertEqual((request.resume_after, request.resumes), (4, "a0"))

    async def test_the_routes_timeout_limits_the_clients_deadline(self):
        await self.post(X_Deadline_Ms="90000")
        (request,) = self.forwarder.requests
        self.assertAlmostEqual(request.deadline - request.arrived, ROUTE.timeout)

    async def test_refusals_have_a_retry_after_header(self):
        kinds = {
            error.Kind.RATE_LIMITED: 429,
            error.Kind.OVERLOADED: 503,
            error.Kind.NO_UPSTREAM: 503,
        }
        for kind, expected in kinds.items():
            self.forwarder.failure = error.CapacityError("x", kind, 0.35, True)
            status, _, headers = await self.post()
            self.assertEqual((status, headers["Retry-After"]), (expected, "0.35"))
            self.assertNotIn("X-Response-Signature", headers)

    async def test_a_request_that_may_have_run_gets_502(self):
        self.forwarder.failure = error.CapacityError("x", not_run=False)
        self.assertEqual((await self.post())[0], 502)
        self.forwarder.failure = error.OutcomeError("x")
        self.assertEqual((await self.post())[0], 502)

    async def test_unauthorized_and_unrouted_requests(self):
        for failure, expected in (
            (error.AccessError("x"), 401),
            (error.RequestError("x", error.Kind.ROUTE_UNKNOWN), 404),
            (error.ControlError("no configuration yet"), 503),
        ):
            self.authorizer.failure = failure
            self.assertEqual((await self.post())[0], expected)
        self.assertEqual(self.forwarder.requests, [])

    async def test_a_body_over_the_limit(self):
        self.assertEqual((await self.post(data=b"x" * 1001))[0], 413)

    async def test_bad_headers(self):
        for text in ("soon", "nan", "inf"):
            self.assertEqual((await self.post(X_Deadline_Ms=text))[0], 400)
        for text in ("\u00b2", "9" * 5000, "-1", "x"):
            status, _, _ = await self.post(Last_Event_Id=text)
            self.assertEqual(status, 200, text)
            self.assertEqual(self.forwarder.requests[-1].resume_after, -1)
        self.assertEqual((await self.post(X_Attempt_Id=""))[0], 400)

    async def test_text_that_is_not_utf_8_is_refused(self):
        for line, header in (
            (b"/s/x", b"X-Attempt-Id: \xff"),
            (b"/s/x", b"X-Attempt-Id: a\r\nAuthorization: Token \xff"),
            (b"/s/x", b"X-Attempt-Id: a\r\nX-Prompt-Prefix: \xff:3"),
            (b"/s/\xff", b"X-Attempt-Id: a"),
            (b"/lots/\xff", b"X-Attempt-Id: a"),
        ):
            head = b"POST %b HTTP/1.1\r\nHost: h\r\n%b\r\n" % (line, header)
            answer = await self.send_raw(head + b"Content-Length: 0\r\n\r\n")
            self.assertIn(b" 400 ", answer.split(b"\r\n")[0], header)
        self.assertEqual(self.forwarder.requests, [])

    async def test_target_that_is_no_path_is_refused(self):
        for target in (b"http://h/s/x", b"*", b"h:80"):
            method = b"CONNECT" if target == b"h:80" else b"OPTIONS"
            head = b"%b %b HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\n\r\n"
            answer = await self.send_raw(head % (method, target))
            self.assertIn(b" 400 ", answer.split(b"\r\n")[0], target)
        self.assertEqual(self.forwarder.requests, [])

    async def send_raw(self, data):
        """Return the first line of the answer on a new connection."""
        host, _, port = self.base.removeprefix("http://").partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(data)
        return await asyncio.wait_for(reader.readline(), 5.0)

    async def test_requests_that_share_a_prompt_part_share_its_trait(self):
        for prefix, model, data in (
            ("a:1,b:2,c:3", "m", b"x"),
            ("b:2,d:3", "m", b"y"),
            ("b:2,d:3", "n", b"y"),
            ("b:2,d:3", "m", b"y"),
        ):
            await self.post(data=data, X_Prompt_Prefix=prefix, X_Model=model)
        first, second, other_model, again = [
            request.make_traits() for request in self.forwarder.requests
        ]
        self.assertEqual(set(first) & set(second), {first[2]})
        self.assertEqual(set(second) & set(other_model), {second[0]})
        self.assertEqual(second, again)

    async def test_a_client_detects_a_broken_stream(self):
        self.forwarder.breaks = True
        with self.assertRaises(aiohttp.ClientPayloadError):
            await self.post()

    async def test_a_client_without_chunks_detects_a_broken_stream(self):
        self.forwarder.breaks = True
        host, port = self.base.removeprefix("http://").split(":")
        reader, writer = await asyncio.open_connection(host, port)
        self.addCleanup(writer.close)
        writer.write(
            b"POST /s/x HTTP/1.0\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n"
        )
        with self.assertRaises(ConnectionResetError):
            await reader.read()

    async def test_a_disconnected_client_ends_its_request(self):
        self.forwarder.gate.clear()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.1):
                await self.post()
        await asyncio.sleep(0.1)
        self.assertEqual(self.forwarder.ended, 1)

    async def test_readiness_depends_on_the_configuration(self):
        async with self.http.get(self.ready) as answer:
            self.assertEqual(answer.status, 200)
        self.authorizer.is_ready = False
        async with self.http.get(self.ready) as answer:
            self.assertEqual(answer.status, 503)

    async def test_a_stop_finishes_open_requests_and_closes_connections(self):
        self.forwarder.gate.clear()
        posted = asyncio.create_task(self.post())
        await asyncio.sleep(0.05)
        stopping = asyncio.create_task(self.front.stop())
        await asyncio.sleep(0.05)
        async with self.http.get(self.ready) as answer:
            self.assertEqual(answer.status, 503)
        self.forwarder.gate.set()
        status, body, headers = await posted
        self.assertEqual((status, body), (200, b"id: 0\n\n"))
        status, _, headers = await self.post()
        self.assertEqual((status, headers.get("Connection")), (200, "close"))
        await stopping

    async def test_a_batch_job_is_accepted_read_and_ended(self):
        self.authorizer.route = ROUTE._replace(streamed=False, batch=fleet.Batch())
        job = b'{"requests":[{"id":"i1","path":"/s/1","body":"eA==","tokens":3}]}'
        self.assertEqual((await self.post(data=job))[0], 202)
        item = command.LotItem("i1", "/s/1", (), b"x", 3)
        self.assertEqual(self.bulk_jobs.accepted, [("a1", "t1", (item,))])
        async with self.http.get(self.base + "/lots/a1?after=0") as answer:
            page = await answer.json()
        self.assertEqual((page["total"], page["next"]), (2, 1))
        async with self.http.get(self.base + "/items/a1?id=i1") as answer:
            self.assertEqual(await answer.read(), b"bytes")
        async with self.http.delete(self.base + "/lots/a1") as answer:
            self.assertEqual(answer.status, 200)

    async def test_a_batch_job_that_may_have_been_accepted_gets_502(self):
        self.authorizer.route = ROUTE._replace(streamed=False, batch=fleet.Batch())
        job = b'{"requests":[{"id":"i1","path":"/s/1","body":"eA==","tokens":3}]}'
        for not_run, expected in ((False, 502), (True, 503)):
            self.bulk_jobs.failure = error.ControlError("no answer", not_run=not_run)
            self.assertEqual((await self.post(data=job))[0], expected)

    async def test_an_unknown_batch_job(self):
        kind = error.Kind.OBJECT_UNKNOWN
        self.bulk_jobs.failure = error.RequestError("no such job", kind)
        async with self.http.get(self.base + "/lots/zz") as answer:
            self.assertEqual(answer.status, 404)
        self.bulk_jobs.failure = error.ControlError("unsure")
        async with self.http.get(self.base + "/lots/zz") as answer:
            self.assertEqual(answer.status, 503)


if __name__ == "__main__":
    unittest.main()

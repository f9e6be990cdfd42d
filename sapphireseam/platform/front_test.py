"""Test what the platform's clients and balancer are answered."""

import asyncio
import types
import unittest

import aiohttp

from sapphireseam.core import command, error, fleet, message
from sapphireseam.entry.authorizer import Authorization
from sapphireseam.platform import front
from sapphireseam.utils.timer import SystemTimer

ROUTE = fleet.Route("/s/", "llm", streamed=True, timeout=5.0)
SIGNED = (("X-Response-Signature", "sig"), ("X-Attempt-Id", "a1"), ("Connection", "x"))


class FakeAuthorizer:
    def __init__(self):
        self.is_ready = True
        self.bounds = fleet.Bounds(body_bytes=1000)
        self.failure = None
        self.route = ROUTE

    async def authorize(self, host, path, text):
        if self.failure is not None:
            raise self.failure
        return Authorization("r", self.route, "t1", 0)

    async def identify_with_refresh(self, text):
        return "t1"


class FakeForwarder:
    """Answer as the test says; hold the calls."""

    def __init__(self):
        self.calls = []
        self.failure = None
        self.breaks = False
        self.gate = asyncio.Event()
        self.gate.set()
        self.ended = 0

    async def serve(self, call, sink):
        self.calls.append(call)
        try:
            await self.gate.wait()
            if self.failure is not None:
                raise self.failure
            await sink.begin(200, SIGNED)
            await sink.write(b"id: 0\n\n")
            if self.breaks:
                raise error.OutcomeError("cut")
            await sink.finish()
        finally:
            self.ended += 1


class FakeBulkJobs:
    def __init__(self):
        self.accepted = []
        self.failure = None

    async def accept(self, lot, customer, route_name, route, items):
        if self.failure is not None:
            raise self.failure
        self.accepted.append((lot, customer, items))

    async def read(self, lot, customer, after, wait):
        if self.failure is not None:
            raise self.failure
        return message.LotView(2, (("i1", False, b"x"),))

    async def read_item(self, lot, customer, item):
        return b"bytes"

    async def end(self, lot, customer):
        self.accepted.append(("end", lot))


class FrontTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.authorizer = FakeAuthorizer()
        self.forwarder = FakeForwarder()
        self.bulk_jobs = FakeBulkJobs()
        desk = types.SimpleNamespace(
            authorizer=self.authorizer,
            forwarder=self.forwarder,
            bulk_jobs=self.bulk_jobs,
            timer=SystemTimer(),
        )
        callers, ready = await find_ports(2)
        self.base = f"http://127.0.0.1:{callers}"
        self.ready = f"http://127.0.0.1:{ready}/readyz"
        self.front = front.Front(
            desk, f"127.0.0.1:{callers}", f"127.0.0.1:{ready}", 2.0
        )
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

    async def test_a_caller_that_comes_again_is_known_by_its_patience(
        self,
    ):
        await self.post(X_Deadline_Ms="4000")
        await self.post(X_Deadline_Ms="3000")
        waited = [call.waited for call in self.forwarder.calls]
        self.assertEqual(waited, [0.0, 1.0])

    async def test_a_shorter_limit_of_the_route_makes_nobody_late(self):
        await self.post(X_Deadline_Ms="4000")
        self.authorizer.route = ROUTE._replace(timeout=1.0)
        await self.post(X_Deadline_Ms="4000")
        await self.post()
        waited = [call.waited for call in self.forwarder.calls]
        self.assertEqual(waited, [0.0, 0.0, 0.0])

    async def test_a_stream_comes_back_signed(self):
        status, body, headers = await self.post(X_Deadline_Ms="1500")
        self.assertEqual((status, body), (200, b"id: 0\n\n"))
        self.assertEqual(headers["X-Response-Signature"], "sig")
        (call,) = self.forwarder.calls
        self.assertEqual((call.id, call.customer, call.body), ("a1", "t1", b"b"))
        self.assertAlmostEqual(call.deadline - call.arrived, 1.5)
        names = [name.lower() for name, _ in call.headers]
        self.assertNotIn("authorization", names)

    async def test_the_routes_time_bounds_the_clients(self):
        await self.post(X_Deadline_Ms="90000")
        (call,) = self.forwarder.calls
        self.assertAlmostEqual(call.deadline - call.arrived, ROUTE.timeout)

    async def test_refusals_tell_the_time_to_come_back(self):
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

    async def test_what_may_have_run_is_never_said_not_to_have(self):
        self.forwarder.failure = error.CapacityError("x", not_run=False)
        self.assertEqual((await self.post())[0], 502)
        self.forwarder.failure = error.OutcomeError("x")
        self.assertEqual((await self.post())[0], 502)

    async def test_what_the_configuration_does_not_allow(self):
        for failure, expected in (
            (error.AccessError("x"), 401),
            (error.RequestError("x", error.Kind.ROUTE_UNKNOWN), 404),
            (error.ControlError("knows no configuration"), 503),
        ):
            self.authorizer.failure = failure
            self.assertEqual((await self.post())[0], expected)
        self.assertEqual(self.forwarder.calls, [])

    async def test_a_body_over_the_bound(self):
        self.assertEqual((await self.post(data=b"x" * 1001))[0], 413)

    async def test_bad_headers(self):
        for text in ("soon", "nan", "inf"):
            self.assertEqual((await self.post(X_Deadline_Ms=text))[0], 400)
        self.assertEqual((await self.post(X_Attempt_Id=""))[0], 400)

    async def test_a_broken_stream_does_not_look_whole(self):
        self.forwarder.breaks = True
        with self.assertRaises(aiohttp.ClientPayloadError):
            await self.post()

    async def test_a_client_that_leaves_ends_its_call(self):
        self.forwarder.gate.clear()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.1):
                await self.post()
        await asyncio.sleep(0.1)
        self.assertEqual(self.forwarder.ended, 1)

    async def test_readiness_follows_the_configuration(self):
        async with self.http.get(self.ready) as answer:
            self.assertEqual(answer.status, 200)
        self.authorizer.is_ready = False
        async with self.http.get(self.ready) as answer:
            self.assertEqual(answer.status, 503)

    async def test_a_stop_finishes_what_is_open_and_keeps_no_connection(self):
        self.forwarder.gate.clear()
        asked = asyncio.create_task(self.post())
        await asyncio.sleep(0.05)
        stopping = asyncio.create_task(self.front.stop())
        await asyncio.sleep(0.05)
        async with self.http.get(self.ready) as answer:
            self.assertEqual(answer.status, 503)
        self.forwarder.gate.set()
        status, body, headers = await asked
        self.assertEqual((status, body), (200, b"id: 0\n\n"))
        status, _, headers = await self.post()
        self.assertEqual((status, headers.get("Connection")), (200, "close"))
        await stopping

    async def test_a_request_that_comes_as_the_front_closes_is_finished(self):
        """It is read after the notice, just before the connections are closed."""
        await self.post()
        self.front._grace = 4.0
        ready, callers = self.front._runners
        callers._shutdown_timeout = self.front._measure_patience()
        asked = []

        async def ask_and_close():
            self.forwarder.gate.clear()
            asked.append(asyncio.create_task(self.post()))
            while len(self.forwarder.calls) < 2:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            asyncio.get_running_loop().call_later(1.0, self.forwarder.gate.set)
            await callers.cleanup()

        closing = types.SimpleNamespace(cleanup=ask_and_close)
        self.front._runners = [ready, closing]
        await self.front.stop()
        self.front._runners = []
        self.assertEqual((await asked[0])[0], 200)

    async def test_a_batch_job_is_taken_read_and_ended(self):
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

    async def test_a_batch_job_in_doubt_is_not_said_to_be_refused(self):
        self.authorizer.route = ROUTE._replace(streamed=False, batch=fleet.Batch())
        job = b'{"requests":[{"id":"i1","path":"/s/1","body":"eA==","tokens":3}]}'
        for not_run, expected in ((False, 502), (True, 503)):
            self.bulk_jobs.failure = error.ControlError("no answer", not_run=not_run)
            self.assertEqual((await self.post(data=job))[0], expected)

    async def test_a_lot_that_nobody_knows(self):
        text = error.Kind.OBJECT_UNKNOWN
        self.bulk_jobs.failure = error.RequestError("no lot", text)
        async with self.http.get(self.base + "/lots/zz") as answer:
            self.assertEqual(answer.status, 404)
        self.bulk_jobs.failure = error.ControlError("unsure")
        async with self.http.get(self.base + "/lots/zz") as answer:
            self.assertEqual(answer.status, 503)


async def find_ports(count):
    """Return ports that nobody listens on."""
    servers = [
        await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        for _ in range(count)
    ]
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    for server in servers:
        server.close()
        await server.wait_closed()
    return ports


if __name__ == "__main__":
    unittest.main()

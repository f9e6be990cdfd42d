"""Test the answers to callers and the requests to upstreams while upstreams fail."""

import asyncio
import gzip
import random
import unittest

import uvloop

from sapphireseam.core import command, error, fleet, trait
from sapphireseam.entry import direct
from sapphireseam.entry.fake import FakeGate, make_refusal
from sapphireseam.entry.placer import HeldSlot
from sapphireseam.tools import fake
from sapphireseam.utils import crash, fakeupstream, memory, metric, outbound
from sapphireseam.utils.fakeupstream import make_raw
from sapphireseam.utils.grace import Grace
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import SystemTimer

STREAM = fleet.Route(
    "/s/", "llm", streamed=True, idempotent=False, target=0.3, attempts=1
)
RESUMABLE = STREAM._replace(idempotent=True, attempts=2)
SAFE = fleet.Route("/w/", "llm", idempotent=True, target=0.2, attempts=3)
UNSAFE = SAFE._replace(idempotent=False)
THIRD, FOURTH = b"id: 2\ndata: r1-2\n\n", b"id: 3\ndata: r1-3\n\n"
# Whole answers that don't continue a stream after its second event.
FOREIGN_ANSWERS = {
    "text": make_raw(b"sorry", content_type=b"text/plain"),
    "json": make_raw(b'{"error": "sorry"}', content_type=b"application/json"),
    "no content": make_raw(b"", b"204 No Content"),
    "partial content": make_raw(THIRD + FOURTH, b"206 Partial Content"),
    "empty": make_raw(b""),
    "comments": make_raw(b": sorry\n\n: sorry\n\n"),
    "no id": make_raw(b"data: sorry\n\n"),
    "no id at last": make_raw(THIRD + b"data: sorry\n\n"),
    "head": make_raw(b"HTTP/1.1 500 X\r\nContent-Length: 5\r\n\r\nsorry\n\n"),
    "head at last": make_raw(THIRD + b"HTTP/1.1 500 X\r\nLength: 0\r\n\r\n"),
    "from the start": make_raw(b"id: 0\ndata: x\n\nid: 1\ndata: y\n\n" + THIRD),
    "gap": make_raw(FOURTH),
    "gap at last": make_raw(THIRD + b"id: 4\ndata: r1-4\n\n"),
    "repeated": make_raw(THIRD + THIRD + FOURTH),
    "encoded": make_raw(
        gzip.compress(THIRD + FOURTH), extra=b"Content-Encoding: gzip\r\n"
    ),
}


class FakePlacer:
    """Give each request the first upstream that it has not excluded."""

    def __init__(self, upstreams):
        self.upstreams = upstreams
        self.specs = []
        self.released = []
        self.silent = []
        self.streams = []
        self.leaving = []
        self.refusal = None
        # Whether requests with all upstreams excluded are refused.
        self.is_strict = False
        # The only upstream that has free slots, if it is set.
        self.only = ""
        # Names of upstreams that are evacuated after their slot was granted.
        self.evacuated = set()

    async def place(self, spec):
        self.specs.append(spec)
        if self.refusal is not None:
            raise self.refusal
        version = getattr(spec, "version", "")
        fitting = [
            upstream
            for upstream in self.upstreams
            if version in ("", upstream.version) and upstream.name != spec.held
        ]
        former = getattr(spec, "returns_to", "")
        if former:
            fitting = [upstream for upstream in fitting if upstream.name == former]
        if not fitting:
            raise error.CapacityError("no upstream of this version")
        if self.only:
            if self.only in spec.excluded:
                raise error.CapacityError("no free slot")
            fitting = [u for u in fitting if u.name == self.only]
        usable = [u for u in fitting if u.name not in spec.excluded]
        if not usable and self.is_strict and not former:
            raise error.CapacityError("no free slot")
        chosen = (usable or fitting)[0]
        return HeldSlot(len(self.specs), "r", chosen.instance, spec.customer)

    def release(self, slot, is_suspect=False, pace=0.0, is_full=False):
        self.released.append((slot.instance.id, is_suspect))

    def is_evacuated(self, slot):
        return slot.instance.id in self.evacuated

    def record_stream(self, slot):
        self.streams.append(slot.instance.id)

    def report_leaving(self, instance):
        self.leaving.append(instance.id)

    def report_silent(self, instance):
        self.silent.append(instance.id)


class FakeSink:
    def __init__(self):
        self.begun = 0
        self.status = 0
        self.headers = ()
        self.body = b""
        self.is_complete = False

    async def begin(self, status, headers):
        self.begun += 1
        self.status = status
        self.headers = dict(headers)

    async def write(self, data):
        self.body += data

    async def finish(self):
        self.is_complete = True


class DirectForwarderTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.upstreams = [fakeupstream.FakeUpstream(name) for name in ("u1", "u2")]
        for upstream in self.upstreams:
            await upstream.start()
            self.addAsyncCleanup(upstream.stop)
        self.placer = FakePlacer(self.upstreams)
        self.outbound = outbound.ConnectionPool(fakeupstream.FakeDialect())
        self.addAsyncCleanup(self.outbound.stop)
        self.timer = SystemTimer()
        self.grace = Grace(timer=self.timer)
        self.gate = FakeGate()
        self.control = fake.FakeControl(self.timer)
        self.down = set()
        self.detector = crash.CrashDetector(
            fake.FakeMirror(),
            self.control,
            Timeline("t", self.timer),
            self.timer,
            self.has_ended,
        )
        self.addAsyncCleanup(self.detector.stop)
        self.forwarder = direct.DirectForwarder(
            self.placer,
            self.outbound,
            metric.Meter("t"),
            self.timer,
            random.Random(1),
            self.gate,
            self.detector,
            self.grace,
        )
        self.sink = FakeSink()

    async def has_ended(self, run):
        return run.upstream in self.down

    def list_crashes(self):
        crashes = [x for x in self.control.asked if isinstance(x, command.ReportCrash)]
        return [(each.run, each.requests) for each in crashes]

    def make_request(self, route, seconds=5.0, **fields):
        now = self.timer.read_clock()
        return direct.DirectRequest(
            "r1", "c", 0, "route", route, "h", "POST", route.path + "x", (), b"body",
            now, now + seconds, **fields,
        )  # fmt: skip

    async def serve(self, route, *behaviours, **fields):
        self.upstreams[0].behaviours = list(behaviours)
        await self.forwarder.serve(self.make_request(route, **fields), self.sink)

    async def expect(self, kind, route, *behaviours, **fields):
        with self.assertRaises(error.SeamError) as caught:
            await self.serve(route, *behaviours, **fields)
        self.assertEqual(caught.exception.kind, kind)
        return caught.exception

    def count_runs(self):
        return [len(upstream.runs) for upstream in self.upstreams]

    def check_events(self, count=4):
        expected = b"".join(b"id: %d\ndata: r1-%d\n\n" % (n, n) for n in range(count))
        self.assertEqual(self.sink.body, expected)
        self.assertTrue(self.sink.is_complete)


class EvacuationTest(DirectForwarderTestCase):
    async def test_a_slot_that_was_granted_before_an_evacuation_is_given_back(self):
        self.placer.evacuated = {"u1"}
        place = self.placer.place

        async def place_elsewhere(spec):
            slot = await place(spec)
            self.placer.only = "u2"
            return slot

        self.placer.place = place_elsewhere
        await self.serve(UNSAFE, "well")
        self.assertTrue(self.sink.is_complete)
        self.assertEqual(self.count_runs(), [0, 1])
        self.assertEqual(self.placer.released[0], ("u1", False))
        self.assertEqual([s.is_counted for s in self.placer.specs], [True, False])


class DirectForwarderTest(DirectForwarderTestCase):
    async def test_a_stream_is_passed_on(self):
        await self.serve(STREAM)
        self.check_events()
        self.assertEqual(self.upstreams[0].runs[0].body, b"body")
        self.assertEqual(self.placer.released, [("u1", False)])

    async def test_connections_are_reused(self):
        for _ in range(5):
            self.sink = FakeSink()
            await self.serve(STREAM)
        self.assertEqual(self.upstreams[0].connections, 1)

    async def test_a_cut_stream_continues_elsewhere_in_the_same_answer(self):
        await self.serve(RESUMABLE, "cut")
        self.check_events()
        self.assertEqual(self.sink.headers["Fake-By"], "u1")
        self.assertEqual(self.upstreams[1].runs[0].headers[fakeupstream.RESUME], "1")
        self.assertEqual(self.placer.released, [("u1", True), ("u2", False)])

    async def test_a_cut_stream_never_continues_at_another_software_version(self):
        self.upstreams[0].version, self.upstreams[1].version = "v1", "v2"
        self.upstreams[0].behaviours = ["cut", "drop"]
        with self.assertRaises(error.SeamError):
            await self.forwarder.serve(self.make_request(RESUMABLE), self.sink)
        self.assertFalse(self.sink.is_complete)
        self.assertEqual(self.count_runs(), [2, 0])

    async def test_a_cut_stream_continues_at_its_software_version(self):
        third = fakeupstream.FakeUpstream("u3", version="v1")
        await third.start()
        self.addAsyncCleanup(third.stop)
        self.upstreams.append(third)
        self.upstreams[0].version, self.upstreams[1].version = "v1", "v2"
        await self.serve(RESUMABLE, "cut")
        self.check_events()
        self.assertEqual(self.count_runs(), [1, 0, 1])

    async def test_a_stalled_stream_is_closed_before_it_continues_elsewhere(self):
        await self.serve(RESUMABLE, "stall")
        self.check_events()
        await asyncio.sleep(0.01)
        self.assertEqual(self.upstreams[0].dropped, ["r1"])

    async def test_a_cut_stream_that_may_not_be_resumed_is_aborted(self):
        await self.expect(error.Kind.OUTCOME_UNKNOWN, STREAM, "cut")
        self.assertFalse(self.sink.is_complete)
        self.assertEqual(self.count_runs(), [1, 0])

    async def test_the_end_of_the_grace_is_not_run_only_for_what_was_not_sent(self):
        self.grace.begin()
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, self.grace.cut)
        failure = await self.expect(error.Kind.DEADLINE_EXCEEDED, UNSAFE, "stall")
        self.assertFalse(failure.not_run)
        self.placer.place = lambda spec: asyncio.sleep(9.0)
        failure = await self.expect(error.Kind.OVERLOADED, UNSAFE)
        self.assertTrue(failure.not_run)

    async def test_what_a_stop_may_cut_is_not_sent_late_unless_it_may_be_repeated(self):
        place = self.placer.place

        async def place_later(spec):
            self.grace.begin()
            return await place(spec)

        self.placer.place = place_later
        for route, seconds, runs in (
            (UNSAFE, 80.0, 0),
            (UNSAFE, 5.0, 1),
            (SAFE, 80.0, 2),
        ):
            if runs:
                await self.serve(route, seconds=seconds)
                self.sink = FakeSink()
            else:
                failure = await self.expect(
                    error.Kind.SHUTTING_DOWN, route, seconds=seconds
                )
                self.assertTrue(failure.not_run)
            self.assertEqual(self.count_runs(), [runs, 0])
        self.assertEqual(len(self.placer.released), 3)

    async def test_a_cut_answer_is_logged_and_counted_with_its_cause(self):
        for behaviour, cause in (("cut", "broken"), ("stall", "deadline")):
            with self.subTest(behaviour), self.assertLogs(direct.logger) as logs:
                with self.assertRaises(error.SeamError):
                    await self.serve(STREAM, behaviour, revision=7, seconds=0.3)
                cut = logs.records[-1]
                self.assertEqual(cut.getMessage(), "answer cut")
                self.assertEqual((cut.cause, cut.revision), (cause, 7))
                self.assertEqual(self.forwarder._cuts[cause], 1)

    async def test_an_unframed_stream_is_passed_on(self):
        await self.serve(STREAM, "unframed")
        self.check_events()

    async def test_an_unframed_stream_that_breaks_off_is_never_ended_as_complete(self):
        for behaviour in ("unframed-cut", "unframed-empty", "unframed-reset"):
            with self.subTest(behaviour):
                self.sink = FakeSink()
                await self.expect(error.Kind.OUTCOME_UNKNOWN, STREAM, behaviour)
                self.assertFalse(self.sink.is_complete)

    async def test_an_unframed_stream_that_breaks_off_continues_elsewhere(self):
        for behaviour in ("unframed-cut", "unframed-empty", "unframed-reset"):
            with self.subTest(behaviour):
                self.sink = FakeSink()
                self.upstreams[0].event_delay = 0.01
                await self.serve(RESUMABLE, behaviour)
                self.check_events()

    async def test_a_resumed_unframed_stream_without_an_event_is_not_complete(self):
        self.upstreams[1].behaviours = ["unframed-empty"]
        with self.assertRaises(error.SeamError):
            await self.serve(RESUMABLE, "cut")
        self.assertFalse(self.sink.is_complete)

    async def test_a_refusal_of_the_upstream_does_not_count_as_a_run(self):
        for route in (STREAM, RESUMABLE, SAFE, UNSAFE):
            self.sink = FakeSink()
            await self.serve(route, "refuse")
            self.assertTrue(self.sink.is_complete)
        self.assertEqual(self.count_runs(), [0, 4])

    async def test_a_repeated_refusal_never_makes_a_request_run_twice(self):
        for number, route in enumerate((STREAM, RESUMABLE, SAFE, UNSAFE), 1):
            with self.subTest(route=route):
                self.sink = FakeSink()
                self.upstreams[1].behaviours = ["refuse"]
                await self.serve(route, "refuse", "repeat")
                self.assertTrue(self.sink.is_complete)
                self.assertEqual(self.count_runs(), [number, 0])

    async def test_a_repeated_refusal_of_a_running_request_never_says_not_run(self):
        self.upstreams[1].behaviours = ["refuse"] * 9
        await self.serve(UNSAFE, "refuse", "repeat", *["refuse"] * 9)
        self.assertTrue(self.sink.is_complete)
        self.assertEqual(self.count_runs(), [1, 0])

    async def test_a_refusal_of_no_known_request_never_says_not_run(self):
        for route in (STREAM, UNSAFE):
            with self.subTest(route=route):
                await self.serve(SAFE)
                kind = error.Kind.OUTCOME_UNKNOWN
                failure = await self.expect(kind, route, "unnamed-refusal")
                self.assertFalse(failure.not_run)
                self.assertEqual(self.count_runs()[1], 0)

    async def test_only_the_first_offer_counts_against_the_limit(self):
        await self.serve(SAFE, "refuse")
        self.assertEqual([s.is_counted for s in self.placer.specs], [True, False])

    async def test_a_lost_answer_is_retried_only_on_idempotent_routes(self):
        await self.serve(SAFE, "drop")
        self.assertEqual(self.count_runs(), [1, 1])
        failure = await self.expect(error.Kind.OUTCOME_UNKNOWN, UNSAFE, "drop")
        self.assertFalse(failure.not_run)
        self.assertEqual(self.count_runs(), [2, 1])

    async def test_a_request_whose_connection_breaks_is_never_sent_again_unasked(self):
        for method in ("PUT", "DELETE", "GET"):
            await self.serve(UNSAFE)
            before = sum(self.count_runs())
            self.upstreams[0].behaviours = ["drop"]
            request = self.make_request(UNSAFE)._replace(method=method)
            with self.assertRaises(error.OutcomeError):
                await self.forwarder.serve(request, FakeSink())
            self.assertEqual(sum(self.count_runs()), before + 1)

    async def test_a_request_that_no_upstream_can_be_sent_is_the_callers_error(self):
        for odd in ({"target": "x:y"}, {"headers": (("H", "a\r\nb"),)}):
            request = self.make_request(SAFE)._replace(**odd)
            with self.assertRaises(error.RequestError, msg=odd):
                await self.forwarder.serve(request, self.sink)
        self.assertEqual(self.placer.released, [("u1", False)] * 2)

    async def test_attempts_are_bounded(self):
        self.upstreams[1].behaviours = ["drop"] * 9
        await self.expect(error.Kind.UPSTREAM_FAILED, SAFE, *["drop"] * 9)
        self.assertEqual(sum(self.count_runs()), SAFE.attempts)

    async def test_a_server_error_is_retried_on_idempotent_routes_else_passed_on(self):
        await self.serve(SAFE, "fail")
        self.assertEqual(self.sink.status, 200)
        self.sink = FakeSink()
        await self.serve(UNSAFE, "fail")
        self.assertEqual((self.sink.status, self.sink.body), (500, b"no"))

    async def test_a_head_that_cannot_be_passed_on_is_a_failed_attempt(self):
        for odd in (
            make_raw(b"x", extra=b"H: a\x01b\r\n"),
            make_raw(b"x", extra=b"H: a\x7f\r\n"),
            make_raw(b"", b"101 Switching Protocols"),
        ):
            await self.expect(error.Kind.OUTCOME_UNKNOWN, UNSAFE, odd)
            self.assertEqual(self.sink.begun, 0)

    async def test_another_requests_answer_is_never_passed_on(self):
        await self.serve(SAFE, "stale")
        self.assertNotEqual(self.sink.body, b"no")
        await self.expect(error.Kind.OUTCOME_UNKNOWN, UNSAFE, "stale")

    async def test_an_idempotent_request_is_moved_from_a_silent_upstream(self):
        await self.serve(SAFE, "silent")
        self.assertTrue(self.sink.is_complete)
        self.assertIn(("u1", True), self.placer.released)

    async def test_a_silent_upstream_is_reported_while_its_request_waits(self):
        await self.expect(error.Kind.DEADLINE_EXCEEDED, STREAM, "silent", seconds=1.4)
        self.assertEqual(self.placer.silent, ["u1"])
        self.assertEqual(self.count_runs(), [1, 0])

    async def test_an_upstream_that_says_it_leaves_gets_no_further_request(self):
        for behaviour in ("well", "refuse", "fail"):
            with self.subTest(behaviour):
                await self.asyncSetUp()
                self.upstreams[0].is_leaving = True
                await self.serve(STREAM, behaviour)
                before = len(self.upstreams[0].runs)
                for _ in range(3):
                    self.sink = FakeSink()
                    await self.serve(STREAM)
                self.assertEqual(self.count_runs()[0], before)
                self.assertTrue(self.sink.is_complete)

    async def test_without_a_slot_the_refusal_says_not_run(self):
        self.placer.refusal = error.CapacityError("full", retry_after=0.4)
        failure = await self.expect(error.Kind.OVERLOADED, STREAM)
        self.assertTrue(failure.not_run)
        self.assertEqual(failure.retry_after, 0.4)

    async def test_a_refusal_after_a_run_does_not_say_not_run(self):
        async def place_once(spec):
            if spec.excluded:
                raise error.CapacityError("full")
            return HeldSlot(1, "r", self.upstreams[0].instance, "c")

        self.placer.place = place_once
        failure = await self.expect(error.Kind.UPSTREAM_FAILED, SAFE, "drop")
        self.assertFalse(failure.not_run)

    async def test_a_callers_own_resumption_continues_after_its_event(self):
        await self.serve(RESUMABLE, resume_after=1)
        self.assertEqual(self.sink.body.count(b"data"), 2)

    async def test_a_request_that_continues_a_stream_may_wait_longer(self):
        specs = []
        place = self.placer.place

        async def record_spec(spec):
            specs.append(spec)
            return await place(spec)

        self.placer.place = record_spec
        await self.serve(RESUMABLE, seconds=2.0)
        await self.serve(RESUMABLE, resume_after=1, seconds=2.0)
        self.assertEqual([spec.is_resumed for spec in specs], [False, True])
        self.assertGreater(specs[1].patience, 0.9)
        self.assertLess(specs[0].patience, 0.6)

    async def test_a_caller_that_disconnects_ends_the_run(self):
        self.upstreams[0].event_delay = 0.05
        task = asyncio.create_task(self.serve(STREAM))
        await asyncio.sleep(0.08)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0.15)
        self.assertEqual(self.upstreams[0].dropped, ["r1"])
        self.assertEqual(self.placer.released, [("u1", False)])

    async def test_the_remaining_time_is_sent_to_the_upstream(self):
        await self.serve(SAFE, seconds=2.0)
        remaining = float(self.upstreams[0].runs[0].headers[fakeupstream.REMAINING])
        self.assertTrue(1.5 < remaining <= 2.0)

    async def test_a_crash_is_reported_before_the_caller_gets_its_error(self):
        self.down.add("u1")
        fields = {"fingerprint": "f", "parts": ("a", "b")}
        traits = ("f", *trait.make_part_traits("route", "ab"))
        for behaviour in ("drop", "unframed-empty"):
            await self.expect(error.Kind.OUTCOME_UNKNOWN, STREAM, behaviour, **fields)
        reported = ("u1/0", (traits,))
        self.assertEqual(self.list_crashes(), [reported, reported])
        self.assertEqual(self.gate.sound, [])

    async def test_the_quarantine_is_asked_again_after_a_crash(self):
        self.down.add("u1")
        await self.serve(SAFE, "drop", fingerprint="f")
        asked = [has_crashed for _, _, has_crashed in self.gate.asked]
        self.assertEqual(asked, [False, False, True, False])
        self.assertEqual(self.gate.released, ["r1"])

    async def test_broken_answers_of_an_upstream_that_stays_up_blame_nobody(self):
        for _ in range(8):
            self.sink = FakeSink()
            await self.serve(SAFE, "drop", fingerprint="f")
        self.assertEqual(self.control.asked, [])
        self.assertEqual([x[2] for x in self.gate.asked], [False] * 32)

    async def test_timeouts_refusals_and_malformed_answers_are_no_crash(self):
        self.down.add("u1")
        for behaviour in ("silent", "refuse", "fail", "stale"):
            self.sink = FakeSink()
            await self.serve(SAFE, behaviour, fingerprint="f")
        self.assertEqual(self.control.asked, [])

    async def test_a_stream_that_goes_on_shows_that_its_upstream_is_up(self):
        self.down.add("u1")
        self.upstreams[0].event_delay, self.upstreams[0].events = 0.01, 60
        running = asyncio.create_task(self.serve(STREAM))
        # Until then the first request could take the second one's behaviour.
        while not self.sink.body:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        sink, self.sink = self.sink, FakeSink()
        await self.expect(error.Kind.OUTCOME_UNKNOWN, STREAM, "drop", fingerprint="f")
        self.assertFalse(running.done())
        await running
        self.assertTrue(sink.is_complete)
        self.assertEqual(self.control.asked, [])

    async def test_a_proven_stream_goes_on_elsewhere_without_delay_or_blame(self):
        self.down.add("u1")
        self.upstreams[0].event_delay = crash.PROVEN_SECONDS * 1.1
        self.gate.admitted, self.gate.refusal = 2, make_refusal()
        broken_at = 0.0
        record_break = self.detector.record_break

        def record(exchange, traits):
            nonlocal broken_at
            broken_at = self.timer.read_clock()
            return record_break(exchange, traits)

        self.detector.record_break = record
        await self.serve(RESUMABLE, "cut", fingerprint="f")
        self.assertLess(self.timer.read_clock() - broken_at, crash.COLLECT_SECONDS)
        self.check_events()
        await asyncio.sleep(2 * crash.COLLECT_SECONDS)
        self.assertEqual(self.gate.sound, [("f",)])
        self.assertEqual(self.control.asked, [])

    async def test_a_refused_request_reaches_no_upstream_and_says_not_run(self):
        for admitted in (0, 1):
            self.gate.admitted, self.gate.refusal = admitted, make_refusal()
            failure = await self.expect(error.Kind.REQUEST_QUARANTINED, STREAM)
            self.assertEqual((failure.not_run, failure.retry_after), (True, 9.0))
            self.gate.asked.clear()
        self.assertEqual(self.count_runs(), [0, 0])
        # The slot that was held in the second case is free again.
        self.assertEqual(len(self.placer.released), len(self.placer.specs))

    async def test_a_request_refused_after_a_run_does_not_say_not_run(self):
        self.down.add("u1")
        self.gate.admitted, self.gate.refusal = 2, make_refusal()
        failure = await self.expect(error.Kind.UPSTREAM_FAILED, SAFE, "drop")
        self.assertFalse(failure.not_run)
        self.assertEqual(self.count_runs(), [1, 0])

    async def test_an_unframed_plain_answer_proves_nothing(self):
        await self.serve(SAFE, "unframed", fingerprint="f")
        self.assertEqual(self.gate.sound, [])
        await self.serve(SAFE, fingerprint="f")
        self.assertEqual(self.gate.sound, [("f",)])

    async def test_a_trial_that_waited_for_its_slot_is_refused_by_a_new_verdict(self):
        self.gate.is_trial = True
        place = self.placer.place

        async def place_late(spec):
            self.gate.refusal = make_refusal()
            return await place(spec)

        self.placer.place = place_late
        await self.expect(error.Kind.REQUEST_QUARANTINED, STREAM, fingerprint="f")
        self.assertEqual(self.count_runs(), [0, 0])

    async def test_a_crash_is_reported_although_another_caller_reads_slowly(self):
        self.down.add("u1")
        self.upstreams[0].bad_parts = frozenset({"bad"})
        begun, sink = asyncio.Event(), self.sink

        async def write(data):
            begun.set()
            await asyncio.sleep(2.0)

        sink.write = write
        slow = asyncio.create_task(self.serve(STREAM, fingerprint="s", seconds=9.0))
        await begun.wait()
        self.sink = FakeSink()
        headers = ((fakeupstream.PARTS, "bad,x"),)
        request = self.make_request(STREAM, fingerprint="f", parts=("bad",))
        with self.assertRaises(error.SeamError):
            await self.forwarder.serve(
                request._replace(id="r2", headers=headers), self.sink
            )
        self.assertEqual(len(self.upstreams[0].crashes), 1)
        self.assertEqual(len(self.list_crashes()), 1)
        slow.cancel()

    async def test_an_upstream_is_not_blamed_for_the_buffers_of_this_process(self):
        self.outbound._buffers = memory.MemoryBudget(10)
        with self.assertRaises(error.SeamError):
            await self.serve(UNSAFE, fingerprint="f")
        self.assertEqual(self.placer.released, [("u1", False)])


class ContinuationTest(DirectForwarderTestCase):
    """A stream has begun and broken off after its second event."""

    async def test_an_answer_that_is_no_continuation_never_enters_a_begun_stream(self):
        for name, answer in FOREIGN_ANSWERS.items():
            with self.subTest(name):
                self.sink = FakeSink()
                self.upstreams[1].behaviours = [answer]
                await self.expect(error.Kind.UPSTREAM_FAILED, RESUMABLE, "cut")
                self.assertEqual(self.sink.begun, 1)
                self.assertFalse(self.sink.is_complete)
                self.sink.is_complete = True
                self.check_events(self.sink.body.count(b"id: "))

    async def test_a_stream_goes_on_elsewhere_after_an_answer_that_is_no_continuation(
        self,
    ):
        third = fakeupstream.FakeUpstream("u3")
        await third.start()
        self.addAsyncCleanup(third.stop)
        self.upstreams.append(third)
        for name, answer in FOREIGN_ANSWERS.items():
            with self.subTest(name):
                self.sink = FakeSink()
                self.upstreams[1].behaviours = [answer]
                await self.serve(RESUMABLE._replace(attempts=3), "cut")
                self.check_events()

    async def test_a_stream_whose_end_alone_is_missing_is_not_ended_as_complete(self):
        self.upstreams[1].events = 2
        await self.expect(error.Kind.UPSTREAM_FAILED, RESUMABLE, "cut")
        self.assertFalse(self.sink.is_complete)

    async def test_comments_in_a_continuation_are_left_out(self):
        body = b": x\n\n" + THIRD + b": y\n:\n\n" + FOURTH
        self.upstreams[1].behaviours = [make_raw(body)]
        await self.serve(RESUMABLE, "cut")
        self.check_events()

    async def test_an_event_before_a_comment_is_not_repeated_by_the_continuation(self):
        whole = make_raw(b"id: 0\ndata: r1-0\n\n: x\n\nid: 1\n\n")
        cut = whole._replace(data=whole.data.removesuffix(b"id: 1\n\n"))
        await self.serve(RESUMABLE, cut)
        self.sink.body = self.sink.body.replace(b": x\n\n", b"")
        self.check_events()

    async def test_a_begun_stream_without_ids_is_never_begun_again(self):
        whole = make_raw(b"data: a\n\ndata: b\n\n")
        cut = whole._replace(data=whole.data.removesuffix(b"b\n\n"))
        await self.expect(error.Kind.OUTCOME_UNKNOWN, RESUMABLE, cut)
        self.assertEqual(self.sink.body, b"data: a\n\n")
        self.assertEqual((self.count_runs(), self.sink.is_complete), ([1, 0], False))

    async def test_a_callers_own_resumption_gets_only_a_continuation(self):
        for name in ("no id", "from the start", "gap", "empty"):
            with self.subTest(name):
                self.sink = FakeSink()
                answer = FOREIGN_ANSWERS[name]
                await self.serve(RESUMABLE, answer, resume_after=1)
                self.assertEqual(self.sink.body, THIRD + FOURTH)

    async def test_a_callers_own_resumption_may_have_nothing_left(self):
        for answer in (FOREIGN_ANSWERS["empty"], FOREIGN_ANSWERS["comments"]):
            self.sink = FakeSink()
            self.upstreams[1].behaviours = [answer]
            await self.serve(RESUMABLE, answer, resume_after=3)
            self.assertEqual((self.sink.begun, self.sink.is_complete), (1, True))
        self.assertEqual(self.count_runs(), [2, 2])


class CutHeadTest(DirectForwarderTestCase):
    """An upstream stops in the head of its answer."""

    async def test_a_cut_head_is_no_answer_on_any_route(self):
        for raw in fakeupstream.list_cut_heads():
            for route in (STREAM, UNSAFE):
                with self.subTest(raw, route=route.path):
                    self.sink = FakeSink()
                    await self.expect(error.Kind.OUTCOME_UNKNOWN, route, raw)
                    self.assertEqual(self.sink.begun, 0)
            for route in (RESUMABLE, SAFE):
                with self.subTest(raw, route=route.path):
                    self.sink = FakeSink()
                    await self.serve(route, raw)
                    self.check_events()
                    self.assertEqual(self.sink.headers["Fake-By"], "u2")

    async def test_a_cut_head_never_continues_a_begun_stream(self):
        for raw in fakeupstream.list_cut_heads():
            with self.subTest(raw):
                self.sink = FakeSink()
                self.upstreams[1].behaviours = [raw]
                await self.expect(error.Kind.UPSTREAM_FAILED, RESUMABLE, "cut")
                self.assertEqual((self.sink.begun, self.sink.is_complete), (1, False))
                self.assertEqual(self.sink.body.count(b"id: "), 2)


class CutHeadOnUvloopTest(CutHeadTest):
    """The programs run on uvloop, which reports the end of a connection differently."""

    @classmethod
    def setUpClass(cls):
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
        cls.addClassCleanup(asyncio.set_event_loop_policy, None)


class PauseTest(DirectForwarderTestCase):
    """A sound upstream may send nothing for a while and then go on."""

    async def serve_paused(self, route, *behaviours, seconds=6.0):
        self.sink = FakeSink()
        for upstream, behaviour in zip(self.upstreams, behaviours, strict=False):
            upstream.behaviours = [behaviour]
        await self.forwarder.serve(self.make_request(route, seconds), self.sink)
        self.check_events()

    async def test_a_stream_isnt_cut_if_each_upstream_pauses_between_events(self):
        await self.serve_paused(RESUMABLE, "pause", "pause")

    async def test_a_stream_isnt_refused_if_each_upstream_pauses_before_it_begins(self):
        for behaviour in ("pause-head", "pause-start"):
            await self.serve_paused(RESUMABLE, behaviour, behaviour)

    async def test_a_pause_in_the_last_attempt_doesnt_end_it(self):
        for behaviour in ("pause-head", "pause-start", "pause"):
            await self.serve_paused(RESUMABLE._replace(attempts=1), behaviour)
            self.assertEqual(self.count_runs()[1], 0)

    async def test_a_paused_stream_isnt_cut_if_no_other_upstream_is_free(self):
        self.placer.only = "u1"
        for behaviour in ("pause-head", "pause-start", "pause"):
            before = self.count_runs()
            await self.serve_paused(RESUMABLE, behaviour)
            self.assertEqual(self.count_runs(), [before[0] + 1, 0])

    async def test_a_paused_stream_isnt_cut_if_no_other_upstream_has_its_version(self):
        self.upstreams[0].version, self.upstreams[1].version = "v1", "v2"
        await self.serve_paused(RESUMABLE, "pause")
        self.assertEqual(self.count_runs(), [1, 0])

    async def test_a_paused_stream_goes_on_where_it_was_if_another_refuses_it(self):
        self.placer.is_strict = True
        self.upstreams[1].behaviours = ["refuse"]
        await self.serve_paused(RESUMABLE, "pause")
        self.assertEqual(self.count_runs(), [2, 0])

    async def add_third_upstream(self):
        third = fakeupstream.FakeUpstream("u3")
        await third.start()
        self.addAsyncCleanup(third.stop)
        self.upstreams.append(third)

    async def test_a_stream_goes_back_where_it_paused_if_the_next_upstream_fails(self):
        await self.add_third_upstream()
        foreign = FOREIGN_ANSWERS["text"], FOREIGN_ANSWERS["gap at last"]
        failures = ("fail", "drop", *foreign)
        for count, failure in enumerate(failures, 1):
            with self.subTest(failure):
                await self.serve_paused(RESUMABLE, "pause", failure)
                self.assertEqual(self.count_runs(), [2 * count, count, 0])

    async def test_a_request_goes_back_where_it_paused_if_the_next_upstream_fails(self):
        for route in (RESUMABLE, SAFE._replace(attempts=2)):
            for failure in ("fail", "drop"):
                with self.subTest(failure, route=route.path):
                    await self.serve_paused(route, "pause-head", failure)

    async def test_a_stream_goes_back_where_it_paused_if_no_other_upstream_is_free(
        self,
    ):
        self.placer.is_strict = True
        route = RESUMABLE._replace(attempts=3)
        await self.serve_paused(route, "pause", "drop")
        self.assertEqual(self.count_runs(), [2, 1])

    async def test_a_request_goes_back_once_to_an_upstream_that_then_fails(self):
        await self.add_third_upstream()
        self.upstreams[0].behaviours = ["pause", "drop"]
        self.upstreams[1].behaviours = ["drop"]
        with self.assertRaises(error.SeamError):
            await self.forwarder.serve(self.make_request(RESUMABLE, 6.0), self.sink)
        self.assertEqual(self.count_runs(), [2, 1, 0])

    async def test_a_request_ends_if_the_only_upstream_left_for_it_is_evacuated(self):
        await self.add_third_upstream()
        self.placer.is_evacuated = lambda slot: len(self.placer.specs) > 2
        with self.assertRaises(error.SeamError) as caught:
            await self.serve_paused(RESUMABLE, "pause", "drop")
        self.assertFalse(caught.exception.not_run)
        self.assertEqual(self.count_runs(), [1, 1, 0])
        self.assertEqual(self.placer.released[-1], ("u1", False))

    async def test_a_slot_that_is_found_as_the_caller_leaves_is_released(self):
        place, loop = self.placer.place, asyncio.get_running_loop()

        async def place_as_the_caller_leaves(spec):
            if spec.held:
                # The caller leaves between the end of the wait and the next attempt.
                loop.call_soon(loop.call_soon, serving.cancel)
            return await place(spec)

        self.placer.place = place_as_the_caller_leaves
        serving = asyncio.create_task(self.serve_paused(RESUMABLE, "pause"))
        (end,) = await asyncio.gather(serving, return_exceptions=True)
        self.assertIsInstance(end, asyncio.CancelledError)
        names = [name for name, _ in self.placer.released]
        self.assertEqual(sorted(names), ["u1", "u2"])

    async def test_a_paused_plain_answer_isnt_lost_if_no_other_upstream_is_free(self):
        self.placer.only = "u1"
        await self.serve_paused(SAFE, "pause-head")
        self.assertEqual(self.count_runs(), [1, 0])


if __name__ == "__main__":
    unittest.main()

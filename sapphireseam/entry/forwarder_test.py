"""Test which errors callers get and how often a request reaches an upstream."""

import asyncio
import itertools
import json
import random
import unittest

from hypothesis import given, settings, strategies as st

from sapphireseam.core import error, exchange, trait
from sapphireseam.core.evacuation import Evacuated
from sapphireseam.entry import forwarder, link
from sapphireseam.entry.fake import (
    FakeGate,
    FakeLink,
    FakeSink,
    make_future,
    make_refusal,
    make_request,
)
from sapphireseam.policy import registry
from sapphireseam.tools import fake
from sapphireseam.utils.grace import Grace
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import FakeTimer

FAST = settings(derandomize=True, deadline=None, database=None, max_examples=150)
NAMES = ("u1", "u2", "u3")
EVENTS = (("Content-Type", "text/event-stream"),)
DOCUMENT = {
    "failure_domains": {"d": {"region": "r"}},
    "models": {"m": {"version": "m-1"}},
    "versions": {"m-1": {"model": "m", "weights": "w"}},
    "upstreams": {
        name: {
            "failure_domain": "d",
            "address": f"127.0.0.1:{10 + n}",
            "agent": f"127.0.0.1:{20 + n}",
            **({"service": "post"} if name.startswith("p") else {"version": "m-1"}),
        }
        for n, name in enumerate([*NAMES, "p1", "p2", "p3"])
    },
}
BROKEN = exchange.Fail(0, "outcome_unknown", "broke", False)
DIED = exchange.Fail(0, "outcome_unknown", "died", False, died=True)
REFUSED = exchange.Fail(0, "overloaded", "full", True, 1.0)


class Fixture:
    """Connect a forwarder to fake agents that react as a test defines."""

    def __init__(self, react):
        self.timer = FakeTimer()
        self.mirror = fake.FakeMirror(DOCUMENT)
        self.gate = FakeGate()
        numbers = itertools.count(1)
        self.links = {
            name: FakeLink(name, react, numbers) for name in self.mirror.fleet.upstreams
        }
        rng = random.Random(1)
        self.grace = Grace(timer=self.timer)
        self.forwarder = forwarder.Forwarder(
            "d",
            self.mirror,
            self.links,
            Timeline("e", self.timer),
            self.timer,
            rng,
            lambda name: registry.build({"router": name}, "router", rng),
            self.gate,
            self.grace,
        )
        self.sink = FakeSink()
        self.stopped = make_future()

    def serve(self, request):
        work = self.forwarder.serve(request, self.sink, self.stopped)
        return asyncio.create_task(work)

    async def run(self, request, seconds=60.0):
        """Return the error that the request ends with, or None."""
        task = self.serve(request)
        for _ in range(int(seconds * 4)):
            await self.timer.advance(0.25)
            if task.done():
                break
        await asyncio.wait({task}, timeout=0)
        if not task.done():
            task.cancel()
            raise AssertionError("the request did not end")
        return task.exception()

    def list_sent(self, kind):
        return [item for each in self.links.values() for item in each.list_sent(kind)]


def send_answer(send, body=b"whole", status=200, headers=()):
    send(exchange.Head(0, status, headers))
    send(exchange.Data(0, body))
    send(exchange.End(0))


class Script:
    """End each attempt in the way listed for it; the last way repeats for ever."""

    def __init__(self, ways):
        self.ways = list(ways)
        self.may_have_run = 0
        self.way = ""

    def react(self, item, send):
        if isinstance(item, exchange.Offer):
            self.way = self.ways.pop(0) if len(self.ways) > 1 else self.ways[0]
            if item.ask and self.way not in ("lost before", "refused", "silent"):
                send(exchange.Ready(0))
                return
            self.end(send, item.ask)
        elif isinstance(item, exchange.Go):
            self.end(send, False)

    def end(self, send, asking):
        """End the attempt; `asking` means that the agent still waits for `Go`."""
        match self.way:
            case "refused" | "not run":
                send(REFUSED)
            case "lost before" | "lost":
                self.may_have_run += not asking
                send(link.LinkLost(0))
            case "silent":
                self.may_have_run += not asking
            case "broke":
                self.may_have_run += 1
                send(BROKEN)
            case "busy":
                self.may_have_run += 1
                send(exchange.Head(0, 503, ()))
            case "whole":
                self.may_have_run += 1
                send_answer(send)


WAYS = ["refused", "not run", "lost before", "lost", "silent", "broke", "busy", "whole"]


class NotRunTest(unittest.TestCase):
    @FAST
    @given(st.lists(st.sampled_from(WAYS), min_size=1, max_size=4), st.booleans())
    def test_not_run_is_true_and_once_only_routes_run_once(self, ways, idempotent):
        asyncio.run(self.check(ways, idempotent))

    async def check(self, ways, idempotent):
        script = Script(ways)
        fixture = Fixture(script.react)
        request = make_request(fixture.timer.read_clock(), idempotent)
        failure = await fixture.run(request)
        if failure is None:
            self.assertTrue(fixture.sink.is_complete)
        else:
            self.assertIsInstance(failure, error.SeamError)
            if failure.not_run:
                self.assertEqual(script.may_have_run, 0)
        if not idempotent:
            self.assertLessEqual(script.may_have_run, 1)
        if failure is not None and (idempotent or failure.not_run):
            self.assertGreater(failure.retry_after, 0)


class ForwarderTest(unittest.IsolatedAsyncioTestCase):
    async def test_refusals_end_at_once_with_retry_after(self):
        fixture = Fixture(lambda item, send: send(REFUSED))
        start = fixture.timer.read_clock()
        failure = await fixture.run(make_request(start))
        self.assertTrue(failure.not_run)
        self.assertEqual(failure.retry_after, 1.0)
        self.assertLess(fixture.timer.read_clock() - start, 2.0)

    async def test_retries_stay_within_the_budget_of_their_route(self):
        fixture = Fixture(lambda item, send: send(BROKEN))
        for _ in range(40):
            fixture.sink = FakeSink()
            await fixture.run(make_request(fixture.timer.read_clock()))
        offers = len(fixture.list_sent(exchange.Offer))
        allowed = forwarder.MIN_RETRIES + 40 * 0.2
        self.assertLessEqual(offers, 40 + allowed * 1.5)

    async def test_stop_before_the_permission_is_not_run(self):
        fixture = Fixture(lambda item, send: None)
        task = fixture.serve(make_request(fixture.timer.read_clock(), idempotent=False))
        await fixture.timer.advance(1.0)
        fixture.stopped.set_result(error.AccessError("withdrawn"))
        await fixture.timer.advance(0.1)
        self.assertTrue(task.exception().not_run)
        self.assertEqual(len(fixture.list_sent(exchange.Revoke)), 1)

    async def test_stop_after_the_permission_does_not_say_not_run(self):
        def react(item, send):
            if isinstance(item, exchange.Offer):
                send(exchange.Ready(0))

        fixture = Fixture(react)
        task = fixture.serve(make_request(fixture.timer.read_clock(), idempotent=False))
        await fixture.timer.advance(1.0)
        fixture.stopped.set_result(error.AccessError("withdrawn"))
        await fixture.timer.advance(0.1)
        self.assertFalse(task.exception().not_run)

    async def test_a_running_answer_outlives_its_upstream_in_the_configuration(self):
        senders = []

        def react(item, send):
            if isinstance(item, exchange.Offer):
                send(exchange.Head(0, 200, ()))
                senders.append(send)

        fixture = Fixture(react)
        task = fixture.serve(make_request(fixture.timer.read_clock()))
        await fixture.timer.settle()
        fixture.mirror.fleet = fake.FakeMirror({}).fleet
        fixture.mirror.notify()
        fixture.links.clear()
        senders[0](exchange.Data(0, b"whole"))
        senders[0](exchange.End(0))
        await fixture.timer.settle()
        self.assertIsNone(task.exception())
        self.assertEqual(fixture.sink.body, b"whole")

    async def test_stop_between_attempts_ends_the_request(self):
        fixture = Fixture(lambda item, send: send(REFUSED))
        task = fixture.serve(make_request(fixture.timer.read_clock()))
        await fixture.timer.settle()
        fixture.stopped.set_result(error.AccessError("withdrawn"))
        await fixture.timer.settle()
        self.assertEqual(task.exception().kind, error.Kind.KEY_INVALID)

    async def test_entry_frozen_past_the_deadline_gives_no_permission(self):
        """Freeze the entry between the agent's `Ready` and the entry's `Go`."""
        senders = []

        def react(item, send):
            if isinstance(item, exchange.Offer):
                senders.append(send)

        fixture = Fixture(react)
        request = make_request(fixture.timer.read_clock(), idempotent=False)
        task = fixture.serve(request)
        await fixture.timer.settle()
        fixture.timer._now += 100.0
        senders[0](exchange.Ready(0))
        await fixture.timer.settle()
        self.assertTrue(task.exception().not_run)
        self.assertEqual(fixture.list_sent(exchange.Go), [])

    async def test_stopping_entry_permits_nothing_that_it_may_cut(self):
        for seconds, permissions in ((80.0, 0), (10.0, 1)):
            senders = []

            def react(item, send, senders=senders):
                if isinstance(item, exchange.Offer):
                    senders.append(send)

            fixture = Fixture(react)
            now = fixture.timer.read_clock()
            request = make_request(now, idempotent=False)
            task = fixture.serve(request._replace(deadline=now + seconds))
            await fixture.timer.settle()
            fixture.grace.begin()
            senders[0](exchange.Ready(0))
            await fixture.timer.settle()
            self.assertEqual(len(fixture.list_sent(exchange.Go)), permissions)
            if not permissions:
                self.assertEqual(task.exception().kind, error.Kind.SHUTTING_DOWN)
                self.assertTrue(task.exception().not_run)
            task.cancel()

    async def test_entry_that_lost_the_control_vms_gives_no_permission(self):
        senders = []

        def react(item, send):
            if isinstance(item, exchange.Offer):
                senders.append(send)

        fixture = Fixture(react)
        request = make_request(fixture.timer.read_clock(), idempotent=False)
        request = request._replace(caller=request.caller._replace(key="k"))
        fixture.mirror.keys["k"] = fake.key.Key("k", "c", "", 0.0)
        task = fixture.serve(request)
        await fixture.timer.settle()
        fixture.mirror.confirmed = False
        senders[0](exchange.Ready(0))
        await fixture.timer.settle()
        self.assertTrue(task.exception().not_run)
        self.assertEqual(fixture.list_sent(exchange.Go), [])

    async def test_request_that_crashed_two_upstreams_is_not_tried_again(self):
        fixture = Fixture(lambda item, send: send(DIED))
        fixture.gate.admitted, fixture.gate.refusal = 2, make_refusal()
        failure = await fixture.run(make_request(fixture.timer.read_clock()))
        offers = sorted(
            fixture.list_sent(exchange.Offer), key=lambda each: each.attempt
        )
        self.assertEqual(len(offers), 2)
        self.assertEqual([each[2] for each in fixture.gate.asked], [False, True, True])
        self.assertEqual(failure.kind, error.Kind.UPSTREAM_FAILED)
        self.assertFalse(failure.not_run)
        self.assertEqual(fixture.gate.sound, [])
        self.assertEqual(fixture.gate.released, ["req-1"])

    async def test_trial_is_offered_alone_and_a_quarantined_request_not_at_all(self):
        fixture = Fixture(lambda item, send: send_answer(send))
        fixture.gate.is_trial = True
        request = make_request(fixture.timer.read_clock())
        request = request._replace(parts=("p",))
        await fixture.run(request)
        (offer,) = fixture.list_sent(exchange.Offer)
        self.assertTrue(offer.alone)
        self.assertEqual(offer.traits, ("f", *trait.make_part_traits("m", "p")))
        self.assertEqual(fixture.gate.sound, [offer.traits])
        fixture.gate.refusal = make_refusal()
        failure = await fixture.run(make_request(fixture.timer.read_clock()))
        self.assertEqual(failure.kind, error.Kind.REQUEST_QUARANTINED)
        self.assertEqual((failure.not_run, failure.retry_after), (True, 9.0))
        self.assertEqual(len(fixture.list_sent(exchange.Offer)), 1)

    async def test_a_request_quarantined_while_it_waits_gets_no_permission(self):
        def react(item, send):
            if isinstance(item, exchange.Offer):
                send(exchange.Ready(0))

        fixture = Fixture(react)
        fixture.gate.admitted, fixture.gate.refusal = 1, make_refusal()
        request = make_request(fixture.timer.read_clock(), idempotent=False)
        failure = await fixture.run(request)
        self.assertEqual(failure.kind, error.Kind.REQUEST_QUARANTINED)
        self.assertTrue(failure.not_run)
        self.assertEqual(fixture.list_sent(exchange.Go), [])

    async def test_only_a_successful_whole_answer_proves_a_request(self):
        for status, expected in ((200, [("f",)]), (404, []), (500, [])):
            fixture = Fixture(lambda item, send, s=status: send_answer(send, status=s))
            await fixture.run(make_request(fixture.timer.read_clock()))
            self.assertEqual(fixture.gate.sound, expected)

    async def test_leaving_or_unreachable_upstreams_get_nothing(self):
        fixture = Fixture(lambda item, send: send_answer(send))
        fixture.mirror.leaving.add("u1")
        load = fixture.links["u2"].load
        fixture.links["u2"].load = load._replace(leaving=True)
        fixture.links["u3"].load = None
        failure = await fixture.run(make_request(fixture.timer.read_clock()))
        self.assertEqual(failure.kind, error.Kind.NO_UPSTREAM)
        self.assertEqual(fixture.list_sent(exchange.Offer), [])

    async def test_upstreams_of_an_evacuated_domain_get_nothing_until_its_end(self):
        fixture = Fixture(lambda item, send: send_answer(send))
        domains = tuple(fixture.mirror.fleet.failure_domains)
        fixture.mirror.evacuated = Evacuated(1, domains)
        failure = await fixture.run(make_request(fixture.timer.read_clock()))
        self.assertEqual(failure.kind, error.Kind.NO_UPSTREAM)
        self.assertEqual(fixture.list_sent(exchange.Offer), [])
        fixture.mirror.evacuated = Evacuated(2, ())
        request = make_request(fixture.timer.read_clock())
        self.assertIsNone(await fixture.run(request))

    async def test_answer_credit_is_given_as_the_caller_reads(self):
        def react(item, send):
            if isinstance(item, exchange.Offer):
                send(exchange.Head(0, 200, ()))
                for _ in range(8):
                    send(exchange.Data(0, bytes(32 * 1024)))
                send(exchange.End(0))

        fixture = Fixture(react)
        await fixture.run(make_request(fixture.timer.read_clock()))
        credits = fixture.list_sent(exchange.Credit)
        self.assertEqual(sum(item.size for item in credits), 8 * 32 * 1024)


def render_events(tokens, usage, first_id):
    """Return the events of a complete answer from one replica."""
    parts = []
    for text in tokens:
        choice = {"index": 0, "delta": {"content": text}, "finish_reason": None}
        parts.append({"id": first_id, "choices": [choice]})
    choice = {"index": 0, "delta": {}, "finish_reason": "stop"}
    parts.append({"id": first_id, "choices": [choice]})
    if usage:
        parts.append({"id": first_id, "choices": [], "usage": {"n": len(tokens)}})
    return [b"data: " + json.dumps(part).encode() for part in parts] + [b"data: [DONE]"]


class ResumeTest(unittest.TestCase):
    @FAST
    @given(
        st.integers(0, 6),
        st.booleans(),
        st.lists(
            st.tuples(st.integers(0, 900), st.sampled_from(["lost", "broke", "end"])),
            max_size=3,
        ),
        st.integers(1, 64),
        st.sampled_from([b"\n\n", b"\r\n\r\n"]),
    )
    def test_cut_stream_comes_whole_once(self, count, usage, cuts, size, line):
        asyncio.run(self.check(count, usage, cuts, size, line))

    async def check(self, count, usage, cuts, size, line):
        tokens = [f"t{number} " for number in range(count)]
        pending = list(cuts)
        replicas = itertools.count()

        def react(item, send):
            if not isinstance(item, exchange.Offer):
                return
            done = json.loads(item.body).get("seam_resume_from", 0)
            events = render_events(tokens, usage, f"id-{next(replicas)}")[done:]
            data = line.join(events) + line
            send(exchange.Head(0, 200, EVENTS))
            position, way = pending.pop(0) if pending else (len(data), "end")
            position = min(position, len(data))
            for start in range(0, position, size):
                send(exchange.Data(0, data[start : min(start + size, position)]))
            last = {"lost": link.LinkLost(0), "broke": BROKEN, "end": exchange.End(0)}
            send(last[way])

        fixture = Fixture(react)
        request = make_request(
            fixture.timer.read_clock(), streamed=True, body=b'{"stream":true}'
        )
        failure = await fixture.run(request)
        self.assertIsNone(failure)
        expected = render_events(tokens, usage, "id-0")
        got = [event for event in fixture.sink.body.split(b"\n\n") if event]
        self.assertEqual(
            [self.read(event) for event in got],
            [self.read(event) for event in expected],
        )
        self.assertTrue(fixture.sink.is_complete)

    def read(self, event):
        data = event[len(b"data: ") :]
        if data == b"[DONE]":
            return "done"
        document = json.loads(data)
        # All events have the id of the first replica that sent an event.
        document.pop("id")
        return document

    async def resume(self, second):
        """Cut a stream after one token; `second` answers the next offer."""
        events = render_events(["a ", "b "], False, "id-0")
        offers = []

        def react(item, send):
            if not isinstance(item, exchange.Offer):
                return
            offers.append(item)
            if len(offers) == 1:
                send(exchange.Head(0, 200, EVENTS))
                send(exchange.Data(0, events[0] + b"\n\n" + events[1][:9]))
                send(link.LinkLost(0))
            else:
                second(item, send)

        fixture = Fixture(react)
        request = make_request(
            fixture.timer.read_clock(), streamed=True, body=b'{"stream":true}'
        )
        return fixture, await fixture.run(request)

    def test_error_body_of_another_replica_never_reaches_the_stream(self):
        def second(item, send):
            send_answer(send, b'{"error": "no"}', 500)

        fixture, failure = asyncio.run(self.resume(second))
        self.assertNotIn(b"error", fixture.sink.body)
        self.assertEqual(failure.kind, error.Kind.UPSTREAM_FAILED)

    def test_answer_that_is_no_continuation_never_reaches_the_stream(self):
        rest = b"\n\n".join(render_events(["a ", "b "], False, "id-1")[1:]) + b"\n\n"
        for name, status, headers, body in (
            ("text", 200, (("Content-Type", "text/plain"),), b"sorry"),
            ("json", 200, (), b'{"error": "sorry"}'),
            ("no content", 204, (), b""),
            ("error event", 200, EVENTS, b'data: {"error": "sorry"}\n\n' + rest),
            ("no json", 200, EVENTS, b"data: sorry\n\n" + rest),
            ("text as an event", 200, EVENTS, b"sorry\n\n" + rest),
            ("head", 200, EVENTS, b"HTTP/1.1 500 sorry\r\nA: b\r\n\r\n" + rest),
            ("empty", 200, EVENTS, b""),
            ("comments", 200, EVENTS, b": sorry\n\n"),
            ("only the end", 200, EVENTS, b"data: [DONE]\n\n"),
            ("no end", 200, EVENTS, rest[:9]),
        ):

            def second(item, send, s=status, h=headers, b=body):
                send_answer(send, b, s, h)

            with self.subTest(name):
                fixture, failure = asyncio.run(self.resume(second))
                self.assertNotIn(b"sorry", fixture.sink.body)
                self.assertFalse(fixture.sink.is_complete)
                self.assertEqual(failure.kind, error.Kind.UPSTREAM_FAILED)

    def test_stream_goes_on_after_an_answer_that_is_no_continuation(self):
        events = render_events(["a ", "b "], True, "id-0")
        answers = [(b"data: sorry\n\n", EVENTS), (b"sorry", ())]

        def second(item, send):
            if answers:
                body, headers = answers.pop()
                send_answer(send, body, headers=headers)
                return
            done = json.loads(item.body)["seam_resume_from"]
            rest = b": x\n\n" + b"\n\n".join(events[done:]) + b"\n\n"
            send_answer(send, rest, headers=EVENTS)

        fixture, failure = asyncio.run(self.resume(second))
        self.assertIsNone(failure)
        got = [event for event in fixture.sink.body.split(b"\n\n") if event]
        self.assertEqual(got, events)

    async def answer_without_end(self, repeated):
        """Answer the first offer without end; return all offers and the body."""
        offers = []

        def react(item, send):
            if not isinstance(item, exchange.Offer):
                return
            offers.append(item)
            if len(offers) > 1:
                events = render_events(["a ", "b "], False, "id-1")
                send_answer(send, b"\n\n".join(events) + b"\n\n", headers=EVENTS)
                return
            send(exchange.Head(0, 200, EVENTS))
            for _ in range(64):
                send(exchange.Data(0, repeated * 64 * 1024))

        fixture = Fixture(react)
        request = make_request(
            fixture.timer.read_clock(), streamed=True, body=b'{"stream":true}'
        )
        self.assertIsNone(await fixture.run(request))
        return offers, fixture.sink.body

    def test_an_event_without_end_is_left_for_another_replica(self):
        for repeated in (b"x", b"\n"):
            offers, body = asyncio.run(self.answer_without_end(repeated))
            self.assertEqual(len(offers), 2)
            self.assertEqual(body.count(b"id-1"), 3)

    def test_all_events_keep_the_first_id(self):
        def second(item, send):
            done = json.loads(item.body)["seam_resume_from"]
            events = render_events(["a ", "b "], False, "other")[done:]
            send_answer(send, b"\n\n".join(events) + b"\n\n", headers=EVENTS)

        fixture, failure = asyncio.run(self.resume(second))
        self.assertIsNone(failure)
        self.assertNotIn(b"other", fixture.sink.body)
        self.assertEqual(fixture.sink.body.count(b"id-0"), 3)

    async def resume_during_rollout(self, keeps_first):
        """Cut a stream while its model moves on; return the fixture and the offers.

        All upstreams but the first one serve the next version then, and also the
        first one unless `keeps_first`.
        """
        events = render_events(["a ", "b "], False, "id-0")
        offers = []

        def move_on(first):
            found = fixture.mirror.fleet
            upstreams = {
                name: each._replace(version="m-2")
                if each.version and (name != first or not keeps_first)
                else each
                for name, each in found.upstreams.items()
            }
            models = {"m": found.models["m"]._replace(version="m-2")}
            fixture.mirror.fleet = found._replace(upstreams=upstreams, models=models)

        def react(item, send):
            if not isinstance(item, exchange.Offer):
                return
            name = next(
                name for name, each in fixture.links.items() if item in each.sent
            )
            offers.append(name)
            if len(offers) == 1:
                move_on(name)
                send(exchange.Head(0, 200, EVENTS))
                send(exchange.Data(0, events[0] + b"\n\n"))
                send(link.LinkLost(0))
                return
            done = json.loads(item.body)["seam_resume_from"]
            send_answer(send, b"\n\n".join(events[done:]) + b"\n\n", headers=EVENTS)

        fixture = Fixture(react)
        request = make_request(
            fixture.timer.read_clock(), streamed=True, body=b'{"stream":true}'
        )
        return await fixture.run(request), offers

    def test_stream_continues_at_the_model_version_that_began_it(self):
        failure, offers = asyncio.run(self.resume_during_rollout(True))
        self.assertIsNone(failure)
        self.assertEqual(offers[0], offers[1])

    def test_stream_is_not_continued_at_another_model_version(self):
        failure, offers = asyncio.run(self.resume_during_rollout(False))
        self.assertIsNotNone(failure)
        self.assertEqual(len(offers), 1)

    def test_stream_whose_tokens_cannot_be_counted_is_cut_not_garbled(self):
        async def check():
            event = {"id": "i", "choices": [{"index": 1, "delta": {"content": "x"}}]}
            data = b"data: " + json.dumps(event).encode() + b"\n\n"

            def react(item, send):
                send(exchange.Head(0, 200, EVENTS))
                send(exchange.Data(0, data))
                send(BROKEN)

            fixture = Fixture(react)
            body = b'{"stream":true,"n":2}'
            request = make_request(fixture.timer.read_clock(), streamed=True, body=body)
            failure = await fixture.run(request)
            self.assertIsNotNone(failure)
            self.assertEqual(len(fixture.list_sent(exchange.Offer)), 1)

        asyncio.run(check())

    async def cut(self, begun):
        """Cut a stream after `begun`; return the offers and the body."""
        events = render_events(["a ", "b "], False, "id-0")

        def react(item, send):
            if fixture.sink.body:
                done = json.loads(item.body).get("seam_resume_from", 0)
                rest = b"\n\n".join(events[done:]) + b"\n\n"
                send_answer(send, rest, headers=EVENTS)
                return
            send(exchange.Head(0, 200, EVENTS))
            send(exchange.Data(0, begun.replace(b"EVENT", events[0])))
            send(BROKEN)

        fixture = Fixture(react)
        body = b'{"stream":true}'
        request = make_request(fixture.timer.read_clock(), streamed=True, body=body)
        await fixture.run(request)
        return len(fixture.list_sent(exchange.Offer)), fixture.sink.body

    def test_a_stream_with_odd_events_is_passed_on(self):
        odd = (
            b'data: {"choices":[null]}',
            b'data: {"choices":[{"delta":"a"}]}',
            b'data: {"choices":[{"delta":7}]}',
            b'data: {"choices":' + b"[" * 200_000 + b"]" * 200_000 + b"}",
            b'data: {"choices":[{"text":"\\ud800"}]}',
            b'data: {"choices":[],"id":' + b"9" * 5000 + b"}",
        )
        for event in odd:

            def react(item, send, data=event):
                send(exchange.Head(0, 200, EVENTS))
                send(exchange.Data(0, data + b"\n\ndata: [DONE]\n\n"))
                send(exchange.End(0))

            async def check(script=react, data=event):
                fixture = Fixture(script)
                now = fixture.timer.read_clock()
                request = make_request(now, streamed=True, body=b'{"stream":true}')
                self.assertIsNone(await fixture.run(request))
                self.assertIn(data, fixture.sink.body)

            asyncio.run(check())

    def test_stream_with_events_that_cannot_be_counted_is_cut_not_garbled(self):
        for begun in (b": x\nEVENT\n\n", b"id: 3\nEVENT\n\n", b"retry: 3\n\nEVENT\n\n"):
            offers, body = asyncio.run(self.cut(begun))
            self.assertEqual((offers, body.count(b'"a "')), (1, 1))

    def test_comments_and_empty_lines_in_a_stream_do_not_prevent_its_resumption(self):
        for begun in (b": x\n\nEVENT\n\n", b"EVENT\n\n\n\n: y\n\n"):
            offers, body = asyncio.run(self.cut(begun))
            self.assertEqual(
                (offers, body.count(b'"a "'), body.count(b'"b "')), (2, 1, 1)
            )

    def test_plain_answer_to_a_streamed_request_is_complete(self):
        async def check():
            fixture = Fixture(lambda item, send: send_answer(send, b'{"a": 1}'))
            request = make_request(fixture.timer.read_clock(), streamed=True)
            self.assertIsNone(await fixture.run(request))
            self.assertEqual(fixture.sink.body, b'{"a": 1}')

        asyncio.run(check())

"""Check what callers are told, and how often a request is handed over."""

import asyncio
import itertools
import json
import random
import unittest

from hypothesis import given, settings, strategies as st

from sapphireseam.core import error, exchange
from sapphireseam.entry import forwarder, link
from sapphireseam.entry.fake import FakeLink, FakeSink, make_future, make_request
from sapphireseam.policy import registry
from sapphireseam.tools import fake
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


class World:
    """Put a forwarder before agents that react as a test says."""

    def __init__(self, react):
        self.timer = FakeTimer()
        self.mirror = fake.FakeMirror(DOCUMENT)
        numbers = itertools.count(1)
        self.links = {
            name: FakeLink(name, react, numbers) for name in self.mirror.fleet.upstreams
        }
        rng = random.Random(1)
        self.forwarder = forwarder.Forwarder(
            "d",
            self.mirror,
            self.links,
            Timeline("e", self.timer),
            self.timer,
            rng,
            lambda name: registry.build({"router": name}, "router", rng),
        )
        self.sink = FakeSink()
        self.stopped = make_future()

    def serve(self, ask):
        work = self.forwarder.serve(ask, self.sink, self.stopped)
        return asyncio.create_task(work)

    async def run(self, ask, seconds=60.0):
        """Return the error that the request ends with, or nothing."""
        task = self.serve(ask)
        for _ in range(int(seconds * 4)):
            await self.timer.advance(0.25)
            if task.done():
                break
        await asyncio.wait({task}, timeout=0)
        if not task.done():
            task.cancel()
            raise AssertionError("the request has no end")
        return task.exception()

    def list_sent(self, kind):
        return [item for each in self.links.values() for item in each.list_sent(kind)]


def answer_whole(bring, body=b"whole", status=200, headers=()):
    bring(exchange.Head(0, status, headers))
    bring(exchange.Data(0, body))
    bring(exchange.End(0))


class Script:
    """Let each attempt end as listed; the last way goes on for ever."""

    def __init__(self, ways):
        self.ways = list(ways)
        self.may_have_run = 0
        self.way = ""

    def react(self, item, bring):
        if isinstance(item, exchange.Offer):
            self.way = self.ways.pop(0) if len(self.ways) > 1 else self.ways[0]
            if item.ask and self.way not in ("lost before", "refused", "silent"):
                bring(exchange.Ready(0))
                return
            self.end(bring, item.ask)
        elif isinstance(item, exchange.Go):
            self.end(bring, False)

    def end(self, bring, asking):
        """Go on after the hand-over, or before it while the agent asks."""
        match self.way:
            case "refused" | "not run":
                bring(REFUSED)
            case "lost before" | "lost":
                self.may_have_run += not asking
                bring(link.LinkLost(0))
            case "silent":
                self.may_have_run += not asking
            case "broke":
                self.may_have_run += 1
                bring(BROKEN)
            case "busy":
                self.may_have_run += 1
                bring(exchange.Head(0, 503, ()))
            case "whole":
                self.may_have_run += 1
                answer_whole(bring)


WAYS = ["refused", "not run", "lost before", "lost", "silent", "broke", "busy", "whole"]


class TruthTest(unittest.TestCase):
    @FAST
    @given(st.lists(st.sampled_from(WAYS), min_size=1, max_size=4), st.booleans())
    def test_not_run_is_true_and_once_only_routes_run_once(self, ways, idempotent):
        asyncio.run(self.check(ways, idempotent))

    async def check(self, ways, idempotent):
        script = Script(ways)
        world = World(script.react)
        ask = make_request(world.timer.read_clock(), idempotent)
        failure = await world.run(ask)
        if failure is None:
            self.assertTrue(world.sink.whole)
        else:
            self.assertIsInstance(failure, error.SeamError)
            if failure.not_run:
                self.assertEqual(script.may_have_run, 0)
        if not idempotent:
            self.assertLessEqual(script.may_have_run, 1)
        if failure is not None and (idempotent or failure.not_run):
            self.assertGreater(failure.retry_after, 0)


class ForwarderTest(unittest.IsolatedAsyncioTestCase):
    async def test_refusals_end_at_once_with_a_time_to_come_back(self):
        world = World(lambda item, bring: bring(REFUSED))
        start = world.timer.read_clock()
        failure = await world.run(make_request(start))
        self.assertTrue(failure.not_run)
        self.assertEqual(failure.retry_after, 1.0)
        self.assertLess(world.timer.read_clock() - start, 2.0)

    async def test_retries_stay_within_the_budget_of_their_route(self):
        world = World(lambda item, bring: bring(BROKEN))
        for _ in range(40):
            world.sink = FakeSink()
            await world.run(make_request(world.timer.read_clock()))
        offers = len(world.list_sent(exchange.Offer))
        allowed = forwarder.LEAST_RETRIES + 40 * 0.2
        self.assertLessEqual(offers, 40 + allowed * 1.5)

    async def test_stop_before_the_hand_over_is_not_run(self):
        world = World(lambda item, bring: None)
        task = world.serve(make_request(world.timer.read_clock(), idempotent=False))
        await world.timer.advance(1.0)
        world.stopped.set_result(error.AccessError("withdrawn"))
        await world.timer.advance(0.1)
        self.assertTrue(task.exception().not_run)
        self.assertEqual(len(world.list_sent(exchange.Revoke)), 1)

    async def test_stop_after_the_hand_over_is_not_called_not_run(self):
        def react(item, bring):
            if isinstance(item, exchange.Offer):
                bring(exchange.Ready(0))

        world = World(react)
        task = world.serve(make_request(world.timer.read_clock(), idempotent=False))
        await world.timer.advance(1.0)
        world.stopped.set_result(error.AccessError("withdrawn"))
        await world.timer.advance(0.1)
        self.assertFalse(task.exception().not_run)

    async def test_stop_between_attempts_ends_the_request(self):
        world = World(lambda item, bring: bring(REFUSED))
        task = world.serve(make_request(world.timer.read_clock()))
        await world.timer.settle()
        world.stopped.set_result(error.AccessError("withdrawn"))
        await world.timer.settle()
        self.assertEqual(task.exception().kind, error.Kind.KEY_INVALID)

    async def test_entry_frozen_past_the_deadline_hands_nothing_over(self):
        """Freeze the entry between the agent's question and its answer."""
        questions = []

        def react(item, bring):
            if isinstance(item, exchange.Offer):
                questions.append(bring)

        world = World(react)
        ask = make_request(world.timer.read_clock(), idempotent=False)
        task = world.serve(ask)
        await world.timer.settle()
        world.timer._now += 100.0
        questions[0](exchange.Ready(0))
        await world.timer.settle()
        self.assertTrue(task.exception().not_run)
        self.assertEqual(world.list_sent(exchange.Go), [])

    async def test_entry_that_lost_the_control_vms_hands_nothing_over(self):
        questions = []

        def react(item, bring):
            if isinstance(item, exchange.Offer):
                questions.append(bring)

        world = World(react)
        ask = make_request(world.timer.read_clock(), idempotent=False)
        ask = ask._replace(caller=ask.caller._replace(key="k"))
        world.mirror.keys["k"] = fake.key.Key("k", "c", "", 0.0)
        task = world.serve(ask)
        await world.timer.settle()
        world.mirror.confirmed = False
        questions[0](exchange.Ready(0))
        await world.timer.settle()
        self.assertTrue(task.exception().not_run)
        self.assertEqual(world.list_sent(exchange.Go), [])

    async def test_request_that_crashed_two_upstreams_is_not_tried_again(self):
        world = World(lambda item, bring: bring(DIED))
        failure = await world.run(make_request(world.timer.read_clock()))
        offers = sorted(world.list_sent(exchange.Offer), key=lambda each: each.attempt)
        self.assertEqual([offer.alone for offer in offers], [False, True])
        self.assertEqual(failure.kind, error.Kind.REQUEST_QUARANTINED)
        self.assertFalse(failure.not_run)

    async def test_suspect_is_offered_alone_and_a_quarantined_one_not_at_all(self):
        world = World(lambda item, bring: answer_whole(bring))
        world.mirror.suspects.add("f")
        await world.run(make_request(world.timer.read_clock()))
        self.assertTrue(world.list_sent(exchange.Offer)[0].alone)
        world.mirror.quarantined.add("f")
        failure = await world.run(make_request(world.timer.read_clock()))
        self.assertTrue(failure.not_run)
        self.assertEqual(len(world.list_sent(exchange.Offer)), 1)

    async def test_leaving_upstreams_get_nothing_by_each_of_three_ways(self):
        world = World(lambda item, bring: answer_whole(bring))
        world.mirror.leaving.add("u1")
        load = world.links["u2"].load
        world.links["u2"].load = load._replace(leaving=True)
        world.links["u3"].load = None
        failure = await world.run(make_request(world.timer.read_clock()))
        self.assertEqual(failure.kind, error.Kind.NO_UPSTREAM)
        self.assertEqual(world.list_sent(exchange.Offer), [])

    async def test_answer_credit_is_given_as_the_caller_takes_it(self):
        def react(item, bring):
            if isinstance(item, exchange.Offer):
                bring(exchange.Head(0, 200, ()))
                for _ in range(8):
                    bring(exchange.Data(0, bytes(32 * 1024)))
                bring(exchange.End(0))

        world = World(react)
        await world.run(make_request(world.timer.read_clock()))
        credits = world.list_sent(exchange.Credit)
        self.assertEqual(sum(item.size for item in credits), 8 * 32 * 1024)


def render_events(tokens, usage, first_id):
    """Return the events of an answer from a replica that runs all of it."""
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

        def react(item, bring):
            if not isinstance(item, exchange.Offer):
                return
            done = json.loads(item.body).get("seam_resume_from", 0)
            events = render_events(tokens, usage, f"id-{next(replicas)}")[done:]
            data = line.join(events) + line
            bring(exchange.Head(0, 200, EVENTS))
            place, way = pending.pop(0) if pending else (len(data), "end")
            place = min(place, len(data))
            for start in range(0, place, size):
                bring(exchange.Data(0, data[start : min(start + size, place)]))
            last = {"lost": link.LinkLost(0), "broke": BROKEN, "end": exchange.End(0)}
            bring(last[way])

        world = World(react)
        ask = make_request(
            world.timer.read_clock(), streamed=True, body=b'{"stream":true}'
        )
        failure = await world.run(ask)
        self.assertIsNone(failure)
        expected = render_events(tokens, usage, "id-0")
        got = [event for event in world.sink.body.split(b"\n\n") if event]
        self.assertEqual(
            [self.read(event) for event in got],
            [self.read(event) for event in expected],
        )
        self.assertTrue(world.sink.whole)

    def read(self, event):
        data = event[len(b"data: ") :]
        if data == b"[DONE]":
            return "done"
        document = json.loads(data)
        # The first replica to send an event names the answer.
        document.pop("id")
        return document

    async def resume(self, second):
        """Cut a stream after one token; let `second` answer the next offer."""
        events = render_events(["a ", "b "], False, "id-0")
        offers = []

        def react(item, bring):
            if not isinstance(item, exchange.Offer):
                return
            offers.append(item)
            if len(offers) == 1:
                bring(exchange.Head(0, 200, EVENTS))
                bring(exchange.Data(0, events[0] + b"\n\n" + events[1][:9]))
                bring(link.LinkLost(0))
            else:
                second(item, bring)

        world = World(react)
        ask = make_request(
            world.timer.read_clock(), streamed=True, body=b'{"stream":true}'
        )
        return world, await world.run(ask)

    def test_error_body_of_another_replica_never_reaches_the_stream(self):
        def second(item, bring):
            answer_whole(bring, b'{"error": "no"}', 500)

        world, failure = asyncio.run(self.resume(second))
        self.assertNotIn(b"error", world.sink.body)
        self.assertEqual(failure.kind, error.Kind.UPSTREAM_FAILED)

    def test_all_events_keep_the_first_id(self):
        def second(item, bring):
            done = json.loads(item.body)["seam_resume_from"]
            events = render_events(["a ", "b "], False, "other")[done:]
            answer_whole(bring, b"\n\n".join(events) + b"\n\n", headers=EVENTS)

        world, failure = asyncio.run(self.resume(second))
        self.assertIsNone(failure)
        self.assertNotIn(b"other", world.sink.body)
        self.assertEqual(world.sink.body.count(b"id-0"), 3)

    def test_stream_whose_tokens_cannot_be_counted_is_cut_not_garbled(self):
        async def check():
            event = {"id": "i", "choices": [{"index": 1, "delta": {"content": "x"}}]}
            data = b"data: " + json.dumps(event).encode() + b"\n\n"

            def react(item, bring):
                bring(exchange.Head(0, 200, EVENTS))
                bring(exchange.Data(0, data))
                bring(BROKEN)

            world = World(react)
            body = b'{"stream":true,"n":2}'
            ask = make_request(world.timer.read_clock(), streamed=True, body=body)
            failure = await world.run(ask)
            self.assertIsNotNone(failure)
            self.assertEqual(len(world.list_sent(exchange.Offer)), 1)

        asyncio.run(check())

    def test_plain_answer_to_a_streamed_request_comes_whole(self):
        async def check():
            world = World(lambda item, bring: answer_whole(bring, b'{"a": 1}'))
            ask = make_request(world.timer.read_clock(), streamed=True)
            self.assertIsNone(await world.run(ask))
            self.assertEqual(world.sink.body, b'{"a": 1}')

        asyncio.run(check())

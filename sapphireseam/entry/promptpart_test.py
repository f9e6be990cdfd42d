"""Test that a prompt part which crashes upstreams is refused on both paths."""

import asyncio
import itertools
import random
import unittest

from sapphireseam.core import error, fleet, trait
from sapphireseam.entry import direct, quarantine
from sapphireseam.entry.direct_test import FakePlacer, FakeSink
from sapphireseam.entry.fake import make_request
from sapphireseam.entry.forwarder_test import DIED, Fixture, send_answer
from sapphireseam.tools import fake
from sapphireseam.utils import crash, fakeupstream, metric, outbound
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import SystemTimer

STREAM = fleet.Route("/s/", "llm", streamed=True, idempotent=False, attempts=1)
BAD, SHARED = "bad", "shared"
# Crashes after which the part must be refused.
CRASHES = 5
ROUNDS = 12
# Time between requests with the bad part, in seconds.
PAUSE = 0.3


class Control(fake.FakeControl):
    """Control VMs whose verdicts reach all mirrors at once."""

    def __init__(self, timer, mirrors):
        super().__init__(timer)
        self._mirrors = mirrors

    async def propose(self, item, deadline=0.0):
        try:
            return await super().propose(item, deadline)
        finally:
            for mirror in self._mirrors:
                mirror.verdicts = dict(self.machine.state.verdicts)
                mirror.notify()


class CrashingUpstream(fakeupstream.FakeUpstream):
    """An upstream that a bad part crashes once it begins to answer."""

    def __init__(self, name):
        super().__init__(name)
        self.crashes = 0
        self._writers = set()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        await super()._serve(reader, writer)
        self._writers.discard(writer)

    async def _stream_answer(self, reader, writer, run, behaviour):
        if BAD not in run.headers["Parts"]:
            return await super()._stream_answer(reader, writer, run, behaviour)
        await asyncio.sleep(0.02)
        self.crashes += 1
        self.born += 1
        for each in self._writers:
            each.transport.abort()
        return False


class DirectPathTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = SystemTimer()
        self.upstreams = [CrashingUpstream(name) for name in ("u1", "u2", "u3")]
        self.mirrors = [fake.FakeMirror(), fake.FakeMirror()]
        self.control = Control(self.timer, self.mirrors)
        self.numbers = itertools.count()
        self.rng = random.Random(1)
        for upstream in self.upstreams:
            await upstream.start()
            self.addAsyncCleanup(upstream.stop)
        self.entries = [self.build_entry(mirror) for mirror in self.mirrors]

    def build_entry(self, mirror):
        pool = outbound.ConnectionPool(fakeupstream.FakeDialect())
        self.addAsyncCleanup(pool.stop)
        gate = quarantine.QuarantineGate(mirror, self.control, self.timer)
        self.addAsyncCleanup(gate.stop)
        timeline = Timeline("e", self.timer)
        detector = crash.CrashDetector(
            mirror, self.control, timeline, self.timer, self.has_ended
        )
        self.addAsyncCleanup(detector.stop)
        placer = FakePlacer(self.upstreams)
        meter = metric.Meter("e")
        return direct.DirectForwarder(
            placer, pool, meter, self.timer, self.rng, gate, detector
        )

    async def has_ended(self, run):
        runs = [crash.get_run(each.instance).name for each in self.upstreams]
        return run.name not in runs

    async def send(self, *parts):
        """Return the error that a request with these parts ends with, or None."""
        id = f"r{next(self.numbers)}"
        now = self.timer.read_clock()
        self.rng.shuffle(self.upstreams)
        request = direct.DirectRequest(
            id, "c", 0, "route", STREAM, "h", "POST", "/s/x",
            (("Parts", ",".join(parts)),), b"", now, now + 5.0,
            fingerprint=id, parts=parts,
        )  # fmt: skip
        try:
            await self.rng.choice(self.entries).serve(request, FakeSink())
        except error.SeamError as failure:
            return failure
        return None

    async def test_a_bad_prompt_part_is_refused_and_what_it_shares_is_served(self):
        refused = 0
        for number in range(ROUNDS):
            await self.send(SHARED, f"own {number}")
            beside = asyncio.create_task(self.send(SHARED, f"beside {number}"))
            failure = await self.send(SHARED, BAD)
            await beside
            await asyncio.sleep(PAUSE)
            if failure.kind is error.Kind.REQUEST_QUARANTINED:
                self.assertTrue(failure.not_run and failure.retry_after)
                refused += 1
        crashes = sum(upstream.crashes for upstream in self.upstreams)
        self.assertLessEqual(crashes, CRASHES)
        self.assertEqual(refused, ROUNDS - crashes)
        for number in range(ROUNDS):
            self.assertIsNone(await self.send(SHARED, f"later {number}"))


class AgentPathTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_bad_prompt_part_is_refused_and_what_it_shares_is_served(self):
        crashes = 0

        def react(item, send):
            nonlocal crashes
            if bad in item.parts:
                crashes += 1
                tasks.append(asyncio.create_task(fail(item, send)))
            else:
                send_answer(send)

        async def fail(item, send):
            with detector.open(crash.Run("u")) as running:
                await running.detect_crash(item.traits)
            send(DIED)

        async def has_ended(run):
            return True

        (bad,) = trait.make_part_traits("m", [BAD])
        tasks = []
        fixture = Fixture(react)
        timer, mirror = fixture.timer, fixture.mirror
        control = Control(timer, [mirror])
        gate = quarantine.QuarantineGate(mirror, control, timer)
        fixture.forwarder._gate = gate
        timeline = Timeline("a", timer)
        detector = crash.CrashDetector(mirror, control, timeline, timer, has_ended)
        self.addAsyncCleanup(detector.stop)
        self.addAsyncCleanup(gate.stop)
        failures = []
        for number in range(ROUNDS):
            for parts in ((SHARED, f"own {number}"), (SHARED, BAD)):
                request = make_request(timer.read_clock())._replace(
                    id=f"req-{number}{parts[1]}",
                    fingerprint=f"{number}{parts[1]}",
                    parts=parts,
                )
                fixture.sink = type(fixture.sink)()
                failures.append(await fixture.run(request))
        self.assertEqual(failures[::2], [None] * ROUNDS)
        self.assertLessEqual(crashes, CRASHES)
        kinds = [failure.kind for failure in failures[1::2]]
        self.assertEqual(
            kinds[CRASHES:], [error.Kind.REQUEST_QUARANTINED] * (ROUNDS - CRASHES)
        )
        self.assertTrue(
            all(failure.not_run for failure in failures[2 * CRASHES + 1 :: 2])
        )


if __name__ == "__main__":
    unittest.main()

"""Tests that a prompt part which crashes upstreams stops doing so on both paths.

All times of the target are halved here: upstreams are back after 1 s, and a verdict
must be known everywhere 1.5 s after the fifth crash.
"""

import asyncio
import contextlib
import itertools
import json
import random
import signal
import tempfile
import time
import unittest
from pathlib import Path

import aiohttp

from sapphireseam.core import fleet as configuration
from sapphireseam.ops import session
from sapphireseam.policy import blame
from sapphireseam.scripts import demo
from sapphireseam.tools import discovered, fleet, layout, promptpart
from sapphireseam.utils import loop

SEED = 1
TIMES = promptpart.Times()
DOWN_SECONDS = 1.0
# Requests that are sent once a verdict must be known.
LATER = 8
MODEL = "wording-llm"
ITEMS = 60
# Volleys of one request that crashes upstreams, and the time between two of them, in
# seconds. Each is sent to all entries at once.
VOLLEYS, VOLLEY_SECONDS = 6, 2.5
# Crashes after which a request must be refused.
REQUEST_CRASHES = 3
# Rounds of plain requests, how many are sent at once, and how many rounds differ.
ROUNDS, AT_ONCE, DISTINCT = 40, 2, 4
SHAPE = layout.Shape(
    "ie-south",
    (layout.Replicas(MODEL, 4), layout.Replicas("label-store", 3, True)),
    ("grower-1",),
    rate=2000.0,
    burst=4000.0,
)
PLAIN = configuration.Route("/p/", "llm", attempts=2)
STREAM = configuration.Route("/s/", "llm", streamed=True, idempotent=False)


async def crash_until_refused(send):
    """Send requests with the bad part until one is refused for long because of it."""
    async with asyncio.timeout(fleet.STEP_SECONDS):
        for number in itertools.count():
            parts = (promptpart.SHARED, promptpart.BAD, f"unlike {number}")
            outcome = await send(parts[-1], parts)
            is_refused = outcome.code == promptpart.QUARANTINED
            if is_refused and outcome.retry_after > TIMES.contact:
                return
            await asyncio.sleep(TIMES.bad_period)


def find_late(record):
    """Return when a request reached upstreams although it had to be refused."""
    crashes = sorted(record.crashes)
    if len(crashes) < REQUEST_CRASHES:
        return []
    since = crashes[REQUEST_CRASHES - 1] + TIMES.contact
    return [at for at in record.arrivals if at > since]


class CrashUntilRefusedTest(unittest.IsolatedAsyncioTestCase):
    async def test_only_a_refusal_because_of_the_part_shows_that_the_verdict_stands(
        self,
    ):
        answers = [
            promptpart.Outcome(0.0, False, 503, "no_upstream", 2.0, True),
            promptpart.Outcome(0.0, False, 503, promptpart.QUARANTINED, 0.5, True),
            promptpart.Outcome(0.0, False, 503, promptpart.QUARANTINED, 60.0, True),
        ]

        async def send(id, parts):
            return answers.pop(0)

        await crash_until_refused(send)
        self.assertEqual(answers, [])


class DirectPathTest(unittest.TestCase):
    """Runs on the programs' event loop, as all of them share one process."""

    def run_fleet(self, work):
        """Run a coroutine function with a running fleet."""

        async def run():
            with tempfile.TemporaryDirectory() as folder:
                self.fleet = discovered.DiscoveredFleet(Path(folder), 6, 3)
                self.rng = random.Random(SEED)
                for upstream in self.fleet.upstreams:
                    upstream.bad_parts = frozenset({promptpart.BAD})
                    upstream.down_seconds = DOWN_SECONDS
                    upstream.crash_delay = upstream.event_delay = 0.05
                await self.fleet.start()
                try:
                    await work()
                finally:
                    await self.fleet.stop()

        loop.run(run())

    async def send(self, id, parts):
        entry = self.rng.randrange(len(self.fleet.entries))
        reply = await self.fleet.send(entry, discovered.Request(id, STREAM, parts))
        if reply.failure is None:
            return promptpart.Outcome(reply.sent, True)
        return promptpart.Outcome(
            reply.sent,
            reply.events > 0,
            reply.failure.answer.status,
            str(reply.failure.kind),
            reply.failure.retry_after,
            reply.failure.not_run,
        )

    async def read_record(self):
        upstreams = self.fleet.upstreams
        return promptpart.Record(
            tuple(each.at for upstream in upstreams for each in upstream.crashes),
            tuple(each.at for upstream in upstreams for each in upstream.bad_arrivals),
        )

    def test_a_prompt_part_does_not_crash_one_upstream_after_another(self):
        async def play():
            play = promptpart.Play(self.send, self.read_record, TIMES, self.rng)
            self.assertEqual(await play.run(), [], play.describe())

        self.run_fleet(play)

    def test_an_upstream_behind_a_sidecar_is_seen_to_crash(self):
        async def play():
            for upstream in self.fleet.upstreams:
                upstream.has_sidecar = True
            play = promptpart.Play(self.send, self.read_record, TIMES, self.rng)
            self.assertEqual(await play.run(), [], play.describe())

        self.run_fleet(play)

    def test_volleys_of_one_request_crash_no_more_upstreams_under_a_new_leader(self):
        async def send(entry, id):
            request = discovered.Request(id, STREAM, (promptpart.BAD,), body=b"same")
            await self.fleet.send(entry, request)

        async def play():
            entries = range(len(self.fleet.entries))
            for volley in range(VOLLEYS):
                sends = [send(entry, f"{volley}-{entry}") for entry in entries]
                await asyncio.gather(*sends)
                if volley == 0:
                    await self.fleet.restart_leader()
                await asyncio.sleep(VOLLEY_SECONDS)
            record = await self.read_record()
            self.assertGreaterEqual(len(record.crashes), blame.FINGERPRINT_STRIKES)
            self.assertLessEqual(len(find_late(record)), promptpart.MAX_LATE)

        self.run_fleet(play)

    def test_a_verdict_is_not_forgotten_by_new_leaders_and_entries(self):
        async def replace():
            await crash_until_refused(self.send)
            await self.fleet.restart_leader()
            for number in range(len(self.fleet.entries)):
                await self.fleet.restart_entry(number)
            before = await self.read_record()
            for number in range(LATER):
                parts = (promptpart.SHARED, promptpart.BAD, f"later {number}")
                outcome = await self.send(parts[-1], parts)
                self.assertEqual(outcome.code, promptpart.QUARANTINED)
            self.assertEqual(await self.read_record(), before)

        self.run_fleet(replace)

    def test_resets_by_upstreams_that_stay_up_get_no_request_refused(self):
        async def reset():
            draws = random.Random(SEED)
            for upstream in self.fleet.upstreams:
                upstream.behaviours = draws.choices(["reset", "well"], [4, 6], k=1000)
            replies = []
            for number in range(ROUNDS):
                ids = [f"plain {number % DISTINCT} {each}" for each in range(AT_ONCE)]
                sends = [
                    self.fleet.send(0, discovered.Request(id, PLAIN, ("shared", id)))
                    for id in ids
                ]
                replies += await asyncio.gather(*sends)
            codes = {str(each.failure.kind) for each in replies if each.failure}
            self.assertNotIn(promptpart.QUARANTINED, codes)
            self.assertIn("upstream_failed", codes)

        self.run_fleet(reset)


class AgentPathTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, hooks):
        """Start a fleet whose stand-in upstreams have these hooks."""
        stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        self.plan = layout.lay_out(folder, SHAPE)
        upstreams = [p for p in self.plan.processes if p.program == "seam-upstream"]
        self.engines = [
            item.health.removesuffix("/health")
            for item in upstreams
            if item.node.startswith(MODEL)
        ]
        for item in upstreams:
            settings = json.loads(item.settings.read_text()) | {"hooks": hooks}
            item.settings.write_text(json.dumps(settings))
        running = await stack.enter_async_context(fleet.run(self.plan))
        self.http, self.processes = running.http, running.processes
        self.key = await session.issue_key(running.client, "grower-1", time.time())
        self.callers = [
            demo.Caller(self.http, entry, self.key.text) for entry in self.plan.entries
        ]
        for caller in self.callers:
            await caller.chat("hello", False)
        self.chats = self.make_chats(self.plan.entries)
        rng = random.Random(SEED)
        self.play = promptpart.Play(self.chats.send, self.chats.read_record, TIMES, rng)

    def make_chats(self, entries):
        return promptpart.ChatCaller(
            self.http, entries, self.engines, self.key.text, MODEL, random.Random(SEED)
        )

    async def start_job(self):
        """Submit a batch job whose items share parts with the requests."""
        lines = [
            {
                "custom_id": f"item-{number}",
                "method": "POST",
                "url": "/v1/chat/completions",
                "body": {
                    "model": MODEL,
                    "messages": [
                        {"role": "system", "content": promptpart.SHARED},
                        {"role": "user", "content": f"item {number}"},
                    ],
                    "max_tokens": promptpart.TOKENS,
                },
            }
            for number in range(ITEMS)
        ]
        form = aiohttp.FormData()
        form.add_field("purpose", "batch")
        data = "\n".join(map(json.dumps, lines)).encode()
        form.add_field("file", data, filename="lot.jsonl")
        reply = await self.callers[0].call("POST", "/v1/files", data=form)
        document = {
            "input_file_id": json.loads(reply)["id"],
            "endpoint": "/v1/chat/completions",
            "completion_window": "24h",
        }
        reply = await self.callers[0].call("POST", "/v1/batches", json=document)
        return json.loads(reply)["id"]

    async def wait_for_job(self, job):
        async with asyncio.timeout(fleet.STEP_SECONDS):
            while True:
                reply = await self.callers[0].call("GET", f"/v1/batches/{job}")
                found = json.loads(reply)
                if found["status"] not in ("validating", "in_progress", "finalizing"):
                    return found["request_counts"]
                await asyncio.sleep(fleet.POLL_SECONDS)

    async def test_a_prompt_part_does_not_crash_one_engine_after_another(self):
        hooks = {"crash_marker": promptpart.BAD, "restart_seconds": DOWN_SECONDS}
        await self.start(hooks)
        job = await self.start_job()
        self.assertEqual(await self.play.run(), [], self.play.describe())
        counts = {"total": ITEMS, "completed": ITEMS, "failed": 0}
        self.assertEqual(await self.wait_for_job(job), counts)

    async def test_an_upstream_behind_a_sidecar_is_seen_to_crash(self):
        hooks = {"crash_marker": promptpart.BAD, "restart_seconds": DOWN_SECONDS}
        await self.start(hooks | {"has_sidecar": True})
        self.assertEqual(await self.play.run(), [], self.play.describe())

    async def test_volleys_of_one_request_crash_no_more_upstreams(self):
        hooks = {"crash_marker": promptpart.BAD, "restart_seconds": DOWN_SECONDS}
        await self.start(hooks)
        at_entries = [self.make_chats([entry]) for entry in self.plan.entries]
        for _ in range(VOLLEYS):
            sends = [chats.send("", (promptpart.BAD,)) for chats in at_entries]
            await asyncio.gather(*sends)
            await asyncio.sleep(VOLLEY_SECONDS)
        record = await self.chats.read_record()
        self.assertGreaterEqual(len(record.crashes), blame.FINGERPRINT_STRIKES)
        self.assertLessEqual(len(find_late(record)), promptpart.MAX_LATE)

    async def test_a_verdict_is_not_forgotten_by_new_leaders_and_entries(self):
        hooks = {"crash_marker": promptpart.BAD, "restart_seconds": DOWN_SECONDS}
        await self.start(hooks)
        await crash_until_refused(self.chats.send)
        for item in self.plan.processes:
            if item.program in ("seam-control", "seam-entry"):
                await self.restart(item)
        before = len((await self.chats.read_record()).arrivals)
        for number in range(LATER):
            parts = (promptpart.SHARED, promptpart.BAD, f"later {number}")
            outcome = await self.chats.send(parts[-1], parts)
            self.assertEqual(outcome.code, promptpart.QUARANTINED)
        after = len((await self.chats.read_record()).arrivals)
        self.assertEqual(after, before)

    async def restart(self, item):
        """Kill a process and start it again."""
        self.processes.signal(item.node, signal.SIGKILL)
        await self.processes.running[item.node].wait()
        await self.processes.start(item)
        await fleet.wait_healthy(self.http, item.health)

    async def test_resets_by_services_that_stay_up_get_no_request_refused(self):
        await self.start({"reset_share": 0.4})
        codes = set()
        for number in range(ROUNDS):
            document = {"id": f"plain {number % DISTINCT}"}
            sends = [
                self.chats.post("/label-store/x", document | {"number": each})
                for each in range(AT_ONCE)
            ]
            codes |= {each.code for each in await asyncio.gather(*sends)}
        self.assertNotIn(promptpart.QUARANTINED, codes)


if __name__ == "__main__":
    unittest.main()

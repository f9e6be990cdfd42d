"""Tests that a prompt part which crashes upstreams stops doing so on both paths.

All times of the target are halved here: upstreams are back after 1 s, and a verdict
must be known everywhere 1.5 s after the fifth crash.
"""

import asyncio
import contextlib
import json
import random
import tempfile
import time
import unittest
from pathlib import Path

import aiohttp

from sapphireseam.core import fleet as configuration
from sapphireseam.ops import session
from sapphireseam.scripts import demo
from sapphireseam.tools import client, discovered, fleet, layout, promptpart

SEED = 1
TIMES = promptpart.Times()
DOWN_SECONDS = 1.0
MODEL = "wording-llm"
TOKENS = 20
ITEMS = 60
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


class DirectPathTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = discovered.DiscoveredFleet(Path(folder.name), 6, 3)
        self.rng = random.Random(SEED)
        for upstream in self.fleet.upstreams:
            upstream.bad_parts = frozenset({promptpart.BAD})
            upstream.down_seconds = DOWN_SECONDS
            upstream.crash_delay = upstream.event_delay = 0.05
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)

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
            tuple(at for upstream in upstreams for at in upstream.crashes),
            tuple(at for upstream in upstreams for at in upstream.bad_arrivals),
        )

    async def test_a_prompt_part_does_not_crash_one_upstream_after_another(self):
        play = promptpart.Play(self.send, self.read_record, TIMES, self.rng)
        self.assertEqual(await play.run(), [], play.describe())

    async def test_resets_by_upstreams_that_stay_up_get_no_request_refused(self):
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
        self.http = running.http
        self.key = await session.issue_key(running.client, "grower-1", time.time())
        self.callers = [
            demo.Caller(self.http, entry, self.key.text) for entry in self.plan.entries
        ]
        for caller in self.callers:
            await caller.chat("hello", False)
        self.rng = random.Random(SEED)

    async def post(self, path, document):
        """Return the outcome of one attempt at any entry."""
        url = f"http://{self.rng.choice(self.plan.entries)}{path}"
        headers = {"Authorization": f"Bearer {self.key.text}"}
        sent, body = asyncio.get_running_loop().time(), b""
        try:
            async with self.http.post(url, json=document, headers=headers) as response:
                head = response.status, response.headers
                async for piece in response.content.iter_any():
                    body += piece
        except aiohttp.ClientError as failure:
            return promptpart.Outcome(sent, bool(body), 0, type(failure).__name__)
        if head[0] == 200:
            return promptpart.Outcome(sent, b"data: {" in body)
        return promptpart.Outcome(
            sent,
            False,
            head[0],
            client.read_error_code(body),
            float(head[1].get("Retry-After", 0)),
            head[1].get(client.NOT_RUN_HEADER) == "true",
        )

    async def send(self, id, parts):
        messages = [{"role": "system", "content": text} for text in parts[:-1]]
        messages.append({"role": "user", "content": parts[-1]})
        document = {
            "model": MODEL,
            "messages": messages,
            "max_tokens": TOKENS,
            "stream": True,
        }
        return await self.post("/v1/chat/completions", document)

    async def read_record(self):
        pages = [await self.read_crashes(base) for base in self.engines]
        offset = time.time() - asyncio.get_running_loop().time()
        return promptpart.Record(
            *(
                tuple(at - offset for page in pages for at in page[name])
                for name in ("crashes", "arrivals")
            )
        )

    async def read_crashes(self, base):
        async with asyncio.timeout(fleet.STEP_SECONDS):
            while True:
                try:
                    async with self.http.get(f"{base}/_crashes") as response:
                        return await response.json()
                except aiohttp.ClientError:
                    await asyncio.sleep(fleet.POLL_SECONDS)

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
                    "max_tokens": TOKENS,
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
        play = promptpart.Play(self.send, self.read_record, TIMES, self.rng)
        self.assertEqual(await play.run(), [], play.describe())
        counts = {"total": ITEMS, "completed": ITEMS, "failed": 0}
        self.assertEqual(await self.wait_for_job(job), counts)

    async def test_resets_by_services_that_stay_up_get_no_request_refused(self):
        await self.start({"reset_share": 0.4})
        codes = set()
        for number in range(ROUNDS):
            document = {"id": f"plain {number % DISTINCT}"}
            sends = [
                self.post("/label-store/x", document | {"number": each})
                for each in range(AT_ONCE)
            ]
            codes |= {each.code for each in await asyncio.gather(*sends)}
        self.assertNotIn(promptpart.QUARANTINED, codes)


if __name__ == "__main__":
    unittest.main()

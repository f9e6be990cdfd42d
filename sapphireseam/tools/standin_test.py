"""Tests of the stand-in upstreams over loopback HTTP; every wait is for a condition."""

import asyncio
import json
import unittest

import aiohttp

from sapphireseam.scripts import upstream
from sapphireseam.tools import answer, engine, record, service
from sapphireseam.utils import framing, timer

MODEL = "wording-llm"
KEY = "sk-secret-of-a-caller"
FAST = engine.Speeds(step_base=0.0, step_per_sequence=0.0, prefill_per_token=0.0)
HOOKS = service.Hooks(crash_marker="KILL", restart_seconds=0.0, fail_marker="NEVER")
SYSTEM = timer.SystemTimer()
# Limit on every wait, in seconds; far above what a wait takes.
TIMEOUT = 60.0


class StandInTest(unittest.IsolatedAsyncioTestCase):
    async def start_upstream(self, kind, timer_service=SYSTEM, **options):
        options = {"speeds": FAST, "hooks": HOOKS, "models": [MODEL], **options}
        settings = upstream.Settings("u1", kind, 0, **options)
        self.stand_in = upstream.build_part(settings, timer_service)
        await self.stand_in.start()
        self.addAsyncCleanup(self.stand_in.stop)
        base = f"http://127.0.0.1:{self.stand_in.listener.port}"
        self.session = aiohttp.ClientSession(
            base, timeout=aiohttp.ClientTimeout(TIMEOUT)
        )
        self.addAsyncCleanup(self.session.close)

    async def post(self, path, body, **options):
        async with self.session.post(path, json=body, **options) as response:
            return response.status, await response.read()

    async def complete(self, prompt, **fields):
        body = {"model": MODEL, "prompt": prompt, **fields}
        return await self.post("/v1/completions", body)

    async def read_runs(self):
        async with self.session.get("/_runs") as response:
            return await response.json()

    async def wait_until(self, check):
        async with asyncio.timeout(TIMEOUT):
            while not await check():
                await SYSTEM.sleep(0.01)

    async def test_a_service_answers_in_part_without_length_or_chunks(self):
        hooks = service.Hooks(unframed_every=2, broken_every=2)
        await self.start_upstream("service", hooks=hooks)
        base = f"http://127.0.0.1:{self.stand_in.listener.port}/orders"
        outcomes = []
        async with framing.create_session() as session:
            for number in range(8):
                try:
                    async with session.post(base, json={"id": number}) as response:
                        await response.read()
                        outcomes.append(str(response.framing))
                except aiohttp.ClientError:
                    outcomes.append("broken")
        self.assertEqual(outcomes, ["length", "connection", "length", "broken"] * 2)

    async def test_unstreamed_streamed_and_resumed_answers_agree(self):
        await self.start_upstream("engine")
        messages = [{"role": "user", "content": "oak, please"}]
        body = {"model": MODEL, "messages": messages, "max_tokens": 9}
        right = answer.compute_body_answer(body)
        _, data = await self.post("/v1/chat/completions", body)
        choice = json.loads(data)["choices"][0]
        self.assertEqual(choice["message"]["content"], "".join(right.tokens))
        for resume_from in (0, 4, 9):
            request = {
                **body,
                "stream": True,
                "stream_options": {"include_usage": True},
                "seam_resume_from": resume_from,
            }
            _, data = await self.post("/v1/chat/completions", request)
            *events, done, _ = data.decode().split("\n\n")
            self.assertEqual(done, "data: [DONE]")
            documents = [json.loads(event.removeprefix("data: ")) for event in events]
            *tokens, end, usage = documents
            texts = [item["choices"][0]["delta"]["content"] for item in tokens]
            self.assertEqual(tuple(texts), right.tokens[resume_from:])
            self.assertEqual(end["choices"][0]["finish_reason"], right.finish_reason)
            self.assertEqual(usage["usage"]["completion_tokens"], 9)

    async def test_bad_requests_get_matching_statuses(self):
        await self.start_upstream("engine")
        for status, body in (
            (400, {"model": MODEL}),
            (400, {"model": MODEL, "prompt": "p", "max_tokens": -1}),
            (400, {"model": MODEL, "prompt": "p", "seam_resume_from": "2"}),
            (404, {"model": "other", "prompt": "p"}),
            (500, {"model": MODEL, "prompt": "NEVER"}),
        ):
            with self.subTest(body=body):
                got, data = await self.post("/v1/completions", body)
                self.assertEqual(got, status)
                self.assertIn("code", json.loads(data)["error"])
        async with self.session.post("/v1/completions", data=b"{") as response:
            self.assertEqual(response.status, 400)

    async def test_key_is_recorded_from_headers_query_and_cookies(self):
        digest = record.compute_value_digest(KEY)
        key_options = (
            {"headers": {"Authorization": f"Bearer {KEY}"}},
            {"params": {"key": KEY}},
            {"cookies": {"session": KEY}},
        )
        for kind in ("engine", "service"):
            for options in key_options:
                with self.subTest(kind=kind, options=options):
                    await self.start_upstream(kind)
                    body = {"model": MODEL, "prompt": "p"}
                    await self.post("/v1/completions", body)
                    self.assertNotIn(digest, json.dumps(self.stand_in.seen.render()))
                    await self.post("/v1/completions", body, **options)
                    self.assertIn(digest, json.dumps(self.stand_in.seen.render()))

    async def test_disconnected_client_cancels_its_sequence(self):
        await self.start_upstream("engine", speeds=FAST._replace(step_base=TIMEOUT))
        name = answer.compute_fingerprint(MODEL, "slow")
        work = asyncio.create_task(self.complete("slow"))

        async def is_running():
            return self.stand_in.engine.measure_load().running == 1

        async def is_cancelled():
            return (await self.read_runs())[name]["cancelled"] == 1

        await self.wait_until(is_running)
        work.cancel()
        await self.wait_until(is_cancelled)
        self.assertEqual(self.stand_in.engine.measure_load().running, 0)

    async def test_crash_drops_connections_is_counted_and_restarts(self):
        for kind in ("engine", "service"):
            with self.subTest(kind=kind):
                await self.start_upstream(kind)
                port = self.stand_in.listener.port
                with self.assertRaises(aiohttp.ClientError):
                    await self.complete("KILL", max_tokens=20)

                async def is_back():
                    try:
                        status, _ = await self.complete("fine")
                    except aiohttp.ClientError:
                        return False
                    return status == 200

                await self.wait_until(is_back)
                self.assertEqual(self.stand_in.listener.crashes, 1)
                self.assertEqual(self.stand_in.listener.port, port)
                died = [run["died"] for run in (await self.read_runs()).values()]
                self.assertEqual(sum(died), 1)

    async def test_orders_with_low_fences(self):
        for checks, status in ((True, 409), (False, 200)):
            with self.subTest(checks=checks):
                speeds = FAST._replace(order_seconds=0.0)
                await self.start_upstream("engine", checks_fence=checks, speeds=speeds)
                order = {"kind": "load", "target": "m2", "fence": 5}
                self.assertEqual((await self.post("/orders", order))[0], 200)
                old = {"kind": "unload", "target": "m2", "fence": 4}
                self.assertEqual((await self.post("/orders", old))[0], status)
                self.assertEqual("m2" in self.stand_in.engine.models, checks)

    async def test_service_counts_runs_and_serves_images(self):
        await self.start_upstream("service", service_seconds=0.0)
        for _ in range(2):
            status, data = await self.post("/print", {"id": "r1"})
            self.assertEqual((status, json.loads(data)["id"]), (200, "r1"))
        self.assertEqual((await self.read_runs())["r1"]["started"], 2)
        async with self.session.get("/store/labels/oak.png") as response:
            self.assertEqual(response.content_type, "image/png")
            self.assertEqual(await response.read(), answer.render_label("oak"))

    async def test_service_work_continues_after_its_caller_disconnects(self):
        fake = timer.FakeTimer()
        await self.start_upstream("service", timer_service=fake)
        call = asyncio.create_task(self.post("/print", {"id": "gone"}))

        async def is_started():
            return "gone" in self.stand_in.runs.render()

        async def is_dropped():
            return not self.stand_in.listener.count_connections()

        await self.wait_until(is_started)
        call.cancel()
        await self.wait_until(is_dropped)
        await fake.advance(1.0)
        self.assertEqual(self.stand_in.runs.render()["gone"]["completed"], 1)

"""Test the stand-ins over loopback HTTP; every wait is for an event."""

import asyncio
import json
import unittest

import aiohttp

from sapphireseam.scripts import upstream
from sapphireseam.tools import answer, engine, record, service
from sapphireseam.utils import timer

MODEL = "wording-llm"
KEY = "sk-secret-of-a-caller"
FAST = engine.Speeds(step_base=0.0, step_per_sequence=0.0, prefill_per_token=0.0)
HOOKS = service.Hooks(crash_marker="KILL", restart_seconds=0.0, fail_marker="NEVER")
SYSTEM = timer.SystemTimer()
# A ceiling far beyond what any wait takes, in seconds.
CEILING = 60.0


class StandInTest(unittest.IsolatedAsyncioTestCase):
    async def open(self, kind, timer_service=SYSTEM, **options):
        options = {"speeds": FAST, "hooks": HOOKS, "models": [MODEL], **options}
        checked = upstream.Settings("u1", kind, 0, **options)
        self.part = upstream.build_part(checked, timer_service)
        await self.part.start()
        self.addAsyncCleanup(self.part.stop)
        base = f"http://127.0.0.1:{self.part.listener.port}"
        self.session = aiohttp.ClientSession(
            base, timeout=aiohttp.ClientTimeout(CEILING)
        )
        self.addAsyncCleanup(self.session.close)

    async def post(self, path, body, **options):
        async with self.session.post(path, json=body, **options) as response:
            return response.status, await response.read()

    async def ask(self, prompt, **fields):
        body = {"model": MODEL, "prompt": prompt, **fields}
        return await self.post("/v1/completions", body)

    async def read_runs(self):
        async with self.session.get("/_runs") as response:
            return await response.json()

    async def wait_until(self, check):
        async with asyncio.timeout(CEILING):
            while not await check():
                await SYSTEM.sleep(0.01)

    async def test_whole_streamed_and_resumed_agree(self):
        await self.open("engine")
        messages = [{"role": "user", "content": "oak, please"}]
        body = {"model": MODEL, "messages": messages, "max_tokens": 9}
        right = answer.compute_body_answer(body)
        _, data = await self.post("/v1/chat/completions", body)
        choice = json.loads(data)["choices"][0]
        self.assertEqual(choice["message"]["content"], "".join(right.tokens))
        for had in (0, 4, 9):
            ask = {
                **body,
                "stream": True,
                "stream_options": {"include_usage": True},
                "seam_resume_from": had,
            }
            _, data = await self.post("/v1/chat/completions", ask)
            *events, done, _ = data.decode().split("\n\n")
            self.assertEqual(done, "data: [DONE]")
            documents = [json.loads(event.removeprefix("data: ")) for event in events]
            *tokens, end, usage = documents
            texts = [item["choices"][0]["delta"]["content"] for item in tokens]
            self.assertEqual(tuple(texts), right.tokens[had:])
            self.assertEqual(end["choices"][0]["finish_reason"], right.finish_reason)
            self.assertEqual(usage["usage"]["completion_tokens"], 9)

    async def test_bad_requests_get_fitting_statuses(self):
        await self.open("engine")
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

    async def test_a_key_that_arrives_is_seen_wherever_it_stands(self):
        digest = record.compute_value_digest(KEY)
        places = (
            {"headers": {"Authorization": f"Bearer {KEY}"}},
            {"params": {"key": KEY}},
            {"cookies": {"session": KEY}},
        )
        for kind in ("engine", "service"):
            for options in places:
                with self.subTest(kind=kind, options=options):
                    await self.open(kind)
                    body = {"model": MODEL, "prompt": "p"}
                    await self.post("/v1/completions", body)
                    self.assertNotIn(digest, json.dumps(self.part.seen.render()))
                    await self.post("/v1/completions", body, **options)
                    self.assertIn(digest, json.dumps(self.part.seen.render()))

    async def test_client_that_goes_away_cancels_its_sequence(self):
        await self.open("engine", speeds=FAST._replace(step_base=CEILING))
        name = answer.compute_fingerprint(MODEL, "slow")
        work = asyncio.create_task(self.ask("slow"))

        async def is_running():
            return self.part.engine.measure_load().running == 1

        async def is_cancelled():
            return (await self.read_runs())[name]["cancelled"] == 1

        await self.wait_until(is_running)
        work.cancel()
        await self.wait_until(is_cancelled)
        self.assertEqual(self.part.engine.measure_load().running, 0)

    async def test_crash_drops_connections_counts_and_comes_back(self):
        for kind in ("engine", "service"):
            with self.subTest(kind=kind):
                await self.open(kind)
                port = self.part.listener.port
                with self.assertRaises(aiohttp.ClientError):
                    await self.ask("KILL", max_tokens=20)

                async def is_back():
                    try:
                        status, _ = await self.ask("fine")
                    except aiohttp.ClientError:
                        return False
                    return status == 200

                await self.wait_until(is_back)
                self.assertEqual(self.part.listener.deaths, 1)
                self.assertEqual(self.part.listener.port, port)
                died = [run["died"] for run in (await self.read_runs()).values()]
                self.assertEqual(sum(died), 1)

    async def test_orders_with_old_fences(self):
        for checks, status in ((True, 409), (False, 200)):
            with self.subTest(checks=checks):
                speeds = FAST._replace(order_seconds=0.0)
                await self.open("engine", checks_fence=checks, speeds=speeds)
                order = {"kind": "load", "target": "m2", "fence": 5}
                self.assertEqual((await self.post("/orders", order))[0], 200)
                old = {"kind": "unload", "target": "m2", "fence": 4}
                self.assertEqual((await self.post("/orders", old))[0], status)
                self.assertEqual("m2" in self.part.engine.models, checks)

    async def test_service_counts_runs_and_gives_images(self):
        await self.open("service", service_seconds=0.0)
        for _ in range(2):
            status, data = await self.post("/print", {"id": "r1"})
            self.assertEqual((status, json.loads(data)["id"]), (200, "r1"))
        self.assertEqual((await self.read_runs())["r1"]["started"], 2)
        async with self.session.get("/store/labels/oak.png") as response:
            self.assertEqual(response.content_type, "image/png")
            self.assertEqual(await response.read(), answer.render_label("oak"))

    async def test_service_work_goes_on_when_its_caller_is_gone(self):
        fake = timer.FakeTimer()
        await self.open("service", timer_service=fake)
        call = asyncio.create_task(self.post("/print", {"id": "gone"}))

        async def is_started():
            return "gone" in self.part.runs.render()

        async def is_dropped():
            return not self.part.listener.count_connections()

        await self.wait_until(is_started)
        call.cancel()
        await self.wait_until(is_dropped)
        await fake.advance(1.0)
        self.assertEqual(self.part.runs.render()["gone"]["completed"], 1)

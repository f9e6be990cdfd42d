"""Tests a whole fleet of real processes with the public OpenAI client."""

import asyncio
import io
import json
import os
import signal
import socket
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import aiohttp
import openai

from sapphireseam.core import error
from sapphireseam.ops import session
from sapphireseam.scripts import demo
from sapphireseam.tools import answer, fleet, layout
from sapphireseam.utils.timer import SystemTimer

MODEL = "wording-llm"
MESSAGES = [{"role": "user", "content": "Origin wording for rhubarb"}]


def expect_answer(tokens: int) -> str:
    """Return the one right answer of the stand-in."""
    prompt = answer.render_messages(MESSAGES)
    return "".join(answer.compute_answer(MODEL, prompt, tokens).tokens)


class PortReservationTest(unittest.TestCase):
    def test_two_fleets_never_get_the_same_port(self):
        # So few ports that the second fleet would draw some of the first one.
        first_outgoing = int(layout.OUTGOING_PORTS.read_text().split()[0])
        few = 50
        with (
            mock.patch.object(layout, "FIRST_PORT", first_outgoing - few),
            mock.patch.object(layout, "MAX_TRIES", few),
        ):
            first, second = layout.reserve_ports(20), layout.reserve_ports(20)
            self.assertEqual(set(first.ports) & set(second.ports), set())
            with self.assertRaises(error.SettingsError):
                layout.reserve_ports(20)
            del first
            layout.reserve_ports(20)


class FleetStartTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_port_taken_by_another_process_is_no_silent_timeout(self):
        with tempfile.TemporaryDirectory() as folder, socket.socket() as other:
            plan = layout.lay_out(Path(folder), layout.SMALL)
            host, port = plan.controls[0].rsplit(":", 1)
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            other.bind((host, int(port)))
            other.listen()
            with self.assertRaisesRegex(fleet.StartError, "^control-1 .*can't listen"):
                async with fleet.run(plan):
                    pass


class FleetTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.plan = layout.lay_out(Path(folder.name), layout.SMALL)
        self.processes = fleet.Processes(self.plan.folder)
        self.addAsyncCleanup(self.processes.stop)
        self.http = aiohttp.ClientSession()
        self.addAsyncCleanup(self.http.close)
        self.client = await fleet.start_fleet(self.processes, self.plan, self.http)
        self.addAsyncCleanup(self.client.stop)
        now = SystemTimer().read_wall_clock()
        self.key = await session.issue_key(self.client, "grower-1", now)
        self.base = f"http://{self.plan.entries[0]}"
        # The rate limit service starts with empty buckets; the first call fills them.
        self.caller = demo.Caller(self.http, self.plan.entries[0], self.key.text)
        await self.caller.chat("hello", False)

    async def test_requests_refusals_keys_and_stop(self):
        await self.check_openai_client()
        await self.check_refusals()
        await self.check_bad_files()
        self.check_no_io_uring()
        await self.check_withdrawn_key()
        await self.check_graceful_stop()

    async def check_openai_client(self):
        client = openai.AsyncOpenAI(api_key=self.key.text, base_url=f"{self.base}/v1")
        self.addAsyncCleanup(client.close)
        document = {"model": MODEL, "messages": MESSAGES, "max_tokens": 9}
        whole = await client.chat.completions.create(**document)
        self.assertEqual(whole.choices[0].message.content, expect_answer(9))
        parts = []
        async for event in await client.chat.completions.create(
            stream=True, **document
        ):
            parts.append(event.choices[0].delta.content or "")
        self.assertEqual("".join(parts), expect_answer(9))
        models = await client.models.list()
        self.assertEqual([model.id for model in models.data], [MODEL])
        data = demo.render_batch(demo.SPEC_SHEETS)
        file = await client.files.create(file=("b.jsonl", data), purpose="batch")
        batch = await client.batches.create(
            input_file_id=file.id,
            endpoint="/v1/chat/completions",
            completion_window="24h",
        )
        async with asyncio.timeout(fleet.STEP_SECONDS):
            while batch.status != "completed":
                await asyncio.sleep(fleet.POLL_SECONDS)
                batch = await client.batches.retrieve(batch.id)
        output = await client.files.content(batch.output_file_id)
        ids = [json.loads(line)["custom_id"] for line in output.text.splitlines()]
        self.assertEqual(len(ids), len(demo.SPEC_SHEETS))
        self.assertEqual(len(set(ids)), len(ids))

    async def check_refusal(self, status, kind, method, path, key=None, **options):
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        async with self.http.request(
            method, self.base + path, headers=headers, **options
        ) as response:
            body = await response.json()
        self.assertEqual((response.status, body["error"]["code"]), (status, kind))
        self.assertTrue(body["error"]["not_run"])
        self.assertEqual(response.headers["X-Seam-Not-Run"], "true")
        return body["error"]["message"]

    async def check_refusals(self):
        chat = "/v1/chat/completions"
        document = {"model": MODEL, "messages": MESSAGES}
        text = self.key.text
        kinds = error.Kind
        check_refusal = self.check_refusal
        await check_refusal(404, kinds.ROUTE_UNKNOWN, "POST", "/nowhere", text)
        await check_refusal(401, kinds.KEY_MISSING, "POST", chat, json=document)
        await check_refusal(
            401, kinds.KEY_INVALID, "POST", chat, "seam-0-x", json=document
        )
        wrong = text[:-1] + ("a" if text[-1] != "a" else "b")
        await check_refusal(401, kinds.KEY_INVALID, "POST", chat, wrong, json=document)
        other = document | {"model": "none"}
        await check_refusal(404, kinds.MODEL_UNKNOWN, "POST", chat, text, json=other)
        await check_refusal(400, kinds.BAD_REQUEST, "POST", chat, text, data=b"{")
        large = io.BytesIO(b" " * (5 * 1024 * 1024))
        await check_refusal(413, kinds.BODY_TOO_LARGE, "POST", chat, text, data=large)
        path = "/v1/batches/batch_none"
        await check_refusal(404, kinds.OBJECT_UNKNOWN, "GET", path, text)

    async def check_bad_files(self):
        data = demo.render_batch(demo.SPEC_SHEETS[:2]) + b"\n{broken\n"
        form = aiohttp.FormData()
        form.add_field("purpose", "batch")
        form.add_field("file", data, filename="sheets.jsonl")
        text = await self.check_refusal(
            400, "bad_request", "POST", "/v1/files", self.key.text, data=form
        )
        self.assertIn("line 3", text)
        files = json.loads(await self.caller.call("GET", "/v1/files"))["data"]
        self.assertEqual(len(files), 1)

    def check_no_io_uring(self):
        for node in self.processes.running:
            folder = Path(f"/proc/{self.processes.read_pid(node)}/fd")
            for descriptor in folder.iterdir():
                target = os.readlink(descriptor)
                self.assertNotIn("io_uring", target, node)

    async def check_withdrawn_key(self):
        """Check that a stream is cut when its key is withdrawn."""
        document = {
            "model": MODEL,
            "messages": MESSAGES,
            "max_tokens": 2000,
            "stream": True,
        }
        headers = {"Authorization": f"Bearer {self.key.text}"}
        url = f"{self.base}/v1/chat/completions"
        async with self.http.post(url, json=document, headers=headers) as response:
            await response.content.readline()
            now = SystemTimer().read_wall_clock()
            await session.withdraw_key(self.client, self.key.id, now)
            with self.assertRaises(aiohttp.ClientError):
                async with asyncio.timeout(fleet.STEP_SECONDS):
                    await response.read()
        await self.check_refusal(
            401,
            "key_invalid",
            "POST",
            "/v1/chat/completions",
            self.key.text,
            json=document,
        )

    async def check_graceful_stop(self):
        for node, process in self.processes.running.items():
            self.processes.signal(node, signal.SIGTERM)
            async with asyncio.timeout(fleet.STEP_SECONDS):
                self.assertEqual(await process.wait(), 0, node)

"""Tests a fleet of real processes under failures, and counts what the upstreams ran.

One fleet serves all the checks. Waits end with an event or a generous timeout,
and no assertion depends on elapsed time.
"""

import asyncio
import json
import signal
import tempfile
import unittest
from pathlib import Path

import aiohttp

from sapphireseam.core import command
from sapphireseam.ops import session
from sapphireseam.scripts import demo
from sapphireseam.tools import answer, fleet, layout, record
from sapphireseam.utils.timer import SystemTimer

MODEL = "wording-llm"
SHAPE = layout.Shape(
    "ie-south",
    (
        layout.Replicas(MODEL, 2),
        layout.Replicas("post-app", 2, True),
    ),
    ("grower-1",),
    rate=2000.0,
    burst=4000.0,
)
CRASH = "CRASHES"
LATE = "LATE"
FAILS = "FAILS"
HOOKS = {
    "crash_marker": CRASH,
    "restart_seconds": 0.5,
    "late_marker": LATE,
    "late_seconds": 10.0,
    "fail_marker": FAILS,
}
TOKENS = 60


def expect(text: str) -> str:
    """Return the one right answer of the stand-in."""
    prompt = answer.render_messages([{"role": "user", "content": text}])
    return "".join(answer.compute_answer(MODEL, prompt, TOKENS).tokens)


def render_chat(text: str, stream: bool) -> dict:
    messages = [{"role": "user", "content": text}]
    return {
        "model": MODEL,
        "messages": messages,
        "max_tokens": TOKENS,
        "stream": stream,
    }


def render_lines(texts) -> bytes:
    lines = [
        {
            "custom_id": f"item-{number}",
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": render_chat(text, False),
        }
        for number, text in enumerate(texts)
    ]
    return "\n".join(map(json.dumps, lines)).encode()


class PromiseTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.plan = layout.lay_out(Path(folder.name), SHAPE)
        self.items = {item.node: item for item in self.plan.processes}
        self.upstream_nodes = [
            n for n, i in self.items.items() if i.program == "seam-upstream"
        ]
        for node in self.upstream_nodes:
            path = self.items[node].settings
            settings = json.loads(path.read_text()) | {"hooks": HOOKS}
            settings["checks_fence"] = False
            path.write_text(json.dumps(settings))
        self.processes = fleet.Processes(self.plan.folder)
        self.addAsyncCleanup(self.processes.stop)
        self.http = aiohttp.ClientSession()
        self.addAsyncCleanup(self.http.close)
        self.client = await fleet.start_fleet(self.processes, self.plan, self.http)
        self.addAsyncCleanup(self.client.stop)
        now = SystemTimer().read_wall_clock()
        self.key = await session.issue_key(self.client, "grower-1", now)
        self.callers = [
            demo.Caller(self.http, entry, self.key.text) for entry in self.plan.entries
        ]
        for caller in self.callers:
            await caller.chat("hello", False)

    async def test_guarantees_under_failures(self):
        await self.check_crashing_request()
        await self.check_killed_agent()
        await self.check_frozen_agent()
        await self.check_frozen_entry()
        await self.check_killed_entry_and_job()
        await self.check_cancel()
        await self.check_orders()
        await self.check_graceful_entry()
        await self.check_keys()

    async def post(self, entry, path, document, **headers):
        """Return the status, headers and body of one attempt."""
        headers["Authorization"] = f"Bearer {self.key.text}"
        url = f"http://{self.plan.entries[entry]}{path}"
        async with asyncio.timeout(fleet.STEP_SECONDS):
            async with self.http.post(url, json=document, headers=headers) as response:
                return response.status, response.headers, await response.read()

    async def post_until_run(self, entry, path, document, **headers):
        """Retry while the answer says that the request was not run."""
        async with asyncio.timeout(fleet.STEP_SECONDS):
            while True:
                reply = await self.post(entry, path, document, **headers)
                if reply[0] != 503 or "X-Seam-Not-Run" not in reply[1]:
                    return reply
                await asyncio.sleep(fleet.POLL_SECONDS)

    async def post_chat(self, entry, text):
        return await self.post(entry, "/v1/chat/completions", render_chat(text, False))

    async def stream(self, entry, text, begun=None):
        """Return the text of a streamed answer; set `begun` after its first part."""
        headers = {"Authorization": f"Bearer {self.key.text}"}
        url = f"http://{self.plan.entries[entry]}/v1/chat/completions"
        document = render_chat(text, True)
        body = b""
        async with asyncio.timeout(fleet.STEP_SECONDS):
            async with self.http.post(url, json=document, headers=headers) as response:
                async for piece in response.content.iter_any():
                    body += piece
                    if begun is not None:
                        begun.set()
        self.assertEqual(body.count(b"[DONE]"), 1, (text, body[-400:]))
        return "".join(demo.read_event(event) for event in body.split(b"\n\n"))

    async def get_upstream(self, node, path):
        base = self.items[node].health.removesuffix("/health")
        async with asyncio.timeout(fleet.STEP_SECONDS):
            while True:
                try:
                    async with self.http.get(base + path) as response:
                        return await response.json()
                except aiohttp.ClientError:
                    await asyncio.sleep(fleet.POLL_SECONDS)

    async def count_crashes(self):
        healths = [
            await self.get_upstream(node, "/health") for node in self.upstream_nodes
        ]
        return sum(health["deaths"] for health in healths)

    async def wait_until(self, condition):
        async with asyncio.timeout(fleet.STEP_SECONDS):
            while not await condition():  # noqa: ASYNC110
                await asyncio.sleep(fleet.POLL_SECONDS)

    async def restart(self, node):
        self.processes.signal(node, signal.SIGKILL)
        await self.processes.running[node].wait()
        await self.processes.start(self.items[node])
        await fleet.wait_healthy(self.http, self.items[node].health)

    def check_quarantined(self, reply):
        status, headers, body = reply
        code = json.loads(body)["error"]["code"]
        self.assertEqual((status, code), (503, "request_quarantined"))
        self.assertEqual(headers["X-Seam-Not-Run"], "true")
        self.assertGreater(float(headers["Retry-After"]), 0)

    def is_quarantined(self, reply):
        return reply[0] == 503 and b'"request_quarantined"' in reply[2]

    async def check_crashing_request(self):
        """Resend a crashing request through all entries, beside harmless streams."""
        harmless = [
            asyncio.create_task(self.stream(number % 2, f"beside {number}"))
            for number in range(6)
        ]
        last = None

        async def is_refused():
            nonlocal last
            last = [await self.post_chat(entry, CRASH) for entry in (0, 1)]
            return all(map(self.is_quarantined, last))

        await self.wait_until(is_refused)
        for number, task in enumerate(harmless):
            self.assertEqual(await task, expect(f"beside {number}"))
        self.assertEqual(await self.count_crashes(), 2)
        await self.restart("entry-1")
        await self.restart(f"agent-{MODEL}-1")
        for entry in (0, 1):
            self.check_quarantined(await self.post_chat(entry, CRASH))
        self.assertEqual(await self.count_crashes(), 2)
        for number in range(6):
            text = f"beside {number}"
            self.assertEqual(await self.stream(number % 2, text), expect(text))

    async def crash_until_refused(self, text):
        """Send a request that crashes upstreams until all entries refuse it."""

        async def is_refused():
            answers = [await self.post_chat(entry, text) for entry in (0, 1)]
            return all(map(self.is_quarantined, answers))

        await self.wait_until(is_refused)

    async def check_killed_agent(self):
        """Kill an agent with open streams; the other replica completes each of them."""
        events = [asyncio.Event() for _ in range(6)]
        tasks = [
            asyncio.create_task(self.stream(number % 2, f"killed {number}", event))
            for number, event in enumerate(events)
        ]
        for event in events:
            await event.wait()
        await self.restart(f"agent-{MODEL}-1")
        for number, task in enumerate(tasks):
            self.assertEqual(await task, expect(f"killed {number}"))

    async def count_runs(self, name, kind):
        runs = [await self.get_upstream(n, "/_runs") for n in self.upstream_nodes]
        return sum(self.read_count(item, name, kind) for item in runs)

    def read_count(self, runs, name, kind):
        return runs.get(name, {}).get(kind, 0)

    async def check_frozen_agent(self):
        """Freeze all agents after requests were sent; their answers come too late."""
        ids = [f"once-{number}" for number in range(4)]
        tasks = [
            asyncio.create_task(
                self.post(
                    number % 2,
                    "/post-app/print",
                    {"id": name, "note": LATE},
                    **{"Idempotency-Key": name},
                )
            )
            for number, name in enumerate(ids)
        ]

        async def has_begun():
            counts = [await self.count_runs(name, "started") for name in ids]
            return all(counts)

        await self.wait_until(has_begun)
        agents = [f"agent-{n}" for n in self.upstream_nodes if n.startswith("post-app")]
        for node in agents:
            self.processes.signal(node, signal.SIGSTOP)
        for task in tasks:
            status, headers, body = await task
            self.assertEqual(status, 502, body)
            self.assertNotIn("X-Seam-Not-Run", headers)
        for node in agents:
            self.processes.signal(node, signal.SIGCONT)
        for entry in (0, 1):
            for name in ids:
                status, headers, body = await self.post(
                    entry,
                    "/post-app/print",
                    {"id": name, "note": LATE},
                    **{"Idempotency-Key": name},
                )
                self.assertIn(status, (409, 502), body)
                self.assertNotIn("X-Seam-Not-Run", headers)
        counts = [await self.count_runs(name, "started") for name in ids]
        self.assertEqual(counts, [1] * len(ids))

    async def check_frozen_entry(self):
        """Freeze an entry with a sent request until its leases end, then resume it."""
        name = "once-by-a-frozen-entry"
        document = {"id": name, "note": LATE}
        headers = {"Idempotency-Key": name}
        post = self.post_until_run(0, "/post-app/print", document, **headers)
        posting = asyncio.create_task(post)
        begun = asyncio.Event()
        streaming = asyncio.create_task(self.stream(0, "frozen", begun))

        async def has_begun():
            self.assertFalse(posting.done(), posting)
            return begun.is_set() and await self.count_runs(name, "started")

        await self.wait_until(has_begun)
        self.processes.signal("entry-1", signal.SIGSTOP)

        async def has_ended():
            return await self.count_runs(name, "completed")

        await self.wait_until(has_ended)
        replies = [await self.post(1, "/post-app/print", document, **headers)]
        self.assertIn(replies[0][0], (409, 502), replies)
        self.processes.signal("entry-1", signal.SIGCONT)
        replies.append(await posting)
        await asyncio.gather(streaming, return_exceptions=True)
        await fleet.wait_healthy(self.http, self.items["entry-1"].health)
        for entry in (0, 1):
            replies.append(
                await self.post(entry, "/post-app/print", document, **headers)
            )
        for status, answered, body in replies:
            self.assertIn(status, (200, 409, 502, 503), body)
            self.assertNotIn("X-Seam-Not-Run", answered)
        self.assertEqual(await self.count_runs(name, "started"), 1)
        text = "after the freeze"
        self.assertEqual(await self.stream(0, text), expect(text))

    async def upload(self, texts):
        form = aiohttp.FormData()
        form.add_field("purpose", "batch")
        form.add_field("file", render_lines(texts), filename="lot.jsonl")
        reply = await self.callers[1].call("POST", "/v1/files", data=form)
        return json.loads(reply)["id"]

    async def create(self, entry, file, key):
        document = {
            "input_file_id": file,
            "endpoint": "/v1/chat/completions",
            "completion_window": "24h",
        }
        try:
            _, _, body = await self.post(
                entry, "/v1/batches", document, **{"Idempotency-Key": key}
            )
        except aiohttp.ClientError:
            return None
        return json.loads(body).get("id")

    async def get_job(self, job):
        return json.loads(await self.callers[1].call("GET", f"/v1/batches/{job}"))

    async def check_killed_entry_and_job(self):
        """Submit one job to all entries at once; kill an entry, then an agent.

        Requests that crash the upstreams run beside the items, which are still owed.
        """
        texts = [f"sheet {number}" for number in range(40)]
        texts[9] = f"{FAILS} always"
        file = await self.upload(texts)
        creating = [
            asyncio.create_task(self.create(number % 2, file, "lot-1"))
            for number in range(6)
        ]
        await asyncio.sleep(0)
        await self.restart("entry-1")
        jobs = {job for job in await asyncio.gather(*creating) if job}
        jobs.add(await self.create(1, file, "lot-1"))
        self.assertEqual(len(jobs), 1)
        (job,) = jobs
        crashes = await self.count_crashes()
        crashing = [
            asyncio.create_task(self.crash_until_refused(f"{CRASH} beside {number}"))
            for number in range(3)
        ]
        await self.restart(f"agent-{MODEL}-2")
        await asyncio.gather(*crashing)
        self.assertGreater(await self.count_crashes(), crashes)

        async def is_done():
            return (await self.get_job(job))["status"] == "completed"

        await self.wait_until(is_done)
        found = await self.get_job(job)
        self.assertEqual(
            found["request_counts"], {"total": 40, "completed": 39, "failed": 1}
        )
        for caller in self.callers:
            await self.check_output(caller, found, texts)

    async def check_output(self, caller, job, texts):
        path = f"/v1/files/{job['output_file_id']}/content"
        lines = [json.loads(x) for x in (await caller.call("GET", path)).splitlines()]
        names = sorted(line["custom_id"] for line in lines)
        self.assertEqual(len(names), len(set(names)))
        for line in lines:
            text = texts[int(line["custom_id"].removeprefix("item-"))]
            choice = line["response"]["body"]["choices"][0]
            self.assertEqual(choice["message"]["content"], expect(text))
        path = f"/v1/files/{job['error_file_id']}/content"
        lines = [json.loads(x) for x in (await caller.call("GET", path)).splitlines()]
        failed = sorted(line["custom_id"] for line in lines)
        self.assertEqual(failed, ["item-9"])

    async def check_cancel(self):
        """Cancel a job while its items complete; nothing runs after the answer."""
        file = await self.upload([f"cancelled {number}" for number in range(60)])
        job = await self.create(1, file, "lot-2")

        async def has_some():
            return (await self.get_job(job))["request_counts"]["completed"] > 0

        await self.wait_until(has_some)
        path = f"/v1/batches/{job}/cancel"
        cancelled = json.loads(await self.callers[0].call("POST", path))
        self.assertEqual(cancelled["status"], "cancelled")
        runs = await self.count_all_runs()
        await asyncio.sleep(2.0)
        again = await self.get_job(job)
        self.assertEqual(again["request_counts"], cancelled["request_counts"])
        self.assertEqual(await self.count_all_runs(), runs)

    async def count_all_runs(self):
        runs = [await self.get_upstream(n, "/_runs") for n in self.upstream_nodes]
        return sum(counts.get("started", 0) for run in runs for counts in run.values())

    async def check_orders(self):
        """Issue orders for upstreams that ignore fences; kill an agent meanwhile."""
        engines = [f"{MODEL}-1", f"{MODEL}-2"]
        fences = {node: [] for node in engines}
        for number in range(3):
            for node in engines:
                now = SystemTimer().read_wall_clock()
                item = command.IssueOrder(
                    f"{node}/{number}", node, "load", f"extra-{number}", now
                )
                answer = await self.client.propose(item)
                fences[node].append(answer.number)
        await self.restart(f"agent-{engines[0]}")
        for node in engines:
            last = fences[node][-1]

            async def has_last(node=node, last=last):
                found = await self.get_upstream(node, "/orders")
                return any(order["fence"] == last for order in found["orders"])

            await self.wait_until(has_last)
            found = await self.get_upstream(node, "/orders")
            given = [order["fence"] for order in found["orders"]]
            self.assertEqual(given, sorted(given))
            self.assertLessEqual(set(given), set(fences[node]))

    async def check_graceful_entry(self):
        """Stop an entry and an agent gracefully; no open stream is cut."""
        events = [asyncio.Event() for _ in range(6)]
        tasks = [
            asyncio.create_task(self.stream(0, f"graceful {number}", event))
            for number, event in enumerate(events)
        ]
        for event in events:
            await event.wait()
        for node in ("entry-1", f"agent-{MODEL}-1"):
            self.processes.signal(node, signal.SIGTERM)
        for number, task in enumerate(tasks):
            self.assertEqual(await task, expect(f"graceful {number}"))
        for node in ("entry-1", f"agent-{MODEL}-1"):
            async with asyncio.timeout(fleet.STEP_SECONDS):
                self.assertEqual(await self.processes.running[node].wait(), 0)
        self.assertEqual(await self.stream(1, "after"), expect("after"))

    async def check_keys(self):
        digest = record.compute_value_digest(self.key.text)
        for node in self.upstream_nodes:
            seen = json.dumps(await self.get_upstream(node, "/_seen"))
            self.assertNotIn(digest, seen)
        for log in self.plan.folder.glob("*.log"):
            self.assertNotIn(self.key.text, log.read_text(), log.name)

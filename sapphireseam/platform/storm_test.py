"""Test that each whole request gets an answer beside many changes at once.

Configurations come in quick succession, also in parallel and with old numbers, while
upstreams pause and refuse, leaders are replaced and clients send their bodies slowly.
"""

import asyncio
import itertools
import json
import random
import tempfile
import unittest
from pathlib import Path

import aiohttp

from sapphireseam.core import command, error
from sapphireseam.platform import document, front
from sapphireseam.tools import discovered, layout
from sapphireseam.utils import loop
from sapphireseam.utils.grace import Grace

SEED = 5
ENTRIES = 2
PLAY_SECONDS = 6.0
EVENTS = 6
KEYS = {"t": "k-t", "w": "k-w"}
ROUTE_TYPES = {"res": "streaming", "str": "streaming", "safe": "safe", "uns": "unsafe"}
# A job, a read of results, and requests of each route.
KINDS = ("job", "read", *ROUTE_TYPES)
BEHAVIOURS = ("pause", "pause-head", "pause-start", "refuse", "refuse")
JOB_ROUTE = {
    "name": "job",
    "route_type": "batch",
    "path_prefix": "/job/",
    "service": "llm",
    "host": "h",
    "timeout_ms": 3000,
    "max_attempts": 3,
    "completion_target_ms": 9000,
    "retention_s": 20,
}
# Times between events of each kind; the first three are means.
REQUEST_SECONDS = 0.03
CHANGE_SECONDS = 0.3
PAUSE_SECONDS = 0.15
STORM_SECONDS = 1.5
ADDRESS_SECONDS = 0.5
LEADER_SECONDS = 3.0
# A client waits this much longer than the longest route allows.
CLIENT_SECONDS = 9.0
DEADLINE_SECONDS = 2.5


class StormTest(unittest.TestCase):
    """Runs on the programs' event loop, as all of them share one process."""

    def test_each_whole_request_gets_an_answer_beside_changes_in_quick_succession(self):
        self.rng = random.Random(SEED)
        self.version = 0
        self.statuses = []
        self.faults = []
        loop.run(self.play())
        self.assertEqual(self.faults, [])
        self.assertGreater(self.statuses.count(200), len(self.statuses) / 3)
        self.assertGreater(self.version, 30)

    async def play(self):
        with tempfile.TemporaryDirectory() as folder:
            self.fleet = discovered.DiscoveredFleet(Path(folder), 6, ENTRIES)
            for upstream, service in zip(
                self.fleet.upstreams, itertools.cycle(("llm", "other")), strict=False
            ):
                upstream.version, upstream.service, upstream.slots = "v", service, 3
            await self.fleet.start()
            for upstream in self.fleet.upstreams:
                upstream.events, upstream.event_delay = EVENTS, 0.05
            fronts = [await self.open_front(number) for number in range(ENTRIES)]
            await self.publish()
            works = (
                self.change(),
                self.change_many(),
                self.pause(),
                self.move_addresses(),
                self.replace_leaders(),
            )
            disturbing = [asyncio.create_task(work) for work in works]
            async with aiohttp.ClientSession() as self.http:
                await self.send_all()
            for task in disturbing:
                task.cancel()
            await asyncio.gather(*disturbing, return_exceptions=True)
            for each in fronts:
                await each.stop()
            await self.fleet.stop()

    async def open_front(self, number):
        callers, ready = layout.find_ports(2)
        addresses = (f"127.0.0.1:{callers}", f"127.0.0.1:{ready}")
        context = self.fleet.entries[number].context._replace(grace=Grace(1.0))
        opened = front.Front(context, *addresses)
        await opened.start()
        self.bases = [*getattr(self, "bases", ()), f"http://127.0.0.1:{callers}"]
        return opened

    def draw_route(self, name, route_type):
        service = self.rng.choice(("llm", "llm", "other"))
        shares = [{"service": "llm", "weight": 7}, {"service": "other", "weight": 3}]
        is_shared = self.rng.random() < 0.2
        return {
            "name": name,
            "host": "h",
            "path_prefix": f"/{name}/",
            "route_type": route_type,
            "resumable": name == "res",
            "timeout_ms": self.rng.choice((4000, 6000, 8000)),
            "target_latency_ms": self.rng.choice((0, 200, 400)),
            "max_attempts": self.rng.choice((1, 2, 3)),
        } | ({"weighted_services": shares} if is_shared else {"service": service})

    async def publish(self, number=0):
        self.version += self.rng.randint(1, 5)
        configuration = {
            "version": number or self.version,
            "services": [{"name": "llm"}, {"name": "other"}],
            "routes": [JOB_ROUTE]
            + [
                self.draw_route(*each)
                for each in ROUTE_TYPES.items()
                if self.version < 9 or self.rng.random() > 0.08
            ],
            "tenants": [
                {"name": name, "api_keys": [key], "rate_per_s": 200, "burst": 50}
                for name, key in KEYS.items()
                if self.version < 9 or self.rng.random() > 0.08
            ],
            "limits": {"idle_timeout_ms": self.rng.choice((200, 15_000))},
        }
        source = json.dumps(configuration).encode()
        translated = document.translate(source)
        item = command.PublishNumbered(*translated, source, 1.0)
        entry = self.rng.choice(self.fleet.entries)
        try:
            await entry.context.client.propose(item, 3.0)
        except error.SeamError:
            # Without a leader a change may fail.
            return

    async def change(self):
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / CHANGE_SECONDS))
            await self.publish(self.rng.choice((0, 0, 0, max(self.version - 3, 1))))

    async def change_many(self):
        while True:
            await asyncio.sleep(STORM_SECONDS)
            await asyncio.gather(*(self.publish() for _ in range(8)))

    async def pause(self):
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / PAUSE_SECONDS))
            upstream = self.rng.choice(self.fleet.upstreams)
            upstream.behaviours.append(self.rng.choice(BEHAVIOURS))

    async def move_addresses(self):
        while True:
            await asyncio.sleep(ADDRESS_SECONDS)
            for entry in self.fleet.entries:
                known = entry.context.client.addresses
                entry.context.client.set_configured_addresses(
                    tuple(self.rng.sample(known, self.rng.randint(1, len(known))))
                )

    async def replace_leaders(self):
        while True:
            await asyncio.sleep(LEADER_SECONDS)
            await self.fleet.restart_leader()

    async def send_all(self):
        clock = asyncio.get_running_loop().time
        end = clock() + PLAY_SECONDS
        async with asyncio.TaskGroup() as tasks:
            for number in itertools.count():
                if clock() >= end:
                    break
                tasks.create_task(self.send(number, self.rng.choice(KINDS)))
                await asyncio.sleep(self.rng.expovariate(1 / REQUEST_SECONDS))

    def make_request(self, number, kind):
        """Return the method, path, body and headers of a request."""
        key = self.rng.choice(list(KEYS.values()))
        headers = {"Host": "h", "Authorization": f"Token {key}"}
        headers["X-Attempt-Id"] = f"a{number}"
        if kind == "read":
            headers["X-Wait-Ms"] = "500"
            job = self.rng.randrange(number + 1)
            return "GET", f"/lots/a{job}?after=0", None, headers
        headers["X-Deadline-Ms"] = str(DEADLINE_SECONDS * 1000)
        if kind == "job":
            items = [{"id": f"i{number}", "path": "/job/i", "tokens": 5}]
            body = json.dumps({"requests": items}).encode()
            return "POST", "/job/x", body, headers
        if kind == "res" and self.rng.random() < 0.3:
            began = max(number - self.rng.randint(1, 60), 0)
            headers |= {"Last-Event-Id": "1", "Resumes": f"a{began}"}
        pause = self.rng.choice((0.0, 0.0, 0.1, 0.3))
        return "POST", f"/{kind}/x", send_slowly(pause), headers

    async def send(self, number, kind):
        method, path, body, headers = self.make_request(number, kind)
        clock = asyncio.get_running_loop().time
        sent = clock()
        timeout = aiohttp.ClientTimeout(total=CLIENT_SECONDS)
        try:
            async with self.http.request(
                method,
                self.rng.choice(self.bases) + path,
                data=body,
                headers=headers,
                timeout=timeout,
            ) as answer:
                received = await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as failure:
            # A stream that has begun may be cut at its deadline.
            late = clock() - sent - DEADLINE_SECONDS
            if kind not in ("res", "str") or not -0.1 < late < 1.0:
                self.faults.append((number, kind, repr(failure)))
            return
        self.statuses.append(answer.status)
        count = EVENTS - 2 if "Last-Event-Id" in headers else EVENTS
        is_event_stream = answer.status == 200 and kind in ROUTE_TYPES
        is_whole = received.count(b"data:") == count if is_event_stream else True
        is_refusal = answer.status >= 400
        if not is_whole or (is_refusal and not received.startswith(b"{")):
            self.faults.append((number, kind, answer.status, received[:80]))


async def send_slowly(pause):
    """Yield a body in three pieces."""
    for _ in range(3):
        yield b"x"
        await asyncio.sleep(pause)


if __name__ == "__main__":
    unittest.main()

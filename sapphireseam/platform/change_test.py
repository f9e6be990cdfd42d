"""Test that a change of the configuration ends no answer and no connection."""

import asyncio
import json
import tempfile
import unittest
from pathlib import Path

import aiohttp

from sapphireseam.core import command
from sapphireseam.platform import document, front
from sapphireseam.tools import discovered, layout
from sapphireseam.utils.grace import Grace

ROUTE_TYPES = {"res": "streaming", "str": "streaming", "safe": "safe", "uns": "unsafe"}
EVENTS = 6
EVENT_SECONDS = 0.15
CLIENTS = 8


class ChangeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = discovered.DiscoveredFleet(Path(folder.name), 3, 1, 1)
        for upstream in self.fleet.upstreams:
            upstream.version = "v"
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)
        for upstream in self.fleet.upstreams:
            upstream.events, upstream.event_delay = EVENTS, EVENT_SECONDS
        self.fleet.upstreams[2].service = "other"
        self.version = 0
        self.key = "k0"
        (entry,) = self.fleet.entries
        self.client = entry.context.client
        callers, ready = layout.find_ports(2)
        self.base = f"http://127.0.0.1:{callers}"
        self.front = front.Front(
            entry.context._replace(grace=Grace(1.0)),
            f"127.0.0.1:{callers}",
            f"127.0.0.1:{ready}",
        )
        await self.front.start()
        self.addAsyncCleanup(self.front.stop)
        self.connections = 0
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(self.count_connection)
        connector = aiohttp.TCPConnector(limit=CLIENTS)
        self.http = aiohttp.ClientSession(connector=connector, trace_configs=[trace])
        self.addAsyncCleanup(self.http.close)

    async def count_connection(self, *_):
        self.connections += 1

    async def publish(self, route=(), services=("llm", "other"), **fields):
        self.version += 1
        base = {"host": "h", "timeout_ms": 6000, "service": "llm", "max_attempts": 2}
        routes = [
            {"name": name, "path_prefix": f"/{name}/", "route_type": route_type}
            | {"resumable": name == "res"}
            | base
            | dict(route)
            for name, route_type in ROUTE_TYPES.items()
        ]
        configuration = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": name} for name in services],
            "tenants": [{"name": "t", "api_keys": [self.key], "rate_per_s": 500}],
        } | fields
        source = json.dumps(configuration).encode()
        number, translated = document.translate(source)
        item = command.PublishNumbered(number, translated, source, 1.0)
        await self.client.propose(item)

    async def post(self, path, attempt):
        headers = {"Host": "h", "X-Attempt-Id": attempt}
        headers["Authorization"] = f"Token {self.key}"
        async with self.http.post(
            self.base + path, data=b"b", headers=headers
        ) as answer:
            return answer.status, (await answer.read()).count(b"data:")

    async def serve_beside(self, *changes):
        """Send requests of each kind, and check that each gets a whole answer.

        The changes are made one after the other while the requests run.
        """
        names = [*ROUTE_TYPES] * (CLIENTS // len(ROUTE_TYPES))
        posts = [
            asyncio.create_task(self.post(f"/{name}/x", f"a{number}"))
            for number, name in enumerate(names)
        ]
        for change in changes:
            await asyncio.sleep(EVENT_SECONDS)
            await change()
        outcomes = await asyncio.gather(*posts, return_exceptions=True)
        self.assertEqual(outcomes, [(200, EVENTS)] * CLIENTS)
        self.assertEqual(self.connections, CLIENTS)

    async def test_answers_and_connections_outlive_every_change(self):
        await self.publish()
        elsewhere = {"service": "other", "max_attempts": 1, "timeout_ms": 3000}

        async def replace_key():
            self.key = "k1"
            await self.publish()

        async def drop_upstream():
            self.fleet.upstreams[0].service = "gone"
            await self.publish()

        for changes in (
            (self.publish, replace_key, self.publish),
            (
                lambda: self.publish(elsewhere, limits={"idle_timeout_ms": 100}),
                lambda: self.publish({"resumable": False, "priority": 4}),
                lambda: self.publish({"service": "other"}, ("other",)),
            ),
            (
                lambda: self.publish(routes=[], services=[]),
                lambda: self.publish(tenants=[]),
                self.publish,
            ),
            (drop_upstream, self.publish),
        ):
            with self.subTest(changes):
                await self.serve_beside(*changes)

    async def test_headers_are_accepted_up_to_a_limit_that_was_raised(self):
        await self.publish()
        await self.post("/safe/x", "a0")
        await self.publish(limits={"max_header_bytes": 60_000})
        for size, status in ((20_000, 200), (50_000, 200), (70_000, 400)):
            headers = {"Host": "h", "X-Attempt-Id": f"a{size}", "X-Long": "x" * size}
            headers["Authorization"] = f"Token {self.key}"
            async with self.http.post(
                self.base + "/safe/x", data=b"b", headers=headers
            ) as answer:
                self.assertEqual(answer.status, status)

    async def test_a_pause_beside_a_change_ends_no_answer(self):
        await self.publish()
        for behaviour in ("pause-head", "pause"):
            for upstream in self.fleet.upstreams[:2]:
                upstream.behaviours = [behaviour] * CLIENTS
            with self.subTest(behaviour):
                await self.serve_beside(
                    self.publish,
                    lambda: self.publish({"max_attempts": 1}),
                    lambda: self.publish({"service": "other"}, ("other",)),
                    self.publish,
                )


if __name__ == "__main__":
    unittest.main()

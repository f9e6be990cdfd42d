"""Tests that upstreams get no more requests than the limits that they name allow.

An upstream names its limit in its answers. While it does, all entries together send it
no more, also while leaders and entries change, and the other upstreams take the load.
"""

import asyncio
import contextlib
import itertools
import json
import random
import tempfile
import time
import unittest
from pathlib import Path

from sapphireseam.core import fleet as configuration
from sapphireseam.ops import session
from sapphireseam.scripts import demo
from sapphireseam.tools import discovered, fleet, layout
from sapphireseam.utils import loop

STREAM = configuration.Route("/s/", "llm", streamed=True, target=1.0)
# The bound of the target: this much more than the limit in any window, in seconds.
WINDOW_SECONDS = 4.0
ALLOWED_SHARE = 1.5
ALLOWED_REQUESTS = 5
# A limit must be known everywhere this long after it was first named, in seconds.
CONTACT_SECONDS = 1.0
# Online requests per second, and for how long upstreams name their limits.
RATE = 60.0
NAMED_SECONDS = 7.0
ENTRIES = 3
# The limit that a service with an agent names, and the requests per second to three.
SERVICE_RATE = 3.0
SERVICE_LOAD = 30.0
SHAPE = layout.Shape(
    "ie-south",
    (layout.Replicas("wording-llm", 1), layout.Replicas("label-store", 3, True)),
    ("grower-1",),
    rate=2000.0,
    burst=4000.0,
)
# Share of the requests that the upstreams must serve that name no limit.
MIN_SERVED = 0.9


def count_excess(arrivals, rate, since, until):
    """Return by how many requests a window exceeds the bound, 0 if none does."""
    inside = [at for at in arrivals if since <= at <= until]
    allowed = ALLOWED_SHARE * rate * WINDOW_SECONDS + ALLOWED_REQUESTS
    counts = (
        sum(begin <= at < begin + WINDOW_SECONDS for at in inside) for begin in inside
    )
    return max((count - allowed for count in counts), default=0.0)


class DirectPathTest(unittest.TestCase):
    """Runs on the programs' event loop, as all of them share one process."""

    def run_fleet(self, work):
        async def run():
            with tempfile.TemporaryDirectory() as folder:
                self.fleet = discovered.DiscoveredFleet(Path(folder), 6, ENTRIES)
                for upstream in self.fleet.upstreams:
                    upstream.event_delay = 0.02
                self.replies = []
                self.entries = list(range(ENTRIES))
                await self.fleet.start()
                sending = asyncio.create_task(self.send_forever())
                try:
                    await work()
                finally:
                    sending.cancel()
                    await asyncio.gather(sending, return_exceptions=True)
                    await self.fleet.stop()

        loop.run(run())

    async def send_forever(self):
        async with asyncio.TaskGroup() as tasks:
            for number in itertools.count():
                tasks.create_task(self.send(f"r{number}"))
                await asyncio.sleep(self.rng.expovariate(RATE))

    async def send(self, id):
        request = discovered.Request(id, STREAM, (id,))
        reply = await self.fleet.send(self.rng.choice(self.entries), request)
        self.replies.append(reply)

    async def restart(self):
        """Replace the leader, then an entry that knows nothing."""
        await asyncio.sleep(1.5)
        await self.fleet.restart_leader()
        self.entries.remove(0)
        await self.fleet.restart_entry(0)
        self.entries.append(0)

    def play(self, seed, with_restarts):
        self.rng = random.Random(seed)
        rates = [round(self.rng.uniform(1.5, 4.0), 1) for _ in range(4)]

        async def play():
            clock = asyncio.get_running_loop().time
            await asyncio.sleep(self.rng.uniform(1.0, 1.5))
            named = list(zip(self.fleet.upstreams, rates, strict=False))
            begin = clock()
            for upstream, rate in named:
                upstream.ceiling = str(rate)
            if with_restarts:
                await self.restart()
            await asyncio.sleep(max(begin + NAMED_SECONDS - clock(), 0.0))
            end = clock()
            for upstream, _ in named:
                upstream.ceiling = ""
            await asyncio.sleep(2 * CONTACT_SECONDS)
            for upstream, rate in named:
                since = begin + CONTACT_SECONDS
                excess = count_excess(upstream.arrivals, rate, since, end)
                self.assertLessEqual(excess, 0.0, f"{upstream.name} named {rate}")
                self.assertTrue(any(since <= at <= end for at in upstream.arrivals))
            # Without limits the upstreams share the load again.
            free = sum(
                at > end + CONTACT_SECONDS
                for upstream, _ in named
                for at in upstream.arrivals
            )
            self.assertGreater(free, 2 * sum(rates) * CONTACT_SECONDS)
            sent = [each for each in self.replies if each.sent >= begin]
            served = sum(each.failure is None for each in sent) / len(sent)
            self.assertGreaterEqual(served, MIN_SERVED)

        self.run_fleet(play)

    def test_upstreams_get_no_more_than_the_limits_they_name(self):
        for seed in (1, 2):
            with self.subTest(seed=seed):
                self.play(seed, with_restarts=False)

    def test_named_limits_hold_under_a_new_leader_and_a_restarted_entry(self):
        for seed in (3, 4):
            with self.subTest(seed=seed):
                self.play(seed, with_restarts=True)


class AgentPathTest(unittest.IsolatedAsyncioTestCase):
    async def start(self):
        """Start a fleet in which one of three upstreams names a limit."""
        stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        plan = layout.lay_out(folder, SHAPE)
        upstreams = [p for p in plan.processes if p.program == "seam-upstream"]
        self.upstreams = [each for each in upstreams if "label-store" in each.node]
        settings = json.loads(self.upstreams[0].settings.read_text())
        settings["hooks"] = {"ceiling": str(SERVICE_RATE)}
        self.upstreams[0].settings.write_text(json.dumps(settings))
        running = await stack.enter_async_context(fleet.run(plan))
        self.http = running.http
        key = await session.issue_key(running.client, "grower-1", time.time())
        self.callers = [
            demo.Caller(self.http, entry, key.text) for entry in plan.entries
        ]

    async def count_runs(self, number):
        base = self.upstreams[number].health.removesuffix("/health")
        async with self.http.get(f"{base}/_runs") as response:
            runs = await response.json()
        return sum(each["started"] for each in runs.values())

    async def test_an_upstream_gets_no_more_than_the_limit_it_names(self):
        await self.start()
        rng = random.Random(1)

        async def send(number):
            path = f"/label-store/labels/{number}.png"
            await rng.choice(self.callers).call("GET", path)

        async with asyncio.TaskGroup() as tasks:
            for number in range(int(SERVICE_LOAD * WINDOW_SECONDS * 2)):
                tasks.create_task(send(number))
                await asyncio.sleep(1 / SERVICE_LOAD)
        counts = [await self.count_runs(number) for number in range(3)]
        # Two windows, with what was sent before the limit was known.
        allowed = ALLOWED_SHARE * SERVICE_RATE * WINDOW_SECONDS + ALLOWED_REQUESTS
        self.assertLessEqual(counts[0], 2 * allowed)
        self.assertGreater(counts[0], SERVICE_RATE * WINDOW_SECONDS)
        self.assertGreaterEqual(sum(counts), SERVICE_LOAD * WINDOW_SECONDS * 2)


if __name__ == "__main__":
    unittest.main()

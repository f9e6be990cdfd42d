"""Tests that pauses of sound upstreams end no answer beside changes of the fleet.

Upstreams pause at random, at times all of them at once, while configurations are
published one after the other and the leader is replaced.
"""

import asyncio
import itertools
import json
import random
import tempfile
import unittest
from pathlib import Path

from sapphireseam.core import command, error, fleet
from sapphireseam.tools import discovered
from sapphireseam.utils import loop

STREAM = fleet.Route("/s/", "llm", streamed=True, target=0.3, attempts=1)
RESUMABLE = STREAM._replace(path="/r/", idempotent=True, attempts=2)
ONCE = RESUMABLE._replace(path="/o/", attempts=1)
SAFE = fleet.Route("/w/", "llm", idempotent=True, target=0.2, attempts=3)
ROUTES = (STREAM, RESUMABLE, ONCE, SAFE)
PAUSES = ("pause-head", "pause-start", "pause")
SEED = 3
UPSTREAMS = 3
ENTRIES = 2
EVENTS = 6
PLAY_SECONDS = 6.0
# Mean times between requests, between pauses of one upstream and between those of all,
# and the time between two configurations, in seconds.
REQUEST_SECONDS = 0.06
PAUSE_SECONDS = 0.1
WAVE_SECONDS = 1.5
PUBLISH_SECONDS = 0.3


class PauseTest(unittest.TestCase):
    """Runs on the programs' event loop, as all of them share one process."""

    def test_pauses_beside_changes_of_configuration_and_leader_end_no_answer(self):
        self.rng = random.Random(SEED)
        self.replies = {}
        self.published = 0
        loop.run(self.play())
        failures = [reply.failure for reply in self.replies.values() if reply.failure]
        cut = [id for id, each in self.replies.items() if each.failure and each.events]
        self.assertEqual(cut, [])
        self.assertEqual([str(each) for each in failures if not each.not_run], [])
        complete = [each for each in self.replies.values() if not each.failure]
        self.assertEqual({each.events for each in complete}, {EVENTS})
        self.assertGreater(len(complete), len(self.replies) / 2)
        self.assertGreater(self.published, 3)

    async def play(self):
        with tempfile.TemporaryDirectory() as folder:
            self.fleet = discovered.DiscoveredFleet(Path(folder), UPSTREAMS, ENTRIES)
            for upstream in self.fleet.upstreams:
                upstream.event_delay, upstream.events = 0.02, EVENTS
            await self.fleet.start()
            works = (self.pause(), self.pause_all(), self.publish(), self.replace())
            disturbing = [asyncio.create_task(work) for work in works]
            try:
                async with asyncio.TaskGroup() as tasks:
                    await self.send_all(tasks)
            finally:
                for task in disturbing:
                    task.cancel()
                await asyncio.gather(*disturbing, return_exceptions=True)
                await self.fleet.stop()

    async def send_all(self, tasks):
        clock = asyncio.get_running_loop().time
        end = clock() + PLAY_SECONDS
        numbers = itertools.count()
        while clock() < end:
            tasks.create_task(self.send(f"r{next(numbers)}"))
            await asyncio.sleep(self.rng.expovariate(1 / REQUEST_SECONDS))

    async def send(self, id):
        request = discovered.Request(id, self.rng.choice(ROUTES), (id,), seconds=8.0)
        self.replies[id] = await self.fleet.send(self.rng.randrange(ENTRIES), request)

    async def pause(self):
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / PAUSE_SECONDS))
            upstream = self.rng.choice(self.fleet.upstreams)
            upstream.behaviours.append(self.rng.choice(PAUSES))

    async def pause_all(self):
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / WAVE_SECONDS))
            for upstream in self.fleet.upstreams:
                upstream.behaviours += self.rng.choices(PAUSES, k=3)

    async def publish(self):
        for number in itertools.count(1):
            document = {
                "services": {"llm": {}},
                "routes": {"r": {"path": "/x/", "service": "llm", "timeout": number}},
            }
            data = json.dumps(document).encode()
            item = command.PublishNumbered(number, data, b"", 1.0)
            try:
                await self.fleet.entries[0].context.client.propose(item, 2.0)
                self.published += 1
            except error.SeamError:
                continue
            finally:
                await asyncio.sleep(PUBLISH_SECONDS)

    async def replace(self):
        await asyncio.sleep(PLAY_SECONDS / 2)
        await self.fleet.restart_leader()


if __name__ == "__main__":
    unittest.main()

"""Test that a domain of cold upstreams gets no more than its rate from all entries.

Half of the upstreams start again as other runs while many callers wait for them, once
with a leader and entries that change meanwhile.
"""

import asyncio
import contextlib
import itertools
import random
import tempfile
import unittest
from pathlib import Path

from sapphireseam.core import fleet as configuration
from sapphireseam.core.ceiling import make_key
from sapphireseam.core.instance import get_run_name
from sapphireseam.tools import discovered
from sapphireseam.utils import loop

STREAM = configuration.Route("/s/", "llm", streamed=True, target=1.0)
DOCUMENT = {"services": {"llm": {"cold_rate": 12.0, "cold_seconds": 7.0}}}
COLD_RATE = 12
COLD_SECONDS = 7.0
# Within this time all entries know who is cold.
KNOWN_SECONDS = 5.0
# Requests that were sent before then arrive within this time.
ARRIVAL_SECONDS = 0.3
# Requests per second, more than the other upstreams have slots for.
RATE = 120.0
ENTRIES = 3
UPSTREAMS = 4
COLD_UPSTREAMS = 2
# Requests of one second that may arrive in the next one, on a busy machine.
LATE_REQUESTS = 2
# Longest time for which a caller that isn't served may wait, in seconds.
REFUSAL_SECONDS = 1.0


class ColdFleetTest(unittest.TestCase):
    async def send_forever(self):
        async with asyncio.TaskGroup() as tasks:
            for number in itertools.count():
                tasks.create_task(self.send(f"r{number}"))
                await asyncio.sleep(self.rng.expovariate(RATE))

    async def send(self, id):
        await self.send_at(self.rng.choice(self.entries), id)

    async def send_at(self, entry, id="r"):
        request = discovered.Request(id, STREAM, (id,))
        self.replies.append(await self.fleet.send(entry, request))

    async def change(self):
        """Replace the leader, then an entry that knows nothing."""
        await asyncio.sleep(0.8)
        await self.fleet.restart_leader()
        self.entries.remove(0)
        await self.fleet.restart_entry(0)
        self.entries.append(0)

    async def wait_known(self, instances):
        """Wait until all entries know that instances are cold, as the list lags."""
        keys = {make_key(get_run_name(each), True) for each in instances}
        async with asyncio.timeout(KNOWN_SECONDS):
            while True:
                mirrors = [entry.context.mirror for entry in self.fleet.entries]
                if all(keys <= mirror.ceilings.keys() for mirror in mirrors):
                    return
                await asyncio.sleep(discovered.POLL_SECONDS)

    async def run_fleet(self, with_changes):
        clock = asyncio.get_running_loop().time
        await self.fleet.start()
        await self.fleet.publish(DOCUMENT)
        sending = asyncio.create_task(self.send_forever())
        try:
            await asyncio.sleep(1.0)
            begin = clock()
            cold = self.fleet.upstreams[:COLD_UPSTREAMS]
            for upstream in cold:
                upstream.born += 1
                upstream.cold_until = begin + COLD_SECONDS
            await self.wait_known([each.instance for each in cold])
            since = clock() + ARRIVAL_SECONDS
            if with_changes:
                await self.change()
            await asyncio.sleep(max(begin + COLD_SECONDS - clock(), 0.0) + 2.0)
        finally:
            sending.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await sending
            await self.fleet.stop()
        until = begin + COLD_SECONDS
        for upstream in cold:
            inside = [at for at in upstream.arrivals if since <= at < until]
            most = max(sum(s <= at < s + 1.0 for at in inside) for s in inside)
            self.assertLessEqual(most, COLD_RATE + LATE_REQUESTS, upstream.name)
            self.assertGreater(len(inside), COLD_RATE)
            after = [at for at in upstream.arrivals if at >= until + 1.0]
            self.assertGreater(len(after), COLD_RATE)
        failed = [r for r in self.replies if r.failure is not None and r.sent >= begin]
        slow = [each for each in failed if each.ended - each.sent > REFUSAL_SECONDS]
        self.assertLess(len(slow), 0.02 * len(self.replies))

    def play(self, seed, with_changes):
        self.rng, self.replies = random.Random(seed), []
        self.entries = list(range(ENTRIES))
        with tempfile.TemporaryDirectory() as folder:
            self.fleet = discovered.DiscoveredFleet(Path(folder), UPSTREAMS, ENTRIES)
            for upstream in self.fleet.upstreams:
                upstream.event_delay = 0.05
            loop.run(self.run_fleet(with_changes))

    def test_cold_upstreams_get_their_rate_and_others_the_rest(self):
        self.play(1, with_changes=False)

    async def crash_without_leader(self):
        first = self.fleet.upstreams[0]
        first.bad_parts, first.down_seconds = frozenset({"bad"}), 0.3
        clock = asyncio.get_running_loop().time
        await self.fleet.start()
        await self.fleet.publish(DOCUMENT)
        try:
            await self.fleet.stop_controls()
            await asyncio.sleep(0.5)
            for number in itertools.count():
                request = discovered.Request(f"b{number}", STREAM, ("bad", "own"))
                await self.fleet.send(0, request._replace(seconds=0.2))
                if first.crashes:
                    break
            await asyncio.sleep(first.down_seconds)
            before = len(first.arrivals)
            end = clock() + 1.0
            while clock() < end:
                await self.send_at(0)
            self.assertEqual(len(first.arrivals), before)
            self.assertFalse(self.replies[-1].failure)
        finally:
            await self.fleet.stop()

    def test_an_entry_without_a_leader_sends_nothing_to_a_run_that_has_crashed(self):
        with tempfile.TemporaryDirectory() as folder:
            self.replies = []
            self.fleet = discovered.DiscoveredFleet(Path(folder), UPSTREAMS, 1)
            loop.run(self.crash_without_leader())

    def test_the_rate_holds_under_a_new_leader_and_a_restarted_entry(self):
        self.play(2, with_changes=True)


if __name__ == "__main__":
    unittest.main()

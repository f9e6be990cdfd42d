"""Tests what a fleet knows about its upstreams beside the list of a platform."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from sapphireseam.control import poller
from sapphireseam.core import fleet
from sapphireseam.tools import discovered
from sapphireseam.utils import loop

ROUTE = fleet.Route("/s/", "llm", streamed=True, target=0.3, attempts=2)
REQUESTS = 8


class DiscoveredFleetTest(unittest.TestCase):
    """Runs on the programs' event loop, as all of them share one process."""

    def run_fleet(self, work, upstreams, entries, **options):
        """Run a coroutine function with a running fleet."""

        async def run():
            with tempfile.TemporaryDirectory() as folder:
                self.fleet = discovered.DiscoveredFleet(
                    Path(folder), upstreams, entries, **options
                )
                await self.fleet.start()
                try:
                    await work()
                finally:
                    await self.fleet.stop()

        loop.run(run())

    async def send_all(self, entry, name):
        """Send requests one after the other; return those that failed."""
        replies = [
            await self.fleet.send(
                entry, discovered.Request(f"{name}-{number}", ROUTE, ("own",))
            )
            for number in range(REQUESTS)
        ]
        return [each for each in replies if each.failure]

    def test_a_new_leader_sends_nothing_to_an_upstream_that_told_an_entry_it_leaves(
        self,
    ):
        async def replace_leader():
            leaving = self.fleet.upstreams[0]
            leaving.is_leaving = True
            self.assertEqual(await self.send_all(0, "before"), [])
            await self.fleet.restart_leader()
            before = len(leaving.runs)
            self.assertEqual(await self.send_all(1, "after"), [])
            self.assertEqual(len(leaving.runs), before)

        self.run_fleet(replace_leader, 2, 2)

    def test_an_evacuation_is_in_force_everywhere_until_it_is_taken_back(self):
        async def set_evacuation(is_evacuated):
            # The order is sent to two control VMs at once.
            admins = list(self.fleet.admins.values())[:2]
            orders = [
                each.set_evacuation("a", is_evacuated, lambda: True) for each in admins
            ]
            await asyncio.gather(*orders)

        async def evacuate():
            first, _ = self.fleet.upstreams
            first.domain = "a"
            for upstream in self.fleet.upstreams:
                upstream.event_delay = 0.2
            await asyncio.sleep(2 * poller.POLL_SECONDS)
            request = discovered.Request("long", ROUTE, ("own",))
            sends = [self.fleet.send(0, request._replace(id=f"l{n}")) for n in (1, 2)]
            running = asyncio.gather(*sends)
            await asyncio.sleep(0.1)
            begun = len(first.runs)
            self.assertTrue(begun)
            await set_evacuation(True)
            for upstream in self.fleet.upstreams:
                upstream.event_delay = 0.0
            for entry in (0, 1):
                self.assertEqual(await self.send_all(entry, f"evacuated-{entry}"), [])
            # Work that runs there ends there.
            self.assertEqual([each.failure for each in await running], [None, None])
            self.assertEqual(len(first.runs), begun)
            replacing = asyncio.create_task(self.fleet.restart_leader())
            while not replacing.done():
                await self.send_all(1, "election")
            await replacing
            for entry in (0, 1):
                self.assertEqual(await self.send_all(entry, f"new-leader-{entry}"), [])
            self.assertEqual(len(first.runs), begun)
            await set_evacuation(False)
            await self.send_all(0, "back")
            self.assertGreater(len(first.runs), begun)

        self.run_fleet(evacuate, 2, 2)

    def test_a_request_is_served_right_after_each_upstream_broke_an_answer(self):
        async def break_all():
            for _ in range(REQUESTS):
                for upstream in self.fleet.upstreams:
                    upstream.behaviours = ["drop"]
                broken = discovered.Request("broken", ROUTE, ("own",))
                await self.fleet.send(0, broken)
                await self.fleet.send(0, broken)
                sound = discovered.Request("sound", ROUTE, ("own",))
                self.assertIsNone((await self.fleet.send(0, sound)).failure)

        self.run_fleet(break_all, 2, 1)

    def test_entries_whose_leader_is_lost_at_a_crest_fill_the_upstreams_evenly(self):
        async def lose_leaders():
            before = [len(upstream.runs) for upstream in self.fleet.upstreams]
            await self.fleet.stop_controls()
            requests = [
                self.fleet.send(
                    entry, discovered.Request(f"{entry}-{number}", ROUTE, ("own",))
                )
                for entry in range(4)
                for number in range(2)
            ]
            replies = await asyncio.gather(*requests)
            self.assertEqual([each for each in replies if each.failure], [])
            after = [len(upstream.runs) for upstream in self.fleet.upstreams]
            got = [now - then for now, then in zip(after, before, strict=True)]
            self.assertEqual(got, [2] * 4)

        self.run_fleet(lose_leaders, 4, 4, spreads_load=True)


if __name__ == "__main__":
    unittest.main()

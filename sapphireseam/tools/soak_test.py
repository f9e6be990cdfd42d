"""Play a short soak of one seed, and test what a seed draws.

Seeds that showed a fault of the product are listed with their causes in
docs/measure/soak.md and get a test here each; there is none so far.
"""

import asyncio
import tempfile
import unittest
from pathlib import Path

from sapphireseam.tools import layout, soak

PROFILE = Path(__file__).parents[2] / "examples" / "load" / "soak.json"
# A short run's seed, its requests a second, and how long it may take, in seconds.
SEED = 1
RATE = 60.0
LIMIT_SECONDS = 180.0


class WireTest(unittest.TestCase):
    def test_all_but_entries_are_reached_through_a_proxy(self):
        with tempfile.TemporaryDirectory() as folder:
            plan = layout.lay_out(Path(folder), soak.describe_shape(RATE))
            wired = soak.insert_proxies(plan)
        known = {item.node for item in plan.processes if item.program != "seam-entry"}
        self.assertEqual(set(wired.links), known)
        self.assertTrue(
            set(plan.controls) <= {link.address for link in wired.links.values()}
        )
        self.assertEqual(len(wired.runs), len(plan.configuration["upstreams"]))


class FaultsTest(unittest.IsolatedAsyncioTestCase):
    async def draw(self, seed):
        """Return what a seed does to a fleet whose faults take no time."""
        played = []
        with tempfile.TemporaryDirectory() as folder:
            plan = layout.lay_out(Path(folder), soak.describe_shape(RATE))
            faults = soak.FaultInjector(None, soak.insert_proxies(plan), seed)

        async def note(node, seconds):
            played.append((node, round(seconds, 6)))

        faults._ways = dict.fromkeys(faults._ways, note)
        for _ in range(30):
            faults._begin()
            await asyncio.sleep(0)
        return played

    async def test_a_seed_draws_the_same_faults_each_time(self):
        first, second, other = [await self.draw(seed) for seed in (7, 7, 8)]
        self.assertEqual(first, second)
        self.assertNotEqual(first, other)

    async def test_one_control_vm_is_harmed_at_a_time(self):
        with tempfile.TemporaryDirectory() as folder:
            plan = layout.lay_out(Path(folder), soak.describe_shape(RATE))
            faults = soak.FaultInjector(None, soak.insert_proxies(plan), 1)
        faults._harmed.add("control-1")
        self.assertFalse(faults._may_harm("control-2"))
        self.assertTrue(faults._may_harm("agent-post-app-1"))


class SoakTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_short_soak_breaks_no_promise(self):
        with tempfile.TemporaryDirectory() as folder:
            async with asyncio.timeout(LIMIT_SECONDS):
                result = await soak.soak(Path(folder), PROFILE, RATE, SEED)
            self.assertEqual(result.faults, 0, soak.render(result, Path(folder)))
            self.assertTrue(result.counts)


if __name__ == "__main__":
    unittest.main()

"""Tests a short soak of one seed and the faults that a seed draws.

Seeds that revealed a fault of the system are listed with their causes in
docs/measure/soak.md, each with its test.
"""

import asyncio
import json
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from sapphireseam.tools import layout, misbehavior, promptpart, soak

PROFILE = Path(__file__).parents[2] / "examples" / "load" / "soak.json"
# Seed of the short run, its requests per second and its time limit, in seconds.
SEED = 1
RATE = 60.0
LIMIT_SECONDS = 180.0


class ProxyInsertionTest(unittest.TestCase):
    def test_all_but_entries_are_reached_through_a_proxy(self):
        with tempfile.TemporaryDirectory() as folder:
            plan = layout.lay_out(Path(folder), soak.describe_shape(RATE))
            proxied_fleet = soak.insert_proxies(plan)
        proxied = {item.node for item in plan.processes if item.program != "seam-entry"}
        self.assertEqual(set(proxied_fleet.links), proxied)
        self.assertTrue(
            set(plan.controls)
            <= {link.address for link in proxied_fleet.links.values()}
        )
        self.assertEqual(len(proxied_fleet.runs), len(plan.configuration["upstreams"]))

    def test_no_moved_process_gets_the_port_of_another(self):
        # So few ports that those of the layout would be drawn again.
        first_outgoing = int(layout.OUTGOING_PORTS.read_text().split()[0])
        few = 100
        with (
            mock.patch.object(layout, "FIRST_PORT", first_outgoing - few),
            mock.patch.object(layout, "MAX_TRIES", few),
            tempfile.TemporaryDirectory() as folder,
        ):
            plan = layout.lay_out(Path(folder), soak.describe_shape(RATE))
            proxied_fleet = soak.insert_proxies(plan)
        targets = {link.target for link in proxied_fleet.links.values()}
        moved = {int(target.rsplit(":", 1)[1]) for target in targets}
        self.assertEqual(len(moved), len(proxied_fleet.links))
        (reservation,) = plan.reservations
        self.assertEqual(moved & set(reservation.ports), set())


class FaultInjectorTest(unittest.IsolatedAsyncioTestCase):
    async def draw(self, seed):
        """Return the faults of a seed for a fleet whose faults take no time."""
        injected = []
        with tempfile.TemporaryDirectory() as folder:
            plan = layout.lay_out(Path(folder), soak.describe_shape(RATE))
            faults = soak.FaultInjector(None, soak.insert_proxies(plan), seed)

        async def record_fault(node, seconds):
            injected.append((node, round(seconds, 6)))

        faults._actions = dict.fromkeys(faults._actions, record_fault)
        for _ in range(30):
            faults._inject()
            await asyncio.sleep(0)
        return injected

    async def test_a_seed_draws_the_same_faults_each_time(self):
        first, second, other = [await self.draw(seed) for seed in (7, 7, 8)]
        self.assertEqual(first, second)
        self.assertNotEqual(first, other)

    async def test_only_one_control_vm_has_a_fault_at_a_time(self):
        with tempfile.TemporaryDirectory() as folder:
            plan = layout.lay_out(Path(folder), soak.describe_shape(RATE))
            faults = soak.FaultInjector(None, soak.insert_proxies(plan), 1)
        faults._faulty.add("control-1")
        self.assertFalse(faults._may_inject("control-2"))
        self.assertTrue(faults._may_inject("agent-post-app-1"))


class LoadTest(unittest.IsolatedAsyncioTestCase):
    async def run_load(self):
        """Run a load of no requests; return its result."""
        with (
            tempfile.TemporaryDirectory() as folder,
            mock.patch.object(promptpart, "Play") as play,
            mock.patch.object(asyncio, "create_subprocess_exec"),
        ):
            play.return_value.run_until = lambda wait: asyncio.sleep(0.01, [])
            plan = layout.lay_out(Path(folder), soak.describe_shape(RATE))
            keys = Path(folder) / "keys"
            keys.write_text(json.dumps({soak.CUSTOMERS[0]: "key"}))
            (plan.folder / "report.json").write_text('{"faults": 0}')
            proxied_fleet = soak.insert_proxies(plan)
            return await soak._run_load(
                proxied_fleet, None, PROFILE, keys, SEED, mock.Mock()
            )

    async def test_clients_that_misbehave_no_more_are_a_finding(self):
        self.assertEqual((await self.run_load()).faults, 0)
        failing = mock.AsyncMock(side_effect=ValueError("no kind"))
        with mock.patch.object(misbehavior.Client, "run", failing):
            result = await self.run_load()
        self.assertEqual(result.faults, 1)
        self.assertIn("no kind", result.findings[0])


class SoakTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_short_soak_finds_no_fault(self):
        with tempfile.TemporaryDirectory() as folder:
            async with asyncio.timeout(LIMIT_SECONDS):
                result = await soak.soak(Path(folder), PROFILE, RATE, SEED)
            self.assertEqual(result.faults, 0, soak.render(result, Path(folder)))
            self.assertTrue(result.counts)
            self.assertTrue(any(name.startswith("client ") for name in result.counts))
            self.assertIn(promptpart.QUARANTINED, result.parts)


if __name__ == "__main__":
    unittest.main()

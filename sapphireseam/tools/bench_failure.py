"""Measure what is lost, doubled or cut while parts of a fleet keep failing.

A fleet runs on loopback under `seam-load`; every few seconds an agent or a
control VM is killed and started again, frozen for a while, or stopped with
notice. Entries are left alone here: `seam-load` knows no balancer, so a
connection to an entry that is gone would count as lost though no promise was
broken; their loss is tested in `promise_test`.
"""

import asyncio
import collections
import random
import signal
import sys
import tempfile
from pathlib import Path
from typing import Annotated

import typer

from sapphireseam.tools import fleet, layout
from sapphireseam.utils import loop

CUSTOMERS = ("grower-1", "grower-2")
# Engines with more room than the load needs, also with one of them gone.
SPEEDS = {"max_running": 64, "step_base": 0.01, "step_per_sequence": 0.0}
# Time between two failures, how long a process stays away or frozen, seconds.
PERIOD_SECONDS = 4.0
AWAY_SECONDS = 0.5
FROZEN_SECONDS = 3.0

app = typer.Typer(add_completion=False)


def describe_shape(rate: float) -> layout.Shape:
    """Return the fleet, with limits that this load won't meet."""
    replicas = (
        layout.Replicas("wording-llm", 3, slots=32),
        layout.Replicas("label-store", 2, True, 32),
        layout.Replicas("post-app", 2, True, 32),
    )
    return layout.Shape(
        "ie-south", replicas, CUSTOMERS, rate=10 * rate, burst=20 * rate
    )


class Saboteur:
    """Bring about one failure after the other, the same for one seed."""

    def __init__(self, processes: fleet.Processes, plan: layout.Layout, seed: int):
        self.counts: collections.Counter[str] = collections.Counter()
        self._processes = processes
        self._items = {
            item.node: item
            for item in plan.processes
            if item.program in ("seam-agent", "seam-control")
        }
        self._rng = random.Random(seed)

    async def run(self) -> None:
        """Go on until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_SECONDS)
            node = self._rng.choice(sorted(self._items))
            way = self._rng.choice((self._kill, self._freeze, self._stop))
            program = self._items[node].program
            self.counts[f"{program} {way.__name__.strip('_')}"] += 1
            await way(node)

    async def _restart(self, node: str) -> None:
        await self._processes.running[node].wait()
        await asyncio.sleep(AWAY_SECONDS)
        await self._processes.start(self._items[node])

    async def _kill(self, node: str) -> None:
        self._processes.signal(node, signal.SIGKILL)
        await self._restart(node)

    async def _stop(self, node: str) -> None:
        self._processes.signal(node, signal.SIGTERM)
        await self._restart(node)

    async def _freeze(self, node: str) -> None:
        self._processes.signal(node, signal.SIGSTOP)
        try:
            await asyncio.sleep(FROZEN_SECONDS)
        finally:
            self._processes.signal(node, signal.SIGCONT)


async def measure(
    folder: Path, profile: Path, rate: float, seed: int, admission: str
) -> int:
    """Run the fleet, the load and the failures; return the load's exit code."""
    plan = layout.lay_out(folder, describe_shape(rate), SPEEDS)
    plan.configuration["policy"] = {"admission": admission}
    async with fleet.run(plan) as running:
        keys = await fleet.write_keys(running.client, CUSTOMERS, folder)
        return await run_load(plan, running.processes, profile, keys, seed)


async def run_load(
    plan: layout.Layout,
    processes: fleet.Processes,
    profile: Path,
    keys: Path,
    seed: int,
) -> int:
    """Run `seam-load` beside the failures and return its exit code."""
    arguments = ["--profile", str(profile), "--keys", str(keys)]
    arguments += ["--output", str(plan.folder / "report.json")]
    for entry in plan.entries:
        arguments += ["--entry", f"http://{entry}"]
    for upstream in plan.configuration["upstreams"].values():
        arguments += ["--upstream", f"http://{upstream['address']}"]
    saboteur = Saboteur(processes, plan, seed)
    failures = asyncio.create_task(saboteur.run())
    binary = Path(sys.executable).parent / "seam-load"
    process = await asyncio.create_subprocess_exec(binary, *arguments)
    try:
        return await process.wait()
    finally:
        failures.cancel()
        await asyncio.gather(failures, return_exceptions=True)
        typer.echo(f"failures: {dict(sorted(saboteur.counts.items()))}")


@app.command()
def bench(
    profile: Annotated[Path, typer.Option(help="The run, for seam-load.")],
    rate: Annotated[float, typer.Option(help="Requests a second of the run.")] = 200,
    seed: Annotated[int, typer.Option(help="Seed of the failures.")] = 1,
    admission: Annotated[str, typer.Option(help="The policy's choice.")] = "fixed",
    folder: Annotated[Path | None, typer.Option(help="Where files go.")] = None,
) -> None:
    """Measure what is lost, doubled or cut under failures.

    Example: python -m sapphireseam.tools.bench_failure
    --profile examples/load/failure.json
    """
    target = folder or Path(tempfile.mkdtemp(prefix="seam-bench-"))
    sys.exit(loop.run(measure(target, profile, rate, seed, admission)))


if __name__ == "__main__":
    app()

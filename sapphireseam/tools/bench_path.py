"""Measures the latency and CPU time that the serving path adds to a call.

A fleet with one simulated engine runs on loopback. `seam-load` then compares
direct calls to the engine with the same calls through an entry. Both sides
alternate within one run, so that other load on the machine affects them equally.
"""

import asyncio
import sys
import tempfile
from pathlib import Path
from typing import Annotated

import typer

from sapphireseam.tools import fleet, layout
from sapphireseam.utils import loop

CUSTOMER = "grower-1"
MODEL = "wording-llm"

# The engine always has a free slot, so that only the time of the path differs.
SPEEDS = {"max_running": 256, "step_base": 0.01, "step_per_sequence": 0.0}
# Policy choices that differ from the defaults, by their names in the configuration.
POLICY: dict[str, str] = {}

app = typer.Typer(add_completion=False)


def describe_shape(rate: float) -> layout.Shape:
    """Return a fleet with one engine and limits above the rate of the load."""
    replicas = (layout.Replicas(MODEL, 1, slots=256),)
    return layout.Shape(
        "ie-south",
        replicas,
        (CUSTOMER,),
        entries=1,
        rate=10 * rate,
        burst=20 * rate,
    )


async def compare(folder: Path, profile: Path, rounds: int, rate: float) -> int:
    """Run the fleet and the comparison; return the exit code of `seam-load`."""
    plan = layout.lay_out(folder, describe_shape(rate), SPEEDS)
    plan.configuration["policy"] = POLICY
    async with fleet.run(plan) as running:
        keys = await fleet.write_keys(running.client, (CUSTOMER,), folder)
        return await run_load(plan, running.processes, profile, keys, rounds)


async def run_load(
    plan: layout.Layout,
    processes: fleet.Processes,
    profile: Path,
    keys: Path,
    rounds: int,
) -> int:
    """Run `seam-load` against the fleet and return its exit code."""
    upstream = plan.configuration["upstreams"][f"{MODEL}-1"]["address"]
    arguments = [
        "--profile",
        str(profile),
        "--direct",
        f"http://{upstream}",
        "--through",
        f"http://{plan.entries[0]}",
        "--keys",
        str(keys),
        "--rounds",
        str(rounds),
        "--output",
        str(plan.folder / "report.json"),
    ]
    for item in plan.processes:
        side = "upstream" if item.program == "seam-upstream" else "system"
        pid = processes.read_pid(item.node)
        arguments += [f"--{side}-pid", f"{item.node}={pid}"]
    binary = Path(sys.executable).parent / "seam-load"
    process = await asyncio.create_subprocess_exec(binary, *arguments)
    return await process.wait()


@app.command()
def bench(
    profile: Annotated[Path, typer.Option(help="The run, for seam-load.")],
    rounds: Annotated[int, typer.Option(help="Rounds a side.")] = 6,
    rate: Annotated[float, typer.Option(help="Requests a second of the run.")] = 200,
    folder: Annotated[Path | None, typer.Option(help="Where files go.")] = None,
) -> None:
    """Compare calls through the system with direct ones.

    Example: python -m sapphireseam.tools.bench_path --profile examples/load/path.json
    """
    target = folder or Path(tempfile.mkdtemp(prefix="seam-bench-"))
    sys.exit(loop.run(compare(target, profile, rounds, rate)))


if __name__ == "__main__":
    app()

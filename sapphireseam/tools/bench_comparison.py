"""Compares the policies with their baselines on one deployment, over several seeds.

The load of each seed runs four times, each on a fresh fleet: with the policies and
with their baselines, each with and without the batch jobs. One table gives the
four main measures: batch throughput, the slowdown of the online tail by batch
work, the share of the worst-served customer, and false refusals.
"""

import json
import statistics
import sys
import tempfile
from pathlib import Path
from typing import Annotated, NamedTuple

import typer

from sapphireseam.core import error
from sapphireseam.scripts import load as load_script
from sapphireseam.tools import bench_deployment, engine, layout, table
from sapphireseam.utils import loop, program

POLICIES = {
    "policy": {},
    "baseline": {
        "queue": "first_come",
        "admission": "fixed",
        "router": "round_robin",
    },
}
SEEDS = [1, 2, 3]
FIRST_TOKEN = "all first token"

app = typer.Typer(add_completion=False)


class Row(NamedTuple):
    """The measures of one seed under one choice of policies.

    `used` is the share of the engines' capacity, in tokens a second, that was used
    while jobs were unfinished. `harm` is the p99 of the online first token with
    jobs, divided by the p99 without. `worst` is the part of its fair share that
    the worst-served customer got.
    """

    policy: str
    seed: int
    used: float
    batch_rate: float
    jobs_late: int
    p99_without: float
    p99_with: float
    harm: float
    worst: float
    false_refusals: int
    over_admission: float
    faults: int


def compute_capacity(shape: layout.Shape, speeds: engine.Speeds) -> float:
    """Return the tokens a second of all engines with every slot in use.

    The result ignores prefill, so it is an upper bound that no run reaches.
    """
    step = speeds.step_base + speeds.step_per_sequence * speeds.max_running
    per_engine = speeds.max_running / (step * speeds.slow_factor)
    return per_engine * sum(item.count for item in shape.replicas if not item.service)


def make_row(
    policy: str, seed: int, capacity: float, without_jobs: dict, with_jobs: dict
) -> Row:
    """Return one seed's measures from the reports of its two runs."""
    p99_without = without_jobs["latencies"][FIRST_TOKEN]["p99"]
    p99_with = with_jobs["latencies"][FIRST_TOKEN]["p99"]
    limits = [item["limit"] for item in with_jobs["customers"].values()]
    return Row(
        policy=policy,
        seed=seed,
        used=round(with_jobs["batch"]["tokens_per_second"] / capacity, 3),
        batch_rate=with_jobs["batch"]["batch_tokens_per_second"],
        jobs_late=with_jobs["batch"]["jobs_late"],
        p99_without=p99_without,
        p99_with=p99_with,
        harm=round(p99_with / p99_without, 3),
        worst=with_jobs["worst_of_fair_share"],
        false_refusals=sum(item["false_refusals"] for item in limits),
        over_admission=max(item["over_admission"] for item in limits),
        faults=without_jobs["faults"] + with_jobs["faults"],
    )


def summarize(rows: list[Row]) -> list[list]:
    """Return table rows with each measure's median, minimum and maximum by policy."""
    lines = []
    for policy in dict.fromkeys(row.policy for row in rows):
        policy_rows = [row for row in rows if row.policy == policy]
        for field in Row._fields[2:]:
            values = [getattr(row, field) for row in policy_rows]
            median = round(statistics.median(values), 3)
            lines.append([f"{policy} {field}", median, min(values), max(values)])
    return lines


async def run_one(
    folder: Path, profile: Path, policy: str, seed: int, jobs: bool, seconds: float
) -> dict:
    """Run one load on a fresh fleet and return its report."""
    name = f"{policy}-{seed}-{'with' if jobs else 'without'}"
    report = folder / f"{name}.json"
    options = ["--seed", str(seed), "--seconds", str(seconds), "--output", str(report)]
    if not jobs:
        options.append("--no-jobs")
    typer.echo(f"running {name}", err=True)
    await bench_deployment.measure(folder / name, profile, options, POLICIES[policy])
    return json.loads(report.read_text())


async def run_all(
    folder: Path, profile: Path, seeds: list[int], seconds: float
) -> list[Row]:
    """Run every policy with every seed and return the rows."""
    shape = bench_deployment.SHAPES[load_script.read_profile(profile).name]
    capacity = compute_capacity(shape, engine.Speeds())
    rows = []
    for seed in seeds:
        for policy in POLICIES:
            without_jobs = await run_one(folder, profile, policy, seed, False, seconds)
            with_jobs = await run_one(folder, profile, policy, seed, True, seconds)
            rows.append(make_row(policy, seed, capacity, without_jobs, with_jobs))
            text = table.render_table(Row._fields, rows)
            (folder / "rows.txt").write_text(text + "\n")
    return rows


@app.command()
def bench(
    profile: Annotated[Path, typer.Option(help="The run, for seam-load.")],
    seed: Annotated[
        list[int] | None, typer.Option(help="A seed; repeat for more.")
    ] = None,
    seconds: Annotated[float, typer.Option(help="Online seconds a run.")] = 20.0,
    folder: Annotated[Path | None, typer.Option(help="Where files go.")] = None,
) -> None:
    """Compare the policies with their baselines on one deployment.

    Example: python -m sapphireseam.tools.bench_comparison --profile
    examples/load/bureau.json --seed 1 --seed 2
    """
    target = folder or Path(tempfile.mkdtemp(prefix="seam-bench-"))
    target.mkdir(parents=True, exist_ok=True)
    try:
        rows = loop.run(run_all(target, profile, seed or SEEDS, seconds))
    except error.SettingsError as failure:
        typer.echo(failure.message, err=True)
        sys.exit(program.BAD_SETTINGS_EXIT)
    typer.echo(table.render_table(Row._fields, rows))
    typer.echo()
    headings = ["measure", "median", "lowest", "highest"]
    typer.echo(table.render_table(headings, summarize(rows)))


if __name__ == "__main__":
    app()

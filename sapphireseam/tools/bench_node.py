"""Measures the resource use of idle processes, mirrors and load reports.

By default a small fleet runs and the table gives the CPU and memory use of each
idle process. With `--customers` and `--upstreams` one mirror receives a
configuration of that size, and the row gives the size, the time that one change
takes and the growth of the memory. With `--links` the table gives the CPU use of
an agent's load reports by the number of entries.
"""

import asyncio
import json
import os
import tempfile
import time
from pathlib import Path
from typing import Annotated, Any

import typer

from sapphireseam.core import exchange, fleet as fleets, key, message, notice
from sapphireseam.tools import bench_control, fleet, layout
from sapphireseam.utils import loop, rpc
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.mirror import Mirror
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import SystemTimer

IDLE_SECONDS = 10.0
CHANGES = 5

app = typer.Typer(add_completion=False)


def describe_configuration(customers: int, upstreams: int) -> dict[str, Any]:
    """Return a configuration with these numbers of customers and upstreams."""
    document = bench_control.describe_customers(customers)
    document["failure_domains"] = {"a": {"region": "r"}}
    document["models"] = {"m": {"version": "m-1"}}
    document["versions"] = {"m-1": {"model": "m", "weights": "m.safetensors"}}
    document["upstreams"] = {
        f"m-{number}": {
            "failure_domain": "a",
            "version": "m-1",
            "address": f"10.0.{number >> 8}.{number & 255}:9000",
            "agent": f"10.0.{number >> 8}.{number & 255}:8000",
        }
        for number in range(upstreams)
    }
    return document


async def measure_mirror(customers: int, upstreams: int) -> str:
    """Return a mirror's row: bytes of the snapshot, ms a change, MB of memory."""
    timer = SystemTimer()
    timeline = Timeline("bench", timer)
    client = ControlClient((), ("", ""), timer)
    mirror = Mirror("bench", "bench", client, ("none",), timeline, timer)
    before = bench_control.read_usage(os.getpid()).memory
    document = describe_configuration(customers, upstreams)
    encoded = json.dumps(document).encode()
    keys = tuple(
        key.Key(f"{n:012x}", f"customer-{n:05}", key.digest(str(n)), 0.0)
        for n in range(customers)
    )
    snapshot = notice.Whole(1, encoded, keys, ())
    size = len(message.REGISTRY.encode(snapshot))
    mirror._apply(snapshot)
    del document, encoded, keys, snapshot
    start = time.process_time()
    for number in range(CHANGES):
        contract = {"rate": 6 + number, "burst": 20}
        changes = {"contracts": {"standard": contract}}
        mirror._apply(notice.FleetChange(2 + number, json.dumps(changes).encode()))
    milliseconds = (time.process_time() - start) / CHANGES * 1000
    growth = (bench_control.read_usage(os.getpid()).memory - before) / 1e6
    assert len(fleets.check(mirror.fleet)) == 0
    return f"{customers} | {upstreams} | {size} | {milliseconds:.1f} | {growth:.0f}"


async def measure_idle(folder: Path) -> None:
    """Print the CPU and memory use of each idle process of a small fleet."""
    plan = layout.lay_out(folder, layout.SMALL)
    async with fleet.run(plan) as running:
        pids = {p.node: running.processes.read_pid(p.node) for p in plan.processes}
        before = {n: bench_control.read_usage(p) for n, p in pids.items()}
        await asyncio.sleep(IDLE_SECONDS)
        typer.echo("| process | % of a core | resident MB |")
        typer.echo("|---|---|---|")
        for node, pid in pids.items():
            usage = bench_control.read_usage(pid)
            share = (usage.cpu - before[node].cpu) / IDLE_SECONDS * 100
            typer.echo(f"| {node} | {share:.1f} | {usage.memory / 1e6:.0f} |")


async def follow_load(channel: rpc.Channel, number: int) -> None:
    """Receive an agent's load reports in place of an entry."""
    stream = await channel.open(exchange.Connect(f"entry-{number}"))
    while True:
        await stream.receive()


async def measure_load_reports(folder: Path) -> None:
    """Print the CPU use of an agent's load reports by the number of entries."""
    plan = layout.lay_out(folder, layout.SMALL)
    agent = plan.configuration["upstreams"]["wording-llm-1"]["agent"]
    credential = (rpc.FLEET_HEADER, layout.FLEET_SECRET)
    tasks: list[asyncio.Task] = []
    async with fleet.run(plan) as running:
        pids = (running.processes.read_pid("agent-wording-llm-1"), os.getpid())
        typer.echo("| entries | agent % of a core | receivers % of a core |")
        typer.echo("|---|---|---|")
        for count in (0, 50, 150, 350):
            while len(tasks) < count:
                channel = rpc.Channel(agent, credential)
                receiving = follow_load(channel, len(tasks))
                tasks.append(asyncio.create_task(receiving))
            await asyncio.sleep(1.0)
            before = [bench_control.read_usage(pid).cpu for pid in pids]
            await asyncio.sleep(IDLE_SECONDS)
            after = [bench_control.read_usage(pid).cpu for pid in pids]
            used = [
                (end - start) / IDLE_SECONDS * 100
                for end, start in zip(after, before, strict=True)
            ]
            typer.echo(f"| {count} | {used[0]:.1f} | {used[1]:.1f} |")
        for task in tasks:
            task.cancel()


@app.command()
def bench(
    customers: Annotated[int, typer.Option(help="One mirror of this size.")] = 0,
    upstreams: Annotated[int, typer.Option(help="One mirror of this size.")] = 0,
    links: Annotated[bool, typer.Option(help="An agent's load reports.")] = False,
) -> None:
    """Measure idle processes, or one mirror of a size (a fresh process each).

    Example: python -m sapphireseam.tools.bench_node --customers 500 --upstreams 300
    """
    if customers:
        typer.echo(f"| {loop.run(measure_mirror(customers, upstreams))} |")
        return
    measure = measure_load_reports if links else measure_idle
    loop.run(measure(Path(tempfile.mkdtemp(prefix="seam-bench-"))))


if __name__ == "__main__":
    app()

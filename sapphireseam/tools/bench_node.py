"""Measure what control costs a node: an idle entry or agent, and its mirror.

The first table runs a small fleet and reads what each idle process uses. The
second gives a mirror configurations of growing size and reads the time that
one change takes and the memory that it holds.
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


def describe(customers: int, upstreams: int) -> dict[str, Any]:
    """Return a configuration with so many customers and upstreams."""
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
    """Return a mirror's row: bytes of the whole, ms a change, MB of memory."""
    timer = SystemTimer()
    line = Timeline("bench", timer)
    client = ControlClient((), ("", ""), timer)
    mirror = Mirror("bench", "bench", client, ("none",), line, timer)
    before = bench_control.read_usage(os.getpid()).memory
    document = describe(customers, upstreams)
    packed = json.dumps(document).encode()
    keys = tuple(
        key.Key(f"{n:012x}", f"customer-{n:05}", key.digest(str(n)), 0.0)
        for n in range(customers)
    )
    whole = notice.Whole(1, packed, keys, (), ())
    size = len(message.REGISTRY.encode(whole))
    mirror._apply(whole)
    del document, packed, keys, whole
    start = time.process_time()
    for number in range(CHANGES):
        contract = {"rate": 6 + number, "burst": 20}
        changes = {"contracts": {"standard": contract}}
        mirror._apply(notice.FleetChange(2 + number, json.dumps(changes).encode()))
    milliseconds = (time.process_time() - start) / CHANGES * 1000
    grown = (bench_control.read_usage(os.getpid()).memory - before) / 1e6
    assert len(fleets.check(mirror.fleet)) == 0
    return f"{customers} | {upstreams} | {size} | {milliseconds:.1f} | {grown:.0f}"


async def measure_idle(folder: Path) -> None:
    """Print what each idle process of a small fleet uses."""
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
    """Receive an agent's load reports as an entry would."""
    stream = await channel.open(exchange.Connect(f"entry-{number}"))
    while True:
        await stream.receive()


async def measure_links(folder: Path) -> None:
    """Print what an agent's load reports cost by the number of entries."""
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
                work = follow_load(channel, len(tasks))
                tasks.append(asyncio.create_task(work))
            await asyncio.sleep(1.0)
            before = [bench_control.read_usage(pid).cpu for pid in pids]
            await asyncio.sleep(IDLE_SECONDS)
            after = [bench_control.read_usage(pid).cpu for pid in pids]
            used = [
                (now - then) / IDLE_SECONDS * 100
                for now, then in zip(after, before, strict=True)
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
    measure = measure_links if links else measure_idle
    loop.run(measure(Path(tempfile.mkdtemp(prefix="seam-bench-"))))


if __name__ == "__main__":
    app()

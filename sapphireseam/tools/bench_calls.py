"""Measures the CPU time that rate limits and batch items take on the control VMs.

Three control VMs run as processes. This process makes the calls of the entries
that debit limits, or of the agents that pull and complete items. A row gives the
rate that was reached and the CPU time of each unit, on the leader and on all
three control VMs together.
"""

import asyncio
import json
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, NamedTuple

import typer

from sapphireseam.core import command, error, message
from sapphireseam.tools import bench_control, fleet, layout
from sapphireseam.utils import loop, rpc, upload
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.timer import SystemTimer

CUSTOMER = "grower-1"
MODEL = "wording-llm"
CHAT = "/v1/chat/completions"
ITEMS = 12_000
AGENTS = 8
ENTRIES = 8
DEBIT_SECONDS = 4.0
# The size of an item's output line; its input line is about as long.
LINE_BYTES = 600

app = typer.Typer(add_completion=False)
timer = SystemTimer()


class Cost(NamedTuple):
    """A run's rate and its CPU microseconds a unit, on the leader and in total."""

    rate: float
    leader: float
    total: float


def render_line(number: int) -> bytes:
    """Return one input line of a typical size."""
    body = {"model": MODEL, "messages": [{"role": "user", "content": "x" * 450}]}
    line = {"custom_id": f"i{number}", "method": "POST", "url": CHAT, "body": body}
    return json.dumps(line).encode()


class CpuMeter:
    """Measures the CPU time that the control VMs have used since it was created."""

    def __init__(self, processes: fleet.Processes, plan: layout.Layout, leader: str):
        names = bench_control.find_controls(plan)
        self._pids = {name: processes.read_pid(name) for name in names}
        self._leader = leader
        self._before = self._read()
        self._start = time.monotonic()

    def _read(self) -> dict[str, float]:
        return {n: bench_control.read_usage(p).cpu for n, p in self._pids.items()}

    def finish(self, units: int) -> Cost:
        """Return the cost of each of `units` units since the meter was created."""
        seconds = time.monotonic() - self._start
        after = self._read()
        used = {name: after[name] - self._before[name] for name in after}
        leader = used[self._leader] / units * 1e6
        return Cost(units / seconds, leader, sum(used.values()) / units * 1e6)


async def submit_job(client: ControlClient, number: int) -> str:
    """Store an input file, submit a job for it and return the job's id."""
    data = b"\n".join(render_line(item) for item in range(ITEMS))
    blob = await upload.write(client, data)
    now = timer.read_wall_clock()
    file, job = f"file-{number}", f"batch_{number}"
    await client.propose(
        command.CreateFile(
            file,
            file,
            CUSTOMER,
            file,
            "batch",
            blob,
            len(data),
            ITEMS,
            CHAT,
            MODEL,
            now,
        )
    )
    due = now + 86_400
    await client.propose(
        command.SubmitJob(job, job, CUSTOMER, "", file, CHAT, due, now)
    )
    return job


async def run_agent(client: ControlClient, name: str, chunk: int) -> int:
    """Pull and complete chunks until none is left; return the number of items."""
    done = 0
    line = b"y" * LINE_BYTES
    while True:
        work = await client.call(message.Pull(name, name, MODEL, "", chunk))
        if not work.lease:
            return done
        results = tuple((item, n, False) for n, (item, _) in enumerate(work.items))
        lines = b"\n".join(line for _ in results)
        await client.call(message.CompleteChunk(work.lease, lines, results))
        done += len(results)


async def measure_items(
    processes: fleet.Processes, plan: layout.Layout, clients: list[ControlClient]
) -> None:
    """Print the rate of items by the size of a chunk."""
    typer.echo("| items a chunk | items/s | leader us/item | 3 VMs us/item |")
    typer.echo("|---|---|---|---|")
    leader = await bench_control.find_leader(clients[0], plan)
    for number, chunk in enumerate((4, 16, 64)):
        await submit_job(clients[0], number)
        meter = CpuMeter(processes, plan, leader)
        agents = [
            run_agent(clients[index % len(clients)], f"agent-{index}", chunk)
            for index in range(AGENTS)
        ]
        cost = meter.finish(sum(await asyncio.gather(*agents)))
        cells = f"{cost.rate:.0f} | {cost.leader:.0f} | {cost.total:.0f}"
        typer.echo(f"| {chunk} | {cells} |")


async def debit_until(client: ControlClient, name: str, size: int, end: float) -> int:
    """Debit `size` requests a call until `end`; return the number of debits."""
    debits = 0
    wanted = ((CUSTOMER, 1.0),) * size
    while time.monotonic() < end:
        await client.call(message.Debit(name, wanted))
        debits += size
    return debits


async def wait_for_owner(client: ControlClient) -> None:
    """Return once the limits' owner answers debits."""
    async with asyncio.timeout(fleet.STEP_SECONDS):
        while True:
            try:
                await client.call(message.Debit("probe", ((CUSTOMER, 1.0),)))
                return
            except error.SeamError as failure:
                await asyncio.sleep(failure.retry_after)


async def measure_limits(
    processes: fleet.Processes, plan: layout.Layout, clients: list[ControlClient]
) -> None:
    """Print the rate of debits by the number of debits in a call."""
    typer.echo("| debits a call | debits/s | leader us/debit | 3 VMs us/debit |")
    typer.echo("|---|---|---|---|")
    leader = await bench_control.find_leader(clients[0], plan)
    await wait_for_owner(clients[0])
    for size in (1, 8, 64):
        meter = CpuMeter(processes, plan, leader)
        end = time.monotonic() + DEBIT_SECONDS
        entries = [
            debit_until(clients[index % len(clients)], f"entry-{index}", size, end)
            for index in range(ENTRIES)
        ]
        cost = meter.finish(sum(await asyncio.gather(*entries)))
        cells = f"{cost.rate:.0f} | {cost.leader:.1f} | {cost.total:.1f}"
        typer.echo(f"| {size} | {cells} |")


Benchmark = Callable[
    [fleet.Processes, layout.Layout, list[ControlClient]], Awaitable[None]
]
BENCHMARKS: dict[str, Benchmark] = {"items": measure_items, "limits": measure_limits}


async def run_benchmark(folder: Path, name: str) -> None:
    """Run three control VMs and one benchmark on them."""
    replicas = (layout.Replicas(MODEL, 1),)
    shape = layout.Shape("ie-south", replicas, (CUSTOMER,), entries=0)
    plan = layout.lay_out(folder, shape)
    controls = tuple(p for p in plan.processes if p.program == "seam-control")
    plan = plan._replace(processes=controls)
    credential = (rpc.FLEET_HEADER, layout.FLEET_SECRET)
    clients = [ControlClient(plan.controls, credential, timer) for _ in range(AGENTS)]
    async with fleet.run(plan) as running:
        await BENCHMARKS[name](running.processes, plan, clients)
        for client in clients:
            await client.stop()


@app.command()
def bench(
    name: Annotated[str, typer.Argument(help="items or limits.")],
    folder: Annotated[Path | None, typer.Option(help="Where files go.")] = None,
) -> None:
    """Measure limits and items at the control VMs.

    Example: python -m sapphireseam.tools.bench_calls limits
    """
    if name not in BENCHMARKS:
        raise typer.BadParameter(f"expected one of {', '.join(BENCHMARKS)}")
    target = folder or Path(tempfile.mkdtemp(prefix="seam-bench-"))
    loop.run(run_benchmark(target, name))


if __name__ == "__main__":
    app()

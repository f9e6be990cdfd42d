"""Measure what limits and batch items cost the control VMs.

Three control VMs run as processes; this one plays the entries that debit, or
the agents that pull and complete, through the same calls as the real ones. A
row gives the rate that was reached and the processor time that each unit cost
the leader and the other two together.
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
# An item's line and its answer's, in bytes.
LINE_BYTES = 600

app = typer.Typer(add_completion=False)
timer = SystemTimer()


class Cost(NamedTuple):
    """Hold a run's rate and CPU microseconds a unit: leader, all control VMs."""

    rate: float
    leader: float
    together: float


def render_line(number: int) -> bytes:
    """Return one input line of the usual size."""
    body = {"model": MODEL, "messages": [{"role": "user", "content": "x" * 450}]}
    line = {"custom_id": f"i{number}", "method": "POST", "url": CHAT, "body": body}
    return json.dumps(line).encode()


class Meter:
    """Read what the control VMs have used between two moments."""

    def __init__(self, processes: fleet.Processes, plan: layout.Layout, leader: str):
        names = bench_control.find_controls(plan)
        self._pids = {name: processes.read_pid(name) for name in names}
        self._leader = leader
        self._before = self._read()
        self._start = time.monotonic()

    def _read(self) -> dict[str, float]:
        return {n: bench_control.read_usage(p).cpu for n, p in self._pids.items()}

    def finish(self, units: int) -> Cost:
        """Return the cost of so many units since the meter was made."""
        seconds = time.monotonic() - self._start
        after = self._read()
        used = {name: after[name] - self._before[name] for name in after}
        leader = used[self._leader] / units * 1e6
        return Cost(units / seconds, leader, sum(used.values()) / units * 1e6)


async def submit_job(client: ControlClient, number: int) -> str:
    """Store an input file and submit a job over it."""
    data = b"\n".join(render_line(place) for place in range(ITEMS))
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
    """Pull and complete chunks until there are no more; return the items."""
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


async def bench_items(
    processes: fleet.Processes, plan: layout.Layout, clients: list[ControlClient]
) -> None:
    """Print items a second by the size of a chunk."""
    typer.echo("| items a chunk | items/s | leader us/item | 3 VMs us/item |")
    typer.echo("|---|---|---|---|")
    leader = await bench_control.find_leader(clients[0], plan)
    for number, chunk in enumerate((4, 16, 64)):
        await submit_job(clients[0], number)
        meter = Meter(processes, plan, leader)
        agents = [
            run_agent(clients[place % len(clients)], f"agent-{place}", chunk)
            for place in range(AGENTS)
        ]
        cost = meter.finish(sum(await asyncio.gather(*agents)))
        shown = f"{cost.rate:.0f} | {cost.leader:.0f} | {cost.together:.0f}"
        typer.echo(f"| {chunk} | {shown} |")


async def debit_forever(client: ControlClient, name: str, size: int, end: float) -> int:
    """Debit `size` requests a call until a moment; return how many were asked."""
    asked = 0
    wanted = ((CUSTOMER, 1.0),) * size
    while time.monotonic() < end:
        await client.call(message.Debit(name, wanted))
        asked += size
    return asked


async def wait_for_owner(client: ControlClient) -> None:
    """Return once the limits' owner grants and refuses."""
    async with asyncio.timeout(fleet.STEP_SECONDS):
        while True:
            try:
                await client.call(message.Debit("probe", ((CUSTOMER, 1.0),)))
                return
            except error.SeamError as failure:
                await asyncio.sleep(failure.retry_after)


async def bench_limits(
    processes: fleet.Processes, plan: layout.Layout, clients: list[ControlClient]
) -> None:
    """Print debits a second by the number that shares a call."""
    typer.echo("| debits a call | debits/s | leader us/debit | 3 VMs us/debit |")
    typer.echo("|---|---|---|---|")
    leader = await bench_control.find_leader(clients[0], plan)
    await wait_for_owner(clients[0])
    for size in (1, 8, 64):
        meter = Meter(processes, plan, leader)
        end = time.monotonic() + DEBIT_SECONDS
        entries = [
            debit_forever(clients[place % len(clients)], f"entry-{place}", size, end)
            for place in range(ENTRIES)
        ]
        cost = meter.finish(sum(await asyncio.gather(*entries)))
        shown = f"{cost.rate:.0f} | {cost.leader:.1f} | {cost.together:.1f}"
        typer.echo(f"| {size} | {shown} |")


Bench = Callable[[fleet.Processes, layout.Layout, list[ControlClient]], Awaitable[None]]
BENCHES: dict[str, Bench] = {"items": bench_items, "limits": bench_limits}


async def run_bench(folder: Path, name: str) -> None:
    """Run three control VMs and one bench on them."""
    replicas = (layout.Replicas(MODEL, 1),)
    shape = layout.Shape("ie-south", replicas, (CUSTOMER,), entries=0)
    plan = layout.lay_out(folder, shape)
    controls = tuple(p for p in plan.processes if p.program == "seam-control")
    plan = plan._replace(processes=controls)
    credential = (rpc.FLEET_HEADER, layout.FLEET_SECRET)
    clients = [ControlClient(plan.controls, credential, timer) for _ in range(AGENTS)]
    async with fleet.run(plan) as running:
        await BENCHES[name](running.processes, plan, clients)
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
    if name not in BENCHES:
        raise typer.BadParameter(f"one of {', '.join(BENCHES)}")
    target = folder or Path(tempfile.mkdtemp(prefix="seam-bench-"))
    loop.run(run_bench(target, name))


if __name__ == "__main__":
    app()

"""Measures the resource use and delays of the control VMs.

The benchmarks cover watchers, publishes, configuration sizes and the loss of the
leader. Three control VMs run as processes on loopback. The watchers are mirrors
inside this process, each with its own connection. docs/CAPACITY.md derives its
slopes from these figures.
"""

import asyncio
import os
import signal
import statistics
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import typer

from sapphireseam.core import message
from sapphireseam.ops import session
from sapphireseam.tools import fleet, layout
from sapphireseam.utils import loop, rpc
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.mirror import Mirror
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import SystemTimer

WINDOW_SECONDS = 6.0
ROW_PUBLISHES = 30
RATE_PUBLISHES = 400
POLL_SECONDS = 0.002
_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")

app = typer.Typer(add_completion=False)
timer = SystemTimer()


class Usage(NamedTuple):
    """A process's resource use: CPU seconds and resident bytes."""

    cpu: float
    memory: int


def read_usage(pid: int) -> Usage:
    """Return a process's CPU seconds and resident memory."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    cpu = (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND
    return Usage(cpu, int(fields[21]) * os.sysconf("SC_PAGE_SIZE"))


def describe_customers(count: int) -> dict[str, Any]:
    """Return a configuration with `count` customers under two contracts."""
    contracts = {
        "standard": {"rate": 5, "burst": 20},
        "large": {"rate": 50, "burst": 100, "weight": 4},
    }
    customers = {
        f"customer-{number:05}": {
            "contract": "large" if number % 9 == 0 else "standard"
        }
        for number in range(count)
    }
    return {"contracts": contracts, "customers": customers}


class Relay:
    """A TCP proxy between watchers and one control VM that counts the bytes."""

    def __init__(self, target: str):
        self._target = target
        self.byte_count = 0
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, layout.HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{layout.HOST}:{port}"

    async def stop(self) -> None:
        """Stop listening."""
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = self._target.rsplit(":", 1)
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        await asyncio.gather(
            self._pump(reader, target_writer), self._pump(target_reader, writer)
        )

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65536):
            self.byte_count += len(data)
            writer.write(data)
        writer.close()


class Watchers:
    """A set of mirrors that watch the control VMs.

    The control VM that a mirror tries first rotates from mirror to mirror.
    """

    def __init__(self, addresses: tuple[str, ...]):
        self._addresses = addresses
        self._clients: list[ControlClient] = []
        self.mirrors: list[Mirror] = []

    async def start(self, count: int) -> None:
        """Start mirrors until there are `count` and wait until all are confirmed."""
        credential = (rpc.FLEET_HEADER, layout.FLEET_SECRET)
        while len(self.mirrors) < count:
            number = len(self.mirrors)
            offset = number % len(self._addresses)
            addresses = self._addresses[offset:] + self._addresses[:offset]
            client = ControlClient(addresses, credential, timer)
            name = f"watcher-{number}"
            timeline = Timeline(name, timer)
            mirror = Mirror(name, "bench", client, addresses, timeline, timer)
            self._clients.append(client)
            self.mirrors.append(mirror)
            await mirror.start()
        await wait_until(lambda: all(m.is_confirmed() for m in self.mirrors))

    async def stop(self) -> None:
        """Stop all mirrors."""
        for mirror in self.mirrors:
            await mirror.stop()
        for client in self._clients:
            await client.stop()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Return once the condition holds; raise TimeoutError after STEP_SECONDS."""
    async with asyncio.timeout(fleet.STEP_SECONDS):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(POLL_SECONDS)


def find_controls(plan: layout.Layout) -> list[str]:
    """Return the names of the control VMs."""
    return [p.node for p in plan.processes if p.program == "seam-control"]


async def measure_cores(processes: fleet.Processes, plan: layout.Layout) -> float:
    """Return the mean number of cores that the control VMs use together."""
    pids = [processes.read_pid(node) for node in find_controls(plan)]
    before = sum(read_usage(pid).cpu for pid in pids)
    start = time.monotonic()
    await asyncio.sleep(WINDOW_SECONDS)
    used = sum(read_usage(pid).cpu for pid in pids) - before
    return used / (time.monotonic() - start)


async def publish_once(
    client: ControlClient,
    document: dict[str, Any],
    revision: int,
    mirrors: list[Mirror],
) -> tuple[float, float]:
    """Return the seconds until a publish was accepted and until all mirrors had it."""
    document["contracts"]["standard"]["rate"] = 5 + revision % 2
    start = time.monotonic()
    now = timer.read_wall_clock()
    await session.publish(client, document, revision, now)
    accepted = time.monotonic() - start
    await wait_until(lambda: all(m.revision > revision for m in mirrors))
    return accepted, time.monotonic() - start


async def measure_publish_times(
    client: ControlClient, document: dict[str, Any], mirrors: list[Mirror]
) -> str:
    """Publish sequentially; return the times as cells of a table row."""
    view = await session.read_fleet(client)
    revision = view.revision
    times = []
    for number in range(ROW_PUBLISHES):
        times.append(await publish_once(client, document, revision + number, mirrors))
    accepted = sorted(pair[0] * 1000 for pair in times)
    in_force = sorted(pair[1] * 1000 for pair in times)
    return (
        f"{statistics.median(accepted):.1f} | {statistics.median(in_force):.1f}"
        f" | {in_force[-1]:.1f}"
    )


async def measure_watchers(
    processes: fleet.Processes, plan: layout.Layout, client: ControlClient
) -> None:
    """Print cores, bytes and publish times by the number of watchers."""
    relays = [Relay(address) for address in plan.controls]
    for relay in relays:
        await relay.start()
    watchers = Watchers(tuple(relay.address for relay in relays))
    typer.echo(
        "| watchers | cores of 3 control VMs | bytes/s a watcher"
        " | accepted p50 ms | in force p50 ms | in force max ms |"
    )
    typer.echo("|---|---|---|---|---|---|")
    idle = await measure_cores(processes, plan)
    typer.echo(f"| 0 | {idle:.3f} | | | | |")
    document = describe_customers(50)
    for count in (6, 60, 180, 350):
        await watchers.start(count)
        before = sum(relay.byte_count for relay in relays)
        cores = await measure_cores(processes, plan)
        forwarded = sum(relay.byte_count for relay in relays) - before
        rate = forwarded / WINDOW_SECONDS / count
        cells = await measure_publish_times(client, document, watchers.mirrors)
        typer.echo(f"| {count} | {cores:.3f} | {rate:.0f} | {cells} |")
    await watchers.stop()
    for relay in relays:
        await relay.stop()


async def measure_sizes(
    processes: fleet.Processes, plan: layout.Layout, client: ControlClient
) -> None:
    """Print memory and publish times by the number of customers."""
    watchers = Watchers(plan.controls)
    await watchers.start(6)
    typer.echo(
        "| customers | resident MB of a control VM"
        " | accepted p50 ms | in force p50 ms | in force max ms |"
    )
    typer.echo("|---|---|---|---|---|")
    for count in (50, 500, 1500, 4600):
        cells = await measure_publish_times(
            client, describe_customers(count), watchers.mirrors
        )
        pid = processes.read_pid(find_controls(plan)[0])
        megabytes = read_usage(pid).memory / 1e6
        typer.echo(f"| {count} | {megabytes:.0f} | {cells} |")
    await watchers.stop()


async def measure_publishes(
    processes: fleet.Processes, plan: layout.Layout, client: ControlClient
) -> None:
    """Print the rate and times of sequential publishes with six watchers."""
    watchers = Watchers(plan.controls)
    await watchers.start(6)
    document = describe_customers(50)
    revision = (await session.read_fleet(client)).revision
    start = time.monotonic()
    times = []
    for number in range(RATE_PUBLISHES):
        times.append(
            await publish_once(client, document, revision + number, watchers.mirrors)
        )
    rate = RATE_PUBLISHES / (time.monotonic() - start)
    typer.echo("| publishes/s | accepted p50, p99 ms | in force p50, p99 ms |")
    typer.echo("|---|---|---|")
    cells = []
    for column in zip(*times, strict=True):
        percentiles = statistics.quantiles(column, n=100)
        cells.append(f"{percentiles[49] * 1000:.1f}, {percentiles[98] * 1000:.1f}")
    typer.echo(f"| {rate:.0f} | {cells[0]} | {cells[1]} |")
    await watchers.stop()


async def find_leader(client: ControlClient, plan: layout.Layout) -> str:
    """Return the name of the leading control VM, or "" if there is none."""
    for address in plan.controls:
        try:
            status = await client.get_channel(address).call(message.ReadStatus(), 1.0)
        except rpc.LinkError:
            continue
        if status.leader:
            return status.leader
    return ""


async def measure_leader_loss(
    processes: fleet.Processes, plan: layout.Layout, client: ControlClient
) -> None:
    """Print the seconds from a leader's SIGKILL to the next accepted publish."""
    document = describe_customers(50)
    specs = {item.node: item for item in plan.processes}
    times = []
    for _ in range(5):
        leader = await find_leader(client, plan)
        view = await session.read_fleet(client)
        start = time.monotonic()
        processes.signal(leader, signal.SIGKILL)
        await publish_once(client, document, view.revision, [])
        times.append(time.monotonic() - start)
        await processes.running[leader].wait()
        await processes.start(specs[leader])
        await asyncio.sleep(2.0)
    shown = ", ".join(f"{seconds:.2f}" for seconds in times)
    typer.echo(f"leader killed, seconds to the next accepted publish: {shown}")


Benchmark = Callable[[fleet.Processes, layout.Layout, ControlClient], Awaitable[None]]
BENCHMARKS: dict[str, Benchmark] = {
    "watchers": measure_watchers,
    "publishes": measure_publishes,
    "sizes": measure_sizes,
    "leader": measure_leader_loss,
}


async def run_benchmark(folder: Path, name: str) -> None:
    """Run three control VMs and one benchmark on them."""
    shape = layout.Shape("ie-south", (), ("grower-1",), entries=0)
    plan = layout.lay_out(folder, shape)
    async with fleet.run(plan) as running:
        await BENCHMARKS[name](running.processes, plan, running.client)


@app.command()
def bench(
    name: Annotated[str, typer.Argument(help="watchers, publishes, sizes or leader.")],
    folder: Annotated[Path | None, typer.Option(help="Where files go.")] = None,
) -> None:
    """Measure the control VMs.

    Example: python -m sapphireseam.tools.bench_control leader
    """
    if name not in BENCHMARKS:
        raise typer.BadParameter(f"expected one of {', '.join(BENCHMARKS)}")
    target = folder or Path(tempfile.mkdtemp(prefix="seam-bench-"))
    loop.run(run_benchmark(target, name))


if __name__ == "__main__":
    app()

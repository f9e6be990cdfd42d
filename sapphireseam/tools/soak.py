"""Drive a fleet of real processes while faults come from outside it, by a seed.

Control VMs, agents and stand-in upstreams run on loopback behind proxies
(tools/proxy.py), under `seam-load`. Faults come in series and overlap: processes are
killed, frozen or stopped with notice and started again; links slow down, fall silent
one way or both, or lose their connections. `seam-load` says what callers and upstreams
saw: nothing cut, doubled, crossed or wrong, nothing that may run once run twice, no
"not run" that ran, every accepted item done once.

One control VM at a time is harmed, so that a quorum is there. Entries are left alone:
`seam-load` knows no balancer and would count each connection to a lost entry; their
loss is in `promise_test`.
"""

import asyncio
import collections
import json
import random
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, NamedTuple

import typer

from sapphireseam.tools import fleet, layout, proxy
from sapphireseam.utils import loop

CUSTOMERS = ("grower-1", "grower-2")
# Engines with more room than the load needs, also with one of them gone.
SPEEDS = {"max_running": 64, "step_base": 0.01, "step_per_sequence": 0.0}
# The time from one fault to the next and how long each lasts, in seconds.
SHORTEST_PAUSE, LONGEST_PAUSE = 0.5, 4.0
SHORTEST_FAULT, LONGEST_FAULT = 0.2, 5.0
# What the control VMs, and what all else, may suffer from at once.
MOST_CONTROL_FAULTS = 1
MOST_OTHER_FAULTS = 2
CONTROL = "seam-control"
UPSTREAM = "seam-upstream"
# Ways that end a process. A stand-in upstream that ends forgets what it ran, so those
# are frozen and cut off only.
ENDS = frozenset({"kill", "stop"})


def describe_shape(rate: float) -> layout.Shape:
    """Return the fleet, with limits that the load won't meet."""
    replicas = (
        layout.Replicas("wording-llm", 3, slots=32),
        layout.Replicas("label-store", 2, True, 32),
        layout.Replicas("post-app", 2, True, 32),
    )
    return layout.Shape(
        "ie-south", replicas, CUSTOMERS, rate=10 * rate, burst=20 * rate
    )


class ProxiedFleet(NamedTuple):
    """Hold a fleet with a proxy before each control VM, agent and upstream.

    `links` are the proxies by their process's node, `runs` the base URLs at which
    upstreams tell what they ran, past the proxies.
    """

    plan: layout.Layout
    links: dict[str, proxy.Proxy]
    runs: tuple[str, ...]


def insert_proxies(plan: layout.Layout) -> ProxiedFleet:
    """Have each process listen elsewhere, and a proxy where it is known."""
    known = [item for item in plan.processes if item.program != "seam-entry"]
    ports = iter(layout.find_ports(len(known)))
    links, runs, processes = {}, [], []
    for item in plan.processes:
        if item.program == "seam-entry":
            processes.append(item)
            continue
        settings = json.loads(item.settings.read_text())
        port = next(ports)
        address = f"{layout.HOST}:{port}"
        if item.program == UPSTREAM:
            links[item.node] = proxy.Proxy(
                f"{settings['host']}:{settings['port']}", address
            )
            settings["port"] = port
            runs.append(f"http://{address}")
            item = item._replace(health=f"http://{address}/health")
        else:
            links[item.node] = proxy.Proxy(settings["address"], address)
            settings["address"] = address
        item.settings.write_text(json.dumps(settings, indent=2) + "\n")
        processes.append(item)
    return ProxiedFleet(plan._replace(processes=tuple(processes)), links, tuple(runs))


class FaultInjector:
    """Bring about faults, the same ones for one seed."""

    def __init__(self, processes: fleet.Processes, wired: ProxiedFleet, seed: int):
        self.counts: collections.Counter[str] = collections.Counter()
        self._processes = processes
        self._links = wired.links
        self._items = {
            item.node: item for item in wired.plan.processes if item.node in wired.links
        }
        self._rng = random.Random(seed)
        # Nodes that suffer from something now.
        self._harmed: set[str] = set()
        self._tasks: set[asyncio.Task] = set()
        self._ways: dict[str, Callable[[str, float], Awaitable[None]]] = {
            "kill": self._kill,
            "stop": self._stop,
            "freeze": self._freeze,
            "reset": self._reset,
        }
        for harm in proxy.LinkFault:
            if harm is not proxy.LinkFault.NONE:
                self._ways[harm.value] = self._make_harm(harm)

    async def run(self) -> None:
        """Go on until cancelled, then undo what is undone by itself."""
        try:
            while True:
                pause = self._rng.uniform(SHORTEST_PAUSE, LONGEST_PAUSE)
                await asyncio.sleep(pause)
                self._begin()
        finally:
            for link in self._links.values():
                link.set_fault(proxy.LinkFault.NONE)
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def _begin(self) -> None:
        # All three are drawn each time, so that a seed's faults don't depend on
        # how long the ones before took.
        node = self._rng.choice(sorted(self._items))
        way = self._rng.choice(sorted(self._ways))
        seconds = self._rng.uniform(SHORTEST_FAULT, LONGEST_FAULT)
        program = self._items[node].program
        if not self._may_harm(node) or (program == UPSTREAM and way in ENDS):
            return
        self.counts[f"{program} {way}"] += 1
        task = asyncio.create_task(self._play(node, way, seconds))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _may_harm(self, node: str) -> bool:
        is_control = self._items[node].program == CONTROL
        alike = sum(
            (self._items[name].program == CONTROL) == is_control
            for name in self._harmed
        )
        most = MOST_CONTROL_FAULTS if is_control else MOST_OTHER_FAULTS
        return node not in self._harmed and alike < most

    async def _play(self, node: str, way: str, seconds: float) -> None:
        self._harmed.add(node)
        try:
            await self._ways[way](node, seconds)
        finally:
            self._harmed.discard(node)

    def _make_harm(
        self, harm: proxy.LinkFault
    ) -> Callable[[str, float], Awaitable[None]]:
        async def play(node: str, seconds: float) -> None:
            self._links[node].set_fault(harm)
            try:
                await asyncio.sleep(seconds)
            finally:
                self._links[node].set_fault(proxy.LinkFault.NONE)

        return play

    async def _reset(self, node: str, seconds: float) -> None:
        self._links[node].reset()

    async def _restart(self, node: str, seconds: float) -> None:
        await self._processes.running[node].wait()
        await asyncio.sleep(seconds)
        await self._processes.start(self._items[node])

    async def _kill(self, node: str, seconds: float) -> None:
        self._processes.signal(node, signal.SIGKILL)
        await self._restart(node, seconds)

    async def _stop(self, node: str, seconds: float) -> None:
        self._processes.signal(node, signal.SIGTERM)
        await self._restart(node, seconds)

    async def _freeze(self, node: str, seconds: float) -> None:
        self._processes.signal(node, signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            self._processes.signal(node, signal.SIGCONT)


class SoakResult(NamedTuple):
    """Say how a soak ended; `faults` is what no run may show."""

    seed: int
    faults: int
    counts: dict[str, int]
    report: dict


async def soak(
    folder: Path, profile: Path, rate: float, seed: int, admission: str = "fixed"
) -> SoakResult:
    """Run the fleet, the load and the faults of one seed."""
    laid_out = layout.lay_out(folder, describe_shape(rate), SPEEDS)
    laid_out.configuration["policy"] = {"admission": admission}
    wired = insert_proxies(laid_out)
    for link in wired.links.values():
        await link.start()
    try:
        async with fleet.run(wired.plan) as running:
            keys = await fleet.write_keys(running.client, CUSTOMERS, folder)
            return await _run_load(wired, running.processes, profile, keys, seed)
    finally:
        for link in wired.links.values():
            await link.stop()


async def _run_load(
    wired: ProxiedFleet,
    processes: fleet.Processes,
    profile: Path,
    keys: Path,
    seed: int,
) -> SoakResult:
    output = wired.plan.folder / "report.json"
    arguments = ["--profile", str(profile), "--keys", str(keys)]
    arguments += ["--output", str(output), "--seed", str(seed), "--allow-losses"]
    for entry in wired.plan.entries:
        arguments += ["--entry", f"http://{entry}"]
    for base in wired.runs:
        arguments += ["--upstream", base]
    faults = FaultInjector(processes, wired, seed)
    playing = asyncio.create_task(faults.run())
    binary = Path(sys.executable).parent / "seam-load"
    with (wired.plan.folder / "load.log").open("wb") as log:
        process = await asyncio.create_subprocess_exec(
            binary, *arguments, stdout=log, stderr=log
        )
        try:
            await process.wait()
        finally:
            playing.cancel()
            await asyncio.gather(playing, return_exceptions=True)
    report = json.loads(output.read_text()) if output.exists() else {}
    found = report["faults"] if report else 1
    return SoakResult(seed, found, dict(sorted(faults.counts.items())), report)


def render(result: SoakResult, folder: Path) -> str:
    """Return one line about a soak, and more where something was found."""
    report = result.report
    line = f"seed {result.seed}: {result.faults} found, {report.get('verdicts')}"
    if not result.faults:
        return line
    details = [f"  faults played: {result.counts}", f"  logs: {folder}"]
    details += [f"  {text}" for text in report.get("troubled", ())]
    details += [f"  {text}" for text in report.get("runs", {}).get("findings", ())]
    details += [f"  job: {job}" for job in report.get("jobs", ()) if job["findings"]]
    return "\n".join([line, *details])


app = typer.Typer(add_completion=False)


@app.command()
def main(
    profile: Annotated[Path, typer.Option(help="The run, for seam-load.")],
    rate: Annotated[float, typer.Option(help="Requests a second of the run.")] = 200,
    seed: Annotated[int, typer.Option(help="The first seed.")] = 1,
    seeds: Annotated[int, typer.Option(help="How many, one after the other.")] = 1,
    admission: Annotated[str, typer.Option(help="The policy's choice.")] = "fixed",
    folder: Annotated[Path | None, typer.Option(help="Where files go.")] = None,
) -> None:
    """Soak a fleet in faults; exit with 1 if a promise was broken.

    Example: python -m sapphireseam.tools.soak
    --profile examples/load/soak.json --rate 60 --seed 1 --seeds 10
    """
    target = folder or Path(tempfile.mkdtemp(prefix="seam-soak-"))
    found = 0
    for number in range(seed, seed + seeds):
        place = target / str(number)
        result = loop.run(soak(place, profile, rate, number, admission))
        found += result.faults
        typer.echo(render(result, place))
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    app()

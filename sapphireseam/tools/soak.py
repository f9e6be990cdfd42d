"""Runs a fleet of real processes under load and injects faults, drawn from a seed.

Control VMs, agents and stand-in upstreams run on loopback behind proxies
(tools/proxy.py), under load from `seam-load`. Faults overlap: processes are killed,
frozen or stopped gracefully and restarted; links become slow, become silent in one or
both directions, or have their connections reset. `seam-load` checks what callers and
upstreams received: no answer is cut, doubled, crossed or wrong, no request that may
run only once runs twice, no request answered with "not run" has run, and every
accepted item is completed once.

Requests with a bad prompt part come beside the load and crash whatever engine begins to
answer one; `tools.promptpart` checks that they stop reaching engines while sound
requests begin.

Clients that misbehave open connections to the entries and send them requests that never
become whole (tools/misbehavior.py). The load must go on as without them.

Plain services answer in part without length or chunks, and break off some of these
answers.

Only one control VM has a fault at a time, so that a quorum remains. Entries get no
faults: `seam-load` does not retry at another entry as a load balancer would, so it
would count every failed connection to a lost entry. `promise_test` covers their loss.
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

import aiohttp
import typer

from sapphireseam.tools import fleet, layout, misbehavior, promptpart, proxy
from sapphireseam.utils import loop

CUSTOMERS = ("grower-1", "grower-2")
# The engines have spare capacity for the load, even with one of them lost.
SPEEDS = {"max_running": 64, "step_base": 0.01, "step_per_sequence": 0.0}
# Time between faults and duration of a fault, in seconds.
SHORTEST_PAUSE, LONGEST_PAUSE = 0.5, 4.0
SHORTEST_FAULT, LONGEST_FAULT = 0.2, 5.0
# Maximum number of simultaneous faults of control VMs, and of all other processes.
MAX_CONTROL_FAULTS = 1
MAX_OTHER_FAULTS = 2
# Which of the answers of plain services have neither length nor chunks, and which of
# those are broken off.
UNFRAMED_EVERY, BROKEN_EVERY = 3, 7
MODEL = "wording-llm"
# A path with a route, for clients that misbehave.
MISUSED_PATH = "/post-app/print"
# How long a crashed engine is down, in seconds.
RESTART_SECONDS = 1.0
# Times of the requests with prompt parts; a verdict must be known after `contact`.
PART_TIMES = promptpart.Times(contact=3.0, bad_period=0.6, sound_period=0.1, before=3.0)
# What a control VM logs when its leadership changes, and when it starts.
LEADER_LINES = ('"leads"', '"lost leadership"', '"started"')
CONTROL = "seam-control"
UPSTREAM = "seam-upstream"
# Faults that end a process. A stand-in upstream loses its run counts when it ends, so
# upstreams are only frozen or get faulty links.
ENDING_ACTIONS = frozenset({"kill", "stop"})


def describe_shape(rate: float) -> layout.Shape:
    """Return the shape of the fleet, with rate limits far above the load."""
    replicas = (
        layout.Replicas(MODEL, 3, slots=32),
        layout.Replicas("label-store", 2, True, 32),
        layout.Replicas("post-app", 2, True, 32),
    )
    return layout.Shape(
        "ie-south", replicas, CUSTOMERS, rate=10 * rate, burst=20 * rate
    )


class ProxiedFleet(NamedTuple):
    """A fleet with a proxy in front of each control VM, agent and upstream.

    `links` maps the nodes of processes to their proxies. `runs` are the base URLs at
    which the upstreams report their run counts, without a proxy in between, and
    `engines` those of the engines.
    """

    plan: layout.Layout
    links: dict[str, proxy.Proxy]
    runs: tuple[str, ...]
    engines: tuple[str, ...]


def insert_proxies(plan: layout.Layout) -> ProxiedFleet:
    """Move each process to a new address and put a proxy at its old address."""
    proxied = [item for item in plan.processes if item.program != "seam-entry"]
    reservation = layout.reserve_ports(len(proxied))
    ports = iter(reservation.ports)
    links, runs, engines, processes = {}, [], [], []
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
            if settings["kind"] == "service":
                settings["hooks"] = {
                    "unframed_every": UNFRAMED_EVERY,
                    "broken_every": BROKEN_EVERY,
                }
            else:
                settings["hooks"] = {
                    "crash_marker": promptpart.BAD,
                    "restart_seconds": RESTART_SECONDS,
                }
                engines.append(f"http://{address}")
            runs.append(f"http://{address}")
            item = item._replace(health=f"http://{address}/health")
        else:
            links[item.node] = proxy.Proxy(settings["address"], address)
            settings["address"] = address
        item.settings.write_text(json.dumps(settings, indent=2) + "\n")
        processes.append(item)
    moved = plan._replace(
        processes=tuple(processes), reservations=(*plan.reservations, reservation)
    )
    return ProxiedFleet(moved, links, tuple(runs), tuple(engines))


class FaultInjector:
    """A fault injector for a fleet; a seed determines the sequence of faults."""

    def __init__(
        self, processes: fleet.Processes, proxied_fleet: ProxiedFleet, seed: int
    ):
        self.counts: collections.Counter[str] = collections.Counter()
        self._processes = processes
        self._links = proxied_fleet.links
        self._items = {
            item.node: item
            for item in proxied_fleet.plan.processes
            if item.node in proxied_fleet.links
        }
        self._rng = random.Random(seed)
        # Nodes that have a fault now.
        self._faulty: set[str] = set()
        # When a control VM had a fault, on the clock of the event loop, in seconds.
        self._control_faults: list[tuple[float, float]] = []
        self._tasks: set[asyncio.Task] = set()
        self._actions: dict[str, Callable[[str, float], Awaitable[None]]] = {
            "kill": self._kill,
            "stop": self._stop,
            "freeze": self._freeze,
            "reset": self._reset,
        }
        for fault in proxy.LinkFault:
            if fault is not proxy.LinkFault.NONE:
                self._actions[fault.value] = self._make_link_fault(fault)

    async def run(self) -> None:
        """Inject faults until cancelled, then clear the faults of links.

        Frozen processes are resumed; ended processes are not restarted.
        """
        try:
            while True:
                pause = self._rng.uniform(SHORTEST_PAUSE, LONGEST_PAUSE)
                await asyncio.sleep(pause)
                self._inject()
        finally:
            for link in self._links.values():
                link.set_fault(proxy.LinkFault.NONE)
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def _inject(self) -> None:
        # All three values are drawn each time, so that the faults of a seed do not
        # depend on how long the earlier ones took.
        node = self._rng.choice(sorted(self._items))
        action = self._rng.choice(sorted(self._actions))
        seconds = self._rng.uniform(SHORTEST_FAULT, LONGEST_FAULT)
        program = self._items[node].program
        if not self._may_inject(node) or (
            program == UPSTREAM and action in ENDING_ACTIONS
        ):
            return
        self.counts[f"{program} {action}"] += 1
        task = asyncio.create_task(self._run_fault(node, action, seconds))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _may_inject(self, node: str) -> bool:
        is_control = self._items[node].program == CONTROL
        same_group_faults = sum(
            (self._items[name].program == CONTROL) == is_control
            for name in self._faulty
        )
        limit = MAX_CONTROL_FAULTS if is_control else MAX_OTHER_FAULTS
        return node not in self._faulty and same_group_faults < limit

    async def _run_fault(self, node: str, action: str, seconds: float) -> None:
        clock = asyncio.get_running_loop().time
        self._faulty.add(node)
        began = clock()
        try:
            await self._actions[action](node, seconds)
        finally:
            self._faulty.discard(node)
            if self._items[node].program == CONTROL:
                self._control_faults.append((began, clock()))

    def was_in_touch(self, at: float) -> bool:
        """Return whether no control VM had a fault within the time of contact."""
        return not any(
            began <= at <= ended + PART_TIMES.contact
            for began, ended in self._control_faults
        )

    def _make_link_fault(
        self, fault: proxy.LinkFault
    ) -> Callable[[str, float], Awaitable[None]]:
        async def run_fault(node: str, seconds: float) -> None:
            self._links[node].set_fault(fault)
            try:
                await asyncio.sleep(seconds)
            finally:
                self._links[node].set_fault(proxy.LinkFault.NONE)

        return run_fault

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
    """The result of a soak; `faults` counts the faults of the system.

    `counts` is the number of injected faults by program and kind. `findings` describes
    the faults in the play of a bad prompt part and what failed in the soak itself, and
    `parts` the outcomes of that play.
    """

    seed: int
    faults: int
    counts: dict[str, int]
    report: dict
    findings: list[str]
    parts: str


async def soak(
    folder: Path, profile: Path, rate: float, seed: int, admission: str = "fixed"
) -> SoakResult:
    """Run a fleet under load with the faults of one seed."""
    laid_out = layout.lay_out(folder, describe_shape(rate), SPEEDS)
    laid_out.configuration["policy"] = {"admission": admission}
    proxied_fleet = insert_proxies(laid_out)
    for link in proxied_fleet.links.values():
        await link.start()
    try:
        async with fleet.run(proxied_fleet.plan) as running:
            keys = await fleet.write_keys(running.client, CUSTOMERS, folder)
            return await _run_load(
                proxied_fleet, running.processes, profile, keys, seed, running.http
            )
    finally:
        for link in proxied_fleet.links.values():
            await link.stop()


async def _run_load(
    proxied_fleet: ProxiedFleet,
    processes: fleet.Processes,
    profile: Path,
    keys: Path,
    seed: int,
    http: aiohttp.ClientSession,
) -> SoakResult:
    output = proxied_fleet.plan.folder / "report.json"
    arguments = ["--profile", str(profile), "--keys", str(keys)]
    arguments += ["--output", str(output), "--seed", str(seed), "--allow-losses"]
    for entry in proxied_fleet.plan.entries:
        arguments += ["--entry", f"http://{entry}"]
    for base in proxied_fleet.runs:
        arguments += ["--upstream", base]
    faults = FaultInjector(processes, proxied_fleet, seed)
    injecting = asyncio.create_task(faults.run())
    rng = random.Random(seed)
    key = json.loads(await asyncio.to_thread(keys.read_text))[CUSTOMERS[0]]
    chats = promptpart.ChatCaller(
        http, proxied_fleet.plan.entries, proxied_fleet.engines, key, MODEL, rng
    )
    clients = misbehavior.Client(proxied_fleet.plan.entries, MISUSED_PATH, key, seed)
    misbehaving = asyncio.create_task(clients.run())
    play = promptpart.Play(chats.send, chats.read_record, PART_TIMES, rng)
    play.is_judged = faults.was_in_touch
    findings: list[str] = []
    binary = Path(sys.executable).parent / "seam-load"
    with (proxied_fleet.plan.folder / "load.log").open("wb") as log:
        process = await asyncio.create_subprocess_exec(
            binary, *arguments, stdout=log, stderr=log
        )
        try:
            findings += await play.run_until(process.wait)
        finally:
            injecting.cancel()
            misbehaving.cancel()
            ended = await asyncio.gather(injecting, misbehaving, return_exceptions=True)
    # A soak without its faults or clients shows nothing.
    findings += [f"failed: {each!r}" for each in ended if isinstance(each, Exception)]
    report = json.loads(output.read_text()) if output.exists() else {}
    faults_found = (report["faults"] if report else 1) + len(findings)
    counts = dict(sorted((faults.counts + clients.counts).items()))
    return SoakResult(seed, faults_found, counts, report, findings, play.describe())


def render(result: SoakResult, folder: Path) -> str:
    """Return one line about a soak, with details if faults were found."""
    report = result.report
    line = f"seed {result.seed}: {result.faults} faults, {report.get('verdicts')}"
    line += f"; {result.parts}"
    if not result.faults:
        return line
    details = [f"  faults injected: {result.counts}", f"  logs: {folder}"]
    details += [f"  refusals by cause: {report.get('refusals')}"]
    details += [f"  {text}" for text in result.findings]
    details += [f"  {line}" for line in _list_leaders(folder)]
    details += [f"  {text}" for text in report.get("troubled", ())]
    details += [f"  {text}" for text in report.get("runs", {}).get("findings", ())]
    details += [f"  job: {job}" for job in report.get("jobs", ()) if job["faults"]]
    return "\n".join([line, *details])


def _list_leaders(folder: Path) -> list[str]:
    """Return the log lines about changes of leadership, in order of time."""
    logs = sorted(folder.glob("control-*.log"))
    lines = [line for log in logs for line in log.read_text().splitlines()]
    return sorted(line for line in lines if any(text in line for text in LEADER_LINES))


app = typer.Typer(add_completion=False)


@app.command()
def main(
    profile: Annotated[Path, typer.Option(help="The profile for seam-load.")],
    rate: Annotated[float, typer.Option(help="Requests per second.")] = 200,
    seed: Annotated[int, typer.Option(help="The first seed.")] = 1,
    seeds: Annotated[
        int, typer.Option(help="Number of seeds, run one after the other.")
    ] = 1,
    admission: Annotated[str, typer.Option(help="The admission policy.")] = "fixed",
    folder: Annotated[Path | None, typer.Option(help="The folder for files.")] = None,
) -> None:
    """Run a fleet under faults; exit with 1 if the system was at fault.

    Example: python -m sapphireseam.tools.soak
    --profile examples/load/soak.json --rate 60 --seed 1 --seeds 10
    """
    target = folder or Path(tempfile.mkdtemp(prefix="seam-soak-"))
    faults_found = 0
    for number in range(seed, seed + seeds):
        seed_folder = target / str(number)
        result = loop.run(soak(seed_folder, profile, rate, number, admission))
        faults_found += result.faults
        typer.echo(render(result, seed_folder))
    sys.exit(1 if faults_found else 0)


if __name__ == "__main__":
    app()

"""Measures the replicated log on real files, with three members in one process.

The table has the proposals a second with group commit and with one sync for each
record, the duration of a restart with and without snapshots, the time from the
loss of the leader to the next accepted proposal, and the CPU use while idle.

    python -m sapphireseam.tools.bench_log --folder /data/bench
"""

import asyncio
import random
import statistics
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, NamedTuple

import msgspec
import typer

from sapphireseam.core import error
from sapphireseam.state import disk, message, replica
from sapphireseam.utils import loop, timer

NAMES = ("a", "b", "c")
COMMAND_BYTES = 1000
# More entries than any run writes, so no snapshot is taken.
NO_SNAPSHOT_ENTRIES = 1 << 30
RESTART_CHANGES = (1_000, 10_000)
LEADER_LOSS_RUNS = 15
IDLE_SECONDS = 10.0
# A batch holds at least one entry, so this limit gives one sync for each entry.
ONE_ENTRY_BATCH_BYTES = 1
DEFAULTS = replica.Options()


class Row(NamedTuple):
    """One measured figure: a row of the table."""

    label: str
    value: float
    unit: str
    digits: int = 1


class KeyValueState:
    """A state machine with the newest value of a few keys, as in the configuration."""

    KEYS = 100

    def __init__(self):
        self.values: dict[int, bytes] = {}

    def apply(self, index: int, command: bytes) -> object:
        """Store the command under one of the keys."""
        self.values[index % self.KEYS] = command
        return index

    def encode(self) -> bytes:
        """Return all values."""
        return msgspec.msgpack.encode(self.values)

    def restore(self, data: bytes) -> None:
        """Replace all values."""
        self.values = msgspec.msgpack.decode(data, type=dict[int, bytes])


class NullBlobFetcher:
    """A blob fetcher that does nothing, because the commands name no files."""

    async def prepare(self, commands: Sequence[bytes], source: str) -> None:
        """Return at once."""

    async def prepare_snapshot(self, data: bytes, source: str) -> None:
        """Return at once."""


class LocalLink:
    """Sends requests to another member in this process."""

    def __init__(self, fleet: "Fleet", name: str):
        self._fleet = fleet
        self._name = name

    async def call(self, request):
        """Return the other member's reply."""
        return await self._fleet.members[self._name].answer(request)


class Fleet:
    """Three members, each with its own folder."""

    def __init__(self, folder: Path, options: replica.Options, seed: int = 0):
        self.members: dict[str, replica.Replica] = {}
        self._folder = folder
        self._seed = seed
        members = tuple(message.Member(name) for name in NAMES)
        self._options = options._replace(bootstrap=members)

    async def start(self) -> None:
        """Start every member."""
        for name in NAMES:
            self.members[name] = self.make_member(name)
        await asyncio.gather(*(member.start() for member in self.members.values()))

    def make_member(self, name: str) -> replica.Replica:
        """Return a member that has not been started."""
        return replica.Replica(
            name,
            lambda peer: LocalLink(self, peer),
            disk.FileDisk(self._folder / name),
            timer.SystemTimer(),
            KeyValueState(),
            NullBlobFetcher(),
            self._options,
            random.Random(f"{name} {self._seed}"),
        )

    async def wait_leader(self) -> replica.Replica:
        """Wait until a member leads and return it."""
        while True:
            for member in self.members.values():
                if member.is_leader:
                    return member
            await asyncio.sleep(0.01)

    async def stop(self) -> None:
        """Stop every member."""
        await asyncio.gather(*(member.stop() for member in self.members.values()))


async def propose_many(leader: replica.Replica, count: int, clients: int) -> float:
    """Propose `count` commands and return the seconds that it took.

    Each of the `clients` clients has one proposal outstanding at a time.
    """
    remaining = iter(range(count))
    command = b"#" * COMMAND_BYTES

    async def run_client() -> None:
        for _ in remaining:
            await leader.propose(command)

    began = time.perf_counter()
    await asyncio.gather(*(run_client() for _ in range(clients)))
    return time.perf_counter() - began


async def measure_rate(folder: Path, count: int, clients: int, size: int) -> Row:
    """Measure the proposals per second with batches of at most `size` bytes."""
    fleet = Fleet(folder, DEFAULTS._replace(batch_bytes=size))
    await fleet.start()
    leader = await fleet.wait_leader()
    seconds = await propose_many(leader, count, clients)
    await fleet.stop()
    kind = "one sync a record" if size == ONE_ENTRY_BATCH_BYTES else "group commit"
    return Row(f"{clients} clients, {kind}", count / seconds, "proposals/s")


async def measure_restart(folder: Path, count: int, entries: int) -> list[Row]:
    """Measure the restart of one member of three.

    The rows give the time until it has read its folder and until it has caught up
    with the leader.
    """
    fleet = Fleet(folder, DEFAULTS._replace(snapshot_entries=entries))
    await fleet.start()
    leader = await fleet.wait_leader()
    await propose_many(leader, count, 100)
    name = next(name for name in NAMES if fleet.members[name] is not leader)
    await fleet.members[name].wait_applied(await leader.confirm_leadership())
    await fleet.members[name].stop()
    fleet.members[name] = fleet.make_member(name)
    began = time.perf_counter()
    await fleet.members[name].start()
    read = time.perf_counter() - began
    await wait_caught_up(fleet.members[name])
    caught_up = time.perf_counter() - began
    await fleet.stop()
    kind = "without snapshots" if entries == NO_SNAPSHOT_ENTRIES else "snapshots"
    label = f"restart after {count} changes, {kind}"
    return [
        Row(f"{label}: folder read", read * 1000, "ms"),
        Row(f"{label}: level with the leader", caught_up * 1000, "ms"),
    ]


async def measure_leader_loss(folder: Path, runs: int) -> Row:
    """Measure the time from the loss of the leader to the next accepted proposal."""
    times = []
    for run in range(runs):
        fleet = Fleet(Path(tempfile.mkdtemp(dir=folder)), DEFAULTS, run)
        await fleet.start()
        lost = await fleet.wait_leader()
        await lost.propose(b"before")
        name = next(name for name in NAMES if fleet.members[name] is lost)
        began = time.perf_counter()
        # No request reaches the old leader any more, so it cannot transfer its
        # leadership.
        del fleet.members[name]
        await lost.stop()
        await (await fleet.wait_leader()).propose(b"after")
        times.append(time.perf_counter() - began)
        await fleet.stop()
    label = f"leader lost to first proposal accepted, median of {runs} runs"
    spread = f"{min(times):.2f} to {max(times):.2f}"
    return Row(f"{label} ({spread} s)", statistics.median(times), "s", 2)


async def measure_idle(folder: Path) -> Row:
    """Measure the CPU use of three members while nothing is proposed."""
    fleet = Fleet(folder, DEFAULTS)
    await fleet.start()
    await fleet.wait_leader()
    began = time.process_time()
    await asyncio.sleep(IDLE_SECONDS)
    used = time.process_time() - began
    await fleet.stop()
    return Row("idle, three members together", used / IDLE_SECONDS * 100, "% of a core")


async def wait_caught_up(member: replica.Replica) -> None:
    """Return once the member has caught up and can answer a read."""
    while True:
        try:
            await member.read_index()
            return
        except error.SeamError:
            await asyncio.sleep(0.001)


async def measure_all(folder: Path, count: int) -> list[Row]:
    """Return all figures, in the order of the table."""
    rows = []
    for size in (ONE_ENTRY_BATCH_BYTES, DEFAULTS.batch_bytes):
        for clients in (1, 10, 100, 1000):
            with tempfile.TemporaryDirectory(dir=folder) as subfolder:
                total = count // 10 if min(clients, size) == 1 else count
                rows.append(await measure_rate(Path(subfolder), total, clients, size))
    for changes in RESTART_CHANGES:
        for entries in (DEFAULTS.snapshot_entries, NO_SNAPSHOT_ENTRIES):
            with tempfile.TemporaryDirectory(dir=folder) as subfolder:
                rows += await measure_restart(Path(subfolder), changes, entries)
    with tempfile.TemporaryDirectory(dir=folder) as subfolder:
        rows.append(await measure_leader_loss(Path(subfolder), LEADER_LOSS_RUNS))
    with tempfile.TemporaryDirectory(dir=folder) as subfolder:
        rows.append(await measure_idle(Path(subfolder)))
    return rows


def render(rows: list[Row]) -> str:
    """Return the figures as a Markdown table."""
    lines = ["| what | figure |", "|---|---|"]
    lines += [
        f"| {row.label} | {row.value:,.{row.digits}f} {row.unit} |" for row in rows
    ]
    return "\n".join(lines)


def main(
    folder: Annotated[Path, typer.Option(help="Folder on the disk to measure.")],
    count: Annotated[int, typer.Option(help="Proposals in each run.")] = 10_000,
) -> None:
    """Print the table of docs/measure/log.md."""
    folder.mkdir(parents=True, exist_ok=True)
    print(render(loop.run(measure_all(folder, count))))


if __name__ == "__main__":
    typer.run(main)

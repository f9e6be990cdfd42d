"""Control VMs as real processes whose disks are full in turn, drawn from a seed.

Three processes serve the platform's operator on loopback. While configurations come
in quick succession, the kernel refuses each process's writes for a few seconds, one
process after another and never two at once; a limit on the size of files also cuts
some of the writes short. A process may be stopped and started while its disk is full,
and be stopped or frozen between these times.

It checks that afterwards every process takes a change within its bound, that all of
them read it back, that nothing acknowledged is lost, that no process ends by itself,
and that each one ends in time when it is stopped.
"""

import asyncio
import contextlib
import json
import os
import random
import resource
import signal
import sys
import tempfile
from pathlib import Path
from typing import Annotated, NamedTuple

import aiohttp
import typer
from aiohttp import web

from sapphireseam.tools import layout
from sapphireseam.utils import loop

MEMBERS = 3
# Bounds of an acknowledgement and of a stop, in seconds.
ACK_SECONDS = 4.0
STOP_SECONDS = 8.0
# Timeout of one attempt of an operator, who then turns to another process.
ATTEMPT_SECONDS = 1.0
START_SECONDS = 30.0
# Time within which a member is back after its disk has room, in seconds.
RECOVERY_SECONDS = 3.0
STORM_PAUSE_SECONDS = 0.05
FULL_SECONDS = (0.5, 2.5)
PAUSE_SECONDS = (0.2, 1.0)
FREEZE_SECONDS = 1.0
# Sizes at which files stop growing, in bytes; at 0 every write is refused.
FULL_SIZES = (0, 0, 200, 20_000, 300_000)
PADDING_BYTES = 100_000
# Share of the full disks during which their process is stopped and started.
STOP_SHARE = 0.3
BETWEEN = ("nothing", "nothing", "restart", "freeze")


class Result(NamedTuple):
    """The findings of one soak, and how often each thing happened."""

    findings: tuple[str, ...]
    counts: dict[str, int]


class Member:
    """One control VM's process, and the operator's connection to it."""

    def __init__(self, name: str, host: str, operator_port: int, settings: Path):
        self.name = name
        self.host = host
        self.base = f"http://{host}:{operator_port}"
        self.settings = settings
        self.ends: list[int] = []
        self.log: list[str] = []
        self.process: asyncio.subprocess.Process | None = None
        self._tasks: list[asyncio.Task] = []
        # Processes that were told to end.
        self._stopped: set[int] = set()
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=1),
            timeout=aiohttp.ClientTimeout(ATTEMPT_SECONDS),
        )

    async def start(self) -> None:
        """Start the process, and again each time it ends by itself."""
        environment = os.environ | {
            "SAPPHIRESEAM_CONFIG": str(self.settings),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "sapphireseam.platform.start",
            "control",
            env=environment,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        self._tasks.append(asyncio.create_task(self._follow(self.process)))

    async def _follow(self, process: asyncio.subprocess.Process) -> None:
        async for line in process.stdout:
            self.log.append(line.decode(errors="replace").rstrip())
        code = await process.wait()
        if process.pid not in self._stopped:
            self.ends.append(code)
            await self.start()

    async def stop(self) -> bool:
        """Stop the process; return whether it ended in time."""
        self._stopped.add(self.process.pid)
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), STOP_SECONDS)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
            return False
        return True

    async def close(self) -> None:
        """Close the operator's connection and kill the process."""
        self._stopped.add(self.process.pid)
        await self.session.close()
        if self.process.returncode is None:
            self.process.kill()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def limit_files(self, size: int) -> None:
        """Let the kernel refuse writes beyond a file size; -1 ends this."""
        _, hard = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)
        soft = hard if size < 0 else size
        resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (soft, hard))


class DiskSoak:
    """Three control VMs, an operator and the faults of one seed."""

    def __init__(self, seed: int):
        self._rng = random.Random(seed)
        # The operator's draws depend on times; they must not change the faults.
        self._operator_rng = random.Random(seed)
        self._findings: list[str] = []
        self._counts: dict[str, int] = {}
        self._members: list[Member] = []
        self._version = 0
        self._acknowledged = 0

    async def run(self, rounds: int = MEMBERS) -> Result:
        """Fill the disks in turn, `rounds` times, and return what was found."""
        async with contextlib.AsyncExitStack() as stack:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            list_address = await self._serve_list(stack)
            self._make_members(Path(folder), list_address)
            for member in self._members:
                stack.push_async_callback(member.close)
                await member.start()
            await self._publish_within(START_SECONDS, "the first change")
            storm = asyncio.create_task(self._storm())
            for number in range(rounds):
                await self._fill(self._members[number % MEMBERS])
            await asyncio.sleep(RECOVERY_SECONDS)
            storm.cancel()
            await asyncio.gather(storm, return_exceptions=True)
            await self._check_members()
            await self._stop_members()
        self._count("acknowledged", self._acknowledged)
        return Result(tuple(self._findings), self._counts)

    def _count(self, name: str, number: int = 1) -> None:
        self._counts[name] = self._counts.get(name, 0) + number

    async def _serve_list(self, stack: contextlib.AsyncExitStack) -> str:
        async def answer(request: web.Request) -> web.Response:
            return web.json_response({"instances": []})

        app = web.Application()
        app.router.add_get("/instances", answer)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        reservation = layout.reserve_ports(1)
        address = f"{layout.HOST}:{reservation.ports[0]}"
        await web.TCPSite(runner, layout.HOST, reservation.ports[0]).start()
        return address

    def _make_members(self, folder: Path, list_address: str) -> None:
        # Members share their port, so each has a loopback address of its own.
        network = f"127.{random.randrange(1, 255)}.{random.randrange(1, 255)}"
        port, operator_port = layout.find_ports(2)
        hosts = [f"{network}.{number + 1}" for number in range(MEMBERS)]
        for number, host in enumerate(hosts):
            settings = {
                "label": f"control-{number}",
                "ip": host,
                "failure_domain": f"d{number}",
                "port": port,
                "seeds": [f"{name}:{operator_port}" for name in hosts],
                "list_address": list_address,
                "is_first_start": True,
                "tolerated": 1,
                "slack_requests": 20,
                "slack_share": 0.1,
                "slack_window": 5.0,
                "trust_ms": 2000.0,
                "grace_s": STOP_SECONDS,
                "keep_s": 60.0,
                "data_folder": str(folder / host),
                "operator_address": f"{host}:{operator_port}",
            }
            path = folder / f"{host}.json"
            path.write_text(json.dumps(settings))
            self._members.append(Member(f"control-{number}", host, operator_port, path))

    # Faults.

    async def _fill(self, member: Member) -> None:
        size = self._rng.choice(FULL_SIZES)
        self._count("full")
        member.limit_files(size)
        await asyncio.sleep(self._rng.uniform(*FULL_SECONDS))
        if self._rng.random() < STOP_SHARE:
            self._count("stopped while full")
            await self._stop(member)
            await member.start()
            member.limit_files(size)
            await asyncio.sleep(self._rng.uniform(*FULL_SECONDS))
        if member.process.returncode is None:
            member.limit_files(-1)
        await asyncio.sleep(self._rng.uniform(*PAUSE_SECONDS))
        kind = self._rng.choice(BETWEEN)
        self._count(kind)
        if kind == "restart":
            await self._stop(member)
            await member.start()
        elif kind == "freeze":
            member.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(FREEZE_SECONDS)
            member.process.send_signal(signal.SIGCONT)

    async def _stop(self, member: Member) -> None:
        if not await member.stop():
            self._findings.append(f"{member.name} didn't stop in time")

    # The operator.

    async def _put(self, member: Member, version: int) -> bool:
        document = {
            "version": version,
            "routes": [],
            "services": [],
            "tenants": [],
            "padding": "x" * PADDING_BYTES,
        }
        try:
            url = member.base + "/config/put"
            async with member.session.post(url, json=document) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _read(self, member: Member) -> int:
        try:
            async with member.session.get(member.base + "/config/get") as answer:
                document = await answer.json(content_type=None)
                return document.get("version", -1)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return -1

    async def _publish(self, members: list[Member], seconds: float) -> bool:
        """Publish the next version at one of the members after the other."""
        self._version += 1
        end = asyncio.get_running_loop().time() + seconds
        attempt = 0
        while asyncio.get_running_loop().time() < end:
            if await self._put(members[attempt % len(members)], self._version):
                self._acknowledged = self._version
                return True
            attempt += 1
            await asyncio.sleep(STORM_PAUSE_SECONDS)
        return False

    async def _publish_within(self, seconds: float, what: str) -> None:
        if not await self._publish(self._members, seconds):
            self._findings.append(f"{what} wasn't acknowledged within {seconds} s")

    async def _storm(self) -> None:
        while True:
            members = self._operator_rng.sample(self._members, MEMBERS)
            if not await self._publish(members, ACK_SECONDS):
                self._count("late during the faults")
            await asyncio.sleep(STORM_PAUSE_SECONDS)

    # Checks.

    async def _check_members(self) -> None:
        for member in self._members:
            if not await self._publish([member], ACK_SECONDS):
                self._findings.append(f"{member.name} took no change")
            for reader in self._members:
                if not await self._reads_back(reader):
                    self._findings.append(f"{reader.name} didn't read the change back")
            if member.ends:
                self._findings.append(f"{member.name} ended by itself: {member.ends}")
            text = "\n".join(member.log)
            self._count("rebuilt", text.count("storage failed"))
            if "Traceback" in text:
                self._findings.append(f"{member.name} logged an unforeseen error")

    async def _reads_back(self, member: Member) -> bool:
        end = asyncio.get_running_loop().time() + ACK_SECONDS
        while asyncio.get_running_loop().time() < end:
            if await self._read(member) >= self._acknowledged:
                return True
            await asyncio.sleep(STORM_PAUSE_SECONDS)
        return False

    async def _stop_members(self) -> None:
        for member in self._members:
            await self._stop(member)


app = typer.Typer(add_completion=False)


@app.command()
def run(
    seed: Annotated[int, typer.Option(help="The first seed.")] = 1,
    seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 1,
    rounds: Annotated[int, typer.Option(help="Full disks of each seed.")] = MEMBERS,
    logs: Annotated[Path | None, typer.Option(help="Folder for logs.")] = None,
) -> None:
    """Run the soak with several seeds, one after the other."""
    failed = 0
    for number in range(seed, seed + seeds):
        soak = DiskSoak(number)
        result = loop.run(soak.run(rounds))
        failed += bool(result.findings)
        typer.echo(f"seed {number}: {len(result.findings)} findings, {result.counts}")
        for finding in result.findings:
            typer.echo(f"  {finding}")
        if result.findings and logs is not None:
            for member in soak._members:
                path = logs / f"{number}-{member.name}.log"
                path.write_text("\n".join(member.log) + "\n")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    app()

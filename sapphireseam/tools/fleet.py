"""Runs a fleet as real processes, for the demo, tests and measurements.

The programs of the system never start one another. This module starts them as an
operator would. Waits end with an event or fail after a generous timeout.
"""

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import NamedTuple, NoReturn

import aiohttp

from sapphireseam.core import error
from sapphireseam.ops import session
from sapphireseam.tools import layout
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.timer import SystemTimer

# Timeout of a step, in seconds; a step that takes longer has failed.
STEP_SECONDS = 60.0
POLL_SECONDS = 0.1


class StartError(Exception):
    """A process of the fleet ended while the fleet was being started."""


class Processes:
    """The processes of a fleet by node; they are ended by their process ids."""

    def __init__(self, log_folder: Path):
        self._log_folder = log_folder
        self.running: dict[str, asyncio.subprocess.Process] = {}

    def _locate_log(self, node: str) -> Path:
        return self._log_folder / f"{node}.log"

    async def start(self, item: layout.Process) -> None:
        """Start a program with its settings file."""
        binary = Path(sys.executable).parent / item.program
        with self._locate_log(item.node).open("ab") as log:
            self.running[item.node] = await asyncio.create_subprocess_exec(
                binary, "--settings", item.settings, stdout=log, stderr=log
            )

    def read_pid(self, node: str) -> int:
        """Return the process id of a node."""
        return self.running[node].pid

    def signal(self, node: str, number: int) -> None:
        """Send a signal to a process."""
        process = self.running[node]
        if process.returncode is None:
            os.kill(process.pid, number)

    async def raise_at_end(self) -> NoReturn:
        """Wait until a process ends; raise `StartError` with the end of its log."""
        waits = {
            asyncio.ensure_future(process.wait()): node
            for node, process in self.running.items()
        }
        try:
            ended, _ = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()
        node = waits[ended.pop()]
        lines = self._locate_log(node).read_text().splitlines()
        raise StartError(f"{node} ended: {lines[-1] if lines else 'nothing logged'}")

    async def stop(self) -> None:
        """Stop every process gracefully; kill those that do not stop in time."""
        for node in self.running:
            self.signal(node, signal.SIGTERM)
        waits = [process.wait() for process in self.running.values()]
        try:
            await asyncio.wait_for(asyncio.gather(*waits), STEP_SECONDS / 4)
        except TimeoutError:
            for node in self.running:
                self.signal(node, signal.SIGKILL)


async def wait_healthy(http: aiohttp.ClientSession, url: str) -> None:
    """Wait until a health check returns 200."""
    async with asyncio.timeout(STEP_SECONDS):
        while True:
            try:
                async with http.get(url) as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(POLL_SECONDS)


async def read_operator_key(files: tuple[Path, ...]) -> str:
    """Wait until a control VM has written the operator key; return the key."""
    async with asyncio.timeout(STEP_SECONDS):
        while True:
            for file in files:
                if file.exists() and (text := file.read_text().strip()):
                    return text
            await asyncio.sleep(POLL_SECONDS)


async def publish_initial_configuration(
    files: tuple[Path, ...], plan: layout.Layout
) -> ControlClient:
    """Publish the configuration of the layout; return an operator's client."""
    timer = SystemTimer()
    async with asyncio.timeout(STEP_SECONDS):
        while True:
            # A leader that loses its leadership deletes the key that it wrote.
            text = await read_operator_key(files)
            client = session.connect(plan.controls, text, timer)
            try:
                now = timer.read_wall_clock()
                await session.publish(client, plan.configuration, 0, now, "first")
                return client
            except error.SeamError as failure:
                # The key is invalid until it is committed.
                await client.stop()
                if failure.kind is not error.Kind.KEY_INVALID:
                    raise
            await asyncio.sleep(POLL_SECONDS)


async def start_fleet(
    processes: Processes, plan: layout.Layout, http: aiohttp.ClientSession
) -> ControlClient:
    """Start every process, publish the configuration and wait for readiness.

    Raises `StartError` at once if a process ends: without one of its first control
    VMs, for example, a fleet never gets a leader.
    """
    for item in plan.processes:
        await processes.start(item)
    finish = asyncio.ensure_future(finish_start(plan, http))
    end = asyncio.ensure_future(processes.raise_at_end())
    try:
        done, _ = await asyncio.wait({finish, end}, return_when=asyncio.FIRST_COMPLETED)
        return finish.result() if finish in done else end.result()
    finally:
        finish.cancel()
        end.cancel()


async def finish_start(
    plan: layout.Layout, http: aiohttp.ClientSession
) -> ControlClient:
    """Publish the configuration for started processes; wait until all are ready."""
    client = await publish_initial_configuration(plan.operator_files, plan)
    for item in plan.processes:
        await wait_healthy(http, item.health)
    for address in plan.entries:
        await wait_healthy(http, f"http://{address}/health")
    return client


class RunningFleet(NamedTuple):
    """A running fleet: its processes and an operator's client."""

    processes: Processes
    client: ControlClient
    http: aiohttp.ClientSession


@asynccontextmanager
async def run(plan: layout.Layout) -> AsyncIterator[RunningFleet]:
    """Run a fleet while the body of the `async with` statement runs."""
    processes = Processes(plan.folder)
    async with aiohttp.ClientSession() as http:
        try:
            client = await start_fleet(processes, plan, http)
            try:
                yield RunningFleet(processes, client, http)
            finally:
                await client.stop()
        finally:
            await processes.stop()


async def write_keys(
    client: ControlClient, customers: Iterable[str], folder: Path
) -> Path:
    """Issue a key to each customer; write the keys to a file for `seam-load`."""
    keys = {}
    for customer in customers:
        now = SystemTimer().read_wall_clock()
        keys[customer] = (await session.issue_key(client, customer, now)).text
    path = folder / "keys.json"
    path.write_text(json.dumps(keys))
    return path

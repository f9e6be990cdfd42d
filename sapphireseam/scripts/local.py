"""Runs a whole fleet in one process, for a first trial of the system.

In a deployment, each application is a separate program and they run on many VMs.
Here they run in one event loop, on loopback, with stand-in upstreams.
"""

import asyncio
import signal
import sys
import tempfile
from enum import StrEnum
from pathlib import Path
from typing import Annotated, Any

import aiohttp
import typer

from sapphireseam.agent import application as agents
from sapphireseam.control import application as controls
from sapphireseam.core import error, key
from sapphireseam.entry import application as entries
from sapphireseam.ops import session
from sapphireseam.scripts import option, upstream as standins
from sapphireseam.tools import fleet, layout
from sapphireseam.utils import log, loop, program, setting
from sapphireseam.utils.application import Application
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.timer import SystemTimer

LOG_FILE = "local.log"

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


class Size(StrEnum):
    """The fleets that can be run."""

    SMALL = "small"
    SHANNONSIDE = "shannonside"
    BUREAU = "bureau"


_SHAPES = {
    Size.SMALL: layout.SMALL,
    Size.SHANNONSIDE: layout.SHANNONSIDE,
    Size.BUREAU: layout.BUREAU,
}


def build_standin(settings: standins.Settings) -> Application:
    """Return the application of a stand-in upstream."""
    application = Application("seam-upstream")
    application.add(standins.build_part(settings, SystemTimer()))
    return application


_PROGRAMS: dict[str, tuple[type[Any], Any]] = {
    "seam-control": (controls.Settings, controls.build),
    "seam-entry": (entries.Settings, entries.build),
    "seam-agent": (agents.Settings, agents.build),
    "seam-upstream": (standins.Settings, build_standin),
}


class LocalFleet:
    """The running applications of a layout, with an operator's client."""

    def __init__(self, plan: layout.Layout):
        self.plan = plan
        self.client: ControlClient | None = None
        self._applications: list[Application] = []

    async def start(self) -> key.Secret:
        """Start the fleet, publish the configuration and issue a customer's key."""
        for item in self.plan.processes:
            kind, build = _PROGRAMS[item.program]
            application = build(setting.read(kind, item.settings))
            await application.start()
            self._applications.append(application)
        async with aiohttp.ClientSession() as http:
            self.client = await fleet.finish_start(self.plan, http)
        customer = next(iter(self.plan.configuration["customers"]))
        now = SystemTimer().read_wall_clock()
        return await session.issue_key(self.client, customer, now)

    async def stop(self) -> None:
        """Stop all applications, the entries before the ones that they depend on."""
        if self.client is not None:
            await self.client.stop()
        order = ("seam-entry", "seam-agent", "seam-upstream", "seam-control")
        for name in order:
            group = [item for item in self._applications if item.name == name]
            await asyncio.gather(*(item.stop() for item in group))


def write_operator_settings(plan: layout.Layout) -> Path:
    """Write the settings file for `seam-ctl` and return its path."""
    file = next(path for path in plan.operator_files if path.exists())
    document = {"control": list(plan.controls), "operator_key_file": str(file)}
    path = plan.folder / "operator.json"
    setting.write(path, document)
    return path


def render_instructions(plan: layout.Layout, secret: key.Secret) -> str:
    """Write the operator's settings and return instructions for using the fleet."""
    settings = write_operator_settings(plan)
    model = next(iter(plan.configuration["models"]))
    body = (
        f'{{"model": "{model}", "messages": [{{"role": "user", "content": "hello"}}]}}'
    )
    return "\n".join(
        (
            f"entries:   {', '.join(f'http://{item}' for item in plan.entries)}",
            f"key:       {secret.text}",
            f"folder:    {plan.folder}",
            "",
            f"curl http://{plan.entries[0]}/v1/chat/completions \\",
            f"  -H 'Authorization: Bearer {secret.text}' \\",
            f"  -d '{body}'",
            "",
            f"{Path(sys.executable).parent / 'seam-ctl'} --settings {settings} status",
            "",
            "Ctrl-C stops the fleet.",
        )
    )


async def run_fleet(plan: layout.Layout) -> None:
    """Run a fleet until SIGTERM or SIGINT."""
    stopping = asyncio.Event()
    event_loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        event_loop.add_signal_handler(signal_number, stopping.set)
    local_fleet = LocalFleet(plan)
    try:
        secret = await local_fleet.start()
        typer.echo(render_instructions(plan, secret))
        await stopping.wait()
    finally:
        await local_fleet.stop()


def configure_log(folder: Path) -> None:
    """Write the log to a file in the fleet's folder instead of the terminal."""
    log.configure("seam-local", "local", file=(folder / LOG_FILE).open("a"))


@app.command()
def local(
    folder: Annotated[
        Path | None, typer.Option(help="A new folder for settings, data and log.")
    ] = None,
    size: Annotated[Size, typer.Option(help="Which fleet to run.")] = Size.SMALL,
    version: option.VersionOption = False,
) -> None:
    """Run a whole fleet in one process, with stand-in upstreams.

    Prints the entries' addresses, a key, a curl command and a seam-ctl command.

    \b
    Examples:
      seam-local
      seam-local --size bureau --folder /tmp/bureau
    """
    target = folder or Path(tempfile.mkdtemp(prefix="seam-local-"))
    if target.exists() and (not target.is_dir() or any(target.iterdir())):
        text = f"--folder: {target} is not empty; expected a new or empty folder"
        typer.echo(text, err=True)
        sys.exit(program.BAD_SETTINGS_EXIT)
    try:
        plan = layout.lay_out(target, _SHAPES[size])
        configure_log(target)
        loop.run(run_fleet(plan))
    except (error.SeamError, TimeoutError) as failure:
        cause = str(failure) or "the fleet was not ready in time"
        typer.echo(f"{cause}; see {target / LOG_FILE}", err=True)
        sys.exit(program.FAILED_EXIT)
    except OSError as failure:
        typer.echo(f"{failure.filename}: {failure.strerror}", err=True)
        sys.exit(program.BAD_SETTINGS_EXIT)


def main() -> None:
    """Start the command line."""
    app()

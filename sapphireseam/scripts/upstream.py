"""Runs a stand-in upstream for tests, the demo and measurements.

It replaces a model engine or a plain service and is not part of the serving system.
"""

import sys
from pathlib import Path
from typing import Annotated, Literal, NamedTuple

import typer
from pydantic import Field

from sapphireseam.core import error
from sapphireseam.scripts import option
from sapphireseam.tools import engine, service, standin
from sapphireseam.utils import application, log, loop, program, setting, timer

app = typer.Typer(add_completion=False)


class Settings(NamedTuple):
    """The kind, address and behaviour of one stand-in.

    `models` and `speeds` apply only to engines, `service_seconds` only to plain
    services. With `checks_fence`, an engine refuses old fencing numbers.
    """

    name: str
    kind: Literal["engine", "service"]
    port: Annotated[int, Field(ge=0, le=65535)]
    host: str = "127.0.0.1"
    models: list[str] = []
    seed: int = 1
    checks_fence: bool = True
    speeds: engine.Speeds = engine.Speeds()
    service_seconds: engine.Seconds = 0.01
    hooks: service.Hooks = service.Hooks()


def build_part(
    settings: Settings, timer_service: timer.TimerService
) -> standin.EngineStandIn | service.ServiceStandIn:
    """Return the stand-in for the settings."""
    if settings.kind == "service":
        return service.ServiceStandIn(
            settings.name,
            settings.host,
            settings.port,
            settings.service_seconds,
            settings.hooks,
            timer_service,
        )
    return standin.EngineStandIn(
        settings.name,
        settings.host,
        settings.port,
        settings.models,
        settings.seed,
        settings.speeds,
        settings.hooks,
        settings.checks_fence,
        timer_service,
    )


async def run_program(settings: Settings) -> None:
    """Serve requests until the program is stopped."""
    standin_program = application.Application("seam-upstream")
    standin_program.add(build_part(settings, timer.SystemTimer()))
    await standin_program.run()


@app.command()
def upstream(
    settings: Annotated[Path, typer.Option(help="The JSON settings file.")],
    version: option.VersionOption = False,
) -> None:
    """Run a stand-in model engine or plain service."""
    try:
        checked = setting.read(Settings, settings)
    except error.SettingsError as failure:
        typer.echo(failure.message, err=True)
        sys.exit(program.BAD_SETTINGS_EXIT)
    log.configure("seam-upstream", checked.name)
    loop.run(run_program(checked))


def main() -> None:
    """Start the command line."""
    app()

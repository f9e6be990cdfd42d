"""Run a stand-in upstream for tests, the demo and measurements.

It stands where a model engine or a plain service would; nothing in it belongs
to the serving system itself.
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
    """Say what this stand-in is, where it listens and how it behaves.

    `models` and `speeds` concern engines only, `service_seconds` plain
    services only. `checks_fence` makes an engine refuse old fencing numbers.
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
    """Return the stand-in that the settings describe."""
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
    """Serve until told to stop."""
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

"""Start a program the same way everywhere: options, settings, logs, loop.

Every daemon takes one JSON settings file. Wrong settings are listed whole on
standard error with exit code 2; a program that can't start for another reason
says why and exits with 1.
"""

import logging
import sys
import time
from collections.abc import Callable
from importlib import metadata
from pathlib import Path
from typing import Annotated, Any

import typer

from sapphireseam.core import error
from sapphireseam.utils import log, loop, setting
from sapphireseam.utils.application import Application

BAD_SETTINGS_EXIT = 2
FAILED_EXIT = 1
# Pause before an application whose storage failed is built anew, in seconds.
RESTART_SECONDS = 0.5

logger = logging.getLogger(__name__)


def show_version(wanted: bool) -> None:
    """Print the version and end, as the callback of `--version`."""
    if wanted:
        typer.echo(metadata.version("sapphireseam"))
        raise typer.Exit


VersionOption = Annotated[
    bool,
    typer.Option(
        "--version", callback=show_version, is_eager=True, help="Show and exit."
    ),
]
SettingsOption = Annotated[Path, typer.Option(help="The JSON settings file.")]


def run_daemon(
    name: str,
    kind: type[Any],
    build: Callable[[Any], Application],
    path: Path,
    restarts: bool = False,
) -> None:
    """Read the settings, run the application until it is told to stop.

    With `restarts` an application whose storage fails is built anew, for as long
    as it takes: a disk that was full may have room again.
    """
    try:
        settings = setting.read(kind, path)
    except error.SettingsError as failure:
        typer.echo(failure.message, err=True)
        sys.exit(BAD_SETTINGS_EXIT)
    log.configure(name, settings.node)
    while True:
        try:
            loop.run(build_and_run(build, settings))
            return
        except error.StorageError as failure:
            logger.error("storage failed", extra={"cause": failure.message})
            if not restarts:
                sys.exit(FAILED_EXIT)
            time.sleep(RESTART_SECONDS)
        except error.SeamError as failure:
            logger.error("can't run", extra={"cause": failure.message})
            bad = failure.kind is error.Kind.BAD_SETTINGS
            sys.exit(BAD_SETTINGS_EXIT if bad else FAILED_EXIT)


async def build_and_run(build: Callable[[Any], Application], settings: Any) -> None:
    """Build the application inside the loop and run it."""
    await build(settings).run()

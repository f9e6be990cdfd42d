"""Options that several command lines share."""

from importlib import metadata
from pathlib import Path
from typing import Annotated

import typer


def show_version(wanted: bool) -> None:
    """Print the version and exit, as the callback of `--version`."""
    if wanted:
        typer.echo(metadata.version("sapphireseam"))
        raise typer.Exit


VersionOption = Annotated[
    bool,
    typer.Option(
        "--version",
        callback=show_version,
        is_eager=True,
        help="Show the version and exit.",
    ),
]
SettingsOption = Annotated[Path, typer.Option(help="The JSON settings file.")]

"""Runs an entry VM, which accepts callers' requests."""

import typer

from sapphireseam.entry import application
from sapphireseam.scripts import option
from sapphireseam.utils import program

app = typer.Typer(add_completion=False)


@app.command()
def entry(
    settings: option.SettingsOption, version: option.VersionOption = False
) -> None:
    """Run an entry VM, which accepts callers' requests.

    Example: seam-entry --settings entry-a.json
    """
    program.run_daemon("seam-entry", application.Settings, application.build, settings)


def main() -> None:
    """Start the command line."""
    app()

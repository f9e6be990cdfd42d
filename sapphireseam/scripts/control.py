"""Runs a control VM, which replicates the fleet's state."""

import typer

from sapphireseam.control import application
from sapphireseam.scripts import option
from sapphireseam.utils import program

app = typer.Typer(add_completion=False)


@app.command()
def control(
    settings: option.SettingsOption, version: option.VersionOption = False
) -> None:
    """Run a control VM, which replicates the fleet's state.

    Example: seam-control --settings control-a.json
    """
    program.run_daemon(
        "seam-control", application.Settings, application.build, settings
    )


def main() -> None:
    """Start the command line."""
    app()

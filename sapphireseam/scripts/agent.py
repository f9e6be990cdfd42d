"""Runs the agent, the process beside one upstream."""

import typer

from sapphireseam.agent import application
from sapphireseam.scripts import option
from sapphireseam.utils import program

app = typer.Typer(add_completion=False)


@app.command()
def agent(
    settings: option.SettingsOption, version: option.VersionOption = False
) -> None:
    """Run the agent of one upstream.

    Example: seam-agent --settings agent-a.json
    """
    program.run_daemon("seam-agent", application.Settings, application.build, settings)


def main() -> None:
    """Start the command line."""
    app()

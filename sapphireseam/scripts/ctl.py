"""The operators' command line, `seam-ctl`, over `sapphireseam.ops`.

This module has the options that all commands share. Each group of commands has a
module of its own.
"""

from pathlib import Path
from typing import Annotated

import typer

from sapphireseam.ops import setting
from sapphireseam.scripts import (
    ctl_configuration,
    ctl_fleet,
    ctl_job,
    ctl_key,
    ctl_order,
    option,
)

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    context_settings={"help_option_names": ["-h", "--help"]},
)
ctl_fleet.register(app)
ctl_configuration.register(app)
app.add_typer(ctl_key.app, name="key")
app.add_typer(ctl_job.app, name="job")
app.add_typer(ctl_order.app, name="order")


@app.callback()
def ctl(
    context: typer.Context,
    settings: Annotated[
        Path | None,
        typer.Option(
            envvar="SEAM_SETTINGS",
            help="JSON file with the fields control and operator_key_file.",
        ),
    ] = None,
    control: Annotated[
        list[str] | None,
        typer.Option(
            envvar="SEAM_CONTROL",
            help="Address host:port of a control VM; repeat the option for each.",
        ),
    ] = None,
    operator_key_file: Annotated[
        Path | None,
        typer.Option(
            envvar="SEAM_OPERATOR_KEY_FILE", help="File with the operator key."
        ),
    ] = None,
    version: option.VersionOption = False,
) -> None:
    """Operate a fleet: configuration, keys, jobs, orders, members, time line.

    Select the fleet by options before the command, by environment variables or
    by a settings file. Options override variables, and both override the file:

    \b
      seam-ctl --control 10.0.0.1:7000 --operator-key-file key status
      SEAM_SETTINGS=operator.json seam-ctl status

    \b
    Exit codes:
      0  done
      1  refused or failed; status: the fleet needs an operator
      2  wrong usage or invalid settings
      3  the configuration has findings and was not published
      4  no quorum of control VMs was reached; the outcome may be unknown
      5  check --strict: the configuration has warnings only
    """
    context.obj = setting.Choice(settings, tuple(control or ()), operator_key_file)


def main() -> None:
    """Start the command line."""
    app()

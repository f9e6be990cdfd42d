"""Runs operator commands against a fleet's control VMs and reports their errors.

All commands use `run`, so that they share error messages, exit codes and advice,
and an operator never sees a traceback.
"""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import typer

from sapphireseam.core import error
from sapphireseam.ops import session, setting
from sapphireseam.utils import loop
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.timer import SystemTimer, TimerService

# Exit codes of `seam-ctl` other than 0.
REFUSED_EXIT = 1
BAD_SETTINGS_EXIT = 2
FINDINGS_EXIT = 3
UNREACHABLE_EXIT = 4
WARNINGS_EXIT = 5

_EXIT_CODES = {
    error.Kind.BAD_SETTINGS: BAD_SETTINGS_EXIT,
    error.Kind.BAD_CONFIGURATION: FINDINGS_EXIT,
    error.Kind.CONTROL_UNREACHABLE: UNREACHABLE_EXIT,
    error.Kind.NOT_LEADER: UNREACHABLE_EXIT,
    error.Kind.OUTCOME_UNKNOWN: UNREACHABLE_EXIT,
}

_ADVICE = {
    error.Kind.KEY_INVALID: (
        "Check that the operator key file is this fleet's: the first leader wrote"
        " it as operator-key into its data folder."
    ),
    error.Kind.CONFLICT: "See `seam-ctl status` and `seam-ctl history`.",
    error.Kind.CONTROL_UNREACHABLE: (
        "Check the --control addresses and that more than half of the control VMs"
        " run: `seam-ctl status` queries each one separately."
    ),
    error.Kind.OUTCOME_UNKNOWN: "Check whether it took effect before you repeat it.",
    error.Kind.STORAGE_FAILED: "Check the disks and the logs of the control VMs.",
}


class Operator(NamedTuple):
    """The connection to a fleet that a command works with."""

    client: ControlClient
    addresses: tuple[str, ...]
    timer: TimerService

    def read_time(self) -> float:
        """Return the current time in epoch seconds."""
        return self.timer.read_wall_clock()


Work = Callable[[Operator], Awaitable[Any]]


async def connect_and_run(settings: setting.Settings, work: Work) -> Any:
    """Connect to the fleet, run the work and close the connection in any case."""
    key = setting.read_operator_key(settings.operator_key_file)
    timer = SystemTimer()
    client = session.connect(settings.control, key, timer)
    try:
        return await work(Operator(client, settings.control, timer))
    finally:
        await client.stop()


def run(choice: setting.Choice, work: Work) -> Any:
    """Return the result of the work, or print its error and exit."""
    try:
        return loop.run(connect_and_run(setting.resolve(choice), work))
    except error.SeamError as failure:
        raise typer.Exit(report_error(failure)) from None
    except BrokenPipeError:
        raise  # Typer exits silently if the reader of a pipe has closed it.
    except OSError as failure:
        path = f"{failure.filename}: " if failure.filename else ""
        typer.echo(f"error: {path}{failure.strerror}", err=True)
        raise typer.Exit(BAD_SETTINGS_EXIT) from None


def report_error(failure: error.SeamError) -> int:
    """Print an error with advice and return the exit code."""
    typer.echo(f"error: {failure.message or failure.kind}", err=True)
    advice = _ADVICE.get(failure.kind)
    if advice:
        typer.echo(advice, err=True)
    return _EXIT_CODES.get(failure.kind, REFUSED_EXIT)

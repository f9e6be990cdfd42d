"""Drives load through the system and measures it, or compares it with direct calls.

The exit code is 0 if the run has no faults, 1 if it has some, and 2 if the settings
are invalid. In a run without faults, every answer is right or a refusal, at least one
is right, and every accepted job completes with exactly one right result per item.
`--allow-losses` also allows failed and lost requests.
"""

import json
import sys
from pathlib import Path
from typing import Annotated

import typer

from sapphireseam.core import error
from sapphireseam.scripts import option
from sapphireseam.tools import load, plan, table
from sapphireseam.utils import log, loop, program, setting, timer

FAULTY_EXIT = 1
app = typer.Typer(add_completion=False)


def read_profile(path: Path) -> plan.Profile:
    """Return the validated profile, or raise `SettingsError` with all faults."""
    profile = setting.read(plan.Profile, path)
    faults = plan.find_errors(profile)
    if faults:
        raise error.SettingsError("\n".join(f"{path}: {fault}" for fault in faults))
    return profile


def read_keys(path: Path | None, profile: plan.Profile) -> dict[str, str]:
    """Return the keys by customer; those of the file override the profile's."""
    keys = {item.name: item.key for item in profile.customers if item.key}
    if path is not None:
        keys |= setting.read(dict[str, str], path)
    return keys


def parse_pids(options: list[str]) -> dict[str, int]:
    """Return process ids by name, parsed from `name=pid` options."""
    pids = {}
    for item in options:
        name, _, number = item.rpartition("=")
        if not name or not number.isdigit():
            raise error.SettingsError(f"pid option {item!r}: expected name=pid")
        pids[name] = int(number)
    return pids


@app.command()
def run(
    profile: Annotated[Path, typer.Option(help="JSON file with the load profile.")],
    entry: Annotated[
        list[str],
        typer.Option(help="Base URL of an entry; repeat the option for more."),
    ] = [],  # noqa: B006
    direct: Annotated[
        list[str], typer.Option(help="Compare: base URL of the upstream.")
    ] = [],  # noqa: B006
    through: Annotated[
        list[str], typer.Option(help="Compare: base URL of an entry.")
    ] = [],  # noqa: B006
    keys: Annotated[
        Path | None, typer.Option(help="JSON file that maps customers to keys.")
    ] = None,
    upstream: Annotated[
        list[str], typer.Option(help="Stand-in to query for its counts of runs.")
    ] = [],  # noqa: B006
    upstream_pid: Annotated[
        list[str], typer.Option(help="name=pid of a stand-in, to measure its CPU time.")
    ] = [],  # noqa: B006
    system_pid: Annotated[
        list[str],
        typer.Option(
            help="name=pid of an entry, agent or control VM, to measure its CPU time."
        ),
    ] = [],  # noqa: B006
    rounds: Annotated[
        int, typer.Option(help="Compare: rounds for each side.", min=1)
    ] = 6,
    seconds: Annotated[
        float | None, typer.Option(help="Override the profile's seconds.")
    ] = None,
    seed: Annotated[
        int | None, typer.Option(help="Override the profile's seed.")
    ] = None,
    no_jobs: Annotated[
        bool, typer.Option(help="Send the online requests only.")
    ] = False,
    allow_losses: Annotated[
        bool,
        typer.Option(
            help="Processes are killed during the run: allow failed or lost requests."
        ),
    ] = False,
    output: Annotated[
        Path | None, typer.Option(help="File for the JSON report.")
    ] = None,
    version: option.VersionOption = False,
) -> None:
    """Send a profile's load to --entry, or compare --direct with --through."""
    try:
        if bool(entry) == bool(direct and through):
            raise error.SettingsError("give --entry, or --direct and --through")
        checked = read_profile(profile)
        if seconds is not None:
            checked = checked._replace(seconds=seconds)
        if seed is not None:
            checked = checked._replace(seed=seed)
        if no_jobs:
            checked = checked._replace(jobs=[])
        if allow_losses:
            checked = checked._replace(allow_losses=True)
        target = load.Target(
            entry or through,
            read_keys(keys, checked),
            upstream,
            parse_pids(upstream_pid),
            parse_pids(system_pid),
        )
    except error.SettingsError as failure:
        typer.echo(failure.message, err=True)
        sys.exit(program.BAD_SETTINGS_EXIT)
    log.configure("seam-load", "load", "WARNING")
    timer_service = timer.SystemTimer()
    if entry:
        report = loop.run(load.run_load(checked, target, timer_service))
        text = table.render_load(report)
    else:
        direct_target = load.Target(direct)
        comparison = load.run_comparison(
            checked, direct_target, target, rounds, timer_service
        )
        report = loop.run(comparison)
        text = table.render_comparison(report)
    typer.echo(text)
    if output is not None:
        output.write_text(json.dumps(report, indent=1) + "\n")
    sys.exit(FAULTY_EXIT if report["faults"] else 0)


def main() -> None:
    """Start the command line."""
    app()

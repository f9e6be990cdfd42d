"""Commands that show and cancel batch jobs and fetch their results."""

import asyncio
import sys
from pathlib import Path
from typing import Annotated, Any

import typer

from sapphireseam.core import message
from sapphireseam.ops import job as jobs, operator, table
from sapphireseam.scripts.ctl_configuration import JsonOption, YesOption

FOLLOW_INTERVAL_SECONDS = 1.0

app = typer.Typer(
    help="Show batch jobs, cancel them and fetch their results.",
    no_args_is_help=True,
    rich_markup_mode=None,
)

JobArgument = Annotated[str, typer.Argument(help="The job's id.")]


def _build_row(job: message.JobView, now: float) -> dict[str, Any]:
    expected = jobs.forecast(job, now)
    return {
        **job._asdict(),
        "expected_end": expected.end,
        "at_risk": expected.at_risk,
    }


def _render_progress(job: message.JobView) -> str:
    return f"{job.done + job.failed}/{job.count} ({job.failed} failed)"


def _render_end(row: dict[str, Any]) -> str:
    if row["ended"]:
        return table.render_time(row["ended"])
    if not row["expected_end"]:
        return "AT RISK" if row["at_risk"] else "-"
    risk = " AT RISK" if row["at_risk"] else ""
    return f"expected {table.render_time(row['expected_end'])}{risk}"


@app.command("list")
def list_jobs(
    context: typer.Context,
    customer: Annotated[str, typer.Option(help="Only jobs of this customer.")] = "",
    open_only: Annotated[bool, typer.Option("--open", help="Only open jobs.")] = False,
    as_json: JsonOption = False,
) -> None:
    """List jobs with their progress and expected end, newest first.

    \b
    Examples:
      seam-ctl job list
      seam-ctl job list --customer grower-1 --open
    """

    async def work(connection: operator.Operator):
        found = await jobs.list_all(connection, customer)
        wanted = [job for job in found if not (open_only and job.ended)]
        return [(job, _build_row(job, connection.read_time())) for job in wanted]

    rows = operator.run(context.obj, work)
    if as_json:
        table.write_json([row for _, row in rows])
        return
    cells = [
        (
            job.id,
            job.customer,
            job.status,
            _render_progress(job),
            table.render_time(job.due),
            _render_end(row),
        )
        for job, row in rows
    ]
    columns = ("job", "customer", "status", "finished", "due (UTC)", "end (UTC)")
    table.write("Jobs", columns, cells, "none")


@app.command()
def show(
    context: typer.Context,
    job: JobArgument,
    follow: Annotated[
        bool, typer.Option("--follow", help="Print progress until the job ends.")
    ] = False,
    as_json: JsonOption = False,
) -> None:
    """Show one job; with --follow, print its progress until it ends.

    \b
    Examples:
      seam-ctl job show batch_4f2a
      seam-ctl job show batch_4f2a --follow
    """

    async def work(connection: operator.Operator):
        found = await jobs.read(connection, job)
        while follow and not found.ended:
            typer.echo(f"{found.status}: {_render_progress(found)}", err=True)
            await asyncio.sleep(FOLLOW_INTERVAL_SECONDS)
            found = await jobs.read(connection, job)
        return found, _build_row(found, connection.read_time())

    found, row = operator.run(context.obj, work)
    if as_json:
        table.write_json(row)
        return
    cells = [
        ("customer", found.customer),
        ("status", found.status),
        ("finished", _render_progress(found)),
        ("endpoint", found.endpoint),
        ("input file", found.file),
        ("created (UTC)", table.render_time(found.created)),
        ("due (UTC)", table.render_time(found.due)),
        ("end (UTC)", _render_end(row)),
        *((f"metadata {name}", value) for name, value in found.metadata.items()),
    ]
    table.write(f"Job {found.id}", ("field", "value"), cells)


@app.command()
def cancel(context: typer.Context, job: JobArgument, yes: YesOption = False) -> None:
    """Cancel a job and wait until none of its items runs.

    Results that exist by then stay readable.

    Example: seam-ctl job cancel batch_4f2a --yes
    """

    async def work(connection: operator.Operator):
        found = await jobs.read(connection, job)
        if found.ended:
            return found
        if not yes:
            text = f"Cancel {found.customer}'s job, {_render_progress(found)} finished?"
            typer.confirm(text, abort=True)
        return await jobs.cancel(connection, found)

    found = operator.run(context.obj, work)
    typer.echo(f"job {found.id} is {found.status}, {_render_progress(found)} finished")
    if found.status != "cancelled":
        raise typer.Exit(operator.REFUSED_EXIT)


@app.command()
def results(
    context: typer.Context,
    job: JobArgument,
    failed: Annotated[
        bool, typer.Option("--failed", help="Fetch the error lines instead.")
    ] = False,
    output: Annotated[
        Path | None, typer.Option(help="Write to a file instead of standard output.")
    ] = None,
) -> None:
    """Fetch the output lines that a job has so far, or its error lines.

    \b
    Examples:
      seam-ctl job results batch_4f2a --output sheets.jsonl
      seam-ctl job results batch_4f2a --failed
    """

    async def work(connection: operator.Operator):
        await jobs.read(connection, job)
        count = 0
        target = sys.stdout.buffer if output is None else output.open("wb")
        try:
            async for lines in jobs.read_results(connection, job, failed):
                target.write(lines)
                count += lines.count(b"\n")
            target.flush()
        finally:
            if output is not None:
                target.close()
        return count

    count = operator.run(context.obj, work)
    typer.echo(f"{count} line(s)", err=True)

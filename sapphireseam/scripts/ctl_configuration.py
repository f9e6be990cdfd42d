"""Check, compare, publish and look back at configurations."""

import json
from pathlib import Path
from typing import Annotated

import typer

from sapphireseam.core import error
from sapphireseam.ops import configuration, operator, table

FileArgument = Annotated[Path, typer.Argument(help="The configuration's JSON file.")]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON for scripts.")]
YesOption = Annotated[bool, typer.Option("--yes", help="Don't ask.")]
NoteOption = Annotated[str, typer.Option(help="Why, for the history.")]
BaseOption = Annotated[
    int | None,
    typer.Option(
        min=0, help="The revision the file was edited from; else what show recorded."
    ),
]


def register(app: typer.Typer) -> None:
    """Add the commands to the command line."""
    for function in (check, diff, publish, history, show, rollback):
        app.command()(function)


def _write_findings(findings: tuple[tuple[str, str, str], ...], as_json: bool) -> None:
    """Print findings and exit with their code, if there are any."""
    if as_json:
        rows = [
            dict(zip(("source", "message", "entry"), f, strict=True)) for f in findings
        ]
        table.write_json(rows)
    else:
        for source, text, entry in findings:
            typer.echo(f"{source}: {text} (found {entry[:80]!r})")
    if findings:
        typer.echo(f"{len(findings)} finding(s); mend them and try again", err=True)
        raise typer.Exit(operator.FINDINGS_EXIT)


def _write_changes(changes: list[configuration.Change], as_json: bool) -> None:
    if as_json:
        table.write_json([item._asdict() for item in changes])
        return
    for item in changes:
        typer.echo(item.render())
    if not changes:
        typer.echo("no difference")


def check(
    context: typer.Context, file: FileArgument, as_json: JsonOption = False
) -> None:
    """Check a configuration against the fleet; publish nothing.

    Every finding is listed with its object and field; any finding exits with 3.

    Example: seam-ctl check fleet.json
    """

    async def work(connection: operator.Operator):
        document = configuration.read_file(file)
        return await configuration.check(connection, document)

    _write_findings(operator.run(context.obj, work), as_json)
    if not as_json:
        typer.echo(f"{file}: no findings")


def diff(
    context: typer.Context,
    file: Annotated[Path | None, typer.Argument(help="File to compare.")] = None,
    old: Annotated[int, typer.Option("--from", help="Revision before.")] = 0,
    new: Annotated[int, typer.Option("--to", help="Revision after.")] = 0,
    as_json: JsonOption = False,
) -> None:
    """Show what a file would change, or what changed between two revisions.

    Revision 0 is the one in force. Each line begins with + (new), - (gone) or
    ~ (changed).

    \b
    Examples:
      seam-ctl diff fleet.json
      seam-ctl diff --from 6 --to 7
    """

    async def work(connection: operator.Operator):
        if file is None:
            return await configuration.compare_revisions(connection, old, new)
        document = configuration.read_file(file)
        view = await configuration.read(connection, old)
        return configuration.compare(json.loads(view.document), document)

    _write_changes(operator.run(context.obj, work), as_json)


def publish(
    context: typer.Context,
    file: FileArgument,
    base: BaseOption = None,
    note: NoteOption = "",
    request_id: Annotated[
        str, typer.Option(help="Repeat a publish whose answer was lost.")
    ] = "",
    yes: YesOption = False,
) -> None:
    """Publish a configuration over the revision that it was edited from.

    Shows what will change and asks. If another publish came first, this one is
    refused and changes nothing. A lost answer is resent with the same request
    id; if no answer comes at all, the id is printed for --request-id.

    \b
    Examples:
      seam-ctl show --output fleet.json
      seam-ctl publish fleet.json --note "two more replicas"
      seam-ctl publish fleet.json --base 7 --yes
    """

    async def work(connection: operator.Operator):
        document = configuration.read_file(file)
        review = await configuration.review(connection, document, base, file)
        if not request_id:
            _require_current(review, file)
            _write_findings(review.findings, False)
            if not review.changes:
                typer.echo(f"{file} is what revision {review.in_force} already holds")
                return
            _write_changes(review.changes, False)
            if not yes:
                typer.confirm(f"Publish over revision {review.in_force}?", abort=True)
        name = request_id or configuration.generate_request_id()
        done = await configuration.publish(
            connection, document, review.base, note, name
        )
        configuration.record_base(file, done.number)
        typer.echo(f"revision {done.number} is published")

    operator.run(context.obj, work)


def _require_current(review: configuration.Review, file: Path) -> None:
    if review.base == review.in_force:
        return
    if review.base > review.in_force:
        text = (
            f"{file} was edited from revision {review.base}, but only"
            f" {review.in_force} is in force here: is it another fleet's? If it is"
            f" meant for this one, say so with --base {review.in_force}"
        )
        raise error.SeamError(text, error.Kind.CONFLICT)
    text = (
        f"{file} was edited from revision {review.base}, and {review.in_force} is in"
        f" force. See `seam-ctl diff --from {review.base}`, fetch the new one with"
        " `seam-ctl show --output`, redo the change there and publish that"
    )
    raise error.SeamError(text, error.Kind.CONFLICT)


def history(context: typer.Context, as_json: JsonOption = False) -> None:
    """List the published revisions, newest first.

    Example: seam-ctl history
    """
    rows = operator.run(context.obj, configuration.list_history)
    if as_json:
        names = ("revision", "at", "note")
        table.write_json([dict(zip(names, row, strict=True)) for row in rows])
        return
    cells = [(number, table.render_time(at), note) for number, at, note in rows]
    table.write("Revisions", ("revision", "published (UTC)", "note"), cells, "none")


def show(
    context: typer.Context,
    revision: Annotated[int, typer.Option(min=0, help="0: the one in force.")] = 0,
    output: Annotated[
        Path | None,
        typer.Option(help="Write to a file, with its revision recorded for publish."),
    ] = None,
) -> None:
    """Show a published configuration as JSON, the one in force by default.

    \b
    Examples:
      seam-ctl show
      seam-ctl show --revision 6
      seam-ctl show --output fleet.json
    """

    async def work(connection: operator.Operator):
        return await configuration.read(connection, revision)

    view = operator.run(context.obj, work)
    if output is None:
        table.write_json(json.loads(view.document))
        return
    try:
        configuration.write_file(output, view)
    except OSError as failure:
        typer.echo(f"error: {output}: {failure.strerror}", err=True)
        raise typer.Exit(operator.BAD_SETTINGS_EXIT) from None
    typer.echo(f"revision {view.revision} is in {output}")


def rollback(
    context: typer.Context,
    revision: Annotated[int, typer.Argument(min=1, help="The revision to go back to.")],
    note: NoteOption = "",
    yes: YesOption = False,
) -> None:
    """Publish an earlier revision's configuration again, as a new revision.

    Shows what will change and asks; it is checked like any other publish.

    Example: seam-ctl rollback 6
    """

    async def work(connection: operator.Operator):
        wanted = await configuration.read(connection, revision)
        current = await configuration.read(connection)
        document = json.loads(wanted.document)
        changes = configuration.compare(json.loads(current.document), document)
        _write_findings(await configuration.check(connection, document), False)
        _write_changes(changes, False)
        if not changes:
            return
        if not yes:
            typer.confirm(f"Go back from revision {current.revision}?", abort=True)
        name = configuration.generate_request_id()
        text = note or f"rollback to {revision}"
        done = await configuration.publish(
            connection, document, current.revision, text, name
        )
        typer.echo(f"revision {done.number} is published, the same as {revision}")

    operator.run(context.obj, work)

"""Commands that check, compare, publish and list configurations."""

from pathlib import Path
from typing import Annotated

import typer

from sapphireseam.core import error, jsontext, lint
from sapphireseam.ops import configuration, inspection, operator, table

FileArgument = Annotated[Path, typer.Argument(help="The configuration's JSON file.")]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON for scripts.")]
YesOption = Annotated[bool, typer.Option("--yes", help="Do not ask for confirmation.")]
NoteOption = Annotated[str, typer.Option(help="The reason, shown in the history.")]
BaseOption = Annotated[
    int | None,
    typer.Option(
        min=0,
        help="The revision the file was edited from; default: the recorded one.",
    ),
]


def register(app: typer.Typer) -> None:
    """Add the commands to the command line."""
    for function in (check, diff, publish, history, show, rollback):
        app.command()(function)


def _write_findings(findings: tuple[tuple[str, str, str], ...]) -> None:
    """Print the findings; exit with `FINDINGS_EXIT` if there are any."""
    for item in findings:
        typer.echo(inspection.render(lint.make_error(*item)))
    if findings:
        typer.echo(f"{len(findings)} finding(s); correct them and try again", err=True)
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
    context: typer.Context,
    file: FileArgument,
    offline: Annotated[
        bool, typer.Option("--offline", help="Check the file alone; ask no control VM.")
    ] = False,
    strict: Annotated[
        bool, typer.Option("--strict", help="Exit with 5 if there are warnings only.")
    ] = False,
    as_json: JsonOption = False,
) -> None:
    """Check a configuration without publishing it, and say what it would change.

    Lists errors, which prevent a publish, and warnings about what has no effect or
    contradicts itself, with object and field. Then lists the differences from the
    revision in force by object, with their effects.

    The exit code is 3 if there are errors. Without a control VM the file is checked
    alone, and the exit code is 4 unless there are errors.

    \b
    Examples:
      seam-ctl check fleet.json
      seam-ctl check fleet.json --offline --strict
    """

    async def work(connection: operator.Operator):
        return await inspection.inspect(connection, configuration.read_file(file))

    if offline:
        try:
            found = inspection.Inspection(lint.check(configuration.read_file(file)))
        except error.SeamError as failure:
            raise typer.Exit(operator.report_error(failure)) from None
    else:
        found = operator.run(context.obj, work)
    inspection.write(found, file, as_json)
    inspection.exit_after(found, strict)


def diff(
    context: typer.Context,
    file: Annotated[Path | None, typer.Argument(help="The file to compare.")] = None,
    old: Annotated[int, typer.Option("--from", help="The old revision.")] = 0,
    new: Annotated[int, typer.Option("--to", help="The new revision.")] = 0,
    as_json: JsonOption = False,
) -> None:
    """Show what a file would change, or what changed between two revisions.

    Revision 0 is the one in force. Each line begins with + (added), - (removed)
    or ~ (changed).

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
        return configuration.compare(jsontext.parse(view.document), document)

    _write_changes(operator.run(context.obj, work), as_json)


def publish(
    context: typer.Context,
    file: FileArgument,
    base: BaseOption = None,
    note: NoteOption = "",
    request_id: Annotated[
        str, typer.Option(help="The request id of a publish whose answer was lost.")
    ] = "",
    yes: YesOption = False,
) -> None:
    """Publish a configuration over the revision that it was edited from.

    Shows the changes and asks for confirmation. The publish is refused, without
    any change, if another one came first. A publish without an answer is sent
    again with the same request id. If no answer arrives at all, the id is
    printed, to repeat the publish with --request-id.

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
            _write_findings(review.findings)
            if not review.changes:
                typer.echo(f"{file} is the same as revision {review.in_force}")
                return
            _write_changes(review.changes, False)
            if not yes:
                typer.confirm(f"Publish over revision {review.in_force}?", abort=True)
        request = request_id or configuration.generate_request_id()
        done = await configuration.publish(
            connection, document, review.base, note, request
        )
        configuration.record_base(file, done.number)
        typer.echo(f"revision {done.number} is published")

    operator.run(context.obj, work)


def _require_current(review: configuration.Review, file: Path) -> None:
    if review.base == review.in_force:
        return
    if review.base > review.in_force:
        text = (
            f"{file} was edited from revision {review.base}, but this fleet is at"
            f" revision {review.in_force}: the file may be from another fleet. If it"
            f" is for this one, give --base {review.in_force}"
        )
        raise error.SeamError(text, error.Kind.CONFLICT)
    text = (
        f"{file} was edited from revision {review.base}, but revision"
        f" {review.in_force} is in force. See `seam-ctl diff --from {review.base}`,"
        " fetch the new revision with `seam-ctl show --output`, repeat the change in"
        " it and publish that"
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
    revision: Annotated[
        int, typer.Option(min=0, help="The revision; 0 is the one in force.")
    ] = 0,
    output: Annotated[
        Path | None,
        typer.Option(help="Write to a file and record its revision for publish."),
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
        table.write_json(jsontext.parse(view.document))
        return
    try:
        configuration.write_file(output, view)
    except OSError as failure:
        typer.echo(f"error: {output}: {failure.strerror}", err=True)
        raise typer.Exit(operator.BAD_SETTINGS_EXIT) from None
    typer.echo(f"revision {view.revision} is written to {output}")


def rollback(
    context: typer.Context,
    revision: Annotated[int, typer.Argument(min=1, help="The revision to restore.")],
    note: NoteOption = "",
    yes: YesOption = False,
) -> None:
    """Publish the configuration of an earlier revision as a new revision.

    Shows the changes and asks for confirmation. The configuration is checked as
    in any other publish.

    Example: seam-ctl rollback 6
    """

    async def work(connection: operator.Operator):
        wanted = await configuration.read(connection, revision)
        current = await configuration.read(connection)
        document = jsontext.parse(wanted.document)
        changes = configuration.compare(jsontext.parse(current.document), document)
        _write_findings(await configuration.check(connection, document))
        _write_changes(changes, False)
        if not changes:
            return
        if not yes:
            typer.confirm(f"Roll back from revision {current.revision}?", abort=True)
        request = configuration.generate_request_id()
        text = note or f"rollback to {revision}"
        done = await configuration.publish(
            connection, document, current.revision, text, request
        )
        typer.echo(f"revision {done.number} is published, the same as {revision}")

    operator.run(context.obj, work)

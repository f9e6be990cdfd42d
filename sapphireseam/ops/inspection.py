"""Inspects a configuration before it is published.

The rules run here, without a network. The control VMs add what only they know: live
keys, and the revision in force, with which the configuration is compared.
"""

from pathlib import Path
from typing import Any, NamedTuple

import typer

from sapphireseam.core import error, fleet, jsontext, lint
from sapphireseam.ops import configuration, effect, operator, table

UNREACHABLE_KINDS = (error.Kind.CONTROL_UNREACHABLE, error.Kind.NOT_LEADER)


class Inspection(NamedTuple):
    """The findings, and the differences from `revision`, which is in force.

    The revision is None if the file was inspected alone. `cause` then tells why, unless
    the operator wanted it so. The changes are None, too, if errors leave no objects to
    compare.
    """

    findings: list[lint.Finding]
    revision: int | None = None
    changes: list[effect.ObjectChange] | None = None
    cause: str = ""

    def list_findings(self, severity: lint.Severity) -> list[lint.Finding]:
        """Return the findings of one severity."""
        return [item for item in self.findings if item.severity is severity]


async def inspect(
    connection: operator.Operator, document: dict[str, Any]
) -> Inspection:
    """Return all findings and differences, or those of the file if nothing answers."""
    alone = lint.check(document)
    try:
        view = await configuration.read(connection)
        found = await configuration.check(connection, document)
    except error.SeamError as failure:
        if failure.kind not in UNREACHABLE_KINDS:
            raise
        return Inspection(alone, cause=failure.message or str(failure.kind))
    refusals = [lint.make_error(*item) for item in found]
    known = {(item.source, item.message) for item in refusals}
    findings = refusals + [
        item for item in alone if (item.source, item.message) not in known
    ]
    changes = None
    if fleet.parse(document)[0] is not None:
        changes = effect.list_objects(jsontext.parse(view.document), document)
    return Inspection(findings, view.revision, changes)


def write(found: Inspection, file: Path, as_json: bool) -> None:
    """Print what was found in a file."""
    if as_json:
        table.write_json(table.to_plain(found))
        return
    for item in found.list_findings(lint.Severity.WARNING):
        typer.echo(f"warning: {render(item)} [{item.rule}]")
    errors = found.list_findings(lint.Severity.ERROR)
    for item in errors:
        typer.echo(render(item))
    if not found.findings:
        typer.echo(f"{file}: no findings")
    if errors:
        typer.echo(f"{len(errors)} finding(s); correct them and try again", err=True)
    if found.revision is None:
        cause = f": {found.cause}" if found.cause else ""
        text = "not compared with the revision in force, nor checked against live keys"
        typer.echo(f"{text}{cause}", err=True)
    elif found.changes is None:
        text = f"not compared with revision {found.revision} because of the errors"
        typer.echo(text, err=True)
    elif found.changes:
        typer.echo(f"changes of revision {found.revision}:")
        _write_changes(found.changes)
    else:
        typer.echo(f"no difference from revision {found.revision}")


def render(item: lint.Finding) -> str:
    """Return a finding as a line of text."""
    return f"{item.source}: {item.message} (found {str(item.entry)[:80]!r})"


def _write_changes(changes: list[effect.ObjectChange]) -> None:
    for changed in changes:
        typer.echo(changed.source)
        for field in changed.fields:
            typer.echo(f"  {field.field}: {field.effect}")
            for value in field.values:
                typer.echo(f"    {value.render()}")


def exit_after(found: Inspection, strict: bool) -> None:
    """Exit with the code of the findings, unless it is 0."""
    if found.list_findings(lint.Severity.ERROR):
        raise typer.Exit(operator.FINDINGS_EXIT)
    if found.cause:
        raise typer.Exit(operator.UNREACHABLE_EXIT)
    if strict and found.findings:
        raise typer.Exit(operator.WARNINGS_EXIT)

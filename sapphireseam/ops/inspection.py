"""Inspects a configuration before it is published.

The rules run here, without a network. The control VMs add what only they know: live
keys, and the revision in force, with which the configuration is compared.
"""

from typing import Any, NamedTuple

from sapphireseam.core import error, fleet, jsontext, lint
from sapphireseam.ops import configuration, effect
from sapphireseam.ops.operator import Operator

UNREACHABLE_KINDS = (error.Kind.CONTROL_UNREACHABLE, error.Kind.NOT_LEADER)


class Inspection(NamedTuple):
    """The findings, and the differences from `revision`, which is in force.

    The revision is None if the file was inspected alone. `cause` then tells why, unless
    the operator wanted it so.
    """

    findings: list[lint.Finding]
    revision: int | None = None
    changes: list[effect.ObjectChange] = []
    cause: str = ""

    def list_findings(self, severity: lint.Severity) -> list[lint.Finding]:
        """Return the findings of one severity."""
        return [item for item in self.findings if item.severity is severity]


async def inspect(operator: Operator, document: dict[str, Any]) -> Inspection:
    """Return all findings and differences, or those of the file if nothing answers."""
    alone = lint.check(document)
    try:
        view = await configuration.read(operator)
        found = await configuration.check(operator, document)
    except error.SeamError as failure:
        if failure.kind not in UNREACHABLE_KINDS:
            raise
        return Inspection(alone, cause=failure.message or str(failure.kind))
    refusals = [
        lint.Finding(lint.Severity.ERROR, lint.INVALID, *item) for item in found
    ]
    known = {(item.source, item.message) for item in refusals}
    findings = refusals + [
        item for item in alone if (item.source, item.message) not in known
    ]
    changes = []
    # Without the structure of a fleet there are no objects to compare.
    if fleet.parse(document)[0] is not None:
        changes = effect.list_objects(jsontext.parse(view.document), document)
    return Inspection(findings, view.revision, changes)

"""Read a program's settings: one JSON file, checked before anything starts.

Settings say where a process is (addresses, failure domain, data folder,
peers). What the fleet serves comes from the published configuration only.
"""

import json
from pathlib import Path
from typing import Annotated, Any, NamedTuple, TypeVar

from pydantic import Field, TypeAdapter, ValidationError

from sapphireseam.core import error

T = TypeVar("T")

# The secret that all processes of one fleet share.
Secret = Annotated[str, Field(min_length=16, max_length=512)]


class Finding(NamedTuple):
    """Point at one wrong value: where it stands, what it is, what was due."""

    source: str
    message: str
    entry: Any


def collect_findings(source: str, failure: ValidationError) -> list[Finding]:
    """Return one finding for each thing that the library found wrong."""
    findings = []
    for item in failure.errors():
        place = ".".join(str(part) for part in item["loc"]) or "(whole)"
        findings.append(Finding(f"{source}: {place}", item["msg"], item["input"]))
    return findings


def render_findings(findings: list[Finding]) -> str:
    """Return the findings as text, one a line."""
    lines = []
    for finding in findings:
        found = json.dumps(finding.entry, default=str)[:80]
        lines.append(f"{finding.source}: {finding.message} (found {found})")
    return "\n".join(lines)


def parse(kind: type[T], document: Any, source: str) -> T:
    """Return the document as `kind`, or raise with every finding listed."""
    try:
        return TypeAdapter(kind).validate_python(document)
    except ValidationError as failure:
        findings = collect_findings(source, failure)
        raise error.SettingsError(render_findings(findings)) from None


def read(kind: type[T], path: Path) -> T:
    """Read a settings file as `kind`, a `NamedTuple` type.

    Raises `SettingsError` for a file that can't be read, isn't JSON or holds a
    wrong value; the message names the field, the value found and what was due.
    """
    try:
        document = json.loads(path.read_text())
    except OSError as failure:
        raise error.SettingsError(f"{path}: {failure.strerror}") from None
    except ValueError as failure:
        raise error.SettingsError(f"{path}: not JSON: {failure}") from None
    return parse(kind, document, str(path))


def write(path: Path, document: Any) -> None:
    """Write a settings file, laid out for people."""
    path.write_text(json.dumps(document, indent=2) + "\n")

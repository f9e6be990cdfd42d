"""Reads a program's settings from a JSON file and validates them.

The settings are validated before any part of the program starts. They describe one
process: its addresses, failure domain, data folder and peers. The customers, models,
routes and upstreams of the fleet come only from the published configuration.
"""

import json
from pathlib import Path
from typing import Annotated, Any, NamedTuple, TypeVar

from pydantic import Field, TypeAdapter, ValidationError

from sapphireseam.core import error, jsontext

T = TypeVar("T")

# The secret shared by all processes of one fleet.
Secret = Annotated[str, Field(min_length=16, max_length=512)]


class Finding(NamedTuple):
    """Describe one invalid value: its location, the error and the value itself."""

    source: str
    message: str
    entry: Any


def collect_findings(source: str, failure: ValidationError) -> list[Finding]:
    """Return one finding for each error that Pydantic reported."""
    findings = []
    for item in failure.errors():
        location = ".".join(str(part) for part in item["loc"]) or "(whole)"
        findings.append(Finding(f"{source}: {location}", item["msg"], item["input"]))
    return findings


def render_findings(findings: list[Finding]) -> str:
    """Return the findings as text, one per line."""
    lines = []
    for finding in findings:
        value = json.dumps(finding.entry, default=str)[:80]
        lines.append(f"{finding.source}: {finding.message} (found {value})")
    return "\n".join(lines)


def parse(kind: type[T], document: Any, source: str) -> T:
    """Return the document as `kind`; raise `SettingsError` that lists all findings."""
    try:
        return TypeAdapter(kind).validate_python(document)
    except ValidationError as failure:
        findings = collect_findings(source, failure)
        raise error.SettingsError(render_findings(findings)) from None


def read(kind: type[T], path: Path) -> T:
    """Read a settings file as `kind`, a `NamedTuple` type.

    Raises `SettingsError` if the file can't be read, isn't JSON or contains an
    invalid value. The message names the field, the value and what was expected.
    """
    try:
        document = jsontext.parse(path.read_bytes())
    except OSError as failure:
        raise error.SettingsError(f"{path}: {failure.strerror}") from None
    except jsontext.JsonError as failure:
        raise error.SettingsError(f"{path}: not JSON: {failure}") from None
    return parse(kind, document, str(path))


def write(path: Path, document: Any) -> None:
    """Write a settings file as JSON, indented for readers."""
    path.write_text(json.dumps(document, indent=2) + "\n")

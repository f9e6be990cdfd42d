"""Reads, checks, compares and publishes configurations from files.

`seam-ctl show --output` writes a second file beside the configuration, which
records the revision that was fetched. A publish names that revision as its base
and is refused if another revision is in force by then. So the publish of an old edit
never reverts a newer revision.
"""

import json
import secrets
from pathlib import Path
from typing import Any, NamedTuple

from sapphireseam.core import error, fleet, jsontext, message, outcome
from sapphireseam.ops import session
from sapphireseam.ops.operator import Operator

BASE_SUFFIX = ".base"


class Change(NamedTuple):
    """One value that differs; `before` or `after` is None if it has no value."""

    path: str
    before: Any
    after: Any

    def render(self) -> str:
        """Return the change as one line, marked like a diff."""
        if self.before is None:
            return f"+ {self.path} = {_encode(self.after)}"
        if self.after is None:
            return f"- {self.path} (was {_encode(self.before)})"
        return f"~ {self.path}: {_encode(self.before)} -> {_encode(self.after)}"


class Review(NamedTuple):
    """The information that an operator reviews before a publish."""

    base: int
    in_force: int
    changes: list[Change]
    findings: tuple[tuple[str, str, str], ...]


def _encode(value: Any) -> str:
    return json.dumps(value, sort_keys=True)


def read_file(path: Path) -> dict[str, Any]:
    """Return a configuration file's document."""
    try:
        document = jsontext.parse(path.read_bytes())
    except OSError as failure:
        raise error.SettingsError(f"{path}: {failure.strerror}") from None
    except jsontext.JsonError as failure:
        text = f"{path}: not JSON: {failure}"
        raise error.ConfigurationError(text) from None
    if not isinstance(document, dict):
        raise error.ConfigurationError(f"{path}: expected a JSON object")
    return document


def find_base_file(path: Path) -> Path:
    """Return the path of the file that records a configuration's base revision."""
    return path.with_name(path.name + BASE_SUFFIX)


def write_file(path: Path, view: message.FleetView) -> None:
    """Write a configuration to a file for editing and record its revision."""
    document = jsontext.parse(view.document)
    path.write_text(json.dumps(document, indent=2) + "\n")
    record_base(path, view.revision)


def record_base(path: Path, revision: int) -> None:
    """Record the revision that a file holds or was edited from."""
    find_base_file(path).write_text(f"{revision}\n")


def read_base(path: Path, in_force: int) -> int:
    """Return the revision that a file was edited from.

    Before the first publish there is nothing to overwrite, so the base is 0.
    """
    base_file = find_base_file(path)
    if base_file.exists():
        text = base_file.read_text().strip()
        if not text.isdigit():
            raise error.SettingsError(f"{base_file}: expected a revision, found {text}")
        return int(text)
    if in_force == 0:
        return 0
    text = (
        f"{path}: its base revision is not recorded, and revision {in_force} is in"
        " force. Give the base revision with --base, or fetch the file with"
        f" `seam-ctl show --output {path}` and edit that"
    )
    raise error.SettingsError(text)


def list_changes(old: Any, new: Any, path: str = "") -> list[Change]:
    """Return every value that differs between two documents.

    >>> list_changes({"a": {"b": 1}}, {"a": {"b": 2}, "c": 3})
    [Change(path='a.b', before=1, after=2), Change(path='c', before=None, after=3)]
    """
    if not isinstance(old, dict) or not isinstance(new, dict):
        return [] if old == new else [Change(path, old, new)]
    changes = []
    for name in sorted(old.keys() | new.keys()):
        item_path = f"{path}.{name}" if path else name
        changes += list_changes(old.get(name), new.get(name), item_path)
    return changes


def normalize(document: dict[str, Any]) -> dict[str, Any]:
    """Return a document with defaults filled in, or unchanged if it is invalid."""
    parsed, _ = fleet.parse(document)
    return document if parsed is None else fleet.render(parsed)


def compare(old: dict[str, Any], new: dict[str, Any]) -> list[Change]:
    """Return the differences between two configurations, defaults filled in."""
    return list_changes(normalize(old), normalize(new))


async def read(operator: Operator, revision: int = 0) -> message.FleetView:
    """Return a published configuration, the one in force by default."""
    return await session.read_fleet(operator.client, revision)


async def check(
    operator: Operator, document: dict[str, Any]
) -> tuple[tuple[str, str, str], ...]:
    """Return all findings about a document: source, message and value found."""
    encoded = json.dumps(document).encode()
    return (await operator.client.call(message.CheckFleet(encoded))).findings


async def review(
    operator: Operator, document: dict[str, Any], base: int | None, path: Path
) -> Review:
    """Return the changes that a publish would make, and the document's findings."""
    view = await read(operator)
    if base is None:
        base = read_base(path, view.revision)
    changes = compare(jsontext.parse(view.document), document)
    return Review(base, view.revision, changes, await check(operator, document))


async def compare_revisions(operator: Operator, old: int, new: int) -> list[Change]:
    """Return the differences between two revisions; 0 is the one in force."""
    before = jsontext.parse((await read(operator, old)).document)
    after = jsontext.parse((await read(operator, new)).document)
    return compare(before, after)


def generate_request_id() -> str:
    """Return a new request id for a publish."""
    return f"publish-{secrets.token_hex(8)}"


async def publish(
    operator: Operator, document: dict[str, Any], base: int, note: str, request: str
) -> outcome.Done:
    """Publish a document, at most once per request id."""
    at = operator.read_time()
    try:
        return await session.publish(operator.client, document, base, at, note, request)
    except error.SeamError as failure:
        if failure.kind is not error.Kind.CONTROL_UNREACHABLE:
            raise
        text = (
            f"{failure.message}. The outcome of the publish is unknown: run the"
            f" same command with --base {base} --request-id {request}, which"
            " publishes at most once"
        )
        raise error.ControlError(text) from None


async def list_history(operator: Operator) -> tuple[tuple[int, float, str], ...]:
    """Return the published revisions, newest first: number, time and note."""
    return (await operator.client.call(message.ListHistory())).revisions

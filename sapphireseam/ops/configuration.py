"""Read, check, compare and publish configurations from files.

A file that `seam-ctl show --output` wrote has a companion that records the
revision it was taken from. A publish is made over that revision, so an edit
that was begun before somebody else's publish is refused and never undoes it.
"""

import json
import secrets
from pathlib import Path
from typing import Any, NamedTuple

from sapphireseam.core import error, fleet, message, outcome
from sapphireseam.ops import session
from sapphireseam.ops.operator import Operator

BASE_SUFFIX = ".base"


class Change(NamedTuple):
    """Show one value that differs; None stands for none."""

    path: str
    before: Any
    after: Any

    def render(self) -> str:
        """Return the change as one line, marked like a diff."""
        if self.before is None:
            return f"+ {self.path} = {_pack(self.after)}"
        if self.after is None:
            return f"- {self.path} (was {_pack(self.before)})"
        return f"~ {self.path}: {_pack(self.before)} -> {_pack(self.after)}"


class Review(NamedTuple):
    """Hold all that an operator should see before a publish."""

    base: int
    in_force: int
    changes: list[Change]
    findings: tuple[tuple[str, str, str], ...]


def _pack(value: Any) -> str:
    return json.dumps(value, sort_keys=True)


def read_file(path: Path) -> dict[str, Any]:
    """Return a configuration file's document."""
    try:
        document = json.loads(path.read_text())
    except OSError as failure:
        raise error.SettingsError(f"{path}: {failure.strerror}") from None
    except ValueError as failure:
        text = f"{path}: not JSON: {failure}"
        raise error.ConfigurationError(text) from None
    if not isinstance(document, dict):
        raise error.ConfigurationError(f"{path}: expected a JSON object")
    return document


def find_base_file(path: Path) -> Path:
    """Return where a configuration file's base revision is recorded."""
    return path.with_name(path.name + BASE_SUFFIX)


def write_file(path: Path, view: message.FleetView) -> None:
    """Write a configuration for editing and record its revision."""
    document = json.loads(view.document)
    path.write_text(json.dumps(document, indent=2) + "\n")
    record_base(path, view.revision)


def record_base(path: Path, revision: int) -> None:
    """Remember which revision a file holds or was edited from."""
    find_base_file(path).write_text(f"{revision}\n")


def read_base(path: Path, in_force: int) -> int:
    """Return the revision that a file was edited from.

    Before the first publish there is nothing to overwrite, so 0 will do.
    """
    recorded = find_base_file(path)
    if recorded.exists():
        text = recorded.read_text().strip()
        if not text.isdigit():
            raise error.SettingsError(f"{recorded}: expected a revision, found {text}")
        return int(text)
    if in_force == 0:
        return 0
    text = (
        f"{path}: which revision was it edited from? Revision {in_force} is in"
        " force. Say it with --base, or fetch the file with `seam-ctl show"
        f" --output {path}` and edit that"
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
        place = f"{path}.{name}" if path else name
        changes += list_changes(old.get(name), new.get(name), place)
    return changes


def normalize(document: dict[str, Any]) -> dict[str, Any]:
    """Return a document with its defaults filled in, or as it is if it can't be."""
    parsed, _ = fleet.parse(document)
    return document if parsed is None else fleet.render(parsed)


def compare(old: dict[str, Any], new: dict[str, Any]) -> list[Change]:
    """Return what differs between two configurations, defaults filled in."""
    return list_changes(normalize(old), normalize(new))


async def read(operator: Operator, revision: int = 0) -> message.FleetView:
    """Return a published configuration, the one in force by default."""
    return await session.read_fleet(operator.client, revision)


async def check(
    operator: Operator, document: dict[str, Any]
) -> tuple[tuple[str, str, str], ...]:
    """Return every finding about a document: source, message and value found."""
    packed = json.dumps(document).encode()
    return (await operator.client.call(message.CheckFleet(packed))).findings


async def review(
    operator: Operator, document: dict[str, Any], base: int | None, path: Path
) -> Review:
    """Return what a publish of a document would change, and what is wrong."""
    view = await read(operator)
    if base is None:
        base = read_base(path, view.revision)
    changes = compare(json.loads(view.document), document)
    return Review(base, view.revision, changes, await check(operator, document))


async def compare_revisions(operator: Operator, old: int, new: int) -> list[Change]:
    """Return what differs between two published revisions; 0 is the one in force."""
    before = json.loads((await read(operator, old)).document)
    after = json.loads((await read(operator, new)).document)
    return compare(before, after)


def generate_request_id() -> str:
    """Return a new request id for a publish."""
    return f"publish-{secrets.token_hex(8)}"


async def publish(
    operator: Operator, document: dict[str, Any], base: int, note: str, request: str
) -> outcome.Done:
    """Publish a document; the same request id never publishes twice."""
    at = operator.read_time()
    try:
        return await session.publish(operator.client, document, base, at, note, request)
    except error.SeamError as failure:
        if failure.kind is not error.Kind.CONTROL_UNREACHABLE:
            raise
        text = (
            f"{failure.message}. Whether it was published isn't known: run the"
            f" same command with --base {base} --request-id {request}, which"
            " publishes once at most"
        )
        raise error.ControlError(text) from None


async def list_history(operator: Operator) -> tuple[tuple[int, float, str], ...]:
    """Return the published revisions, newest first: number, time and note."""
    return (await operator.client.call(message.ListHistory())).revisions

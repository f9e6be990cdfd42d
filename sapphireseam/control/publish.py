"""Applies published configurations.

A publish replaces the whole configuration or changes nothing. It names the revision
that it was edited from, or carries a number of its own.
"""

from sapphireseam.control import record
from sapphireseam.core import command, error, fleet, jsontext, outcome

# Maximum number and total size of the revisions held for history and rollback.
HISTORY_LIMIT = 200
HISTORY_BYTES = 2 * 1024 * 1024


def check(state: record.State, document: bytes) -> list[fleet.Finding]:
    """Return all findings on a configuration, including conflicts with live keys."""
    try:
        parsed = jsontext.parse(document)
    except jsontext.JsonError as failure:
        return [fleet.Finding("(whole)", f"isn't JSON: {failure}", "")]
    result, findings = fleet.parse(parsed)
    if result is None:
        return findings
    return fleet.check_objects(parsed, result) + findings + check_keys(state, result)


def check_keys(state: record.State, result: fleet.Fleet) -> list[fleet.Finding]:
    """Return a finding for each live key whose customer isn't configured."""
    return [
        fleet.Finding(
            f"keys.{key.id}", "is a live key of a customer not in the set", key.customer
        )
        for key in state.keys.values()
        if not key.withdrawn and key.customer not in result.customers
    ]


def apply(state: record.State, item: command.Publish) -> outcome.Done | outcome.Refused:
    """Put a configuration in force if its base is the revision in force."""
    current = record.read_revision(state)
    if item.base != current:
        message = (
            f"revision {current} is in force, not {item.base}:"
            " fetch it, redo the change and publish again"
        )
        return outcome.Refused(error.Kind.CONFLICT, message, current)
    findings = check(state, item.document)
    if findings:
        message = fleet.render_findings(findings)
        return outcome.Refused(error.Kind.BAD_CONFIGURATION, message, current)
    number = current + 1
    state.history[number] = record.Revision(
        number, item.document, item.at, item.note, item.request
    )
    state.numbers["revision"] = number
    _trim_history(state)
    return outcome.Done(str(number), number)


def apply_numbered(
    state: record.State, item: command.PublishNumbered
) -> outcome.Done | outcome.Refused:
    """Put a configuration in force if its number is the highest so far.

    A number that isn't higher is not refused: the answer is the revision in force.
    """
    current = record.read_revision(state)
    if item.number <= current:
        return outcome.Done(str(current), current)
    findings = check(state, item.document)
    if findings:
        message = fleet.render_findings(findings)
        return outcome.Refused(error.Kind.BAD_CONFIGURATION, message, current)
    state.history[item.number] = record.Revision(
        item.number, item.document, item.at, "", "", item.source
    )
    state.numbers["revision"] = item.number
    _trim_history(state)
    return outcome.Done(str(item.number), item.number)


def read_source(state: record.State) -> bytes:
    """Return the configuration in force as its operator sent it."""
    revision = state.history.get(record.read_revision(state))
    if revision is None:
        return b""
    return revision.source or revision.document


def _trim_history(state: record.State) -> None:
    """Drop the oldest revisions beyond the limits, but never the one in force."""
    history = state.history
    size = sum(_count_bytes(revision) for revision in history.values())
    while len(history) > HISTORY_LIMIT or (size > HISTORY_BYTES and len(history) > 1):
        oldest = history.pop(next(iter(history)))
        size -= _count_bytes(oldest)


def _count_bytes(revision: record.Revision) -> int:
    return len(revision.document) + len(revision.source)

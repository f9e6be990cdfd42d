"""Writes the generated parts of the pages in docs/.

A page marks a generated part with a pair of comments. The tool generates the text
between them from the code. A test checks that the pages match the code, so that a
page cannot become outdated.

    python -m sapphireseam.tools.page
"""

import re
from collections.abc import Callable
from pathlib import Path

from sapphireseam.core import error
from sapphireseam.utils import metric

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"

Kind = error.Kind

# Meaning of each error kind, and what the caller or operator should do.
MEANINGS: dict[Kind, tuple[str, str]] = {
    Kind.BAD_REQUEST: (
        "The request is malformed; the message names the field or line.",
        "Mend the request.",
    ),
    Kind.BAD_SETTINGS: (
        "A program's settings can't be used. Callers never see it.",
        "Mend the field that the message names; the program exits with 2.",
    ),
    Kind.BAD_CONFIGURATION: (
        "A configuration has findings; nothing was published.",
        "Mend every finding; `seam-ctl check` lists them again.",
    ),
    Kind.BODY_TOO_LARGE: (
        "The body is larger than the route's `body_limit`, or a file too large.",
        "Send less, or split the file.",
    ),
    Kind.KEY_MISSING: (
        "The route needs a key and none came.",
        "Send `Authorization: Bearer <key>`.",
    ),
    Kind.KEY_INVALID: (
        "The key is unknown or withdrawn, or its customer is gone.",
        "Ask the operators for a new key.",
    ),
    Kind.FORBIDDEN: (
        "The key holds, but what is asked isn't the asker's.",
        "Ask with the right key.",
    ),
    Kind.ROUTE_UNKNOWN: (
        "No route covers the path.",
        "Check the path against the configuration's `routes`.",
    ),
    Kind.MODEL_UNKNOWN: (
        "The model doesn't exist, or isn't open to this customer.",
        "`GET /v1/models` lists those that are.",
    ),
    Kind.OBJECT_UNKNOWN: (
        "No file, batch, key, revision, member or upstream has this name.",
        "Check the name; another customer's objects don't show.",
    ),
    Kind.CONFLICT: (
        "The state has moved on, or an idempotency key came with another body.",
        "Read the state again and redo the change.",
    ),
    Kind.RATE_LIMITED: (
        "The customer is over its contract's rate and burst.",
        "Come back after `Retry-After`; operators may raise the contract.",
    ),
    Kind.OVERLOADED: (
        "The queue beside the upstream is full, or too much is under way.",
        "Come back after `Retry-After`; operators add replicas.",
    ),
    Kind.NO_UPSTREAM: (
        "No healthy upstream of the route can be reached.",
        "Come back; operators look at `seam-ctl status` and the agents' logs.",
    ),
    Kind.CONTROL_UNREACHABLE: (
        "This process has no word from a quorum of the control VMs.",
        "Come back; operators look which control VMs run.",
    ),
    Kind.NOT_LEADER: (
        "A control VM that doesn't lead was asked. Clients follow by themselves.",
        "Nothing, unless it lasts: then there is no leader.",
    ),
    Kind.SHUTTING_DOWN: (
        "The process that was asked shuts down gracefully.",
        "Ask again; the balancer picks another entry.",
    ),
    Kind.DEADLINE_EXCEEDED: (
        "The route's `timeout` has passed. `not_run` tells whether it ran.",
        "Ask again if the request may run twice, or if it wasn't run.",
    ),
    Kind.OUTCOME_UNKNOWN: (
        "The request was handed over and its answer lost; it may have run.",
        "Don't repeat a request that may run only once; look whether it did.",
    ),
    Kind.UPSTREAM_FAILED: (
        "The upstream broke while it ran the request, on the last try too.",
        "Ask again if it may run twice; operators look at the upstream.",
    ),
    Kind.REQUEST_QUARANTINED: (
        "This very request crashed upstreams and is refused everywhere.",
        "Change the request; operators look why it crashes the engine.",
    ),
    Kind.CANCELLED: (
        "The caller went away or the job was cancelled.",
        "Nothing.",
    ),
    Kind.STORAGE_FAILED: (
        "A control VM's data folder is damaged, full or can't be synced.",
        "Operators: look at the disk, see Replace a lost control VM.",
    ),
    Kind.INTERNAL: (
        "A fault of the system; the log of the process has the cause.",
        "Report it with the `X-Request-Id`.",
    ),
}


def render_errors() -> str:
    """Return the table of all error kinds."""
    rows = [
        "| kind | status | type | never ran | come back after | means | do |",
        "|---|---|---|---|---|---|---|",
    ]
    for kind, answer in error.ANSWERS.items():
        meaning, action = MEANINGS[kind]
        promise = "yes" if answer.not_run else "not promised"
        wait = f"{answer.retry_after} s" if answer.retry_after else "-"
        cells = (f"`{kind}`", answer.status, answer.type, promise, wait)
        rows.append(f"| {' | '.join(map(str, cells))} | {meaning} | {action} |")
    return "\n".join(rows)


def render_metrics() -> str:
    """Return the table of all metrics."""
    rows = [
        "| metric | form | labels | from | means | when it is off |",
        "|---|---|---|---|---|---|",
    ]
    for item in metric.METRICS:
        labels = ", ".join(f"`{name}`" for name in item.labels) or "-"
        programs = ", ".join(f"`{name}`" for name in item.programs)
        cells = (f"`{item.get_exported_name()}`", item.form, labels, programs)
        rows.append(f"| {' | '.join(cells)} | {item.text} | {item.advice} |")
    return "\n".join(rows)


PARTS: dict[str, Callable[[], str]] = {
    "errors": render_errors,
    "metrics": render_metrics,
}


def fill(text: str) -> str:
    """Return the text of a page with its generated parts updated."""

    def render_part(found: re.Match[str]) -> str:
        name = found[1]
        return f"<!-- begin {name} -->\n{PARTS[name]()}\n<!-- end {name} -->"

    pattern = r"<!-- begin (\w+) -->.*?<!-- end \1 -->"
    return re.sub(pattern, render_part, text, flags=re.DOTALL)


def main() -> None:
    """Update every page."""
    for path in DOCS.glob("*.md"):
        text = path.read_text()
        filled = fill(text)
        if filled != text:
            path.write_text(filled)


if __name__ == "__main__":
    main()

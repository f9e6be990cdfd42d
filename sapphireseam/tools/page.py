"""Writes the generated parts of the pages in docs/.

A page marks a generated part with a pair of comments. The tool generates the text
between them from the code. A test checks that the pages match the code, so that a
page cannot become outdated.

    python -m sapphireseam.tools.page
"""

import re
from collections.abc import Callable
from pathlib import Path

from sapphireseam.core import error, lint
from sapphireseam.utils import metric

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"

Kind = error.Kind

# Meaning of each error kind, and what the caller or operator should do.
MEANINGS: dict[Kind, tuple[str, str]] = {
    Kind.BAD_REQUEST: (
        "The request is malformed; the message names the field or line.",
        "Correct the request.",
    ),
    Kind.BAD_SETTINGS: (
        "A program's settings are invalid. Callers never get this error.",
        "Correct the field that the message names; the program exits with 2.",
    ),
    Kind.BAD_CONFIGURATION: (
        "The configuration has findings and was not published.",
        "Correct every finding; `seam-ctl check` lists them again.",
    ),
    Kind.BODY_TOO_LARGE: (
        "The body exceeds the route's `body_limit`, or a file is too large.",
        "Send a smaller body, or split the file.",
    ),
    Kind.REQUEST_TIMEOUT: (
        "The body came too slowly; nothing was sent upstream.",
        "Send the request again, its body at 1 KB/s at least.",
    ),
    Kind.KEY_MISSING: (
        "The route requires a key, and the request has none.",
        "Send `Authorization: Bearer <key>`.",
    ),
    Kind.KEY_INVALID: (
        "The key is unknown or withdrawn, or its customer was removed.",
        "Ask the operators for a new key.",
    ),
    Kind.FORBIDDEN: (
        "The key is valid but gives no access to the requested object.",
        "Use a key that has access.",
    ),
    Kind.ROUTE_UNKNOWN: (
        "No route covers the path.",
        "Check the path against the configuration's `routes`.",
    ),
    Kind.MODEL_UNKNOWN: (
        "The model does not exist, or this customer may not use it.",
        "`GET /v1/models` lists the available models.",
    ),
    Kind.OBJECT_UNKNOWN: (
        "No file, batch, key, revision, member, upstream or failure domain has this"
        " name.",
        "Check the name; other customers' objects are not visible.",
    ),
    Kind.CONFLICT: (
        "The state has changed, or an idempotency key was reused with another body.",
        "Read the state again and redo the change.",
    ),
    Kind.RATE_LIMITED: (
        "The customer has exceeded its contract's rate and burst.",
        "Retry after `Retry-After`; operators may raise the contract's limits.",
    ),
    Kind.OVERLOADED: (
        "The upstream's queue is full, or too much work is in progress.",
        "Retry after `Retry-After`; operators add replicas.",
    ),
    Kind.NO_UPSTREAM: (
        "No healthy upstream of the route can be reached.",
        "Retry; operators check `seam-ctl status` and the agents' logs.",
    ),
    Kind.CONTROL_UNREACHABLE: (
        "This process cannot reach a quorum of the control VMs.",
        "Retry; operators check which control VMs are running.",
    ),
    Kind.NOT_LEADER: (
        "The control VM is not the leader. Clients switch to the leader themselves.",
        "Nothing, unless the error persists: then there is no leader.",
    ),
    Kind.SHUTTING_DOWN: (
        "The process that got the request is shutting down gracefully.",
        "Retry; the load balancer picks another entry.",
    ),
    Kind.DEADLINE_EXCEEDED: (
        "The route's `timeout` has passed, or the entry has shut down first. "
        "If `not_run` is true, it did not run.",
        "Retry if the request may run twice, or if it did not run.",
    ),
    Kind.OUTCOME_UNKNOWN: (
        "The request was sent and its answer was lost; it may have run.",
        "Do not resend a request that may run only once; check whether it ran.",
    ),
    Kind.UPSTREAM_FAILED: (
        "The upstream failed while running the request, also on the last attempt.",
        "Retry if it may run twice; operators check the upstream.",
    ),
    Kind.REQUEST_QUARANTINED: (
        "Upstreams crashed under requests with this fingerprint or prompt part. Items"
        " of batch jobs are never refused.",
        "Retry after `Retry-After`; operators find out what crashes the engine.",
    ),
    Kind.CANCELLED: (
        "The caller disconnected or the job was cancelled.",
        "Nothing.",
    ),
    Kind.STORAGE_FAILED: (
        "A control VM's data folder is damaged, full or cannot be synced.",
        "Operators: check the disk; see Replace a lost control VM.",
    ),
    Kind.INTERNAL: (
        "A fault in the system; the log of the process contains the cause.",
        "Report it with the `X-Request-Id`.",
    ),
}


def render_errors() -> str:
    """Return the table of all error kinds."""
    rows = [
        "| kind | status | type | never ran | retry after | means | do |",
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
        "| metric | form | labels | from | means | when abnormal |",
        "|---|---|---|---|---|---|",
    ]
    for item in metric.METRICS:
        labels = ", ".join(f"`{name}`" for name in item.labels) or "-"
        programs = ", ".join(f"`{name}`" for name in item.programs)
        cells = (f"`{item.get_exported_name()}`", item.form, labels, programs)
        rows.append(f"| {' | '.join(cells)} | {item.text} | {item.advice} |")
    return "\n".join(rows)


def render_rules() -> str:
    """Return the table of all rules for warnings about a configuration."""
    rows = ["| rule | means | fine in a rollout |", "|---|---|---|"]
    rows += [
        f"| `{rule.name}` | {rule.means} | {'yes' if rule.is_step else ''} |"
        for rule in lint.RULES
    ]
    return "\n".join(rows)


PARTS: dict[str, Callable[[], str]] = {
    "errors": render_errors,
    "metrics": render_metrics,
    "rules": render_rules,
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

"""Renders reports of load runs and comparisons as text tables."""

from collections.abc import Iterable

# Maximum number of listed requests that got neither the right answer nor a
# refusal.
TROUBLED_SHOWN = 20
_COLUMNS = ("count", "p50", "p90", "p99", "max")


def render_table(headings: Iterable[str], rows: Iterable[Iterable]) -> str:
    """Return a text table: the first column left-aligned, the rest right-aligned.

    >>> print(render_table(["what", "n"], [["oak", 12]]))
    what   n
    oak   12
    """
    lines = [[str(cell) for cell in row] for row in [headings, *rows]]
    widths = [
        max(len(line[column]) for line in lines) for column in range(len(lines[0]))
    ]
    text = []
    for line in lines:
        cells = [line[0].ljust(widths[0])]
        cells += [
            cell.rjust(width) for cell, width in zip(line[1:], widths[1:], strict=True)
        ]
        text.append("  ".join(cells).rstrip())
    return "\n".join(text)


def _render_latencies(latencies: dict[str, dict]) -> str:
    rows = [
        [name, *(item[column] for column in _COLUMNS)]
        for name, item in latencies.items()
        if item["count"]
    ]
    return render_table(["latency (ms)", *_COLUMNS], rows)


def _render_counts(counts: dict) -> str:
    return ", ".join(f"{name} {value}" for name, value in counts.items()) or "none"


def _render_customers(customers: dict[str, dict]) -> str:
    rows = [
        [
            name,
            item["sent"],
            item["verdicts"].get("right", 0),
            _render_counts(item["refusals"]),
            item["limit"]["false_refusals"],
            item["limit"]["over_admission"],
            item["tokens_served"],
            item["of_fair_share"],
            item["first_p50_ms"],
        ]
        for name, item in customers.items()
    ]
    headings = ["customer", "sent", "right", "refused by kind", "falsely", "over"]
    headings += ["tokens", "of fair share", "first p50 ms"]
    return render_table(headings, rows)


def _render_jobs(jobs: list[dict]) -> str:
    rows = [
        [
            item["id"],
            item["customer"],
            item["state"],
            item["items"],
            item["right"],
            len(item["failed"]),
            len(item["lost"]),
            len(item["doubled"]),
            len(item["wrong"]),
            item["seconds"],
            "yes" if item["due_met"] else "NO",
        ]
        for item in jobs
    ]
    headings = ["job", "customer", "state", "items", "right", "failed", "lost"]
    headings += ["doubled", "wrong", "seconds", "in time"]
    return render_table(headings, rows)


def render_load(report: dict) -> str:
    """Return the text of a load run's report."""
    parts = [
        f"profile {report['profile']}, seed {report['seed']}, "
        f"{report['seconds']} s online",
        f"verdicts: {_render_counts(report['verdicts'])}",
        _render_latencies(report["latencies"]),
        _render_customers(report["customers"]),
    ]
    if report["jobs"]:
        parts.append(_render_jobs(report["jobs"]))
    if report["batch"]:
        parts.append(f"while jobs ran: {_render_counts(report['batch'])}")
    if report["cpu_seconds"]:
        parts.append(
            f"processor seconds: {_render_counts(report['cpu_seconds'])}; "
            f"{report['cpu_ms_per_request']} ms a request"
        )
    if report["runs"]:
        repeated = report["runs"]["completed_more_than_once"]
        parts.append(f"requests completed upstream more than once: {repeated}")
        parts.append("\n".join(report["runs"]["findings"]))
    parts.append("\n".join(report["troubled"][:TROUBLED_SHOWN]))
    parts.append(f"longest delay in sending a request: {report['lag']['max']} ms")
    parts.append(
        f"worst-served customer: {report['worst_of_fair_share']} of its fair share"
    )
    parts.append(f"faults: {report['faults']}")
    return "\n\n".join(part for part in parts if part)


def render_comparison(report: dict) -> str:
    """Return the text of a comparison's report."""
    rows = []
    for side in ("direct", "through"):
        for name, item in report[side]["latencies"].items():
            rows.append([f"{side} {name}", *(item[column] for column in _COLUMNS)])
    cpu_rows = [
        [
            side,
            report[side]["requests"],
            report[side]["cpu_ms_per_request"],
            report[side]["client_cpu_ms_per_request"],
            report[side]["lag"]["p99"],
            _render_counts(report[side]["verdicts"]),
        ]
        for side in ("direct", "through")
    ]
    cpu_headings = ["side", "requests", "cpu ms a request", "client cpu ms a request"]
    cpu_headings += ["lag p99 ms", "verdicts"]
    parts = [
        f"profile {report['profile']}, seed {report['seed']}, {report['rounds']} "
        f"rounds of {report['round_seconds']} s a side",
        render_table(["latency (ms)", *_COLUMNS], rows),
        render_table(cpu_headings, cpu_rows),
        render_table(["through / direct", "ratio"], report["ratios"].items()),
        render_table(["through - direct", "added"], report["added"].items()),
        "\n".join(report["findings"]),
        f"faults: {report['faults']}",
    ]
    return "\n\n".join(part for part in parts if part)

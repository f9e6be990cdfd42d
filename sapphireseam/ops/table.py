"""Prints results as tables for people or as JSON for scripts."""

import datetime
import json
import sys
from collections.abc import Iterable
from typing import Any

import typer
from rich import box, console, markup, table

# The width of a table that is written to a file or a pipe, in characters.
PLAIN_WIDTH = 200


def write_json(value: Any) -> None:
    """Print a value as JSON."""
    typer.echo(json.dumps(value, indent=2, default=str))


def write_line(value: Any) -> None:
    """Print a value as JSON on one line."""
    typer.echo(json.dumps(value))


def to_plain(value: Any) -> Any:
    """Return a value with its named tuples as dictionaries, at any depth.

    >>> from sapphireseam.ops import job
    >>> to_plain([job.Forecast(1.0, True)])
    [{'end': 1.0, 'at_risk': True}]
    """
    if hasattr(value, "_asdict"):
        return {name: to_plain(item) for name, item in value._asdict().items()}
    if isinstance(value, list | tuple):
        return [to_plain(item) for item in value]
    return value


def write(
    title: str, columns: Iterable[str], rows: Iterable[Iterable[Any]], empty: str = ""
) -> None:
    """Print rows below a title, or `empty` if there are no rows."""
    rows = list(rows)
    if not rows and empty:
        typer.echo(f"{title}: {empty}")
        return
    grid = table.Table(title=title, box=box.SIMPLE_HEAD, title_justify="left")
    for column in columns:
        grid.add_column(column, overflow="fold")
    for row in rows:
        grid.add_row(*(markup.escape(str(cell)) for cell in row))
    width = None if sys.stdout.isatty() else PLAIN_WIDTH
    console.Console(width=width, highlight=False).print(grid)


def render_time(at: float) -> str:
    """Return an epoch time as readable text in UTC.

    >>> render_time(0.0), render_time(86400.0)
    ('-', '1970-01-02 00:00:00')
    """
    if not at:
        return "-"
    moment = datetime.datetime.fromtimestamp(at, datetime.UTC)
    return f"{moment:%Y-%m-%d %H:%M:%S}"


def render_duration(seconds: float) -> str:
    """Return a duration as readable text.

    >>> render_duration(59), render_duration(3700), render_duration(-90)
    ('59 s', '1 h 1 min', '-1 min 30 s')
    """
    sign = "-" if seconds < 0 else ""
    remaining = int(abs(seconds))
    parts = []
    for unit, size in (("d", 86400), ("h", 3600), ("min", 60), ("s", 1)):
        count, remaining = divmod(remaining, size)
        if count:
            parts.append(f"{count} {unit}")
    return sign + (" ".join(parts[:2]) or "0 s")

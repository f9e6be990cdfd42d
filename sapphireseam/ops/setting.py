"""Resolves the settings that select an operator's fleet and operator key.

Options override environment variables, and both override the settings file, so
that a file holds the usual settings and an option changes one for a single command.
"""

from pathlib import Path
from typing import Any, NamedTuple

from sapphireseam.core import error, fleet
from sapphireseam.utils import setting


class Settings(NamedTuple):
    """The addresses of the control VMs and the file with the operator key."""

    control: tuple[fleet.Address, ...]
    operator_key_file: Path


class Choice(NamedTuple):
    """The values from the command line and the environment; empty if not given."""

    settings: Path | None = None
    control: tuple[str, ...] = ()
    operator_key_file: Path | None = None


def resolve(choice: Choice) -> Settings:
    """Return the validated settings, or raise `SettingsError` with all findings."""
    document: dict[str, Any] = {}
    source = "options"
    if choice.settings is not None:
        source = str(choice.settings)
        document = setting.read(dict[str, Any], choice.settings)
    if choice.control:
        document["control"] = list(choice.control)
    if choice.operator_key_file is not None:
        document["operator_key_file"] = choice.operator_key_file
    missing = [name for name in Settings._fields if name not in document]
    if missing:
        raise error.SettingsError("\n".join(explain_missing(n) for n in missing))
    settings = setting.parse(Settings, document, source)
    if not settings.control:
        text = f"{source}: control: expected at least one address (found [])"
        raise error.SettingsError(text)
    return settings


def explain_missing(name: str) -> str:
    """Return an error message that lists the ways to give a missing setting."""
    option = "--" + name.replace("_", "-")
    variable = "SEAM_" + name.upper()
    return f"{name}: not given; use {option}, {variable} or a --settings file"


def read_operator_key(path: Path) -> str:
    """Return the operator key from a file."""
    try:
        text = path.read_text().strip()
    except (OSError, ValueError) as failure:
        cause = getattr(failure, "strerror", None) or "not text"
        message = f"operator_key_file: {path}: {cause}"
        raise error.SettingsError(message) from None
    if not text or len(text.split()) != 1 or not text.isascii():
        message = f"operator_key_file: {path}: expected one line with the key"
        raise error.SettingsError(message)
    return text

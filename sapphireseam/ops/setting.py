"""Find out which fleet an operator means, and with which key.

Options go before environment variables, and both before the settings file, so
that one file can serve every day and one option can change it for once.
"""

from pathlib import Path
from typing import Any, NamedTuple

from sapphireseam.core import error, fleet
from sapphireseam.utils import setting


class Settings(NamedTuple):
    """Name the control VMs to ask and the file that holds the operator key."""

    control: tuple[fleet.Address, ...]
    operator_key_file: Path


class Choice(NamedTuple):
    """Hold what the command line and the environment say; empty if unsaid."""

    settings: Path | None = None
    control: tuple[str, ...] = ()
    operator_key_file: Path | None = None


def resolve(choice: Choice) -> Settings:
    """Return the checked settings, or raise `SettingsError` with all findings."""
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
    """Return how to say what wasn't said."""
    option = "--" + name.replace("_", "-")
    variable = "SEAM_" + name.upper()
    return f"{name}: not given; use {option}, {variable} or a --settings file"


def read_operator_key(path: Path) -> str:
    """Return the operator key in a file."""
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

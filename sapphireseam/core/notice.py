"""List the messages of the watch: from a process to a control VM and back.

A watch begins with `Watch`, is answered by `Whole`, and then carries each change
as it is applied. A `Renewal` says that a quorum stood behind all sent before it.
"""

from typing import NamedTuple

from sapphireseam.core.key import Key


class Watch(NamedTuple):
    """Open a watch; `revision` is the highest that the process has seen."""

    node: str
    program: str
    revision: int


class Ping(NamedTuple):
    """Ask for the lease to be renewed; `nonce` comes back with it."""

    nonce: int
    revision: int


class Renewal(NamedTuple):
    """Confirm that a quorum stood behind all that was sent before this."""

    nonce: int
    revision: int
    clock: float = 0.0


class Whole(NamedTuple):
    """Send the whole of what a process watches."""

    revision: int
    document: bytes
    keys: tuple[Key, ...]
    leaving: tuple[str, ...]
    quarantined: tuple[str, ...]
    suspects: tuple[str, ...] = ()


class FleetChange(NamedTuple):
    """Send what changed between two revisions, as JSON sections."""

    revision: int
    changes: bytes


class KeyChange(NamedTuple):
    """Send a key that was issued or withdrawn."""

    key: Key


class LeavingChange(NamedTuple):
    """Send that an upstream leaves or is back."""

    upstream: str
    leaving: bool


class VerdictChange(NamedTuple):
    """Send fingerprints that are suspected, refused or cleared from now on."""

    suspects: tuple[str, ...]
    quarantined: tuple[str, ...]
    cleared: tuple[str, ...] = ()


MESSAGES = (
    Watch,
    Ping,
    Renewal,
    Whole,
    FleetChange,
    KeyChange,
    LeavingChange,
    VerdictChange,
)

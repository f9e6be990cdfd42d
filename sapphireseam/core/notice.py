"""Defines the messages of a watch, by which a process follows the shared state.

The process opens the watch with `Watch`. The control VM answers with `Whole` and then
sends each change when it is applied. The process holds a lease on its copy of the
state and requests renewals with `Ping`. A `Renewal` means that every change that was
committed before this `Ping` has been sent, as a quorum has confirmed.
"""

from typing import NamedTuple

from sapphireseam.core.ceiling import Ceiling
from sapphireseam.core.evacuation import Evacuated
from sapphireseam.core.key import Key
from sapphireseam.core.verdict import Verdict


class Watch(NamedTuple):
    """Open a watch; `revision` is the highest that the process has received."""

    node: str
    program: str
    revision: int


class Ping(NamedTuple):
    """Request a renewal of the lease; the `Renewal` has the same `nonce`."""

    nonce: int
    revision: int


class Renewal(NamedTuple):
    """Renew the lease, after a quorum confirmed that no change is missing."""

    nonce: int
    revision: int
    clock: float = 0.0


class Whole(NamedTuple):
    """Send the complete shared state; `document` may be compressed."""

    revision: int
    document: bytes
    keys: tuple[Key, ...]
    leaving: tuple[str, ...]
    verdicts: tuple[Verdict, ...] = ()
    ceilings: tuple[Ceiling, ...] = ()
    evacuated: Evacuated = Evacuated()


class FleetChange(NamedTuple):
    """Send the difference between two revisions as JSON; see `fleet.diff`.

    It may be compressed.
    """

    revision: int
    changes: bytes


class KeyChange(NamedTuple):
    """Send a key that was issued or withdrawn."""

    key: Key


class LeavingChange(NamedTuple):
    """Send whether an upstream is on the list of leaving upstreams."""

    upstream: str
    leaving: bool


class VerdictChange(NamedTuple):
    """Send the traits whose verdict changed; `cleared` ones have none any more."""

    cleared: tuple[str, ...] = ()
    verdicts: tuple[Verdict, ...] = ()


class CeilingChange(NamedTuple):
    """Send all ceilings, since one of them has changed."""

    ceilings: tuple[Ceiling, ...]


class EvacuationChange(NamedTuple):
    """Send all evacuated failure domains, since one of them has changed."""

    evacuated: Evacuated


MESSAGES = (
    Watch,
    Ping,
    Renewal,
    Whole,
    FleetChange,
    KeyChange,
    LeavingChange,
    VerdictChange,
    CeilingChange,
    EvacuationChange,
)

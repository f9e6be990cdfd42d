"""List the messages between an entry and the leader that places its requests.

An entry keeps one stream open to the leader. Numbers belong to that entry and
are never used again, so an answer that comes late matches nothing.
"""

from typing import NamedTuple

from sapphireseam.core.instance import Instance


class Running(NamedTuple):
    """Tell a new leader of a request that an upstream works on."""

    number: int
    request: str
    instance: str
    customer: str


class Attach(NamedTuple):
    """Open an entry's stream; `domain` is the entry's failure domain."""

    entry: str
    domain: str
    running: tuple[Running, ...]


class Place(NamedTuple):
    """Ask for an upstream of a service.

    `patience` is how long the request may wait for a place, in seconds.
    `excluded` are instances that have failed it. With `is_counted` it counts
    against its customer's limit; a second attempt doesn't. `request` is the
    caller's id, for the log. `is_late` says that its answer can't be on time any
    more.
    """

    number: int
    request: str
    service: str
    customer: str
    rank: int
    patience: float
    excluded: tuple[str, ...]
    is_counted: bool
    is_late: bool = False


class Placed(NamedTuple):
    """Give a request its upstream; the place is held until `Left`."""

    number: int
    instance: Instance


class Turned(NamedTuple):
    """Refuse a request; `kind` is an error kind, `retry_after` in seconds."""

    number: int
    kind: str
    message: str
    retry_after: float


class Left(NamedTuple):
    """Free a request's place, or end its waiting.

    `is_suspect` says that the upstream broke off, can't be reached or is
    silent, `is_full` that it refused, and so works on more than is known.
    `pace` is how long it took for an event of its answer, or for the whole of
    one that has none, in seconds; 0 if nothing was measured.
    """

    number: int
    is_suspect: bool = False
    pace: float = 0.0
    is_full: bool = False


class Suspect(NamedTuple):
    """Report an upstream that is silent, while its request still waits."""

    instance: str


class View(NamedTuple):
    """Tell an entry all instances, the control VMs and how many entries attend."""

    instances: tuple[Instance, ...]
    control: tuple[str, ...]
    entries: int


class Beat(NamedTuple):
    """Tell that the leader still leads."""


MESSAGES = (Attach, Place, Placed, Turned, Left, Suspect, View, Beat)

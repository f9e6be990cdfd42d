"""Defines the messages between an entry and the leader, which places its requests.

An entry keeps one stream to the leader open. It numbers its requests and never uses a
number again, so a late answer can't be taken for the answer to another request.
"""

from typing import NamedTuple

from sapphireseam.core.evacuation import Evacuated
from sapphireseam.core.instance import Instance


class Running(NamedTuple):
    """A request that an upstream is running, reported to a new leader."""

    number: int
    request: str
    instance: str
    customer: str


class Began(NamedTuple):
    """Report the service and the software version at which a request's stream began.

    A grant doesn't show it: the request may be placed elsewhere before its first event.
    """

    request: str
    service: str
    version: str


class Leaving(NamedTuple):
    """Report that a run of an upstream has said that it is leaving.

    An entry tells it to the leader, which tells it to all entries.
    """

    instance: str
    born: int


class Attach(NamedTuple):
    """Open an entry's stream; `domain` is the entry's failure domain.

    `origins` are the streams that began recently. `leaving` are the runs of listed
    upstreams that are known to have said that they are leaving.
    """

    entry: str
    domain: str
    running: tuple[Running, ...]
    origins: tuple[Began, ...] = ()
    leaving: tuple[Leaving, ...] = ()


class Place(NamedTuple):
    """Request a slot at an upstream of a service.

    `patience` is how long the request may wait for a slot, in seconds. `excluded` are
    the instances at which the request has failed. With `is_counted`, the request is
    debited from its customer's rate limit; a further attempt isn't. `request` is the
    id of the caller's request, for the log. `is_late` says that the answer can no
    longer be on time. A request with a `version` gets an upstream of that software
    version. One that `resumes` the stream of an earlier attempt gets an upstream like
    the one that began it, if that is of one of `services`. One that `is_resumed`
    continues a stream, of an earlier attempt or of its own. One that is `held` by an
    upstream still runs there and gets no slot there. One that `returns_to` an upstream,
    which it left only because that was silent, gets a slot there or none.
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
    version: str = ""
    resumes: str = ""
    services: tuple[str, ...] = ()
    is_resumed: bool = False
    held: str = ""
    returns_to: str = ""


class Placed(NamedTuple):
    """Grant a request a slot at an instance; the entry releases it with `Left`."""

    number: int
    instance: Instance


class Turned(NamedTuple):
    """Refuse a request; `kind` is an error kind, `retry_after` in seconds."""

    number: int
    kind: str
    message: str
    retry_after: float


class Left(NamedTuple):
    """Release a request's slot, or withdraw a request that waits for one.

    `is_suspect` says that the upstream closed the connection, can't be reached or is
    silent. `is_full` says that the upstream refused the request, and so runs more
    requests than the leader counts. `pace` is the mean time between the events of the
    answer, or the time for a complete answer without events. It is in seconds, and 0
    if it wasn't measured.
    """

    number: int
    is_suspect: bool = False
    pace: float = 0.0
    is_full: bool = False


class Suspect(NamedTuple):
    """Report that an upstream is silent while a request still waits for its answer."""

    instance: str


class View(NamedTuple):
    """Send all instances, the control VMs and how many entries are connected.

    `domains` has the failure domain of each control VM, "" if it isn't known.
    `number` is that of the receiver among the entries, counted from 0, in order of
    failure domain and name. It is missing unless the entries are to spread the load.
    """

    instances: tuple[Instance, ...]
    control: tuple[str, ...]
    entries: int
    domains: tuple[str, ...] = ()
    number: int | None = None


class Evacuation(NamedTuple):
    """Send the evacuated failure domains, by which all later grants were made."""

    evacuated: Evacuated


class Beat(NamedTuple):
    """Confirm that the sender is still the leader."""


MESSAGES = (
    Attach,
    Place,
    Placed,
    Turned,
    Left,
    Began,
    Suspect,
    Leaving,
    View,
    Evacuation,
    Beat,
)

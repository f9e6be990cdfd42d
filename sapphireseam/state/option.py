"""Defines the replica's settings."""

from typing import NamedTuple

from sapphireseam.state import message


class Options(NamedTuple):
    """A replica's settings; times are in seconds, sizes in bytes or entries.

    `lease` is shorter than `election_min` by a margin for differences between
    the members' clock rates. `bootstrap` lists the first members by name and
    address; it is used only while the folders of all of them are fresh.

    With `voters` above 0 the leader maintains that number of voters: it promotes
    learners, and replaces a voter that was silent for `replace_after`. It
    removes a learner that was silent for `forget_after`. With 0 an operator
    makes these changes. Learners get entries or a heartbeat every
    `learner_interval`, which is shorter than half of `election_min`.

    The leader confirms its leadership once for all reads on other members that arrive
    within `read_pause`.

    `predecessor_ended` is a time on this member's clock at which the process
    that last used this folder had certainly ended: the leases that it granted
    count from this time. Without it they count from the time the folder is read.
    """

    bootstrap: tuple[message.Member, ...] = ()
    heartbeat: float = 0.1
    election_min: float = 1.0
    election_max: float = 1.5
    lease: float = 0.8
    call_timeout: float = 0.4
    append_timeout: float = 5.0
    learner_interval: float = 0.1
    read_pause: float = 0.02
    snapshot_entries: int = 1000
    snapshot_bytes: int = 64 << 20
    trailing_entries: int = 200
    batch_bytes: int = 1 << 20
    segment_bytes: int = 8 << 20
    chunk_bytes: int = 256 << 10
    max_pending: int = 10_000
    voters: int = 0
    replace_after: float = 2.0
    forget_after: float = 10.0
    predecessor_ended: float | None = None

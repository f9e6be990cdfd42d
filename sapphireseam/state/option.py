"""Hold the replica's settings, each with its unit."""

from typing import NamedTuple

from sapphireseam.state import message


class Options(NamedTuple):
    """Set the replica's times in seconds, its sizes in bytes and entries.

    `lease` is shorter than `election_min` by the margin that the members'
    clock rates may differ. `bootstrap` lists the first members by name and
    address; it is read only while every one of their folders is fresh.

    With `voters` above 0 the leader keeps that many voters by itself: it
    promotes learners, and lets one take the place of a voter that was silent
    for `replace_after`. A learner that was silent for `forget_after` is removed.
    With 0 an operator does all that.

    `predecessor_ended` is when the process that last held this folder had surely
    ended, by this member's clock: the leases that it granted count from there.
    Without it they count from when the folder is read.
    """

    bootstrap: tuple[message.Member, ...] = ()
    heartbeat: float = 0.1
    election_min: float = 1.0
    election_max: float = 1.5
    lease: float = 0.8
    call_timeout: float = 0.4
    append_timeout: float = 5.0
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

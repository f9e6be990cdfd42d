"""Define what members say to each other and what the log holds.

Every request names the cluster, the sender and the data folder that it is
meant for; every reply names the folder that answered. A vote or an
acknowledgement counts only for the folder that the membership records.
"""

from typing import NamedTuple

NOOP = 0
COMMAND = 1
MEMBERS = 2


class Member(NamedTuple):
    """Describe one member. Learners hold the log but count for no quorum.

    `folder` is the id of its data folder, empty until it was first reached.
    `returning` marks a learner that was a voter before it lost its folder; the
    leader promotes it by itself.
    """

    name: str
    address: str = ""
    voter: bool = True
    folder: str = ""
    returning: bool = False


class Entry(NamedTuple):
    """Hold one change; `kind` is NOOP, COMMAND or MEMBERS."""

    index: int
    term: int
    kind: int
    data: bytes = b""


class IdentifyRequest(NamedTuple):
    """Ask a member which folder it has and whether it is fresh."""

    sender: str


class IdentifyReply(NamedTuple):
    """Tell folder, cluster (empty on a fresh folder) and bootstrap names."""

    folder: str
    cluster: str
    names: tuple[str, ...]


class FormRequest(NamedTuple):
    """Hand a fresh member the cluster's id and its first members."""

    sender: str
    cluster: str
    members: tuple[Member, ...]


class FormReply(NamedTuple):
    """Tell which folder answered and which cluster it belongs to now."""

    folder: str
    cluster: str


class VoteRequest(NamedTuple):
    """Ask for a vote; `pre` only asks whether it would be given.

    `transfer` says that the leader itself asked the candidate to stand, so
    that its lease is no reason to refuse.
    """

    cluster: str
    sender: str
    target: str
    term: int
    last_index: int
    last_term: int
    pre: bool
    transfer: bool


class VoteReply(NamedTuple):
    """Grant or refuse a vote."""

    folder: str
    term: int
    granted: bool


class HeartbeatRequest(NamedTuple):
    """Tell that the leader lives and how far the log is committed."""

    cluster: str
    sender: str
    target: str
    term: int
    commit: int


class HeartbeatReply(NamedTuple):
    """Accept the sender as leader of `term`, or name a higher term.

    Up to `match` the log is known to agree with that leader's; a member that
    restarted doesn't know until it is sent something.
    """

    folder: str
    term: int
    accepted: bool
    match: int


class AppendRequest(NamedTuple):
    """Bring entries that follow the one at `prev_index`."""

    cluster: str
    sender: str
    target: str
    term: int
    prev_index: int
    prev_term: int
    commit: int
    entries: tuple[Entry, ...]


class AppendReply(NamedTuple):
    """Tell that everything up to `match` is synced, or where to go on.

    When `accepted` is false, `match` is zero and `next_index` the first entry
    that the follower asks for.
    """

    folder: str
    term: int
    accepted: bool
    match: int
    next_index: int


class SnapshotRequest(NamedTuple):
    """Bring `data` at `offset` of a snapshot of `total` bytes."""

    cluster: str
    sender: str
    target: str
    term: int
    index: int
    index_term: int
    members: tuple[Member, ...]
    offset: int
    total: int
    data: bytes


class SnapshotReply(NamedTuple):
    """Tell the next offset due; `match` is set once it is all in place."""

    folder: str
    term: int
    accepted: bool
    offset: int
    match: int


class ReadIndexRequest(NamedTuple):
    """Ask the leader for an index that a read must see applied."""

    cluster: str
    sender: str


class ReadIndexReply(NamedTuple):
    """Give the index; when not `confirmed`, `leader` may name the leader."""

    confirmed: bool
    index: int
    leader: str


class CampaignRequest(NamedTuple):
    """Ask a member to stand for election at once; the leader steps down."""

    cluster: str
    sender: str
    target: str
    term: int


class CampaignReply(NamedTuple):
    """Tell whether the member will stand."""

    folder: str
    accepted: bool


MESSAGES = (
    IdentifyRequest,
    IdentifyReply,
    FormRequest,
    FormReply,
    VoteRequest,
    VoteReply,
    HeartbeatRequest,
    HeartbeatReply,
    AppendRequest,
    AppendReply,
    SnapshotRequest,
    SnapshotReply,
    ReadIndexRequest,
    ReadIndexReply,
    CampaignRequest,
    CampaignReply,
)

"""List the messages between an entry and an agent.

Every one but the first and `Load` names the attempt that it belongs to, so an
answer that matches no open attempt can be dropped.
"""

from typing import NamedTuple


class Connect(NamedTuple):
    """Open an entry's stream to an agent."""

    entry: str


class Offer(NamedTuple):
    """Bring a request to an agent's queue.

    `remaining` is the time to the caller's deadline in seconds. With `ask` the
    agent hands the request over only after a `Go`; with `alone` it runs beside
    no other. `clock` is the entry's event clock.
    """

    attempt: int
    customer: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    remaining: float
    cost: float
    ask: bool
    alone: bool
    fingerprint: str
    clock: float = 0.0


class Ready(NamedTuple):
    """Ask whether a request may be handed over now."""

    attempt: int


class Go(NamedTuple):
    """Allow the hand-over, once."""

    attempt: int


class Credit(NamedTuple):
    """Let the agent send so many more bytes of an answer."""

    attempt: int
    size: int


class Revoke(NamedTuple):
    """End an attempt: drop it from the queue or cancel it upstream."""

    attempt: int


class Head(NamedTuple):
    """Begin an answer."""

    attempt: int
    status: int
    headers: tuple[tuple[str, str], ...]


class Data(NamedTuple):
    """Continue an answer."""

    attempt: int
    body: bytes


class End(NamedTuple):
    """End an answer that is whole."""

    attempt: int


class Fail(NamedTuple):
    """End an attempt without a whole answer.

    `died` says that the upstream died while it ran the request.
    """

    attempt: int
    kind: str
    message: str
    not_run: bool
    retry_after: float = 0.0
    died: bool = False


class Load(NamedTuple):
    """Tell entries how busy an agent is; also its sign of life."""

    upstream: str
    running: int
    queued: int
    limit: int
    leaving: bool
    healthy: bool


MESSAGES = (
    Connect,
    Offer,
    Ready,
    Go,
    Credit,
    Revoke,
    Head,
    Data,
    End,
    Fail,
    Load,
)

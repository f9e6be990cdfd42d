"""Defines the messages between an entry and an agent.

Every message except `Connect` and `Load` names the attempt that it belongs to, so an
answer to an attempt that is no longer open can be dropped.
"""

from typing import NamedTuple


class Connect(NamedTuple):
    """Open an entry's stream to an agent."""

    entry: str


class Offer(NamedTuple):
    """Add a request to an agent's queue.

    `remaining` is the time to the caller's deadline in seconds. With `ask`, the agent
    sends the request to the upstream only after a `Go`. With `alone`, it runs while
    no other request does. `clock` is the entry's event clock. `parts` are the traits of
    the prompt's parts. A request that was proven sound has no traits. `served` is the
    version or service that the upstream must have, an empty string for any.
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
    parts: tuple[str, ...] = ()
    served: str = ""

    @property
    def traits(self) -> tuple[str, ...]:
        """Return the traits by which requests that crash upstreams are recognised."""
        return (self.fingerprint, *self.parts) if self.fingerprint else self.parts


class Ready(NamedTuple):
    """Ask for permission to send a request to the upstream now."""

    attempt: int


class Go(NamedTuple):
    """Permit the agent to send the request to the upstream, once."""

    attempt: int


class Credit(NamedTuple):
    """Allow the agent to send `size` more bytes of an answer."""

    attempt: int
    size: int


class Revoke(NamedTuple):
    """End an attempt: remove it from the queue or cancel it at the upstream."""

    attempt: int


class Head(NamedTuple):
    """Send the status and the headers of an answer."""

    attempt: int
    status: int
    headers: tuple[tuple[str, str], ...]


class Data(NamedTuple):
    """Send a piece of the body of an answer."""

    attempt: int
    body: bytes


class End(NamedTuple):
    """Report that an answer is complete."""

    attempt: int


class Fail(NamedTuple):
    """End an attempt without a complete answer.

    `died` says that the upstream crashed while it ran the request.
    """

    attempt: int
    kind: str
    message: str
    not_run: bool
    retry_after: float = 0.0
    died: bool = False


class Load(NamedTuple):
    """Report the load of an upstream to an entry; also serves as a heartbeat."""

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

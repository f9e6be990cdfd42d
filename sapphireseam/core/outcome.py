"""List what the state machine answers to a command.

Answers are stored with the state, under the command's request id, so that a
resend gets the first answer after any restart or change of leader.
"""

from typing import NamedTuple

from sapphireseam.core import codec


class Done(NamedTuple):
    """Say that the command took effect; `number` is a revision or a fence."""

    subject: str = ""
    number: int = 0


class Refused(NamedTuple):
    """Say that the command changed nothing; `kind` is an error kind."""

    kind: str
    message: str
    number: int = 0


class Leased(NamedTuple):
    """Grant items of a job under a lease."""

    lease: int
    items: tuple[int, ...]


class Claimed(NamedTuple):
    """Tell the holder of a claim, or the answer to the claimed request.

    `fresh` is true for the one command that made the claim, which was at the
    wall time `at`.
    """

    fresh: bool
    settled: bool
    holder: str
    status: int = 0
    blob: str = ""
    at: float = 0.0


OUTCOMES = (Done, Refused, Leased, Claimed)

REGISTRY = codec.Registry(OUTCOMES)

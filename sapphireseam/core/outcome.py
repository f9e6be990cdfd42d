"""Defines the answers of the state machine to commands.

Answers are stored in the state under the command's request id. A resent command
therefore gets the first answer, even after a restart or a change of leader.
"""

from typing import NamedTuple

from sapphireseam.core import codec


class Done(NamedTuple):
    """The command took effect.

    `subject` names the object concerned. The meaning of `number` depends on the
    command: it can be a revision or a fencing number, for example.
    """

    subject: str = ""
    number: int = 0


class Refused(NamedTuple):
    """The command changed nothing; `kind` is an error kind."""

    kind: str
    message: str
    number: int = 0


class Leased(NamedTuple):
    """The leased items of a job and the number of the lease, 0 if there are none."""

    lease: int
    items: tuple[int, ...]


class Claimed(NamedTuple):
    """A claim with its holder, and the answer to the claimed request if it is stored.

    `settled` says that the answer is stored. `fresh` is true only for the holder that
    made the claim, until the answer is stored. `at` is the wall time at which the
    claim was made.
    """

    fresh: bool
    settled: bool
    holder: str
    status: int = 0
    blob: str = ""
    at: float = 0.0


OUTCOMES = (Done, Refused, Leased, Claimed)

REGISTRY = codec.Registry(OUTCOMES)

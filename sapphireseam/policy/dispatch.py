"""Join queue and admission: what starts next, and what makes room.

The agent asks these two questions after every arrival, end and step. They
stand here, apart from its tasks, so that the measurement and the agent follow
the same rule.
"""

from collections.abc import Iterable
from typing import NamedTuple

from sapphireseam.policy import admission, queue


class Running(NamedTuple):
    """Count the streams in the engine.

    `due` counts batch streams that took the slot beyond the limit; they are
    not counted in `batch`.
    """

    online: int
    batch: int
    due: int


class Start(NamedTuple):
    """Name the ticket to hand to the engine; `due` if beyond the limit."""

    ticket: queue.Ticket
    due: bool


def choose_start(
    line: queue.Queue, bound: admission.Admission, running: Running, now: float
) -> Start | None:
    """Return what starts now, or nothing; call again until it is nothing.

    The ticket is taken out of the queue.
    """
    batch = line.count(False) == 0
    if len(line) and bound.may_admit(batch, running.online, running.batch):
        return Start(line.pop(now), False)
    if line.count(True) and bound.may_admit_due(running.due):
        ticket = line.pop_due(now)
        if ticket is not None:
            return Start(ticket, True)
    return None


def choose_preempted(
    started: Iterable[tuple[queue.Ticket, float]], count: int
) -> list[queue.Ticket]:
    """Return the batch tickets to cancel or pause.

    `started` pairs each running batch ticket (but for the due one) with the
    cost spent on it so far, in tokens. Those with least to lose go first, the
    ones due latest among equals.
    """
    order = sorted(started, key=lambda pair: (pair[1], -pair[0].deadline))
    return [ticket for ticket, _ in order[:count]]

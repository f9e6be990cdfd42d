"""Selects the work to start next and the batch work to preempt.

The functions combine the queue and the admission limit. The agent calls them
after every arrival, end and step. They are separate from the agent's tasks so
that the benchmark (sapphireseam.tools.bench_engine) uses the same rules.
"""

from collections.abc import Iterable
from typing import NamedTuple

from sapphireseam.policy import admission, queue


class StreamCounts(NamedTuple):
    """The numbers of online, batch and due streams in the engine.

    `due` counts the batch streams in the slot beyond the limit. `batch` doesn't
    include them.
    """

    online: int
    batch: int
    due: int


class Start(NamedTuple):
    """A ticket to send to the engine; `due` if it takes the slot beyond the limit."""

    ticket: queue.Ticket
    due: bool


def choose_start(
    waiting: queue.Queue, limit: admission.Admission, running: StreamCounts, now: float
) -> Start | None:
    """Remove the ticket to start now from the queue and return it.

    Return None if nothing may start. Callers repeat the call until then.
    """
    batch = waiting.count(False) == 0
    if len(waiting) and limit.may_admit(batch, running.online, running.batch):
        return Start(waiting.pop(now), False)
    if waiting.count(True) and limit.may_admit_due(running.due):
        ticket = waiting.pop_due(now)
        if ticket is not None:
            return Start(ticket, True)
    return None


def choose_preempted(
    started: Iterable[tuple[queue.Ticket, float]], count: int
) -> list[queue.Ticket]:
    """Return the batch tickets to preempt (cancel or pause).

    `started` pairs each running batch ticket, except the due one, with the cost
    spent on it so far, in tokens. The tickets with the lowest cost are chosen
    first, and those due latest among equal costs.
    """
    order = sorted(started, key=lambda pair: (pair[1], -pair[0].deadline))
    return [ticket for ticket, _ in order[:count]]

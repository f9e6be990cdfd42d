"""Orders the items of bulk jobs for the slots that online requests leave free.

Many jobs may be open at once, several of one customer, with more work than the
slots can do in time. The jobs that are due earliest go first, and customers take
turns among jobs that are due together.

Items that can still end by their due time go before items that can't. In order of
due time alone, a backlog would make all items a little late. Late items aren't
starved: an item goes before all others once it would end later than halfway between
its due time and the time when it is abandoned.
"""

from collections.abc import Iterable
from enum import IntEnum
from typing import Protocol

# Time is divided into spans of this length. Jobs that are due in the same span are
# due together.
SPAN_SECONDS = 2.0


class BulkJob(Protocol):
    """A bulk job with its customer and the times when it is due and abandoned."""

    customer: str
    due: float
    abandon: float


class Urgency(IntEnum):
    """The urgency of an item; items of a lower number are started first."""

    EXPIRING = 0
    ON_TIME = 1
    LATE = 2


def classify_item(job: BulkJob, remaining: float, now: float) -> Urgency:
    """Return the urgency of an item that still has to run for `remaining` seconds.

    >>> from collections import namedtuple
    >>> job = namedtuple("Job", "customer due abandon")("a", 20.0, 60.0)
    >>> classify_item(job, 5.0, 14.0).name, classify_item(job, 5.0, 16.0).name
    ('ON_TIME', 'LATE')
    >>> classify_item(job, 5.0, 36.0).name
    'EXPIRING'
    """
    if now + remaining <= job.due:
        return Urgency.ON_TIME
    halfway = (job.due + job.abandon) / 2
    return Urgency.LATE if now + remaining < halfway else Urgency.EXPIRING


def list_urgencies(
    job: BulkJob, longest_seconds: float, now: float
) -> tuple[Urgency, ...]:
    """Return the urgencies possible for items that run for up to `longest_seconds`.

    >>> from collections import namedtuple
    >>> job = namedtuple("Job", "customer due abandon")("a", 20.0, 60.0)
    >>> [urgency.name for urgency in list_urgencies(job, 5.0, 16.0)]
    ['ON_TIME', 'LATE']
    """
    first, last = classify_item(job, 0.0, now), classify_item(job, longest_seconds, now)
    # The longer an item still has to run, the further it is in this order.
    order = (Urgency.ON_TIME, Urgency.LATE, Urgency.EXPIRING)
    return order[order.index(first) : order.index(last) + 1]


def order_jobs(jobs: Iterable) -> list:
    """Return jobs in the order in which their items are to start.

    >>> from collections import namedtuple
    >>> Job = namedtuple("Job", "customer due")
    >>> jobs = [Job("a", 9.1), Job("a", 8.9), Job("b", 9.0), Job("c", 2.0)]
    >>> [(job.customer, job.due) for job in order_jobs(jobs)]
    [('c', 2.0), ('a', 8.9), ('b', 9.0), ('a', 9.1)]
    """
    seen: dict[tuple[int, str], int] = {}
    ranked = []
    for job in sorted(jobs, key=lambda job: job.due):
        span = int(job.due // SPAN_SECONDS)
        turn = seen.get((span, job.customer), 0)
        seen[span, job.customer] = turn + 1
        ranked.append(((span, turn, job.due), job))
    ranked.sort(key=lambda pair: pair[0])
    return [job for _, job in ranked]

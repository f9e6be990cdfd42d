"""Choose which jobs' items an idle agent is given next.

Idle capacity lasts seconds, so a chunk is kept to a few seconds of work. The
customer that has received least for its weight goes first, and within a
customer the job due first. Items that failed before come after the job's fresh
ones, one in each choice, so that a job with items that can never be done holds
up neither other jobs nor the rest of its own.
"""

import math
from collections.abc import Sequence
from typing import NamedTuple

from sapphireseam.policy import queue

# The work that a chunk should hold for one free stream.
CHUNK_SECONDS = 2.0

# Items in one chunk at most.
CHUNK_ITEMS = 64

# The weight of the newest item in a job's mean time.
ITEM_WEIGHT = 0.2

# The time that a job's items are taken to need before any was done.
FIRST_ITEM_SECONDS = 1.0


class Job(NamedTuple):
    """Describe a job with items to give out.

    `due` is in monotonic seconds. `received` is the cost in tokens that the
    customer's batch work has received lately, the same in all its jobs.
    `fresh` items were never tried, `failed` ones failed before. `item_cost` is
    in tokens, `item_seconds` the mean time of its items.
    """

    name: str
    customer: str
    weight: float
    due: float
    received: float
    fresh: int
    failed: int
    item_cost: float
    item_seconds: float


class Selection(NamedTuple):
    """Give out so many of a job's fresh and failed items."""

    job: str
    fresh: int
    failed: int


def update_mean(item_seconds: float, seconds: float) -> float:
    """Return a job's mean item time after one more item.

    >>> round(average(1.0, 2.0), 2)
    1.2
    """
    return item_seconds + ITEM_WEIGHT * (seconds - item_seconds)


def size_chunk(item_seconds: float, free: int) -> int:
    """Return how many items fill `free` streams for `CHUNK_SECONDS`."""
    a_stream = max(int(CHUNK_SECONDS / max(item_seconds, 1e-3)), 1)
    return min(a_stream * free, CHUNK_ITEMS)


def select(jobs: Sequence[Job], free: int, now: float) -> list[Selection]:
    """Return what an agent with `free` idle streams is given, maybe nothing.

    An agent without a free stream passes 0 and gets one item of a job that is
    due soon, if there is any, for its slot beyond the limit.
    """
    if free <= 0:
        due = [each for each in jobs if each.due - now <= queue.DUE_SOON_SECONDS]
        return _fill(due, 1, 1)
    return _fill(jobs, free, CHUNK_ITEMS)


def _fill(jobs: Sequence[Job], free: int, most: int) -> list[Selection]:
    """Give out stream by stream, each to the customer that is due for it."""
    fresh = {job.name: job.fresh for job in jobs}
    failed = {job.name: job.failed for job in jobs}
    received = {job.customer: job.received / job.weight for job in jobs}
    given: dict[str, list[int]] = {}
    total = 0
    for _ in range(free):
        job = _find_next(jobs, fresh, failed, received)
        if job is None or total >= most:
            break
        count = min(size_chunk(job.item_seconds, 1), most - total)
        pick = given.setdefault(job.name, [0, 0])
        if fresh[job.name]:
            count = min(count, fresh[job.name])
            fresh[job.name] -= count
            pick[0] += count
        else:
            count = 1
            failed[job.name] = 0
            pick[1] += 1
        total += count
        received[job.customer] += count * job.item_cost / job.weight
    return [Selection(name, *counts) for name, counts in given.items()]


def _find_next(
    jobs: Sequence[Job],
    fresh: dict[str, int],
    failed: dict[str, int],
    received: dict[str, float],
) -> Job | None:
    """Return the next job: least served customer first, then due first."""
    best, best_rank = None, (math.inf,)
    for job in jobs:
        if not fresh[job.name] and not failed[job.name]:
            continue
        rank = (received[job.customer], job.due, job.name)
        if best is None or rank < best_rank:
            best, best_rank = job, rank
    return best

"""Selects the items of batch jobs that an idle agent leases next.

Capacity stays idle for seconds only, so a chunk holds a few seconds of work. The
customer that has received the least in proportion to its weight goes first, and
among a customer's jobs the one due first. Items that failed before are selected
after the job's fresh items, and only one per selection. So items that always
fail delay neither other jobs nor the other items of their job.
"""

import math
from collections.abc import Sequence
from typing import NamedTuple

from sapphireseam.policy import queue

# Work in one chunk for one free stream.
CHUNK_SECONDS = 2.0

# Maximum number of items in one chunk.
CHUNK_ITEMS = 64

# Weight of the newest item in the moving average of a job's item time.
ITEM_WEIGHT = 0.2

# Assumed time of a job's items until the first one is done.
FIRST_ITEM_SECONDS = 1.0


class Job(NamedTuple):
    """A batch job with items to lease out.

    `due` is in monotonic seconds. `received` is the recent cost, in tokens, of
    all batch work of the customer; it is the same in all jobs of a customer.
    `fresh` counts the items that were never tried and `failed` those that failed
    before. `item_cost` is in tokens, `item_seconds` is the mean time of an item.
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
    """The number of fresh and of failed items selected from a job."""

    job: str
    fresh: int
    failed: int


def update_mean(item_seconds: float, seconds: float) -> float:
    """Return the mean item time of a job, updated by one more item.

    >>> round(update_mean(1.0, 2.0), 2)
    1.2
    """
    return item_seconds + ITEM_WEIGHT * (seconds - item_seconds)


def size_chunk(item_seconds: float, free: int) -> int:
    """Return how many items fill `free` streams for `CHUNK_SECONDS`."""
    per_stream = max(int(CHUNK_SECONDS / max(item_seconds, 1e-3)), 1)
    return min(per_stream * free, CHUNK_ITEMS)


def select(jobs: Sequence[Job], free: int, now: float) -> list[Selection]:
    """Return the items for an agent with `free` idle streams, possibly none.

    An agent without an idle stream passes 0. It gets one item of a job that is
    due soon, if there is such a job, for its slot beyond the limit.
    """
    if free <= 0:
        due = [each for each in jobs if each.due - now <= queue.DUE_SOON_SECONDS]
        return _select_for_streams(due, 1, 1)
    return _select_for_streams(jobs, free, CHUNK_ITEMS)


def _select_for_streams(
    jobs: Sequence[Job], free: int, max_items: int
) -> list[Selection]:
    """Select items stream by stream, each time for the least served customer."""
    fresh = {job.name: job.fresh for job in jobs}
    failed = {job.name: job.failed for job in jobs}
    received = {job.customer: job.received / job.weight for job in jobs}
    selected: dict[str, list[int]] = {}
    total = 0
    for _ in range(free):
        job = _find_next(jobs, fresh, failed, received)
        if job is None or total >= max_items:
            break
        count = min(size_chunk(job.item_seconds, 1), max_items - total)
        counts = selected.setdefault(job.name, [0, 0])
        if fresh[job.name]:
            count = min(count, fresh[job.name])
            fresh[job.name] -= count
            counts[0] += count
        else:
            count = 1
            failed[job.name] = 0
            counts[1] += 1
        total += count
        received[job.customer] += count * job.item_cost / job.weight
    return [Selection(name, *counts) for name, counts in selected.items()]


def _find_next(
    jobs: Sequence[Job],
    fresh: dict[str, int],
    failed: dict[str, int],
    received: dict[str, float],
) -> Job | None:
    """Return the earliest due job of the least served customer."""
    best, best_rank = None, (math.inf,)
    for job in jobs:
        if not fresh[job.name] and not failed[job.name]:
            continue
        rank = (received[job.customer], job.due, job.name)
        if best is None or rank < best_rank:
            best, best_rank = job, rank
    return best

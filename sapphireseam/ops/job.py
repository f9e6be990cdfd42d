"""Reads, forecasts and cancels batch jobs, and fetches their results."""

from collections.abc import AsyncIterator
from typing import NamedTuple

from sapphireseam.core import command, error, message
from sapphireseam.ops.operator import Operator

OPEN = "in_progress"
# A job without a finished item is at risk once this share of the time from its
# creation to its due time has elapsed.
IDLE_SHARE = 0.1
# A cancel returns only after the job's leases have ended.
CANCEL_TIMEOUT_SECONDS = 30.0


class Forecast(NamedTuple):
    """The expected end of a job at its average pace; `end` is 0 if unknown."""

    end: float
    at_risk: bool


def forecast(job: message.JobView, now: float) -> Forecast:
    """Return a job's end, expected or past, and whether it may miss its due time."""
    if job.ended or job.status != OPEN:
        return Forecast(job.ended, False)
    finished = job.done + job.failed
    elapsed = max(now - job.created, 1e-3)
    if not finished:
        elapsed_share = elapsed / max(job.due - job.created, 1e-3)
        return Forecast(0.0, elapsed_share >= IDLE_SHARE)
    end = now + (job.count - finished) * elapsed / finished
    return Forecast(end, end > job.due)


async def list_all(operator: Operator, customer: str = "") -> list[message.JobView]:
    """Return the jobs of one customer, or of all customers, newest first."""
    reply = await operator.client.call(message.ListJobs(customer))
    return list(reply.jobs)


async def read(operator: Operator, job: str) -> message.JobView:
    """Return one job."""
    reply = await operator.client.call(message.ListJobs("", job))
    if not reply.jobs:
        text = f"unknown job {job!r}; `seam-ctl job list` lists all jobs"
        raise error.RequestError(text, error.Kind.OBJECT_UNKNOWN)
    return reply.jobs[0]


async def cancel(operator: Operator, job: message.JobView) -> message.JobView:
    """Cancel a job; after the return, none of its items runs or starts."""
    item = command.CancelJob(job.customer, job.id, operator.read_time())
    await operator.client.propose(item, CANCEL_TIMEOUT_SECONDS)
    return await read(operator, job.id)


async def read_results(
    operator: Operator, job: str, failed: bool
) -> AsyncIterator[bytes]:
    """Yield a job's output lines, or its error lines, chunk by chunk."""
    chunk = 0
    while True:
        request = message.ReadOutput("", job, failed, chunk)
        piece = await operator.client.call(request)
        yield piece.data
        if piece.last:
            return
        chunk += 1

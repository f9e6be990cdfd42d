"""Follow, judge and cancel batch jobs, and fetch their results."""

from collections.abc import AsyncIterator
from typing import NamedTuple

from sapphireseam.core import command, error, message
from sapphireseam.ops.operator import Operator

OPEN = "in_progress"
# A job without a finished item counts as at risk once this share of its time
# has gone.
IDLE_SHARE = 0.1
# How long a cancel may take, in seconds: leases have to end first.
CANCEL_SECONDS = 30.0


class Forecast(NamedTuple):
    """Say when a job will end at its present pace; `end` is 0 if unknown."""

    end: float
    at_risk: bool


def forecast(job: message.JobView, now: float) -> Forecast:
    """Return when an open job will end, and whether it may miss its due time."""
    if job.ended or job.status != OPEN:
        return Forecast(job.ended, False)
    finished = job.done + job.failed
    elapsed = max(now - job.created, 1e-3)
    if not finished:
        gone = elapsed / max(job.due - job.created, 1e-3)
        return Forecast(0.0, gone >= IDLE_SHARE)
    end = now + (job.count - finished) * elapsed / finished
    return Forecast(end, end > job.due)


async def list_all(operator: Operator, customer: str = "") -> list[message.JobView]:
    """Return the jobs of a customer, or of all, newest first."""
    reply = await operator.client.call(message.ListJobs(customer))
    return list(reply.jobs)


async def read(operator: Operator, job: str) -> message.JobView:
    """Return one job."""
    reply = await operator.client.call(message.ListJobs("", job))
    if not reply.jobs:
        text = f"no job {job!r}; `seam-ctl job list` names those there are"
        raise error.RequestError(text, error.Kind.OBJECT_UNKNOWN)
    return reply.jobs[0]


async def cancel(operator: Operator, job: message.JobView) -> message.JobView:
    """Stop a job; once this returns, no item of it runs or starts any more."""
    item = command.CancelJob(job.customer, job.id, operator.read_time())
    await operator.client.propose(item, CANCEL_SECONDS)
    return await read(operator, job.id)


async def read_results(
    operator: Operator, job: str, failed: bool
) -> AsyncIterator[bytes]:
    """Yield a job's output lines, or its error lines, piece by piece."""
    chunk = 0
    while True:
        request = message.ReadOutput("", job, failed, chunk)
        piece = await operator.client.call(request)
        yield piece.data
        if piece.last:
            return
        chunk += 1

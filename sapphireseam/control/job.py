"""Applies commands on files, batch jobs, items and leases.

Each item of a job has one mark, its state. The first result of an item changes
the mark, and any later result is dropped. So an item has one result, however often
it ran. A lease only says which agent may run an item now.

An item ends as failed once TRY_LIMIT failed answers were blamed on it. The loss of an
agent is blamed on no item, but its items are leased singly and last from then on, so
that others don't wait for them.
"""

from sapphireseam.control import record
from sapphireseam.core import command, error, fleet, outcome

# Failures blamed on an item after which it ends as failed.
TRY_LIMIT = 3


def create_file(state: record.State, item: command.CreateFile) -> outcome.Done:
    """Create a file over a stored blob."""
    state.files[item.file] = record.File(
        item.file,
        item.customer,
        item.name,
        item.purpose,
        item.blob,
        item.size,
        item.lines,
        item.url,
        item.model,
        item.at,
    )
    return outcome.Done(item.file)


def remove_file(
    state: record.State, item: command.RemoveFile
) -> outcome.Done | outcome.Refused:
    """Delete a file, unless an open job reads it."""
    found = state.files.get(item.file)
    if found is None or found.customer != item.customer:
        return outcome.Refused(error.Kind.OBJECT_UNKNOWN, f"no file {item.file!r}")
    users = [j.id for j in state.jobs.values() if j.file == item.file and not j.ended]
    if users:
        return outcome.Refused(error.Kind.CONFLICT, f"job {users[0]} reads the file")
    del state.files[item.file]
    return outcome.Done(item.file)


def submit(
    state: record.State, item: command.SubmitJob
) -> outcome.Done | outcome.Refused:
    """Create a job over a file; its items wait until agents lease them.

    A resend may come after the stored answer to the first request was deleted. It
    still gets the job that the first request created.
    """
    known = state.jobs.get(item.job)
    if known is not None and known.request == item.request:
        return outcome.Done(item.job)
    if known is not None:
        message = "the Idempotency-Key was used for another job"
        return outcome.Refused(error.Kind.CONFLICT, message)
    file = state.files.get(item.file)
    if file is None or file.customer != item.customer:
        return outcome.Refused(error.Kind.OBJECT_UNKNOWN, f"no file {item.file!r}")
    if file.purpose != "batch":
        message = f"file {item.file} has the purpose {file.purpose!r}, not 'batch'"
        return outcome.Refused(error.Kind.BAD_REQUEST, message)
    if file.url != item.endpoint:
        message = f"the file's lines are for {file.url}, not {item.endpoint}"
        return outcome.Refused(error.Kind.BAD_REQUEST, message)
    route = find_route(state, item.endpoint)
    if route is None:
        message = f"no route {item.endpoint!r}"
        return outcome.Refused(error.Kind.ROUTE_UNKNOWN, message)
    state.jobs[item.job] = record.Job(
        item.job,
        item.customer,
        item.key,
        item.file,
        file.blob,
        item.endpoint,
        file.model,
        route.service,
        route.idempotent,
        file.lines,
        record.IN_PROGRESS,
        item.at,
        item.due,
        metadata=item.metadata,
        request=item.request,
    )
    state.marks[item.job] = bytearray(file.lines)
    state.returned[item.job] = []
    state.tries[item.job] = {}
    state.chunks[item.job] = []
    return outcome.Done(item.job)


def find_route(state: record.State, path: str) -> fleet.Route | None:
    """Return the configured route with the longest path that matches this one."""
    routes = record.read_fleet(state).routes.values()
    matching = [route for route in routes if fleet.path_matches(route.path, path)]
    return max(matching, key=lambda route: len(route.path), default=None)


def lease(
    state: record.State, item: command.LeaseItems, index: int
) -> outcome.Leased | outcome.Refused:
    """Lease pending items, or one item that was lost or blamed if no other is left.

    Such an item is leased singly, because it may crash the VM and interrupt other
    items on it. It is leased last, because it may delay other items.
    """
    job = state.jobs.get(item.job)
    if job is None or job.status != record.IN_PROGRESS:
        return outcome.Refused(error.Kind.OBJECT_UNKNOWN, f"no open job {item.job!r}")
    returned = state.returned[item.job]
    tries = state.tries[item.job]
    items = [number for number in returned if number not in tries][: item.count]
    fresh = min(item.count - len(items), job.count - job.next_item)
    items.extend(range(job.next_item, job.next_item + fresh))
    if not items:
        items = returned[:1]
    leased = set(items)
    state.returned[item.job] = [n for n in returned if n not in leased]
    if not items:
        return outcome.Leased(0, ())
    state.jobs[item.job] = job._replace(next_item=job.next_item + fresh)
    state.leases[index] = record.Lease(item.job, item.agent, tuple(items))
    return outcome.Leased(index, tuple(items))


def start(
    state: record.State, item: command.StartItems
) -> outcome.Done | outcome.Refused:
    """Mark non-idempotent items as sent to an upstream while their lease is valid."""
    found = state.leases.get(item.lease)
    if found is None or not set(item.items) <= set(found.items):
        return outcome.Refused(error.Kind.CONFLICT, f"lease {item.lease} is over")
    job = state.jobs[found.job]
    if job.status != record.IN_PROGRESS:
        return outcome.Refused(error.Kind.CONFLICT, f"job {job.id} is {job.status}")
    marks = state.marks[found.job]
    if any(marks[number] != record.PENDING for number in item.items):
        return outcome.Refused(error.Kind.CONFLICT, "an item was started before")
    for number in item.items:
        marks[number] = record.STARTED
    return outcome.Done()


def complete(
    state: record.State, item: command.CompleteItems
) -> outcome.Done | outcome.Refused:
    """Record the first result of each item; drop later results.

    The number in the answer counts the results that were recorded.
    """
    found = state.leases.get(item.lease)
    if found is None:
        return outcome.Refused(error.Kind.CONFLICT, f"lease {item.lease} is over")
    job = state.jobs[found.job]
    if job.status != record.IN_PROGRESS:
        return outcome.Refused(error.Kind.CONFLICT, f"job {job.id} is {job.status}")
    held = set(found.items)
    valid = [result for result in item.results if result.item in held]
    recorded = _record_results(state, job.id, item.blob, valid, item.at)
    _shrink_lease(state, item.lease, {result.item for result in valid})
    return outcome.Done(job.id, recorded)


def return_items(
    state: record.State, item: command.ReturnItems
) -> outcome.Done | outcome.Refused:
    """Requeue leased items; those blamed TRY_LIMIT times end as failed."""
    found = state.leases.get(item.lease)
    if found is None:
        return outcome.Refused(error.Kind.CONFLICT, f"lease {item.lease} is over")
    numbers = set(item.items) & set(found.items)
    marks = state.marks[found.job]
    for number in numbers & set(item.not_run):
        if marks[number] == record.STARTED:
            marks[number] = record.PENDING
    _shrink_lease(state, item.lease, numbers)
    _requeue(state, found.job, sorted(numbers), set(item.blamed), item.at)
    return outcome.Done(found.job, len(numbers))


def expire(
    state: record.State, item: command.ExpireLease
) -> outcome.Done | outcome.Refused:
    """End a lease and requeue the items that it still held."""
    found = state.leases.pop(item.lease, None)
    if found is None:
        return outcome.Refused(error.Kind.CONFLICT, f"lease {item.lease} is over")
    tries = state.tries[found.job]
    for number in found.items:
        tries.setdefault(number, 0)
    _requeue(state, found.job, list(found.items), set(), item.at)
    return outcome.Done(found.job, len(found.items))


def cancel(
    state: record.State, item: command.CancelJob
) -> outcome.Done | outcome.Refused:
    """Begin to cancel a job; a job that has ended keeps its status."""
    job = state.jobs.get(item.job)
    if job is None or job.customer != item.customer:
        return outcome.Refused(error.Kind.OBJECT_UNKNOWN, f"no batch {item.job!r}")
    if job.status == record.IN_PROGRESS:
        state.jobs[item.job] = job._replace(status=record.CANCELLING)
    return outcome.Done(item.job)


def finish_cancel(
    state: record.State, item: command.FinishCancel
) -> outcome.Done | outcome.Refused:
    """Mark a job as cancelled once it has no leases."""
    job = state.jobs.get(item.job)
    if job is None or job.status != record.CANCELLING:
        return outcome.Refused(error.Kind.CONFLICT, f"{item.job!r} isn't cancelling")
    if any(found.job == item.job for found in state.leases.values()):
        return outcome.Refused(error.Kind.CONFLICT, f"{item.job!r} has leases")
    state.jobs[item.job] = job._replace(status=record.CANCELLED, ended=item.at)
    return outcome.Done(item.job)


def _record_results(
    state: record.State,
    job_id: str,
    blob: str,
    results: list[command.ItemResult],
    at: float,
) -> int:
    """Mark open items as ended; end the job with its last item."""
    marks = state.marks[job_id]
    first = [r for r in results if marks[r.item] in (record.PENDING, record.STARTED)]
    for result in first:
        marks[result.item] = record.FAILED if result.failed else record.DONE
    if first:
        state.chunks[job_id].append(record.Chunk(blob, tuple(map(tuple, first))))
    failed = sum(result.failed for result in first)
    job = state.jobs[job_id]
    job = job._replace(done=job.done + len(first) - failed, failed=job.failed + failed)
    if job.status == record.IN_PROGRESS and job.done + job.failed == job.count:
        job = job._replace(status=record.COMPLETED, ended=at)
    state.jobs[job_id] = job
    return len(first)


def _shrink_lease(state: record.State, number: int, ended: set[int]) -> None:
    found = state.leases[number]
    rest = tuple(item for item in found.items if item not in ended)
    if rest:
        state.leases[number] = found._replace(items=rest)
    else:
        del state.leases[number]


def _requeue(
    state: record.State, job_id: str, items: list[int], blamed: set[int], at: float
) -> None:
    """Queue items again; end those that may not run again."""
    marks = state.marks[job_id]
    tries = state.tries[job_id]
    ended = []
    for number in items:
        if marks[number] == record.STARTED:
            ended.append(_make_failure(number, error.Kind.OUTCOME_UNKNOWN))
            continue
        if marks[number] != record.PENDING:
            continue
        if number in blamed:
            tries[number] = tries.get(number, 0) + 1
        if tries.get(number, 0) >= TRY_LIMIT:
            ended.append(_make_failure(number, error.Kind.UPSTREAM_FAILED))
        else:
            state.returned[job_id].append(number)
    if ended:
        _record_results(state, job_id, "", ended, at)


def _make_failure(item: int, kind: error.Kind) -> command.ItemResult:
    return command.ItemResult(item, -1, True, str(kind))

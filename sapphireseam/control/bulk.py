"""Applies the commands for bulk jobs to the replicated state.

A bulk job is a submission of many requests, called items, that run later. On
the wire and in stored data it is called a lot. A job is accepted once under its
own id. Results get their positions in the order of the log, so the positions are
the same on every member. Each item gets exactly one result.
"""

from sapphireseam.control import record
from sapphireseam.core import command, error, outcome

# Separates the data of two events in an output.
EVENT_SEPARATOR = b"\n"

Answer = outcome.Done | outcome.Refused


def accept(state: record.State, item: command.AcceptLot) -> Answer:
    """Accept a job unless its customer has too many tokens waiting on the route.

    A job that was accepted before gets the same answer again.
    """
    existing = state.lots.get(item.lot)
    if existing is not None:
        if (existing.customer, existing.route) == (item.customer, item.route):
            return outcome.Done(item.lot)
        text = "the id belongs to another lot"
        return outcome.Refused(error.Kind.CONFLICT, text)
    requested = sum(each.tokens for each in item.items)
    waiting = count_waiting_tokens(state, item.customer, item.route)
    if item.token_limit and waiting + requested > item.token_limit:
        text = f"{waiting} tokens wait already, {item.token_limit} may"
        return outcome.Refused(error.Kind.RATE_LIMITED, text, waiting)
    state.lots[item.lot] = record.Lot(
        item.lot,
        item.customer,
        item.route,
        list(item.items),
        item.at,
        item.due,
        item.abandon,
        [],
        set(),
        {},
    )
    return outcome.Done(item.lot)


def count_waiting_tokens(state: record.State, customer: str, route: str) -> int:
    """Return the tokens of a customer's items on a route that have no result yet."""
    return sum(
        each.tokens
        for job in state.lots.values()
        if job.customer == customer and job.route == route and job.is_open
        for number, each in enumerate(job.items)
        if number not in job.listed
    )


def append_results(state: record.State, item: command.ListResults) -> outcome.Done:
    """Append results to their jobs.

    Results for ended jobs, further results of an item and results that do not
    continue the saved output are dropped.
    """
    count = 0
    for result in item.results:
        job = _find_open_job(state, result.lot, result.item)
        if job is None:
            continue
        output = _complete_output(job, result)
        if output is not None:
            _append_result(job, result.item, result.failed, output)
            count += 1
    return outcome.Done("", count)


def save_parts(state: record.State, item: command.KeepParts) -> outcome.Done:
    """Save parts of outputs; drop a part that does not continue the saved output."""
    for part in item.parts:
        job = _find_open_job(state, part.lot, part.item)
        if job is None:
            continue
        partial = _find_continued(job, part)
        if part.after < 0:
            output = part.output
        elif partial is not None:
            output = partial.output + EVENT_SEPARATOR + part.output
        else:
            continue
        job.partials[part.item] = record.Partial(
            part.last, output, part.service, part.version, part.lineage
        )
    return outcome.Done()


def _find_open_job(state: record.State, name: str, number: int) -> record.Lot | None:
    """Return an open job if its item has no result yet, else None."""
    job = state.lots.get(name)
    if job is None or not job.is_open or number in job.listed:
        return None
    return job if 0 <= number < len(job.items) else None


def _find_continued(
    job: record.Lot, item: command.LotPart | command.LotResult
) -> record.Partial | None:
    """Return the saved output that a part or a result continues, or None."""
    partial = job.partials.get(item.item)
    if partial is None:
        return None
    is_same = (partial.last, partial.lineage) == (item.after, item.continues)
    return partial if is_same else None


def _complete_output(job: record.Lot, result: command.LotResult) -> bytes | None:
    """Return the complete output, or None if result and saved output do not fit."""
    if result.failed or result.after < 0:
        return result.output
    partial = _find_continued(job, result)
    if partial is None:
        return None
    if result.is_rest_empty:
        return partial.output
    return partial.output + EVENT_SEPARATOR + result.output


def _append_result(job: record.Lot, number: int, failed: bool, output: bytes) -> None:
    job.results.append(record.Result(number, failed, output))
    job.listed.add(number)
    job.items[number] = job.items[number]._replace(body=b"")
    job.partials.pop(number, None)


def end(state: record.State, item: command.EndLot) -> Answer:
    """End a job and record its open items as failed; ending it again is no error."""
    job = state.lots.get(item.lot)
    if job is None or job.customer != item.customer:
        return outcome.Refused(error.Kind.OBJECT_UNKNOWN, f"no lot {item.lot!r}")
    if job.is_open:
        for number in range(len(job.items)):
            if number not in job.listed:
                _append_result(job, number, True, b"")
        state.lots[item.lot] = job._replace(is_ended=True)
    return outcome.Done(item.lot)


def delete(state: record.State, item: command.ForgetLots) -> outcome.Done:
    """Delete jobs with their items and results; skip open jobs."""
    for name in item.lots:
        job = state.lots.get(name)
        if job is not None and not job.is_open:
            del state.lots[name]
    return outcome.Done()

"""Apply changes to lots: requests that came at once and run later.

A lot is accepted once under its own id. Results get their positions in the
order of the log, so they are the same at every member, and an item gets one.
"""

from sapphireseam.control import record
from sapphireseam.core import command, error, outcome

# Stands between the data of two events in an output.
EVENT_SEPARATOR = b"\n"

Answer = outcome.Done | outcome.Refused


def accept(state: record.State, item: command.AcceptLot) -> Answer:
    """Take a lot unless its customer has too many tokens waiting.

    A lot that was accepted before is answered as it was then.
    """
    known = state.lots.get(item.lot)
    if known is not None:
        if (known.customer, known.route) == (item.customer, item.route):
            return outcome.Done(item.lot)
        text = "the id belongs to another lot"
        return outcome.Refused(error.Kind.CONFLICT, text)
    wanted = sum(each.tokens for each in item.items)
    waiting = count_waiting_tokens(state, item.customer, item.route)
    if item.token_limit and waiting + wanted > item.token_limit:
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
    """Return the tokens of a customer's items on a route that aren't listed."""
    return sum(
        each.tokens
        for lot in state.lots.values()
        if lot.customer == customer and lot.route == route and lot.is_open
        for number, each in enumerate(lot.items)
        if number not in lot.listed
    )


def append_results(state: record.State, item: command.ListResults) -> outcome.Done:
    """Append results to their lots; those that come too late are dropped."""
    count = 0
    for result in item.results:
        lot = _find_unlisted(state, result.lot, result.item)
        if lot is None:
            continue
        output = _complete_output(lot, result)
        if output is not None:
            _list_result(lot, result.item, result.failed, output)
            count += 1
    return outcome.Done("", count)


def save_parts(state: record.State, item: command.KeepParts) -> outcome.Done:
    """Keep parts of outputs; one that doesn't follow what is kept is dropped."""
    for part in item.parts:
        lot = _find_unlisted(state, part.lot, part.item)
        if lot is None:
            continue
        held = lot.partials.get(part.item)
        if part.after < 0:
            lot.partials[part.item] = record.Partial(part.last, part.output)
        elif held is not None and held.last == part.after:
            output = held.output + EVENT_SEPARATOR + part.output
            lot.partials[part.item] = record.Partial(part.last, output)
    return outcome.Done()


def _find_unlisted(state: record.State, name: str, item: int) -> record.Lot | None:
    lot = state.lots.get(name)
    if lot is None or not lot.is_open or item in lot.listed:
        return None
    return lot


def _complete_output(lot: record.Lot, result: command.LotResult) -> bytes | None:
    """Return an item's whole output; None if what was kept isn't its beginning."""
    if result.failed or result.after < 0:
        return result.output
    held = lot.partials.get(result.item)
    if held is None or held.last != result.after:
        return None
    if result.is_rest_empty:
        return held.output
    return held.output + EVENT_SEPARATOR + result.output


def _list_result(lot: record.Lot, number: int, failed: bool, output: bytes) -> None:
    lot.results.append(record.Result(number, failed, output))
    lot.listed.add(number)
    lot.items[number] = lot.items[number]._replace(body=b"")
    lot.partials.pop(number, None)


def end(state: record.State, item: command.EndLot) -> Answer:
    """Stop a lot; ending it again is no error."""
    lot = state.lots.get(item.lot)
    if lot is None or lot.customer != item.customer:
        return outcome.Refused(error.Kind.OBJECT_UNKNOWN, f"no lot {item.lot!r}")
    if lot.is_open:
        for number in range(len(lot.items)):
            if number not in lot.listed:
                _list_result(lot, number, True, b"")
        state.lots[item.lot] = lot._replace(is_ended=True)
    return outcome.Done(item.lot)


def delete(state: record.State, item: command.ForgetLots) -> outcome.Done:
    """Drop lots with all that they hold, but for open ones."""
    for name in item.lots:
        lot = state.lots.get(name)
        if lot is not None and not lot.is_open:
            del state.lots[name]
    return outcome.Done()

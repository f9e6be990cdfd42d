"""Applies the rate limit records of the leader to the replicated state.

Only records of the newest term count. A leader commits its term before it reads
the records that it inherits. From then on, a command of an older leader changes no
record, however late it arrives. `sapphireseam/policy/reserve.py` explains what the
records mean.
"""

from sapphireseam.control import record
from sapphireseam.core import command, error, outcome
from sapphireseam.policy import limit

# Key of the newest term in the numbers of the state.
TERM_KEY = "limit_term"


def apply(
    state: record.State, item: command.RecordReserves
) -> outcome.Done | outcome.Refused:
    """Replace the records of the named customers.

    A record whose level does not exceed its reserve is dropped, because it leaves
    nothing to the next leader.
    """
    term = state.numbers.get(TERM_KEY, 0)
    if item.term < term:
        text = "an owner of a newer term has begun"
        return outcome.Refused(error.Kind.CONFLICT, text, term)
    state.numbers[TERM_KEY] = item.term
    for each in item.reserves:
        state.reserves.pop(each.customer, None)
        if each.level > each.reserve:
            stored = limit.Reserve(each.level, each.reserve)
            state.reserves[each.customer] = stored
    return outcome.Done("reserves", item.term)

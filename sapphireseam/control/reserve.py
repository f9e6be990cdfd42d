"""Keep the limits' owner's records in the replicated state.

Only the newest owner's records count. An owner sets its term before it reads
the records that it inherits; from then on no command of an older owner, however
late, changes any. What the records say is in `sapphireseam/policy/reserve.py`.
"""

from sapphireseam.control import record
from sapphireseam.core import command, error, outcome
from sapphireseam.policy import limit

TERM = "limit_term"


def apply(
    state: record.State, item: command.RecordReserves
) -> outcome.Done | outcome.Refused:
    """Replace the named customers' records; one worth nothing isn't kept."""
    term = state.numbers.get(TERM, 0)
    if item.term < term:
        text = "an owner of a newer term has begun"
        return outcome.Refused(error.Kind.CONFLICT, text, term)
    state.numbers[TERM] = item.term
    for each in item.reserves:
        state.reserves.pop(each.customer, None)
        if each.level > each.reserve:
            kept = limit.Reserve(each.level, each.reserve)
            state.reserves[each.customer] = kept
    return outcome.Done("reserves", item.term)

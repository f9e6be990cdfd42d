"""Records the ceilings that upstreams name, so that every process has them."""

from collections.abc import Mapping

from sapphireseam.control import record
from sapphireseam.core import command, outcome
from sapphireseam.core.ceiling import Ceiling

# A ceiling that was named for longer is forgotten until the upstream names it again.
MEMORY_SECONDS = 3600.0
# Maximum number of ceilings; the oldest is dropped first.
CEILING_LIMIT = 5000


def report(state: record.State, item: command.ReportCeiling) -> outcome.Done:
    """Record the ceiling of a run, or its end if its rate is 0.

    A run ends the ceilings of all former runs of its upstream.
    """
    ceilings = state.ceilings
    former = ceilings.get(item.run)
    for name, each in list(ceilings.items()):
        is_replaced = each.upstream == item.upstream and name != item.run
        if is_replaced or item.at - each.since > MEMORY_SECONDS:
            del ceilings[name]
    if not item.rate:
        ceilings.pop(item.run, None)
    elif former is None or former.rate != item.rate:
        ceilings[item.run] = Ceiling(item.upstream, item.run, item.rate, item.at)
    while len(ceilings) > CEILING_LIMIT:
        del ceilings[next(iter(ceilings))]
    return outcome.Done(item.upstream)


def read_rates(ceilings: Mapping[str, Ceiling]) -> dict[str, float]:
    """Return the requests per second by run."""
    return {name: each.rate for name, each in ceilings.items()}

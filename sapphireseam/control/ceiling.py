"""Records the ceilings of upstreams, so that every process has them."""

from collections.abc import Mapping

from sapphireseam.control import record
from sapphireseam.core import command, outcome
from sapphireseam.core.ceiling import Ceiling, make_key

# A ceiling that was named for longer is forgotten until the upstream names it again.
MEMORY_SECONDS = 3600.0
# Maximum number of ceilings; the oldest is dropped first.
CEILING_LIMIT = 5000


def report(state: record.State, item: command.ReportCeiling) -> outcome.Done:
    """Record the ceiling of a run, or its end if its rate is 0.

    A run ends the ceilings of all former runs of its upstream. The end of a cold run
    may come after the next run has begun, so it ends nothing else.
    """
    ceilings = state.ceilings
    key = make_key(item.run, item.is_cold)
    former = ceilings.get(key)
    for name, each in list(ceilings.items()):
        is_replaced = each.upstream == item.upstream and each.run != item.run
        if item.is_cold and not item.rate:
            is_replaced = False
        if is_replaced or item.at - each.since > MEMORY_SECONDS:
            del ceilings[name]
    if not item.rate:
        ceilings.pop(key, None)
    elif item.is_cold:
        since = former.since if former is not None else item.at
        ceilings[key] = Ceiling(*item[:3], since, True, item.seconds)
    elif former is None or former.rate != item.rate:
        ceilings[key] = Ceiling(item.upstream, item.run, item.rate, item.at)
    while len(ceilings) > CEILING_LIMIT:
        del ceilings[next(iter(ceilings))]
    return outcome.Done(item.upstream)


def read_rates(ceilings: Mapping[str, Ceiling]) -> dict[str, float]:
    """Return the requests per second that runs name."""
    return {each.run: each.rate for each in ceilings.values() if not each.is_cold}

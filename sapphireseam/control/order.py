"""Applies the commands that issue, begin and finish orders to upstreams.

The fencing number of an order is its index in the log. Orders to one upstream are
begun one at a time, and no order is begun after a newer one to the same upstream.
The `BeginOrder` command of an order is committed immediately before the agent sends
the order. The command names one run of the agent, so an agent that lost its state in
a restart can't send an old order.
"""

from sapphireseam.control import record
from sapphireseam.core import command, error, outcome

# Maximum number of orders. At the limit a new order evicts an ended one.
ORDER_LIMIT = 10_000
LOAD = "load"


def issue(
    state: record.State, item: command.IssueOrder, index: int
) -> outcome.Done | outcome.Refused:
    """Add an order, numbered by its index in the log."""
    if len(state.orders) >= ORDER_LIMIT and not _evict_ended(state):
        message = "too many orders wait to be carried out"
        return outcome.Refused(error.Kind.OVERLOADED, message)
    state.orders[index] = record.Order(
        item.upstream, item.action, item.argument, item.at
    )
    return outcome.Done(item.upstream, index)


def _evict_ended(state: record.State) -> bool:
    """Delete the oldest ended order whose upstream has a newer one.

    Return whether there was such an order.
    """
    newest = {found.upstream: fence for fence, found in state.orders.items()}
    for fence, found in state.orders.items():
        if found.finished and newest[found.upstream] != fence:
            del state.orders[fence]
            return True
    return False


def find_next(state: record.State, upstream: str) -> int:
    """Return the fencing number of an upstream's oldest open order, or 0."""
    fences = (
        fence
        for fence, found in state.orders.items()
        if found.upstream == upstream and not found.finished
    )
    return min(fences, default=0)


def begin(
    state: record.State, item: command.BeginOrder
) -> outcome.Done | outcome.Refused:
    """Grant an order to one run of an agent, if the order may be carried out now."""
    found = state.orders.get(item.fence)
    if found is None or found.finished:
        return _refuse(f"order {item.fence} isn't open")
    if found.begun:
        if found.agent == item.agent:
            return outcome.Done(found.upstream, item.fence)
        return _refuse(f"order {item.fence} is given to another run")
    for fence, other in state.orders.items():
        if other.upstream == found.upstream and other.begun:
            if fence > item.fence:
                return _refuse(f"order {fence} of the upstream is newer")
            if not other.finished:
                return _refuse(f"order {fence} of the upstream isn't ended")
    if found.action == LOAD and count_loads(state) >= read_load_limit(state):
        message = "as many loads run as the weight store may serve"
        return outcome.Refused(error.Kind.OVERLOADED, message)
    state.orders[item.fence] = found._replace(begun=item.at, agent=item.agent)
    return outcome.Done(found.upstream, item.fence)


def _refuse(message: str) -> outcome.Refused:
    return outcome.Refused(error.Kind.CONFLICT, message)


def count_loads(state: record.State) -> int:
    """Return how many weight loads are running in the fleet."""
    return sum(
        1
        for found in state.orders.values()
        if found.action == LOAD and found.begun and not found.finished
    )


def read_load_limit(state: record.State) -> int:
    """Return how many weight loads the configuration in force allows at once."""
    return record.read_fleet(state).policy.parallel_loads


def finish(
    state: record.State, item: command.FinishOrder
) -> outcome.Done | outcome.Refused:
    """Record how an order ended; the first report is final."""
    found = state.orders.get(item.fence)
    if found is None or found.finished:
        return _refuse(f"order {item.fence} isn't open")
    state.orders[item.fence] = found._replace(finished=item.at, failure=item.failure)
    return outcome.Done(found.upstream, item.fence)

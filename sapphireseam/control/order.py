"""Apply orders to upstreams: number them, begin them in order, end them.

An order's fencing number is its place in the log. Orders of one upstream are
begun one at a time, and none after a newer one was. Each begin names one run
of an agent, so nothing that an agent forgets in a restart can let an old order
through: whoever carries an order out has had its begin committed just before.
"""

from sapphireseam.control import record
from sapphireseam.core import command, error, outcome

# Orders that are kept; ended ones go first.
ORDER_LIMIT = 10_000
LOAD = "load"
# The default of `fleet.Policy.parallel_loads`.
PARALLEL_LOADS = 2


def issue(
    state: record.State, item: command.IssueOrder, index: int
) -> outcome.Done | outcome.Refused:
    """Number an order by its place in the log."""
    if len(state.orders) >= ORDER_LIMIT and not _forget_ended(state):
        message = "too many orders wait to be carried out"
        return outcome.Refused(error.Kind.OVERLOADED, message)
    state.orders[index] = record.Order(
        item.upstream, item.action, item.argument, item.at
    )
    return outcome.Done(item.upstream, index)


def _forget_ended(state: record.State) -> bool:
    """Forget the oldest ended order that a newer one of its upstream follows."""
    newest = {found.upstream: fence for fence, found in state.orders.items()}
    for fence, found in state.orders.items():
        if found.finished and newest[found.upstream] != fence:
            del state.orders[fence]
            return True
    return False


def find_next(state: record.State, upstream: str) -> int:
    """Return the oldest open order of an upstream, or 0."""
    fences = (
        fence
        for fence, found in state.orders.items()
        if found.upstream == upstream and not found.finished
    )
    return min(fences, default=0)


def begin(
    state: record.State, item: command.BeginOrder
) -> outcome.Done | outcome.Refused:
    """Give an order to one run of an agent, if it may be carried out now."""
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
    if found.action == LOAD and count_loads(state) >= read_limit(state):
        message = "as many loads run as the weight store may serve"
        return outcome.Refused(error.Kind.OVERLOADED, message)
    state.orders[item.fence] = found._replace(begun=item.at, agent=item.agent)
    return outcome.Done(found.upstream, item.fence)


def _refuse(message: str) -> outcome.Refused:
    return outcome.Refused(error.Kind.CONFLICT, message)


def count_loads(state: record.State) -> int:
    """Return how many loads are under way in the fleet."""
    return sum(
        1
        for found in state.orders.values()
        if found.action == LOAD and found.begun and not found.finished
    )


def read_limit(state: record.State) -> int:
    """Return how many loads may run at once by the configuration in force."""
    document = record.decode_document(record.read_document(state))
    return document.get("policy", {}).get("parallel_loads", PARALLEL_LOADS)


def finish(
    state: record.State, item: command.FinishOrder
) -> outcome.Done | outcome.Refused:
    """Record how an order ended; the first word counts."""
    found = state.orders.get(item.fence)
    if found is None or found.finished:
        return _refuse(f"order {item.fence} isn't open")
    state.orders[item.fence] = found._replace(finished=item.at, failure=item.failure)
    return outcome.Done(found.upstream, item.fence)

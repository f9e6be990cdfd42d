"""Gives orders to upstreams and lists their outcomes."""

import secrets

from sapphireseam.core import command, message
from sapphireseam.ops import upstream as upstreams
from sapphireseam.ops.operator import Operator


async def give(operator: Operator, upstream: str, action: str, argument: str) -> int:
    """Commit an order for an upstream and return its fencing number."""
    await upstreams.require(operator, upstream)
    request = f"order-{upstream}-{secrets.token_hex(8)}"
    at = operator.read_time()
    item = command.IssueOrder(request, upstream, action, argument, at)
    return (await operator.client.propose(item)).number


async def list_all(operator: Operator, upstream: str = "") -> list[message.OrderView]:
    """Return the orders of one upstream, or of all upstreams, newest first."""
    reply = await operator.client.call(message.ListOrders(upstream))
    return list(reply.orders)


def describe_state(order: message.OrderView) -> str:
    """Return the state of an order: waits, runs, done or failed."""
    if order.finished:
        return f"failed: {order.failure}" if order.failure else "done"
    return "runs" if order.begun else "waits"

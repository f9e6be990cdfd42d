"""Marks upstreams as leaving, so that they get no new work, and removes the mark."""

import secrets

from sapphireseam.core import command, error, jsontext
from sapphireseam.ops import configuration
from sapphireseam.ops.operator import Operator


async def require(operator: Operator, upstream: str) -> None:
    """Raise an error that lists the known names if the upstream is unknown."""
    view = await configuration.read(operator)
    known = jsontext.parse(view.document).get("upstreams", {})
    if upstream not in known:
        text = f"unknown upstream {upstream!r}; known: {', '.join(known) or 'none'}"
        raise error.RequestError(text, error.Kind.OBJECT_UNKNOWN)


async def mark_leaving(operator: Operator, upstream: str, leaving: bool) -> None:
    """Mark an upstream as leaving, or remove the mark."""
    if leaving:
        await require(operator, upstream)
    request = f"leaving-{upstream}-{secrets.token_hex(8)}"
    item = command.MarkLeaving(request, upstream, leaving, operator.read_time())
    await operator.client.propose(item)

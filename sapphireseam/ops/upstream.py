"""Take upstreams out of service and put them back."""

import json
import secrets

from sapphireseam.core import command, error
from sapphireseam.ops import configuration
from sapphireseam.ops.operator import Operator


async def require(operator: Operator, upstream: str) -> None:
    """Raise with the names there are, unless the configuration has this one."""
    view = await configuration.read(operator)
    known = json.loads(view.document).get("upstreams", {})
    if upstream not in known:
        text = f"no upstream {upstream!r}; there are: {', '.join(known) or 'none'}"
        raise error.RequestError(text, error.Kind.OBJECT_UNKNOWN)


async def mark_leaving(operator: Operator, upstream: str, leaving: bool) -> None:
    """Put an upstream on the list of leaving ones, or take it off."""
    if leaving:
        await require(operator, upstream)
    request = f"leaving-{upstream}-{secrets.token_hex(8)}"
    item = command.MarkLeaving(request, upstream, leaving, operator.read_time())
    await operator.client.propose(item)

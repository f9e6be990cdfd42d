"""Evacuates failure domains, so that their upstreams get no new work."""

import secrets

from sapphireseam.core import command
from sapphireseam.ops.operator import Operator


async def set_evacuation(
    operator: Operator, domain: str, is_evacuated: bool, is_forced: bool = False
) -> None:
    """Evacuate a failure domain, or take that back.

    Raise `SeamError` if the domain is unknown or a service would have no upstream left,
    unless the order `is_forced`.
    """
    request = f"evacuation-{domain}-{secrets.token_hex(8)}"
    at = operator.read_time()
    item = command.SetEvacuation(request, domain, is_evacuated, at, is_forced=is_forced)
    await operator.client.propose(item)

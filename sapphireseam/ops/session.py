"""Publishes and reads configurations, and issues and withdraws keys, as an operator.

`seam-ctl`, the demo and the tests use the same functions, so a program can do
everything that the command line does.
"""

import json
import secrets
from typing import Any

from sapphireseam.core import command, key, message, outcome
from sapphireseam.utils import rpc
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.timer import TimerService


def connect(
    addresses: tuple[str, ...], operator_key: str, timer: TimerService
) -> ControlClient:
    """Return a client that authenticates with the operator key."""
    return ControlClient(addresses, (rpc.OPERATOR_HEADER, operator_key), timer)


async def publish(
    client: ControlClient,
    document: dict[str, Any],
    base: int,
    at: float,
    note: str = "",
    request: str = "",
) -> outcome.Done:
    """Publish a configuration over the revision `base`."""
    request = request or f"publish-{secrets.token_hex(8)}"
    encoded = json.dumps(document, sort_keys=True).encode()
    return await client.propose(command.Publish(request, base, encoded, at, note))


async def read_fleet(client: ControlClient, revision: int = 0) -> message.FleetView:
    """Return a published configuration, the one in force by default."""
    return await client.call(message.ReadFleet(revision))


async def issue_key(
    client: ControlClient, customer: str, at: float, secret: key.Secret | None = None
) -> key.Secret:
    """Issue a key, a new one by default; its text is only in the return value."""
    secret = secret or key.generate()
    item = command.IssueKey(
        f"issue-{secret.id}", secret.id, customer, key.digest(secret.text), at
    )
    await client.propose(item)
    return secret


async def withdraw_key(client: ControlClient, key_id: str, at: float) -> None:
    """Withdraw a key."""
    request = f"withdraw-{key_id}-{secrets.token_hex(4)}"
    await client.propose(command.WithdrawKey(request, key_id, at))

"""Issue, withdraw and list callers' keys."""

import secrets

from sapphireseam.core import command, error, key, message
from sapphireseam.ops.operator import Operator


async def issue(operator: Operator, customer: str) -> key.Secret:
    """Issue a key; its text exists nowhere but in the answer."""
    secret = key.generate()
    request = f"issue-{secret.id}"
    digest = key.digest(secret.text)
    item = command.IssueKey(request, secret.id, customer, digest, operator.read_time())
    try:
        await operator.client.propose(item)
    except error.ControlError as failure:
        text = (
            f"{failure.message}. If key {secret.id} shows up in `seam-ctl key list`,"
            " withdraw it, and issue another: its secret is lost"
        )
        raise error.ControlError(text) from None
    return secret


async def withdraw(operator: Operator, key_id: str) -> str:
    """Withdraw a key by its id or by its whole text; return the id."""
    key_id = key.read_id(key_id) or key_id
    request = f"withdraw-{key_id}-{secrets.token_hex(8)}"
    item = command.WithdrawKey(request, key_id, operator.read_time())
    await operator.client.propose(item)
    return key_id


async def list_all(operator: Operator, customer: str = "") -> list[key.Key]:
    """Return the keys of a customer, or of all."""
    reply = await operator.client.call(message.ListKeys())
    return [item for item in reply.keys if customer in ("", item.customer)]

"""Issues, withdraws and lists callers' keys."""

from sapphireseam.core import error, key, message
from sapphireseam.ops import session
from sapphireseam.ops.operator import Operator


async def issue(operator: Operator, customer: str) -> key.Secret:
    """Issue a key; its text is not stored and is only in the return value."""
    secret = key.generate()
    at = operator.read_time()
    try:
        await session.issue_key(operator.client, customer, at, secret)
    except error.ControlError as failure:
        text = (
            f"{failure.message}. If key {secret.id} is in `seam-ctl key list`,"
            " withdraw it and issue another: its secret is lost"
        )
        raise error.ControlError(text) from None
    return secret


async def withdraw(operator: Operator, key_id: str) -> str:
    """Withdraw a key, given its id or its full text, and return the id."""
    key_id = key.read_id(key_id) or key_id
    await session.withdraw_key(operator.client, key_id, operator.read_time())
    return key_id


async def list_all(operator: Operator, customer: str = "") -> list[key.Key]:
    """Return the keys of one customer, or of all customers."""
    reply = await operator.client.call(message.ListKeys())
    return [item for item in reply.keys if customer in ("", item.customer)]

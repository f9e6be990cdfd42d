"""Change which control VMs hold the replicated state."""

from sapphireseam.core import error, message
from sapphireseam.ops import status
from sapphireseam.ops.operator import Operator

# A learner first fetches the whole state, so a promotion may take long.
CHANGE_SECONDS = 60.0


async def list_all(operator: Operator) -> dict[str, message.MemberView]:
    """Return the members by name, as the control VM that knows most sees them."""
    answers = await status.query_all(operator)
    views = [item for item in answers.values() if isinstance(item, message.Status)]
    if not views:
        raise next(iter(answers.values()))
    return {member.name: member for member in status.find_newest(views).members}


async def find(operator: Operator, name: str) -> message.MemberView:
    """Return a member, or raise with the names there are."""
    members = await list_all(operator)
    if name not in members:
        text = f"no member {name!r}; there are: {', '.join(members)}"
        raise error.RequestError(text, error.Kind.OBJECT_UNKNOWN)
    return members[name]


async def add(operator: Operator, name: str, address: str) -> None:
    """Add a control VM as a learner, which counts towards no quorum.

    One that is there already at this address is left as it is, so that the
    command can be repeated after a lost answer.
    """
    try:
        await operator.client.call(message.AddMember(name, address), CHANGE_SECONDS)
    except error.SeamError as failure:
        if failure.kind is not error.Kind.CONFLICT:
            raise
        held = (await list_all(operator)).get(name)
        if held is None or held.address != address:
            raise


async def promote(operator: Operator, name: str) -> None:
    """Make a learner a voter once it holds all that is committed."""
    await find(operator, name)
    await operator.client.call(message.Promote(name), CHANGE_SECONDS)


async def remove(operator: Operator, name: str) -> None:
    """Remove a control VM from the members."""
    await operator.client.call(message.RemoveMember(name), CHANGE_SECONDS)

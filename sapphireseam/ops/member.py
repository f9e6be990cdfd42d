"""Lists and changes the control VMs that replicate the state."""

from sapphireseam.core import error, message
from sapphireseam.ops import status
from sapphireseam.ops.operator import Operator

# A promotion waits until the learner has fetched the whole state, and that may take
# long.
CHANGE_TIMEOUT_SECONDS = 60.0


async def list_all(operator: Operator) -> dict[str, message.MemberView]:
    """Return the members by name, from the newest view of a control VM."""
    answers = await status.query_all(operator)
    views = [item for item in answers.values() if isinstance(item, message.Status)]
    if not views:
        raise next(iter(answers.values()))
    return {member.name: member for member in status.find_newest(views).members}


async def find(operator: Operator, name: str) -> message.MemberView:
    """Return a member, or raise an error that lists the known names."""
    members = await list_all(operator)
    if name not in members:
        text = f"unknown member {name!r}; known members: {', '.join(members)}"
        raise error.RequestError(text, error.Kind.OBJECT_UNKNOWN)
    return members[name]


async def add(operator: Operator, name: str, address: str) -> None:
    """Add a control VM as a learner, which does not count towards the quorum.

    Nothing changes if the member exists with this address, so that the command
    can be repeated after a lost answer.
    """
    try:
        await operator.client.call(
            message.AddMember(name, address), CHANGE_TIMEOUT_SECONDS
        )
    except error.SeamError as failure:
        if failure.kind is not error.Kind.CONFLICT:
            raise
        existing = (await list_all(operator)).get(name)
        if existing is None or existing.address != address:
            raise


async def promote(operator: Operator, name: str) -> None:
    """Make a learner a voter once it has all committed entries."""
    await find(operator, name)
    await operator.client.call(message.Promote(name), CHANGE_TIMEOUT_SECONDS)


async def remove(operator: Operator, name: str) -> None:
    """Remove a control VM from the members."""
    await operator.client.call(message.RemoveMember(name), CHANGE_TIMEOUT_SECONDS)

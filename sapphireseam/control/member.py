"""Apply what is decided about control VMs beside the log's own members."""

from sapphireseam.control import record
from sapphireseam.core import command, outcome


def retire(state: record.State, item: command.RetireMember) -> outcome.Done:
    """Note that a control VM is to leave; its address never joins again."""
    state.retired[item.label] = item.address
    return outcome.Done(item.label)

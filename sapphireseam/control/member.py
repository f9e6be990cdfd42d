"""Applies the command that retires a control VM."""

from sapphireseam.control import record
from sapphireseam.core import command, outcome


def retire(state: record.State, item: command.RetireMember) -> outcome.Done:
    """Record that a control VM is retired; it is never added again."""
    state.retired[item.label] = item.address
    return outcome.Done(item.label)

"""Applies changes to the operator key and to the keys of callers."""

from sapphireseam.control import record
from sapphireseam.core import command, error, key, outcome


def set_operator(
    state: record.State, item: command.SetOperator
) -> outcome.Done | outcome.Refused:
    """Store the digest of the operator key; only the first one is accepted."""
    if "operator" in state.texts:
        return outcome.Refused(error.Kind.CONFLICT, "an operator key exists already")
    state.texts["operator"] = item.digest
    return outcome.Done()


def issue(
    state: record.State, item: command.IssueKey
) -> outcome.Done | outcome.Refused:
    """Add a key for a customer that the configuration names."""
    if item.customer not in record.read_fleet(state).customers:
        message = f"no customer {item.customer!r} in the configuration in force"
        return outcome.Refused(error.Kind.OBJECT_UNKNOWN, message)
    if item.id in state.keys:
        return outcome.Refused(error.Kind.CONFLICT, f"key {item.id} exists already")
    state.keys[item.id] = key.Key(item.id, item.customer, item.digest, item.at)
    return outcome.Done(item.id)


def withdraw(
    state: record.State, item: command.WithdrawKey
) -> outcome.Done | outcome.Refused:
    """Withdraw a key; withdrawing it again is no error."""
    found = state.keys.get(item.id)
    if found is None:
        return outcome.Refused(error.Kind.OBJECT_UNKNOWN, f"no key {item.id!r}")
    state.keys[item.id] = found._replace(withdrawn=True)
    return outcome.Done(item.id)

"""Applies the command that evacuates a failure domain or takes that back.

The command is refused if it would probably harm, unless its sender insists: a domain
that nobody knows is a typing error, and one without which a service has no upstream
ends that service. Only the configuration is checked here, since members have no list of
discovered upstreams in common.
"""

from sapphireseam.control import record
from sapphireseam.core import command, error, evacuation, outcome

# Maximum number of evacuated failure domains.
EVACUATION_LIMIT = 1000


def apply(
    state: record.State, item: command.SetEvacuation
) -> outcome.Done | outcome.Refused:
    """Evacuate a domain or take that back.

    The answer names the number of the last change, also if nothing changes.
    """
    number = record.read_evacuated(state).number
    if (item.domain in state.evacuations) == item.is_evacuated:
        return outcome.Done(item.domain, number)
    if item.base not in (-1, number):
        return _refuse(f"the evacuations have changed since change {item.base}")
    if item.is_evacuated:
        refusal = _check(state, item)
        if refusal is not None:
            return refusal
        state.evacuations[item.domain] = evacuation.Evacuation(item.domain, item.at)
    else:
        del state.evacuations[item.domain]
    state.numbers["evacuation"] = number + 1
    return outcome.Done(item.domain, number + 1)


def _check(state: record.State, item: command.SetEvacuation) -> outcome.Refused | None:
    """Return why a domain must not be evacuated, or None."""
    if len(state.evacuations) >= EVACUATION_LIMIT:
        text = f"{EVACUATION_LIMIT} failure domains are evacuated already"
        return outcome.Refused(error.Kind.OVERLOADED, text)
    if item.is_forced:
        return None
    found = record.read_fleet(state)
    if item.domain not in found.failure_domains:
        text = f"unknown failure domain {item.domain!r}; known: "
        names = ", ".join(found.failure_domains) or "none"
        return outcome.Refused(error.Kind.OBJECT_UNKNOWN, text + names)
    places = [
        (each.version or each.service, each.failure_domain)
        for each in found.upstreams.values()
    ]
    before = evacuation.list_deserted(places, state.evacuations)
    after = evacuation.list_deserted(places, {*state.evacuations, item.domain})
    deserted = [name for name in after if name not in before]
    if deserted:
        text = "no upstream would be left of " + ", ".join(deserted)
        return _refuse(text)
    return None


def _refuse(text: str) -> outcome.Refused:
    return outcome.Refused(error.Kind.CONFLICT, text)

"""Says what the changes of a configuration will do, object by object.

The texts are by section and field. They name what changes for callers and processes
once the revision is in force.
"""

from typing import Any, NamedTuple

from sapphireseam.core import fleet
from sapphireseam.ops import configuration

# Sections that are one object instead of a map of names.
SINGLE_SECTIONS = ("bounds", "policy")
ADDED = "(added)"
REMOVED = "(removed)"
UNREAD = "recorded; no process reads it"

_ROUTING = "other requests match the route"
_CALLERS = "other callers may use the model"
_UPSTREAM = "the upstream gets other requests"

# The effect of a change by section and field.
EFFECTS: dict[str, dict[str, str]] = {
    "failure_domains": {
        ADDED: "upstreams may be in it, and operators may evacuate it",
        REMOVED: "it can't be evacuated any more without --force",
        "region": UNREAD,
        "distances": "entries may prefer other replicas",
    },
    "contracts": {
        ADDED: "customers may have it",
        REMOVED: "no customer has it any more",
        "rate": "the rate limit of its customers changes",
        "burst": "its customers may send more or fewer requests at once",
        "weight": "its customers get another share of a busy fleet",
    },
    "customers": {
        ADDED: "keys of the customer are accepted",
        REMOVED: "requests with its keys are refused",
        "contract": "the customer's rate limit and weight change",
        "keys": "added keys are accepted, removed ones refused",
        "rank": "the customer's requests wait for a slot in another order",
    },
    "models": {
        ADDED: "callers may request the model",
        REMOVED: "requests for the model are refused",
        "version": "new requests for the model go to upstreams of another version",
        "customers": _CALLERS,
    },
    "versions": {
        ADDED: "models and upstreams may name it",
        REMOVED: "no model or upstream names it any more",
        "model": "the version belongs to another model",
        "weights": UNREAD,
        "gigabytes": UNREAD,
        "parent": UNREAD,
    },
    "routes": {
        ADDED: "requests that match its path go to it",
        REMOVED: "its requests go to a route with a shorter path or are refused;"
        " waiting items of its bulk jobs are abandoned",
        "path": _ROUTING,
        "host": _ROUTING,
        "service": "requests of the route go to another service",
        "shares": "requests of the route are split otherwise between services",
        "streamed": "answers of the route are or aren't events",
        "batch": "the limits of the route's new bulk jobs change, or whether it takes"
        " them",
        "target": "requests of the route are late after another time",
        "pause": UNREAD,
        "attempts": "a failed request is sent to more or fewer discovered upstreams",
        "rank": "requests of the route wait for a slot in another order",
        "methods": "entries with upstreams of their own accept other methods",
        "open": "callers without a key are or aren't served",
        "idempotent": "whether a request may be sent upstream again changes",
        "timeout": "requests of the route end after another time",
        "body_limit": "entries with upstreams of their own accept larger or only"
        " smaller bodies",
        "retry_ratio": "entries with upstreams of their own retry more or less",
    },
    "upstreams": {
        ADDED: "entries connect to its agent and send it requests",
        REMOVED: "it gets no new request; open ones end",
        "failure_domain": "it fails and is evacuated with another failure domain",
        "address": "its agent sends requests to another address",
        "agent": "entries connect to another agent; open requests end first",
        "version": _UPSTREAM,
        "service": _UPSTREAM,
        "slots": "it runs more or fewer requests at once",
        "checks_fence": UNREAD,
    },
    "services": {
        ADDED: "routes may name it; its upstreams get its own probe and limits",
        REMOVED: "its upstreams get the default probe and limits",
        "connections": UNREAD,
        "probe_path": "upstreams that failed are probed at another path",
        "tells_load": "whether answers to probes are read as load changes",
        "ejects_outliers": "whether upstreams that fail again and again rest longer"
        " changes",
        "fair": "whether customers share the service by weight changes",
        "cold_rate": "cold upstreams get more or fewer requests",
        "cold_seconds": "upstreams are cold for another time after their start",
    },
    "bounds": {
        "header_bytes": "larger or only smaller paths and headers are accepted",
        "body_bytes": "larger or only smaller bodies are accepted",
        "idle": UNREAD,
        "head": "slow heads of requests are cut after another time",
    },
    "policy": {
        "queue": "waiting requests are taken in another order at every upstream",
        "admission": "upstreams run another number of requests at once",
        "router": "entries choose replicas in another way",
        "queue_limit": "more or fewer requests may wait at each upstream",
        "parallel_loads": "more or fewer weight loads run at once",
    },
}


class FieldChange(NamedTuple):
    """The changed values of one field, or of a whole object, and their effect."""

    field: str
    effect: str
    values: list[configuration.Change]


class ObjectChange(NamedTuple):
    """All changes of one object, such as `routes.chat`."""

    source: str
    fields: list[FieldChange]


def list_objects(old: dict[str, Any], new: dict[str, Any]) -> list[ObjectChange]:
    """Return the differences between two configurations by object.

    >>> old = {"contracts": {"c": {"rate": 1, "burst": 5}}}
    >>> new = {"contracts": {"c": {"rate": 2, "burst": 5}}}
    >>> [(each.source, each.fields[0].effect) for each in list_objects(old, new)]
    [('contracts.c', 'the rate limit of its customers changes')]
    """
    before, after = configuration.normalize(old), configuration.normalize(new)
    objects = []
    for section, names in fleet.diff(before, after).items():
        former, current = before.get(section, {}), after.get(section, {})
        if section in SINGLE_SECTIONS:
            objects.append(_compare(section, section, former, current))
            continue
        for name in names:
            source = f"{section}.{name}"
            pair = former.get(name), current.get(name)
            objects.append(_compare(section, source, *pair))
    return objects


def _compare(section: str, source: str, old: Any, new: Any) -> ObjectChange:
    effects = EFFECTS.get(section, {})
    if old is None or new is None:
        field = ADDED if old is None else REMOVED
        change = configuration.Change(source, old, new)
        return ObjectChange(
            source, [FieldChange(field, effects.get(field, ""), [change])]
        )
    fields = []
    for field in sorted(old.keys() | new.keys()):
        path = f"{source}.{field}"
        values = configuration.list_changes(old.get(field), new.get(field), path)
        if values:
            fields.append(FieldChange(field, effects.get(field, ""), values))
    return ObjectChange(source, fields)

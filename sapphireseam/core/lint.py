"""Finds what is valid in a configuration but has no effect or contradicts itself.

`fleet.check` refuses what can't be published. The rules here only warn, and each one
holds whatever the deployment is: what depends on settings, on discovery or on issued
keys is no finding. Nothing here needs a network.
"""

from collections.abc import Callable, Iterator
from enum import StrEnum
from functools import partial
from typing import Any, NamedTuple

from sapphireseam.core import fleet

# The rule of a finding without which a configuration can't be published.
INVALID = "invalid"
# Shown in place of a value that may be a key, or is too much to show.
HIDDEN = "(not shown)"
MAX_ENTRY_LENGTH = 200
STEP_NOTE = "; fine as a step of a rollout"

# What the parser says of a field that it doesn't know, which may be anything.
_UNKNOWN_FIELD = "Extra inputs are not permitted"
# The last parts of the places in a customer whose values are no keys.
_PUBLIC_PARTS = ("contract", "rank", "[key]")


class Severity(StrEnum):
    """Whether a configuration with a finding is refused."""

    ERROR = "error"
    WARNING = "warning"


class Finding(NamedTuple):
    """One finding: the rule, the object and field, the fault and the value found."""

    severity: Severity
    rule: str
    source: str
    message: str
    entry: Any


class Rule(NamedTuple):
    """A kind of warning; `find` returns its findings in a valid configuration.

    With `is_step`, a sound rollout may have them for a while: something is there before
    or after what uses it.
    """

    name: str
    means: str
    find: Callable[[fleet.Fleet], Iterator[fleet.Finding]]
    is_step: bool = False

    def note(self, item: fleet.Finding) -> Finding:
        """Return a warning, which says whether it is fine in a rollout."""
        message = item.message + STEP_NOTE if self.is_step else item.message
        return Finding(Severity.WARNING, self.name, item.source, message, item.entry)


def check(document: Any) -> list[Finding]:
    """Return every finding about a JSON document.

    Warnings presume that references lead somewhere, so there are none beside errors.

    >>> [item.rule for item in check({"contracts": {"c": {"rate": 1, "burst": 5}}})]
    ['unused-contract']
    """
    parsed, findings = fleet.parse(document)
    if parsed is not None:
        findings = fleet.check_objects(document, parsed) + findings
    if parsed is None or findings:
        return [make_error(*item) for item in findings]
    return list_warnings(parsed)


def make_error(source: str, message: str, entry: Any) -> Finding:
    """Return an error without what may be a key in it, and of bounded length.

    An operator may have written a key in place of its digest.
    """
    if _may_hold_key(source, message, entry):
        entry = HIDDEN
    elif isinstance(entry, str):
        entry = entry[:MAX_ENTRY_LENGTH]
    source = source[: fleet.MAX_SOURCE_LENGTH]
    return Finding(Severity.ERROR, INVALID, source, message, entry)


def _may_hold_key(source: str, message: str, entry: Any) -> bool:
    # Control VMs render lists and objects as text.
    if entry and str(entry)[0] in "{[(" or message == _UNKNOWN_FIELD:
        return True
    section = source.removeprefix("(whole).").partition(".")[0]
    if section != "customers":
        # The place begins with a number if the whole document is a list.
        return section.isdigit()
    # Of a key of two customers, the entry is the name of the other one.
    is_name = message.startswith("has a key of ")
    return not is_name and source.rpartition(".")[2] not in _PUBLIC_PARTS


def list_warnings(current: fleet.Fleet) -> list[Finding]:
    """Return the warnings about a valid configuration, in the order of the rules."""
    return [rule.note(item) for rule in RULES for item in rule.find(current)]


def _serves_models(route: fleet.Route) -> bool:
    return not route.service and not route.shares


def _list_model_routes(current: fleet.Fleet) -> list[fleet.Route]:
    return [route for route in current.routes.values() if _serves_models(route)]


def _find_hidden_routes(current: fleet.Fleet) -> Iterator[fleet.Finding]:
    # Only a path that ends in a slash matches others that are no longer than itself.
    # The winner of those is kept by the path without its slashes, and the host.
    wide: dict[tuple[str, str], str] = {}
    for name, route in current.routes.items():
        if route.path.endswith("/"):
            place = route.path.rstrip("/"), route.host
            held = wide.setdefault(place, name)
            wide[place] = max(held, name, key=partial(_weigh, current))
    lengths = {len(base) for base, _ in wide}
    for name, route in current.routes.items():
        bases = [route.path[:n] for n in lengths if route.path.startswith("/", n)]
        places = [(base, host) for base in bases for host in {"", route.host}]
        rivals = [wide[place] for place in places if place in wide]
        winner = max([name, *rivals], key=partial(_weigh, current))
        if winner != name:
            message = f"is hidden by route {winner}, which matches all its requests"
            yield fleet.Finding(f"routes.{name}.path", message, route.path)


def _weigh(current: fleet.Fleet, name: str) -> tuple[int, bool, str]:
    return fleet.weigh_route(name, current.routes[name])


def _find_model_hosts(current: fleet.Fleet) -> Iterator[fleet.Finding]:
    for name, route in current.routes.items():
        if route.host and _serves_models(route):
            message = "matches nothing: requests for models are routed without a host"
            yield fleet.Finding(f"routes.{name}.host", message, route.host)


def _find_doubled_services(current: fleet.Fleet) -> Iterator[fleet.Finding]:
    for name, route in current.routes.items():
        if route.service and route.shares:
            message = "is given beside shares: an entry uses only one of them"
            yield fleet.Finding(f"routes.{name}.service", message, route.service)


def _find_routes_without_model(current: fleet.Fleet) -> Iterator[fleet.Finding]:
    for name, route in current.routes.items():
        if _serves_models(route) and not current.models:
            message = "names no service, and there is no model"
            yield fleet.Finding(f"routes.{name}.service", message, route.service)


def _find_unused_contracts(current: fleet.Fleet) -> Iterator[fleet.Finding]:
    used = {customer.contract for customer in current.customers.values()}
    for name in current.contracts:
        if name not in used:
            yield fleet.Finding(f"contracts.{name}", "no customer has it", name)


def _find_idle_customers(current: fleet.Fleet) -> Iterator[fleet.Finding]:
    routes = current.routes.values()
    # Jobs on an open route, too, belong to the customer who sends them.
    if not all(_serves_models(route) for route in routes):
        return
    for name in current.customers:
        may_use_models = any(
            not model.customers or name in model.customers
            for model in current.models.values()
        )
        if not routes or not may_use_models:
            message = "no route or model is for it"
            yield fleet.Finding(f"customers.{name}", message, name)


def _find_idle_models(current: fleet.Fleet) -> Iterator[fleet.Finding]:
    routes = _list_model_routes(current)
    has_open_route = any(route.open for route in routes)
    for name, model in current.models.items():
        if not routes:
            message = "no route serves models, so nobody may call it"
        elif not current.customers and not has_open_route:
            message = "every route needs a key and there is no customer"
        else:
            continue
        yield fleet.Finding(f"models.{name}", message, model.version)


def _find_models_without_upstream(current: fleet.Fleet) -> Iterator[fleet.Finding]:
    for name, model in current.models.items():
        if not fleet.list_upstreams(current, model=name):
            message = "no upstream has this version, so no request is answered"
            yield fleet.Finding(f"models.{name}.version", message, model.version)


def _find_unused_versions(current: fleet.Fleet) -> Iterator[fleet.Finding]:
    used = {model.version for model in current.models.values()}
    used |= {upstream.version for upstream in current.upstreams.values()}
    used |= {version.parent for version in current.versions.values()}
    for name in current.versions:
        if name not in used:
            message = "no model, upstream or other version names it"
            yield fleet.Finding(f"versions.{name}", message, name)


def _list_route_services(current: fleet.Fleet) -> set[str]:
    """Return every service that a route names, whatever its weight."""
    routes = current.routes.values()
    shares = {share.service for route in routes for share in route.shares}
    return shares | {route.service for route in routes}


def _find_idle_upstreams(current: fleet.Fleet) -> Iterator[fleet.Finding]:
    versions = {model.version for model in current.models.values()}
    services = _list_route_services(current)
    for name, upstream in current.upstreams.items():
        if upstream.version and upstream.version not in versions:
            message = "no model has this version, so it gets no new request"
            source = f"upstreams.{name}.version"
            yield fleet.Finding(source, message, upstream.version)
        elif upstream.service and upstream.service not in services:
            message = "no route names this service, so it gets no request"
            source = f"upstreams.{name}.service"
            yield fleet.Finding(source, message, upstream.service)


def _find_unused_services(current: fleet.Fleet) -> Iterator[fleet.Finding]:
    named = _list_route_services(current)
    for name in current.services:
        if name not in named:
            yield fleet.Finding(f"services.{name}", "no route names it", name)


def _find_weightless_services(current: fleet.Fleet) -> Iterator[fleet.Finding]:
    routes = current.routes.values()
    weighted = {share.service for r in routes for share in r.shares if share.weight}
    weighted |= {route.service for route in routes}
    for name, route in current.routes.items():
        for number, share in enumerate(route.shares):
            if share.service not in weighted:
                message = f"service {share.service} has weight 0 on every route"
                source = f"routes.{name}.shares.{number}.weight"
                yield fleet.Finding(source, message, share.weight)


def _find_short_timeouts(current: fleet.Fleet) -> Iterator[fleet.Finding]:
    for name, route in current.routes.items():
        if route.batch is None and route.timeout < route.target:
            message = f"ends requests before the target of {route.target:g} s"
            yield fleet.Finding(f"routes.{name}.timeout", message, route.timeout)


def _find_short_retention(current: fleet.Fleet) -> Iterator[fleet.Finding]:
    for name, route in current.routes.items():
        if route.batch is not None and route.batch.abandon < route.batch.due:
            message = f"abandons items before they are due, after {route.batch.due:g} s"
            source = f"routes.{name}.batch.abandon"
            yield fleet.Finding(source, message, route.batch.abandon)


def _find_cold_seconds_without_rate(current: fleet.Fleet) -> Iterator[fleet.Finding]:
    for name, service in current.services.items():
        if service.cold_seconds and not service.cold_rate:
            message = "has no effect without a rate for cold upstreams"
            source = f"services.{name}.cold_seconds"
            yield fleet.Finding(source, message, service.cold_seconds)


def _find_missing_distances(current: fleet.Fleet) -> Iterator[fleet.Finding]:
    for name, domain in current.failure_domains.items():
        for other, distance in domain.distances.items():
            # Only entries read distances, so a domain that has none may go without.
            others = current.failure_domains[other].distances
            back = fleet.measure_distance(current, other, name)
            if others and name not in others and distance > back:
                message = f"lacks {name}, which counts as {back:g} ms from here"
                source = f"failure_domains.{other}.distances"
                yield fleet.Finding(source, message, distance)


RULES = (
    Rule(
        "hidden-route",
        "Another route matches every request of the route and wins, so it serves none.",
        _find_hidden_routes,
    ),
    Rule(
        "model-host",
        "A route for models has a `host`. Entries route such requests without one, so"
        " it serves none.",
        _find_model_hosts,
    ),
    Rule(
        "service-and-shares",
        "A route has both a `service` and `shares`, of which an entry uses only one.",
        _find_doubled_services,
    ),
    Rule(
        "route-without-model",
        "A route for models, and there is no model.",
        _find_routes_without_model,
        is_step=True,
    ),
    Rule(
        "unused-contract",
        "No customer has the contract.",
        _find_unused_contracts,
        is_step=True,
    ),
    Rule(
        "idle-customer",
        "No route names a service, and the customer may use no model.",
        _find_idle_customers,
        is_step=True,
    ),
    Rule(
        "idle-model",
        "Nobody may call the model: no route serves models, or each needs a key and"
        " there is no customer.",
        _find_idle_models,
        is_step=True,
    ),
    Rule(
        "model-without-upstream",
        "No upstream has the model's version.",
        _find_models_without_upstream,
        is_step=True,
    ),
    Rule(
        "unused-version",
        "No model, upstream or other version names the version.",
        _find_unused_versions,
        is_step=True,
    ),
    Rule(
        "idle-upstream",
        "No model has the upstream's version, or no route names its service.",
        _find_idle_upstreams,
        is_step=True,
    ),
    Rule(
        "unused-service",
        "No route names the service.",
        _find_unused_services,
        is_step=True,
    ),
    Rule(
        "weightless-service",
        "Routes name the service only in `shares` of weight 0, so it is never chosen.",
        _find_weightless_services,
        is_step=True,
    ),
    Rule(
        "short-timeout",
        "A route's `timeout` is below its `target`.",
        _find_short_timeouts,
    ),
    Rule(
        "short-retention",
        "A batch route's `abandon` is below its `due`.",
        _find_short_retention,
    ),
    Rule(
        "cold-without-rate",
        "`cold_seconds` without a `cold_rate` has no effect.",
        _find_cold_seconds_without_rate,
    ),
    Rule(
        "missing-distance",
        "A failure domain gives distances, but not the one back to a domain that is"
        " more than 1 ms away. It counts as 1 ms.",
        _find_missing_distances,
    ),
)

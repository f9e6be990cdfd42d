"""Defines and checks the configuration of the fleet, which operators publish.

The configuration is one set of named objects that refer to each other. It is checked
as a whole: `check` returns every finding, and a configuration with a finding is never
published. Each section is a plain dictionary from names to objects, so the file that
an operator edits has the same structure as the types here.
"""

import itertools
import math
from typing import Annotated, Any, Literal, NamedTuple, TypeVar

from pydantic import Field, TypeAdapter, ValidationError

from sapphireseam.core import error

T = TypeVar("T")

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Address = Annotated[str, Field(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
Positive = Annotated[float, Field(gt=0, allow_inf_nan=False)]
NotNegative = Annotated[float, Field(ge=0, allow_inf_nan=False)]
Digest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
# Requests of a lower rank are placed first; 0 is the lowest.
Rank = Annotated[int, Field(ge=0, le=1000)]

MEBIBYTE = 1024 * 1024
# The largest number that fits into a message.
MAX_COUNT = 2**63 - 1
# The text of a refusal is stored with its command, so its length is bounded.
MAX_RENDERED_FINDINGS = 100
MAX_SOURCE_LENGTH = 200


class FailureDomain(NamedTuple):
    """A part of a region that fails as a unit.

    `distances` are the round trip times to other failure domains in milliseconds.
    """

    region: Name
    distances: dict[Name, NotNegative] = {}


class Contract(NamedTuple):
    """The rate limit and the weight of each customer that has this contract.

    They apply to the whole fleet. `rate` is in requests per second, `burst` in
    requests. `weight` is the customer's share of a busy fleet relative to other
    customers.
    """

    rate: Positive
    burst: Annotated[float, Field(ge=1, allow_inf_nan=False)]
    weight: Positive = 1.0


class Customer(NamedTuple):
    """A paying tenant; one with an empty `contract` has no rate limit.

    `keys` are digests of the customer's keys, in addition to the keys that the system
    issues. `rank` replaces the rank of every route that the customer calls.
    """

    contract: Name | Literal[""]
    keys: tuple[Digest, ...] = ()
    rank: Rank | None = None


class Model(NamedTuple):
    """A model that callers request by name, and the version that serves it.

    If `customers` is empty, every customer may use the model.
    """

    version: Name
    customers: tuple[Name, ...] = ()


class Version(NamedTuple):
    """One set of weights of a model; `parent` is the version that it adapts."""

    model: Name
    weights: Annotated[str, Field(min_length=1, max_length=200)]
    gigabytes: Positive = 1.0
    parent: Name | Literal[""] = ""


class Share(NamedTuple):
    """The relative share of a route's requests that a service gets."""

    service: Name
    weight: Annotated[float, Field(ge=0, allow_inf_nan=False)] = 1.0


class Batch(NamedTuple):
    """The limits of the batch jobs on a route.

    Results are due `due` seconds after a job was accepted, and an item may be
    abandoned after `abandon` seconds. An item that failed `attempts` times isn't
    retried. `token_limit` bounds the tokens of a customer's waiting items; 0 sets no
    limit.
    """

    due: Positive = 3600.0
    abandon: Positive = 86400.0
    attempts: Annotated[int, Field(ge=1, le=100)] = 3
    token_limit: Annotated[int, Field(ge=0, le=MAX_COUNT)] = 0


class Service(NamedTuple):
    """A group of interchangeable upstreams that are found by discovery.

    `connections` is how many connections one upstream accepts from all callers
    together. An upstream that failed is probed at `probe_path` until it answers. With
    `tells_load`, the answer to a probe lists the requests that the upstream runs. With
    `ejects_outliers`, an upstream that fails again and again rests for longer each time
    before a probe may bring it back. With `fair`, customers share the slots by the
    weights of their contracts when more requests arrive than there are slots.

    A cold upstream gets at most `cold_rate` requests a second from all callers
    together; 0 sets no limit. It is cold for `cold_seconds` after its start, and
    whenever it says so.
    """

    connections: Annotated[int, Field(ge=1, le=MAX_COUNT)] = 64
    probe_path: Annotated[str, Field(pattern=r"^/[!-~]*$")] = "/"
    tells_load: bool = False
    ejects_outliers: bool = False
    fair: bool = False
    cold_rate: NotNegative = 0.0
    cold_seconds: NotNegative = 0.0


class Route(NamedTuple):
    """A path and the upstreams that serve it.

    With `shares`, requests are split between services. Otherwise a route with an
    empty `service` is an OpenAI-compatible one, and the `model` in the request
    selects the upstreams. A route with a `host` serves only that host. With `open`,
    callers need no key. A request on a route that isn't `idempotent` is sent upstream
    at most once. `timeout` is in seconds, `body_limit` in bytes.

    `streamed` routes answer with events, and `batch` routes accept jobs. An answer, or
    the first event of a stream, is on time within `target` seconds. `pause` is the
    longest pause between events in seconds. For both, 0 sets no bound. A request is
    sent to at most `attempts` upstreams. Requests of a lower `rank` are placed first.
    """

    path: Annotated[str, Field(pattern=r"^/[A-Za-z0-9._/-]*$")]
    service: Name | Literal[""] = ""
    host: Annotated[str, Field(max_length=255)] = ""
    shares: tuple[Share, ...] = ()
    streamed: bool = False
    batch: Batch | None = None
    target: NotNegative = 0.0
    pause: NotNegative = 0.0
    attempts: Annotated[int, Field(ge=1, le=100)] = 3
    rank: Rank = 0
    methods: tuple[Literal["GET", "POST", "PUT", "DELETE"], ...] = ("GET", "POST")
    open: bool = False
    idempotent: bool = True
    timeout: Annotated[float, Field(gt=0, le=3600)] = 60.0
    body_limit: Annotated[int, Field(gt=0, le=64 * MEBIBYTE)] = 4 * MEBIBYTE
    retry_ratio: Annotated[float, Field(ge=0, le=1)] = 0.2


class Upstream(NamedTuple):
    """One upstream: its address, its agent and what it serves.

    Either `version` or `service` is set. `slots` is the maximum number of requests
    that the upstream runs at once. `checks_fence` says that the upstream itself
    refuses orders with an old fencing number.
    """

    failure_domain: Name
    address: Address
    agent: Address
    version: Name | Literal[""] = ""
    service: Name | Literal[""] = ""
    slots: Annotated[int, Field(ge=1, le=4096)] = 8
    checks_fence: bool = False


class Bounds(NamedTuple):
    """Limits on a caller's headers and body in bytes, and on times in seconds.

    A request's head must be whole within `head` of its first byte. A connection may be
    `idle` between two requests.
    """

    header_bytes: Annotated[int, Field(ge=1024, le=MAX_COUNT)] = 16 * 1024
    body_bytes: Annotated[int, Field(ge=1, le=MAX_COUNT)] = 64 * MEBIBYTE
    idle: Positive = 75.0
    head: Positive = 10.0


class Policy(NamedTuple):
    """The names of the selected policy implementations, and their limits."""

    queue: Literal["fair", "first_come"] = "fair"
    admission: Literal["adaptive", "fixed"] = "adaptive"
    router: Literal["prefix", "round_robin", "least_loaded"] = "prefix"
    # Maximum number of requests that wait for one upstream; further ones are refused.
    queue_limit: Annotated[int, Field(ge=1, le=100_000)] = 256
    # Maximum number of weight loads at once; more would exceed the weight store's rate.
    parallel_loads: Annotated[int, Field(ge=1, le=1000)] = 2


class Fleet(NamedTuple):
    """A complete configuration; each section maps names to objects."""

    failure_domains: dict[Name, FailureDomain] = {}
    contracts: dict[Name, Contract] = {}
    customers: dict[Name, Customer] = {}
    models: dict[Name, Model] = {}
    versions: dict[Name, Version] = {}
    routes: dict[Name, Route] = {}
    upstreams: dict[Name, Upstream] = {}
    services: dict[Name, Service] = {}
    bounds: Bounds = Bounds()
    policy: Policy = Policy()


class Finding(NamedTuple):
    """One fault in a configuration: the object and field, the fault, and the value."""

    source: str
    message: str
    entry: Any


_adapter = TypeAdapter(Fleet)


def parse(document: Any) -> tuple[Fleet | None, list[Finding]]:
    """Return the fleet in a JSON document and every finding about it.

    If the document doesn't have the structure of a fleet, the fleet is None and the
    findings are only about the structure.
    """
    try:
        fleet = _adapter.validate_python(document)
    except ValidationError as failure:
        findings = [
            Finding(_join_location(item["loc"]), item["msg"], item["input"])
            for item in failure.errors()
        ]
        return None, findings
    return fleet, check(fleet)


def render(fleet: Fleet) -> dict[str, Any]:
    """Return the fleet as a JSON document, the inverse of `parse`."""
    return _adapter.dump_python(_to_plain(fleet), mode="json", warnings=False)


def _to_plain(value: Any) -> Any:
    if hasattr(value, "_asdict"):
        return {name: _to_plain(item) for name, item in value._asdict().items()}
    if isinstance(value, dict):
        return {name: _to_plain(item) for name, item in value.items()}
    if isinstance(value, tuple):
        return [_to_plain(item) for item in value]
    return value


def check(fleet: Fleet) -> list[Finding]:
    """Return a finding for each inconsistency between the objects of a fleet."""
    return [
        *_check_domains(fleet),
        *_check_customers(fleet),
        *_check_models(fleet),
        *_check_version_cycles(fleet),
        *_check_routes(fleet),
        *_check_upstreams(fleet),
    ]


def check_objects(document: Any, value: Any, source: str = "(whole)") -> list[Finding]:
    """Return a finding for each object that a document lists without its names.

    `value` is what was parsed from the document. The parser takes such lists, but the
    differences between two documents are found by the names.
    """
    if hasattr(value, "_asdict"):
        if not isinstance(document, dict):
            return [Finding(source, "must be an object", document)]
        value = value._asdict()
    if isinstance(value, dict):
        pairs = [(name, each, value[name]) for name, each in document.items()]
    elif isinstance(value, tuple):
        pairs = list(zip(itertools.count(), document, value))
    else:
        return []
    return [
        finding
        for name, each, parsed in pairs
        for finding in check_objects(each, parsed, f"{source}.{name}")
    ]


def require(document: Any) -> Fleet:
    """Return the fleet in a document; raise an error with every finding if any."""
    fleet, findings = parse(document)
    if fleet is None or findings:
        raise error.ConfigurationError(render_findings(findings))
    return fleet


def render_findings(findings: list[Finding]) -> str:
    """Return the first findings as text, one on each line."""
    lines = [
        f"{item.source[:MAX_SOURCE_LENGTH]}: {item.message}"
        f" (found {str(item.entry)[:80]!r})"
        for item in findings[:MAX_RENDERED_FINDINGS]
    ]
    if len(findings) > len(lines):
        lines.append(f"and {len(findings) - len(lines)} more findings")
    return "\n".join(lines)


def _join_location(location: tuple[Any, ...]) -> str:
    return ".".join(str(part) for part in location) or "(whole)"


def _check_reference(
    source: str, name: str, section: dict[str, Any], kind: str
) -> list[Finding]:
    if name in section:
        return []
    return [Finding(source, f"names no {kind} that exists", name)]


def _check_domains(fleet: Fleet) -> list[Finding]:
    findings = []
    for name, domain in fleet.failure_domains.items():
        for other in domain.distances:
            source = f"failure_domains.{name}.distances"
            findings += _check_reference(
                source, other, fleet.failure_domains, "failure domain"
            )
    return findings


def _check_customers(fleet: Fleet) -> list[Finding]:
    findings = []
    for name, customer in fleet.customers.items():
        source = f"customers.{name}.contract"
        if customer.contract:
            findings += _check_reference(
                source, customer.contract, fleet.contracts, "contract"
            )
    return findings + _check_customer_keys(fleet)


def _check_customer_keys(fleet: Fleet) -> list[Finding]:
    findings = []
    holders: dict[str, str] = {}
    for name, customer in fleet.customers.items():
        for digest in customer.keys:
            holder = holders.setdefault(digest, name)
            if holder != name:
                message = f"has a key of {holder} too"
                findings.append(Finding(f"customers.{name}.keys", message, holder))
    return findings


def _check_models(fleet: Fleet) -> list[Finding]:
    findings = []
    for name, model in fleet.models.items():
        source = f"models.{name}"
        findings += _check_reference(
            f"{source}.version", model.version, fleet.versions, "version"
        )
        version = fleet.versions.get(model.version)
        if version is not None and version.model != name:
            message = f"is a version of {version.model}"
            findings.append(Finding(f"{source}.version", message, model.version))
        for customer in model.customers:
            findings += _check_reference(
                f"{source}.customers", customer, fleet.customers, "customer"
            )
    for name, version in fleet.versions.items():
        findings += _check_reference(
            f"versions.{name}.model", version.model, fleet.models, "model"
        )
    return findings


def _check_version_cycles(fleet: Fleet) -> list[Finding]:
    findings = []
    # Versions that were looked at, with the version from which they were reached.
    reached: dict[str, str] = {}
    for name, version in fleet.versions.items():
        source = f"versions.{name}.parent"
        if version.parent:
            findings += _check_reference(
                source, version.parent, fleet.versions, "version"
            )
        current = name
        while current in fleet.versions and current not in reached:
            reached[current] = name
            current = fleet.versions[current].parent
        if reached.get(current) == name:
            findings += _list_cycle(fleet, current)
    return findings


def _list_cycle(fleet: Fleet, start: str) -> list[Finding]:
    """Return a finding for each version of a cycle."""
    findings = []
    name = start
    while name != start or not findings:
        source = f"versions.{name}.parent"
        findings.append(Finding(source, "adapts itself in a cycle", name))
        name = fleet.versions[name].parent
    return findings


def _check_routes(fleet: Fleet) -> list[Finding]:
    findings = []
    names: dict[tuple[str, str], str] = {}
    services = {item.service for item in fleet.upstreams.values()}
    services |= fleet.services.keys()
    for name, route in fleet.routes.items():
        location = (route.host, route.path)
        if location in names:
            message = f"is the path of route {names[location]} too"
            findings.append(Finding(f"routes.{name}.path", message, route.path))
        names.setdefault(location, name)
        for service in (route.service, *(share.service for share in route.shares)):
            if service and service not in services:
                message = "names no service that an upstream has"
                findings.append(Finding(f"routes.{name}.service", message, service))
        total = sum(share.weight for share in route.shares)
        if route.shares and not 0 < total < math.inf:
            message = "has weights that add up to 0 or to no number"
            findings.append(Finding(f"routes.{name}.shares", message, total))
        if not route.methods:
            findings.append(Finding(f"routes.{name}.methods", "is empty", []))
    return findings


def _check_upstreams(fleet: Fleet) -> list[Finding]:
    findings = []
    addresses: dict[str, str] = {}
    for name, upstream in fleet.upstreams.items():
        source = f"upstreams.{name}"
        findings += _check_reference(
            f"{source}.failure_domain",
            upstream.failure_domain,
            fleet.failure_domains,
            "failure domain",
        )
        if bool(upstream.version) == bool(upstream.service):
            message = "needs either a version or a service"
            findings.append(Finding(source, message, upstream.version))
        if upstream.version:
            findings += _check_reference(
                f"{source}.version", upstream.version, fleet.versions, "version"
            )
        for field in ("address", "agent"):
            address = getattr(upstream, field)
            port = int(address.rsplit(":", 1)[1])
            if not 0 < port < 65536:
                findings.append(Finding(f"{source}.{field}", "has no port", address))
            if address in addresses:
                message = f"is an address of {addresses[address]} too"
                findings.append(Finding(f"{source}.{field}", message, address))
            addresses.setdefault(address, f"upstream {name}")
    return findings


def diff(old: dict[str, Any], new: dict[str, Any]) -> dict[str, dict[str, Any]]:
    """Return the changes that turn one document into another, by section.

    Each section maps names to their new objects, or to None if the object was removed.

    >>> diff({"models": {"a": 1}}, {"models": {"b": 2}})
    {'models': {'a': None, 'b': 2}}
    """
    changes: dict[str, dict[str, Any]] = {}
    for section in sorted(old.keys() | new.keys()):
        before = old.get(section, {})
        after = new.get(section, {})
        changed = {
            name: after.get(name)
            for name in sorted(before.keys() | after.keys())
            if before.get(name) != after.get(name)
        }
        if changed:
            changes[section] = changed
    return changes


def patch(
    document: dict[str, Any], changes: dict[str, dict[str, Any]]
) -> dict[str, Any]:
    """Return the document with the changes from `diff` applied."""
    result = dict(document)
    for section, changed in changes.items():
        objects = dict(result.get(section, {}))
        for name, value in changed.items():
            if value is None:
                objects.pop(name, None)
            else:
                objects[name] = value
        result[section] = objects
    return result


def list_upstreams(fleet: Fleet, model: str = "", service: str = "") -> list[str]:
    """Return the names of the upstreams that serve a model or a service."""
    if model:
        version = fleet.models[model].version if model in fleet.models else None
        return [n for n, u in fleet.upstreams.items() if u.version == version]
    return [n for n, u in fleet.upstreams.items() if u.service == service]


def measure_distance(fleet: Fleet, origin: str, target: str) -> float:
    """Return the round trip time between two failure domains in milliseconds.

    It is 1.0 if the configuration has no distance for the pair.
    """
    if origin == target:
        return 0.0
    domain = fleet.failure_domains.get(origin)
    if domain is None:
        return 1.0
    return domain.distances.get(target, 1.0)


def weigh_route(name: str, route: Route) -> tuple[int, bool, str]:
    """Return the weight of a route; of those that match a request, the largest wins.

    The longest path wins, then a route with a host, then the last name. The order of
    the routes can't decide: it differs between processes after a change.
    """
    return len(route.path), bool(route.host), name


def path_matches(prefix: str, path: str) -> bool:
    """Return whether a route's path is a prefix of a request's, by whole segments.

    >>> path_matches("/labels", "/labels/7.png"), path_matches("/labels", "/labelsx")
    (True, False)
    """
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")

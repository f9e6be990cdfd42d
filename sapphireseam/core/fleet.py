"""Describe the fleet: the objects that operators publish, by name.

The published configuration is one set of named objects that refer to each
other. It is checked whole: `check` returns every finding, and a set with any
finding is never published. Sections are plain dictionaries from name to
object, so the file that an operator edits has the same shape as the data here.
"""

from typing import Annotated, Any, Literal, NamedTuple, TypeVar

from pydantic import Field, TypeAdapter, ValidationError

from sapphireseam.core import error

T = TypeVar("T")

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Address = Annotated[str, Field(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
Positive = Annotated[float, Field(gt=0, allow_inf_nan=False)]
Digest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
# 0 goes first.
Rank = Annotated[int, Field(ge=0, le=1000)]

MEBIBYTE = 1024 * 1024


class FailureDomain(NamedTuple):
    """Name a part of a region that fails as one.

    `distances` gives the round trip to other failure domains in milliseconds.
    """

    region: Name
    distances: dict[Name, Annotated[float, Field(ge=0)]] = {}


class Contract(NamedTuple):
    """Say what a customer may use, counted over the whole fleet.

    `rate` is in requests per second, `burst` in requests, `weight` is the
    customer's part of a busy fleet relative to other customers.
    """

    rate: Positive
    burst: Annotated[float, Field(ge=1, allow_inf_nan=False)]
    weight: Positive = 1.0


class Customer(NamedTuple):
    """Name who pays: a tenant with a contract; an empty one sets no limit.

    `keys` are digests of keys that came with the configuration, beside those
    that the system issues. `rank` replaces the ranks of the routes it calls.
    """

    contract: Name | Literal[""]
    keys: tuple[Digest, ...] = ()
    rank: Rank | None = None


class Model(NamedTuple):
    """Name a model that callers ask for, and the version that serves it.

    An empty `customers` opens the model to every customer.
    """

    version: Name
    customers: tuple[Name, ...] = ()


class Version(NamedTuple):
    """Name one set of weights of a model; `parent` is the set it adapts."""

    model: Name
    weights: Annotated[str, Field(min_length=1, max_length=200)]
    gigabytes: Positive = 1.0
    parent: Name | Literal[""] = ""


class Share(NamedTuple):
    """Send a part of a route's requests to a service, by weight."""

    service: Name
    weight: Annotated[float, Field(ge=0, allow_inf_nan=False)] = 1.0


class Batch(NamedTuple):
    """Bound the batch jobs of a route.

    Results are due `due` seconds after a job was accepted, and an item may be
    given up after `abandon` seconds. `attempts` is how often an item may fail.
    `token_limit` bounds the tokens of a customer's waiting items; 0 is no limit.
    """

    due: Positive = 3600.0
    abandon: Positive = 86400.0
    attempts: Annotated[int, Field(ge=1, le=100)] = 3
    token_limit: Annotated[int, Field(ge=0)] = 0


class Service(NamedTuple):
    """Name interchangeable upstreams that are found by discovery.

    `connections` is how many one upstream takes from all callers together;
    `probe_path` is asked whether one that failed answers again. Upstreams that
    `tells_load` answer there with how many requests they work on.
    """

    connections: Annotated[int, Field(ge=1)] = 64
    probe_path: Annotated[str, Field(pattern=r"^/\S*$")] = "/"
    tells_load: bool = False


class Route(NamedTuple):
    """Lead a path to the upstreams that answer it.

    With an empty `service` the route is an OpenAI-compatible one, and the
    request's `model` decides; with `shares` its requests are split between
    services. A route with a `host` serves that host only. `open` serves
    callers without a key. A request on a route that isn't `idempotent` is
    handed over at most once. `timeout` is in seconds, `body_limit` in bytes.

    `streamed` routes answer with events, `batch` routes take jobs. `target` is
    within how many seconds an answer, or a stream's first event, is on time,
    and `pause` the longest pause between events; 0 sets none. One request is
    sent to at most `attempts` upstreams. Lower `rank` goes first.
    """

    path: Annotated[str, Field(pattern=r"^/[A-Za-z0-9._/-]*$")]
    service: Name | Literal[""] = ""
    host: Annotated[str, Field(max_length=255)] = ""
    shares: tuple[Share, ...] = ()
    streamed: bool = False
    batch: Batch | None = None
    target: Annotated[float, Field(ge=0)] = 0.0
    pause: Annotated[float, Field(ge=0)] = 0.0
    attempts: Annotated[int, Field(ge=1, le=100)] = 3
    rank: Rank = 0
    methods: tuple[Literal["GET", "POST", "PUT", "DELETE"], ...] = ("GET", "POST")
    open: bool = False
    idempotent: bool = True
    timeout: Annotated[float, Field(gt=0, le=3600)] = 60.0
    body_limit: Annotated[int, Field(gt=0, le=64 * MEBIBYTE)] = 4 * MEBIBYTE
    retry_ratio: Annotated[float, Field(ge=0, le=1)] = 0.2


class Upstream(NamedTuple):
    """Place one replica: its address, its agent and what it serves.

    Either `version` or `service` is set. `slots` is how many requests the
    upstream may run at once at the most. `checks_fence` tells whether it
    refuses orders with an old fencing number by itself.
    """

    failure_domain: Name
    address: Address
    agent: Address
    version: Name | Literal[""] = ""
    service: Name | Literal[""] = ""
    slots: Annotated[int, Field(ge=1, le=4096)] = 8
    checks_fence: bool = False


class Bounds(NamedTuple):
    """Bound what a caller may send, in bytes, and stay idle, in seconds."""

    header_bytes: Annotated[int, Field(ge=1024)] = 16 * 1024
    body_bytes: Annotated[int, Field(ge=1)] = 64 * MEBIBYTE
    idle: Positive = 75.0


class Policy(NamedTuple):
    """Choose each behaviour that varies, by the name of its implementation."""

    queue: Literal["fair", "first_come"] = "fair"
    admission: Literal["adaptive", "fixed"] = "adaptive"
    router: Literal["prefix", "round_robin", "least_loaded"] = "prefix"
    # Requests that wait beside one upstream before new ones are refused.
    queue_limit: Annotated[int, Field(ge=1, le=100_000)] = 256
    # Weight loads that may run at once, within the weight store's rate.
    parallel_loads: Annotated[int, Field(ge=1, le=1000)] = 2


class Fleet(NamedTuple):
    """Hold a whole configuration: each section maps names to objects."""

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
    """Point at one fault: the object and field, what is wrong, the value."""

    source: str
    message: str
    entry: Any


_adapter = TypeAdapter(Fleet)


def parse(document: Any) -> tuple[Fleet | None, list[Finding]]:
    """Return the fleet in a JSON document and every finding about it.

    The fleet is None when the document doesn't have the shape of one; then
    the findings are about its shape only.
    """
    try:
        fleet = _adapter.validate_python(document)
    except ValidationError as failure:
        findings = [
            Finding(_join(item["loc"]), item["msg"], item["input"])
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
    """Return everything that is wrong between the objects of a fleet."""
    return [
        *_check_domains(fleet),
        *_check_customers(fleet),
        *_check_models(fleet),
        *_check_version_cycles(fleet),
        *_check_routes(fleet),
        *_check_upstreams(fleet),
    ]


def require(document: Any) -> Fleet:
    """Return the fleet in a document, or raise with every finding listed."""
    fleet, findings = parse(document)
    if fleet is None or findings:
        raise error.ConfigurationError(render_findings(findings))
    return fleet


def render_findings(findings: list[Finding]) -> str:
    """Return the findings as text, one a line."""
    return "\n".join(
        f"{item.source}: {item.message} (found {str(item.entry)[:80]!r})"
        for item in findings
    )


def _join(place: tuple[Any, ...]) -> str:
    return ".".join(str(part) for part in place) or "(whole)"


def _refer(source: str, name: str, section: dict[str, Any], kind: str) -> list[Finding]:
    if name in section:
        return []
    return [Finding(source, f"names no {kind} that exists", name)]


def _check_domains(fleet: Fleet) -> list[Finding]:
    findings = []
    for name, domain in fleet.failure_domains.items():
        for other in domain.distances:
            source = f"failure_domains.{name}.distances"
            findings += _refer(source, other, fleet.failure_domains, "failure domain")
    return findings


def _check_customers(fleet: Fleet) -> list[Finding]:
    findings = []
    for name, customer in fleet.customers.items():
        source = f"customers.{name}.contract"
        if customer.contract:
            findings += _refer(source, customer.contract, fleet.contracts, "contract")
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
        findings += _refer(
            f"{source}.version", model.version, fleet.versions, "version"
        )
        version = fleet.versions.get(model.version)
        if version is not None and version.model != name:
            message = f"is a version of {version.model}"
            findings.append(Finding(f"{source}.version", message, model.version))
        for customer in model.customers:
            findings += _refer(
                f"{source}.customers", customer, fleet.customers, "customer"
            )
    for name, version in fleet.versions.items():
        findings += _refer(
            f"versions.{name}.model", version.model, fleet.models, "model"
        )
    return findings


def _check_version_cycles(fleet: Fleet) -> list[Finding]:
    findings = []
    for name, version in fleet.versions.items():
        source = f"versions.{name}.parent"
        if version.parent:
            findings += _refer(source, version.parent, fleet.versions, "version")
        seen = {name}
        parent = version.parent
        while parent in fleet.versions and parent not in seen:
            seen.add(parent)
            parent = fleet.versions[parent].parent
        if parent == name:
            findings.append(Finding(source, "adapts itself in a cycle", parent))
    return findings


def _check_routes(fleet: Fleet) -> list[Finding]:
    findings = []
    places: dict[tuple[str, str], str] = {}
    services = {item.service for item in fleet.upstreams.values()}
    services |= fleet.services.keys()
    for name, route in fleet.routes.items():
        place = (route.host, route.path)
        if place in places:
            message = f"is the path of route {places[place]} too"
            findings.append(Finding(f"routes.{name}.path", message, route.path))
        places.setdefault(place, name)
        for service in (route.service, *(share.service for share in route.shares)):
            if service and service not in services:
                message = "names no service that an upstream has"
                findings.append(Finding(f"routes.{name}.service", message, service))
        if route.shares and sum(share.weight for share in route.shares) <= 0:
            message = "has weights that add up to 0"
            findings.append(Finding(f"routes.{name}.shares", message, 0))
        if not route.methods:
            findings.append(Finding(f"routes.{name}.methods", "is empty", []))
    return findings


def _check_upstreams(fleet: Fleet) -> list[Finding]:
    findings = []
    addresses: dict[str, str] = {}
    for name, upstream in fleet.upstreams.items():
        source = f"upstreams.{name}"
        findings += _refer(
            f"{source}.failure_domain",
            upstream.failure_domain,
            fleet.failure_domains,
            "failure domain",
        )
        if bool(upstream.version) == bool(upstream.service):
            message = "needs either a version or a service"
            findings.append(Finding(source, message, upstream.version))
        if upstream.version:
            findings += _refer(
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
    """Return what turns one document into another, section by section.

    Each section maps names to their new objects; None marks one that is gone.

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
    """Return the document with the changes that `diff` found."""
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


def measure_distance(fleet: Fleet, here: str, there: str) -> float:
    """Return the round trip between two failure domains in milliseconds."""
    if here == there:
        return 0.0
    domain = fleet.failure_domains.get(here)
    if domain is None:
        return 1.0
    return domain.distances.get(there, 1.0)


def path_matches(prefix: str, path: str) -> bool:
    """Tell whether a route's path covers a request's, by whole segments.

    >>> path_matches("/labels", "/labels/7.png"), path_matches("/labels", "/labelsx")
    (True, False)
    """
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")

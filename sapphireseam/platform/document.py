"""Translates the platform's configuration into Sapphireseam's.

A configuration that can be parsed but not translated is refused with all its
problems.
"""

import json
from collections import Counter
from collections.abc import Collection
from typing import Annotated, Any, NamedTuple

import msgspec

from sapphireseam.core import error, fleet, jsontext, key

MILLISECONDS_PER_SECOND = 1000.0
# Engines answer this path immediately and without using a slot.
ENGINE_PROBE_PATH = "/report"
METHODS = ("GET", "POST", "PUT", "DELETE")
# The contract under which upstreams may fail although their probes succeed.
HEALTH_CONTRACT = "health"
# The one under which tenants compete for too little room.
PRESSURE_CONTRACT = "pressure"

SAFE = "safe"
UNSAFE = "unsafe"
STREAMING = "streaming"
BATCH = "batch"


class Weighted(msgspec.Struct):
    """The share of a route's requests that goes to one service."""

    service: str
    weight: float


class Route(msgspec.Struct):
    """A route of the platform."""

    name: str
    host: str
    path_prefix: str
    route_type: str = SAFE
    timeout_ms: float = 60_000
    target_latency_ms: float = 0
    gap_target_ms: float = 0
    priority: int = 0
    service: str = ""
    weighted_services: tuple[Weighted, ...] = ()
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    # Time from the first submission of a batch job until its results are due.
    completion_target_ms: float = 0
    # Time after which an item may be abandoned, not how long its results are stored.
    retention_s: float = 0
    # Maximum tokens of a tenant that may wait, not a number of requests.
    cap: int = 0


class Service(msgspec.Struct):
    """A service; one that has an engine generates tokens."""

    name: str
    health_path: str = "/"
    max_connections: int = 64
    engine: dict[str, Any] | None = None
    # The requests per second of a cold replica, and how long a start makes it cold.
    cold_per_s: float = 0
    cold_start_s: float = 0


class Limits(msgspec.Struct):
    """The limits on clients' requests and connections."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class Tenant(msgspec.Struct):
    """A tenant; one without `rate_per_s` has no rate limit."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0
    burst: float = 0


class Document(msgspec.Struct):
    """A complete configuration."""

    version: Annotated[int, msgspec.Meta(ge=0, le=fleet.MAX_COUNT)]
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits = msgspec.field(default_factory=Limits)
    tenants: tuple[Tenant, ...] = ()


class Translated(NamedTuple):
    """The version that the operator gave and the translated JSON document."""

    number: int
    document: bytes


_decoder = msgspec.json.Decoder(Document)


def translate(source: bytes, contracts: Collection[str] = ()) -> Translated:
    """Return the translation of the configuration in a request's body.

    `contracts` names the parts of the platform's rules that bind the deployment. Some
    of them switch on features of the product.

    Raises `ConfigurationError` if it cannot be parsed or translated. References and
    conflicts between its objects are checked when it is published.
    """
    configuration = read(source)
    findings = find_problems(configuration)
    if findings:
        lines = [f"{item.source}: {item.message}" for item in findings]
        raise error.ConfigurationError("\n".join(lines))
    document = {
        "routes": {route.name: _make_route(route) for route in configuration.routes},
        "services": {
            item.name: _make_service(item, contracts) for item in configuration.services
        },
        "customers": {
            item.name: _make_customer(item) for item in configuration.tenants
        },
        "contracts": {
            item.name: _make_contract(item, contracts)
            for item in configuration.tenants
            if item.rate_per_s > 0
        },
        "bounds": {
            "header_bytes": configuration.limits.max_header_bytes,
            "body_bytes": configuration.limits.max_body_bytes,
            "idle": configuration.limits.idle_timeout_ms / MILLISECONDS_PER_SECOND,
            "head": configuration.limits.header_timeout_ms / MILLISECONDS_PER_SECOND,
        },
    }
    return Translated(configuration.version, json.dumps(document).encode())


def read(source: bytes) -> Document:
    """Return a configuration in its own form, or raise `ConfigurationError`."""
    try:
        return jsontext.decode(source, _decoder)
    except jsontext.JsonError as failure:
        raise error.ConfigurationError(f"invalid configuration: {failure}") from None


def find_problems(configuration: Document) -> list[fleet.Finding]:
    """Return the problems that the translation would hide."""
    findings = []
    for section in ("routes", "services", "tenants"):
        counts = Counter(item.name for item in getattr(configuration, section))
        duplicates = sorted(name for name, count in counts.items() if count > 1)
        findings += [
            fleet.Finding(f"{section}.{name}", "is defined twice", name)
            for name in duplicates
        ]
    for route in configuration.routes:
        source = f"routes.{route.name}"
        if route.timeout_ms <= 0:
            message = "must be above 0"
            findings.append(
                fleet.Finding(f"{source}.timeout_ms", message, route.timeout_ms)
            )
        if not route.service and not route.weighted_services:
            findings.append(fleet.Finding(f"{source}.service", "is missing", ""))
        if route.route_type not in (SAFE, UNSAFE, STREAMING, BATCH):
            message = "is no type of routes"
            findings.append(
                fleet.Finding(f"{source}.route_type", message, route.route_type)
            )
    return findings


def _make_route(route: Route) -> dict[str, Any]:
    shares = [
        {"service": item.service, "weight": item.weight}
        for item in route.weighted_services
    ]
    is_streamed = route.route_type == STREAMING
    translated = {
        "path": route.path_prefix,
        "host": route.host,
        "service": "" if shares else route.service,
        "shares": shares,
        "methods": METHODS,
        "open": route.public,
        "idempotent": route.route_type == SAFE or (is_streamed and route.resumable),
        "streamed": is_streamed,
        "timeout": route.timeout_ms / MILLISECONDS_PER_SECOND,
        "target": route.target_latency_ms / MILLISECONDS_PER_SECOND,
        "pause": route.gap_target_ms / MILLISECONDS_PER_SECOND,
        "attempts": max(route.max_attempts, 1),
        "rank": max(route.priority, 0),
    }
    if route.route_type == BATCH:
        translated["batch"] = {
            "due": max(route.completion_target_ms, 1) / MILLISECONDS_PER_SECOND,
            "abandon": max(route.retention_s, 1),
            "attempts": max(route.max_attempts, 1),
            "token_limit": max(route.cap, 0),
        }
    return translated


def _make_service(service: Service, contracts: Collection[str]) -> dict[str, Any]:
    probe = ENGINE_PROBE_PATH if service.engine else service.health_path
    return {
        "connections": service.max_connections,
        "probe_path": probe,
        "tells_load": service.engine is not None,
        "ejects_outliers": HEALTH_CONTRACT in contracts,
        "fair": PRESSURE_CONTRACT in contracts,
        "cold_rate": max(service.cold_per_s, 0),
        "cold_seconds": max(service.cold_start_s, 0),
    }


def _make_contract(tenant: Tenant, contracts: Collection[str]) -> dict[str, Any]:
    translated = {"rate": tenant.rate_per_s, "burst": max(tenant.burst, 1.0)}
    if PRESSURE_CONTRACT in contracts:
        # Tenants share busy services in proportion to their rates.
        translated["weight"] = tenant.rate_per_s
    return translated


def _make_customer(tenant: Tenant) -> dict[str, Any]:
    return {
        "contract": tenant.name if tenant.rate_per_s > 0 else "",
        "keys": [key.digest(text) for text in tenant.api_keys],
        "rank": tenant.priority,
    }

"""Turn the platform's configuration into the product's, with every finding."""

import json
from typing import Any, NamedTuple

import msgspec

from sapphireseam.core import error, key

MILLISECONDS = 1000.0
# Where an engine says at once, without a slot, that it runs.
ENGINE_PROBE_PATH = "/report"
METHODS = ("GET", "POST", "PUT", "DELETE")

SAFE = "safe"
UNSAFE = "unsafe"
STREAMING = "streaming"
BATCH = "batch"


class Weighted(msgspec.Struct):
    """Send a part of a route's requests to a service."""

    service: str
    weight: float


class Route(msgspec.Struct):
    """Hold a route as the platform writes it; times are in milliseconds."""

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
    # How long after a batch job was first sent its results are due.
    completion_target_ms: float = 0
    # After how many seconds an item may be given up; not how long it is kept.
    retention_s: float = 0
    # The tokens of a tenant that may wait; not a number of requests.
    cap: int = 0


class Service(msgspec.Struct):
    """Hold a service; those with an engine make tokens."""

    name: str
    health_path: str = "/"
    max_connections: int = 64
    engine: dict[str, Any] | None = None


class Limits(msgspec.Struct):
    """Bound what clients may send."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class Tenant(msgspec.Struct):
    """Hold a tenant; without `rate_per_s` it has no limit."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0
    burst: float = 0


class Document(msgspec.Struct):
    """Hold a whole configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits = msgspec.field(default_factory=Limits)
    tenants: tuple[Tenant, ...] = ()


class Translated(NamedTuple):
    """Hold the operator's number, and the product's document as JSON."""

    number: int
    document: bytes


_decoder = msgspec.json.Decoder(Document)


def translate(source: bytes) -> Translated:
    """Return the configuration in a request's body.

    Raises `ConfigurationError` for what can't be read or can't be told in the
    product's terms; what is wrong between the objects is found when it is
    published.
    """
    try:
        given = _decoder.decode(source)
    except msgspec.MsgspecError as failure:
        raise error.ConfigurationError(f"can't be read: {failure}") from None
    findings = _check(given)
    if findings:
        raise error.ConfigurationError("\n".join(findings))
    document = {
        "routes": {route.name: _make_route(route) for route in given.routes},
        "services": {item.name: _make_service(item) for item in given.services},
        "customers": {item.name: _make_customer(item) for item in given.tenants},
        "contracts": {
            item.name: {"rate": item.rate_per_s, "burst": max(item.burst, 1.0)}
            for item in given.tenants
            if item.rate_per_s > 0
        },
        "bounds": {
            "header_bytes": given.limits.max_header_bytes,
            "body_bytes": given.limits.max_body_bytes,
            "idle": given.limits.idle_timeout_ms / MILLISECONDS,
        },
    }
    return Translated(given.version, json.dumps(document).encode())


def _check(given: Document) -> list[str]:
    """Return what a translation would hide."""
    findings = []
    for section in (given.routes, given.services, given.tenants):
        names = [item.name for item in section]
        twice = sorted({name for name in names if names.count(name) > 1})
        findings += [f"{name}: stands twice" for name in twice]
    for route in given.routes:
        if route.timeout_ms <= 0:
            findings.append(f"{route.name}: timeout_ms is {route.timeout_ms}")
        if not route.service and not route.weighted_services:
            findings.append(f"{route.name}: names no service")
        if route.route_type not in (SAFE, UNSAFE, STREAMING, BATCH):
            findings.append(f"{route.name}: route_type is {route.route_type!r}")
    return findings


def _make_route(route: Route) -> dict[str, Any]:
    shares = [
        {"service": item.service, "weight": item.weight}
        for item in route.weighted_services
    ]
    is_streamed = route.route_type == STREAMING
    made = {
        "path": route.path_prefix,
        "host": route.host,
        "service": "" if shares else route.service,
        "shares": shares,
        "methods": METHODS,
        "open": route.public,
        "idempotent": route.route_type == SAFE or (is_streamed and route.resumable),
        "streamed": is_streamed,
        "timeout": route.timeout_ms / MILLISECONDS,
        "target": route.target_latency_ms / MILLISECONDS,
        "pause": route.gap_target_ms / MILLISECONDS,
        "attempts": max(route.max_attempts, 1),
        "rank": max(route.priority, 0),
    }
    if route.route_type == BATCH:
        made["batch"] = {
            "due": max(route.completion_target_ms, 1) / MILLISECONDS,
            "abandon": max(route.retention_s, 1),
            "attempts": max(route.max_attempts, 1),
            "token_limit": max(route.cap, 0),
        }
    return made


def _make_service(service: Service) -> dict[str, Any]:
    probe = ENGINE_PROBE_PATH if service.engine else service.health_path
    return {
        "connections": service.max_connections,
        "probe_path": probe,
        "tells_load": service.engine is not None,
    }


def _make_customer(tenant: Tenant) -> dict[str, Any]:
    return {
        "contract": tenant.name if tenant.rate_per_s > 0 else "",
        "keys": [key.digest(text) for text in tenant.api_keys],
        "rank": tenant.priority,
    }

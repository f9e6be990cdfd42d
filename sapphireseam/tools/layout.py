"""Writes the settings and the configuration of a small fleet on one machine.

The demo, tests and measurements run real processes on loopback. This module
writes a settings file for each process and the initial configuration of the
fleet. The shapes have the size of real deployments, except that of the demo.
"""

import json
import random
import socket
import weakref
from pathlib import Path
from typing import Any, NamedTuple

from sapphireseam.core import error

HOST = "127.0.0.1"
OUTGOING_PORTS = Path("/proc/sys/net/ipv4/ip_local_port_range")
FIRST_PORT = 10_240
# Number of ports to try before giving up.
MAX_TRIES = 1000
FLEET_SECRET = "loopback-only-fleet-secret"


class Replicas(NamedTuple):
    """The replicas of a model, or of a plain service."""

    name: str
    count: int
    service: bool = False
    slots: int = 8


class Shape(NamedTuple):
    """The shape of a fleet."""

    region: str
    replicas: tuple[Replicas, ...]
    customers: tuple[str, ...]
    controls: int = 3
    entries: int = 2
    rate: float = 100.0
    burst: float = 200.0


class Process(NamedTuple):
    """A program, its settings file and the URL of its health check."""

    program: str
    node: str
    settings: Path
    health: str


class Layout(NamedTuple):
    """Everything that is needed to start a fleet on one machine.

    The ports of its processes are reserved as long as it exists.
    """

    folder: Path
    processes: tuple[Process, ...]
    controls: tuple[str, ...]
    entries: tuple[str, ...]
    configuration: dict[str, Any]
    operator_files: tuple[Path, ...]
    reservations: tuple["PortReservation", ...]


SHANNONSIDE = Shape(
    "ie-south",
    (Replicas("wording-llm", 5), Replicas("label-store", 3, True, 16)),
    tuple(f"grower-{number}" for number in range(1, 9)),
)
BUREAU = Shape(
    "be-central",
    (Replicas("beits-lm", 9), Replicas("post-app", 3, True, 16)),
    tuple(f"workshop-{number}" for number in range(1, 9)),
)
# The fleet of the demo. Two replicas, so that two agents run.
SMALL = Shape(
    "ie-south",
    (Replicas("wording-llm", 1), Replicas("label-store", 1, True)),
    ("grower-1", "grower-2"),
)


class PortReservation:
    """Loopback ports that are kept from other fleets, also while no process listens.

    A bound socket that doesn't listen holds each port. The programs listen beside it,
    because they set SO_REUSEADDR. The ports are released with the object.
    """

    def __init__(self, sockets: list[socket.socket]):
        self.ports = tuple(held.getsockname()[1] for held in sockets)
        weakref.finalize(self, _close, sockets)


def _close(sockets: list[socket.socket]) -> None:
    for held in sockets:
        held.close()


def reserve_ports(count: int) -> PortReservation:
    """Reserve free loopback ports.

    They are below the range from which the kernel takes ports for outgoing
    connections, so the outgoing connections of other processes cannot take them.
    """
    first_outgoing = int(OUTGOING_PORTS.read_text().split()[0])
    sockets: list[socket.socket] = []
    for port in random.sample(range(FIRST_PORT, first_outgoing), MAX_TRIES):
        held = socket.socket()
        try:
            held.bind((HOST, port))
        except OSError:
            held.close()
            continue
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sockets.append(held)
        if len(sockets) == count:
            return PortReservation(sockets)
    _close(sockets)
    raise error.SettingsError(f"fewer than {count} free ports below {first_outgoing}")


def find_ports(count: int) -> tuple[int, ...]:
    """Return loopback ports that were free when checked."""
    return reserve_ports(count).ports


class _AddressAllocator:
    """An allocator of loopback addresses."""

    def __init__(self, reservation: PortReservation):
        self._ports = iter(reservation.ports)

    def take(self) -> str:
        return f"{HOST}:{next(self._ports)}"


def lay_out(folder: Path, shape: Shape, speeds: dict[str, Any] | None = None) -> Layout:
    """Write all settings files to a folder and return the layout.

    `speeds` is written into the settings of the stand-in engines.
    """
    folder.mkdir(parents=True, exist_ok=True)
    upstreams = sum(item.count for item in shape.replicas)
    count = 2 * shape.controls + 2 * shape.entries + 3 * upstreams
    reservation = reserve_ports(count)
    ports = _AddressAllocator(reservation)
    domains = [f"{shape.region}-{letter}" for letter in "abc"]
    processes: list[Process] = []
    controls = [ports.take() for _ in range(shape.controls)]
    for number, address in enumerate(controls):
        processes.append(
            _write_control(folder, number, address, controls, domains, ports)
        )
    entries = [ports.take() for _ in range(shape.entries)]
    for number, address in enumerate(entries):
        processes.append(
            _write_entry(folder, number, address, controls, domains, ports)
        )
    configuration = _describe_base(shape, domains)
    for replicas in shape.replicas:
        for number in range(replicas.count):
            processes += _write_upstream(
                folder,
                replicas,
                number,
                controls,
                domains,
                ports,
                configuration,
                speeds,
            )
    path = folder / "configuration.json"
    path.write_text(json.dumps(configuration, indent=2) + "\n")
    keys = tuple(
        folder / f"control-{number + 1}" / "operator-key"
        for number in range(shape.controls)
    )
    return Layout(
        folder,
        tuple(processes),
        tuple(controls),
        tuple(entries),
        configuration,
        keys,
        (reservation,),
    )


def _write(
    folder: Path, program: str, node: str, health: str, settings: dict[str, Any]
) -> Process:
    path = folder / f"{node}.json"
    path.write_text(json.dumps(settings, indent=2) + "\n")
    return Process(program, node, path, f"http://{health}/health")


def _write_control(
    folder: Path,
    number: int,
    address: str,
    controls: list[str],
    domains: list[str],
    ports: _AddressAllocator,
) -> Process:
    node = f"control-{number + 1}"
    probe = ports.take()
    peers = [
        {"name": f"control-{index + 1}", "address": peer}
        for index, peer in enumerate(controls)
    ]
    settings = {
        "node": node,
        "failure_domain": domains[number % len(domains)],
        "address": address,
        "probe": probe,
        "data_folder": str(folder / node),
        "fleet_secret": FLEET_SECRET,
        "peers": peers,
    }
    return _write(folder, "seam-control", node, probe, settings)


def _write_entry(
    folder: Path,
    number: int,
    address: str,
    controls: list[str],
    domains: list[str],
    ports: _AddressAllocator,
) -> Process:
    node = f"entry-{number + 1}"
    probe = ports.take()
    settings = {
        "node": node,
        "failure_domain": domains[number % len(domains)],
        "address": address,
        "probe": probe,
        "control": controls,
        "fleet_secret": FLEET_SECRET,
    }
    return _write(folder, "seam-entry", node, probe, settings)


def _write_upstream(
    folder: Path,
    replicas: Replicas,
    number: int,
    controls: list[str],
    domains: list[str],
    ports: _AddressAllocator,
    configuration: dict[str, Any],
    speeds: dict[str, Any] | None,
) -> list[Process]:
    """Write the settings of a stand-in upstream and its agent.

    Add the upstream to the configuration.
    """
    name = f"{replicas.name}-{number + 1}"
    domain = domains[number % len(domains)]
    address, agent, probe = ports.take(), ports.take(), ports.take()
    host, port = address.rsplit(":", 1)
    standin: dict[str, Any] = {"name": name, "host": host, "port": int(port)}
    if replicas.service:
        standin["kind"] = "service"
    else:
        standin |= {"kind": "engine", "models": [replicas.name]}
        if speeds:
            standin["speeds"] = speeds
    settings = {
        "node": f"agent-{name}",
        "failure_domain": domain,
        "upstream": name,
        "address": agent,
        "probe": probe,
        "control": controls,
        "fleet_secret": FLEET_SECRET,
    }
    target = "service" if replicas.service else "version"
    configuration["upstreams"][name] = {
        "failure_domain": domain,
        "address": address,
        "agent": agent,
        "slots": replicas.slots,
        target: replicas.name if replicas.service else f"{replicas.name}-1",
    }
    return [
        _write(folder, "seam-upstream", name, address, standin),
        _write(folder, "seam-agent", f"agent-{name}", probe, settings),
    ]


def _describe_base(shape: Shape, domains: list[str]) -> dict[str, Any]:
    """Return a configuration without upstreams."""
    others = {name: 1.0 for name in domains}
    configuration: dict[str, Any] = {
        "failure_domains": {
            name: {
                "region": shape.region,
                "distances": {n: d for n, d in others.items() if n != name},
            }
            for name in domains
        },
        "contracts": {"standard": {"rate": shape.rate, "burst": shape.burst}},
        "customers": {name: {"contract": "standard"} for name in shape.customers},
        "models": {},
        "versions": {},
        "routes": {
            "chat": {"path": "/v1/chat/completions", "methods": ["POST"]},
            "completions": {"path": "/v1/completions", "methods": ["POST"]},
        },
        "upstreams": {},
    }
    for item in shape.replicas:
        if item.service:
            configuration["routes"][item.name] = {
                "path": f"/{item.name}",
                "service": item.name,
                "idempotent": item.name != "post-app",
            }
            continue
        version = f"{item.name}-1"
        configuration["models"][item.name] = {"version": version}
        weights = f"{item.name}.safetensors"
        configuration["versions"][version] = {"model": item.name, "weights": weights}
    return configuration

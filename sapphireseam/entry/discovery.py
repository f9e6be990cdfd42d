"""Build an entry VM's program for upstreams that are found by discovery."""

import random
from collections.abc import Callable
from typing import NamedTuple

from sapphireseam.core.instance import Instance
from sapphireseam.entry.authorizer import Authorizer
from sapphireseam.entry.bulk import BulkJobClient
from sapphireseam.entry.direct import DirectForwarder
from sapphireseam.entry.placer import Placer
from sapphireseam.policy import fallback
from sapphireseam.utils import metric, outbound, rpc
from sapphireseam.utils.application import Application, Part, TaskGroup
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.mirror import Mirror
from sapphireseam.utils.probe import Probe
from sapphireseam.utils.stall import StallWatch
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import SystemTimer, TimerService


class Settings(NamedTuple):
    """Say where one entry VM is and which control VMs it may ask.

    What was last in force is used for `trust` seconds after the control VMs
    were lost. `slack` bounds what customers may use beyond their limits while
    these have no owner.
    """

    node: str
    failure_domain: str
    probe: str
    control: tuple[str, ...]
    fleet_secret: str
    max_stale_seconds: float
    slack: fallback.Slack


class FrontContext(NamedTuple):
    """Hold what a front needs to serve callers."""

    authorizer: Authorizer
    forwarder: DirectForwarder
    bulk_jobs: BulkJobClient
    mirror: Mirror
    client: ControlClient
    timer: TimerService


class _ConnectionKeeper:
    """Close the connections to upstreams that are gone."""

    def __init__(self, upstreams: outbound.Outbound):
        self._upstreams = upstreams
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Do nothing yet."""

    async def stop(self) -> None:
        """Stop closing."""
        await self._tasks.cancel()

    def take(self, instances: tuple[Instance, ...]) -> None:
        """Keep connections to these only."""
        addresses = frozenset(instance.address for instance in instances)
        self._tasks.spawn(self._upstreams.keep_only(addresses))


def build(
    settings: Settings,
    upstreams: outbound.Outbound,
    make_front: Callable[[FrontContext], Part],
    timer: TimerService | None = None,
) -> Application:
    """Return the application; `make_front` makes the part that takes callers."""
    timer = timer or SystemTimer()
    credential = (rpc.FLEET_HEADER, settings.fleet_secret)
    timeline = Timeline(settings.node, timer)
    meter = metric.Meter(settings.node)
    client = ControlClient(settings.control, credential, timer)
    mirror = Mirror(settings.node, "seam-entry", client, timeline, timer)
    reception = Authorizer(mirror, settings.max_stale_seconds)
    placer = Placer(
        settings.node,
        settings.failure_domain,
        client,
        reception.read_contracts,
        settings.slack,
        meter,
        timer,
    )
    connections = _ConnectionKeeper(upstreams)
    placer.on_instances = connections.take
    carrier = DirectForwarder(placer, upstreams, meter, timer, random.Random())
    lots = BulkJobClient(client, timer)
    desk = FrontContext(reception, carrier, lots, mirror, client, timer)

    def describe() -> dict[str, object]:
        return {
            "node": settings.node,
            "revision": mirror.revision,
            "attended": placer.has_leader,
        }

    mirror.report(meter)
    timeline.report(meter)
    application = Application("seam-entry")
    for part in (
        meter,
        Probe(settings.probe, describe, mirror.is_confirmed),
        client,
        upstreams,
        mirror,
        connections,
        placer,
        StallWatch(timer),
        make_front(desk),
    ):
        application.add(part)
    return application

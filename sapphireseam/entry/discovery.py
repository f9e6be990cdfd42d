"""Builds the program of an entry VM whose upstreams are found by discovery."""

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
from sapphireseam.utils.stall import StallDetector
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import SystemTimer, TimerService


class Settings(NamedTuple):
    """The settings of one entry VM.

    The last configuration is used for `max_stale_seconds` after contact with the
    control VMs was lost. `slack` bounds what customers may use beyond their
    limits while no owner of the limits answers.
    """

    node: str
    failure_domain: str
    probe: str
    control: tuple[str, ...]
    fleet_secret: str
    max_stale_seconds: float
    slack: fallback.Slack


class FrontContext(NamedTuple):
    """The objects that an HTTP front needs to serve callers."""

    authorizer: Authorizer
    forwarder: DirectForwarder
    bulk_jobs: BulkJobClient
    mirror: Mirror
    client: ControlClient
    timer: TimerService


class _ConnectionCloser:
    """Close the connections to upstreams that were removed."""

    def __init__(self, upstreams: outbound.ConnectionPool):
        self._upstreams = upstreams
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Do nothing; closing starts with `update`."""

    async def stop(self) -> None:
        """Cancel the closing of connections."""
        await self._tasks.cancel()

    def update(self, instances: tuple[Instance, ...]) -> None:
        """Keep only the connections to these instances."""
        addresses = frozenset(instance.address for instance in instances)
        self._tasks.spawn(self._upstreams.keep_only(addresses))


def build(
    settings: Settings,
    upstreams: outbound.ConnectionPool,
    make_front: Callable[[FrontContext], Part],
    timer: TimerService | None = None,
) -> Application:
    """Return the application; `make_front` makes the part that serves callers."""
    timer = timer or SystemTimer()
    credential = (rpc.FLEET_HEADER, settings.fleet_secret)
    timeline = Timeline(settings.node, timer)
    meter = metric.Meter(settings.node)
    client = ControlClient(settings.control, credential, timer)
    mirror = Mirror(settings.node, "seam-entry", client, timeline, timer)
    authorizer = Authorizer(mirror, settings.max_stale_seconds)
    placer = Placer(
        settings.node,
        settings.failure_domain,
        client,
        authorizer.read_contracts,
        settings.slack,
        meter,
        timer,
    )
    connection_closer = _ConnectionCloser(upstreams)
    placer.on_instances = connection_closer.update
    upstreams.on_leaving = placer.report_leaving
    forwarder = DirectForwarder(placer, upstreams, meter, timer, random.Random())
    bulk_jobs = BulkJobClient(client, timer)
    context = FrontContext(authorizer, forwarder, bulk_jobs, mirror, client, timer)

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
        connection_closer,
        placer,
        StallDetector(timer),
        make_front(context),
    ):
        application.add(part)
    return application

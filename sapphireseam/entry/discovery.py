"""Builds the program of an entry VM whose upstreams are found by discovery."""

import random
from collections.abc import Callable
from typing import NamedTuple

from sapphireseam.core import fleet
from sapphireseam.core.instance import Instance, get_run_name
from sapphireseam.entry.authorizer import Authorizer
from sapphireseam.entry.bulk import BulkJobClient
from sapphireseam.entry.direct import DirectForwarder
from sapphireseam.entry.placer import Placer
from sapphireseam.entry.quarantine import QuarantineGate
from sapphireseam.policy import fallback
from sapphireseam.policy.nearby import NearbyReaders
from sapphireseam.utils import crash, door, metric, outbound, rpc
from sapphireseam.utils.application import Application, Part, TaskGroup
from sapphireseam.utils.ceiling import CeilingMonitor
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.grace import DEFAULT_SECONDS, Grace
from sapphireseam.utils.mirror import Mirror
from sapphireseam.utils.probe import Probe
from sapphireseam.utils.stall import StallDetector
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import SystemTimer, TimerService


class Settings(NamedTuple):
    """The settings of one entry VM.

    The last configuration is used for `max_stale_seconds` after contact with the
    control VMs was lost. `slack` bounds what customers may use beyond their
    limits while no owner of the limits answers. A stop ends within `grace_seconds`.
    With `reads_nearby`, results of bulk jobs are read in the entry's failure domain.
    With `grants_by_use`, an entry without a leader grants customers what they used here
    lately instead of equal parts of their limits.
    """

    node: str
    failure_domain: str
    probe: str
    control: tuple[str, ...]
    fleet_secret: str
    max_stale_seconds: float
    slack: fallback.Slack
    grace_seconds: float = DEFAULT_SECONDS
    reads_nearby: bool = False
    grants_by_use: bool = False


class FrontContext(NamedTuple):
    """The objects that an HTTP front needs to serve callers."""

    authorizer: Authorizer
    forwarder: DirectForwarder
    bulk_jobs: BulkJobClient
    mirror: Mirror
    client: ControlClient
    timer: TimerService
    grace: Grace
    guard: door.Guard


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


class _RunMonitor:
    """Tell whether a run of an upstream has ended unexpectedly.

    The end of a run that leaves is no crash. A run never returns.
    """

    def __init__(self, mirror: Mirror, upstreams: outbound.ConnectionPool):
        self._mirror = mirror
        self._upstreams = upstreams
        # The names of the runs that leave.
        self._names: set[str] = set()

    def update(self, instances: tuple[Instance, ...]) -> None:
        """Add the runs that are listed as leaving."""
        for instance in instances:
            if instance.is_leaving:
                self.add(instance)

    def add(self, instance: Instance) -> None:
        """Add a run that has said that it leaves."""
        self._names.add(crash.get_run(instance).name)

    async def has_ended(self, run: crash.Run) -> bool:
        """Return whether a run has ended unexpectedly."""
        if run.name in self._names:
            return False
        service = self._mirror.fleet.services.get(run.service, fleet.Service())
        return await crash.is_down(
            run.address, service.probe_path, self._upstreams.is_signed
        )


def build(
    settings: Settings,
    upstreams: outbound.ConnectionPool,
    make_front: Callable[[FrontContext], Part],
    timer: TimerService | None = None,
    guard: door.Guard | None = None,
) -> Application:
    """Return the application; `make_front` makes the part that serves callers."""
    timer = timer or SystemTimer()
    guard = guard or door.make_guard(timer)
    grace = Grace(settings.grace_seconds, timer)
    credential = (rpc.FLEET_HEADER, settings.fleet_secret)
    timeline = Timeline(settings.node, timer)
    meter = metric.Meter(settings.node)
    client = ControlClient(settings.control, credential, timer)
    mirror = Mirror(settings.node, "seam-entry", client, timeline, timer)
    authorizer = Authorizer(mirror, settings.max_stale_seconds)
    ceiling_monitor = CeilingMonitor(lambda: mirror.ceilings, client.propose, timer)
    upstreams.ceiling_monitor = ceiling_monitor
    placer = Placer(
        settings.node,
        settings.failure_domain,
        client,
        authorizer.read_contracts,
        settings.slack,
        meter,
        timer,
        ceiling_monitor.read_rates,
        settings.grants_by_use,
        ceiling_monitor.read_cold,
        lambda: mirror.fleet.services,
    )
    mirror.subscribe(lambda: placer.update_shares(mirror.fleet))
    connection_closer = _ConnectionCloser(upstreams)
    run_monitor = _RunMonitor(mirror, upstreams)

    def handle_instances(instances: tuple[Instance, ...]) -> None:
        connection_closer.update(instances)
        run_monitor.update(instances)

    def handle_leaving(instance: Instance) -> None:
        placer.report_leaving(instance)
        run_monitor.add(instance)

    def handle_cold(instance: Instance, seconds: float) -> None:
        service = mirror.fleet.services.get(instance.service, fleet.Service())
        run = get_run_name(instance)
        if seconds and service.cold_rate and run not in ceiling_monitor.read_cold():
            rate = service.cold_rate
            ceiling_monitor.record_cold(instance.id, run, rate, seconds)

    placer.on_instances = handle_instances
    mirror.subscribe(lambda: placer.apply_evacuated(mirror.evacuated))
    upstreams.on_cold = handle_cold
    upstreams.on_leaving = handle_leaving
    gate = QuarantineGate(mirror, client, timer)
    crash_detector = crash.CrashDetector(
        mirror, client, timeline, timer, run_monitor.has_ended
    )
    crash_detector.on_crash = lambda run: placer.record_crash(run.name)
    forwarder = DirectForwarder(
        placer, upstreams, meter, timer, random.Random(), gate, crash_detector, grace
    )
    readers = None
    if settings.reads_nearby:
        readers = NearbyReaders(settings.failure_domain)
        placer.on_control = readers.update
    bulk_jobs = BulkJobClient(client, timer, meter, readers)
    context = FrontContext(
        authorizer, forwarder, bulk_jobs, mirror, client, timer, grace, guard
    )
    guard.read_head_seconds = lambda: authorizer.bounds.head

    def describe() -> dict[str, object]:
        return {
            "node": settings.node,
            "revision": mirror.revision,
            "attended": placer.has_leader,
        }

    mirror.report(meter)
    timeline.report(meter)
    guard.report(meter)
    application = Application("seam-entry", grace)
    for part in (
        meter,
        guard,
        Probe(settings.probe, describe, mirror.is_confirmed, guard),
        client,
        upstreams,
        mirror,
        connection_closer,
        placer,
        gate,
        crash_detector,
        ceiling_monitor,
        StallDetector(timer),
        make_front(context),
    ):
        application.add(part)
    return application

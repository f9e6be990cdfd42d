"""Builds an agent's application from its settings."""

from collections.abc import Callable
from typing import Annotated, NamedTuple

from pydantic import Field

from sapphireseam.agent import engine
from sapphireseam.agent.item import ItemRunner
from sapphireseam.agent.order import OrderRunner
from sapphireseam.agent.scheduler import Scheduler
from sapphireseam.agent.server import EntryServer
from sapphireseam.core import fleet
from sapphireseam.policy import registry
from sapphireseam.utils import door, metric, rpc
from sapphireseam.utils.application import Application
from sapphireseam.utils.ceiling import CeilingMonitor
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.crash import CrashDetector
from sapphireseam.utils.grace import DEFAULT_SECONDS, Grace
from sapphireseam.utils.mirror import Mirror
from sapphireseam.utils.probe import Probe
from sapphireseam.utils.rpc import Role
from sapphireseam.utils.setting import Secret
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import SystemTimer, TimerService


class Settings(NamedTuple):
    """The settings of one agent.

    `upstream` is the name of the upstream that it serves, and `control` lists the
    addresses of the control VMs. A stop ends within `grace_s` seconds. `memory_mb` and
    `max_fds` are what the VM allows the process.
    """

    node: fleet.Name
    failure_domain: fleet.Name
    upstream: fleet.Name
    address: fleet.Address
    probe: fleet.Address
    control: tuple[fleet.Address, ...]
    fleet_secret: Secret
    grace_s: fleet.Positive = DEFAULT_SECONDS
    memory_mb: fleet.Positive | None = None
    max_fds: Annotated[int, Field(ge=1)] | None = None


LEAVING = "the upstream is leaving the fleet"
EVACUATED = "the upstream's failure domain is evacuated"


class ConfigurationFollower:
    """Apply the configuration in force to the upstream client and the scheduler."""

    def __init__(
        self,
        name: str,
        mirror: Mirror,
        upstream: engine.UpstreamClient,
        scheduler: Scheduler,
    ):
        self._name = name
        self._mirror = mirror
        self._upstream = upstream
        self._scheduler = scheduler
        self._weights: dict[str, float] = {}
        self._applied: tuple[fleet.Policy, fleet.Upstream] | None = None
        # Why no work is accepted, empty if it is.
        self._refusal = ""
        mirror.subscribe(self._apply)

    def _apply_refusal(self) -> None:
        """Refuse work while the upstream is leaving or its domain is evacuated."""
        target = self._mirror.fleet.upstreams.get(self._name)
        refusal = ""
        if self._name in self._mirror.leaving:
            refusal = LEAVING
        elif target and self._mirror.evacuated.covers(target.failure_domain):
            refusal = EVACUATED
        if refusal == self._refusal:
            return
        self._refusal = refusal
        if refusal:
            self._scheduler.refuse_all(refusal)
        else:
            self._scheduler.accept_again()

    def _apply(self) -> None:
        self._apply_refusal()
        current = self._mirror.fleet
        target = current.upstreams.get(self._name)
        if target is None:
            self._upstream.set_address("")
            self._upstream.served = ""
            return
        self._upstream.set_address(target.address)
        self._upstream.served = target.version or target.service
        self._scheduler.slots = target.slots
        self._scheduler.queue_limit = current.policy.queue_limit
        self._apply_weights(current)
        self._scheduler.is_service = bool(target.service)
        if self._applied != (current.policy, target):
            self._applied = (current.policy, target)
            self._rebuild(current.policy, target)

    def _apply_weights(self, current: fleet.Fleet) -> None:
        self._weights.clear()
        for name, customer in current.customers.items():
            if customer.contract:
                self._weights[name] = current.contracts[customer.contract].weight

    def _rebuild(self, policy: fleet.Policy, target: fleet.Upstream) -> None:
        names = {"queue": policy.queue, "admission": policy.admission}
        work_queue = registry.build(names, "queue", self._weights)
        options = {}
        if target.service and policy.admission == "adaptive":
            options["batch_prefills"] = target.slots
        admission_policy = registry.build(names, "admission", target.slots, **options)
        self._scheduler.set_policy(work_queue, admission_policy)


def register_metrics(
    meter: metric.Meter, scheduler: Scheduler, upstream: engine.UpstreamClient
) -> None:
    """Register the metrics of the upstream's work, slots and health."""

    def split(count: Callable[[bool], int]) -> list[metric.Value]:
        return [
            (count(False), {"work": "online"}),
            (count(True), {"work": "batch"}),
        ]

    meter.read_many(metric.RUNNING, lambda: split(scheduler.count_running))
    meter.read_many(metric.WAITING, lambda: split(scheduler.count_waiting))
    meter.read(metric.SLOTS, lambda: scheduler.slots)
    meter.read(metric.HEALTHY, lambda: upstream.healthy)


def build(settings: Settings, timer: TimerService | None = None) -> Application:
    """Return the application of one agent."""
    timer = timer or SystemTimer()
    grace = Grace(settings.grace_s, timer)
    guard = door.make_guard(timer, settings.memory_mb, settings.max_fds)
    credential = (rpc.FLEET_HEADER, settings.fleet_secret)
    timeline = Timeline(settings.node, timer)
    client = ControlClient(settings.control, credential, timer)
    mirror = Mirror(settings.node, "seam-agent", client, timeline, timer)
    upstream = engine.UpstreamClient(settings.upstream, timer)
    ceiling_monitor = CeilingMonitor(lambda: mirror.ceilings, client.propose, timer)
    upstream.ceiling_monitor = ceiling_monitor
    work_queue = registry.build({}, "queue")
    admission_policy = registry.build({}, "admission")
    crash_detector = CrashDetector(mirror, client, timeline, timer, upstream.has_ended)
    scheduler = Scheduler(work_queue, admission_policy, mirror, timer)
    scheduler.find_ceiling = upstream.find_ceiling
    ConfigurationFollower(settings.upstream, mirror, upstream, scheduler)
    entry_server = EntryServer(
        upstream, scheduler, crash_detector, timeline, timer, grace
    )
    item_runner = ItemRunner(
        settings.node,
        upstream,
        scheduler,
        crash_detector,
        mirror,
        client,
        timeline,
        timer,
        grace,
        guard.budget,
    )

    order_runner = OrderRunner(settings.node, upstream, client, timeline, timer)

    async def authorize(metadata: dict[str, str]) -> rpc.Caller:
        secret = metadata.get(rpc.FLEET_HEADER, "")
        if rpc.same_secret(secret, settings.fleet_secret):
            return frozenset({Role.FLEET})
        return frozenset()

    server = rpc.Server(settings.address, authorize)
    entry_server.register(server)

    def describe() -> dict[str, object]:
        return {
            "node": settings.node,
            "upstream": settings.upstream,
            "upstream_healthy": upstream.healthy,
            "revision": mirror.revision,
            "running": scheduler.count_running(),
        }

    meter = metric.Meter(settings.node)
    mirror.report(meter)
    timeline.report(meter)
    guard.report(meter)
    register_metrics(meter, scheduler, upstream)
    meter.read(metric.UPSTREAM_CEILING, upstream.find_ceiling)

    def read_ceiling_age() -> float:
        named = mirror.ceilings.get(settings.upstream)
        return timer.read_wall_clock() - named.since if named is not None else 0.0

    meter.read(metric.UPSTREAM_CEILING_AGE, read_ceiling_age)

    application = Application("seam-agent", grace)
    application.add(meter)
    application.add(guard)
    application.add(Probe(settings.probe, describe, mirror.is_confirmed, guard))
    application.add(client)
    application.add(upstream)
    application.add(mirror)
    application.add(crash_detector)
    application.add(ceiling_monitor)
    application.add(scheduler)
    application.add(server)
    application.add(item_runner)
    application.add(order_runner)
    application.add(entry_server)
    return application

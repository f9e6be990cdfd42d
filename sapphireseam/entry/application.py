"""Builds an entry VM's application from its settings."""

import asyncio
import random
from typing import Annotated, NamedTuple

from pydantic import Field

from sapphireseam.core import fleet
from sapphireseam.entry.batch import BatchApi
from sapphireseam.entry.claim import IdempotentForwarder
from sapphireseam.entry.forwarder import Forwarder
from sapphireseam.entry.gateway import Gateway
from sapphireseam.entry.link import AgentLink
from sapphireseam.entry.meter import RequestMeter
from sapphireseam.entry.quarantine import QuarantineGate
from sapphireseam.entry.ratelimit import RateLimitClient
from sapphireseam.policy import registry, router
from sapphireseam.utils import door, grace, metric, rpc
from sapphireseam.utils.application import Application, TaskGroup
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.mirror import Mirror
from sapphireseam.utils.probe import Probe
from sapphireseam.utils.setting import Secret
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import SystemTimer, TimerService


class Settings(NamedTuple):
    """The settings of one entry VM.

    `control` lists the addresses of the control VMs. A stop ends within `grace_s`
    seconds. `memory_mb` and `max_fds` are what the VM allows the process.
    """

    node: fleet.Name
    failure_domain: fleet.Name
    address: fleet.Address
    probe: fleet.Address
    control: tuple[fleet.Address, ...]
    fleet_secret: Secret
    grace_s: fleet.Positive = grace.DEFAULT_SECONDS
    memory_mb: fleet.Positive | None = None
    max_fds: Annotated[int, Field(ge=1)] | None = None


# Interval at which the link of a removed upstream is checked for open attempts.
RETIRE_CHECK_SECONDS = 0.5


class LinkPool:
    """One link to the agent of each upstream in the configuration.

    If an upstream is removed or gets another agent address, its old link gets no
    new attempts and is stopped once its open attempts have ended.
    """

    def __init__(
        self,
        node: str,
        mirror: Mirror,
        credential: tuple[str, str],
        timer: TimerService,
    ):
        self.links: dict[str, AgentLink] = {}
        self._retired: set[AgentLink] = set()
        self._node = node
        self._mirror = mirror
        self._credential = credential
        self._timer = timer
        self._tasks = TaskGroup()
        self._changed = asyncio.Event()
        mirror.subscribe(self._changed.set)

    async def start(self) -> None:
        """Start to follow changes of the configuration."""
        self._tasks.keep(self._follow)

    async def stop(self) -> None:
        """Close every link."""
        await self._tasks.cancel()
        for link in [*self.links.values(), *self._retired]:
            await link.stop()

    async def _follow(self) -> None:
        while True:
            await self._changed.wait()
            self._changed.clear()
            wanted = dict(self._mirror.fleet.upstreams)
            for name, link in list(self.links.items()):
                if name not in wanted or wanted[name].agent != link.address:
                    del self.links[name]
                    self._retired.add(link)
                    self._tasks.spawn(self._retire(link))
            for name, upstream in wanted.items():
                if name not in self.links:
                    await self._open(name, upstream.agent)

    async def _retire(self, link: AgentLink) -> None:
        """Stop a link once it has no open attempts."""
        while link.in_flight:
            await self._timer.sleep(RETIRE_CHECK_SECONDS)
        self._retired.discard(link)
        await link.stop()

    async def _open(self, name: str, address: str) -> None:
        link = AgentLink(self._node, name, address, self._credential, self._timer)
        self.links[name] = link
        await link.start()


def build(settings: Settings, timer: TimerService | None = None) -> Application:
    """Return the application of an entry VM."""
    timer = timer or SystemTimer()
    its_grace = grace.Grace(settings.grace_s, timer)
    guard = door.make_guard(timer, settings.memory_mb, settings.max_fds)
    credential = (rpc.FLEET_HEADER, settings.fleet_secret)
    timeline = Timeline(settings.node, timer)
    client = ControlClient(settings.control, credential, timer)
    mirror = Mirror(settings.node, "seam-entry", client, timeline, timer)
    link_pool = LinkPool(settings.node, mirror, credential, timer)
    rate_limits = RateLimitClient(settings.node, client, timer)
    rng = random.Random()

    def build_router(name: str) -> router.Router:
        return registry.build({"router": name}, "router", rng)

    gate = QuarantineGate(mirror, client, timer)
    forwarder = Forwarder(
        settings.failure_domain,
        mirror,
        link_pool.links,
        timeline,
        timer,
        rng,
        build_router,
        gate,
        its_grace,
    )
    idempotent_forwarder = IdempotentForwarder(client, timer)
    batch_api = BatchApi(client, mirror, timer)
    gateway = Gateway(
        settings.address,
        mirror,
        rate_limits,
        idempotent_forwarder,
        forwarder,
        batch_api,
        timeline,
        timer,
        its_grace,
        guard,
    )
    guard.read_head_seconds = lambda: mirror.fleet.bounds.head

    def describe() -> dict[str, object]:
        return {"node": settings.node, "revision": mirror.revision}

    meter = metric.Meter(settings.node)
    mirror.report(meter)
    timeline.report(meter)
    guard.report(meter)
    gateway.prepare = RequestMeter(meter, mirror, timer).install

    application = Application("seam-entry", its_grace)
    application.add(meter)
    application.add(guard)
    application.add(Probe(settings.probe, describe, mirror.is_confirmed, guard))
    application.add(client)
    application.add(mirror)
    application.add(gate)
    application.add(link_pool)
    application.add(rate_limits)
    application.add(gateway)
    return application

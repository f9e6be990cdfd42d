"""Runs a fleet with discovered upstreams in one process, for tests and the soak.

Control VMs, entries and the links between them are real, on loopback; upstreams are
fakes (`utils.fakeupstream`). Callers use the entries' forwarders without HTTP.
"""

import asyncio
from pathlib import Path
from typing import NamedTuple

from sapphireseam.control import admin, application as control, placement
from sapphireseam.core import error, fingerprint, fleet, trait
from sapphireseam.core.instance import Instance
from sapphireseam.entry import discovery
from sapphireseam.entry.direct import DirectRequest
from sapphireseam.policy import fallback
from sapphireseam.tools import layout
from sapphireseam.utils import event, fakeupstream, outbound
from sapphireseam.utils.application import Application, Part
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.grace import Grace

# Timeout of the start of a fleet, in seconds.
START_SECONDS = 20.0
POLL_SECONDS = 0.02
WARM_UP_ROUTE = fleet.Route("/s/", "llm", streamed=True)
SLACK = fallback.Slack(20, 0.1, 5.0)


class Request(NamedTuple):
    """A caller's request; the last of the prompt's `parts` is never shared.

    Without a `body`, its body is its id, so that it resembles no other request.
    """

    id: str
    route: fleet.Route
    parts: tuple[str, ...]
    customer: str = "c"
    seconds: float = 4.0
    body: bytes = b""


class Reply(NamedTuple):
    """The outcome of a request; times are on the clock of the event loop.

    `failure` is None if the answer is complete.
    """

    sent: float
    ended: float
    events: int
    failure: error.SeamError | None


class Sink:
    """Records the answer to a request."""

    def __init__(self):
        self.status = 0
        self.events: list[event.Event] = []
        self.is_complete = False
        self._splitter = event.Splitter()

    async def begin(self, status: int, headers: outbound.Headers) -> None:
        """Record the status."""
        self.status = status

    async def write(self, data: bytes) -> None:
        """Record events."""
        self.events += self._splitter.feed(data)

    async def finish(self) -> None:
        """Record the end of the complete answer."""
        self.is_complete = True


class _NoServer:
    """Stands in for the servers of callers and operators."""

    async def start(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""


class _Entry(NamedTuple):
    """An entry's application and the parts that callers use."""

    application: Application
    context: discovery.FrontContext


class DiscoveredFleet:
    """Control VMs, entries and fake upstreams of one service."""

    def __init__(
        self,
        folder: Path,
        upstreams: int,
        entries: int,
        controls: int = 3,
        spreads_load: bool = False,
    ):
        self._spreads_load = spreads_load
        self.upstreams = [
            fakeupstream.FakeUpstream(f"u{number}") for number in range(upstreams)
        ]
        self.entries: list[_Entry] = []
        # The services for operators' calls of the control VMs, by their address.
        self.admins: dict[str, admin.AdminService] = {}
        self._folder = folder
        self._reservation = layout.reserve_ports(2 * controls + entries)
        addresses = [f"{layout.HOST}:{port}" for port in self._reservation.ports]
        self._controls = addresses[:controls]
        self._probes = addresses[controls : 2 * controls]
        self._entry_probes = addresses[2 * controls :]
        self._applications: list[Application] = []

    async def start(self) -> None:
        """Start everything; wait until each entry can place requests."""
        for upstream in self.upstreams:
            await upstream.start()
        for number in range(len(self._controls)):
            self._applications.append(self._build_control(number))
        starts = [application.start() for application in self._applications]
        await asyncio.gather(*starts)
        for number in range(len(self._entry_probes)):
            self.entries.append(self._build_entry(number))
            await self.entries[-1].application.start()
        for number in range(len(self.entries)):
            await self._wait_placing(number)

    async def stop(self) -> None:
        """Stop everything."""
        for entry in self.entries:
            await entry.application.stop()
        await self.stop_controls()
        for upstream in self.upstreams:
            await upstream.stop()

    async def list(self) -> tuple[Instance, ...]:
        """Return the upstreams as the list of a platform would show them."""
        return tuple(upstream.instance for upstream in self.upstreams)

    async def restart_leader(self) -> None:
        """Stop the control VM that leads, and start it again."""
        leader = self.entries[0].context.client.pick_address()
        number = self._controls.index(leader)
        await self._applications[number].stop()
        self._applications[number] = self._build_control(number)
        await self._applications[number].start()

    async def stop_controls(self) -> None:
        """Stop all control VMs."""
        stops = [application.stop() for application in self._applications]
        self._applications.clear()
        await asyncio.gather(*stops)

    async def restart_entry(self, number: int) -> None:
        """Replace an entry by a new one that knows nothing."""
        await self.entries[number].application.stop()
        self.entries[number] = self._build_entry(number)
        await self.entries[number].application.start()
        await self._wait_placing(number)

    async def send(self, number: int, request: Request) -> Reply:
        """Send a request at an entry and return its outcome."""
        clock = asyncio.get_running_loop().time
        sent, sink, failure = clock(), Sink(), None
        try:
            context = self.entries[number].context
            now = context.timer.read_clock()
            await context.forwarder.serve(_make_direct(request, now), sink)
        except error.SeamError as caught:
            failure = caught
        return Reply(sent, clock(), len(sink.events), failure)

    async def _wait_placing(self, number: int) -> None:
        """Wait until an entry has served a request."""
        async with asyncio.timeout(START_SECONDS):
            while True:
                request = Request(f"warm-{number}", WARM_UP_ROUTE, ("warm",))
                if not (await self.send(number, request)).failure:
                    break
                await asyncio.sleep(POLL_SECONDS)
            while True:
                try:
                    return await self.entries[number].context.mirror.refresh()
                except error.ControlError:
                    await asyncio.sleep(POLL_SECONDS)

    def _build_control(self, number: int) -> Application:
        address = self._controls[number]
        settings = control.Settings(
            address,
            f"d{number}",
            address,
            self._probes[number],
            self._folder / f"control-{number}",
            layout.FLEET_SECRET,
            tuple(control.Peer(name, name) for name in self._controls),
            len(self._controls),
            label=f"control-{number}",
            spreads_load=self._spreads_load,
        )
        upstreams = outbound.ConnectionPool(fakeupstream.FakeDialect())

        def make_operator_server(
            service: admin.AdminService, client: ControlClient, grace: Grace
        ) -> Part:
            self.admins[address] = service
            return _NoServer()

        integration = control.Integration(
            self,
            upstreams,
            make_probe(upstreams),
            stop_run,
            make_operator_server,
        )
        return control.build(settings, integration=integration)

    def _build_entry(self, number: int) -> _Entry:
        contexts: list[discovery.FrontContext] = []

        def make_front(context: discovery.FrontContext) -> Part:
            contexts.append(context)
            return _NoServer()

        settings = discovery.Settings(
            f"entry-{number}",
            f"d{number}",
            self._entry_probes[number],
            tuple(self._controls),
            layout.FLEET_SECRET,
            3.0,
            SLACK,
        )
        upstreams = outbound.ConnectionPool(fakeupstream.FakeDialect())
        application = discovery.build(settings, upstreams, make_front)
        return _Entry(application, contexts[0])


def _make_direct(request: Request, now: float) -> DirectRequest:
    target, body = f"{request.route.path}x", request.body or request.id.encode()
    service = request.route.service
    return DirectRequest(
        request.id,
        request.customer,
        0,
        request.route.path,
        request.route,
        "h",
        "POST",
        target,
        ((fakeupstream.PARTS, ",".join(request.parts)),),
        body,
        now,
        now + request.seconds,
        fingerprint=fingerprint.compute(request.customer, "POST", target, body),
        # Callers send the parts but the last, which is their own.
        parts=trait.make_part_traits(service, request.parts[:-1]),
    )


def make_probe(upstreams: outbound.ConnectionPool) -> placement.Probe:
    """Return a probe that gives an empty result if the instance answers."""

    async def probe(
        instance: Instance, path: str, seconds: float
    ) -> placement.ProbeResult | None:
        reply = await upstreams.send_order(instance, "GET", path, b"", seconds)
        return placement.ProbeResult(()) if reply and reply.is_success else None

    return probe


async def stop_run(instance: Instance, request: str, other: Instance) -> None:
    """Do nothing; fake upstreams can't stop a request."""

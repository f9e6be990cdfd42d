"""Builds a control VM's program from its settings."""

import asyncio
import logging
import os
import random
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Annotated, NamedTuple

from pydantic import Field

from sapphireseam.control import (
    admin,
    blob,
    blobfetcher,
    bulkrunner,
    bulkservice,
    membership,
    placement,
    poller,
)
from sapphireseam.control.dispatch import Dispatcher
from sapphireseam.control.machine import StateMachine
from sapphireseam.control.meter import TimedDisk, report_slots, report_state
from sapphireseam.control.orderdispatch import OrderDispatcher
from sapphireseam.control.ratelimit import (
    GRANT_SECONDS,
    MARGIN_SECONDS,
    RateLimitService,
)
from sapphireseam.control.service import ControlService
from sapphireseam.control.watch import WatchHub
from sapphireseam.core import codec, command, error, fleet, key, message, outcome
from sapphireseam.core.instance import Instance
from sapphireseam.state import disk, link, message as log_message, option
from sapphireseam.state.replica import Replica
from sapphireseam.utils import door, metric, outbound, rpc
from sapphireseam.utils.application import Application, Part, TaskGroup
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.grace import DEFAULT_SECONDS, Grace
from sapphireseam.utils.probe import Probe
from sapphireseam.utils.rpc import Role
from sapphireseam.utils.setting import Secret
from sapphireseam.utils.stall import StallDetector
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import SystemTimer, TimerService, run_periodically

logger = logging.getLogger(__name__)

# Timeout of one call to another member.
MEMBER_CALL_SECONDS = 10.0
# Share of the memory that the process at rest leaves which is budgeted for clients; the
# replicated state needs most of it.
CLIENT_MEMORY_SHARE = 1 / 6
# Calls without an answer after which the connection is replaced.
MEMBER_UNANSWERED_LIMIT = 3
# Wait of a new leader before its first grant from the rate limits, if each grant is the
# placement of one request. No wait is needed: the previous leader granted nothing after
# its lease ended, and entries use a placement immediately.
PLACEMENT_WAIT_SECONDS = 0.0
OPERATOR_KEY_FILE = "operator-key"
OPERATOR_PREFIX = "seamop"


class Peer(NamedTuple):
    """Name and address of a control VM."""

    name: fleet.Name
    address: fleet.Address


class Settings(NamedTuple):
    """Settings of one control VM.

    `address` takes the calls of the system's processes and of operators, `probe`
    serves health checks and metrics. `peers` lists all initial members including
    this one. On a control VM that is added later, it lists the members to join. A
    stop ends within `grace_s` seconds. With `spreads_load`, entries without a leader
    spread their requests evenly over discovered upstreams. `memory_mb` and
    `max_fds` are what the VM allows the process.
    """

    node: fleet.Name
    failure_domain: fleet.Name
    address: fleet.Address
    probe: fleet.Address
    data_folder: Path
    fleet_secret: Secret
    peers: tuple[Peer, ...]
    voters: Annotated[int, Field(ge=0, le=9)] = 0
    is_first_start: bool = True
    label: str = ""
    lot_seconds: fleet.Positive = bulkrunner.RETENTION_SECONDS
    grace_s: fleet.Positive = DEFAULT_SECONDS
    spreads_load: bool = False
    memory_mb: fleet.Positive | None = None
    max_fds: Annotated[int, Field(ge=1)] | None = None


# Times in seconds and sizes for members that manage their own membership. A failed
# leader is replaced within the time after which callers retry, and the log in memory
# stays small compared with the bulk jobs.
SELF_MANAGED_OPTIONS = {
    "heartbeat": 0.06,
    "election_min": 0.4,
    "election_max": 0.6,
    "lease": 0.3,
    "call_timeout": 0.2,
    "read_pause": 0.04,
    "snapshot_bytes": 4 << 20,
    "trailing_entries": 50,
}


class Integration(NamedTuple):
    """Parts that a deployment provides if its upstreams are found by discovery.

    `make_operator_server` builds the server for operators' calls. `read_cold_left`
    returns for how many seconds runs stay cold, as far as the last list said. `guard`
    bounds operators' clients and those of the metrics.
    """

    source: poller.Source
    upstreams: outbound.ConnectionPool
    probe: placement.Probe
    stop_run: placement.StopRun
    make_operator_server: Callable[[admin.AdminService, ControlClient, Grace], Part]
    read_cold_left: Callable[[], Mapping[str, float]] = dict
    guard: door.Guard | None = None


_REGISTRY = codec.Registry(log_message.MESSAGES)


class MemberLink:
    """Sends the messages of the replicated log to one other control VM.

    A connection can stop working without a reset. So a connection on which several
    calls in a row got no answer is replaced.
    """

    def __init__(self, node: str, members: "Members", name: str):
        self._node = node
        self._members = members
        self._name = name

    async def call(self, request: NamedTuple) -> NamedTuple:
        """Return the other member's reply, or raise `LinkError`."""
        packed = message.MemberCall(self._node, _REGISTRY.encode(request))
        channel = self._members.get_channel(self._name)
        try:
            reply = await channel.call(packed, MEMBER_CALL_SECONDS)
        except error.SeamError as failure:
            raise link.LinkError(failure.message) from None
        except asyncio.CancelledError:
            # The caller cancels a call that takes too long.
            self._members.record_timeout(channel)
            raise
        self._members.record_answer(channel)
        return _REGISTRY.decode(reply.body)


class Members:
    """Holds one channel to each other control VM."""

    def __init__(self, settings: Settings):
        self._node = settings.node
        self._credential = (rpc.FLEET_HEADER, settings.fleet_secret)
        self._addresses = {peer.name: peer.address for peer in settings.peers}
        self._channels: dict[str, rpc.Channel] = {}
        self._unanswered: dict[str, int] = {}
        self._tasks = TaskGroup()
        self.replica: Replica | None = None

    async def start(self) -> None:
        """Do nothing; channels open when they are first used."""

    async def stop(self) -> None:
        """Close every channel."""
        await self._tasks.cancel()
        for channel in self._channels.values():
            await channel.close()

    def record_answer(self, channel: rpc.Channel) -> None:
        """Reset the count of unanswered calls on a channel."""
        self._unanswered.pop(channel.address, None)

    def record_timeout(self, channel: rpc.Channel) -> None:
        """Count an unanswered call; close the channel after several in a row."""
        count = self._unanswered.get(channel.address, 0) + 1
        self._unanswered[channel.address] = count
        current = self._channels.get(channel.address)
        if count >= MEMBER_UNANSWERED_LIMIT and current is channel:
            del self._channels[channel.address]
            del self._unanswered[channel.address]
            self._tasks.spawn(channel.close())

    def find_address(self, name: str) -> str:
        """Return a member's address from the membership, or else from the settings."""
        members = self.replica.members if self.replica else ()
        for member in members:
            if member.name == name and member.address:
                return member.address
        # If members manage their own membership, a member's name is its address.
        return self._addresses.get(name, name)

    def get_channel(self, name: str) -> rpc.Channel:
        """Return the channel to a member."""
        address = self.find_address(name)
        if address not in self._channels:
            self._channels[address] = rpc.Channel(address, self._credential)
        return self._channels[address]

    def link(self, name: str) -> MemberLink:
        """Return the link to a member."""
        return MemberLink(self._node, self, name)

    async def fetch(
        self, name: str, request: message.ReadBlob, timeout: float
    ) -> message.Piece:
        """Read a piece of a blob from a member."""
        return await self.get_channel(name).call(request, timeout)


class OperatorKeyIssuer:
    """Issues the operator key once, when the fleet first has a leader.

    The leader writes the key to a file in its data folder that only the owner of the
    file can read. Then it proposes the digest of the key. Only the digest that is
    committed first is valid.
    """

    PERIOD_SECONDS = 0.3

    def __init__(
        self,
        folder: Path,
        replica: Replica,
        machine: StateMachine,
        timer: TimerService,
    ):
        self._path = folder / OPERATOR_KEY_FILE
        self._replica = replica
        self._machine = machine
        self._timer = timer
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Start to check whether a key must be issued."""
        self._tasks.spawn(self._issue_once())

    async def stop(self) -> None:
        """Stop the check."""
        await self._tasks.cancel()

    async def _issue_once(self) -> None:
        while "operator" not in self._machine.state.texts:
            await self._timer.sleep(self.PERIOD_SECONDS)
            if self._replica.is_leader:
                await self._try_issue()

    async def _try_issue(self) -> None:
        try:
            text = await asyncio.to_thread(self._load_or_create)
        except OSError as failure:
            logger.error(
                "can't store the operator key; retrying", extra={"cause": str(failure)}
            )
            return
        digest = key.digest(text)
        request = f"operator-{digest[:16]}"
        item = command.SetOperator(request, digest)
        try:
            answer = await self._replica.propose(command.REGISTRY.encode(item))
        except error.SeamError as failure:
            logger.info(
                "can't issue the operator key; retrying",
                extra={"cause": failure.message},
            )
            return
        if isinstance(answer, outcome.Refused):
            self._path.unlink(missing_ok=True)
            return
        logger.info("operator key issued", extra={"file": str(self._path)})

    def _load_or_create(self) -> str:
        if self._path.exists() and (text := self._path.read_text().strip()):
            return text
        text = key.generate(OPERATOR_PREFIX).text
        part = self._path.with_suffix(".part")
        try:
            handle = os.open(part, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
            with open(handle, "wb", buffering=0) as file:
                disk.write_all(handle, f"{text}\n".encode())
                os.fsync(file.fileno())
            part.replace(self._path)
        except OSError:
            part.unlink(missing_ok=True)
            raise
        return text


class LeadershipTransfer:
    """Transfers the leadership to another member when the program stops."""

    def __init__(self, replica: Replica):
        self._replica = replica

    async def start(self) -> None:
        """Do nothing; the transfer happens in `stop`."""

    async def stop(self) -> None:
        """Transfer the leadership if this member leads."""
        await self._replica.transfer_leadership()


class StorageMonitor:
    """Ends the program when its storage has failed.

    After a failed sync the contents of the folder are unknown until it is read
    again. So the program ends, and its supervisor restarts it.
    """

    PERIOD_SECONDS = 0.2

    def __init__(self, replica: Replica, application: Application, timer: TimerService):
        self._replica = replica
        self._application = application
        self._timer = timer
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Start to watch the storage."""
        self._tasks.spawn(
            run_periodically(self._timer, self.PERIOD_SECONDS, self._check)
        )

    async def stop(self) -> None:
        """Stop watching the storage."""
        await self._tasks.cancel()

    async def _check(self) -> None:
        if self._replica.fatal is not None:
            self._application.fail(self._replica.fatal)


def make_guard(settings: Settings, timer: TimerService) -> door.Guard:
    """Return the guard of a control VM's HTTP servers."""
    return door.make_guard(
        timer, settings.memory_mb, settings.max_fds, CLIENT_MEMORY_SHARE
    )


def build(
    settings: Settings,
    timer: TimerService | None = None,
    integration: Integration | None = None,
    predecessor_ended: float | None = None,
) -> Application:
    """Return the application of one control VM.

    `integration` is None if upstreams are listed in the configuration.
    `predecessor_ended` is when the last process that used the data folder had ended.
    """
    timer = timer or SystemTimer()
    guard = integration.guard if integration is not None else None
    guard = guard or make_guard(settings, timer)
    meter = metric.Meter(settings.node)
    timeline = Timeline(settings.node, timer)
    timeline.report(meter)
    guard.report(meter)
    machine = StateMachine()
    members = Members(settings)
    store = blob.BlobStore(settings.data_folder / "blobs", timer)
    initial_members = settings.peers if settings.is_first_start else ()
    options = option.Options(
        bootstrap=tuple(
            log_message.Member(peer.name, peer.address) for peer in initial_members
        ),
        voters=settings.voters,
        predecessor_ended=predecessor_ended,
        **(SELF_MANAGED_OPTIONS if settings.voters else {}),
    )
    replica = Replica(
        settings.node,
        members.link,
        TimedDisk(settings.data_folder / "log", meter, timer),
        timer,
        machine,
        blobfetcher.PeerBlobFetcher(store, members.fetch),
        options,
        random.Random(),
    )
    members.replica = replica
    dispatcher = Dispatcher(replica, machine, store, timeline, timer)
    orders = OrderDispatcher(replica, machine, timeline, timer)
    wait = PLACEMENT_WAIT_SECONDS if integration else GRANT_SECONDS + MARGIN_SECONDS
    rate_limits = RateLimitService(replica, machine, timer, wait)
    hub = WatchHub(replica, machine, timeline, timer)
    report_state(meter, replica, machine, hub)
    service = ControlService(
        settings.node,
        replica,
        machine,
        store,
        dispatcher,
        orders,
        rate_limits,
        hub,
        timeline,
        timer,
    )

    def is_operator(text: str) -> bool:
        digest = machine.state.texts.get("operator", "")
        return bool(digest) and key.matches(text, digest)

    async def authorize(metadata: dict[str, str]) -> rpc.Caller:
        roles = set()
        secret = metadata.get(rpc.FLEET_HEADER, "")
        if rpc.same_secret(secret, settings.fleet_secret):
            roles.add(Role.FLEET)
        operator_key = metadata.get(rpc.OPERATOR_HEADER, "")
        if operator_key and not is_operator(operator_key):
            # A member that has just started may not have applied the key yet.
            await replica.read_index()
        if operator_key and is_operator(operator_key):
            roles.add(Role.OPERATOR)
        return frozenset(roles)

    async def answer_member(
        request: message.MemberCall, caller: rpc.Caller
    ) -> message.MemberCall:
        reply = await replica.answer(_REGISTRY.decode(request.body))
        return message.MemberCall(settings.node, _REGISTRY.encode(reply))

    server = rpc.Server(settings.address, authorize)
    server.find_address = members.find_address
    server.add_call(message.MemberCall, frozenset({Role.FLEET}), answer_member)
    service.register(server)

    def describe() -> dict[str, object]:
        return {
            "node": settings.node,
            "leader": replica.leader,
            "applied": replica.applied,
            "fatal": str(replica.fatal or ""),
        }

    application = Application("seam-control", Grace(settings.grace_s, timer))
    application.add(meter)
    application.add(guard)
    application.add(
        Probe(settings.probe, describe, lambda: replica.fatal is None, guard)
    )
    application.add(store)
    application.add(members)
    application.add(server)
    application.add(replica)
    application.add(dispatcher)
    application.add(orders)
    application.add(rate_limits)
    application.add(OperatorKeyIssuer(settings.data_folder, replica, machine, timer))
    if integration is not None:
        shared = SharedParts(
            settings, replica, machine, rate_limits, server, service, meter, timer
        )
        add_discovery(application, shared, integration)
        application.add(StallDetector(timer))
    application.add(StorageMonitor(replica, application, timer))
    application.add(LeadershipTransfer(replica))
    return application


class SharedParts(NamedTuple):
    """Objects of a control VM that the services for discovery use."""

    settings: Settings
    replica: Replica
    machine: StateMachine
    rate_limits: RateLimitService
    server: rpc.Server
    service: ControlService
    meter: metric.Meter
    timer: TimerService


def add_discovery(
    application: Application, shared: SharedParts, integration: Integration
) -> None:
    """Add the services that place requests and bulk jobs on discovered upstreams."""
    settings, replica, machine, timer = (
        shared.settings,
        shared.replica,
        shared.machine,
        shared.timer,
    )
    addresses = tuple(peer.address for peer in settings.peers)
    credential = (rpc.FLEET_HEADER, settings.fleet_secret)
    client = ControlClient(addresses, credential, timer)
    server = placement.PlacementServer(
        replica,
        machine,
        shared.rate_limits,
        integration.probe,
        integration.stop_run,
        timer,
        settings.spreads_load,
    )
    server.register(shared.server)
    shared.service.list_cold = server.list_cold
    shared.service.is_late = server.is_late
    integration.upstreams.on_leaving = server.mark_leaving
    integration.upstreams.ceiling_monitor = server.ceiling_monitor
    integration.upstreams.on_cold = server.record_cold
    report_slots(shared.meter, server.allocator, machine, replica, server.list_resting)
    bulkservice.BulkService(replica, machine, timer).register(shared.server)
    members = membership.MembershipService(replica, machine, settings.voters, timer)
    members.register(shared.server)
    server.find_domain = members.find_domain
    members.on_domain = server.renew_view
    runner = bulkrunner.BulkRunner(
        replica, machine, server, integration.upstreams, timer, settings.lot_seconds
    )

    def handle_list(instances: tuple[Instance, ...]) -> None:
        server.update_instances(instances, integration.read_cold_left())

    instance_poller = poller.InstancePoller(
        integration.source, replica, timer, handle_list
    )
    operator_server = integration.make_operator_server(
        admin.AdminService(replica, machine, client, timer), client, application.grace
    )
    announcer = membership.Announcer(
        settings.address, settings.label, client, timer, settings.failure_domain
    )
    for part in (
        client,
        integration.upstreams,
        server,
        runner,
        instance_poller,
        announcer,
        operator_server,
    ):
        application.add(part)

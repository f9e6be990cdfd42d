"""Build a control VM's program from its settings."""

import asyncio
import logging
import random
from collections.abc import Callable
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
from sapphireseam.state import link, message as log_message, option
from sapphireseam.state.replica import Replica
from sapphireseam.utils import metric, outbound, rpc
from sapphireseam.utils.application import Application, Part, TaskGroup
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.probe import Probe
from sapphireseam.utils.rpc import Role
from sapphireseam.utils.setting import Secret
from sapphireseam.utils.stall import StallWatch
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import SystemTimer, TimerService, run_periodically

logger = logging.getLogger(__name__)

# Longest time for one call to another member, in seconds.
MEMBER_CALL_SECONDS = 10.0
# After so many calls without an answer the connection is given up.
MEMBER_SILENT_CALLS = 3
# How long a new owner of the limits waits where grants are placements, in seconds: a
# leader that can be replaced has granted nothing since its lease ended, and entries
# use a placement as it comes.
PLACEMENT_WAIT_SECONDS = 0.0
OPERATOR_KEY_FILE = "operator-key"
OPERATOR_PREFIX = "seamop"


class Peer(NamedTuple):
    """Name a control VM and where it listens."""

    name: fleet.Name
    address: fleet.Address


class Settings(NamedTuple):
    """Say where one control VM is.

    `address` takes calls of the system's processes and of operators, `probe`
    answers health checks and metrics. `peers` lists all first members, this
    one included; a control VM added later lists those it is to join.
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


# Times in seconds and sizes of members that look after themselves: a leader that
# fails is replaced within the time in which callers come back, and the log that is
# held in memory stays small beside the lots.
SELF_KEEPING = {
    "heartbeat": 0.06,
    "election_min": 0.4,
    "election_max": 0.6,
    "lease": 0.3,
    "call_timeout": 0.2,
    "snapshot_bytes": 4 << 20,
    "trailing_entries": 50,
}


class Integration(NamedTuple):
    """Bring what a deployment needs whose upstreams are found by discovery.

    `make_operator_server` builds the server for operators' calls.
    """

    source: poller.Source
    upstreams: outbound.Outbound
    probe: placement.Probe
    stop_run: placement.StopRun
    make_operator_server: Callable[[admin.AdminService, ControlClient], Part]


_REGISTRY = codec.Registry(log_message.MESSAGES)


class MemberLink:
    """Carry the replicated log's messages to one other control VM.

    A connection may fall silent for good without a reset, so one that has
    brought no answer for a while is given up.
    """

    def __init__(self, node: str, members: "Members", name: str):
        self._node = node
        self._members = members
        self._name = name

    async def call(self, request: NamedTuple) -> NamedTuple:
        """Return the peer's reply or raise `LinkError`."""
        packed = message.MemberCall(self._node, _REGISTRY.encode(request))
        channel = self._members.reach(self._name)
        try:
            reply = await channel.call(packed, MEMBER_CALL_SECONDS)
        except error.SeamError as failure:
            raise link.LinkError(failure.message) from None
        except asyncio.CancelledError:
            # Whoever asked has waited long enough.
            self._members.note_silence(channel)
            raise
        self._members.note_answer(channel)
        return _REGISTRY.decode(reply.body)


class Members:
    """Keep the channels to the other control VMs."""

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

    def note_answer(self, channel: rpc.Channel) -> None:
        """Note that a channel works."""
        self._unanswered.pop(channel.address, None)

    def note_silence(self, channel: rpc.Channel) -> None:
        """Note that a call brought nothing; open another channel after a few."""
        count = self._unanswered.get(channel.address, 0) + 1
        self._unanswered[channel.address] = count
        held = self._channels.get(channel.address)
        if count >= MEMBER_SILENT_CALLS and held is channel:
            del self._channels[channel.address]
            del self._unanswered[channel.address]
            self._tasks.spawn(channel.close())

    def find_address(self, name: str) -> str:
        """Return a member's address, by the membership before the settings."""
        members = self.replica.members if self.replica else ()
        for member in members:
            if member.name == name and member.address:
                return member.address
        # Members that look after themselves are named by their addresses.
        return self._addresses.get(name, name)

    def reach(self, name: str) -> rpc.Channel:
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
        return await self.reach(name).call(request, timeout)


class OperatorKeeper:
    """Issue the operator key once, when the fleet first has a leader.

    The leader writes the key into a file of its data folder, readable by its
    owner only, then has the digest committed. Whoever commits first wins.
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
        """Begin to look whether a key must be issued."""
        self._tasks.spawn(self._issue_once())

    async def stop(self) -> None:
        """Stop looking."""
        await self._tasks.cancel()

    async def _issue_once(self) -> None:
        while "operator" not in self._machine.state.texts:
            await self._timer.sleep(self.PERIOD_SECONDS)
            if self._replica.is_leader:
                await self._try_issue()

    async def _try_issue(self) -> None:
        text = self._load_or_create()
        digest = key.digest(text)
        request = f"operator-{digest[:16]}"
        item = command.SetOperator(request, digest)
        try:
            answer = await self._replica.propose(command.REGISTRY.encode(item))
        except error.SeamError as failure:
            logger.info("operator key put off", extra={"cause": failure.message})
            return
        if isinstance(answer, outcome.Refused):
            self._path.unlink(missing_ok=True)
            return
        logger.info("operator key issued", extra={"file": str(self._path)})

    def _load_or_create(self) -> str:
        if self._path.exists():
            return self._path.read_text().strip()
        text = key.generate(OPERATOR_PREFIX).text
        self._path.touch(mode=0o600)
        self._path.write_text(text + "\n")
        return text


class Handover:
    """Hand leadership over when the program stops."""

    def __init__(self, replica: Replica):
        self._replica = replica

    async def start(self) -> None:
        """Do nothing yet."""

    async def stop(self) -> None:
        """Let another member lead from now on."""
        await self._replica.transfer_leadership()


class StorageMonitor:
    """End the program when its storage has failed.

    What a failed sync left behind is known only after the folder was read anew,
    so whoever looks after the process starts it again.
    """

    PERIOD_SECONDS = 0.2

    def __init__(self, replica: Replica, application: Application, timer: TimerService):
        self._replica = replica
        self._application = application
        self._timer = timer
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Begin to watch."""
        self._tasks.spawn(
            run_periodically(self._timer, self.PERIOD_SECONDS, self._look)
        )

    async def stop(self) -> None:
        """Stop watching."""
        await self._tasks.cancel()

    async def _look(self) -> None:
        if self._replica.fatal is not None:
            self._application.fail(self._replica.fatal)


def build(
    settings: Settings,
    timer: TimerService | None = None,
    outside: Integration | None = None,
    predecessor_ended: float | None = None,
) -> Application:
    """Return the application of one control VM.

    `predecessor_ended` is when whatever last used the data folder had ended.
    """
    timer = timer or SystemTimer()
    meter = metric.Meter(settings.node)
    timeline = Timeline(settings.node, timer)
    timeline.report(meter)
    machine = StateMachine()
    members = Members(settings)
    store = blob.BlobStore(settings.data_folder / "blobs")
    first = settings.peers if settings.is_first_start else ()
    options = option.Options(
        bootstrap=tuple(log_message.Member(peer.name, peer.address) for peer in first),
        voters=settings.voters,
        predecessor_ended=predecessor_ended,
        **(SELF_KEEPING if settings.voters else {}),
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
    wait = PLACEMENT_WAIT_SECONDS if outside else GRANT_SECONDS + MARGIN_SECONDS
    owner = RateLimitService(replica, machine, timer, wait)
    hub = WatchHub(replica, machine, timeline, timer)
    report_state(meter, replica, machine, hub)
    service = ControlService(
        settings.node,
        replica,
        machine,
        store,
        dispatcher,
        orders,
        owner,
        hub,
        timeline,
    )

    def is_operator(given: str) -> bool:
        expected = machine.state.texts.get("operator", "")
        return bool(expected) and key.matches(given, expected)

    async def authorize(metadata: dict[str, str]) -> rpc.Caller:
        roles = set()
        secret = metadata.get(rpc.FLEET_HEADER, "")
        if rpc.same_secret(secret, settings.fleet_secret):
            roles.add(Role.FLEET)
        given = metadata.get(rpc.OPERATOR_HEADER, "")
        if given and not is_operator(given):
            # A member that has just started may not know the key yet.
            await replica.read_index()
        if given and is_operator(given):
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

    application = Application("seam-control")
    application.add(meter)
    application.add(Probe(settings.probe, describe, lambda: replica.fatal is None))
    application.add(store)
    application.add(members)
    application.add(server)
    application.add(replica)
    application.add(dispatcher)
    application.add(orders)
    application.add(owner)
    application.add(OperatorKeeper(settings.data_folder, replica, machine, timer))
    if outside is not None:
        core = Core(settings, replica, machine, owner, server, meter, timer)
        add_discovery(application, core, outside)
        application.add(StorageMonitor(replica, application, timer))
        application.add(StallWatch(timer))
    application.add(Handover(replica))
    return application


class Core(NamedTuple):
    """Name the parts of a control VM that others are built on."""

    settings: Settings
    replica: Replica
    machine: StateMachine
    owner: RateLimitService
    server: rpc.Server
    meter: metric.Meter
    timer: TimerService


def add_discovery(application: Application, core: Core, outside: Integration) -> None:
    """Add what places requests and runs lots at upstreams that are discovered."""
    settings, replica, machine, timer = (
        core.settings,
        core.replica,
        core.machine,
        core.timer,
    )
    addresses = tuple(peer.address for peer in settings.peers)
    credential = (rpc.FLEET_HEADER, settings.fleet_secret)
    client = ControlClient(addresses, credential, timer)
    server = placement.PlacementServer(
        replica, machine, core.owner, outside.probe, outside.stop_run, timer
    )
    server.register(core.server)
    report_slots(core.meter, server.board, machine, replica)
    bulkservice.BulkService(replica, machine, timer).register(core.server)
    joins = membership.MembershipService(replica, machine, settings.voters, timer)
    joins.register(core.server)
    runner = bulkrunner.BulkRunner(
        replica, machine, server, outside.upstreams, timer, settings.lot_seconds
    )
    reader = poller.InstancePoller(
        outside.source, replica, timer, server.update_instances
    )
    front = outside.make_operator_server(
        admin.AdminService(replica, machine, client, timer), client
    )
    announcer = membership.Announcer(settings.address, settings.label, client, timer)
    for part in (client, outside.upstreams, server, runner, reader, announcer, front):
        application.add(part)

"""Adds control VMs that announce themselves as members, and retires members.

Every control VM announces its address to the leader. The leader adds it as a member
if it isn't one, and the replicated log promotes it to voter to replace another voter
(state/membership.py). A retired VM stays a member until another member has replaced
it as voter, and it is never added again.
"""

import logging
from collections.abc import Callable

from sapphireseam.control.machine import StateMachine
from sapphireseam.core import command, error, message
from sapphireseam.state.replica import Replica
from sapphireseam.utils import rpc
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.timer import TimerService

logger = logging.getLogger(__name__)

# Interval between the announcements of a VM, and the timeout of one.
ANNOUNCE_SECONDS = 0.5
ANNOUNCE_TIMEOUT_SECONDS = 1.0
# A VM whose last announcement is older than this doesn't count as running.
SILENCE_SECONDS = 3.0


class Announcer:
    """Announces this control VM to the leader, and updates the client's addresses."""

    def __init__(
        self,
        address: str,
        label: str,
        client: ControlClient,
        timer: TimerService,
        domain: str = "",
    ):
        self._announcement = message.Announce(address, label, domain)
        self._client = client
        self._timer = timer
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Start to announce this VM."""
        self._tasks.keep(self._announce_forever)

    async def stop(self) -> None:
        """Stop the announcements."""
        await self._tasks.cancel()

    async def _announce_forever(self) -> None:
        while True:
            try:
                answer = await self._client.call(
                    self._announcement, ANNOUNCE_TIMEOUT_SECONDS
                )
                self._client.update_addresses(answer.members)
            except error.SeamError as failure:
                logger.info(
                    "can't announce this control VM to the leader",
                    extra={"cause": failure.message},
                )
            await self._timer.sleep(ANNOUNCE_SECONDS)


class MembershipService:
    """Adds the VMs that announce themselves, and retires VMs on request."""

    def __init__(
        self,
        replica: Replica,
        machine: StateMachine,
        voters: int,
        timer: TimerService,
    ):
        self._replica = replica
        self._machine = machine
        self._voters = voters
        self._timer = timer
        self._last_contact: dict[str, tuple[str, float]] = {}
        # The failure domain of each VM that has announced itself, by address.
        self._domains: dict[str, str] = {}
        # Called when a VM announces another failure domain than before.
        self.on_domain: Callable[[], None] = lambda: None
        machine.subscribe(self._update_leaving)

    def register(self, server: rpc.Server) -> None:
        """Register the calls that this service answers."""
        roles = frozenset({rpc.Role.FLEET})
        server.add_call(message.Announce, roles, self._answer_announce)
        server.add_call(message.Retire, roles, self._answer_retire)
        server.add_call(message.ReadRetired, roles, self._answer_read_retired)

    def _update_leaving(self, item: object, answer: object) -> None:
        if item is None or isinstance(item, command.RetireMember):
            leaving = frozenset(self._machine.state.retired.values())
            self._replica.set_leaving(leaving)

    def _require_leader(self) -> None:
        """Raise unless this VM leads and has applied what its predecessors committed.

        Before that it may not know that a VM is retired.
        """
        if not (self._replica.is_leader and self._replica.has_caught_up):
            leader = self._replica.leader
            raise error.NotLeaderError("this control VM is not the leader", leader)

    async def _answer_announce(
        self, request: message.Announce, caller: rpc.Caller
    ) -> message.Announced:
        self._require_leader()
        self._last_contact[request.label] = (request.address, self._timer.read_clock())
        if self._domains.get(request.address) != request.domain:
            self._domains[request.address] = request.domain
            self.on_domain()
        names = {member.name for member in self._replica.members}
        is_retired = request.label in self._machine.state.retired
        if request.address not in names and not is_retired:
            logger.info("adding a member", extra={"member": request.address})
            await self._replica.add_member(request.address, request.address)
        members = tuple(member.address for member in self._replica.members)
        return message.Announced(members)

    async def _answer_retire(
        self, request: message.Retire, caller: rpc.Caller
    ) -> message.Empty:
        """Retire a VM; retiring it again is no error."""
        self._require_leader()
        await self._replica.read_index()
        if request.label in self._machine.state.retired:
            return message.Empty()
        if request.label not in self._last_contact:
            text = f"control VM {request.label!r} has not announced itself"
            raise error.RequestError(text, error.Kind.OBJECT_UNKNOWN)
        if self._count_remaining(request.label) < self._voters:
            text = f"at least {self._voters} control VMs must remain"
            raise error.RequestError(text, error.Kind.CONFLICT)
        address, _ = self._last_contact[request.label]
        item = command.RetireMember(address, request.label)
        await self._replica.propose(command.REGISTRY.encode(item))
        logger.info("retiring a member", extra={"member": address})
        return message.Empty()

    def find_domain(self, address: str) -> str:
        """Return the failure domain of a control VM, or "" if it isn't known."""
        return self._domains.get(address, "")

    def _count_remaining(self, label: str) -> int:
        """Return how many running VMs would remain without this one."""
        now = self._timer.read_clock()
        retired = self._machine.state.retired
        return sum(
            now - at < SILENCE_SECONDS
            for name, (_, at) in self._last_contact.items()
            if name != label and name not in retired
        )

    async def _answer_read_retired(
        self, request: message.ReadRetired, caller: rpc.Caller
    ) -> message.RetiredView:
        self._require_leader()
        await self._replica.read_index()
        address = self._machine.state.retired.get(request.label)
        if address is None:
            return message.RetiredView(False, False)
        voters = [m for m in self._replica.members if m.voter]
        is_member = any(member.name == address for member in self._replica.members)
        is_empty = not is_member and len(voters) >= self._voters
        return message.RetiredView(True, is_empty)

"""Have control VMs join and leave by themselves.

Every VM tells the leader that it is there, by its address. The leader takes in
those that aren't members, and the replicated log makes voters of them as others
go (state/membership.py). A VM that is to be emptied stays until another has
taken its place, and is never taken in again.
"""

import logging

from sapphireseam.control.machine import StateMachine
from sapphireseam.core import command, error, message
from sapphireseam.state.replica import Replica
from sapphireseam.utils import rpc
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.timer import TimerService

logger = logging.getLogger(__name__)

# How often a VM says that it is there, in seconds.
ANNOUNCE_SECONDS = 0.5
ANNOUNCE_LIMIT_SECONDS = 1.0
# A VM that was silent for so long doesn't count as there, in seconds.
SILENCE_SECONDS = 3.0


class Announcer:
    """Tell the leader that this control VM is there, and learn the others."""

    def __init__(
        self, address: str, label: str, client: ControlClient, timer: TimerService
    ):
        self._said = message.Announce(address, label)
        self._client = client
        self._timer = timer
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Begin to announce."""
        self._tasks.spawn(self._announce_forever())

    async def stop(self) -> None:
        """Stop announcing."""
        await self._tasks.cancel()

    async def _announce_forever(self) -> None:
        while True:
            try:
                answer = await self._client.call(self._said, ANNOUNCE_LIMIT_SECONDS)
                self._client.learn(answer.members)
            except error.SeamError as failure:
                logger.info("not announced", extra={"cause": failure.message})
            await self._timer.sleep(ANNOUNCE_SECONDS)


class MembershipService:
    """Take in the VMs that announce themselves, and empty those that leave."""

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
        self._heard: dict[str, tuple[str, float]] = {}
        machine.subscribe(self._follow)

    def register(self, server: rpc.Server) -> None:
        """Have the server answer with this."""
        roles = frozenset({rpc.Role.FLEET})
        server.add_call(message.Announce, roles, self._answer_announce)
        server.add_call(message.Retire, roles, self._answer_retire)
        server.add_call(message.ReadRetired, roles, self._answer_read_retired)

    def _follow(self, item: object, answer: object) -> None:
        if item is None or isinstance(item, command.RetireMember):
            leaving = frozenset(self._machine.state.retired.values())
            self._replica.set_leaving(leaving)

    def _check_leading(self) -> None:
        if not self._replica.is_leader:
            leader = self._replica.leader
            raise error.NotLeaderError("this control VM doesn't lead", leader)

    async def _answer_announce(
        self, request: message.Announce, caller: rpc.Caller
    ) -> message.Announced:
        self._check_leading()
        self._heard[request.label] = (request.address, self._timer.read_clock())
        names = {member.name for member in self._replica.members}
        is_retired = request.label in self._machine.state.retired
        if request.address not in names and not is_retired:
            logger.info("member joins", extra={"member": request.address})
            await self._replica.add_member(request.address, request.address)
        members = tuple(member.address for member in self._replica.members)
        return message.Announced(members)

    async def _answer_retire(
        self, request: message.Retire, caller: rpc.Caller
    ) -> message.Empty:
        """Begin to empty a VM; one that is being emptied already is no error."""
        self._check_leading()
        await self._replica.read_index()
        if request.label in self._machine.state.retired:
            return message.Empty()
        if request.label not in self._heard:
            text = f"no control VM {request.label!r} was heard"
            raise error.RequestError(text, error.Kind.OBJECT_UNKNOWN)
        if self._count_remaining(request.label) < self._voters:
            text = f"{self._voters} control VMs must remain"
            raise error.RequestError(text, error.Kind.CONFLICT)
        address, _ = self._heard[request.label]
        item = command.RetireMember(address, request.label)
        await self._replica.propose(command.REGISTRY.encode(item))
        logger.info("member is to leave", extra={"member": address})
        return message.Empty()

    def _count_remaining(self, label: str) -> int:
        """Return how many VMs would be there without this one."""
        now = self._timer.read_clock()
        retired = self._machine.state.retired
        return sum(
            now - at < SILENCE_SECONDS
            for name, (_, at) in self._heard.items()
            if name != label and name not in retired
        )

    async def _answer_read_retired(
        self, request: message.ReadRetired, caller: rpc.Caller
    ) -> message.RetiredView:
        self._check_leading()
        await self._replica.read_index()
        address = self._machine.state.retired.get(request.label)
        if address is None:
            return message.RetiredView(False, False)
        voters = [m for m in self._replica.members if m.voter]
        is_member = any(member.name == address for member in self._replica.members)
        is_empty = not is_member and len(voters) >= self._voters
        return message.RetiredView(True, is_empty)

"""Take an operator's orders at any control VM.

An order is carried to the leader; an answer is given only for what a quorum
holds. Reads are confirmed by a quorum first, so a VM that is cut off gives none.
"""

from sapphireseam.control import publish, record
from sapphireseam.control.machine import StateMachine
from sapphireseam.core import command, error, fleet, message
from sapphireseam.state.replica import Replica
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.timer import TimerService, wait_for

# Operators ask another VM after a second; so long an order or a read may take.
ORDER_SECONDS = 0.9
READ_SECONDS = 0.8


class AdminService:
    """Publish, read back and retire on an operator's behalf."""

    def __init__(
        self,
        replica: Replica,
        machine: StateMachine,
        client: ControlClient,
        timer: TimerService,
    ):
        self._replica = replica
        self._machine = machine
        self._client = client
        self._timer = timer

    async def publish(self, number: int, document: bytes, source: bytes) -> int:
        """Return the number in force once this one or a higher one is kept.

        Raises `ConfigurationError` with every finding, or `ControlError` while
        no leader takes it.
        """
        findings = publish.check(self._machine.state, document)
        if findings:
            raise error.ConfigurationError(fleet.render_findings(findings))
        now = self._timer.read_wall_clock()
        item = command.PublishNumbered(number, document, source, now)
        answer = await self._client.propose(item, ORDER_SECONDS)
        return answer.number

    async def read(self) -> bytes:
        """Return the newest configuration as its operator sent it."""
        try:
            await wait_for(self._timer, self._replica.read_index(), READ_SECONDS)
        except TimeoutError:
            raise error.ControlError("no quorum confirmed in time") from None
        if not record.read_revision(self._machine.state):
            raise error.ControlError("nothing was published yet")
        return publish.read_source(self._machine.state)

    async def retire(self, label: str) -> None:
        """Have a control VM emptied; raise if there is none or too few remain."""
        await self._client.call(message.Retire(label), ORDER_SECONDS)

    async def read_retired(self, label: str) -> message.RetiredView:
        """Tell whether a VM that is to be emptied is empty."""
        return await self._client.call(message.ReadRetired(label), READ_SECONDS)

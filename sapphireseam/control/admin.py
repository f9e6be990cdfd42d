"""Serves operators' requests on any control VM.

A change is sent to the leader and acknowledged only once a quorum holds it. A quorum
confirms each read first, so a VM that is cut off from the others answers no reads.
"""

import itertools
import secrets
from collections.abc import Callable

from sapphireseam.control import publish, record
from sapphireseam.control.machine import StateMachine
from sapphireseam.core import command, error, fleet, message
from sapphireseam.state.replica import Replica
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.timer import TimerService, wait_for

# Timeouts of a change and of a read. They are below one second, because operators
# retry at another VM after a second.
CHANGE_SECONDS = 0.9
READ_SECONDS = 0.8
# Pause before a read that no leader confirmed is tried again.
RETRY_SECONDS = 0.05


class AdminService:
    """Publishes and reads configurations for an operator.

    It also evacuates failure domains and retires control VMs.
    """

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
        """Publish a configuration; return the number in force once a quorum holds it.

        The number is this one or a higher one that was published before. Raises
        `ConfigurationError` with all findings, or `ControlError` if no leader accepts
        the configuration.
        """
        findings = publish.check(self._machine.state, document)
        if findings:
            raise error.ConfigurationError(fleet.render_findings(findings))
        now = self._timer.read_wall_clock()
        item = command.PublishNumbered(number, document, source, now)
        answer = await self._client.propose(item, CHANGE_SECONDS)
        return answer.number

    async def read(self) -> bytes:
        """Return the newest configuration as its operator sent it."""
        try:
            await wait_for(self._timer, self._replica.read_index(), READ_SECONDS)
        except TimeoutError:
            raise error.ControlError("no quorum confirmed the read in time") from None
        if not record.read_revision(self._machine.state):
            raise error.ControlError("no configuration has been published yet")
        return publish.read_source(self._machine.state)

    async def set_evacuation(
        self, domain: str, is_evacuated: bool, is_wanted: Callable[[], bool]
    ) -> None:
        """Evacuate a failure domain or take that back; return once a quorum holds it.

        The order may have been held up until it was sent again elsewhere and a later
        one has followed. So it is dropped with a `ControlError` unless `is_wanted`
        after the newest change is known, and has no effect after a further change.
        """
        request = f"evacuation-{secrets.token_hex(8)}"
        try:
            await wait_for(
                self._timer,
                self._set_evacuation(request, domain, is_evacuated, is_wanted),
                CHANGE_SECONDS,
            )
        except TimeoutError:
            raise error.ControlError("no quorum accepted the order in time") from None

    async def _set_evacuation(
        self, request: str, domain: str, is_evacuated: bool, is_wanted: Callable
    ) -> None:
        for number in itertools.count():
            await self._wait_read_index()
            if not is_wanted():
                raise error.ControlError("the sender of the order has gone")
            item = command.SetEvacuation(
                f"{request}-{number}",
                domain,
                is_evacuated,
                self._timer.read_wall_clock(),
                record.read_evacuated(self._machine.state).number,
                is_forced=True,
            )
            try:
                await self._client.propose(item, CHANGE_SECONDS)
                return
            except error.SeamError as failure:
                if failure.kind is not error.Kind.CONFLICT:
                    raise

    async def _wait_read_index(self) -> None:
        """Return once a quorum confirms what this member knows, however long it takes.

        During an election the sender's next call would come later than a retry here.
        """
        while True:
            try:
                await self._replica.read_index()
                return
            except error.NotLeaderError:
                await self._timer.sleep(RETRY_SECONDS)

    async def retire(self, label: str) -> None:
        """Retire a control VM; raise if it is unknown or too few would remain."""
        await self._client.call(message.Retire(label), CHANGE_SECONDS)

    async def read_retired(self, label: str) -> message.RetiredView:
        """Return whether a control VM is retired, and whether it has been replaced."""
        return await self._client.call(message.ReadRetired(label), READ_SECONDS)

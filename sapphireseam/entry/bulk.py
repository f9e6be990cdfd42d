"""Hand in, read and end lots on behalf of callers."""

from sapphireseam.core import command, error, fleet, message
from sapphireseam.entry.placer import ELECTION_SECONDS
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.timer import TimerService

# How long the control VMs may take for each call, beside what it waits for.
ACCEPT_SECONDS = 1.5
READ_SECONDS = 0.9
END_SECONDS = 1.5


class BulkJobClient:
    """Carry callers' orders about lots to the leader."""

    def __init__(self, client: ControlClient, timer: TimerService):
        self._client = client
        self._timer = timer

    async def accept(
        self,
        lot: str,
        customer: str,
        route_name: str,
        route: fleet.Route,
        items: tuple[command.LotItem, ...],
    ) -> None:
        """Return once the lot is kept by a quorum.

        Raises `CapacityError` if the customer has too much waiting, and an error
        that isn't "not run" if the lot may have been taken.
        """
        now = self._timer.read_wall_clock()
        batch = route.batch or fleet.Batch()
        item = command.AcceptLot(
            lot,
            customer,
            route_name,
            items,
            batch.token_limit,
            now,
            now + batch.due,
            now + batch.abandon,
        )
        try:
            await self._client.propose(item, ACCEPT_SECONDS)
        except error.SeamError as failure:
            if failure.kind is error.Kind.RATE_LIMITED:
                raise error.CapacityError(
                    failure.message, error.Kind.RATE_LIMITED, not_run=True
                ) from None
            if failure.not_run:
                failure.retry_after = ELECTION_SECONDS
            raise

    async def read(
        self, lot: str, customer: str, after: int, wait: float
    ) -> message.LotView:
        """Return results from a position on, waiting for a first one."""
        request = message.ReadLot(lot, customer, after, wait)
        return await self._client.call(request, wait + READ_SECONDS)

    async def read_item(self, lot: str, customer: str, item: str) -> bytes:
        """Return the body of an item that isn't listed yet."""
        request = message.ReadLotItem(lot, customer, item)
        piece = await self._client.call(request, READ_SECONDS)
        return piece.data

    async def end(self, lot: str, customer: str) -> None:
        """Return once the lot is ended for good."""
        await self._client.propose(command.EndLot(lot, customer), END_SECONDS)

"""Submits, reads and ends bulk jobs for callers."""

from sapphireseam.core import command, error, fleet, message
from sapphireseam.entry.placer import ELECTION_SECONDS
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.timer import TimerService

# Timeouts of calls to the control VMs. A read's wait is added to its timeout.
ACCEPT_SECONDS = 1.5
READ_SECONDS = 0.9
END_SECONDS = 1.5


class BulkJobClient:
    """Send callers' requests about bulk jobs to the leader."""

    def __init__(self, client: ControlClient, timer: TimerService):
        self._client = client
        self._timer = timer

    async def accept(
        self,
        job: str,
        customer: str,
        route_name: str,
        route: fleet.Route,
        items: tuple[command.LotItem, ...],
    ) -> None:
        """Return once a quorum has stored the bulk job.

        Raises `CapacityError` if the customer's waiting tokens would exceed the
        route's limit, and an error that isn't "not run" if the job may have been
        accepted.
        """
        now = self._timer.read_wall_clock()
        batch = route.batch or fleet.Batch()
        proposal = command.AcceptLot(
            job,
            customer,
            route_name,
            items,
            batch.token_limit,
            now,
            now + batch.due,
            now + batch.abandon,
        )
        try:
            await self._client.propose(proposal, ACCEPT_SECONDS)
        except error.SeamError as failure:
            if failure.kind is error.Kind.RATE_LIMITED:
                raise error.CapacityError(
                    failure.message, error.Kind.RATE_LIMITED, not_run=True
                ) from None
            if failure.not_run:
                failure.retry_after = ELECTION_SECONDS
            raise

    async def read(
        self, job: str, customer: str, after: int, wait: float
    ) -> message.LotView:
        """Return the results after a position; wait for the first one if needed."""
        request = message.ReadLot(job, customer, after, wait)
        return await self._client.call(request, wait + READ_SECONDS)

    async def read_item(self, job: str, customer: str, item: str) -> bytes:
        """Return the body of an item whose result is not listed yet."""
        request = message.ReadLotItem(job, customer, item)
        piece = await self._client.call(request, READ_SECONDS)
        return piece.data

    async def end(self, job: str, customer: str) -> None:
        """Return once a quorum has stored that the job is ended."""
        await self._client.propose(command.EndLot(job, customer), END_SECONDS)

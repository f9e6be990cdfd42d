"""Submits, reads and ends bulk jobs for callers.

Reads go to a control VM of the entry's failure domain if the settings ask for it, and
otherwise to the leader.
"""

import logging
from collections import Counter
from collections.abc import Callable
from typing import Any

from sapphireseam.core import command, error, fleet, message
from sapphireseam.entry.placer import ELECTION_SECONDS
from sapphireseam.policy.nearby import NearbyReaders
from sapphireseam.utils import metric
from sapphireseam.utils.client import ControlClient, MemberError
from sapphireseam.utils.timer import TimerService

# Timeouts of calls to the control VMs. A read's wait is added to its timeout.
ACCEPT_SECONDS = 1.5
READ_SECONDS = 0.9
# How long a read waits for a near control VM beyond its own wait.
ANSWER_SECONDS = 0.4
END_SECONDS = 1.5


# Who answered a read, in the metrics.
NEAR = "near"
LEADER = "leader"

logger = logging.getLogger(__name__)


class BulkJobClient:
    """Send callers' requests about bulk jobs to the control VMs."""

    def __init__(
        self,
        client: ControlClient,
        timer: TimerService,
        meter: metric.Meter,
        readers: NearbyReaders | None = None,
    ):
        self._client = client
        self._timer = timer
        self._readers = readers
        # Reads by who answered them.
        self._counts = Counter({NEAR: 0, LEADER: 0})
        meter.read_many(
            metric.BULK_READS,
            lambda: [(n, {"source": source}) for source, n in self._counts.items()],
        )

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

        def make_request(left: float) -> message.ReadLot:
            return message.ReadLot(job, customer, after, left)

        return await self._read(make_request, wait)

    async def read_item(self, job: str, customer: str, item: str) -> bytes:
        """Return the body of an item whose result is not listed yet."""
        request = message.ReadLotItem(job, customer, item)
        piece = await self._read(lambda _: request, 0.0)
        return piece.data

    async def _read(self, make_request: Callable[[float], Any], wait: float) -> Any:
        """Return the answer of a near control VM, or else the leader's.

        The leader waits only for what the near one has left of the wait.
        """
        address = self._pick_reader()
        if address:
            end = self._timer.read_clock() + wait
            try:
                answer = await self._client.call_member(
                    address, make_request(wait), wait + ANSWER_SECONDS
                )
                self._counts[NEAR] += 1
                self._readers.record_success(address)
                return answer
            except MemberError as failure:
                self._readers.record_failure(address, self._timer.read_clock())
                detail = {"address": address, "cause": failure.message}
                logger.info("near control VM left out for reads", extra=detail)
                wait = max(end - self._timer.read_clock(), 0.0)
        self._counts[LEADER] += 1
        return await self._client.call(make_request(wait), wait + READ_SECONDS)

    def _pick_reader(self) -> str:
        if self._readers is None:
            return ""
        return self._readers.pick(self._client.leader, self._timer.read_clock())

    async def end(self, job: str, customer: str) -> None:
        """Return once a quorum has stored that the job is ended."""
        await self._client.propose(command.EndLot(job, customer), END_SECONDS)

"""Enforces the customers' rate limits on the control VM that leads.

The leader owns one token bucket for each customer with a contract. A grant is not
replicated. Instead, the leader replicates records, each of which limits the amount
that it grants until the next record (policy/reserve.py). A new leader starts to
grant once the leadership lease and the grants of the old leader have expired. Its
buckets start with the amount that is certainly left according to the old leader's
records. The lifetime of a grant starts when the entry sends its request, see
`GRANT_SECONDS`.

A new leader first commits its term. From then on, commands of older leaders have no
effect, and everything that was committed before is applied here, so the inherited
records are the newest ones. After that, one task commits the leader's own records,
with one command for all customers that need a record.
"""

import asyncio
import logging

from sapphireseam.control import record
from sapphireseam.control.machine import StateMachine
from sapphireseam.core import command, error, fleet, message, outcome
from sapphireseam.policy import limit, reserve
from sapphireseam.state.replica import Replica
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.timer import TimerService, run_periodically

logger = logging.getLogger(__name__)

# How long an entry may use a grant after it sent the request, in seconds. The buckets
# of a new leader start to fill only after this time.
GRANT_SECONDS = 1.0
# Largest drift between the clocks of two VMs over `GRANT_SECONDS`, in seconds.
MARGIN_SECONDS = 0.1
# How often a control VM checks whether it has become the leader and which of its
# records are due, in seconds.
POLL_SECONDS = 0.1
# How often a waiting request checks whether the buckets are ready, in seconds.
READY_POLL_SECONDS = 0.02


class RateLimitService:
    """Debit customers' token buckets for all entries.

    The buckets of a new leader start to fill `wait_seconds` after it became leader.
    """

    def __init__(
        self,
        replica: Replica,
        machine: StateMachine,
        timer: TimerService,
        wait_seconds: float = GRANT_SECONDS + MARGIN_SECONDS,
    ):
        self._wait_seconds = wait_seconds
        self._replica = replica
        self._machine = machine
        self._timer = timer
        # The newest term that this VM leads, and the one whose buckets it owns.
        self._pending_term = -1
        self._term = -1
        self._ready_at = 0.0
        self._is_stopped = False
        self._limiter = reserve.ReservedLimiter(0.0, {})
        self._contracts: dict[str, fleet.Contract] = {}
        # The customers that have no contract, and so no limit.
        self._unlimited: frozenset[str] = frozenset()
        self._waiting_amounts: dict[str, float] = {}
        self._wake = asyncio.Event()
        self._commit_done = asyncio.Event()
        self._tasks = TaskGroup()
        machine.subscribe(self._on_applied)

    async def start(self) -> None:
        """Start to check whether this control VM has become the leader."""
        self._tasks.spawn(run_periodically(self._timer, POLL_SECONDS, self._poll))
        self._tasks.keep(self._commit_forever)

    async def stop(self) -> None:
        """Grant nothing more and stop the periodic tasks."""
        self._is_stopped = True
        await self._tasks.cancel()
        self._wake_waiting()

    async def _poll(self) -> None:
        """Detect a new term early, so that buckets fill before the first debit."""
        self._update_pending_term()
        self._wake.set()

    def _update_pending_term(self) -> None:
        if self._replica.is_leader and self._replica.term != self._pending_term:
            self._pending_term = self._replica.term
            now = self._timer.read_clock()
            self._ready_at = now + self._wait_seconds

    def _on_applied(self, item: object, answer: object) -> None:
        if item is None or isinstance(item, command.Publish | command.PublishNumbered):
            self._configure()

    async def _commit_forever(self) -> None:
        """Commit terms and records, one command at a time."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            try:
                await self._commit_next()
            except error.SeamError as failure:
                logger.info(
                    "rate limit record not committed, will retry",
                    extra={"cause": failure.message},
                )
                await self._timer.sleep(POLL_SECONDS)
            self._wake_waiting()

    def _wake_waiting(self) -> None:
        """Wake the waiting debits, which check again whether they can be granted."""
        self._waiting_amounts = {}
        self._commit_done.set()
        self._commit_done = asyncio.Event()

    async def _commit_next(self) -> None:
        """Commit a new term, or else the records that are due."""
        self._update_pending_term()
        term = self._pending_term
        if not self._replica.is_leader or self._replica.term != term:
            return
        if term != self._term:
            if await self._commit(command.RecordReserves(term)):
                self._begin_term(term)
            return
        limiter = self._limiter
        draft = limiter.plan(self._timer.read_clock(), self._waiting_amounts)
        if not draft.records:
            return
        reserves = tuple(
            command.Reserve(customer, *each) for customer, each in draft.records.items()
        )
        if await self._commit(command.RecordReserves(term, reserves)):
            limiter.confirm(draft.number)

    async def _commit(self, item: command.RecordReserves) -> bool:
        """Commit a command; return whether it took effect."""
        answer = await self._replica.propose(command.REGISTRY.encode(item))
        return isinstance(answer, outcome.Done)

    def _begin_term(self, term: int) -> None:
        self._term = term
        # Buckets start to fill when the old leader's grants have expired.
        self._limiter = reserve.ReservedLimiter(
            self._ready_at, self._machine.state.reserves
        )
        self._contracts = {}
        self._configure()
        # Commit the records of this term while the old grants expire.
        self._wake.set()

    def _configure(self) -> None:
        """Configure the buckets for the contracts in force."""
        found = record.read_fleet(self._machine.state)
        contracts = _list_contracts(found)
        self._unlimited = frozenset(found.customers.keys() - contracts.keys())
        now = self._timer.read_clock()
        for customer in self._contracts.keys() - contracts.keys():
            self._limiter.remove(customer)
        for customer, contract in contracts.items():
            if self._contracts.get(customer) != contract:
                self._limiter.configure(customer, contract.rate, contract.burst, now)
        self._contracts = contracts

    @property
    def contracts(self) -> dict[str, fleet.Contract]:
        """Return the contracts by customer in the configuration applied here."""
        return _list_contracts(record.read_fleet(self._machine.state))

    @property
    def is_ready(self) -> bool:
        """Return whether this control VM may grant now."""
        try:
            self._require_ready()
        except error.SeamError:
            return False
        return True

    async def wait_ready(self, seconds: float) -> None:
        """Return once this VM may grant; raise on a timeout or if it stops leading."""
        end = self._timer.read_clock() + seconds
        while not self.is_ready:
            if not self._replica.is_leader or self._timer.read_clock() >= end:
                self._require_ready()
            await self._timer.sleep(READY_POLL_SECONDS)

    async def debit_one(self, customer: str) -> limit.Grant:
        """Grant or refuse one request of a customer."""
        grant = self._try_debit(customer, 1.0)
        while grant is None:
            await self._wait_for_record(customer, 1.0)
            grant = self._try_debit(customer, 1.0)
        return grant

    async def debit(self, request: message.Debit) -> message.Debited:
        """Grant or refuse each requested amount; never grant a part of one."""
        grants: list[limit.Grant] = []
        for index, (customer, amount) in enumerate(request.wanted):
            self._require_ready()
            grant = self._try_debit(customer, amount)
            while grant is None:
                remaining = request.wanted[index:]
                await self._wait_for_record(customer, _sum_amounts(customer, remaining))
                grant = self._try_debit(customer, amount)
            grants.append(grant)
        return message.Debited(tuple(tuple(grant) for grant in grants))

    def _require_ready(self) -> None:
        """Raise an error if this control VM may not grant now."""
        if self._is_stopped or not self._replica.is_leader:
            raise error.NotLeaderError("this control VM is not the leader")
        self._update_pending_term()
        now = self._timer.read_clock()
        if self._term != self._replica.term or now < self._ready_at:
            self._wake.set()
            text = "the new leader waits until the old leader's grants have expired"
            wait = max(self._ready_at - now, POLL_SECONDS)
            raise error.CapacityError(text, retry_after=wait)

    def _try_debit(self, customer: str, amount: float) -> limit.Grant | None:
        if customer in self._unlimited:
            return limit.Grant(amount, 0.0)
        now = self._timer.read_clock()
        grant = self._limiter.debit(customer, amount, now)
        if grant is None or self._limiter.is_low(customer):
            self._wake.set()
        return grant

    async def _wait_for_record(self, customer: str, amount: float) -> None:
        """Return once another record is committed, which may cover the amount."""
        self._waiting_amounts[customer] = (
            self._waiting_amounts.get(customer, 0.0) + amount
        )
        self._wake.set()
        await self._commit_done.wait()
        self._require_ready()


def _sum_amounts(customer: str, requested: tuple[tuple[str, float], ...]) -> float:
    return sum(amount for name, amount in requested if name == customer)


def _list_contracts(found: fleet.Fleet) -> dict[str, fleet.Contract]:
    """Return each customer's contract in a published configuration."""
    return {
        name: found.contracts[customer.contract]
        for name, customer in found.customers.items()
        if customer.contract in found.contracts
    }

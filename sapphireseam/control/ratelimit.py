"""Own the customers' buckets while this control VM leads.

Nothing is replicated for a grant. A new leader's buckets open once the leases
of the old one and whatever it granted have run out, with what the old one's
records say is surely left (policy/reserve.py). The time of a grant counts from
when the entry sent its question, see `GRANT_SECONDS`.

A new leader first has its term committed. That ends every older owner's
commands, and all that was committed before is applied here by then, so what it
inherits is the newest there is. Then one task has its own records committed,
those of all customers that need one in one command.
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

# How long an entry may use a grant, from when it asked. A new owner waits for
# this long before its buckets begin to fill.
GRANT_SECONDS = 1.0
# What the clocks of two VMs may differ by in rate over that time, in seconds.
MARGIN_SECONDS = 0.1
# How often a control VM looks whether it has become the owner, and its records
# are looked through for those that are due.
LOOK_SECONDS = 0.1
# How often whoever waits for the buckets to open looks again.
OPEN_LOOK_SECONDS = 0.02


class RateLimitService:
    """Debit customers' buckets for all entries.

    A new owner's buckets fill from `wait_seconds` after it began to lead.
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
        # The term that is being taken over, and the one that is owned.
        self._seen_term = -1
        self._term = -1
        self._ready_at = 0.0
        self._is_stopped = False
        self._limiter = reserve.ReservedLimiter(0.0, {})
        self._contracts: dict[str, fleet.Contract] = {}
        self._waiting: dict[str, float] = {}
        self._wake = asyncio.Event()
        self._written = asyncio.Event()
        self._tasks = TaskGroup()
        machine.subscribe(self._follow)

    async def start(self) -> None:
        """Begin to look whether this control VM has become the owner."""
        self._tasks.spawn(run_periodically(self._timer, LOOK_SECONDS, self._look))
        self._tasks.spawn(self._write_forever())

    async def stop(self) -> None:
        """Grant nothing more, and stop looking."""
        self._is_stopped = True
        await self._tasks.cancel()
        self._release_waiting()

    async def _look(self) -> None:
        """Begin a new term at once, so that buckets fill before they are asked."""
        self._notice_term()
        self._wake.set()

    def _notice_term(self) -> None:
        if self._replica.is_leader and self._replica.term != self._seen_term:
            self._seen_term = self._replica.term
            now = self._timer.read_clock()
            self._ready_at = now + self._wait_seconds

    def _follow(self, item: object, answer: object) -> None:
        if item is None or isinstance(item, command.Publish | command.PublishNumbered):
            self._configure()

    async def _write_forever(self) -> None:
        """Have terms and records committed, one command at a time."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            try:
                await self._write()
            except error.SeamError as failure:
                logger.info("record put off", extra={"cause": failure.message})
                await self._timer.sleep(LOOK_SECONDS)
            self._release_waiting()

    def _release_waiting(self) -> None:
        """Have waiting debits look again whether they can go on."""
        self._waiting = {}
        self._written.set()
        self._written = asyncio.Event()

    async def _write(self) -> None:
        """Take the term over, or have the records committed that are due."""
        self._notice_term()
        term = self._seen_term
        if not self._replica.is_leader or self._replica.term != term:
            return
        if term != self._term:
            if await self._commit(command.RecordReserves(term)):
                self._begin_term(term)
            return
        limiter = self._limiter
        draft = limiter.plan(self._timer.read_clock(), self._waiting)
        if not draft.records:
            return
        reserves = tuple(
            command.Reserve(customer, *each) for customer, each in draft.records.items()
        )
        if await self._commit(command.RecordReserves(term, reserves)):
            limiter.confirm(draft.number)

    async def _commit(self, item: command.RecordReserves) -> bool:
        """Say whether the command took effect."""
        answer = await self._replica.propose(command.REGISTRY.encode(item))
        return isinstance(answer, outcome.Done)

    def _begin_term(self, term: int) -> None:
        self._term = term
        # Buckets begin to fill when the old owner's grants have run out.
        self._limiter = reserve.ReservedLimiter(
            self._ready_at, self._machine.state.reserves
        )
        self._contracts = {}
        self._configure()
        # The records of this term are committed while the old grants run out.
        self._wake.set()

    def _configure(self) -> None:
        """Bring the buckets in line with the contracts in force."""
        document = record.read_document(self._machine.state)
        contracts = read_contracts(document)
        now = self._timer.read_clock()
        for customer in self._contracts.keys() - contracts.keys():
            self._limiter.remove(customer)
        for customer, contract in contracts.items():
            if self._contracts.get(customer) != contract:
                self._limiter.configure(customer, contract.rate, contract.burst, now)
        self._contracts = contracts

    @property
    def contracts(self) -> dict[str, fleet.Contract]:
        """Return the contract of each customer that has one, as in force here."""
        return read_contracts(record.read_document(self._machine.state))

    @property
    def is_ready(self) -> bool:
        """Say whether this control VM may grant now."""
        try:
            self._check_open()
        except error.SeamError:
            return False
        return True

    async def wait_ready(self, seconds: float) -> None:
        """Return once this VM may grant; raise if that takes longer."""
        end = self._timer.read_clock() + seconds
        while not self.is_ready:
            if not self._replica.is_leader or self._timer.read_clock() >= end:
                self._check_open()
            await self._timer.sleep(OPEN_LOOK_SECONDS)

    async def debit_one(self, customer: str) -> limit.Grant:
        """Grant or refuse one request of a customer."""
        grant = self._try_debit(customer, 1.0)
        while grant is None:
            await self._wait_for_record(customer, 1.0)
            grant = self._try_debit(customer, 1.0)
        return grant

    async def debit(self, request: message.Debit) -> message.Debited:
        """Grant or refuse each customer's amount, whole or not at all."""
        grants: list[limit.Grant] = []
        for place, (customer, amount) in enumerate(request.wanted):
            self._check_open()
            grant = self._try_debit(customer, amount)
            while grant is None:
                rest = request.wanted[place:]
                await self._wait_for_record(customer, _sum_wanted(customer, rest))
                grant = self._try_debit(customer, amount)
            grants.append(grant)
        return message.Debited(tuple(tuple(grant) for grant in grants))

    def _check_open(self) -> None:
        """Raise what keeps this control VM from granting now."""
        if self._is_stopped or not self._replica.is_leader:
            raise error.NotLeaderError("this control VM doesn't lead")
        self._notice_term()
        now = self._timer.read_clock()
        if self._term != self._replica.term or now < self._ready_at:
            self._wake.set()
            text = "the limits' new owner waits out the old one's grants"
            wait = max(self._ready_at - now, LOOK_SECONDS)
            raise error.CapacityError(text, retry_after=wait)

    def _try_debit(self, customer: str, amount: float) -> limit.Grant | None:
        now = self._timer.read_clock()
        grant = self._limiter.debit(customer, amount, now)
        if grant is None or self._limiter.is_low(customer):
            self._wake.set()
        return grant

    async def _wait_for_record(self, customer: str, amount: float) -> None:
        """Return once another record may let the amount go."""
        self._waiting[customer] = self._waiting.get(customer, 0.0) + amount
        self._wake.set()
        await self._written.wait()
        self._check_open()


def _sum_wanted(customer: str, wanted: tuple[tuple[str, float], ...]) -> float:
    return sum(amount for name, amount in wanted if name == customer)


def read_contracts(document: bytes) -> dict[str, fleet.Contract]:
    """Return each customer's contract in a published configuration."""
    found, _ = fleet.parse(record.decode_document(document))
    if found is None:
        return {}
    return {
        name: found.contracts[customer.contract]
        for name, customer in found.customers.items()
        if customer.contract and customer.contract in found.contracts
    }

"""Own the customers' buckets while this control VM leads.

Nothing is replicated for a grant. A new leader starts with empty buckets, once
the leases of the old one and whatever it granted have run out, so a change of
owner can refuse a customer for a moment but never grants twice. The time of a
grant counts from when the entry sent its question, see `GRANT_SECONDS`.
"""

from sapphireseam.control import record
from sapphireseam.control.machine import StateMachine
from sapphireseam.core import command, error, fleet, message
from sapphireseam.policy import limit
from sapphireseam.state.replica import Replica
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.timer import TimerService, run_periodically

# How long an entry may use a grant, from when it asked. A new owner waits for
# this long before its buckets begin to fill.
GRANT_SECONDS = 1.0
# What the clocks of two VMs may differ by in rate over that time, in seconds.
MARGIN_SECONDS = 0.1
# How often a control VM looks whether it has become the owner.
LOOK_SECONDS = 0.1


class LimitOwner:
    """Debit customers' buckets for all entries."""

    def __init__(self, replica: Replica, machine: StateMachine, timer: TimerService):
        self._replica = replica
        self._machine = machine
        self._timer = timer
        self._term = -1
        self._ready_at = 0.0
        self._limiter: limit.Limiter = limit.OwnerLimiter()
        self._contracts: dict[str, fleet.Contract] = {}
        self._tasks = TaskGroup()
        machine.subscribe(self._follow)

    async def start(self) -> None:
        """Begin to look whether this control VM has become the owner."""
        self._tasks.spawn(run_periodically(self._timer, LOOK_SECONDS, self._look))

    async def stop(self) -> None:
        """Stop looking."""
        await self._tasks.cancel()

    async def _look(self) -> None:
        """Begin a new term at once, so that buckets fill before they are asked."""
        if self._replica.is_leader and self._replica.term != self._term:
            self._begin_term()

    def _follow(self, item: object, answer: object) -> None:
        if item is None or isinstance(item, command.Publish):
            self._configure()

    def _begin_term(self) -> None:
        self._term = self._replica.term
        now = self._timer.read_clock()
        self._ready_at = now + GRANT_SECONDS + MARGIN_SECONDS
        # Buckets begin to fill when the old owner's grants have run out.
        self._limiter = limit.OwnerLimiter(opens_at=self._ready_at)
        self._contracts = {}
        self._configure()

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

    async def debit(self, request: message.Debit) -> message.Debited:
        """Grant or refuse each customer's amount, whole or not at all."""
        if not self._replica.is_leader:
            raise error.NotLeaderError("this control VM doesn't lead")
        if self._replica.term != self._term:
            self._begin_term()
        now = self._timer.read_clock()
        if now < self._ready_at:
            text = "the limits' new owner waits out the old one's grants"
            raise error.CapacityError(text, retry_after=self._ready_at - now)
        if not self._contracts:
            self._configure()
        grants = tuple(
            tuple(self._limiter.debit(customer, amount, now))
            for customer, amount in request.wanted
        )
        return message.Debited(grants)


def read_contracts(document: bytes) -> dict[str, fleet.Contract]:
    """Return each customer's contract in a published configuration."""
    found, _ = fleet.parse(record.decode_document(document))
    if found is None:
        return {}
    return {
        name: found.contracts[customer.contract]
        for name, customer in found.customers.items()
        if customer.contract in found.contracts
    }

"""Let a new owner of the limits start with what the old one surely left.

The owner has one record for each active customer replicated ahead of its
grants: (level, reserve). It says that the bucket held `level` when the record
was drafted and that the owner grants at most `reserve` from then on, until a
newer record is in force. So whenever the owner is lost, at least `level -
reserve` is left, and a new owner starts with just that. A debit that would
break the promise waits for one more record; records are renewed early, for all
customers together, so that steady use never waits.

Weighed: replicating each debit (a log write a request), and starting empty
(refuses customers within their rate after each loss of an owner). The price of
records is about a command a second, and at most a reserve a customer lost with
each owner.

A record that was sent counts as in force and not in force until it is known to
be committed: grants keep the promises of both.

    draft = limiter.plan(now, {})
    ...                             # have draft.records committed
    limiter.confirm(draft.number)

Time is a monotonic reading in seconds, amounts are in tokens.
"""

import math
from collections.abc import Mapping
from typing import NamedTuple

from sapphireseam.policy import limit

# A reserve lasts for so long at the customer's rate, in seconds.
RESERVE_SECONDS = 0.5

# No reserve is larger than this share of the burst, but for waiting debits.
BURST_SHARE = 0.25

# A record is renewed once less than this share of its reserve is left, and
# along with others once more than this share is spent.
LOW_SHARE = 0.25

# A record is renewed once a new owner would start with more by this share of
# the usual reserve.
GAIN_SHARE = 0.5


class Draft(NamedTuple):
    """Hold records to commit together, by customer; none if none is due."""

    number: int
    records: dict[str, limit.Reserve]


class _Promise:
    """Count what was granted since a record was drafted."""

    def __init__(self, number: int, record: limit.Reserve):
        self.number = number
        self.record = record
        self.spent = 0.0

    @property
    def left(self) -> float:
        """Return what may still be granted; a record worth nothing binds nothing."""
        if self.record.level <= self.record.reserve:
            return math.inf
        return self.record.reserve - self.spent


# A customer without a record starts empty at the next owner.
_WORTHLESS = limit.Reserve(0.0, 0.0)


class ReservedLimiter:
    """Grant as `limit.OwnerLimiter` does, but never past a record's reserve.

    `inherited` are the records that the owners before this one left. None of
    them allows this owner any grant: it must have its own committed first.
    """

    def __init__(
        self,
        opens_at: float,
        inherited: Mapping[str, limit.Reserve],
        longest_step: float = math.inf,
    ):
        self._owner = limit.OwnerLimiter(True, opens_at, longest_step, inherited)
        self._number = 0
        self._terms: dict[str, tuple[float, float]] = {}
        self._promises: dict[str, list[_Promise]] = {}
        for customer, record in inherited.items():
            promise = _Promise(0, record)
            promise.spent = record.reserve
            self._promises[customer] = [promise]

    def tick(self, now: float) -> None:
        """Read the clock; see `limit.OwnerLimiter`."""
        self._owner.tick(now)

    def configure(self, customer: str, rate: float, burst: float, now: float) -> None:
        """Set a customer's rate (tokens a second) and burst (tokens)."""
        self._owner.configure(customer, rate, burst, now)
        self._terms[customer] = (rate, burst)

    def remove(self, customer: str) -> None:
        """Grant this customer nothing more."""
        self._owner.remove(customer)
        self._terms.pop(customer, None)

    def compute_left(self, customer: str) -> float:
        """Return what may be granted before another record is in force."""
        promises = self._promises.get(customer, ())
        return min((each.left for each in promises), default=math.inf)

    def debit(self, customer: str, amount: float, now: float) -> limit.Grant | None:
        """Take the whole amount or nothing; None if a record must come first."""
        if amount > self.compute_left(customer):
            level = self._owner.read_level(customer, now)
            if amount <= level + limit.ROUNDING_TOKENS:
                return None
        grant = self._owner.debit(customer, amount, now)
        self._spend(customer, grant.granted)
        return grant

    def lease(
        self, customer: str, holder: str, wanted: float, now: float
    ) -> limit.Grant:
        """Lease what the bucket and the records let go."""
        wanted = min(wanted, max(self.compute_left(customer), 0.0))
        grant = self._owner.lease(customer, holder, wanted, now)
        # The same name again counts again, which errs on the safe side.
        self._spend(customer, grant.granted)
        return grant

    def release(self, customer: str, holder: str, amount: float, now: float) -> None:
        """End a lease; what comes back isn't added to a reserve."""
        self._owner.release(customer, holder, amount, now)

    def _spend(self, customer: str, amount: float) -> None:
        if amount <= 0.0:
            return
        for promise in self._promises.setdefault(customer, []):
            promise.spent += amount

    def is_low(self, customer: str) -> bool:
        """Say whether the customer's record should be renewed now."""
        usual = self._compute_usual(customer)
        return self.compute_left(customer) < LOW_SHARE * usual

    def plan(self, now: float, waiting: Mapping[str, float]) -> Draft:
        """Draft the records that are due, and those that others go with.

        `waiting` is what each customer's waiting debits want together. What is
        granted from now on counts against the drafted records, so they must be
        sent to the log, once each.
        """
        self._owner.tick(now)
        due = [name for name in self._promises if self._is_due(name, now)]
        if not due and not waiting:
            return Draft(self._number, {})
        spent = [name for name in self._promises if self._is_spent(name)]
        names = dict.fromkeys([*waiting, *due, *spent])
        self._number += 1
        records = {
            name: self._draft(name, waiting.get(name, 0.0), now) for name in names
        }
        return Draft(self._number, records)

    def confirm(self, number: int) -> None:
        """Forget the records that a committed draft has replaced."""
        for customer, promises in self._promises.items():
            newest = [each for each in promises if each.number == number]
            if newest:
                kept = [each for each in promises if each.number >= number]
                self._promises[customer] = kept

    def _draft(self, customer: str, wanted: float, now: float) -> limit.Reserve:
        level = self._owner.read_level(customer, now)
        reserve = self._compute_usual(customer) + wanted
        record = limit.Reserve(level, reserve)
        promises = self._promises.setdefault(customer, [])
        promises.append(_Promise(self._number, record))
        return record

    def _compute_usual(self, customer: str) -> float:
        rate, burst = self._terms.get(customer, (0.0, 0.0))
        return min(RESERVE_SECONDS * rate, BURST_SHARE * burst)

    def _is_due(self, customer: str, now: float) -> bool:
        """Say whether the reserve runs low or a new owner would start too low."""
        promises = self._promises[customer]
        newest = promises[-1].record if promises else _WORTHLESS
        if customer not in self._terms:
            # A removed customer's record is replaced by one that isn't kept.
            return newest.level > newest.reserve
        if self.is_low(customer):
            return True
        usual = self._compute_usual(customer)
        _, burst = self._terms[customer]
        possible = self._owner.read_level(customer, now) - usual
        return possible > newest.compute_initial_level(burst) + GAIN_SHARE * usual

    def _is_spent(self, customer: str) -> bool:
        left = self.compute_left(customer)
        return left < (1.0 - LOW_SHARE) * self._compute_usual(customer)

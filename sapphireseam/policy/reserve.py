"""Preserves unspent tokens when another process becomes the owner of the limits.

Before an owner grants tokens to a customer, it has a record replicated for the
customer: (level, reserve). The record says that the bucket held `level` when the
record was drafted, and that the owner grants at most `reserve` from then on, until
a newer record is in force. So if the owner is lost, at least `level - reserve`
tokens are left, and the new owner's bucket starts with exactly that amount. A debit
that would exceed the reserve waits for a newer record. Records are renewed early,
for all customers together, so that steady use never waits.

The alternatives are worse. Replicating each debit costs a log write per request.
Starting with empty buckets refuses customers within their rate after each loss of
an owner. Records cost about one command a second, and a customer loses at most one
reserve with each owner.

Until a record is known to be committed, it may or may not be in force. So grants
stay within both this record and the ones before it.

    draft = limiter.plan(now, {})
    ...                             # have draft.records committed
    limiter.confirm(draft.number)

Times are monotonic readings in seconds, amounts are in tokens.
"""

import math
from collections.abc import Mapping
from typing import NamedTuple

from sapphireseam.policy import limit

# Time for which a reserve lasts at the customer's rate.
RESERVE_SECONDS = 0.5

# Largest share of the burst in a reserve. The amount of waiting debits is added.
BURST_SHARE = 0.25

# A record is renewed when less than this share of the usual reserve is left. When
# any record is renewed, those with more than this share spent are renewed with it.
LOW_SHARE = 0.25

# A record is renewed when a new owner would start with more tokens under the new
# record than under the old one, by more than this share of the usual reserve.
GAIN_SHARE = 0.5


class Draft(NamedTuple):
    """The records to commit together, by customer; empty if no record is due."""

    number: int
    records: dict[str, limit.Reserve]


class _RecordUsage:
    """The amount granted since a record was drafted."""

    def __init__(self, number: int, record: limit.Reserve):
        self.number = number
        self.record = record
        self.spent = 0.0

    @property
    def remaining(self) -> float:
        """Return the amount that may still be granted under the record.

        A record that leaves nothing to a new owner doesn't limit grants.
        """
        if self.record.level <= self.record.reserve:
            return math.inf
        return self.record.reserve - self.spent


# A customer without a record starts with an empty bucket at the next owner.
_EMPTY_RECORD = limit.Reserve(0.0, 0.0)


class ReservedLimiter:
    """Grants as `limit.OwnerLimiter` does, but never beyond a record's reserve.

    `inherited` are the records that earlier owners left. They don't allow this
    owner any grant, so it must first have its own records committed.
    """

    def __init__(
        self,
        opens_at: float,
        inherited: Mapping[str, limit.Reserve],
        longest_step: float = math.inf,
    ):
        self._limiter = limit.OwnerLimiter(True, opens_at, longest_step, inherited)
        self._number = 0
        self._contracts: dict[str, tuple[float, float]] = {}
        self._usages: dict[str, list[_RecordUsage]] = {}
        for customer, record in inherited.items():
            usage = _RecordUsage(0, record)
            usage.spent = record.reserve
            self._usages[customer] = [usage]

    def tick(self, now: float) -> None:
        """Read the clock; see `limit.OwnerLimiter`."""
        self._limiter.tick(now)

    def configure(self, customer: str, rate: float, burst: float, now: float) -> None:
        """Set a customer's rate (tokens a second) and burst (tokens)."""
        self._limiter.configure(customer, rate, burst, now)
        self._contracts[customer] = (rate, burst)

    def remove(self, customer: str) -> None:
        """Grant nothing more to this customer."""
        self._limiter.remove(customer)
        self._contracts.pop(customer, None)

    def compute_remaining(self, customer: str) -> float:
        """Return the amount that may be granted until a newer record is in force."""
        usages = self._usages.get(customer, ())
        return min((each.remaining for each in usages), default=math.inf)

    def debit(self, customer: str, amount: float, now: float) -> limit.Grant | None:
        """Take the whole amount or nothing; None if it must wait for a new record."""
        if amount > self.compute_remaining(customer):
            level = self._limiter.read_level(customer, now)
            if amount <= level + limit.ROUNDING_TOKENS:
                return None
        grant = self._limiter.debit(customer, amount, now)
        self._spend(customer, grant.granted)
        return grant

    def lease(
        self, customer: str, holder: str, wanted: float, now: float
    ) -> limit.Grant:
        """Lease up to `wanted` tokens, as far as the bucket and the records allow."""
        wanted = min(wanted, max(self.compute_remaining(customer), 0.0))
        grant = self._limiter.lease(customer, holder, wanted, now)
        # A repeated request is counted twice. This is safe: it only means that less
        # is granted under the record.
        self._spend(customer, grant.granted)
        return grant

    def release(self, customer: str, holder: str, amount: float, now: float) -> None:
        """End a lease; the returned tokens aren't added to a reserve."""
        self._limiter.release(customer, holder, amount, now)

    def _spend(self, customer: str, amount: float) -> None:
        if amount <= 0.0:
            return
        for usage in self._usages.setdefault(customer, []):
            usage.spent += amount

    def is_low(self, customer: str) -> bool:
        """Return whether the reserve is so low that the record should be renewed."""
        usual_reserve = self._compute_usual_reserve(customer)
        return self.compute_remaining(customer) < LOW_SHARE * usual_reserve

    def plan(self, now: float, waiting: Mapping[str, float]) -> Draft:
        """Draft the records that are due, and others that are partly spent.

        `waiting` maps customers to the total amount of their waiting debits. Tokens
        that are granted from now on count against the drafted records, so each draft
        must be sent to the log exactly once.
        """
        self._limiter.tick(now)
        due = [name for name in self._usages if self._is_due(name, now)]
        if not due and not waiting:
            return Draft(self._number, {})
        spent = [name for name in self._usages if self._is_partly_spent(name)]
        names = dict.fromkeys([*waiting, *due, *spent])
        self._number += 1
        records = {
            name: self._draft_record(name, waiting.get(name, 0.0), now)
            for name in names
        }
        return Draft(self._number, records)

    def confirm(self, number: int) -> None:
        """Drop the records that a committed draft has replaced."""
        for customer, usages in self._usages.items():
            newest = [each for each in usages if each.number == number]
            if newest:
                kept = [each for each in usages if each.number >= number]
                self._usages[customer] = kept

    def _draft_record(self, customer: str, wanted: float, now: float) -> limit.Reserve:
        level = self._limiter.read_level(customer, now)
        reserve = self._compute_usual_reserve(customer) + wanted
        record = limit.Reserve(level, reserve)
        usages = self._usages.setdefault(customer, [])
        usages.append(_RecordUsage(self._number, record))
        return record

    def _compute_usual_reserve(self, customer: str) -> float:
        rate, burst = self._contracts.get(customer, (0.0, 0.0))
        return min(RESERVE_SECONDS * rate, BURST_SHARE * burst)

    def _is_due(self, customer: str, now: float) -> bool:
        """Return whether the reserve or a new owner's initial level is too low."""
        usages = self._usages[customer]
        newest = usages[-1].record if usages else _EMPTY_RECORD
        if customer not in self._contracts:
            # A removed customer's record is replaced by an empty one, which the
            # replicated state doesn't store.
            return newest.level > newest.reserve
        if self.is_low(customer):
            return True
        usual_reserve = self._compute_usual_reserve(customer)
        _, burst = self._contracts[customer]
        possible = self._limiter.read_level(customer, now) - usual_reserve
        return (
            possible > newest.compute_initial_level(burst) + GAIN_SHARE * usual_reserve
        )

    def _is_partly_spent(self, customer: str) -> bool:
        remaining = self.compute_remaining(customer)
        return remaining < (1.0 - LOW_SHARE) * self._compute_usual_reserve(customer)

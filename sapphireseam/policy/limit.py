"""Limits each customer's rate and burst over all entries together.

One owner, the leader of the control VMs, grants tokens for the whole fleet. It
keeps one token bucket per customer in memory and replicates nothing per grant.
Two rules make the limit exact over the fleet:

- Leased tokens stay counted until the entry returns the unused ones or the lease
  expires. The tokens in the bucket and in leases never exceed the burst.
- A new owner grants nothing until the old owner has stopped granting and its
  leases have expired. Each bucket then starts empty, or with the tokens that are
  certain to be left according to a record of the old owner (reserve.py).

So for any window: admitted <= burst + rate * window, even if messages are lost or
late.

Times are monotonic readings in seconds. If the clock steps back, no tokens are
added until it has passed its earlier reading. A step forward can't be
distinguished from elapsed time. An owner that ticks often can therefore ignore
steps that are longer than its tick interval.

A debit counts at the moment at which the owner makes it.
"""

import math
from collections import OrderedDict
from collections.abc import Mapping
from typing import NamedTuple, Protocol

# Time for which a lease counts at the owner. The entry stops spending it a little
# earlier (leasing.py).
LEASE_SECONDS = 1.0

# Largest share of a burst that all leases of a customer may hold together. It is
# small because tokens leased to one entry can't be used at another.
LEASED_SHARE = 0.25

# Share of the burst that leases must leave in the bucket.
UNLEASED_SHARE = 0.5

# Tolerance for rounding errors in sums of floating point numbers.
ROUNDING_TOKENS = 1e-9


class Grant(NamedTuple):
    """The answer to a debit or lease.

    `granted` is the number of tokens that may be used now. `retry_after` is the
    time in seconds until the bucket would hold the wanted amount, infinite if it
    never will.
    """

    granted: float
    retry_after: float


class Reserve(NamedTuple):
    """A record of the level of a customer's bucket and of the tokens to grant from it.

    The bucket held `level` tokens, without leased tokens, when the owner drafted
    the record. From then on the owner grants at most `reserve` tokens until a
    newer record is in force.
    """

    level: float
    reserve: float

    def compute_initial_level(self, burst: float) -> float:
        """Return the tokens in a new owner's bucket of this burst at its start."""
        return max(min(self.level, burst) - self.reserve, 0.0)


class Limiter(Protocol):
    """Grants tokens to customers; amounts are in tokens."""

    def configure(self, customer: str, rate: float, burst: float, now: float) -> None:
        """Set a customer's rate (tokens a second) and burst (tokens)."""

    def remove(self, customer: str) -> None:
        """Grant nothing more to this customer."""

    def debit(self, customer: str, amount: float, now: float) -> Grant:
        """Take the whole amount or nothing."""

    def lease(self, customer: str, holder: str, wanted: float, now: float) -> Grant:
        """Lease up to `wanted` tokens for `LEASE_SECONDS`.

        `holder` identifies this lease by the entry, its start and a serial number,
        and is never reused. A repeated request with the same `holder` gets the
        same answer.
        """

    def release(self, customer: str, holder: str, amount: float, now: float) -> None:
        """End a lease and return `amount` unused tokens.

        The holder spends no tokens of the lease after it sends this. A release has
        no effect if it is late, repeated, or sent to another owner than the lease.
        """


class _Lease(NamedTuple):
    """Tokens that an entry may spend until `expires`."""

    amount: float
    expires: float


class Bucket:
    """The token bucket of one customer, with its leases.

    The sum of `level` and `leased` never exceeds `burst`, except for leases made
    before the burst was lowered. While such leases exceed it, the bucket isn't
    refilled.
    """

    def __init__(self, rate: float, burst: float, level: float, now: float):
        self.rate = rate
        self.burst = burst
        self.level = level
        self.leased = 0.0
        self._updated = now
        self._leases: OrderedDict[str, _Lease] = OrderedDict()

    def refill(self, now: float) -> None:
        """Add the tokens for the time since the last call, and end expired leases.

        Leases end one at a time in the order in which they expire, since each end
        raises the level that the bucket may reach.
        """
        while self._leases:
            holder, lease = next(iter(self._leases.items()))
            if lease.expires > now:
                break
            self._advance(lease.expires)
            self._remove_lease(holder)
        self._advance(now)

    def _advance(self, now: float) -> None:
        elapsed = max(now - self._updated, 0.0)
        self._updated = max(now, self._updated)
        self.level = self._cap(self.level + self.rate * elapsed)

    def _cap(self, level: float) -> float:
        return min(level, max(self.burst - self.leased, 0.0))

    def _remove_lease(self, holder: str) -> _Lease | None:
        lease = self._leases.pop(holder, None)
        if not self._leases:
            self.leased = 0.0
        elif lease is not None:
            self.leased = max(self.leased - lease.amount, 0.0)
        return lease

    def reconfigure(self, rate: float, burst: float, now: float) -> None:
        """Change the rate and burst; a higher burst fills up at the new rate."""
        self.refill(now)
        self.rate = rate
        self.burst = burst
        self.level = self._cap(self.level)

    def compute_wait(self, amount: float, now: float) -> float:
        """Return the seconds until the bucket can hold `amount`, or infinity."""
        if amount > self.burst or self.rate <= 0.0:
            return math.inf
        missing = max(amount - self.level, 0.0)
        return max(self._updated - now, 0.0) + missing / self.rate

    def debit(self, amount: float, now: float) -> Grant:
        """Take the whole amount or nothing."""
        self.refill(now)
        if amount > self.level + ROUNDING_TOKENS:
            return Grant(0.0, self.compute_wait(amount, now))
        self.level = max(self.level - amount, 0.0)
        return Grant(amount, 0.0)

    def lease(self, holder: str, wanted: float, now: float) -> Grant:
        """Lease up to `wanted` tokens, or none if the bucket is too low."""
        self.refill(now)
        if holder in self._leases:
            return Grant(self._leases[holder].amount, 0.0)
        leasable = LEASED_SHARE * self.burst - self.leased
        available = self.level - UNLEASED_SHARE * self.burst
        amount = min(wanted, leasable, available)
        if amount <= 0.0:
            return Grant(0.0, LEASE_SECONDS)
        self.level -= amount
        self.leased += amount
        self._leases[holder] = _Lease(amount, now + LEASE_SECONDS)
        return Grant(amount, 0.0)

    def release(self, holder: str, amount: float, now: float) -> None:
        """End a lease; at most the leased amount is returned."""
        self.refill(now)
        lease = self._remove_lease(holder)
        if lease is None:
            return
        unused = min(max(amount, 0.0), lease.amount)
        self.level = self._cap(self.level + unused)


class _Clock:
    """Converts clock readings into a time that never runs ahead of the true time.

    After a reading below the previous one, the elapsed time is unknown until the
    clock passes the earlier reading again. None of that time is counted.
    """

    def __init__(self, longest_step: float):
        self._longest_step = longest_step
        self._reading = -math.inf
        self._time = -math.inf
        self._is_behind = False

    def read(self, reading: float) -> float:
        """Return the time at a reading."""
        if self._reading == -math.inf:
            self._reading = self._time = reading
        step = reading - self._reading
        if step < 0.0:
            self._is_behind = True
            return self._time
        if not self._is_behind and step <= self._longest_step:
            self._time += step
        self._is_behind = False
        self._reading = reading
        return self._time


class OwnerLimiter:
    """Grants tokens for the whole fleet in one process.

    This owner may grant from `opens_at` on. By then the old owner has granted
    nothing for at least `LEASE_SECONDS`. Buckets neither grant nor refill before
    it. `start_empty` may be false only for the first owner of a fleet that has
    never granted anything. An owner that calls `tick` more often than once in
    `longest_step` seconds may set it; a longer step of the clock then adds no
    tokens. `records` are the records in force when this owner began. It must
    replace a customer's record before it grants tokens to it (reserve.py).

    If a published configuration changes a customer's rate or burst, at most this
    much is admitted in a window: the largest burst in force in the window or
    `LEASE_SECONDS` before it, plus the rate in force at each moment of the window.
    """

    def __init__(
        self,
        start_empty: bool = True,
        opens_at: float = -math.inf,
        longest_step: float = math.inf,
        records: Mapping[str, Reserve] | None = None,
    ):
        self._records = dict(records or {})
        self._start_empty = start_empty
        self._opens_at = opens_at
        self._clock = _Clock(longest_step)
        self._time = -math.inf
        self._buckets: dict[str, Bucket] = {}

    def _read_clock(self, now: float) -> float:
        self._time = self._clock.read(now)
        return self._time

    def tick(self, now: float) -> None:
        """Read the clock, so that no step is longer than `longest_step`."""
        self._read_clock(now)

    def configure(self, customer: str, rate: float, burst: float, now: float) -> None:
        """Set a customer's rate and burst.

        A customer that is new at this owner has got no tokens since `opens_at`. So
        its bucket holds the tokens that its record leaves, and those added since
        then at its rate.
        """
        now = self._read_clock(now)
        bucket = self._buckets.get(customer)
        if bucket is not None:
            bucket.reconfigure(rate, burst, now)
            return
        start = max(now, self._opens_at)
        level = self._compute_level(customer, rate, burst, start)
        self._buckets[customer] = Bucket(rate, burst, level, start)

    def _compute_level(
        self, customer: str, rate: float, burst: float, start: float
    ) -> float:
        """Return the tokens in a new customer's bucket at its start."""
        if not self._start_empty:
            return burst
        if self._opens_at == -math.inf:
            return 0.0
        record = self._records.get(customer)
        left = record.compute_initial_level(burst) if record else 0.0
        return min(burst, left + rate * (start - self._opens_at))

    def read_level(self, customer: str, now: float) -> float:
        """Return the tokens in the customer's bucket, without leased tokens."""
        now = self._read_clock(now)
        bucket = self._buckets.get(customer)
        if bucket is None:
            return 0.0
        bucket.refill(now)
        return bucket.level

    def remove(self, customer: str) -> None:
        """Grant nothing more, but keep the bucket, since leases may be in use.

        Otherwise the same customer, added again, would start with a new bucket
        while entries still spend the old leases.
        """
        bucket = self._buckets.get(customer)
        if bucket is not None:
            bucket.reconfigure(0.0, 0.0, self._time)

    def debit(self, customer: str, amount: float, now: float) -> Grant:
        """Take the whole amount or nothing; an unknown customer gets nothing."""
        now = self._read_clock(now)
        bucket = self._buckets.get(customer)
        if bucket is None:
            return Grant(0.0, math.inf)
        if now < self._opens_at:
            return Grant(0.0, bucket.compute_wait(amount, now))
        return bucket.debit(amount, now)

    def lease(self, customer: str, holder: str, wanted: float, now: float) -> Grant:
        """Lease up to `wanted` tokens to `holder`."""
        now = self._read_clock(now)
        bucket = self._buckets.get(customer)
        if bucket is None or now < self._opens_at:
            return Grant(0.0, LEASE_SECONDS)
        return bucket.lease(holder, wanted, now)

    def release(self, customer: str, holder: str, amount: float, now: float) -> None:
        """End a lease and return its unused tokens to the bucket."""
        now = self._read_clock(now)
        bucket = self._buckets.get(customer)
        if bucket is not None:
            bucket.release(holder, amount, now)


class StaticSplitLimiter:
    """Gives each entry an equal, fixed part of every rate and burst (the baseline).

    Each entry has its own limiter and debits it without any message. A customer
    whose requests all reach one entry is refused at a fraction of its rate.
    """

    def __init__(self, entries: int, start_empty: bool = True):
        self._entries = entries
        self._limiter = OwnerLimiter(start_empty)

    def configure(self, customer: str, rate: float, burst: float, now: float) -> None:
        """Set this entry's part of a customer's rate and burst."""
        count = self._entries
        self._limiter.configure(customer, rate / count, burst / count, now)

    def remove(self, customer: str) -> None:
        """Grant nothing more to this customer."""
        self._limiter.remove(customer)

    def debit(self, customer: str, amount: float, now: float) -> Grant:
        """Take the whole amount from this entry's part, or nothing."""
        return self._limiter.debit(customer, amount, now)

    def lease(self, customer: str, holder: str, wanted: float, now: float) -> Grant:
        """Lease nothing, since the entry already holds its part."""
        return Grant(0.0, LEASE_SECONDS)

    def release(self, customer: str, holder: str, amount: float, now: float) -> None:
        """Do nothing, since nothing is ever leased."""

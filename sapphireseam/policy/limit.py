"""Hold every customer to its rate and burst over all entries together.

One owner, the leader of the control VMs, keeps a bucket of tokens for each
customer in memory and replicates nothing per grant. Two rules make the sum
over the fleet exact. Tokens leased to an entry stay counted until the entry
says what it used or the lease expires, and bucket plus leased tokens never
exceed the burst. A new owner starts at a moment by which the old owner grants
no more and what it leased has expired, with every bucket empty, or holding what
a record of the old owner says is surely left (reserve.py). So for any window:
admitted <= burst + rate * window, whatever is lost or late.

Time is a monotonic reading in seconds. A clock that steps back is caught and
brings no tokens, neither by the step nor by its way forward again. A step
forward can't be told from time; an owner that ticks often can have steps
longer than a tick bring nothing.

A debit counts at the moment at which the owner makes it.
"""

import math
from collections import OrderedDict
from collections.abc import Mapping
from typing import NamedTuple, Protocol

# How long an allowance may be spent, and counts at the owner.
LEASE_SECONDS = 1.0

# The share of a burst that all allowances of a customer may hold together.
# What is leased to one entry can't serve another, so it is kept small.
LEASED_SHARE = 0.25

# An owner leases only while this share of the burst is in the bucket.
RESERVE_SHARE = 0.5

# Sums of floating point numbers may miss the exact figure by this much.
ROUNDING_TOKENS = 1e-9


class Grant(NamedTuple):
    """Answer a debit or lease.

    `granted` is in tokens, usable now; `retry_after` is the time in seconds
    until the wanted amount would be there, infinite if it never will.
    """

    granted: float
    retry_after: float


class Reserve(NamedTuple):
    """Record what a customer's bucket held and what may be granted of it.

    The owner that wrote it grants at most `reserve` after the bucket held
    `level` (leased tokens not counted), until a newer record is in force.
    """

    level: float
    reserve: float

    def compute_initial_level(self, burst: float) -> float:
        """Return what a new owner's bucket of this burst starts with."""
        return max(min(self.level, burst) - self.reserve, 0.0)


class Limiter(Protocol):
    """Grant tokens to all customers; amounts are in tokens."""

    def configure(self, customer: str, rate: float, burst: float, now: float) -> None:
        """Set a customer's rate (tokens a second) and burst (tokens)."""

    def remove(self, customer: str) -> None:
        """Grant this customer nothing more."""

    def debit(self, customer: str, amount: float, now: float) -> Grant:
        """Take the whole amount or nothing."""

    def lease(self, customer: str, holder: str, wanted: float, now: float) -> Grant:
        """Lease up to `wanted` tokens for `ALLOWANCE_SECONDS`.

        `holder` names this one lease: the entry, its start and a serial
        number, never used again. The same name again gets the same answer.
        """

    def release(self, customer: str, holder: str, amount: float, now: float) -> None:
        """End a lease and give back `amount` unused tokens.

        The holder spends nothing of it after sending this. A release that
        comes late, twice, or at another owner than the lease does nothing.
        """


class _Lease(NamedTuple):
    """Count tokens that an entry may spend until `expires`."""

    amount: float
    expires: float


class Bucket:
    """Keep one customer's tokens and leases.

    The sum of `level` and `leased` never exceeds `burst`, but for leases made
    before the burst was lowered: these run out, and nothing refills until
    then.
    """

    def __init__(self, rate: float, burst: float, level: float, now: float):
        self.rate = rate
        self.burst = burst
        self.level = level
        self.leased = 0.0
        self._updated = now
        self._leases: OrderedDict[str, _Lease] = OrderedDict()

    def refill(self, now: float) -> None:
        """Add what the time since the last call brings, ending due leases.

        Leases end one by one in the order of their time, since each end
        raises what the bucket may hold.
        """
        while self._leases:
            name, lease = next(iter(self._leases.items()))
            if lease.expires > now:
                break
            self._advance(lease.expires)
            self._drop(name)
        self._advance(now)

    def _advance(self, now: float) -> None:
        elapsed = max(now - self._updated, 0.0)
        self._updated = max(now, self._updated)
        self.level = self._cap(self.level + self.rate * elapsed)

    def _cap(self, level: float) -> float:
        return min(level, max(self.burst - self.leased, 0.0))

    def _drop(self, name: str) -> _Lease | None:
        lease = self._leases.pop(name, None)
        if not self._leases:
            self.leased = 0.0
        elif lease is not None:
            self.leased = max(self.leased - lease.amount, 0.0)
        return lease

    def change(self, rate: float, burst: float, now: float) -> None:
        """Go on with another rate and burst; a higher burst fills at the rate."""
        self.refill(now)
        self.rate = rate
        self.burst = burst
        self.level = self._cap(self.level)

    def wait_for(self, amount: float, now: float) -> float:
        """Return in how many seconds the bucket can hold `amount`."""
        if amount > self.burst or self.rate <= 0.0:
            return math.inf
        missing = max(amount - self.level, 0.0)
        return max(self._updated - now, 0.0) + missing / self.rate

    def debit(self, amount: float, now: float) -> Grant:
        """Take the whole amount or nothing."""
        self.refill(now)
        if amount > self.level + ROUNDING_TOKENS:
            return Grant(0.0, self.wait_for(amount, now))
        self.level = max(self.level - amount, 0.0)
        return Grant(amount, 0.0)

    def lease(self, name: str, wanted: float, now: float) -> Grant:
        """Lease what can be spared; little left gives zero."""
        self.refill(now)
        if name in self._leases:
            return Grant(self._leases[name].amount, 0.0)
        room = LEASED_SHARE * self.burst - self.leased
        spare = self.level - RESERVE_SHARE * self.burst
        amount = min(wanted, room, spare)
        if amount <= 0.0:
            return Grant(0.0, LEASE_SECONDS)
        self.level -= amount
        self.leased += amount
        self._leases[name] = _Lease(amount, now + LEASE_SECONDS)
        return Grant(amount, 0.0)

    def release(self, name: str, amount: float, now: float) -> None:
        """End a lease; only what it held can come back."""
        self.refill(now)
        lease = self._drop(name)
        if lease is None:
            return
        unused = min(max(amount, 0.0), lease.amount)
        self.level = self._cap(self.level + unused)


class _Clock:
    """Turn readings into a time that never gains on the true one.

    After a reading below the last one the owner doesn't know how much time
    has passed until the clock is ahead of that reading again, and counts none.
    """

    def __init__(self, longest_step: float):
        self._longest_step = longest_step
        self._reading = -math.inf
        self._time = -math.inf
        self._in_doubt = False

    def read(self, reading: float) -> float:
        """Return the time at a reading."""
        if self._reading == -math.inf:
            self._reading = self._time = reading
        step = reading - self._reading
        if step < 0.0:
            self._in_doubt = True
            return self._time
        if not self._in_doubt and step <= self._longest_step:
            self._time += step
        self._in_doubt = False
        self._reading = reading
        return self._time


class OwnerLimiter:
    """Grant for the whole fleet from one place.

    `opens_at` is the moment from which this owner may grant: by then the old
    owner grants no more and `ALLOWANCE_SECONDS` have passed since. Buckets
    neither grant nor refill before it. Only the first owner of a fleet that
    never granted anything may have `start_empty` false. An owner that calls
    `tick` more often than each `longest_step` seconds may set it: a longer
    step of the clock then brings no tokens. `records` are those in force when
    this owner began; it must replace a customer's before it grants (reserve.py).

    When a publish changes a customer's rate or burst, a window gets at most
    the largest burst in force in it or `ALLOWANCE_SECONDS` before it, plus the
    rate in force at each moment of it.
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

    def _read(self, now: float) -> float:
        self._time = self._clock.read(now)
        return self._time

    def tick(self, now: float) -> None:
        """Read the clock; see `longest_step`."""
        self._read(now)

    def configure(self, customer: str, rate: float, burst: float, now: float) -> None:
        """Set a customer's rate and burst.

        A customer that is new here has had nothing since this owner opened, so
        its bucket holds what its record left and it would have filled with since.
        """
        now = self._read(now)
        bucket = self._buckets.get(customer)
        if bucket is not None:
            bucket.change(rate, burst, now)
            return
        start = max(now, self._opens_at)
        level = self._compute_level(customer, rate, burst, start)
        self._buckets[customer] = Bucket(rate, burst, level, start)

    def _compute_level(
        self, customer: str, rate: float, burst: float, start: float
    ) -> float:
        """Return what a new customer's bucket holds at its start."""
        if not self._start_empty:
            return burst
        if self._opens_at == -math.inf:
            return 0.0
        record = self._records.get(customer)
        left = record.compute_initial_level(burst) if record else 0.0
        return min(burst, left + rate * (start - self._opens_at))

    def read_level(self, customer: str, now: float) -> float:
        """Return what is in the customer's bucket, leased tokens not counted."""
        now = self._read(now)
        bucket = self._buckets.get(customer)
        if bucket is None:
            return 0.0
        bucket.refill(now)
        return bucket.level

    def remove(self, customer: str) -> None:
        """Grant nothing more; the bucket stays, since its leases may be out.

        Were it forgotten, the same customer added again would start anew
        beside allowances that are still being spent.
        """
        bucket = self._buckets.get(customer)
        if bucket is not None:
            bucket.change(0.0, 0.0, self._time)

    def debit(self, customer: str, amount: float, now: float) -> Grant:
        """Take the whole amount or nothing; an unknown customer gets nothing."""
        now = self._read(now)
        bucket = self._buckets.get(customer)
        if bucket is None:
            return Grant(0.0, math.inf)
        if now < self._opens_at:
            return Grant(0.0, bucket.wait_for(amount, now))
        return bucket.debit(amount, now)

    def lease(self, customer: str, holder: str, wanted: float, now: float) -> Grant:
        """Lease up to `wanted` tokens under the name `holder`."""
        now = self._read(now)
        bucket = self._buckets.get(customer)
        if bucket is None or now < self._opens_at:
            return Grant(0.0, LEASE_SECONDS)
        return bucket.lease(holder, wanted, now)

    def release(self, customer: str, holder: str, amount: float, now: float) -> None:
        """End a lease and take back what it didn't use."""
        now = self._read(now)
        bucket = self._buckets.get(customer)
        if bucket is not None:
            bucket.release(holder, amount, now)


class StaticSplitLimiter:
    """Give each entry its fixed part of every rate and burst (the baseline).

    Each entry holds one of its own and debits it without any message. The
    parts are of one size, so a customer whose requests reach one entry only
    is refused at a fraction of its rate.
    """

    def __init__(self, entries: int, start_empty: bool = True):
        self._entries = entries
        self._owner = OwnerLimiter(start_empty)

    def configure(self, customer: str, rate: float, burst: float, now: float) -> None:
        """Set this entry's part of a customer's rate and burst."""
        part = self._entries
        self._owner.configure(customer, rate / part, burst / part, now)

    def remove(self, customer: str) -> None:
        """Grant this customer nothing more."""
        self._owner.remove(customer)

    def debit(self, customer: str, amount: float, now: float) -> Grant:
        """Take the whole amount from this entry's part, or nothing."""
        return self._owner.debit(customer, amount, now)

    def lease(self, customer: str, holder: str, wanted: float, now: float) -> Grant:
        """Lease nothing: the entry already holds its part."""
        return Grant(0.0, LEASE_SECONDS)

    def release(self, customer: str, holder: str, amount: float, now: float) -> None:
        """Do nothing, since nothing is ever leased."""

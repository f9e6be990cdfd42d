"""Spend leased tokens at an entry, so that most requests need no message.

An allowance is counted from the moment its request was sent, on the entry's
own clock, so it ends here before it ends at the owner however late the answer
came. Demand is predicted per customer by a decayed average; the entry asks
for what it expects to use within an allowance's life, gives back early what
it won't use, and debits exactly, request by request, while the owner spares
nothing.
"""

import math
from typing import NamedTuple

from sapphireseam.policy import limit

# Clocks of two VMs may run apart by a few in ten thousand; this is far more.
MARGIN_SECONDS = 0.1
SPENDABLE_SECONDS = limit.ALLOWANCE_SECONDS - MARGIN_SECONDS

# A lease covers the expected use of this time.
COVER_SECONDS = 0.4

# The decay time of the predicted demand.
DEMAND_SECONDS = 2.0

# Below this many requests expected in a lease's cover, exact debits are as
# cheap in messages as a lease and its release.
LEASE_WORTH_REQUESTS = 6.0

# Unused tokens go back this long before the allowance ends, so that the
# release reaches the owner while the lease still counts there.
GIVE_BACK_SECONDS = 0.4


class LeaseRequest(NamedTuple):
    """Ask the owner for a lease; `sent` is this entry's clock."""

    customer: str
    holder: str
    wanted: float
    sent: float


class LeaseReturn(NamedTuple):
    """Tell the owner that a lease has ended and how many tokens are unused."""

    customer: str
    holder: str
    amount: float


class _Held(NamedTuple):
    """Hold what is left of one lease until `ends` on this entry's clock."""

    holder: str
    left: float
    ends: float


class _Demand:
    """Predict one customer's tokens and requests a second here."""

    def __init__(self, now: float):
        self._updated = now
        self._tokens = 0.0
        self._requests = 0.0

    def add(self, amount: float, now: float) -> None:
        self._decay(now)
        self._tokens += amount / DEMAND_SECONDS
        self._requests += 1.0 / DEMAND_SECONDS

    def read(self, now: float) -> tuple[float, float]:
        self._decay(now)
        return self._tokens, self._requests

    def _decay(self, now: float) -> None:
        elapsed = max(now - self._updated, 0.0)
        factor = math.exp(-elapsed / DEMAND_SECONDS)
        self._tokens *= factor
        self._requests *= factor
        self._updated = max(now, self._updated)


class _Account:
    """Keep one customer's allowances at this entry."""

    def __init__(self, now: float):
        self.demand = _Demand(now)
        self.held: list[_Held] = []
        self.ended: list[LeaseReturn] = []
        self.asked: LeaseRequest | None = None
        self.quiet_until = -math.inf


class AllowanceBook:
    """Hold all customers' allowances at one entry.

    `entry` names this start of this entry; two starts must not share it. For
    each request call `spend`; if it is refused, debit the owner exactly. Then
    send what `plan` returns, and its answer goes to `accept`, or its loss to
    `fail`. Send what `collect` returns to the owner's `release`, with the next
    message or a few times a second.

    >>> book = AllowanceBook("entry-1.7")
    >>> book.spend("north", 10.0, now=0.0)
    False
    """

    def __init__(self, entry: str):
        self._entry = entry
        self._serial = 0
        self._latest = -math.inf
        self._accounts: dict[str, _Account] = {}

    def _read(self, now: float) -> float:
        """Forget all allowances if the clock stepped back: their ends are lost."""
        if now < self._latest:
            self._accounts.clear()
        self._latest = now
        return now

    def _account(self, customer: str, now: float) -> _Account:
        account = self._accounts.get(customer)
        if account is None:
            account = self._accounts[customer] = _Account(now)
        return account

    def spend(self, customer: str, amount: float, now: float) -> bool:
        """Admit the request from what is held here, wholly, or return false."""
        now = self._read(now)
        account = self._account(customer, now)
        account.demand.add(amount, now)
        self._end(customer, account, now)
        if sum(held.left for held in account.held) < amount:
            return False
        missing = amount
        for index, held in enumerate(account.held):
            part = min(held.left, missing)
            account.held[index] = held._replace(left=held.left - part)
            missing -= part
        self._end(customer, account, now)
        return True

    def _end(self, customer: str, account: _Account, now: float) -> None:
        """Move leases that are used up or over from held to ended.

        The owner must not be given back what is over: it counts as used
        there, and the owner ignores it in any case.
        """
        kept = []
        for held in account.held:
            if now >= held.ends:
                account.ended.append(LeaseReturn(customer, held.holder, 0.0))
            elif held.left <= 0.0:
                account.ended.append(LeaseReturn(customer, held.holder, 0.0))
            else:
                kept.append(held)
        account.held = kept

    def plan(self, customer: str, now: float) -> LeaseRequest | None:
        """Return a lease worth asking for now; at most one open a customer."""
        now = self._read(now)
        account = self._account(customer, now)
        if account.asked is not None or now < account.quiet_until:
            return None
        tokens, requests = account.demand.read(now)
        if requests * COVER_SECONDS < LEASE_WORTH_REQUESTS:
            return None
        self._end(customer, account, now)
        left = sum(held.left for held in account.held)
        expected = tokens * COVER_SECONDS
        if left > expected / 2.0:
            return None
        self._serial += 1
        holder = f"{self._entry}/{self._serial}"
        account.asked = LeaseRequest(customer, holder, expected, now)
        return account.asked

    def accept(self, ask: LeaseRequest, grant: limit.Grant, now: float) -> None:
        """Take the owner's answer to an ask into use; a stray one is dropped."""
        now = self._read(now)
        account = self._account(ask.customer, now)
        if account.asked != ask:
            return
        account.asked = None
        if grant.granted <= 0.0:
            account.quiet_until = now + min(grant.retry_after, limit.ALLOWANCE_SECONDS)
            return
        ends = ask.sent + SPENDABLE_SECONDS
        account.held.append(_Held(ask.holder, grant.granted, ends))

    def fail(self, ask: LeaseRequest, now: float) -> None:
        """Close an ask whose answer won't come; the owner lets it expire."""
        account = self._account(ask.customer, self._read(now))
        if account.asked == ask:
            account.asked = None

    def collect(self, now: float) -> list[LeaseReturn]:
        """Return the releases to send; what they name is spent no more."""
        now = self._read(now)
        returns = []
        for customer, account in list(self._accounts.items()):
            self._end(customer, account, now)
            self._give_back(customer, account, now)
            returns.extend(account.ended)
            account.ended = []
            if self._is_idle(account, now):
                del self._accounts[customer]
        return returns

    def _give_back(self, customer: str, account: _Account, now: float) -> None:
        kept = []
        for held in account.held:
            if now >= held.ends - GIVE_BACK_SECONDS:
                account.ended.append(LeaseReturn(customer, held.holder, held.left))
            else:
                kept.append(held)
        account.held = kept

    def _is_idle(self, account: _Account, now: float) -> bool:
        tokens, _ = account.demand.read(now)
        return not account.held and account.asked is None and tokens < 1e-3

"""Leases tokens to an entry, so that most requests need no message to the owner.

A lease starts when its request is sent, by the entry's own clock. So it ends at
the entry before it ends at the owner, however late the answer comes. The demand
of each customer is predicted by an exponentially decayed average. The entry
leases the tokens that it expects to use in the next `COVER_SECONDS`, and returns
unused tokens before the lease ends. While the owner grants no lease, the entry
asks the owner to debit the exact amount of each request.
"""

import math
from typing import NamedTuple

from sapphireseam.policy import limit

# Clock rates of two VMs can differ by a few parts in ten thousand, much less than
# this margin allows.
MARGIN_SECONDS = 0.1
SPENDABLE_SECONDS = limit.LEASE_SECONDS - MARGIN_SECONDS

# A lease covers the tokens expected to be used in this time.
COVER_SECONDS = 0.4

# Time constant of the decay of the predicted demand.
DEMAND_SECONDS = 2.0

# With fewer requests expected in COVER_SECONDS, a debit per request takes no more
# messages than a lease and its release.
MIN_LEASE_REQUESTS = 6.0

# Unused tokens are returned this long before the lease ends, so that the release
# reaches the owner while the lease still counts there.
RETURN_SECONDS = 0.4


class LeaseRequest(NamedTuple):
    """A request for a lease, sent to the owner at `sent` on this entry's clock."""

    customer: str
    holder: str
    wanted: float
    sent: float


class LeaseReturn(NamedTuple):
    """Tells the owner that a lease has ended and how many of its tokens are unused."""

    customer: str
    holder: str
    amount: float


class _Lease(NamedTuple):
    """The tokens left of one lease that ends at `ends` on this entry's clock."""

    holder: str
    left: float
    ends: float


class _Demand:
    """Predicts one customer's tokens and requests per second at this entry."""

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
    """One customer's leases at this entry."""

    def __init__(self, now: float):
        self.demand = _Demand(now)
        self.leases: list[_Lease] = []
        self.returns: list[LeaseReturn] = []
        self.open_request: LeaseRequest | None = None
        self.retry_at = -math.inf


class LeaseManager:
    """Manages the leases of all customers at one entry.

    `entry` must be unique for each start of the entry. Call `spend` for each
    request. If it returns false, have the owner debit the exact amount. Then send
    the lease request that `plan` returns, if any. Pass the answer to `accept`, or
    call `fail` if none comes. Send the releases that `collect` returns to the owner's
    `release`, with the next message or a few times a second.

    >>> manager = LeaseManager("entry-1.7")
    >>> manager.spend("north", 10.0, now=0.0)
    False
    """

    def __init__(self, entry: str):
        self._entry = entry
        self._serial = 0
        self._latest = -math.inf
        self._accounts: dict[str, _Account] = {}

    def _check_clock(self, now: float) -> float:
        """Return `now`; if the clock stepped back, drop all leases.

        The ends of leases are wrong after such a step.
        """
        if now < self._latest:
            self._accounts.clear()
        self._latest = now
        return now

    def _get_account(self, customer: str, now: float) -> _Account:
        account = self._accounts.get(customer)
        if account is None:
            account = self._accounts[customer] = _Account(now)
        return account

    def spend(self, customer: str, amount: float, now: float) -> bool:
        """Take the whole amount from this entry's leases, or return false."""
        now = self._check_clock(now)
        account = self._get_account(customer, now)
        account.demand.add(amount, now)
        self._end(customer, account, now)
        if sum(lease.left for lease in account.leases) < amount:
            return False
        missing = amount
        for index, lease in enumerate(account.leases):
            part = min(lease.left, missing)
            account.leases[index] = lease._replace(left=lease.left - part)
            missing -= part
        self._end(customer, account, now)
        return True

    def _end(self, customer: str, account: _Account, now: float) -> None:
        """End the leases that are used up or have expired, and return no tokens.

        The tokens of an expired lease must not be returned to the owner, which counts
        them as used and ignores their return in any case.
        """
        kept = []
        for lease in account.leases:
            if now >= lease.ends:
                account.returns.append(LeaseReturn(customer, lease.holder, 0.0))
            elif lease.left <= 0.0:
                account.returns.append(LeaseReturn(customer, lease.holder, 0.0))
            else:
                kept.append(lease)
        account.leases = kept

    def plan(self, customer: str, now: float) -> LeaseRequest | None:
        """Return a lease request to send now, or None if no lease is worth it.

        Each customer has at most one open request.
        """
        now = self._check_clock(now)
        account = self._get_account(customer, now)
        if account.open_request is not None or now < account.retry_at:
            return None
        tokens, requests = account.demand.read(now)
        if requests * COVER_SECONDS < MIN_LEASE_REQUESTS:
            return None
        self._end(customer, account, now)
        left = sum(lease.left for lease in account.leases)
        expected = tokens * COVER_SECONDS
        if left > expected / 2.0:
            return None
        self._serial += 1
        holder = f"{self._entry}/{self._serial}"
        account.open_request = LeaseRequest(customer, holder, expected, now)
        return account.open_request

    def accept(self, request: LeaseRequest, grant: limit.Grant, now: float) -> None:
        """Use the lease that the owner granted; ignore it if the request isn't open."""
        now = self._check_clock(now)
        account = self._get_account(request.customer, now)
        if account.open_request != request:
            return
        account.open_request = None
        if grant.granted <= 0.0:
            account.retry_at = now + min(grant.retry_after, limit.LEASE_SECONDS)
            return
        ends = request.sent + SPENDABLE_SECONDS
        account.leases.append(_Lease(request.holder, grant.granted, ends))

    def fail(self, request: LeaseRequest, now: float) -> None:
        """Close an unanswered request; a lease granted for it expires at the owner."""
        account = self._get_account(request.customer, self._check_clock(now))
        if account.open_request == request:
            account.open_request = None

    def collect(self, now: float) -> list[LeaseReturn]:
        """Return the releases to send and stop spending from their leases."""
        now = self._check_clock(now)
        returns = []
        for customer, account in list(self._accounts.items()):
            self._end(customer, account, now)
            self._return_unused(customer, account, now)
            returns.extend(account.returns)
            account.returns = []
            if self._is_idle(account, now):
                del self._accounts[customer]
        return returns

    def _return_unused(self, customer: str, account: _Account, now: float) -> None:
        kept = []
        for lease in account.leases:
            if now >= lease.ends - RETURN_SECONDS:
                account.returns.append(LeaseReturn(customer, lease.holder, lease.left))
            else:
                kept.append(lease)
        account.leases = kept

    def _is_idle(self, account: _Account, now: float) -> bool:
        tokens, _ = account.demand.read(now)
        return not account.leases and account.open_request is None and tokens < 1e-3

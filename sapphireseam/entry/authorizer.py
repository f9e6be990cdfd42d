"""Authenticates requests by key and finds their routes.

Keys are looked up in the configuration by their digests. A request with an
unknown key or route is refused only after the configuration has been refreshed.
While no control VM can be reached, the error tells the caller to retry.
"""

from typing import NamedTuple

from sapphireseam.core import error, fleet, key
from sapphireseam.entry import routedrequest
from sapphireseam.utils.mirror import Mirror

# How long the control VMs usually take to answer again after a start or an outage.
RECOVERY_SECONDS = 0.8
# How long a request waits for the first configuration of an entry that has just
# started. It usually comes sooner than a refused caller would.
FIRST_WAIT_SECONDS = 0.5


class Authorization(NamedTuple):
    """A request's route and its customer, which is empty on an open route."""

    route_name: str
    route: fleet.Route
    customer: str
    rank: int
    # The revision of the configuration that allowed the request.
    revision: int = 0


class Authorizer:
    """Authorize requests by the configuration in force at this entry.

    The last configuration is used for `max_stale_seconds` after contact with the
    control VMs was lost.
    """

    def __init__(self, mirror: Mirror, max_stale_seconds: float):
        self._mirror = mirror
        self._max_stale_seconds = max_stale_seconds
        self._customer_by_digest: dict[str, str] = {}
        self._contracts: dict[str, fleet.Contract] = {}
        self._has_been_ready = False
        mirror.subscribe(self._index_customers)

    def _index_customers(self) -> None:
        current = self._mirror.fleet
        self._customer_by_digest = {
            digest: name
            for name, customer in current.customers.items()
            for digest in customer.keys
        }
        self._contracts = {
            name: current.contracts[customer.contract]
            for name, customer in current.customers.items()
            if customer.contract
        }

    def read_contracts(self) -> dict[str, fleet.Contract]:
        """Return the contract of each customer that has one."""
        return self._contracts

    @property
    def is_ready(self) -> bool:
        """Whether this entry has a configuration that is recent enough."""
        has_revision = self._mirror.revision > 0
        return has_revision and self._mirror.was_confirmed_within(
            self._max_stale_seconds
        )

    @property
    def bounds(self) -> fleet.Bounds:
        """Return the limits on the size of requests and on idle time."""
        return self._mirror.fleet.bounds

    async def authorize(self, host: str, path: str, key_text: str) -> Authorization:
        """Return the route and customer of a request with this key.

        Raises `RequestError` or `AccessError` if the configuration doesn't allow
        the request, and `ControlError` if this entry has no recent configuration
        or can't refresh it.
        """
        await self._wait_ready()
        try:
            return self._authorize_cached(host, path, key_text)
        except (error.RequestError, error.AccessError):
            # A change that allows the request may not have reached this entry yet.
            await self._mirror.refresh()
            return self._authorize_cached(host, path, key_text)

    async def _wait_ready(self) -> None:
        """Return once this entry is ready, or raise `ControlError`.

        Only an entry that has just started waits: one that was ready before has lost
        the control VMs, perhaps for long.
        """
        if not self.is_ready and not self._has_been_ready:
            await self._mirror.wait_confirmed(FIRST_WAIT_SECONDS)
        self._has_been_ready = self._has_been_ready or self.is_ready
        if not self.is_ready:
            text = "this entry has no recent configuration"
            raise error.ControlError(text, retry_after=RECOVERY_SECONDS)

    def _authorize_cached(self, host: str, path: str, key_text: str) -> Authorization:
        name, route = routedrequest.find_route(self._mirror.fleet, path, host)
        if route.open:
            return Authorization(name, route, "", route.rank, self._mirror.revision)
        customer = self.identify(key_text)
        rank = self._mirror.fleet.customers[customer].rank
        rank = route.rank if rank is None else rank
        return Authorization(name, route, customer, rank, self._mirror.revision)

    def identify(self, key_text: str) -> str:
        """Return the customer of a key, or raise `AccessError`."""
        if not key_text:
            raise error.AccessError("the key is missing", error.Kind.KEY_MISSING)
        customer = self._customer_by_digest.get(key.digest(key_text))
        if customer is None:
            raise error.AccessError("the key is unknown or withdrawn")
        return customer

    async def identify_with_refresh(self, key_text: str) -> str:
        """Return the customer of a key; refresh the configuration if needed."""
        await self._wait_ready()
        try:
            return self.identify(key_text)
        except error.AccessError:
            await self._mirror.refresh()
            return self.identify(key_text)

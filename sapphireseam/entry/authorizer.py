"""Say whose request it is and which route it takes, by the configuration.

Keys that came with the configuration are looked up by their digests. Nobody is
refused for what this entry doesn't know: an unknown key or route is looked up
anew first, and while no control VM can be asked the answer is to come back.
"""

from typing import NamedTuple

from sapphireseam.core import error, fleet, key
from sapphireseam.entry import routedrequest
from sapphireseam.utils.mirror import Mirror

# Within so long after a start or a loss the control VMs usually answer again.
RECOVERY_SECONDS = 0.8


class Authorized(NamedTuple):
    """Hold the route of a request, and its customer; empty on an open route."""

    route_name: str
    route: fleet.Route
    customer: str
    rank: int


class Authorizer:
    """Judge requests by the configuration in force at this entry.

    What was known is used for `trust` seconds after the control VMs were lost.
    """

    def __init__(self, mirror: Mirror, max_stale_seconds: float):
        self._mirror = mirror
        self._trust = max_stale_seconds
        self._holders: dict[str, str] = {}
        self._contracts: dict[str, fleet.Contract] = {}
        mirror.subscribe(self._index)

    def _index(self) -> None:
        current = self._mirror.fleet
        self._holders = {
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
        """Say whether this entry has a configuration to judge by."""
        has_any = self._mirror.revision > 0
        return has_any and self._mirror.is_known_within(self._trust)

    @property
    def bounds(self) -> fleet.Bounds:
        """Return what callers may send."""
        return self._mirror.fleet.bounds

    async def authorize(self, host: str, path: str, text: str) -> Authorized:
        """Return the route and customer of a request with this key.

        Raises `RequestError` or `AccessError` if the configuration doesn't allow
        it, and `ControlError` if this entry can't say.
        """
        self._check_ready()
        try:
            return self._judge(host, path, text)
        except (error.RequestError, error.AccessError):
            # It may have been allowed a moment ago.
            await self._mirror.refresh()
            return self._judge(host, path, text)

    def _check_ready(self) -> None:
        if not self.is_ready:
            text = "this entry knows no configuration in force"
            raise error.ControlError(text, retry_after=RECOVERY_SECONDS)

    def _judge(self, host: str, path: str, text: str) -> Authorized:
        name, route = routedrequest.find_route(self._mirror.fleet, path, host)
        if route.open:
            return Authorized(name, route, "", route.rank)
        customer = self.identify(text)
        rank = self._mirror.fleet.customers[customer].rank
        return Authorized(name, route, customer, route.rank if rank is None else rank)

    def identify(self, text: str) -> str:
        """Return whose key it is, or raise `AccessError`."""
        if not text:
            raise error.AccessError("the key is missing", error.Kind.KEY_MISSING)
        customer = self._holders.get(key.digest(text))
        if customer is None:
            raise error.AccessError("the key is unknown or withdrawn")
        return customer

    async def identify_refreshed(self, text: str) -> str:
        """Do as `identify`, after asking the control VMs where need be."""
        self._check_ready()
        try:
            return self.identify(text)
        except error.AccessError:
            await self._mirror.refresh()
            return self.identify(text)

"""Chooses the control VM at which an entry reads results.

Load: callers read large results often, and every control VM has them. A read in the
entry's own failure domain sends no bytes to another one. A VM that failed is left out
for a while. Then one read at a time tries it until it answers, so few reads wait for
one that is frozen or cut off.

    readers = NearbyReaders("zone-a")
    readers.update(("10.0.0.1:70", "10.0.0.2:70"), ("zone-a", "zone-b"))
    readers.pick("10.0.0.2:70", 0.0)  # "10.0.0.1:70"

Times are monotonic readings in seconds.
"""

# How long a control VM that failed is left out, and the time between two tries.
AVOID_SECONDS = 3.0


class NearbyReaders:
    """The control VMs of one failure domain, used in turn."""

    def __init__(self, domain: str):
        self._domain = domain
        self._addresses: tuple[str, ...] = ()
        self._avoided_until: dict[str, float] = {}
        self._next_index = 0

    def update(self, addresses: tuple[str, ...], domains: tuple[str, ...]) -> None:
        """Replace the control VMs; `domains` has each one's, or none if unknown.

        A new leader doesn't know the domain of those that it hasn't heard yet, which is
        then empty; these stay where they were.
        """
        if len(domains) != len(addresses):
            return
        former = self._addresses
        self._addresses = tuple(
            address
            for address, domain in zip(addresses, domains, strict=True)
            if domain == self._domain or (not domain and address in former)
        )
        avoided = self._avoided_until
        self._avoided_until = {
            address: until
            for address, until in avoided.items()
            if address in self._addresses
        }

    def pick(self, leader: str, now: float) -> str:
        """Return the address at which to read, or "" for the leader's, if any.

        The leader itself is preferred, as it needn't ask another VM.
        """
        usable = [
            address
            for address in self._addresses
            if self._avoided_until.get(address, now) <= now
        ]
        if not usable or leader in usable:
            return ""
        self._next_index += 1
        picked = usable[self._next_index % len(usable)]
        if picked in self._avoided_until:
            self.record_failure(picked, now)
        return picked

    def record_success(self, address: str) -> None:
        """Use a control VM again that has answered."""
        self._avoided_until.pop(address, None)

    def record_failure(self, address: str, now: float) -> None:
        """Leave out a control VM for some time."""
        self._avoided_until[address] = now + AVOID_SECONDS

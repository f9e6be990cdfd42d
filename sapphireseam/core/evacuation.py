"""Defines which failure domains are evacuated: their upstreams get no new work."""

from collections.abc import Iterable
from typing import NamedTuple


class Evacuation(NamedTuple):
    """The evacuation of one failure domain, ordered at `since` in epoch seconds."""

    domain: str
    since: float


class Evacuated(NamedTuple):
    """The evacuated failure domains after so many changes.

    Processes hear of a change in several ways; the highest `number` is the newest.
    """

    number: int = 0
    domains: tuple[str, ...] = ()

    def covers(self, domain: str) -> bool:
        """Return whether the upstreams of a failure domain get no new work."""
        return domain in self.domains


def list_deserted(
    places: Iterable[tuple[str, str]], evacuated: Iterable[str]
) -> list[str]:
    """Return the services whose upstreams are all in evacuated domains.

    `places` are the service and the failure domain of each upstream.

    >>> list_deserted([("llm", "a"), ("llm", "b"), ("store", "a")], {"a"})
    ['store']
    """
    gone = set(evacuated)
    pairs = set(places)
    served = {service for service, domain in pairs if domain not in gone}
    return sorted({service for service, _ in pairs} - served)

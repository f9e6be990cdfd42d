"""Describe one run of an upstream that was found by discovery."""

from typing import NamedTuple


class Instance(NamedTuple):
    """Name a running upstream and what it may be given.

    `id` is the upstream's own; it may be used again after a restart, which
    `born` (epoch milliseconds) tells. `slots` is how many requests it works on
    at once. An instance that `is_leaving` gets nothing new.
    """

    id: str
    service: str
    address: str
    domain: str
    slots: int
    is_leaving: bool = False
    born: int = 0

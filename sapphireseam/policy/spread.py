"""Orders the upstreams for an entry that places alone, so that the load stays even.

The load: many entries place requests at the same moment without a leader. Each counts
only its own requests and takes the upstream with the fewest. By the same order, all
would choose the same upstreams, and overrun some while others idle.

So each entry begins at another upstream and goes on in long strides. As the first
choices of all entries lie evenly over the upstreams, so do their second choices, and so
on. Nor do the choices of a few entries with consecutive numbers meet.
"""

import hashlib
import math
from collections.abc import Iterable
from typing import NamedTuple

from sapphireseam.core.instance import Instance

# A stride as a part of all upstreams, the golden section. Multiples of it lie evenly.
STRIDE_PART = (3.0 - math.sqrt(5.0)) / 2.0


class Position(NamedTuple):
    """An entry's number among all entries, counted from 0, and how many there are."""

    number: int
    entries: int


def order_instances(
    instances: Iterable[Instance], position: Position
) -> tuple[Instance, ...]:
    """Return the instances in the order in which an entry chooses among equal ones.

    Every entry must pass the same instances, in any order. Entries that are numbered by
    failure domain begin in their own where the upstreams are spread like the entries.

    >>> instances = [Instance(name, "llm", "10.0.0.1:80", "z", 8) for name in "abcd"]
    >>> orders = [order_instances(instances, Position(n, 4)) for n in range(4)]
    >>> sorted(order[0].id for order in orders)
    ['a', 'b', 'c', 'd']
    """
    by_service: dict[str, list[Instance]] = {}
    for instance in sorted(instances, key=_get_order):
        by_service.setdefault(instance.service, []).append(instance)
    return tuple(
        instance
        for listed in by_service.values()
        for instance in _go_through(listed, position)
    )


def _get_order(instance: Instance) -> tuple[str, str, bytes]:
    digest = hashlib.blake2s(instance.id.encode()).digest()
    return instance.service, instance.domain, digest


def _go_through(listed: list[Instance], position: Position) -> list[Instance]:
    count = len(listed)
    first = position.number * count // max(position.entries, 1)
    stride = _choose_stride(count)
    return [listed[(first + step * stride) % count] for step in range(count)]


def _choose_stride(count: int) -> int:
    """Return a stride that leads to each of `count` upstreams once."""
    stride = max(round(count * STRIDE_PART), 1)
    while math.gcd(stride, count) != 1:
        stride += 1
    return stride

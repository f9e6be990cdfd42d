"""Defines the requests for slots of upstreams, and the answers to them."""

from typing import NamedTuple

from sapphireseam.core.instance import Instance


class SlotRequest(NamedTuple):
    """A request for a slot.

    `key` identifies it in the allocator and `request_id` at the upstream. It may wait
    until `wait_until`. A request that `is_late` can't meet its deadline any more, even
    if it starts now. One with a `version` is placed only at upstreams of that software
    version. One that `is_resumed` continues a stream that has begun. One that is `held`
    by an upstream still runs there, so it is never placed there. One that `returns_to`
    an upstream is placed only there, even if that is ejected.
    """

    key: str
    service: str
    customer: str
    rank: int
    domain: str
    arrived: float
    wait_until: float
    excluded: frozenset[str] = frozenset()
    request_id: str = ""
    is_late: bool = False
    version: str = ""
    is_resumed: bool = False
    held: str = ""
    returns_to: str = ""


class Grant(NamedTuple):
    """A slot for a request; `evicted` is the key of batch work to stop for it."""

    request: SlotRequest
    instance: Instance
    evicted: str = ""


class Refusal(NamedTuple):
    """A refused request, which may be retried after `retry_after` seconds.

    `has_no_upstream` means that the service has no usable upstream, or none of the
    requested version.
    """

    request: SlotRequest
    retry_after: float
    has_no_upstream: bool

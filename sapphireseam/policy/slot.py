"""Defines the requests for slots of upstreams, and the answers to them."""

import math
from enum import StrEnum
from typing import NamedTuple

from sapphireseam.core.instance import Instance


class SlotRequest(NamedTuple):
    """A request for a slot.

    `key` identifies it in the allocator and `request_id` at the upstream. It may wait
    until `wait_until`. A request that `is_late` can't meet its deadline any more, even
    if it starts now. One with a `version` is placed only at upstreams of that software
    version. One that `is_resumed` continues a stream that has begun. One that is `held`
    by an upstream still runs there, so it is never placed there. One that `returns_to`
    an upstream is placed only there, even if that is ejected. One that waits was
    promised a slot by `due`; once it `is_overdue`, no newcomer overtakes it any more.
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
    due: float = math.inf
    is_overdue: bool = False


class Grant(NamedTuple):
    """A slot for a request; `evicted` is the key of batch work to stop for it."""

    request: SlotRequest
    instance: Instance
    evicted: str = ""


class RefusalCause(StrEnum):
    """List the reasons why a request is refused.

    `share`: its customer uses more than its share of a busy service. `full`: there is
    no room for others either. `overtaken`: requests of customers with less were put
    before it while it waited. `expired`: it has waited for as long as it may.
    """

    NO_UPSTREAM = "no_upstream"
    SHARE = "share"
    FULL = "full"
    OVERTAKEN = "overtaken"
    EXPIRED = "expired"


class Refusal(NamedTuple):
    """A refused request, which may be retried after `retry_after` seconds.

    `has_no_upstream` means that the service has no usable upstream, or none of the
    requested version. `wait` is how long the request would have waited, in seconds.
    `largest` is the customer that is furthest above its share, if shares are in force.
    """

    request: SlotRequest
    retry_after: float
    has_no_upstream: bool
    cause: RefusalCause = RefusalCause.FULL
    wait: float = 0.0
    largest: str = ""
